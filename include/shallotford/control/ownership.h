#ifndef SHALLOTFORD_CONTROL_OWNERSHIP_H
#define SHALLOTFORD_CONTROL_OWNERSHIP_H

/// Which VM is responsible for which engine and service, chosen by rendezvous
/// hashing over the live VMs, and when it may send orders to engines. Ownership
/// affects speed and cleanup only.

#include "shallotford/fleet.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shallotford {

/// Returns the VM that owns aKey, or "" if there is none.
/// @param aKey  such as "engine:IP:PORT" or "service:NAME"
std::string
RendezvousOwner(std::string_view aKey, const std::vector<std::string>& aVms);

/// Returns the aCount best VMs for aKey, best first.
std::vector<std::string>
RendezvousOwners(std::string_view aKey,
                 const std::vector<std::string>& aVms,
                 std::size_t aCount);

/// Returns the VM that runs an engine's sweep.
std::string
EngineOwner(const std::string& aEngine, const std::vector<std::string>& aLive);
/// Returns the VM that sends a service's orders.
std::string
ServiceOwner(const std::string& aService,
             const std::vector<std::string>& aLive);

/// Returns whether this VM is one of those that keep a watch (long poll) open
/// at the platform. The others learn of changes by gossip and poll rarely.
/// Other VMs are chosen every hour.
bool
HoldsPlatformWatch(const std::string& aSelf,
                   const std::vector<std::string>& aLive,
                   WallTime aNow);

/// Decides whether this VM may send orders: not if it reaches only half of the
/// fleet or less, nor for a while after its process started or was paused.
class OrderGuard
{
public:
  /// Records that this process is running. Call it on every turn of its loop.
  void Heartbeat(TimePoint aNow);
  /// @param aNow     read from the clock right before the order is sent
  /// @param aReachable  reachable listed VMs, this one included
  /// @param aListed  all listed VMs
  bool MayOrder(TimePoint aNow,
                std::size_t aReachable,
                std::size_t aListed) const;

private:
  std::optional<TimePoint> m_lastHeartbeat;
  TimePoint m_ordersAllowedFrom{};
};

/// Returns the fencing number for the next order: greater than the last one
/// that the engine accepted, with at least this revision in the high half.
/// @returns nothing if the engine already accepted orders of a newer revision
std::optional<std::uint64_t>
NextFence(std::uint64_t aRevision, std::uint64_t aAccepted);

} // namespace shallotford

#endif // SHALLOTFORD_CONTROL_OWNERSHIP_H
