#ifndef SHALLOTFORD_SRC_DAEMON_SUSPECTS_H
#define SHALLOTFORD_SRC_DAEMON_SUSPECTS_H

/// Calls between VMs about suspects, which are requests that may have crashed
/// an engine. One VM coordinates the suspects of each service.

#include "daemon_peer.h"
#include "shallotford/ledger.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace shallotford {

/// Asks the coordinators about suspects, and answers other VMs as a
/// coordinator. If a coordinator does not answer within kSuspectTimeout, this
/// VM's own records decide. All of it runs on the worker's loop.
class SuspectCoordination
{
public:
  /// @param aPoison  must outlive this object, like aLoop and aLog
  /// @param aSelf  peer address of this VM
  SuspectCoordination(PoisonTracker& aPoison,
                      LoopI& aLoop,
                      LogI& aLog,
                      std::string aSelf,
                      TlsFiles aTls);

  /// @param aListed  peer addresses on the VM list
  /// @param aLive  of these, the ones with recent gossip
  void SetVms(std::vector<std::string> aListed, std::vector<std::string> aLive);

  /// Asks whether a request may run at an engine. The coordinator is called for
  /// suspects only.
  /// @param aDone  called with the answer, at once or later
  void Grant(const std::string& aService,
             const std::string& aFingerprint,
             const std::string& aEngine,
             std::function<void(bool)> aDone);
  /// Ends the granted run at aFrom and asks for one at aTo.
  /// @param aFrom  empty if no run was granted
  void Move(const std::string& aService,
            const std::string& aFingerprint,
            const std::string& aFrom,
            const std::string& aTo,
            std::function<void(bool)> aDone);
  /// Reports that a granted run ended without a crash.
  /// @param aComplete  the request ran to its end and is no longer suspected
  void RunEnded(const std::string& aService,
                const std::string& aFingerprint,
                const std::string& aEngine,
                bool aComplete,
                const std::function<void()>& aDone = {});
  /// Reports a crash. No request of aBatch may be retried before aDone is
  /// called.
  /// @param aBatch  fingerprints of this VM's requests at aEngine
  void ReportCrash(const std::string& aService,
                   const std::string& aEngine,
                   const std::vector<std::string>& aBatch,
                   std::function<void(const CrashVerdict&)> aDone);

  /// Answers another VM's call.
  /// @throws Error (InvalidRequest) if it is malformed
  Json::Value Serve(const Json::Value& aCall);

private:
  using Done = std::function<void(std::optional<SuspectReply>)>;

  /// Calls the coordinator of aService. @param aDone  called once, with
  /// nothing if it did not answer in time
  void CallCoordinator(const std::string& aService,
                       const Json::Value& aCall,
                       Done aDone);
  std::optional<SuspectReply> ReadReply(const PeerResult& aResult);
  /// Sends a digest of this VM's records to all other listed VMs.
  void BroadcastDigest();

  PoisonTracker& m_poison;
  LoopI& m_loop;
  LogI& m_log;
  std::string m_self;
  HttpPeer m_peer;
  std::vector<std::string> m_listed;
  std::vector<std::string> m_live;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_SUSPECTS_H
