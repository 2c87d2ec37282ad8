/// RouterTask: at the first start of all VMs, orders engines to change roles so
/// that the split into prefill and decode fits the typical request.

#include "config.h"
#include "router_task.h"

#include <algorithm>
#include <cmath>

namespace shallotford {

namespace {

/// Returns a fencing number that grows from one start of all VMs to the next.
std::uint64_t
NewFence()
{
  auto since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

std::int64_t
Percent(double aShare)
{
  return std::llround(100 * aShare);
}

} // namespace

bool
RouterTask::GivesOrders() const
{
  const std::vector<std::string>& seeds = m_options.m_seeds;
  auto least = std::min_element(seeds.begin(), seeds.end());
  return least != seeds.end() && *least == m_options.m_peerAddress;
}

void
RouterTask::SetRoles()
{
  Duration age = m_loop.Now() - m_shared.m_startedAt;
  bool due = m_options.m_firstStart && age >= kRoleOrdersFrom &&
             age < kRoleOrdersUntil && m_routes.Config() != nullptr;
  if (!due || !GivesOrders()) {
    return;
  }
  for (const auto& [name, service] : m_routes.Config()->m_services) {
    if (service.m_engines && service.m_roleChangeTime.count() > 0) {
      OrderRoles(service);
    }
  }
}

void
RouterTask::OrderRoles(const RoutedService& aService)
{
  const RequestShape& shape = m_options.m_typicalRequest;
  if (shape.m_promptTokens <= 0 || shape.m_outputTokens <= 0 ||
      aService.m_engineSlots == 0 || aService.m_engineTokens == 0) {
    return;
  }
  double share = PrefillShare(
    { .m_slots = aService.m_engineSlots,
      .m_memoryTokens = static_cast<double>(aService.m_engineTokens) },
    shape);
  RoleOrder order{ .m_role = EngineStage::Decode,
                   .m_holder = m_options.m_peerAddress,
                   .m_fence = NewFence() };
  for (const UpstreamPtr& engine : ChooseForDecode(
         m_upstreams.All(), aService.m_name, share, m_orderedEngines)) {
    const UpstreamEntry& entry = engine->m_entry;
    m_orderedEngines.insert(entry.m_key);
    m_permits.Charge(entry.m_key);
    m_engineCalls.Send(
      entry,
      m_dialect.RoleCall(entry, order),
      [this, id = entry.m_key.m_id, role = order.m_role, share](int aStatus) {
        m_log.Write(LogEvent("role_ordered")
                      .Add("upstream", id)
                      .Add("role", ToString(role))
                      .Add("prefill_work_percent", Percent(share))
                      .Add("status", std::int64_t{ aStatus }));
      });
  }
}

} // namespace shallotford
