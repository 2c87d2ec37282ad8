#ifndef SHALLOTFORD_SRC_DAEMON_TOKEN_STREAM_H
#define SHALLOTFORD_SRC_DAEMON_TOKEN_STREAM_H

/// Reads an engine's answer to a decode or attach call.

#include "daemon_engine.h"

namespace shallotford {

/// Returns a handler that turns the server-sent events of a stream into calls
/// of aSink. A stream that ends without its last event is an error.
std::shared_ptr<HttpClientHandlerI>
MakeTokenStream(std::shared_ptr<TokenSinkI> aSink);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_TOKEN_STREAM_H
