#ifndef SHALLOTFORD_TESTS_LEDGER_NAIVE_H
#define SHALLOTFORD_TESTS_LEDGER_NAIVE_H

/// Naive versions of the request ledger and the retry policy, with which tests
/// compare the real ones. They keep every event and search them each time.

#include "shallotford/ledger.h"

#include <algorithm>

namespace shallotford {

using namespace shallotford::ledger_event;
using namespace std::chrono_literals;

inline const TimePoint kStart{ 1000s };
inline const VmIncarnation kVm{ "127.0.0.1:7001", 0xa };
inline const VmIncarnation kFailedVm{ "127.0.0.1:7002", 0xb };

// Binary fractions, so that sums are exact in any order.
inline const RetryOptions kRetries{ .m_share = 0.125,
                                    .m_floor = 2,
                                    .m_floorPerSecond = 0.5,
                                    .m_capacity = 4,
                                    .m_maxAttempts = 4 };

inline std::string
Describe(const LedgerAction& aAction)
{
  using namespace ledger_action;
  if (const auto* start = std::get_if<StartAttempt>(&aAction)) {
    std::string text = "start " + ToString(start->m_attempt) + " after " +
                       std::to_string(start->m_delay.count()) + " at " +
                       std::to_string(start->m_position) + " with '" +
                       start->m_generated + "' not";
    for (const std::string& name : start->m_excluded) {
      text += " " + name;
    }
    return text;
  }
  if (const auto* token = std::get_if<DeliverToken>(&aAction)) {
    return "token " + std::to_string(token->m_position) + token->m_text;
  }
  if (const auto* cancel = std::get_if<QueueCancel>(&aAction)) {
    return "cancel " + cancel->m_upstream + " " + ToString(cancel->m_stream);
  }
  const auto& end = std::get<EndRequest>(aAction);
  return "end " + std::to_string(end.m_request.m_sequence) + " " +
         std::string(ToString(end.m_outcome)) + " run " +
         (end.m_error ? std::string(ToString(end.m_error->Run())) : "-");
}

/// Keeps every success and every retry and sums them up on each call.
class NaiveRetries
{
public:
  bool Allows(const RetryContext& aQuestion, Duration& aDelay, TimePoint aNow)
  {
    bool mustNot = aQuestion.m_mayHaveRun && !aQuestion.m_repeatable;
    if (mustNot || aQuestion.m_attempts >= kRetries.m_maxAttempts) {
      return false;
    }
    bool busy = aQuestion.m_cause == FailureCause::Refused ||
                aQuestion.m_cause == FailureCause::Stalled;
    aDelay = busy || aQuestion.m_attempts > 1 ? Delay(aQuestion.m_attempts)
                                              : Duration{ 0 };
    if (aNow + aDelay >= aQuestion.m_deadline) {
      return false;
    }
    if (aQuestion.m_delivered) {
      return true;
    }
    if (Balance(aNow) < 1) {
      return false;
    }
    m_changes.emplace_back(aNow, -1.0);
    return true;
  }
  static Duration Delay(std::uint32_t aTry)
  {
    std::int64_t milliseconds = 20;
    for (std::uint32_t i = 1; i < aTry && milliseconds < 2000; ++i) {
      milliseconds *= 2;
    }
    return std::chrono::microseconds{ 500 *
                                      std::min(milliseconds, INT64_C(2000)) };
  }
  void OnSuccess(TimePoint aNow) { m_changes.emplace_back(aNow, 0.125); }

  double Balance(TimePoint aNow) const
  {
    double balance = 2;
    TimePoint last = m_changes.empty() ? aNow : m_changes.front().first;
    auto fill = [&](TimePoint aTo) {
      double more = std::chrono::duration<double>(aTo - last).count() * 0.5;
      balance = balance < 2 ? std::min(2.0, balance + more) : balance;
      last = aTo;
    };
    for (const auto& [time, change] : m_changes) {
      fill(time);
      balance = std::min(4.0, balance + change);
    }
    fill(aNow);
    return balance;
  }

private:
  std::vector<std::pair<TimePoint, double>> m_changes;
};

/// Keeps every accepted event of a request and derives its state from them.
class NaiveRequest
{
public:
  struct Record
  {
    std::string m_what;
    std::uint32_t m_attempt{};
    std::string m_upstream;
  };

  NaiveRequest(RequestId aId, RequestSpec aSpec, NaiveRetries& aRetries)
    : m_id(std::move(aId))
    , m_spec(std::move(aSpec))
    , m_retries(aRetries)
  {
  }

  bool Has(const std::string& aWhat) const
  {
    return std::any_of(
      m_records.begin(), m_records.end(), [&](const Record& aRecord) {
        return aRecord.m_what == aWhat && aRecord.m_attempt == m_started;
      });
  }
  bool IsPlaced() const { return Has("placed") || Has("attached"); }
  bool MayHaveRun() const
  {
    bool ran = m_spec.m_firstPosition > 0;
    for (const Record& record : m_records) {
      ran |= record.m_what == "ran" || record.m_what == "attached";
      ran |= record.m_what == "sent" && !WasRefused(record);
    }
    return ran;
  }
  RunState Run() const
  {
    return !m_tokens.empty() ? RunState::Yes
           : MayHaveRun()    ? RunState::Unknown
                             : RunState::No;
  }
  std::uint64_t Next() const
  {
    return m_spec.m_firstPosition + m_tokens.size();
  }
  std::size_t Attempts() const
  {
    return static_cast<std::size_t>(std::count_if(
      m_records.begin(), m_records.end(), [](const Record& aRecord) {
        return aRecord.m_what == "placed" || aRecord.m_what == "attached";
      }));
  }

  bool Expects(std::uint32_t aAttempt, bool aPlaced)
  {
    bool right = !m_ended && m_started > 0 && aAttempt == m_started &&
                 IsPlaced() == aPlaced;
    m_stale += right ? 0 : 1;
    return right;
  }
  void Start(Duration aDelay)
  {
    ++m_started;
    std::vector<std::string> excluded;
    for (const Record& record : m_records) {
      if (record.m_what == "unplaced") {
        excluded.clear();
      }
      if (record.m_what == "failed" &&
          std::count(excluded.begin(), excluded.end(), record.m_upstream) ==
            0) {
        excluded.push_back(record.m_upstream);
      }
    }
    std::string text;
    bool whole = m_spec.m_firstPosition == 0;
    for (const std::string& token : m_tokens) {
      text += whole ? token : "";
    }
    m_out.push_back(Describe(ledger_action::StartAttempt{
      { m_id, m_started }, aDelay, excluded, whole ? Next() : 0, text }));
  }
  /// Returns where the current attempt was placed, adopted or moved last.
  std::string Upstream() const
  {
    std::string upstream;
    for (const Record& record : m_records) {
      bool places = record.m_what == "placed" || record.m_what == "attached" ||
                    record.m_what == "moved";
      if (places && record.m_attempt == m_started) {
        upstream = record.m_upstream;
      }
    }
    return upstream;
  }
  void Cancel()
  {
    std::vector<std::string> engines;
    AttemptId stream{ m_id, m_started };
    for (const Record& record : m_records) {
      if (record.m_what == "prefill" && record.m_attempt == m_started) {
        engines.push_back(record.m_upstream);
      }
    }
    if (std::count(engines.begin(), engines.end(), Upstream()) == 0) {
      engines.push_back(Upstream());
    }
    if (!m_spec.m_model) {
      engines.clear();
    }
    if (Has("attached")) {
      stream = { { kFailedVm, 9 }, 1 };
    }
    for (const std::string& engine : engines) {
      m_out.push_back(Describe(ledger_action::QueueCancel{ engine, stream }));
    }
  }
  void End(Outcome aOutcome, bool aCancel, TimePoint aNow)
  {
    RunState run = Run();
    if (aCancel && IsPlaced() && !Has("failed")) {
      Cancel();
    }
    if (aOutcome == Outcome::Answered) {
      m_retries.OnSuccess(aNow);
    }
    m_ended = true;
    m_out.push_back(
      "end " + std::to_string(m_id.m_sequence) + " " +
      std::string(ToString(aOutcome)) + " run " +
      (aOutcome == Outcome::Answered ? "-" : std::string(ToString(run))));
  }
  void EndWithError(TimePoint aNow)
  {
    End(MayHaveRun() ? Outcome::Failed : Outcome::Refused, true, aNow);
  }
  void Fail(const AttemptFailed& aEvent, TimePoint aNow)
  {
    bool notRun = aEvent.m_cause == FailureCause::Refused ||
                  aEvent.m_progress == SendProgress::NotSent;
    Cancel();
    m_records.push_back({ "failed", m_started, aEvent.m_upstream });
    if (notRun) {
      m_records.push_back({ "refused", m_started, aEvent.m_upstream });
    }
    Duration delay{ 0 };
    bool again = m_retries.Allows(
      { .m_service = "s",
        .m_repeatable = m_spec.m_repeatable,
        .m_mayHaveRun = MayHaveRun(),
        .m_delivered = !m_tokens.empty() || m_spec.m_firstPosition > 0,
        .m_attempts = static_cast<std::uint32_t>(Attempts()),
        .m_cause = aEvent.m_cause,
        .m_deadline = m_spec.m_deadline },
      delay,
      aNow);
    again ? Start(delay) : EndWithError(aNow);
  }

  void On(const Admitted& /*aEvent*/, TimePoint /*aNow*/)
  {
    m_ended || m_started > 0 ? static_cast<void>(++m_stale)
                             : Start(Duration{ 0 });
  }
  void On(const Placed& aEvent, TimePoint /*aNow*/)
  {
    if (Expects(aEvent.m_attempt, false)) {
      if (!aEvent.m_prefill.empty()) {
        m_records.push_back({ "prefill", m_started, aEvent.m_prefill });
      }
      m_records.push_back({ "placed", m_started, aEvent.m_upstream });
    }
  }
  void On(const Moved& aEvent, TimePoint /*aNow*/)
  {
    if (!Expects(aEvent.m_attempt, true)) {
      return;
    }
    if (Has("attached")) {
      ++m_stale;
      return;
    }
    std::string old = Upstream();
    bool prefills = std::any_of(
      m_records.begin(), m_records.end(), [&](const Record& aRecord) {
        return aRecord.m_what == "prefill" && aRecord.m_attempt == m_started &&
               aRecord.m_upstream == old;
      });
    if (m_spec.m_model && old != aEvent.m_upstream && !prefills) {
      m_out.push_back(
        Describe(ledger_action::QueueCancel{ old, { m_id, m_started } }));
    }
    m_records.push_back({ "moved", m_started, aEvent.m_upstream });
  }
  void On(const NotPlaced& aEvent, TimePoint aNow)
  {
    if (!Expects(aEvent.m_attempt, false)) {
      return;
    }
    std::uint32_t waits = 1;
    for (const Record& record : m_records) {
      waits = record.m_what == "unplaced" ? waits + 1
              : record.m_what == "placed" ? 1
                                          : waits;
    }
    Duration delay = NaiveRetries::Delay(waits);
    if (!MayHaveRun() || aNow + delay >= m_spec.m_deadline) {
      EndWithError(aNow);
      return;
    }
    m_records.push_back({ "unplaced", m_started, "" });
    Start(delay);
  }
  void On(const Attached& aEvent, TimePoint /*aNow*/)
  {
    if (Expects(aEvent.m_attempt, false)) {
      m_records.push_back({ "attached", m_started, aEvent.m_engine });
    }
  }
  void On(const MemoryReserved& aEvent, TimePoint /*aNow*/)
  {
    Expects(aEvent.m_attempt, true);
  }
  void On(const Sent& aEvent, TimePoint /*aNow*/)
  {
    if (Expects(aEvent.m_attempt, true)) {
      m_records.push_back({ "sent", m_started, aEvent.m_upstream });
    }
  }
  void On(const PrefillDone& aEvent, TimePoint /*aNow*/)
  {
    if (Expects(aEvent.m_attempt, true)) {
      m_records.push_back({ "ran", m_started, "" });
    }
  }
  void On(const TransferDone& aEvent, TimePoint /*aNow*/)
  {
    if (Expects(aEvent.m_attempt, true)) {
      m_records.push_back({ "decoding", m_started, "" });
    }
  }
  void On(const Token& aEvent, TimePoint aNow)
  {
    if (!Expects(aEvent.m_attempt, true)) {
      return;
    }
    m_records.push_back({ "ran", m_started, "" });
    m_records.push_back({ "decoding", m_started, "" });
    if (aEvent.m_position == Next()) {
      m_out.push_back("token " + std::to_string(Next()) + aEvent.m_text);
      m_tokens.push_back(aEvent.m_text);
    } else if (aEvent.m_position > Next()) {
      AbortAttempt(aNow);
    }
  }
  void On(const Finished& aEvent, TimePoint aNow)
  {
    if (!Expects(aEvent.m_attempt, true)) {
      return;
    }
    m_records.push_back({ "ran", m_started, "" });
    aEvent.m_endPosition == Next() ? End(Outcome::Answered, true, aNow)
                                   : AbortAttempt(aNow);
  }
  void On(const AnswerDelivered& aEvent, TimePoint aNow)
  {
    if (Expects(aEvent.m_attempt, true)) {
      End(Outcome::Answered, true, aNow);
    }
  }
  void On(const AttemptFailed& aEvent, TimePoint aNow)
  {
    if (Expects(aEvent.m_attempt, true)) {
      Fail(aEvent, aNow);
    }
  }
  void On(const Superseded& aEvent, TimePoint aNow)
  {
    if (Expects(aEvent.m_attempt, true)) {
      End(Outcome::Cancelled, false, aNow);
    }
  }
  void On(const Aborted& /*aEvent*/, TimePoint aNow)
  {
    m_ended ? static_cast<void>(++m_stale) : EndWithError(aNow);
  }
  void On(const CallerDisconnected& /*aEvent*/, TimePoint aNow)
  {
    m_ended ? static_cast<void>(++m_stale)
            : End(Outcome::Cancelled, true, aNow);
  }
  void AbortAttempt(TimePoint aNow)
  {
    Fail({ m_started, Upstream(), FailureCause::Malformed }, aNow);
  }
  void Lost(const std::string& aUpstream, TimePoint aNow)
  {
    bool hit = IsPlaced() && Upstream() == aUpstream;
    for (const Record& record : m_records) {
      bool prefills = record.m_what == "prefill" && !Has("decoding");
      hit |= record.m_attempt == m_started && record.m_upstream == aUpstream &&
             prefills;
    }
    if (!m_ended && hit) {
      Fail({ m_started, aUpstream, FailureCause::Lost }, aNow);
    }
  }

  RequestId m_id;
  RequestSpec m_spec;
  NaiveRetries& m_retries;
  std::vector<Record> m_records;
  std::vector<std::string> m_tokens;
  std::vector<std::string> m_out;
  std::uint32_t m_started{ 0 };
  std::uint64_t m_stale{ 0 };
  bool m_ended{ false };

private:
  bool WasRefused(const Record& aSent) const
  {
    return std::any_of(
      m_records.begin(), m_records.end(), [&](const Record& aRecord) {
        return aRecord.m_what == "refused" &&
               aRecord.m_attempt == aSent.m_attempt &&
               aRecord.m_upstream == aSent.m_upstream;
      });
  }
};

} // namespace shallotford

#endif // SHALLOTFORD_TESTS_LEDGER_NAIVE_H
