#ifndef SHALLOTFORD_SRC_DAEMON_LISTEN_H
#define SHALLOTFORD_SRC_DAEMON_LISTEN_H

/// Makes options of listening sockets from the addresses in the settings.

#include "shallotford/fleet.h"
#include "shallotford/net.h"

namespace shallotford {

/// Returns default options for a listener at aAddress.
/// @param aAddress  "IP:PORT"; port 0 takes any free port
/// @throws Error (InvalidConfig) if aAddress is malformed
inline ServerOptions
ListenOptions(const std::string& aAddress)
{
  SocketAddress address = ParseAddress(aAddress);
  return { .m_address = address.m_ip, .m_port = address.m_port };
}

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_LISTEN_H
