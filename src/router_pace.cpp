/// How operators see what was learnt of upstreams: log lines and gauges.

#include "router_pace.h"

#include "config.h"

#include <array>
#include <cmath>

namespace shallotford {

void
LogPace(LogI& aLog, Upstream& aUpstream, TimePoint aNow)
{
  double slowness = aUpstream.m_pace.LastingSlowness(aNow);
  double before = aUpstream.m_loggedSlowness;
  bool isLarge = slowness > before * kLoggedPaceChange ||
                 slowness < before / kLoggedPaceChange;
  if (!isLarge) {
    return;
  }
  aUpstream.m_loggedSlowness = slowness;
  auto percent = [](double aShare) {
    constexpr double kPercent = 100;
    return static_cast<std::int64_t>(std::lround(kPercent * aShare));
  };
  aLog.Write(
    LogEvent("upstream_pace")
      .Add("upstream", aUpstream.m_entry.m_key.m_id)
      .Add("service", aUpstream.m_entry.m_service)
      .Add("slowness_percent", percent(slowness))
      .Add("before_percent", percent(before))
      .Add("limit_percent", percent(aUpstream.m_pace.LimitFactor(aNow))));
}

void
SetPaceGauges(Metrics& aMetrics,
              const UpstreamTable& aUpstreams,
              TimePoint aNow)
{
  constexpr std::array<const char*, 3> kNames = { "upstream_slowness",
                                                  "upstream_limit",
                                                  "upstream_pace_age_seconds" };
  for (const char* name : kNames) {
    aMetrics.Clear(name);
  }
  std::size_t shown = 0;
  for (const UpstreamPtr& upstream : aUpstreams.All()) {
    const UpstreamPace& pace = upstream->m_pace;
    const std::string& id = upstream->m_entry.m_key.m_id;
    bool isLabel = id.find_first_of("\"\\\n") == std::string::npos;
    if (!pace.Age(aNow) || !isLabel || ++shown > kMaxPaceMetrics) {
      continue;
    }
    std::string label = "upstream=\"" + id + "\"";
    using Seconds = std::chrono::duration<double>;
    aMetrics.Set(kNames[0], label, pace.Slowness(aNow));
    aMetrics.Set(kNames[1],
                 label,
                 pace.LimitFactor(aNow) * Concurrency(upstream->m_entry));
    aMetrics.Set(kNames[2], label, Seconds(*pace.Age(aNow)).count());
  }
}

} // namespace shallotford
