#ifndef SHALLOTFORD_SRC_ROUTER_GRANTS_H
#define SHALLOTFORD_SRC_ROUTER_GRANTS_H

/// Keeps the requests of all VMs within the limits of organisations. One VM
/// owns each organisation's limit and leases parts of it to the others.

#include "daemon_metrics.h"
#include "daemon_peer.h"
#include "shallotford/organisation.h"
#include "shallotford/router.h"

namespace shallotford {

struct OrganisationGrantsParts
{
  LoopI& m_loop;
  PeerI& m_peerCalls;
  const PeerList& m_peers;
  LogI& m_log;
  Metrics& m_metrics;
  /// VMs that are assumed before others are known.
  std::size_t m_minVms{ 1 };
  /// Returns whether the process was paused, though Tick() has not seen it yet.
  std::function<bool()> m_wasPaused;
};

/// Used by one task only. Without limits in the configuration it sends nothing
/// and keeps nothing.
class OrganisationGrants
{
public:
  struct Result
  {
    bool m_granted{ false };
    std::chrono::milliseconds m_retryAfter{ 0 }; ///< if not granted
  };
  /// @return whether somebody still waits; else the units are given back
  using Done = std::function<bool(const Result&)>;

  explicit OrganisationGrants(const OrganisationGrantsParts& aParts);
  ~OrganisationGrants();
  OrganisationGrants(const OrganisationGrants&) = delete;
  OrganisationGrants& operator=(const OrganisationGrants&) = delete;

  /// A configuration is in force.
  void SetLimits(const std::vector<Organisation>& aOrganisations);
  /// Asks for the units of one request.
  /// @param aDone  called once: at once, or after the calls before it to the
  ///               same owner, which is called at most once in a time. Each
  ///               call takes up to kMaxGrantTries timeouts, and what an owner
  ///               names another one for takes a second call. Then this VM
  ///               decides alone.
  void Acquire(const std::string& aOrganisation, double aCost, Done aDone);
  /// A request that had its units has not run.
  void GiveBack(const std::string& aOrganisation, double aCost);
  /// This process was paused.
  void OnPause();
  /// Periodic work.
  void Expire();
  /// Sets the gauges of each organisation with a limit.
  void SetGauges();
  /// Serves another VM's call.
  /// @throws RpcError if it is malformed
  Json::Value OnAsk(const Json::Value& aParams);

private:
  struct Waiting
  {
    double m_cost;
    Done m_done;
  };
  /// An organisation with a limit.
  struct State
  {
    RateLimit m_limit;
    LimitLease m_lease;
    std::vector<Waiting> m_waiting;
    bool m_asking{ false };   ///< a call for it is under way
    std::string m_redirected; ///< whom the next call goes to
    double m_asked{ 0 };      ///< units since the start
    double m_granted{ 0 };
    double m_refused{ 0 };
    bool m_refusing{ false };
    TimePoint m_refusedAt{};
    TimePoint m_loggedAt{};
  };
  /// One call to one owner, for all organisations that need it.
  struct Call
  {
    std::string m_owner;
    std::map<std::string, std::vector<Waiting>> m_waiting;
    Json::Value m_params;
    TimePoint m_sentAt{};
    std::uint32_t m_tries{ 0 };
    bool m_redirected{ false };
    bool m_answered{ false };
    TimersI::TimerId m_timer{ 0 };
  };
  using CallPtr = std::shared_ptr<Call>;

  State* Find(const std::string& aOrganisation);
  std::string OwnerOf(const std::string& aOrganisation) const;
  FleetView View();
  void CheckPause();
  /// Asks the owners of all organisations in m_wanting that no call is under
  /// way to.
  void StartCalls();
  /// Moves up to kMaxGrantRequests requests out of aState.
  static std::vector<Waiting> TakeWaiting(State& aState);
  static std::vector<double> CostsOf(const std::vector<Waiting>& aWaiting);
  void IssueOwn(const std::string& aOrganisation, State& aState);
  void Add(Call& aCall, const std::string& aOrganisation, State& aState);
  void Send(const CallPtr& aCall);
  /// Runs StartCalls() at aAt, if it isn't about to run before.
  void StartCallsAt(TimePoint aAt);
  void OnResult(const CallPtr& aCall,
                TimePoint aSentAt,
                const PeerResult& aResult);
  void OnTryFailed(const CallPtr& aCall, const std::string& aReason);
  /// Keeps what a reply grants that came after its call had ended.
  void TakeLate(const Json::Value& aGrants, TimePoint aSentAt);
  /// Reads what the owner replied for one organisation.
  void OnEntry(const CallPtr& aCall,
               TimePoint aSentAt,
               const std::string& aOrganisation,
               const Json::Value& aEntry);
  void End(const std::string& aOrganisation,
           std::vector<Waiting> aWaiting,
           const LimitReply& aReply,
           TimePoint aSentAt);
  /// The owner gave no reply: this VM's share decides.
  void EndAlone(const std::string& aOrganisation,
                std::vector<Waiting> aWaiting);
  /// Decides about the requests that came during a call.
  void Retry(const std::string& aOrganisation);
  void Answer(const std::string& aOrganisation,
              const Waiting& aWaiting,
              bool aGranted);
  void NoteRefusal(const std::string& aOrganisation, State& aState);
  void CheckRefusalsEnd(const std::string& aOrganisation, State& aState);

  OrganisationGrantsParts m_parts;
  std::map<std::string, State> m_states;
  LimitIssuer m_issuer;
  KnownVms m_known;
  std::set<std::string> m_wanting;        ///< organisations to ask for
  std::map<std::string, CallPtr> m_calls; ///< under way, by owner
  /// Owners that answer slowly are called less often.
  std::map<std::string, TimePoint> m_nextCallAt;
  TimersI::TimerId m_startTimer{ 0 };
  bool m_startsLater{ false };
  bool m_configured{ false };
  std::shared_ptr<bool> m_alive{ std::make_shared<bool>(true) };
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_ROUTER_GRANTS_H
