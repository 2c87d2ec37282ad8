#ifndef SHALLOTFORD_SRC_DAEMON_PLAIN_H
#define SHALLOTFORD_SRC_DAEMON_PLAIN_H

/// What the worker knows of plain services' servers, and the form of calls.

#include "daemon_flow.h"

#include <map>
#include <string>

namespace shallotford {

/// Health and own load of plain servers, by address.
class PlainServerTable
{
public:
  /// Whether new calls may go to aServer: it is neither leaving nor backing
  /// off after failures.
  bool Usable(const std::string& aServer, TimePoint aNow) const;
  std::size_t Running(const std::string& aServer) const;
  void OnStarted(const std::string& aServer);
  void OnEnded(const std::string& aServer);
  void OnAnswered(const std::string& aServer);
  /// A call failed; the server is left alone for a time that doubles.
  void OnFailed(const std::string& aServer, TimePoint aNow);
  /// The server said that it is leaving.
  void OnLeaving(const std::string& aServer, TimePoint aNow);
  /// The VM list or gossip says whether it is leaving.
  void SetLeaving(const std::string& aServer, bool aLeaving);

private:
  struct Facts
  {
    std::size_t m_running{ 0 };
    std::uint32_t m_failures{ 0 }; ///< in a row
    TimePoint m_backOffUntil{};
    TimePoint m_leavingUntil{}; ///< its own word holds so long
    bool m_leaving{ false };
  };
  std::map<std::string, Facts> m_servers;
};

/// Returns the headers of aHeaders that concern the message itself, not the
/// connection it came on.
HttpHeaders
PassedHeaders(const HttpHeaders& aHeaders);

/// Returns the call of a plain service for aFlow.
HttpCall
PlainCall(const Flow& aFlow, const std::string& aServer, TimePoint aNow);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_PLAIN_H
