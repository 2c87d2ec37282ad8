#ifndef SHALLOTFORD_SRC_NET_STRICT_H
#define SHALLOTFORD_SRC_NET_STRICT_H

/// Strict checks of a request's framing, beyond what libwebsockets refuses.

#include "shallotford/net.h"

#include <libwebsockets.h>

namespace shallotford {

/// How a request's body is framed.
struct RequestFraming
{
  std::size_t m_length{ 0 };
  /// A body method without a length: libwebsockets would read to the end of
  /// the connection, so the connection is not used again.
  bool m_implicit{ false };
  bool m_oldVersion{ false }; ///< HTTP/1.0
};

/// Reads method, path, query and headers of the request on aWsi.
/// @throws Error (InvalidRequest, TooLarge)
HttpRequest
ReadRequest(lws* aWsi, const ServerOptions& aOptions);

/// Checks the framing headers of aRequest.
/// @throws Error (InvalidRequest, TooLarge)
RequestFraming
CheckFraming(lws* aWsi,
             const HttpRequest& aRequest,
             const ServerOptions& aOptions);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_NET_STRICT_H
