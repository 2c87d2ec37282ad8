/// Brings the engines of the model services that this VM owns to the state that
/// the fleet text asks for: reads the engines' states and sends them orders.

#include "config.h"
#include "daemon_control.h"

#include <algorithm>

namespace shallotford {

namespace {

EngineReadback
ToReadback(const EngineState& aState, TimePoint aNow)
{
  return { .m_readAt = aNow,
           .m_role = aState.m_role,
           .m_model = aState.m_model,
           .m_version = aState.m_version,
           .m_adapters = { aState.m_adapters.begin(), aState.m_adapters.end() },
           .m_acceptedFence = aState.m_acceptedFence,
           .m_draining = aState.m_draining,
           .m_leaving = aState.m_leaving,
           .m_busy = aState.m_busy };
}

} // namespace

OrderTask::OrderTask(ControlState& aState)
  : m_state(aState)
  , m_schedule(kStateReadsPerSecond)
{
}

void
OrderTask::Start()
{
  Tick();
}

void
OrderTask::SetLoads(std::map<std::string, ServiceLoad> aLoads,
                    std::map<std::string, std::uint32_t> aRunning)
{
  m_loads = std::move(aLoads);
  m_running = std::move(aRunning);
}

void
OrderTask::Tick()
{
  m_state.m_loop.RunAfter(kOrderTick, [this] { Tick(); });
  FleetPtr fleet = m_state.m_revisionStore.Current();
  if (!fleet || m_state.m_draining) {
    return;
  }
  TimePoint now = m_state.Now();
  std::vector<std::string> live = m_state.m_membership.Live(now);
  std::vector<std::string> engines;
  for (const ServiceEntry& service : fleet->m_services) {
    bool owned =
      service.m_kind == ServiceKind::Model &&
      ServiceOwner(service.m_name, live) == m_state.m_options.m_vm.m_address;
    if (!owned) {
      m_reconcilers.erase(service.m_name);
      m_settled.erase(service.m_name);
      continue;
    }
    m_reconcilers.try_emplace(service.m_name, now);
    for (const EngineEntry& engine : service.m_engines) {
      engines.push_back(engine.m_address);
    }
    Step(service);
  }
  for (const std::string& engine : m_schedule.Due(now, engines, m_urgent)) {
    Read(engine);
  }
}

void
OrderTask::Read(const std::string& aEngine)
{
  m_reads[aEngine] = m_state.m_engine.State(
    aEngine, [this, aEngine](const EngineResult<EngineState>& aResult) {
      OnState(aEngine, aResult);
    });
}

void
OrderTask::OnState(const std::string& aEngine,
                   const EngineResult<EngineState>& aResult)
{
  const auto* state = std::get_if<EngineState>(&aResult);
  if (state == nullptr) {
    m_readbacks.erase(aEngine);
    return;
  }
  m_readbacks[aEngine] = ToReadback(*state, m_state.Now());
}

bool
OrderTask::DependenciesSettled(const ServiceEntry& aService) const
{
  return std::all_of(
    aService.m_dependsOn.begin(),
    aService.m_dependsOn.end(),
    [this](const std::string& aName) { return IsSettled(aName); });
}

/// Returns whether a service's engines are in the state that the revision in
/// force asks for. This VM knows it of its own services by their readbacks, and
/// of others by their owners' rumors.
bool
OrderTask::IsSettled(const std::string& aService) const
{
  const ServiceEntry* service =
    m_state.m_revisionStore.Current()->FindService(aService);
  if (service == nullptr || service->m_kind != ServiceKind::Model) {
    return true;
  }
  auto own = m_settled.find(aService);
  if (own != m_settled.end()) {
    return own->second;
  }
  const Rumor* rumor =
    m_state.m_membership.Rumors().Find(kRumorSettled, aService);
  return rumor != nullptr && rumor->m_version == m_state.Revision() &&
         m_state.Now() < rumor->m_expiry;
}

/// Spreads that a service is settled, for the owners of the services that
/// depend on it. The rumor is repeated before it expires.
void
OrderTask::SpreadSettled(const std::string& aService)
{
  TimePoint now = m_state.Now();
  auto last = m_settledSpreadAt.find(aService);
  if (last != m_settledSpreadAt.end() &&
      now - last->second < kSettledSpreadPeriod) {
    return;
  }
  m_settledSpreadAt[aService] = now;
  m_state.m_membership.Spread(kRumorSettled,
                              aService,
                              m_state.Revision(),
                              "",
                              kSettledRumorLifetime,
                              now);
}

void
OrderTask::Step(const ServiceEntry& aService)
{
  TimePoint now = m_state.Now();
  ReconcileInput input;
  input.m_fleet = m_state.m_revisionStore.Current();
  input.m_service = aService.m_name;
  input.m_load = m_loads[aService.m_name];
  input.m_dependenciesSettled = DependenciesSettled(aService);
  std::vector<std::string> engines;
  for (const EngineEntry& engine : aService.m_engines) {
    engines.push_back(engine.m_address);
    auto known = m_readbacks.find(engine.m_address);
    if (known != m_readbacks.end()) {
      known->second.m_running = m_running[engine.m_address];
      input.m_readbacks.insert(*known);
    }
    m_urgent.erase(engine.m_address);
  }
  input.m_allRead = m_schedule.AllRequested(engines);
  auto reconciler = m_reconcilers.find(aService.m_name);
  ReconcileResult result = reconciler->second.Step(now, input);
  m_settled[aService.m_name] = result.m_settled;
  m_urgent.insert(result.m_toRead.begin(), result.m_toRead.end());
  if (result.m_settled) {
    SpreadSettled(aService.m_name);
  }
  for (const Order& order : result.m_orders) {
    Send(aService.m_name, order);
  }
}

void
OrderTask::Send(const std::string& aService, const Order& aOrder)
{
  TimePoint now = m_state.Now();
  bool allowed =
    m_state.m_guard.MayOrder(now,
                             m_state.m_membership.ReachableCount(now),
                             m_state.m_membership.ListedCount()) &&
    m_state.m_revisionStore.Conflicts().empty();
  if (!allowed) {
    return;
  }
  m_reconcilers.at(aService).OnOrderSent(aOrder, now);
  EngineOrder order{ .m_fence = aOrder.m_fence,
                     .m_order = std::string(ToString(aOrder.m_kind)),
                     .m_model = aOrder.m_model,
                     .m_version = aOrder.m_version,
                     .m_adapter = aOrder.m_adapter,
                     .m_role = aOrder.m_role };
  m_state.Audit(AuditKind::Order,
                aOrder.m_engine,
                order.m_order + " " + aOrder.m_model + " fence " +
                  std::to_string(aOrder.m_fence),
                aOrder.m_cause);
  auto done = [this, engine = aOrder.m_engine](
                const EngineResult<std::monostate>& aResult) {
    const auto* error = std::get_if<EngineError>(&aResult);
    if (error != nullptr) {
      m_state.m_log.Write(LogEvent("order_refused", LogLevel::Warning)
                            .Add("engine", engine)
                            .Add("reason", error->m_reason));
    }
  };
  m_orders[aOrder.m_engine] =
    m_state.m_engine.Order(aOrder.m_engine, order, std::move(done));
}

} // namespace shallotford
