#ifndef SHALLOTFORD_SRC_ROUTER_CRASHES_H
#define SHALLOTFORD_SRC_ROUTER_CRASHES_H

/// What the VMs know together of crashed upstreams and of what ran there. Each
/// VM reports the crashes that it sees to all others, and all refuse requests
/// with what crashes upstreams.

#include "daemon_metrics.h"
#include "daemon_peer.h"
#include "router_caller.h"
#include "router_spread.h"
#include "shallotford/ledger.h"
#include "shallotford/router.h"
#include "shallotford/rpc.h"

namespace shallotford {

/// Returns the fingerprints of what may make a request crash an upstream: the
/// whole request, and each part of its prompt that other requests may share.
std::vector<std::string>
TraitsOf(const std::string& aService,
         const CallerRequest& aRequest,
         const RequestFacts& aFacts);

struct CrashReportsParts
{
  LoopI& m_loop;
  PeerI& m_peerCalls;
  const PeerList& m_peers;
  LogI& m_log;
  Metrics& m_metrics;
  RandomI& m_random;
};

/// Used by one task only.
class CrashReports
{
public:
  explicit CrashReports(const CrashReportsParts& aParts);

  /// Returns whether requests with these traits are refused.
  bool IsConvicted(const std::vector<std::string>& aTraits) const;
  /// Returns for how long they are, or zero.
  Duration ConvictedFor(const std::vector<std::string>& aTraits) const;
  /// An upstream closed the connection of a run before the end of its answer,
  /// or fell silent to all requests.
  /// @param aAge  time from a stream's first event to its last one, if there
  ///              was an event
  void OnRunBroken(const UpstreamKey& aUpstream,
                   const std::vector<std::string>& aTraits,
                   std::optional<std::chrono::milliseconds> aAge = {});
  /// A stream goes on, aAge after its first event.
  void OnRunGoesOn(const std::vector<std::string>& aTraits,
                   std::chrono::milliseconds aAge);
  /// A run was given up without an answer. It counts as broken if the upstream
  /// answers nothing for kMaxSoundSilence.
  void OnRunSilent(const UpstreamPtr& aUpstream,
                   const std::vector<std::string>& aTraits,
                   TimePoint aSentAt);
  /// A run was answered whole.
  void OnRunComplete(const UpstreamKey& aUpstream,
                     const std::vector<std::string>& aTraits);
  /// An upstream answers a request that was sent at aSentAt.
  void OnAnswer(const UpstreamKey& aUpstream, TimePoint aSentAt);
  /// Calls aCallback, later, each time that something more is refused.
  void OnConviction(std::function<void()> aCallback);
  void Expire();

  /// Returns what other VMs need to refuse the same requests, or "".
  std::string Digest() const;
  /// @throws Error (InvalidRequest) if it is malformed
  void Merge(const std::string& aDigest);
  /// Serves another VM's report.
  /// @throws Error (InvalidRequest) if it is malformed
  Json::Value OnReport(const Json::Value& aCall);
  /// Takes reports of any VM that another one passes on.
  /// @throws RpcError if the call is malformed; malformed reports in it are
  ///         left out
  Json::Value OnSpread(const Json::Value& aParams);

private:
  /// Traits of runs that broke at one upstream.
  struct Batch
  {
    std::vector<std::string> m_traits{};
    BegunTraits m_begun{};
  };

  /// Returns whether runs that had begun count: only while each VM gets reports
  /// from their sender. Where they go on from VM to VM, it isn't shown that the
  /// verdicts on such runs agree.
  bool WeighsLateCrashes() const;
  /// Returns what the break of one run speaks against.
  /// @param aTraits  the first one stands for the whole request
  static Batch BatchOf(const std::vector<std::string>& aTraits,
                       std::optional<std::chrono::milliseconds> aAge);
  /// Adds to a report what isn't known to be sound here.
  static void Collect(const Batch& aBatch,
                      const CrashVerdict& aVerdict,
                      Batch& aUnreported);
  /// @param aTries  how often the call may be made until it is answered
  void Send(const std::string& aPeer,
            const Json::Value& aCall,
            std::uint32_t aTries);
  /// Sends a report to each VM, or passes it on if there are many.
  /// @param aId  the same at all VMs that make this report; empty for a report
  ///             of this VM alone
  void SendToAll(const Json::Value& aCall, std::string aId = {});
  void Spread(const SpreadReport& aReport);
  void ArmRound();
  void SendRound();
  /// @throws Error (InvalidRequest) if it is malformed
  void TakeReport(const SpreadReport& aReport);
  /// Notes whether an upstream that a report is about has crashed.
  void NoteCrashed(const std::string& aUpstream);
  void SendCrashes();
  void OnReply(const Json::Value& aReply);
  void OnSendFailed(const std::string& aPeer,
                    const Json::Value& aCall,
                    std::uint32_t aTriesLeft,
                    const std::string& aReason);
  /// Tells all VMs that runs with these traits were answered whole.
  void ReportSound(const std::vector<std::string>& aTraits);
  /// Logs what is refused since the last call, and what no longer is.
  void NoteConvictions(std::string_view aFrom);

  CrashReportsParts m_parts;
  PoisonTracker m_tracker;
  /// Time of the first report about each upstream that crashed.
  std::map<std::string, TimePoint, std::less<>> m_crashedAt;
  /// Traits of this VM's runs at crashed upstreams that are not yet reported.
  std::map<std::string, Batch> m_unreported;
  std::set<std::string> m_convicted; ///< as last logged
  ReportSpread m_spread;
  bool m_hasRound{ false }; ///< a round is due
  std::string m_issuer; ///< of the ids of this VM's reports, since its start
  std::uint64_t m_lastReport{ 0 };
  std::function<void()> m_onConviction;
  std::shared_ptr<bool> m_alive{ std::make_shared<bool>(true) };
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_ROUTER_CRASHES_H
