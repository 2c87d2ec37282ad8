#ifndef SHALLOTFORD_SRC_DAEMON_LISTEN_H
#define SHALLOTFORD_SRC_DAEMON_LISTEN_H

/// Listening sockets by the addresses of the settings.

#include "shallotford/fleet.h"
#include "shallotford/net.h"

namespace shallotford {

/// Returns default options for a listener at aAddress.
/// @param aAddress  "IP:PORT"; port 0 takes a free one
/// @throws Error (InvalidConfig) if it is malformed
inline ServerOptions
ListenOptions(const std::string& aAddress)
{
  SocketAddress address = ParseAddress(aAddress);
  return { .m_address = address.m_ip, .m_port = address.m_port };
}

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_LISTEN_H
