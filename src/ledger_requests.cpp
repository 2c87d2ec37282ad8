/// The request ledger's table: opening, finding, expiring and listing entries.

#include "ledger_state.h"

#include <algorithm>

namespace shallotford {

namespace {

/// Returns whether the current attempt fails if aUpstream crashes.
bool
DependsOn(const LedgerEntry& aEntry, std::string_view aUpstream)
{
  const LedgerAttempt& attempt = aEntry.m_attempts.back();
  bool prefilling = aEntry.m_state <= RequestState::Transferring;
  return attempt.m_upstream == aUpstream ||
         (prefilling && attempt.m_prefill == aUpstream);
}

/// Returns whether the request was being computed at aUpstream.
bool
RanAt(const LedgerEntry& aEntry, std::string_view aUpstream)
{
  const LedgerAttempt& attempt = aEntry.m_attempts.back();
  bool decoding = aEntry.m_state >= RequestState::Transferring;
  if (attempt.m_upstream == aUpstream && decoding) {
    return true;
  }
  return attempt.m_prefill == aUpstream &&
         aEntry.m_state == RequestState::Prefilling;
}

bool
IsPlaced(const LedgerEntry& aEntry)
{
  return !aEntry.m_attempts.empty() && aEntry.m_attempts.back().m_placed;
}

} // namespace

std::string_view
ToString(RequestState aState)
{
  switch (aState) {
    case RequestState::Received:
      return "received";
    case RequestState::Admitted:
      return "admitted";
    case RequestState::Reserved:
      return "reserved";
    case RequestState::Prefilling:
      return "prefilling";
    case RequestState::Transferring:
      return "transferring";
    case RequestState::Decoding:
      return "decoding";
    case RequestState::Running:
      return "running";
    case RequestState::Ended:
      break;
  }
  return "ended";
}

std::string_view
ToString(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Answered:
      return "answered";
    case Outcome::Refused:
      return "refused";
    case Outcome::Cancelled:
      return "cancelled";
    case Outcome::Failed:
      break;
  }
  return "failed";
}

LedgerAttempt*
LedgerEntry::Current()
{
  return m_attempts.empty() ? nullptr : &m_attempts.back();
}

LedgerAttempt*
LedgerEntry::Current(std::uint32_t aAttempt)
{
  LedgerAttempt* attempt = Current();
  return attempt != nullptr && attempt->m_number == aAttempt ? attempt
                                                             : nullptr;
}

bool
LedgerEntry::MayHaveRun() const
{
  if (m_mayHaveRun) {
    return true;
  }
  return !m_attempts.empty() &&
         (m_attempts.back().m_ran || !m_attempts.back().m_sentTo.empty());
}

RunState
LedgerEntry::Run() const
{
  if (m_delivered) {
    return RunState::Yes;
  }
  return MayHaveRun() ? RunState::Unknown : RunState::No;
}

RequestView
ViewOf(const LedgerEntry& aEntry, TimePoint aNow)
{
  RequestView view{ .m_id = aEntry.m_id,
                    .m_service = aEntry.m_spec.m_service,
                    .m_caller = aEntry.m_spec.m_caller,
                    .m_fingerprint = aEntry.m_spec.m_fingerprint,
                    .m_state = aEntry.m_state,
                    .m_outcome = std::nullopt,
                    .m_reason = {},
                    .m_nextPosition = aEntry.m_nextPosition,
                    .m_age = aNow - aEntry.m_opened,
                    .m_attempts = {} };
  for (const LedgerAttempt& attempt : aEntry.m_attempts) {
    view.m_attempts.push_back({ .m_attempt = attempt.m_number,
                                .m_prefill = attempt.m_prefill,
                                .m_upstream = attempt.m_upstream,
                                .m_end = attempt.m_end });
  }
  return view;
}

Ledger::State::State(const LedgerOptions& aOptions, RetryPolicy& aRetries)
  : m_options(aOptions)
  , m_retries(aRetries)
{
}

RequestId
Ledger::State::Open(RequestSpec aSpec, TimePoint aNow)
{
  RequestId id{ m_options.m_vm, m_nextSequence++ };
  LedgerEntry entry;
  entry.m_id = id;
  entry.m_opened = aNow;
  entry.m_nextPosition = aSpec.m_firstPosition;
  entry.m_mayHaveRun = aSpec.m_firstPosition > 0;
  m_deadlines.emplace(aSpec.m_deadline, id.m_sequence);
  entry.m_spec = std::move(aSpec);
  m_entries.emplace(id.m_sequence, std::move(entry));
  ++m_sums.m_opened;
  return id;
}

const LedgerEntry*
Ledger::State::Find(const RequestId& aId) const
{
  auto found = m_entries.find(aId.m_sequence);
  if (found == m_entries.end() || found->second.m_id != aId) {
    return nullptr;
  }
  return &found->second;
}

LedgerEntry*
Ledger::State::Find(const RequestId& aId)
{
  return const_cast<LedgerEntry*>(std::as_const(*this).Find(aId));
}

void
Ledger::State::Apply(const RequestId& aId,
                     LedgerEvent aEvent,
                     TimePoint aNow,
                     LedgerActions& aActions)
{
  LedgerEntry* entry = Find(aId);
  if (entry == nullptr) {
    ++m_sums.m_staleEvents;
    return;
  }
  LedgerStep step(*this, *entry, aNow, aActions);
  std::visit([&step](auto& aTyped) { step.On(aTyped); }, aEvent);
}

void
Ledger::State::Expire(TimePoint aNow, LedgerActions& aActions)
{
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= aNow) {
    LedgerEntry& entry = m_entries.at(m_deadlines.begin()->second);
    LedgerStep(*this, entry, aNow, aActions).DeadlinePassed();
  }
}

void
Ledger::State::UpstreamLost(std::string_view aUpstream,
                            TimePoint aNow,
                            LedgerActions& aActions)
{
  std::vector<std::uint64_t> affected;
  for (const auto& [sequence, entry] : m_entries) {
    if (IsPlaced(entry) && DependsOn(entry, aUpstream)) {
      affected.push_back(sequence);
    }
  }
  std::sort(affected.begin(), affected.end());
  for (std::uint64_t sequence : affected) {
    LedgerEntry& entry = m_entries.at(sequence);
    ledger_event::AttemptFailed failure{ .m_attempt =
                                           entry.m_attempts.back().m_number,
                                         .m_upstream = std::string(aUpstream),
                                         .m_cause = FailureCause::Lost,
                                         .m_progress = SendProgress::Sent,
                                         .m_detail = "the upstream crashed" };
    LedgerStep(*this, entry, aNow, aActions).On(failure);
  }
}

std::vector<BatchMember>
Ledger::State::MembersAt(std::string_view aUpstream) const
{
  std::vector<BatchMember> members;
  for (const auto& [sequence, entry] : m_entries) {
    if (IsPlaced(entry) && RanAt(entry, aUpstream)) {
      members.push_back({ entry.m_id, entry.m_spec.m_fingerprint });
    }
  }
  std::sort(members.begin(), members.end(), [](const auto& aA, const auto& aB) {
    return aA.m_request < aB.m_request;
  });
  return members;
}

bool
Ledger::State::Owns(const AttemptId& aStream) const
{
  if (m_attachedStreams.contains(aStream)) {
    return true;
  }
  const LedgerEntry* entry = Find(aStream.m_request);
  if (entry == nullptr || !IsPlaced(*entry)) {
    return false;
  }
  return entry->m_attempts.back().m_number == aStream.m_attempt;
}

std::optional<RequestView>
Ledger::State::Explain(const RequestId& aId, TimePoint aNow) const
{
  if (const LedgerEntry* entry = Find(aId)) {
    return ViewOf(*entry, aNow);
  }
  for (const RequestView& view : m_recent) {
    if (view.m_id == aId) {
      return view;
    }
  }
  return std::nullopt;
}

std::vector<RequestView>
Ledger::State::List(std::size_t aLimit, TimePoint aNow) const
{
  std::vector<std::uint64_t> sequences;
  sequences.reserve(m_entries.size());
  for (const auto& [sequence, entry] : m_entries) {
    sequences.push_back(sequence);
  }
  std::sort(sequences.begin(), sequences.end());
  sequences.resize(std::min(aLimit, sequences.size()));
  std::vector<RequestView> views;
  views.reserve(sequences.size());
  for (std::uint64_t sequence : sequences) {
    views.push_back(ViewOf(m_entries.at(sequence), aNow));
  }
  return views;
}

Ledger::Ledger(const LedgerOptions& aOptions, RetryPolicy& aRetries)
  : m_state(std::make_unique<State>(aOptions, aRetries))
{
}

Ledger::~Ledger() = default;

RequestId
Ledger::Open(RequestSpec aSpec, TimePoint aNow)
{
  return m_state->Open(std::move(aSpec), aNow);
}

LedgerActions
Ledger::Apply(const RequestId& aId, LedgerEvent aEvent, TimePoint aNow)
{
  LedgerActions actions;
  m_state->Apply(aId, std::move(aEvent), aNow, actions);
  return actions;
}

LedgerActions
Ledger::Expire(TimePoint aNow)
{
  LedgerActions actions;
  m_state->Expire(aNow, actions);
  return actions;
}

std::optional<TimePoint>
Ledger::NextDeadline() const
{
  if (m_state->m_deadlines.empty()) {
    return std::nullopt;
  }
  return m_state->m_deadlines.begin()->first;
}

std::vector<BatchMember>
Ledger::MembersAt(std::string_view aUpstream) const
{
  return m_state->MembersAt(aUpstream);
}

LedgerActions
Ledger::UpstreamLost(std::string_view aUpstream, TimePoint aNow)
{
  LedgerActions actions;
  m_state->UpstreamLost(aUpstream, aNow, actions);
  return actions;
}

bool
Ledger::Owns(const AttemptId& aStream) const
{
  return m_state->Owns(aStream);
}

std::size_t
Ledger::Live() const
{
  return m_state->m_entries.size();
}

const LedgerSums&
Ledger::Sums() const
{
  return m_state->m_sums;
}

std::optional<RequestView>
Ledger::Explain(const RequestId& aId, TimePoint aNow) const
{
  return m_state->Explain(aId, aNow);
}

std::vector<RequestView>
Ledger::List(std::size_t aLimit, TimePoint aNow) const
{
  return m_state->List(aLimit, aNow);
}

} // namespace shallotford
