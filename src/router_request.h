#ifndef SHALLOTFORD_SRC_ROUTER_REQUEST_H
#define SHALLOTFORD_SRC_ROUTER_REQUEST_H

/// One caller's request, from its receipt to its one end.

#include "daemon_metrics.h"
#include "router_admission.h"
#include "router_caller.h"
#include "router_engine_calls.h"
#include "router_events.h"
#include "router_upstream.h"
#include "shallotford/router.h"

namespace shallotford {

/// What all requests of a router share.
struct RouterShared
{
  LoopI& m_loop;
  const DialectI& m_dialect;
  LogI& m_log;
  ConnectionPool& m_pool;
  UpstreamTable& m_upstreams;
  Metrics& m_metrics;
  RetryBudgetOptions m_budgetOptions;
  TimePoint m_startedAt;
  std::map<std::string, RetryBudget> m_budgets;        ///< by service
  std::map<std::string, PrefillDelay> m_prefillDelays; ///< by service
  std::size_t m_liveVms{ 1 };
  Admission& m_admission;
  EngineCalls& m_engineCalls;

  RetryBudget& BudgetOf(const std::string& aService);
};

/// A request with the route that was in force when it came.
struct RoutedRequestOptions
{
  CallerExchangePtr m_exchange;
  CallerRequest m_request;
  RequestFacts m_facts;
  RoutingPtr m_routing; ///< keeps m_route alive
  const Route* m_route{ nullptr };
  std::function<void()> m_onEnd; ///< the last thing that happens
};

class RoutedRequest
  : public UpstreamCallHandlerI
  , private AdmissionClientI
{
public:
  RoutedRequest(RouterShared& aShared, RoutedRequestOptions aOptions);
  ~RoutedRequest() override;

  void Start();

  void OnAnswerHead(const AnswerHead& aHead) override;
  void OnAnswerBody(std::string_view aBytes) override;
  void OnAnswerEnd() override;
  void OnCallFailed(AttemptEnd aEnd, const std::string& aReason) override;

private:
  enum class Phase
  {
    Reserve, ///< of a decode engine's memory
    Prefill,
    Run,
  };

  /// An answer that is held until it is whole.
  struct HeldAnswer
  {
    AnswerHead m_head;
    std::string m_body;
  };

  std::chrono::milliseconds TimeLeft() const;
  std::chrono::milliseconds Elapsed() const;
  RequestProgress Progress() const;
  const RoutedService* Service() const;
  bool ServedByEngines() const;
  bool IsStream() const;

  void StartAtEngines();
  void Reserve();
  void WaitForMemory();
  std::uint32_t TokensToReserve(const Upstream& aEngine) const;
  /// When it has to get memory to be on time, or to go on.
  TimePoint TargetDeadline() const;
  /// When its caller is about to leave.
  TimePoint ExpiresAt() const;
  void OnMayReserve() override;
  void OnExpired() override;
  void StartPrefill();
  void StartRun();
  void ReleaseReservation();
  static std::string_view ToString(Phase aPhase);
  UpstreamPtr Pick(EngineStage aStage, const std::string& aFromDomain);
  UpstreamPtr PickForRun();
  bool HasRoomFor(const Upstream& aUpstream) const;
  bool TakeRetryBudget();
  void Send(const UpstreamPtr& aUpstream, Phase aPhase);
  std::string HeadFor(const Upstream& aUpstream, Phase aPhase) const;
  std::chrono::milliseconds HeadTimeout(Phase aPhase) const;
  std::chrono::milliseconds BodyTimeout() const;
  bool HasAttemptsLeft() const;
  void OnNoResponse();

  void ClassifyHead(const AnswerHead& aHead);
  void ForwardEvents(const std::string& aEvents);
  void BeginAnswer(const AnswerHead& aHead);
  void EndAttempt(AttemptEnd aEnd, const std::string& aReason);
  void AfterReserve(AttemptEnd aEnd);
  void AfterPrefill(AttemptEnd aEnd);
  void AfterRun(AttemptEnd aEnd);
  void TryAgain();
  void ReleaseCall();

  void Deliver(const HeldAnswer& aAnswer);
  void FinishStream();
  void Finish(NextStep aStep);
  void Refuse();
  void OnDeadline();
  void OnCallerDisconnected();
  /// Logs the end and reports it. The object may be gone afterwards.
  void End(std::string_view aOutcome, int aStatus);
  void LogAttempt(AttemptEnd aEnd, const std::string& aReason) const;

  RouterShared& m_shared;
  CallerExchangePtr m_exchange;
  CallerRequest m_request;
  RequestFacts m_facts;
  RoutingPtr m_routing;
  const Route* m_route;
  std::string m_service;
  std::function<void()> m_onEnd;

  TimePoint m_received;
  TimePoint m_deadline;
  TimersI::TimerId m_deadlineTimer{ 0 };
  TimersI::TimerId m_noResponseTimer{ 0 };
  std::chrono::milliseconds m_retryAfter; ///< if it is refused
  bool m_ended{ false };

  // Attempts so far.
  std::set<UpstreamKey> m_excluded;
  std::uint32_t m_prefills{ 0 }; ///< prefills that reached an engine
  std::uint32_t m_prefillTries{ 0 };
  std::uint32_t m_runs{ 0 };     ///< attempts that may have run
  std::uint32_t m_refusals{ 0 }; ///< attempts that certainly did not run
  /// Sends that reached an upstream and count against the retry budget, but
  /// for the first.
  std::uint32_t m_budgetedSends{ 0 };
  std::optional<HeldAnswer> m_failure; ///< an upstream's own failure

  // The attempt under way.
  Phase m_phase{ Phase::Run };
  UpstreamPtr m_upstream;
  std::unique_ptr<UpstreamCallI> m_call;
  TimePoint m_sentAt{};
  TimePoint m_lastBytesAt{}; ///< of the answer, or m_sentAt
  HeldAnswer m_heldAnswer;
  AttemptEnd m_pendingEnd{ AttemptEnd::Broken };
  bool m_streaming{ false }; ///< bytes are passed on as they come

  // Memory of a decode engine.
  std::uint64_t m_queueNumber{ 0 };     ///< number in the admission queue, or 0
  std::uint32_t m_reserveRefusals{ 0 }; ///< asked for memory in this turn
  std::uint32_t m_unansweredReserves{ 0 }; ///< in this turn, without an answer
  std::set<UpstreamKey>
    m_enginesWithoutRoom; ///< engines without room, in this turn
  UpstreamPtr m_reservedEngine;
  std::string m_reservation;
  TimePoint m_reservedSince{};
  bool m_skipPrefill{ false }; ///< the decode engine reads the prompt itself

  // A prefill's result.
  UpstreamPtr m_prefillUpstream;
  std::string m_prefillHandle;

  // The stream that the caller gets.
  EventSplitter m_events;
  bool m_answerBegun{ false };
  TimePoint m_brokenAt{}; ///< last bytes of the run that goes on elsewhere
  TimePoint m_firstEventAt{};
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_ROUTER_REQUEST_H
