#ifndef SHALLOTFORD_SRC_DAEMON_PLAIN_H
#define SHALLOTFORD_SRC_DAEMON_PLAIN_H

/// The state of plain services' servers, and the calls to them.

#include "daemon_flow.h"

#include <map>
#include <string>

namespace shallotford {

/// The health of plain servers and the number of calls that this VM runs at
/// them, by address.
class PlainServerTable
{
public:
  /// Whether new calls may go to aServer: it is not leaving, and its back-off
  /// time after failures is over.
  bool Usable(const std::string& aServer, TimePoint aNow) const;
  std::size_t Running(const std::string& aServer) const;
  void OnStarted(const std::string& aServer);
  void OnEnded(const std::string& aServer);
  void OnAnswered(const std::string& aServer);
  /// Records a failed call. The server gets no new calls for a time that
  /// doubles with each consecutive failure, up to a limit.
  void OnFailed(const std::string& aServer, TimePoint aNow);
  /// Records the server's own report that it is leaving.
  void OnLeaving(const std::string& aServer, TimePoint aNow);
  /// Records whether the server is leaving by the VM list or gossip.
  void SetLeaving(const std::string& aServer, bool aLeaving);

private:
  struct Facts
  {
    std::size_t m_running{ 0 };
    std::uint32_t m_failures{ 0 }; ///< consecutive
    TimePoint m_backOffUntil{};
    TimePoint m_leavingUntil{}; ///< by the server's own report
    bool m_leaving{ false };    ///< by the VM list or gossip
  };
  std::map<std::string, Facts> m_servers;
};

/// Returns the headers of aHeaders that are passed on: those of the message
/// itself, not of its connection.
HttpHeaders
PassedHeaders(const HttpHeaders& aHeaders);

/// Returns the call to a plain service that aFlow needs.
HttpCall
PlainCall(const Flow& aFlow, const std::string& aServer, TimePoint aNow);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_PLAIN_H
