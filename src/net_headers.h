#ifndef SHALLOTFORD_SRC_NET_HEADERS_H
#define SHALLOTFORD_SRC_NET_HEADERS_H

/// Reads the headers that libwebsockets parsed on a connection.

#include "shallotford/net.h"

#include <libwebsockets.h>

namespace shallotford {

/// Returns every header of aWsi, once for each time it was sent. Only while
/// libwebsockets holds them: in its HTTP callbacks.
/// @param aNames  further headers that libwebsockets doesn't know, in lower
///                case
HttpHeaders
ReadHeaders(lws* aWsi, const std::vector<std::string>& aNames = {});

/// Returns fragment aIndex of header aToken, or nullopt if there is none.
std::optional<std::string>
ReadFragment(lws* aWsi, lws_token_indexes aToken, int aIndex);

/// Returns how often header aToken was sent.
int
CountFragments(lws* aWsi, lws_token_indexes aToken);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_NET_HEADERS_H
