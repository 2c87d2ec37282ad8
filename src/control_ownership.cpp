/// Ownership of engines and services by rendezvous hashing, and the conditions
/// and fencing numbers for orders to engines.

#include "shallotford/control/ownership.h"

#include "config.h"

#include <algorithm>

namespace shallotford {

namespace {

struct Candidate
{
  std::uint64_t m_score;
  const std::string* m_vm;

  bool operator<(const Candidate& aOther) const
  {
    return m_score != aOther.m_score ? m_score > aOther.m_score
                                     : *m_vm < *aOther.m_vm;
  }
};

std::vector<Candidate>
Candidates(std::string_view aKey, const std::vector<std::string>& aVms)
{
  std::uint64_t seed = StableHash(aKey);
  std::vector<Candidate> candidates;
  candidates.reserve(aVms.size());
  for (const std::string& vm : aVms) {
    candidates.push_back({ StableHash(vm, seed), &vm });
  }
  return candidates;
}

} // namespace

std::string
RendezvousOwner(std::string_view aKey, const std::vector<std::string>& aVms)
{
  std::vector<Candidate> candidates = Candidates(aKey, aVms);
  auto best = std::min_element(candidates.begin(), candidates.end());
  return best == candidates.end() ? "" : *best->m_vm;
}

std::vector<std::string>
RendezvousOwners(std::string_view aKey,
                 const std::vector<std::string>& aVms,
                 std::size_t aCount)
{
  std::vector<Candidate> candidates = Candidates(aKey, aVms);
  auto count = static_cast<std::ptrdiff_t>(std::min(aCount, candidates.size()));
  std::partial_sort(
    candidates.begin(), candidates.begin() + count, candidates.end());
  std::vector<std::string> owners;
  for (auto at = candidates.begin(); at != candidates.begin() + count; ++at) {
    owners.push_back(*at->m_vm);
  }
  return owners;
}

std::string
EngineOwner(const std::string& aEngine, const std::vector<std::string>& aLive)
{
  return RendezvousOwner("engine:" + aEngine, aLive);
}

std::string
ServiceOwner(const std::string& aService, const std::vector<std::string>& aLive)
{
  return RendezvousOwner("service:" + aService, aLive);
}

bool
HoldsPlatformWatch(const std::string& aSelf,
                   const std::vector<std::string>& aLive,
                   WallTime aNow)
{
  auto hour =
    std::chrono::duration_cast<std::chrono::hours>(aNow.time_since_epoch());
  std::vector<std::string> watchers = RendezvousOwners(
    "watch:" + std::to_string(hour.count()), aLive, kPlatformWatchers);
  return std::find(watchers.begin(), watchers.end(), aSelf) != watchers.end();
}

void
OrderGuard::Heartbeat(TimePoint aNow)
{
  if (!m_lastHeartbeat || aNow - *m_lastHeartbeat > kMaxLoopPause) {
    m_ordersAllowedFrom = aNow + kOrderHoldOff;
  }
  m_lastHeartbeat = aNow;
}

bool
OrderGuard::MayOrder(TimePoint aNow,
                     std::size_t aReachable,
                     std::size_t aListed) const
{
  if (!m_lastHeartbeat || aNow - *m_lastHeartbeat > kMaxLoopPause) {
    return false;
  }
  return aNow >= m_ordersAllowedFrom && 2 * aReachable > aListed;
}

std::optional<std::uint64_t>
NextFence(std::uint64_t aRevision, std::uint64_t aAccepted)
{
  if (aAccepted >> kFenceRevisionShift > aRevision) {
    return std::nullopt;
  }
  std::uint64_t base = aRevision << kFenceRevisionShift;
  return std::max(base, aAccepted) + 1;
}

} // namespace shallotford
