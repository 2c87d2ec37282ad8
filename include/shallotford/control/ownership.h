#ifndef SHALLOTFORD_CONTROL_OWNERSHIP_H
#define SHALLOTFORD_CONTROL_OWNERSHIP_H

/// Who looks after what: rendezvous hashing over the live VMs, and when an
/// owner may give orders. Ownership decides speed and tidiness only.

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

/// Owner of an engine's sweep.
std::string
EngineOwner(const std::string& aEngine, const std::vector<std::string>& aLive);
/// Owner of a service's orders.
std::string
ServiceOwner(const std::string& aService,
             const std::vector<std::string>& aLive);

/// Returns whether this VM keeps a waiting watch on the platform now; the
/// others hear of news by gossip and poll rarely. The duty moves on every hour.
bool
HoldsPlatformWatch(const std::string& aSelf,
                   const std::vector<std::string>& aLive,
                   WallTime aNow);

/// Withholds the right to order from a VM that is cut off from half of the
/// fleet or was paused.
class OrderGuard
{
public:
  /// Tells that this process is running. Call it on every turn of its loop.
  void Heartbeat(TimePoint aNow);
  /// @param aNow     read from the clock right before the order is sent
  /// @param aHeard   listed VMs heard of, this one included
  /// @param aListed  all listed VMs
  bool MayOrder(TimePoint aNow, std::size_t aHeard, std::size_t aListed) const;

private:
  std::optional<TimePoint> m_lastBeat;
  TimePoint m_settledAt{};
};

/// Returns the fencing number for the next order: the revision in the high
/// half, then one more than the engine last accepted.
/// @returns nothing if the engine already took orders of a newer revision
std::optional<std::uint64_t>
NextFence(std::uint64_t aRevision, std::uint64_t aAccepted);

} // namespace shallotford

#endif // SHALLOTFORD_CONTROL_OWNERSHIP_H
