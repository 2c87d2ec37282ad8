#ifndef SHALLOTFORD_SRC_DAEMON_SUSPECTS_H
#define SHALLOTFORD_SRC_DAEMON_SUSPECTS_H

/// Calls to and from the VM that coordinates the suspects of a service.

#include "daemon_peer.h"
#include "shallotford/ledger.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace shallotford {

/// One VM's view of suspects, kept in step with each service's coordinator.
/// Falls back on this VM's own view if the coordinator does not answer within
/// kSuspectTimeout. All of it runs on the worker's loop.
class SuspectCoordination
{
public:
  /// @param aPoison  must outlive this, as aLoop and aLog must
  /// @param aSelf  peer address of this VM
  SuspectCoordination(PoisonTracker& aPoison,
                      LoopI& aLoop,
                      LogI& aLog,
                      std::string aSelf,
                      TlsFiles aTls);

  /// @param aListed  peer addresses on the VM list
  /// @param aLive  of these, the ones heard of recently
  void SetVms(std::vector<std::string> aListed, std::vector<std::string> aLive);

  /// Asks to run a request at an engine. Only a suspect is asked for.
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
  /// A granted run ended without a crash.
  /// @param aComplete  it ran to its end, which clears the suspect
  void RunEnded(const std::string& aService,
                const std::string& aFingerprint,
                const std::string& aEngine,
                bool aComplete,
                const std::function<void()>& aDone = {});
  /// Reports a crash. Nothing of aBatch may be retried before aDone.
  /// @param aBatch  fingerprints that this VM had at aEngine
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
  void Ask(const std::string& aService, const Json::Value& aCall, Done aDone);
  std::optional<SuspectReply> Read(const PeerResult& aResult);
  /// Sends this VM's digest to all listed VMs.
  void SpreadDigest();

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
