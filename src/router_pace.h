#ifndef SHALLOTFORD_SRC_ROUTER_PACE_H
#define SHALLOTFORD_SRC_ROUTER_PACE_H

/// How operators see what was learnt of upstreams: log lines and gauges.

#include "daemon_metrics.h"
#include "shallotford/route.h"

namespace shallotford {

/// Logs a large change of the upstream's slowness since its last line.
void
LogPace(LogI& aLog, Upstream& aUpstream, TimePoint aNow);

/// Sets the gauges of at most kMaxPaceMetrics upstreams.
void
SetPaceGauges(Metrics& aMetrics,
              const UpstreamTable& aUpstreams,
              TimePoint aNow);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_ROUTER_PACE_H
