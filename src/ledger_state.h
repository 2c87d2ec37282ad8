#ifndef SHALLOTFORD_SRC_LEDGER_STATE_H
#define SHALLOTFORD_SRC_LEDGER_STATE_H

/// Internal types of the request ledger: its entries, its tables and the state
/// machine that applies events to entries.

#include "shallotford/ledger/requests.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace shallotford {

/// One attempt of a request.
struct LedgerAttempt
{
  std::uint32_t m_number{};
  bool m_placed{ false };
  std::string m_prefill;
  std::string m_upstream;
  std::optional<AttemptId> m_attachedStream; ///< opened by another VM
  std::vector<std::string> m_sentTo; ///< upstreams whose call may have run
  bool m_ran{ false };               ///< an upstream answered that it ran
  std::string m_end;
};

/// One request.
struct LedgerEntry
{
  RequestId m_id;
  RequestSpec m_spec;
  RequestState m_state{ RequestState::Received };
  TimePoint m_opened;
  std::vector<LedgerAttempt> m_attempts; ///< the last one is the current one
  std::uint32_t m_placed{ 0 };           ///< attempts that were placed
  std::uint32_t m_notPlacedInRow{ 0 };   ///< consecutive NotPlaced events
  std::vector<std::string> m_excluded;
  bool m_mayHaveRun{ false }; ///< in an earlier attempt
  bool m_delivered{ false };
  std::uint64_t m_nextPosition{ 0 };
  std::string m_text; ///< from position 0, if m_spec.m_firstPosition is 0

  LedgerAttempt* Current();
  /// Returns the current attempt if it has number aAttempt, else nullptr.
  LedgerAttempt* Current(std::uint32_t aAttempt);
  bool MayHaveRun() const;
  RunState Run() const;
};

/// The whole state of a Ledger.
class Ledger::State
{
public:
  State(const LedgerOptions& aOptions, RetryPolicy& aRetries);

  RequestId Open(RequestSpec aSpec, TimePoint aNow);
  void Apply(const RequestId& aId,
             LedgerEvent aEvent,
             TimePoint aNow,
             LedgerActions& aActions);
  void Expire(TimePoint aNow, LedgerActions& aActions);
  void UpstreamLost(std::string_view aUpstream,
                    TimePoint aNow,
                    LedgerActions& aActions);

  const LedgerEntry* Find(const RequestId& aId) const;
  LedgerEntry* Find(const RequestId& aId);
  std::optional<RequestView> Explain(const RequestId& aId,
                                     TimePoint aNow) const;
  std::vector<RequestView> List(std::size_t aLimit, TimePoint aNow) const;
  std::vector<BatchMember> MembersAt(std::string_view aUpstream) const;
  bool Owns(const AttemptId& aStream) const;

  std::unordered_map<std::uint64_t, LedgerEntry> m_entries; ///< by sequence
  std::set<std::pair<TimePoint, std::uint64_t>> m_deadlines;
  LedgerSums m_sums;

private:
  friend class LedgerStep;

  LedgerOptions m_options;
  RetryPolicy& m_retries;
  std::uint64_t m_nextSequence{ 1 };
  std::map<AttemptId, std::uint64_t> m_attachedStreams; ///< to sequence
  std::deque<RequestView> m_recent;
};

/// Applies one event to one entry.
class LedgerStep
{
public:
  LedgerStep(Ledger::State& aState,
             LedgerEntry& aEntry,
             TimePoint aNow,
             LedgerActions& aActions);

  void On(const ledger_event::Admitted& aEvent);
  void On(ledger_event::Placed& aEvent);
  void On(ledger_event::Moved& aEvent);
  void On(const ledger_event::NotPlaced& aEvent);
  void On(ledger_event::Attached& aEvent);
  void On(const ledger_event::MemoryReserved& aEvent);
  void On(ledger_event::Sent& aEvent);
  void On(const ledger_event::PrefillDone& aEvent);
  void On(const ledger_event::TransferDone& aEvent);
  void On(ledger_event::Token& aEvent);
  void On(ledger_event::Finished& aEvent);
  void On(const ledger_event::AnswerDelivered& aEvent);
  void On(const ledger_event::AttemptFailed& aEvent);
  void On(const ledger_event::Superseded& aEvent);
  void On(const ledger_event::Aborted& aEvent);
  void On(const ledger_event::CallerDisconnected& aEvent);

  void DeadlinePassed();

private:
  /// Returns the current attempt if its number is aAttempt and its m_placed
  /// equals aPlaced; else counts a stale event and returns nullptr.
  LedgerAttempt* Expect(std::uint32_t aAttempt, bool aPlaced);
  void Advance(RequestState aState);
  void StartAttempt(Duration aDelay);
  /// Ends the current attempt. @param aRelease  cancel what engines hold
  void CloseAttempt(const std::string& aEnd, bool aRelease);
  void Release(const LedgerAttempt& aAttempt);
  /// Cancels what the attempt's decode engine holds of its stream.
  void ReleaseUpstream(const LedgerAttempt& aAttempt);
  /// Ends the current attempt as failed by a fault in its stream.
  void AbortAttempt(FailureCause aCause, const std::string& aDetail);
  void RetryOrEnd(const ledger_event::AttemptFailed& aFailure);
  /// Ends the request as failed if it may have run, else as refused.
  void EndWith(const Error& aError);
  /// Ends the request and erases its entry.
  void End(Outcome aOutcome,
           std::optional<Error> aError,
           std::string aFinishReason = {});

  Ledger::State& m_state;
  LedgerEntry& m_entry;
  TimePoint m_now;
  LedgerActions& m_actions;
};

/// Returns aEntry as it is shown to operators.
RequestView
ViewOf(const LedgerEntry& aEntry, TimePoint aNow);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_LEDGER_STATE_H
