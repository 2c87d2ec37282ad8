/// RoutedRequest: a request that this VM's links can't serve is passed to a VM
/// that reaches upstreams. It makes one hop: that VM doesn't pass it on again,
/// and runs it once at most.

#include "config.h"
#include "router_request.h"

#include <charconv>

namespace shallotford {

namespace {

constexpr std::string_view kConfigVersionField = "Shallotford-Relay-Config";
constexpr std::string_view kSoftwareField = "Shallotford-Relay-Software";
constexpr std::string_view kOrganisationField =
  "Shallotford-Relay-Organisation";
/// "STARTED_MS ID" of the upstream that ran a request which was passed on.
constexpr std::string_view kUpstreamField = "Shallotford-Relay-Upstream";

/// Removes all fields of a name and returns the value of the first one.
std::optional<std::string>
TakeField(HttpHeaders& aFields, std::string_view aName)
{
  std::optional<std::string> value;
  std::erase_if(aFields, [&](const HttpHeader& aField) {
    bool found = SameFieldName(aField.m_name, aName);
    if (found && !value) {
      value = aField.m_value;
    }
    return found;
  });
  return value;
}

std::optional<std::uint64_t>
ReadNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  auto [stopped, error] = std::from_chars(aText.data(), end, number);
  bool isNumber = error == std::errc() && stopped == end;
  return isNumber ? std::optional(number) : std::nullopt;
}

std::optional<UpstreamKey>
ReadUpstreamKey(std::string_view aText)
{
  std::size_t space = aText.find(' ');
  std::optional<std::uint64_t> started = ReadNumber(aText.substr(0, space));
  if (space == std::string_view::npos || !started) {
    return {};
  }
  return UpstreamKey{ .m_id = std::string(aText.substr(space + 1)),
                      .m_startedMs = *started };
}

} // namespace

RelayFacts
TakeRelayFacts(HttpHeaders& aFields)
{
  std::optional<std::string> version = TakeField(aFields, kConfigVersionField);
  std::optional<std::uint64_t> number =
    version ? ReadNumber(*version) : std::nullopt;
  if (!number) {
    throw Error(ErrorKind::InvalidRequest,
                "field " + std::string(kConfigVersionField) +
                  " is missing or no whole number",
                "Send callers' requests to the port for callers.");
  }
  return { .m_configVersion = *number,
           .m_softwareVersion = TakeField(aFields, kSoftwareField),
           .m_organisation = TakeField(aFields, kOrganisationField) };
}

void
AddRelayFacts(const RelayFacts& aFacts, HttpHeaders& aFields)
{
  // Callers' own fields of these names have no meaning here.
  TakeField(aFields, kConfigVersionField);
  TakeField(aFields, kSoftwareField);
  TakeField(aFields, kOrganisationField);
  aFields.push_back({ std::string(kConfigVersionField),
                      std::to_string(aFacts.m_configVersion) });
  if (aFacts.m_softwareVersion) {
    aFields.push_back(
      { std::string(kSoftwareField), *aFacts.m_softwareVersion });
  }
  if (aFacts.m_organisation) {
    aFields.push_back(
      { std::string(kOrganisationField), *aFacts.m_organisation });
  }
}

bool
RoutedRequest::AreLinksCut() const
{
  return m_shared.AreLinksCut(m_service);
}

void
RoutedRequest::NoteLink(AttemptEnd aEnd)
{
  if (m_phase == Phase::Relay) {
    return;
  }
  bool isStale = aEnd == AttemptEnd::NotConnected && m_callFailure &&
                 m_callFailure->m_reused;
  bool noAnswer = aEnd == AttemptEnd::NotConnected ||
                  aEnd == AttemptEnd::Broken || aEnd == AttemptEnd::TimedOut;
  m_linkFailed = noAnswer;
  if (noAnswer && !isStale && m_heldAnswer.m_head.m_status == 0) {
    m_shared.OnNoAnswer(m_upstream->m_entry);
  }
}

bool
RoutedRequest::MayRelay() const
{
  RequestProgress progress = Progress();
  bool mayRun =
    m_runs == 0 || (progress.m_mayRepeat && m_runs < progress.m_maxAttempts);
  bool canGoOn = !m_answerBegun || progress.m_canResume;
  // The other VM would choose the service anew.
  return !m_relayed && m_relays < kMaxRelays && mayRun && canGoOn &&
         !m_serviceFound && !m_quarantined && !m_limited && !m_stopped &&
         (m_linkFailed || AreLinksCut()) &&
         progress.m_timeLeft >= kMinAttemptTime;
}

bool
RoutedRequest::TryRelay()
{
  if (!MayRelay()) {
    return false;
  }
  if (EndIfObsolete()) {
    return true;
  }
  PickRequest pick{ .m_service = m_service,
                    .m_fromDomain = {},
                    .m_excluded = m_excluded,
                    .m_salt = StableHash(m_facts.m_id),
                    .m_softwareVersion = {} };
  // Without links to any upstream, this VM can't tell that a service is down.
  TimePoint now = m_shared.m_loop.Now();
  UpstreamPtr relay = m_shared.m_relays.Pick(pick, m_shared.IsCutOff(), now);
  bool isExtra = m_budgetedSends > 0;
  if (relay == nullptr || (isExtra && !TakeRetryBudget())) {
    return false;
  }
  ++m_relays;
  if (RefuseIfConvicted()) {
    return true;
  }
  ReleaseReservation();
  m_prefillHandle.clear();
  m_prefillUpstream = nullptr;
  m_shared.m_metrics.Count("relayed_total", "");
  BeginAttempt(relay, Phase::Relay);
  StartCall(relay, Phase::Relay);
  return true;
}

void
RoutedRequest::ClassifyRelayHead(const AnswerHead& aHead)
{
  AnswerFacts facts = m_shared.m_dialect.ReadAnswer(aHead);
  std::optional<std::string> name =
    TakeField(m_heldAnswer.m_head.m_fields, kUpstreamField);
  std::optional<UpstreamKey> upstream =
    name ? ReadUpstreamKey(*name) : std::nullopt;
  if (!facts.m_requestId.empty() && facts.m_requestId != m_facts.m_id) {
    EndAttempt(AttemptEnd::Broken, "answer to request " + facts.m_requestId);
    return;
  }
  if (facts.m_leaving && upstream) {
    m_shared.OnLeaving(*upstream);
  }
  if (!facts.m_isSigned) {
    // The VM's own answer. Of its statuses from 500 on, only 503 says that the
    // request has not run.
    constexpr int kFirstServerError = 500;
    constexpr int kUnavailable = 503;
    bool mayHaveRun =
      aHead.m_status >= kFirstServerError && aHead.m_status != kUnavailable;
    SetPendingEnd(mayHaveRun ? AttemptEnd::Broken : AttemptEnd::Refused);
    return;
  }
  ClassifySigned(aHead);
}

void
RoutedRequest::AddRelayField(HttpHeaders& aFields) const
{
  if (m_relayed && m_upstream != nullptr) {
    const UpstreamKey& key = m_upstream->m_entry.m_key;
    aFields.push_back({ std::string(kUpstreamField),
                        std::to_string(key.m_startedMs) + " " + key.m_id });
  }
}

} // namespace shallotford
