/// RoutedRequest: what the time of its attempts tells of upstreams. RouterTask:
/// how operators see it.

#include "config.h"
#include "router_request.h"
#include "router_task.h"

#include <array>
#include <cmath>

namespace shallotford {

void
RoutedRequest::NotePace(AttemptEnd aEnd)
{
  bool isUnsure = m_callerSlow || m_sentAt <= m_shared.m_heldUpAt;
  bool answered = aEnd == AttemptEnd::Answered;
  TimePoint now = m_shared.m_loop.Now();
  Upstream& upstream = *m_upstream;
  auto learn = [&](const std::string& aKind, double aUnits, Duration aTook) {
    m_shared.m_upstreams.OnWork(upstream, aKind, aUnits, aTook, now);
  };
  if (isUnsure) {
    return;
  }
  if (m_phase == Phase::Prefill) {
    if (answered || aEnd == AttemptEnd::TimedOut) {
      learn("prefill", m_facts.m_promptTokens, now - m_sentAt);
    }
  } else if (m_phase == Phase::Run && answered && m_streaming) {
    // Only this attempt has brought events; a resumed one brings a part.
    bool isWhole = m_runs == 0 && !m_facts.m_resumes && m_answerBegun;
    if (isWhole) {
      learn("events", m_facts.m_outputTokens, m_lastBytesAt - m_firstEventAt);
    }
  } else if (m_phase == Phase::Run && answered) {
    constexpr int kStatusClass = 100;
    bool isDone = m_heldAnswer.m_head.m_status / kStatusClass == 2;
    learn("route " + m_route->m_name, isDone ? 1 : 0, now - m_sentAt);
  }
  LogPace(upstream, now);
}

void
RoutedRequest::LogPace(Upstream& aUpstream, TimePoint aNow) const
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
  m_shared.m_log.Write(
    LogEvent("upstream_pace")
      .Add("upstream", aUpstream.m_entry.m_key.m_id)
      .Add("service", aUpstream.m_entry.m_service)
      .Add("slowness_percent", percent(slowness))
      .Add("before_percent", percent(before))
      .Add("limit_percent", percent(aUpstream.m_pace.LimitFactor(aNow))));
}

void
RouterTask::SetPaceGauges()
{
  constexpr std::array<const char*, 3> kNames = { "upstream_slowness",
                                                  "upstream_limit",
                                                  "upstream_pace_age_seconds" };
  for (const char* name : kNames) {
    m_metrics.Clear(name);
  }
  TimePoint now = m_loop.Now();
  std::size_t shown = 0;
  for (const UpstreamPtr& upstream : m_upstreams.All()) {
    const UpstreamPace& pace = upstream->m_pace;
    const std::string& id = upstream->m_entry.m_key.m_id;
    bool isLabel = id.find_first_of("\"\\\n") == std::string::npos;
    if (!pace.Age(now) || !isLabel || ++shown > kMaxPaceMetrics) {
      continue;
    }
    std::string label = "upstream=\"" + id + "\"";
    using Seconds = std::chrono::duration<double>;
    m_metrics.Set(kNames[0], label, pace.Slowness(now));
    m_metrics.Set(
      kNames[1], label, pace.LimitFactor(now) * Concurrency(upstream->m_entry));
    m_metrics.Set(kNames[2], label, Seconds(*pace.Age(now)).count());
  }
}

} // namespace shallotford
