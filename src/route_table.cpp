/// Finds the route of a request by host and path, and the service that gets it.

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
