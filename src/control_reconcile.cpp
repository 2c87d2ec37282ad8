/// Rounds of the reconciler: compares reported and wanted states of a service's
/// engines and decides the next orders, within capacity and pacing limits.

#include "shallotford/control/reconcile.h"

#include "config.h"
#include "shallotford/control/ownership.h"

#include <algorithm>
#include <cmath>

namespace shallotford {

namespace {

bool
HasModel(const EngineReadback& aEngine, const EngineGoal& aGoal)
{
  return aEngine.m_model == aGoal.m_model &&
         aEngine.m_version == aGoal.m_version;
}

/// Whether the engine must have no requests before it can reach its goal.
bool
NeedsDrain(const EngineReadback& aEngine, const EngineGoal& aGoal)
{
  return !HasModel(aEngine, aGoal) || aEngine.m_role != aGoal.m_role;
}

bool
IsAtGoal(const EngineReadback& aEngine, const EngineGoal& aGoal)
{
  return !NeedsDrain(aEngine, aGoal) && !aEngine.m_draining &&
         aEngine.m_adapters == aGoal.m_adapters;
}

/// Whether the engine accepts requests for aModel, in any version.
bool
Serves(const EngineReadback& aEngine, const std::string& aModel)
{
  return aEngine.m_model == aModel && !aEngine.m_draining && !aEngine.m_leaving;
}

std::uint32_t
EnginesNeeded(double aLoad, std::uint32_t aMin)
{
  auto needed = static_cast<std::uint32_t>(std::ceil(aLoad / kMaxUtilisation));
  return std::max(needed, aMin);
}

RoleCounts
CountRoles(const ServiceEntry& aService,
           const Readbacks& aReadbacks,
           bool aConfigured)
{
  RoleCounts counts;
  for (const EngineEntry& entry : aService.m_engines) {
    auto found = aReadbacks.find(entry.m_address);
    if (found == aReadbacks.end() || found->second.m_leaving) {
      continue;
    }
    EngineRole role = aConfigured ? entry.m_role : found->second.m_role;
    ++(role == EngineRole::Prefill ? counts.m_prefill : counts.m_decode);
  }
  return counts;
}

std::uint32_t
CountModelServices(const FleetText& aFleet)
{
  auto count = std::count_if(aFleet.m_services.begin(),
                             aFleet.m_services.end(),
                             [](const ServiceEntry& aService) {
                               return aService.m_kind == ServiceKind::Model;
                             });
  return static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(count, 1));
}

} // namespace

std::string_view
ToString(OrderKind aKind)
{
  switch (aKind) {
    case OrderKind::LoadModel:
      return "load_model";
    case OrderKind::LoadAdapter:
      return "load_adapter";
    case OrderKind::UnloadAdapter:
      return "unload_adapter";
    case OrderKind::SetRole:
      return "set_role";
    case OrderKind::Drain:
      return "drain";
    case OrderKind::Resume:
      break;
  }
  return "resume";
}

/// Working state of one Step.
struct Reconciler::Round
{
  TimePoint m_now;
  const FleetText& m_fleet;
  const ServiceEntry& m_service;
  const Readbacks& m_engines;
  const std::map<std::string, EngineGoal>& m_goals;
  const ServiceLoad& m_load;
  ReconcileResult& m_result;
  RoleCounts m_pool; ///< answering engines, by reported role
  RoleCounts m_serving{};
  std::uint32_t m_changing{ 0 };            ///< number of engines being changed
  std::vector<std::string> m_underChange{}; ///< drained by an order
  std::vector<std::string> m_toChange{};

  const EngineReadback& Engine(const std::string& aEngine) const
  {
    return m_engines.at(aEngine);
  }

  void AddOrder(const std::string& aEngine,
                Order aOrder,
                std::string aCause) const
  {
    std::optional<std::uint64_t> fence =
      NextFence(m_fleet.m_revision, Engine(aEngine).m_acceptedFence);
    if (!fence) {
      m_result.m_outdated = true;
      return;
    }
    aOrder.m_engine = aEngine;
    aOrder.m_fence = *fence;
    aOrder.m_cause = std::move(aCause);
    m_result.m_orders.push_back(std::move(aOrder));
  }

  std::uint32_t& ServingIn(EngineRole aRole)
  {
    return aRole == EngineRole::Prefill ? m_serving.m_prefill
                                        : m_serving.m_decode;
  }

  /// Counts an engine as being changed and, if it serves, as lost capacity.
  void CountAsChanging(const EngineReadback& aEngine)
  {
    ++m_changing;
    if (Serves(aEngine, m_service.m_model)) {
      --ServingIn(aEngine.m_role);
    }
  }

  /// Counts the serving engines and lists those that aren't at their goal.
  void Classify()
  {
    m_result.m_settled = true;
    for (const auto& [address, goal] : m_goals) {
      const EngineReadback& engine = Engine(address);
      if (Serves(engine, m_service.m_model)) {
        ++ServingIn(engine.m_role);
      }
      if (!NextFence(m_fleet.m_revision, engine.m_acceptedFence)) {
        m_result.m_outdated = true;
      }
      if (IsAtGoal(engine, goal)) {
        continue;
      }
      m_result.m_settled = false;
      if (engine.m_draining) {
        ++m_changing;
      }
      (engine.m_draining ? m_underChange : m_toChange).push_back(address);
    }
    // Engines that don't serve the model cost no capacity and are changed
    // first, then the others by increasing number of running requests.
    auto cost = [&](const std::string& aEngine) {
      const EngineReadback& engine = Engine(aEngine);
      return std::pair(Serves(engine, m_service.m_model), engine.m_running);
    };
    std::stable_sort(m_toChange.begin(),
                     m_toChange.end(),
                     [&](const std::string& aLeft, const std::string& aRight) {
                       return cost(aLeft) < cost(aRight);
                     });
  }

  void AddWaitReason(const std::string& aEngine, const char* aReason) const
  {
    m_result.m_waitReasons.push_back(aEngine + ": " + aReason);
  }

  /// Whether the engine's role can do without it. A model load may take the
  /// role one engine below its configured minimum, since a pool of the minimum
  /// size could never be updated otherwise. The capacity in use is always kept.
  bool CanSpare(const std::string& aEngine)
  {
    const EngineReadback& engine = Engine(aEngine);
    if (!Serves(engine, m_service.m_model)) {
      return true;
    }
    bool prefills = engine.m_role == EngineRole::Prefill;
    std::uint32_t minimum =
      prefills ? m_service.m_minPrefill : m_service.m_minDecode;
    if (!HasModel(engine, m_goals.at(aEngine))) {
      std::uint32_t pool = prefills ? m_pool.m_prefill : m_pool.m_decode;
      minimum = std::min(minimum, pool - 1);
    }
    double load = prefills ? m_load.m_prefill : m_load.m_decode;
    return ServingIn(engine.m_role) > EnginesNeeded(load, minimum);
  }
};

Reconciler::Reconciler(TimePoint aSince)
  : m_since(aSince)
{
}

void
Reconciler::OnOrderSent(const Order& aOrder, TimePoint aNow)
{
  m_sentAt[aOrder.m_engine] = aNow;
}

bool
Reconciler::AnsweredSinceSent(const Round& aRound,
                              const std::string& aEngine) const
{
  auto sent = m_sentAt.find(aEngine);
  return sent == m_sentAt.end() ||
         aRound.Engine(aEngine).m_readAt > sent->second;
}

/// Requests another reading of the engine's state. Returns whether the last one
/// is recent enough for an order, and later than the last order sent.
bool
Reconciler::RequireFreshState(Round& aRound, const std::string& aEngine) const
{
  aRound.m_result.m_toRead.insert(aEngine);
  Duration age = aRound.m_now - aRound.Engine(aEngine).m_readAt;
  return age <= kMaxReadbackAge && AnsweredSinceSent(aRound, aEngine);
}

/// Each model service may use an equal part of the weight store's rate, so that
/// their owners need no coordination. A new owner doesn't know when the last
/// load started, and waits as if it had started when the ownership began.
bool
Reconciler::MayLoad(TimePoint aNow, const Round& aRound) const
{
  if (aRound.m_fleet.m_weightStoreBytesPerSecond == 0) {
    return true;
  }
  return m_nextLoadAt && aNow >= *m_nextLoadAt;
}

void
Reconciler::RecordLoad(TimePoint aNow, const Round& aRound)
{
  const ModelEntry* model = aRound.m_fleet.FindModel(aRound.m_service.m_model);
  std::uint64_t rate = aRound.m_fleet.m_weightStoreBytesPerSecond;
  if (model == nullptr || rate == 0) {
    return;
  }
  double share = static_cast<double>(rate) / CountModelServices(aRound.m_fleet);
  std::chrono::duration<double> time(static_cast<double>(model->m_weightBytes) /
                                     share);
  m_nextLoadAt = aNow + std::chrono::duration_cast<Duration>(time);
}

void
Reconciler::ContinueChange(Round& aRound, const std::string& aEngine)
{
  const EngineReadback& engine = aRound.Engine(aEngine);
  const EngineGoal& goal = aRound.m_goals.at(aEngine);
  if (!NeedsDrain(engine, goal)) {
    if (engine.m_adapters != goal.m_adapters) {
      UpdateAdapters(aRound, aEngine);
      return;
    }
    aRound.AddOrder(
      aEngine, { .m_kind = OrderKind::Resume }, "the engine is at its goal");
    return;
  }
  if (engine.m_busy) {
    aRound.AddWaitReason(aEngine, "draining or loading");
    return;
  }
  if (HasModel(engine, goal)) {
    aRound.AddOrder(aEngine,
                    { .m_kind = OrderKind::SetRole, .m_role = goal.m_role },
                    "the role split assigns another role");
    return;
  }
  if (!MayLoad(aRound.m_now, aRound)) {
    aRound.AddWaitReason(aEngine,
                         "the service's share of the weight store is in use");
    return;
  }
  std::size_t orders = aRound.m_result.m_orders.size();
  aRound.AddOrder(aEngine,
                  { .m_kind = OrderKind::LoadModel,
                    .m_model = goal.m_model,
                    .m_version = goal.m_version },
                  "the fleet text lists another model or version");
  if (aRound.m_result.m_orders.size() > orders) {
    RecordLoad(aRound.m_now, aRound);
  }
}

void
Reconciler::BeginChange(Round& aRound, const std::string& aEngine)
{
  const EngineReadback& engine = aRound.Engine(aEngine);
  if (aRound.m_changing >= aRound.m_fleet.m_ordersAtOnce) {
    aRound.AddWaitReason(aEngine,
                         "the limit of engines changed at once is reached");
    return;
  }
  if (!aRound.CanSpare(aEngine)) {
    aRound.AddWaitReason(aEngine, "its capacity is needed");
    return;
  }
  if (!RequireFreshState(aRound, aEngine)) {
    aRound.AddWaitReason(aEngine, "waiting for a fresh state");
    // Counted already, so that no other engine is chosen in its place.
    aRound.CountAsChanging(engine);
    return;
  }
  const EngineGoal& goal = aRound.m_goals.at(aEngine);
  bool hasModel = HasModel(engine, goal);
  aRound.AddOrder(aEngine,
                  { .m_kind = OrderKind::Drain },
                  hasModel ? "before a role change" : "before a model load");
  aRound.CountAsChanging(engine);
}

void
Reconciler::UpdateAdapters(Round& aRound, const std::string& aEngine)
{
  const EngineReadback& engine = aRound.Engine(aEngine);
  const EngineGoal& goal = aRound.m_goals.at(aEngine);
  for (const std::string& adapter : goal.m_adapters) {
    if (!engine.m_adapters.contains(adapter)) {
      aRound.AddOrder(aEngine,
                      { .m_kind = OrderKind::LoadAdapter,
                        .m_model = goal.m_model,
                        .m_adapter = adapter },
                      "the fleet text lists the adapter");
      return;
    }
  }
  for (const std::string& adapter : engine.m_adapters) {
    if (!goal.m_adapters.contains(adapter)) {
      aRound.AddOrder(aEngine,
                      { .m_kind = OrderKind::UnloadAdapter,
                        .m_model = goal.m_model,
                        .m_adapter = adapter },
                      "the fleet text doesn't list the adapter");
      return;
    }
  }
}

ReconcileResult
Reconciler::Step(TimePoint aNow, const ReconcileInput& aInput)
{
  ReconcileResult result;
  const FleetText& fleet = *aInput.m_fleet;
  const ServiceEntry* service = fleet.FindService(aInput.m_service);
  if (service == nullptr || service->m_kind != ServiceKind::Model) {
    result.m_settled = true;
    return result;
  }
  const Readbacks& engines = aInput.m_readbacks;
  RoleCounts configured = CountRoles(*service, engines, true);
  RoleCounts actual = CountRoles(*service, engines, false);
  result.m_target = m_split.Decide(
    aNow, fleet.m_revision, *service, configured, actual, aInput.m_load);
  std::map<std::string, EngineGoal> goals =
    EngineGoals(fleet, *service, engines, result.m_target);
  Round round{ .m_now = aNow,
               .m_fleet = fleet,
               .m_service = *service,
               .m_engines = engines,
               .m_goals = goals,
               .m_load = aInput.m_load,
               .m_result = result,
               .m_pool = actual };
  if (!m_nextLoadAt) {
    RecordLoad(m_since, round);
  }
  round.Classify();
  if (result.m_outdated) {
    result.m_waitReasons.emplace_back(
      "an engine accepted an order of a newer revision");
  } else if (!aInput.m_allRead) {
    result.m_waitReasons.emplace_back(
      "not every engine's state has been requested yet");
  } else if (!aInput.m_dependenciesSettled) {
    result.m_waitReasons.emplace_back(
      "a dependency's engines aren't at their goals yet");
  } else {
    IssueOrders(round);
  }
  return result;
}

void
Reconciler::IssueOrders(Round& aRound)
{
  for (const std::string& address : aRound.m_underChange) {
    if (RequireFreshState(aRound, address)) {
      ContinueChange(aRound, address);
    }
  }
  std::vector<std::string> answered;
  for (const std::string& address : aRound.m_toChange) {
    if (AnsweredSinceSent(aRound, address)) {
      answered.push_back(address);
    } else {
      // The engine may have accepted the order.
      aRound.m_result.m_toRead.insert(address);
      aRound.CountAsChanging(aRound.Engine(address));
    }
  }
  for (const std::string& address : answered) {
    if (NeedsDrain(aRound.Engine(address), aRound.m_goals.at(address))) {
      BeginChange(aRound, address);
    } else if (aRound.m_changing >= aRound.m_fleet.m_ordersAtOnce) {
      aRound.AddWaitReason(address,
                           "the limit of engines changed at once is reached");
    } else {
      ++aRound.m_changing;
      if (RequireFreshState(aRound, address)) {
        UpdateAdapters(aRound, address);
      }
    }
  }
}

} // namespace shallotford
