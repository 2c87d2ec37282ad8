#ifndef SHALLOTFORD_CONTROL_RECONCILE_H
#define SHALLOTFORD_CONTROL_RECONCILE_H

/// Reconciler: brings the models, adapters and roles of inference engines to
/// what the fleet text, the configuration of the fleet, asks for. Each round
/// compares the states that engines report with the wanted ones, and gives an
/// engine at most one order.

#include "shallotford/fleet.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shallotford {

/// State of an engine, as the engine reported it.
struct EngineReadback
{
  TimePoint m_readAt{}; ///< time of the report
  EngineRole m_role{ EngineRole::Decode };
  std::string m_model{}; ///< empty: none loaded
  std::string m_version{};
  std::set<std::string> m_adapters{};
  std::uint64_t m_acceptedFence{ 0 };
  bool m_draining{ false }; ///< by an order
  bool m_leaving{ false };  ///< the platform is removing it
  bool m_busy{ false };     ///< loading, or holds requests
  std::uint32_t m_running{ 0 };
};
/// Reported states by engine address. Engines that don't answer are absent.
/// States of any age count towards capacity and roles, but an order is based on
/// a recent one only.
using Readbacks = std::map<std::string, EngineReadback>;

enum class OrderKind
{
  LoadModel,
  LoadAdapter,
  UnloadAdapter,
  SetRole,
  Drain,
  Resume,
};
/// Returns the wire name, such as "load_model".
std::string_view
ToString(OrderKind aKind);

/// An order to one engine.
struct Order
{
  std::string m_engine{};
  std::uint64_t m_fence{ 0 };
  OrderKind m_kind{ OrderKind::Drain };
  std::string m_model{};
  std::string m_version{};
  std::string m_adapter{};
  EngineRole m_role{ EngineRole::Decode };
  std::string m_cause{};

  auto operator<=>(const Order&) const = default;
};

/// Work in progress at a service, as the number of engines that it would use
/// fully.
struct ServiceLoad
{
  double m_prefill{ 0 };
  double m_decode{ 0 };
};

/// Number of a service's engines in each role.
struct RoleCounts
{
  std::uint32_t m_prefill{ 0 };
  std::uint32_t m_decode{ 0 };

  std::uint32_t Total() const { return m_prefill + m_decode; }
  auto operator<=>(const RoleCounts&) const = default;
};

/// Adapts the split of a service's engines into prefill and decode to the
/// measured load, with hysteresis. With both roles lightly loaded it returns to
/// the split of the fleet text.
class RoleSplit
{
public:
  /// @param aConfigured  roles of the answering engines in the fleet text
  /// @param aActual      roles that the engines report
  /// @returns the roles to bring about
  RoleCounts Decide(TimePoint aNow,
                    std::uint64_t aRevision,
                    const ServiceEntry& aService,
                    const RoleCounts& aConfigured,
                    const RoleCounts& aActual,
                    const ServiceLoad& aLoad);

private:
  std::optional<std::uint64_t> m_revision;
  std::optional<RoleCounts> m_target;
  RoleCounts m_configured; ///< of the previous round
  RoleCounts m_actual;     ///< of the previous round
  /// 1: prefill should get an engine, -1: decode should, 0: neither.
  int m_pressure{ 0 };
  TimePoint m_pressureSince{};
  TimePoint m_changedAt{};
};

/// Wanted state of one engine.
struct EngineGoal
{
  std::string m_model{};
  std::string m_version{};
  std::set<std::string> m_adapters{};
  EngineRole m_role{ EngineRole::Decode };
};
/// Returns the goal of every engine that answers, by address, with as few role
/// changes as aCounts allows.
std::map<std::string, EngineGoal>
EngineGoals(const FleetText& aFleet,
            const ServiceEntry& aService,
            const Readbacks& aReadbacks,
            const RoleCounts& aCounts);

struct ReconcileInput
{
  FleetPtr m_fleet;
  std::string m_service;
  Readbacks m_readbacks; ///< of the service's engines
  ServiceLoad m_load;
  bool m_dependenciesSettled{ true };
  /// Every engine's state was requested at least once since this VM became the
  /// owner.
  bool m_allRead{ true };
};

struct ReconcileResult
{
  std::vector<Order> m_orders; ///< at most one for each engine
  bool m_settled{ false };     ///< every engine that answers is at its goal
  /// An engine accepted an order of a newer revision than this VM's.
  bool m_outdated{ false };
  RoleCounts m_target;
  /// Engines whose state is needed soon: those being changed, and those to be
  /// changed next.
  std::set<std::string> m_toRead;
  /// Why engines get no order in this round, for operators.
  std::vector<std::string> m_waitReasons;
};

/// Decides the orders to the engines of one service while this VM owns the
/// service. Its own state only limits the rate of changes; a new owner
/// continues from the states that the engines report.
class Reconciler
{
public:
  /// @param aSince  when this VM became the owner
  explicit Reconciler(TimePoint aSince);
  ReconcileResult Step(TimePoint aNow, const ReconcileInput& aInput);
  /// Records that an order was sent. The engine gets no further order until a
  /// later state of it is read.
  void OnOrderSent(const Order& aOrder, TimePoint aNow);

private:
  struct Round;

  bool AnsweredSinceSent(const Round& aRound, const std::string& aEngine) const;
  bool RequireFreshState(Round& aRound, const std::string& aEngine) const;
  bool MayLoad(TimePoint aNow, const Round& aRound) const;
  void RecordLoad(TimePoint aNow, const Round& aRound);
  void ContinueChange(Round& aRound, const std::string& aEngine);
  void BeginChange(Round& aRound, const std::string& aEngine);
  void UpdateAdapters(Round& aRound, const std::string& aEngine);
  void IssueOrders(Round& aRound);

  RoleSplit m_split;
  TimePoint m_since;
  /// When the service's share of the weight store's rate allows the next load.
  std::optional<TimePoint> m_nextLoadAt;
  std::map<std::string, TimePoint> m_sentAt;
};

/// Returns a direct or indirect dependency of a service that is down, or "".
/// @param aIsUp  returns whether a service has a live upstream, without regard
///               to its dependencies
std::string
DownDependency(const FleetText& aFleet,
               const std::string& aService,
               const std::function<bool(const std::string&)>& aIsUp);

/// Chooses which engines' states to read next. New engines and engines being
/// changed come first; a budget of calls per second goes to the others, those
/// read longest ago first.
class ReadbackSchedule
{
public:
  /// @param aCallsPerSecond  budget for engines that aren't urgent
  explicit ReadbackSchedule(double aCallsPerSecond);
  /// Returns the engines to read now, and takes them as read.
  /// @param aEngines  all engines to which this VM gives orders
  /// @param aUrgent   those of them that are being changed or will be next
  std::vector<std::string> Due(TimePoint aNow,
                               const std::vector<std::string>& aEngines,
                               const std::set<std::string>& aUrgent);
  /// Returns whether each of aEngines was returned by Due() at least once.
  bool AllRequested(const std::vector<std::string>& aEngines) const;

private:
  double m_callsPerSecond;
  double m_budget{ 0 };
  std::optional<TimePoint> m_refilledAt;
  std::map<std::string, TimePoint> m_requestedAt;
};

} // namespace shallotford

#endif // SHALLOTFORD_CONTROL_RECONCILE_H
