#ifndef SHALLOTFORD_SRC_DAEMON_POSTING_EXCHANGE_H
#define SHALLOTFORD_SRC_DAEMON_POSTING_EXCHANGE_H

/// An HTTP exchange that lets one task answer a request that arrived on another
/// task's socket.

#include "shallotford/net.h"

namespace shallotford {

/// Returns an exchange whose calls are posted to aOwner, the loop that aInner
/// belongs to. Only whole answers are supported: Begin(), Write() and End()
/// collect one. OnClosed() callbacks run on aUser's loop.
std::shared_ptr<HttpExchangeI>
MakePostingExchange(LoopI& aOwner,
                    LoopI& aUser,
                    std::shared_ptr<HttpExchangeI> aInner);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_POSTING_EXCHANGE_H
