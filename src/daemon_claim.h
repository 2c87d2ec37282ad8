#ifndef SHALLOTFORD_SRC_DAEMON_CLAIM_H
#define SHALLOTFORD_SRC_DAEMON_CLAIM_H

/// Claims decode memory for attempts, and reports failed attempts to the
/// ledger.

#include "daemon_flow.h"

#include <functional>

namespace shallotford {

class Worker;

/// Describes what a flow's next attempt needs.
PlacementRequest
MakePlacementRequest(Worker& aWorker, const Flow& aFlow);

/// Opens an import for the flow's current attempt, unless one is open or being
/// opened. If the engine refuses, others are tried, kMaxDecodeMoves at most.
/// @param aGranted  called once the import is open; may be empty
void
ClaimMemory(Worker& aWorker,
            const FlowPtr& aFlow,
            std::function<void()> aGranted);

/// Tells the ledger that the current attempt failed at aEngine.
void
FailAttempt(Worker& aWorker,
            const FlowPtr& aFlow,
            const std::string& aEngine,
            const EngineError& aError);

/// Returns whether aAttempt is still the flow's current attempt.
bool
IsCurrent(const Flow& aFlow, std::uint32_t aAttempt);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_CLAIM_H
