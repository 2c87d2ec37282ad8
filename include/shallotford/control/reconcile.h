#ifndef SHALLOTFORD_CONTROL_RECONCILE_H
#define SHALLOTFORD_CONTROL_RECONCILE_H

/// Brings engines to the fleet text, one step at a time: each round compares
/// what the engines say with what the text wants, and repeats.

#include "shallotford/fleet.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shallotford {

/// An engine as it described itself.
struct EngineReadback
{
  TimePoint m_readAt{}; ///< when the answer came
  EngineRole m_role{ EngineRole::Decode };
  std::string m_model{}; ///< empty: none loaded
  std::string m_version{};
  std::set<std::string> m_adapters{};
  std::uint64_t m_acceptedFence{ 0 };
  bool m_draining{ false }; ///< by an order
  bool m_leaving{ false };  ///< the platform takes it away
  bool m_busy{ false };     ///< loading, or holds requests
  std::uint32_t m_running{ 0 };
};
/// By address. Engines that don't answer are absent. Old readings count, but
/// orders are given on fresh ones only.
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

/// Work in progress at a service, in engines that it would keep wholly busy.
struct ServiceLoad
{
  double m_prefill{ 0 };
  double m_decode{ 0 };
};

/// Engines of a service by role.
struct RoleCounts
{
  std::uint32_t m_prefill{ 0 };
  std::uint32_t m_decode{ 0 };

  std::uint32_t Total() const { return m_prefill + m_decode; }
  auto operator<=>(const RoleCounts&) const = default;
};

/// Follows the measured load with the number of prefill engines, with
/// hysteresis. Without pressure on either role it returns to the text's split.
class RoleSplit
{
public:
  /// @param aText    counts that the text wants, of the engines that answer
  /// @param aActual  counts by the engines' own word
  /// @returns the counts to bring about
  RoleCounts Decide(TimePoint aNow,
                    std::uint64_t aRevision,
                    const ServiceEntry& aService,
                    const RoleCounts& aText,
                    const RoleCounts& aActual,
                    const ServiceLoad& aLoad);

private:
  std::optional<std::uint64_t> m_revision;
  std::optional<RoleCounts> m_target;
  RoleCounts m_text;   ///< of the round before
  RoleCounts m_actual; ///< of the round before
  int m_pressure{ 0 }; ///< 1: prefill wants an engine, -1: decode does
  TimePoint m_pressureSince{};
  TimePoint m_changedAt{};
};

/// What one engine should be.
struct EngineGoal
{
  std::string m_model{};
  std::string m_version{};
  std::set<std::string> m_adapters{};
  EngineRole m_role{ EngineRole::Decode };
};
/// Returns the goal of every engine that answers, with as few role changes as
/// aCounts allows. By address.
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
  /// Every engine was read, or didn't answer, since this VM became the owner.
  bool m_allRead{ true };
};

struct ReconcileResult
{
  std::vector<Order> m_orders; ///< at most one for each engine
  bool m_settled{ false };     ///< every engine that answers is at its goal
  bool m_outdated{ false };    ///< an engine has seen a newer revision
  RoleCounts m_target;
  /// Engines to read again soon: the ones under change, or about to be.
  std::set<std::string> m_toRead;
  std::vector<std::string> m_waitReasons; ///< why engines wait, for operators
};

/// Gives the orders of one service while this VM owns it. Its memory serves
/// pacing only; a new owner goes on from what the engines say.
class Reconciler
{
public:
  /// @param aSince  when this VM became the owner
  explicit Reconciler(TimePoint aSince);
  ReconcileResult Step(TimePoint aNow, const ReconcileInput& aInput);
  /// An order was sent; the engine is left alone until it is read again.
  void OnOrderSent(const Order& aOrder, TimePoint aNow);

private:
  struct Round;

  bool AnsweredSinceSent(const Round& aRound, const std::string& aEngine) const;
  bool MayActOn(Round& aRound, const std::string& aEngine) const;
  bool MayLoad(TimePoint aNow, const Round& aRound) const;
  void NoteLoad(TimePoint aNow, const Round& aRound);
  void ContinueChange(Round& aRound, const std::string& aEngine);
  void BeginChange(Round& aRound, const std::string& aEngine);
  void SetAdapters(Round& aRound, const std::string& aEngine);
  void GiveOrders(Round& aRound);

  RoleSplit m_split;
  TimePoint m_since;
  std::optional<TimePoint> m_loadFreeAt; ///< the weight store's share is free
  std::map<std::string, TimePoint> m_sentAt;
};

/// Returns a service's dependency, direct or not, that is down, or "".
/// @param aIsUp  tells whether a service, by itself, has a live upstream
std::string
DownDependency(const FleetText& aFleet,
               const std::string& aService,
               const std::function<bool(const std::string&)>& aIsUp);

/// Chooses which engines' states to read next, within a budget of calls:
/// engines under change first, then the ones read longest ago.
class ReadbackSchedule
{
public:
  /// @param aCallsPerSecond  budget for engines that seem to be at their goal
  explicit ReadbackSchedule(double aCallsPerSecond);
  /// @param aEngines  all engines whose orders this VM gives
  /// @param aUrgent   of these, the ones under change or in doubt
  std::vector<std::string> Due(TimePoint aNow,
                               const std::vector<std::string>& aEngines,
                               const std::set<std::string>& aUrgent);
  /// Returns whether each of aEngines was due at least once.
  bool AllRequested(const std::vector<std::string>& aEngines) const;

private:
  double m_callsPerSecond;
  double m_budget{ 0 };
  std::optional<TimePoint> m_refilledAt;
  std::map<std::string, TimePoint> m_readAt;
};

} // namespace shallotford

#endif // SHALLOTFORD_CONTROL_RECONCILE_H
