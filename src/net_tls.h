#ifndef SHALLOTFORD_SRC_NET_TLS_H
#define SHALLOTFORD_SRC_NET_TLS_H

/// TLS of libwebsockets vhosts, by OpenSSL.

#include "shallotford/net.h"

#include <libwebsockets.h>

struct ssl_ctx_st;

namespace shallotford {

/// Sets a server's certificate, key and demand for client certificates.
/// aFiles must outlive the vhost's creation.
void
ApplyServerTls(lws_context_creation_info& aInfo, const TlsFiles& aFiles);

/// Sets a client's authority, certificate and key. aFiles must outlive the
/// vhost's creation.
void
ApplyClientTls(lws_context_creation_info& aInfo, const TlsFiles& aFiles);

/// Reads aFiles again into aContext, for its new connections.
/// @throws Error (InvalidConfig), and leaves aContext as it was, if a file
///         cannot be used
void
ReloadTls(ssl_ctx_st* aContext, const TlsFiles& aFiles);

/// Answers libwebsockets' question whether a certificate of the peer passes;
/// its default would let a client's invalid certificate pass.
/// @param aStore    the OpenSSL store context of the verification
/// @param aPassed   whether OpenSSL itself accepts it
/// @param aAddress  IP address that a server's certificate must name, or empty
/// @return 0 if it passes, else 1
int
VerifyPeer(void* aStore, bool aPassed, const std::string& aAddress);

/// Returns the subject common name of the verified certificate of aWsi's
/// peer, or nullopt if there is none.
std::optional<std::string>
VerifiedPeerName(lws* aWsi);

/// Returns whether the peer of aWsi has announced the end of its bytes. Without
/// that, a closed connection may have been cut by anyone.
bool
HasCloseNotification(lws* aWsi);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_NET_TLS_H
