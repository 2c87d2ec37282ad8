/// Finds the route of a request by host and path, and the service that gets it.

#include "config.h"
#include "shallotford/route.h"

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>

namespace shallotford {

namespace {

std::string
HostKey(std::string_view aHost)
{
  return boost::algorithm::to_lower_copy(
    std::string(aHost.substr(0, aHost.find(':'))));
}

std::string
PlaceKey(const Route& aRoute)
{
  return HostKey(aRoute.m_host) + aRoute.m_pathPrefix;
}

} // namespace

std::string_view
ToString(RouteKind aKind)
{
  switch (aKind) {
    case RouteKind::Repeatable:
      return "repeatable";
    case RouteKind::RunOnce:
      return "run_once";
    case RouteKind::Stream:
      return "stream";
  }
  return "?";
}

RouteTable::RouteTable(RoutingPtr aConfig)
  : m_config(std::move(aConfig))
{
  for (const Route& route : m_config->m_routes) {
    m_byHost[HostKey(route.m_host)].push_back(&route);
  }
  for (auto& [host, routes] : m_byHost) {
    std::stable_sort(routes.begin(),
                     routes.end(),
                     [](const Route* aLeft, const Route* aRight) {
                       return aLeft->m_pathPrefix.size() >
                              aRight->m_pathPrefix.size();
                     });
  }
}

std::set<std::string>
ServicesWithUrgencies(const RoutingConfig& aConfig)
{
  std::set<std::int32_t> ofOrganisations;
  for (const Organisation& organisation : aConfig.m_organisations) {
    if (organisation.m_priority) {
      ofOrganisations.insert(*organisation.m_priority);
    }
  }
  std::map<std::string, std::set<std::int32_t>> urgencies;
  for (const Route& route : aConfig.m_routes) {
    for (const RouteTarget& target : route.m_targets) {
      std::set<std::int32_t>& all =
        urgencies.try_emplace(target.m_service, ofOrganisations).first->second;
      all.insert(route.m_priority);
    }
  }
  std::set<std::string> services;
  for (const auto& [service, all] : urgencies) {
    if (all.size() > 1) {
      services.insert(service);
    }
  }
  return services;
}

const Route*
RouteTable::Find(std::string_view aHost, std::string_view aTarget) const
{
  auto found = m_byHost.find(HostKey(aHost));
  if (found == m_byHost.end()) {
    return nullptr;
  }
  std::string_view path = aTarget.substr(0, aTarget.find('?'));
  for (const Route* route : found->second) {
    if (path.starts_with(route->m_pathPrefix)) {
      return route;
    }
  }
  return nullptr;
}

void
RouteMoves::Record(const RoutingConfig& aBefore,
                   const RoutingConfig& aAfter,
                   TimePoint aNow)
{
  std::unordered_map<std::string, const Route*> before;
  for (const Route& route : aBefore.m_routes) {
    if (route.m_kind == RouteKind::Stream) {
      before.emplace(PlaceKey(route), &route);
    }
  }
  for (const Route& route : aAfter.m_routes) {
    if (route.m_kind != RouteKind::Stream) {
      continue;
    }
    std::string key = PlaceKey(route);
    auto found = before.find(key);
    if (found != before.end() && found->second->m_targets != route.m_targets) {
      m_movedAt[key] = aNow;
    }
  }
}

std::optional<TimePoint>
RouteMoves::MovedAt(const Route& aRoute) const
{
  auto found = m_movedAt.find(PlaceKey(aRoute));
  return found == m_movedAt.end() ? std::nullopt : std::optional(found->second);
}

void
RouteMoves::Expire(TimePoint aNow)
{
  std::erase_if(m_movedAt, [aNow](const auto& aMove) {
    return aNow - aMove.second > kOriginLifetime;
  });
}

const std::string&
ChooseTarget(const Route& aRoute, std::uint64_t aHash)
{
  double total = 0;
  for (const RouteTarget& target : aRoute.m_targets) {
    total += target.m_weight;
  }
  double point = UnitOf(aHash) * total;
  for (const RouteTarget& target : aRoute.m_targets) {
    point -= target.m_weight;
    if (point < 0) {
      return target.m_service;
    }
  }
  return aRoute.m_targets.back().m_service;
}

} // namespace shallotford
