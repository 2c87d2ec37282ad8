/// Finds dependencies of a service that are down, and schedules the reading of
/// engine states within a budget of calls.

#include "shallotford/control/reconcile.h"

#include "config.h"

#include <algorithm>

namespace shallotford {

namespace {

std::string
FindDown(const FleetText& aFleet,
         const std::string& aService,
         const std::function<bool(const std::string&)>& aIsUp,
         std::set<std::string>& aVisited)
{
  const ServiceEntry* service = aFleet.FindService(aService);
  if (service == nullptr || !aVisited.insert(aService).second) {
    return "";
  }
  for (const std::string& dependency : service->m_dependsOn) {
    if (!aIsUp(dependency)) {
      return dependency;
    }
    std::string indirect = FindDown(aFleet, dependency, aIsUp, aVisited);
    if (!indirect.empty()) {
      return indirect;
    }
  }
  return "";
}

} // namespace

std::string
DownDependency(const FleetText& aFleet,
               const std::string& aService,
               const std::function<bool(const std::string&)>& aIsUp)
{
  std::set<std::string> visited;
  return FindDown(aFleet, aService, aIsUp, visited);
}

ReadbackSchedule::ReadbackSchedule(double aCallsPerSecond)
  : m_callsPerSecond(aCallsPerSecond)
{
}

std::vector<std::string>
ReadbackSchedule::Due(TimePoint aNow,
                      const std::vector<std::string>& aEngines,
                      const std::set<std::string>& aUrgent)
{
  std::chrono::duration<double> elapsed =
    m_refilledAt ? aNow - *m_refilledAt : Duration{ 0 };
  m_refilledAt = aNow;
  m_budget = std::min(std::max(1.0, m_callsPerSecond),
                      m_budget + m_callsPerSecond * elapsed.count());
  std::vector<std::pair<TimePoint, std::string>> others;
  std::vector<std::string> due;
  std::size_t firstReads = 0;
  for (const std::string& engine : aEngines) {
    auto requested = m_requestedAt.find(engine);
    if (requested == m_requestedAt.end()) {
      if (firstReads < kMaxFirstReadsPerTurn) {
        ++firstReads;
        due.push_back(engine);
      }
    } else if (!aUrgent.contains(engine)) {
      others.emplace_back(requested->second, engine);
    } else if (aNow - requested->second >= kUrgentReadPeriod) {
      due.push_back(engine);
    }
  }
  auto maxCount = static_cast<std::size_t>(m_budget);
  std::size_t count = std::min(maxCount, others.size());
  std::partial_sort(others.begin(),
                    others.begin() + static_cast<std::ptrdiff_t>(count),
                    others.end());
  for (std::size_t i = 0; i < count; ++i) {
    due.push_back(others[i].second);
    m_budget -= 1;
  }
  for (const std::string& engine : due) {
    m_requestedAt[engine] = aNow;
  }
  std::set<std::string> known(aEngines.begin(), aEngines.end());
  std::erase_if(m_requestedAt, [&](const auto& aItem) {
    return !known.contains(aItem.first);
  });
  return due;
}

bool
ReadbackSchedule::AllRequested(const std::vector<std::string>& aEngines) const
{
  return std::all_of(
    aEngines.begin(), aEngines.end(), [this](const std::string& aEngine) {
      return m_requestedAt.contains(aEngine);
    });
}

} // namespace shallotford
