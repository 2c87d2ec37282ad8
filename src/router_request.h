#ifndef SHALLOTFORD_SRC_ROUTER_REQUEST_H
#define SHALLOTFORD_SRC_ROUTER_REQUEST_H

/// One caller's request from its receipt to its answer: the choice of
/// upstreams, the attempts at them, and the answer to the caller.

#include "daemon_metrics.h"
#include "router_admission.h"
#include "router_caller.h"
#include "router_crashes.h"
#include "router_engine_calls.h"
#include "router_events.h"
#include "router_grants.h"
#include "router_origins.h"
#include "router_permits.h"
#include "router_upstream.h"
#include "router_versions.h"
#include "shallotford/router.h"

namespace shallotford {

inline std::chrono::milliseconds
Milliseconds(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime);
}

/// State and dependencies that all requests of a router share.
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
  StreamOrigins& m_origins;
  StreamVersions& m_versions;
  CrashReports& m_crashes;
  UpstreamPermits& m_permits;
  OrganisationGrants& m_grants;
  RelayTable& m_relays;
  StreamTimes m_streamTimes;
  RouteMoves m_routeMoves;
  std::map<std::string, LinkState> m_serviceLinks; ///< by service
  std::map<std::string, TimePoint> m_reachedAt;    ///< last answer, by service
  TimePoint m_heldUpAt{};                          ///< when this VM last paused

  RetryBudget& BudgetOf(const std::string& aService);
  /// An answer of an upstream says that it leaves: it gets no more requests.
  void OnLeaving(const UpstreamKey& aUpstream);
  void OnUpstreamAnswer(const std::string& aService);
  void OnNoAnswer(const UpstreamEntry& aUpstream);
  /// Returns whether this VM's links to all upstreams are cut: those to one
  /// service at least, and no other service has answered lately.
  bool IsCutOff() const;
  /// Returns whether the links to the upstreams of aService are cut.
  bool AreLinksCut(const std::string& aService) const;
  /// Returns whether a request may try an upstream of aService.
  bool TakeTrial(const std::string& aService);
};

/// What the VM that passes a request on tells the one that serves it.
struct RelayFacts
{
  /// Version of the routing configuration by which it is routed, at least.
  std::uint64_t m_configVersion{ 0 };
  /// The software version that runs the stream, if it is chosen already.
  std::optional<std::string> m_softwareVersion;
  /// The caller's organisation, which that VM has found by its key.
  std::optional<std::string> m_organisation;
};

/// Reads the fields of a request that another VM has passed on, and removes
/// them.
/// @throws Error (InvalidRequest) if one is missing or malformed
RelayFacts
TakeRelayFacts(HttpHeaders& aFields);

/// Adds the fields that TakeRelayFacts() reads.
void
AddRelayFacts(const RelayFacts& aFacts, HttpHeaders& aFields);

/// A caller's request with its route in the configuration at its receipt.
struct RoutedRequestOptions
{
  CallerExchangePtr m_exchange;
  CallerRequest m_request;
  RequestFacts m_facts;
  RoutingPtr m_routing; ///< keeps m_route alive
  const Route* m_route{ nullptr };
  /// Of the configuration; nullptr on a public route or without organisations.
  const Organisation* m_organisation{ nullptr };
  /// Set if another VM has passed the request on; it isn't passed on again.
  std::optional<RelayFacts> m_relayed;
  std::function<void()> m_onEnd; ///< called last, after the answer
};

class RoutedRequest;

/// Passes the events of one attempt's call to its request.
class AttemptEvents : public UpstreamCallHandlerI
{
public:
  explicit AttemptEvents(RoutedRequest& aRequest)
    : m_request(aRequest)
  {
  }

  std::optional<std::string> OnReadyToSend(std::string aHead) override;
  void OnAnswerHead(const AnswerHead& aHead) override;
  void OnAnswerBody(std::string_view aBytes) override;
  void OnAnswerEnd() override;
  void OnCallFailed(const CallFailure& aFailure) override;

private:
  RoutedRequest& m_request;
};

/// Serves one request. A request to engines reserves memory of a decode engine
/// (if the service has reservations), usually has its prompt processed by a
/// prefill engine, and then runs at the decode engine; other requests run at
/// once. Every request ends exactly once, in End().
///
/// An upstream that is silent may go on, so its attempt is put aside while
/// another upstream is looked for, and given up only for a better one.
class RoutedRequest
  : public UpstreamCallHandlerI
  , private AdmissionClientI
{
public:
  RoutedRequest(RouterShared& aShared, RoutedRequestOptions aOptions);
  ~RoutedRequest() override;

  void Start();
  /// Ends the request with the answer that it can still get, as this VM stops.
  void OnStop();
  /// More requests than before are refused, as they crash upstreams.
  void OnConviction();

  std::optional<std::string> OnReadyToSend(std::string aHead) override;
  void OnAnswerHead(const AnswerHead& aHead) override;
  void OnAnswerBody(std::string_view aBytes) override;
  void OnAnswerEnd() override;
  void OnCallFailed(const CallFailure& aFailure) override;

private:
  friend class AttemptEvents;

  enum class Phase
  {
    Reserve, ///< reserves memory of a decode engine
    Prefill, ///< a prefill engine processes the prompt
    Run,     ///< the request itself
    Relay,   ///< the request itself, passed on by another VM
  };

  /// An answer that is held until it is complete.
  struct HeldAnswer
  {
    AnswerHead m_head;
    std::string m_body;
  };

  /// Times of the first and the last event of an attempt.
  struct EventSpan
  {
    TimePoint m_first{};
    TimePoint m_last{};

    std::chrono::milliseconds Length() const
    {
      return Milliseconds(m_last - m_first);
    }
  };

  /// An attempt whose upstream sends nothing. Its call stays open.
  struct SilentAttempt
  {
    AttemptEvents* m_events;
    Phase m_phase;
    UpstreamPtr m_upstream;
    std::unique_ptr<UpstreamCallI> m_call;
    TimePoint m_sentAt;
    TimePoint m_lastBytesAt;
    HeldAnswer m_heldAnswer;
    AttemptEnd m_pendingEnd;
    bool m_streaming;
    std::optional<EventSpan> m_eventSpan;
  };

  std::chrono::milliseconds TimeLeft() const;
  std::chrono::milliseconds Elapsed() const;
  RequestProgress Progress() const;
  const RoutedService* Service() const;
  bool ServedByEngines() const;
  /// Returns the request's rank, 0 for the most urgent: its organisation's
  /// priority, or else its route's.
  std::int32_t Urgency() const;
  /// Returns the admission queue of the request.
  std::string QueueName() const;
  bool IsStream() const;

  /// Returns whether the request counts towards its organisation's limit here.
  bool CountsTowardsLimit() const;
  /// Takes the request's cost from its organisation's limit, then proceeds.
  void AcquireUnits();
  void OnUnits(double aCost, const OrganisationGrants::Result& aResult);
  void RefuseBeyondLimit(std::chrono::milliseconds aRetryAfter);
  /// Gives the cost back if the request ends without a run.
  void ReturnUnits(std::string_view aOutcome);
  /// Finds where the request goes, and begins.
  void Proceed();
  /// Sends the request to its first upstream.
  void Begin();
  /// Chooses the software version of a new stream.
  /// @return whether an upstream of it may take the stream
  bool ChooseSoftwareVersion();
  /// Finds where a stream that another request began has to go on.
  void FindStream();
  /// Continues a stream that another request began.
  /// @param aPlace  where it began, if that is certain
  void ContinueStream(const std::optional<StreamPlace>& aPlace);
  /// Returns whether the route leads to a service.
  bool LeadsTo(const std::string& aService) const;
  /// Returns the service of all streams of this request's key, if the route
  /// leads to one only.
  std::string OnlyService() const;
  /// The stream's next events must come from the version that began it.
  void PinSoftwareVersion();
  void StartAtEngines();
  void Reserve();
  /// Returns whether an engine that may run the request is known, full or not.
  bool MayGetMemory() const;
  void WaitForMemory();
  /// Refuses a new request that would wait in vain.
  bool RefuseByForecast(const WaitingRequest& aWaiting);
  /// Finds whether requests of the service differ in urgency: only then do
  /// learnt room for growth and forecasts apply. It is found once, as it costs
  /// a look at all routes for each other configuration.
  void FindRank();
  /// A stream has ended in order: its last event tells how long its answer was.
  void NoteOutput();
  std::uint32_t TokensToReserve(const Upstream& aEngine) const;
  /// Returns the latest time for a reservation that still meets the latency
  /// target, or resumes the stream before its caller disconnects.
  TimePoint TargetDeadline() const;
  /// Returns the latest time for a reservation before its caller disconnects.
  TimePoint ExpiresAt() const;
  void OnMayReserve(bool aIsOwed) override;
  void OnExpired() override;
  void StartPrefill();
  void StartRun();
  void ReleaseReservation();
  static std::string_view ToString(Phase aPhase);
  /// Returns whether the attempt runs the request, here or through another VM.
  bool IsRun() const
  {
    return m_phase == Phase::Run || m_phase == Phase::Relay;
  }
  UpstreamPtr Pick(EngineStage aStage, const std::string& aFromDomain);
  UpstreamPtr PickForRun();
  bool HasRoomFor(const Upstream& aUpstream) const;
  /// Returns whether the request may be sent once more, and notes if not.
  bool TakeRetryBudget();
  /// Sends the request, or the call of its phase, once the upstream's limit
  /// allows it; without a permit, the phase goes on at another upstream.
  void Send(const UpstreamPtr& aUpstream, Phase aPhase);
  void SendNow(const UpstreamPtr& aUpstream, Phase aPhase);
  /// Ends the request if nobody waits for its answer any more. Asked before
  /// each send, since the loop meets events late if it is held up.
  /// @return whether it has ended
  bool EndIfObsolete();
  void BeginAttempt(const UpstreamPtr& aUpstream, Phase aPhase);
  void StartCall(const UpstreamPtr& aUpstream, Phase aPhase);
  /// All bytes that waited for the caller have been sent.
  void OnCallerDrained();
  /// The run is about to be sent.
  void OnRunLeaves();
  UpstreamCallOptions CallOptions(const UpstreamPtr& aUpstream, Phase aPhase);
  /// Passes the request to a VM that reaches upstreams, if that may help.
  /// @return whether it did, or the request has ended
  bool TryRelay();
  bool MayRelay() const;
  bool AreLinksCut() const;
  /// Records what an attempt's end tells of this VM's links.
  void NoteLink(AttemptEnd aEnd);
  /// Reads the answer of a VM that the request was passed to.
  void ClassifyRelayHead(const AnswerHead& aHead);
  /// Reads an answer that an upstream signed.
  void ClassifySigned(const AnswerHead& aHead);
  /// Names the upstream in an answer to another VM.
  void AddRelayField(HttpHeaders& aFields) const;
  void OnNoPermit(Phase aPhase);
  /// Ends the request since the last Pick() found only upstreams whose limits
  /// are used up.
  void RefuseForLimits();
  std::string HeadFor(const Upstream& aUpstream, Phase aPhase) const;
  std::chrono::milliseconds SendTimeout(Phase aPhase) const;
  std::chrono::milliseconds HeadTimeout(Phase aPhase) const;
  std::chrono::milliseconds BodyTimeout() const;
  bool HasAttemptsLeft() const;
  void OnNoResponse();

  /// Looks for another upstream if this attempt's one has been silent too long.
  void CheckSilence();
  void ArmSilenceTimer(Duration aDelay);
  /// Returns how long the attempt's upstream may be silent meanwhile.
  Duration SilencePatience() const;
  /// Returns whether the request could run at another upstream instead.
  bool MayRunElsewhere() const;
  /// Puts the attempt aside and tries another upstream.
  void PutAside();
  void LogSilence() const;
  /// Makes an attempt that was put aside the one under way again, in place of
  /// the present one.
  void TakeBack(std::size_t aIndex);
  /// Returns the index of the attempt that was put aside with these events.
  std::optional<std::size_t> FindSilent(const AttemptEvents* aEvents) const;
  /// An attempt that was put aside has ended without an answer to use.
  void EndSilent(std::size_t aIndex,
                 AttemptEnd aEnd,
                 const std::string& aReason,
                 bool aClosedByUpstream);
  /// Gives up the attempts that were put aside, as another one replaces them or
  /// the request ends.
  void DropSilent(AttemptEnd aEnd, const std::string& aReason);
  /// Instead of an end, waits for an attempt that was put aside.
  /// @return false if there is none, or no time
  bool WaitForSilent();
  /// Returns whether an answer's head may lead to an answer for the caller.
  bool IsUseful(const AnswerHead& aHead) const;

  void ClassifyHead(const AnswerHead& aHead);
  /// Sets the attempt's end if its answer completes. An answer that only leads
  /// to another attempt gets kMaxUnusedBodyTime to complete.
  void SetPendingEnd(AttemptEnd aEnd);
  void ForwardEvents(const std::string& aEvents);
  /// The attempt has brought a complete event.
  void NoteEvent();
  /// Passes a held answer on before it is complete. It can't be replaced then.
  void PassOnHeld();
  /// Returns the bytes held of answers, until one is complete.
  std::size_t HeldBytes() const;
  void BeginAnswer(const AnswerHead& aHead);
  /// Writes bytes of the answer's body, and stops reading the upstream while
  /// too many of them wait for the caller.
  void WriteToCaller(std::string_view aBytes);
  /// Returns why an answer that ended in order is not whole: its events decide,
  /// not its framing. Empty if it is whole.
  std::string FindTruncation() const;
  void EndAttempt(AttemptEnd aEnd, const std::string& aReason);
  /// Ends the attempt, as a refusal if the answer's head was one.
  void EndUnlessRefused(AttemptEnd aEnd, const std::string& aReason);
  /// Gives the call up for a reason other than its upstream's answer.
  void AbandonCall(AttemptEnd aEnd, const std::string& aReason);
  /// Passes on what the end of an attempt tells about crashes.
  void ReportRun(AttemptEnd aEnd);
  /// The upstream ended the connection of a run before the end of its answer.
  void ReportBrokenRun(const UpstreamPtr& aUpstream,
                       const std::optional<EventSpan>& aEventSpan);
  /// Learns from the attempt's time how slow its upstream is.
  void NotePace(AttemptEnd aEnd);
  void ReportSilentRun(const SilentAttempt& aSilent,
                       AttemptEnd aEnd,
                       bool aClosedByUpstream);
  void ReportSilence(const UpstreamPtr& aUpstream, TimePoint aSentAt);
  bool RefuseIfConvicted();
  void AfterReserve(AttemptEnd aEnd);
  void AfterPrefill(AttemptEnd aEnd);
  void AfterRun(AttemptEnd aEnd);
  void TryAgain();
  /// Gives the call up, if there is one.
  /// @return whether the upstream may have received a byte of the request
  bool ReleaseCall();

  /// Sends a complete answer and gives its body up.
  void Deliver(HeldAnswer& aAnswer);
  void FinishStream();
  void Finish(NextStep aStep);
  void Refuse();
  void OnDeadline();
  /// @param aEnd  of the attempt under way
  void EndAtDeadline(AttemptEnd aEnd);
  void OnCallerDisconnected();
  /// Logs the request's end and calls m_onEnd, which may destroy this object.
  /// @param aStatus  of the answer, 0 without one
  void End(std::string_view aOutcome, int aStatus);
  /// Counts the prompt that an engine has read, or was reading, as read in
  /// vain, if there is one.
  void WastePrompt(std::string_view aCause);
  /// A run has ended without its answer.
  void WasteRunsPrompt(AttemptEnd aEnd);
  void LogAttempt(AttemptEnd aEnd, const std::string& aReason) const;
  std::string JoinedParts() const;
  /// Adds the answer's framing and the size of its incomplete event in bytes.
  void AddBodyState(LogEvent& aEvent) const;

  RouterShared& m_shared;
  CallerExchangePtr m_exchange;
  CallerRequest m_request;
  RequestFacts m_facts;
  RoutingPtr m_routing;
  const Route* m_route;
  const Organisation* m_organisation;
  std::string m_service;
  bool m_isRanked{ false };          ///< see FindRank()
  bool m_serviceFound{ false };      ///< it isn't the one that the id chooses
  std::string m_requestKey;          ///< of a stream
  std::vector<std::string> m_traits; ///< what may crash upstreams
  std::optional<RelayFacts> m_relayed;
  std::function<void()> m_onEnd;

  TimePoint m_received; ///< at this machine, before it was read
  Duration m_readDelay{};
  TimePoint m_deadline;
  TimersI::TimerId m_deadlineTimer{ 0 };
  /// Until the answer's head the one for OnNoResponse(), then the one of an
  /// answer whose body isn't needed.
  TimersI::TimerId m_attemptTimer{ 0 };
  std::chrono::milliseconds m_retryAfter; ///< sent if the request is refused
  bool m_limited{ false };                ///< refused for upstreams' limits
  bool m_forecast{ false };               ///< refused, as it would wait in vain
  bool m_retryDenied{ false };            ///< the retry budget was spent
  bool m_stopped{ false };                ///< ended by this VM's stop
  bool m_quarantined{ false }; ///< refused, as requests like it crash upstreams
  bool m_ended{ false };

  double m_units{ 0 }; ///< taken from the organisation's limit

  // Attempts so far.
  std::set<UpstreamKey> m_excluded;
  std::uint32_t m_prefills{ 0 }; ///< prefills that reached an engine
  std::uint32_t m_prefillTries{ 0 };
  std::uint32_t m_relays{ 0 }; ///< VMs that the request was passed to
  /// The last attempt at an upstream was left without an answer.
  bool m_linkFailed{ false };
  std::uint32_t m_runs{ 0 };     ///< attempts that may have run
  std::uint32_t m_refusals{ 0 }; ///< attempts known not to have run
  /// Sends that reached an upstream, without reservations and successful
  /// prefills. All but the first count against the retry budget.
  std::uint32_t m_budgetedSends{ 0 };
  /// The last signed answer that reports an upstream's own failure, which
  /// NextStep::PassOn sends to the caller.
  std::optional<HeldAnswer> m_failure;

  /// Shortest wait for a permit of an upstream that the last Pick() left out
  /// for want of one.
  std::optional<std::chrono::milliseconds> m_permitWait;

  /// Only this version may begin or continue the stream.
  std::optional<std::string> m_softwareVersion;
  std::shared_ptr<bool> m_alive{ std::make_shared<bool>(true) };

  // The attempt under way.
  Phase m_phase{ Phase::Run };
  UpstreamPtr m_upstream;
  std::unique_ptr<UpstreamCallI> m_call;
  TimePoint m_sentAt{};
  TimePoint m_lastBytesAt{}; ///< of the answer, or m_sentAt
  HeldAnswer m_heldAnswer;
  /// The attempt's end if its answer completes.
  AttemptEnd m_pendingEnd{ AttemptEnd::Broken };
  bool m_streaming{ false }; ///< events are passed on as they arrive
  std::optional<EventSpan>
    m_eventSpan;           ///< of complete events, if there are any
  bool m_runSent{ false }; ///< the run has left
  std::optional<CallFailure> m_callFailure; ///< for the log
  /// The upstream ended the connection before the attempt was over.
  bool m_closedByUpstream{ false };

  // Silent upstreams.
  std::vector<std::unique_ptr<AttemptEvents>> m_allEvents; ///< of all attempts
  AttemptEvents* m_currentEvents{ nullptr }; ///< of the attempt under way
  std::vector<SilentAttempt> m_silent;
  TimersI::TimerId m_silenceTimer{ 0 };
  TimePoint m_nextSearchAt{};    ///< for another upstream
  bool m_readingPaused{ false }; ///< until the caller has taken its bytes
  bool m_callerSlow{ false };    ///< reading has been paused
  /// Permits that were asked for before are of no use.
  std::uint64_t m_permitRound{ 0 };

  // Memory of a decode engine. A round of reservations ends when the request
  // gets memory or enters the queue.
  std::uint64_t m_queueNumber{ 0 };        ///< in the admission queue, or 0
  std::uint32_t m_reserveRefusals{ 0 };    ///< by full engines, in this round
  std::uint32_t m_unansweredReserves{ 0 }; ///< in this round
  std::set<UpstreamKey> m_enginesWithoutRoom; ///< in this round
  bool m_hasWaited{ false };                  ///< in the queue
  bool m_isOwed{ false }; ///< goes before more urgent ones in this round
  UpstreamPtr m_reservedEngine;
  std::string m_reservation;
  TimePoint m_reservedSince{};
  bool m_skipPrefill{ false }; ///< the decode engine processes the prompt

  // A prefill's result.
  UpstreamPtr m_prefillUpstream;
  std::string m_prefillHandle;

  // Prompts read in vain.
  bool m_isPromptRead{ false }; ///< for an answer that is still to come
  std::uint32_t m_wastedPrompts{ 0 };
  std::string m_wasteCause; ///< of the last one

  // The answer to the caller.
  EventSplitter m_events;
  bool m_answerBegun{ false };
  TimePoint m_brokenAt{}; ///< time of the last bytes before the break
  TimePoint m_firstEventAt{};
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_ROUTER_REQUEST_H
