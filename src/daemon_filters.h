#ifndef SHALLOTFORD_SRC_DAEMON_FILTERS_H
#define SHALLOTFORD_SRC_DAEMON_FILTERS_H

/// The filters that requests pass, and the two pipelines made of them.

#include "daemon_flow.h"

namespace shallotford {

class Worker;

/// Name of the filter at which a further attempt of a request starts.
constexpr std::string_view kPlaceFilter = "place";

// Model requests.
std::unique_ptr<FilterI>
MakeDecodeModelFilter(Worker& aWorker);
std::unique_ptr<FilterI>
MakePlaceFilter(Worker& aWorker);
std::unique_ptr<FilterI>
MakeReserveFilter(Worker& aWorker);
std::unique_ptr<FilterI>
MakePrefillFilter(Worker& aWorker);
std::unique_ptr<FilterI>
MakeTransferFilter(Worker& aWorker);
std::unique_ptr<FilterI>
MakeStreamFilter(Worker& aWorker);

// Plain calls.
std::unique_ptr<FilterI>
MakeDecodePlainFilter(Worker& aWorker);
std::unique_ptr<FilterI>
MakeTicketFilter(Worker& aWorker);
std::unique_ptr<FilterI>
MakePlacePlainFilter(Worker& aWorker);
std::unique_ptr<FilterI>
MakeCallPlainFilter(Worker& aWorker);

// Both.
std::unique_ptr<FilterI>
MakeIdentifyFilter(Worker& aWorker);
std::unique_ptr<FilterI>
MakeLimitFilter(Worker& aWorker);

/// Sets the ids of the caller's events to those of stream aStream at aEngine.
void
SetEventPrefix(Flow& aFlow,
               const std::string& aEngine,
               const AttemptId& aStream);

/// Returns a receiver for the tokens of the current attempt of aFlow.
std::shared_ptr<TokenSinkI>
MakeFlowSink(Worker& aWorker, const FlowPtr& aFlow, std::string aEngine);

/// Returns the pipeline of model requests.
Pipeline
MakeModelPipeline(Worker& aWorker);
/// Returns the pipeline of plain calls.
Pipeline
MakePlainPipeline(Worker& aWorker);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_FILTERS_H
