#ifndef SHALLOTFORD_SRC_NET_TLS_H
#define SHALLOTFORD_SRC_NET_TLS_H

/// TLS settings of libwebsockets vhosts.

#include "shallotford/net.h"

#include <libwebsockets.h>

namespace shallotford {

/// Sets the server's certificate, key and demand for client certificates.
/// aFiles must outlive the vhost's creation.
void
ApplyServerTls(lws_context_creation_info& aInfo, const TlsFiles& aFiles);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_NET_TLS_H
