/// The order of the filters for model requests and for plain calls.

#include "daemon_filters.h"

namespace shallotford {

Pipeline
MakeModelPipeline(Worker& aWorker)
{
  Pipeline pipeline;
  pipeline.Add(MakeIdentifyFilter(aWorker));
  pipeline.Add(MakeDecodeModelFilter(aWorker));
  pipeline.Add(MakeLimitFilter(aWorker));
  pipeline.Add(MakePlaceFilter(aWorker));
  pipeline.Add(MakeReserveFilter(aWorker));
  pipeline.Add(MakePrefillFilter(aWorker));
  pipeline.Add(MakeTransferFilter(aWorker));
  pipeline.Add(MakeStreamFilter(aWorker));
  return pipeline;
}

Pipeline
MakePlainPipeline(Worker& aWorker)
{
  Pipeline pipeline;
  pipeline.Add(MakeIdentifyFilter(aWorker));
  pipeline.Add(MakeDecodePlainFilter(aWorker));
  pipeline.Add(MakeTicketFilter(aWorker));
  pipeline.Add(MakeLimitFilter(aWorker));
  pipeline.Add(MakePlacePlainFilter(aWorker));
  pipeline.Add(MakeCallPlainFilter(aWorker));
  return pipeline;
}

} // namespace shallotford
