/// Rate limits of callers: token buckets that are split over the VMs by recent
/// demand.

#include "config.h"
#include "shallotford/placement.h"

#include <algorithm>
#include <cmath>

namespace shallotford {

namespace {

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

CallerLimits::CallerLimits(std::string aVm)
  : m_vm(std::move(aVm))
{
}

void
CallerLimits::SetCallers(TimePoint aNow,
                         const std::vector<CallerEntry>& aCallers)
{
  std::map<std::string, Bucket> buckets;
  for (const CallerEntry& caller : aCallers) {
    const auto known = m_buckets.find(caller.m_name);
    Bucket& bucket = buckets[caller.m_name];
    const bool isNew = known == m_buckets.end();
    if (!isNew)
      bucket = known->second;
    bucket.m_rate = caller.m_tokensPerSecond;
    bucket.m_burst = std::max(caller.m_burstTokens, caller.m_tokensPerSecond);
    if (!isNew)
      continue;
    bucket.m_at = aNow;
    bucket.m_level = bucket.m_burst * ShareOf(aNow, bucket);
  }
  m_buckets = std::move(buckets);
}

void
CallerLimits::SetVms(TimePoint aNow, const std::vector<std::string>& aVms)
{
  std::map<std::string, TimePoint> vms;
  for (const std::string& vm : aVms) {
    if (vm == m_vm)
      continue;
    const auto known = m_vms.find(vm);
    vms[vm] = known == m_vms.end() ? aNow : known->second;
  }
  m_vms = std::move(vms);
  for (auto& [name, bucket] : m_buckets) {
    Refill(aNow, bucket);
    std::erase_if(bucket.m_peers, [&](const auto& aPeer) {
      return !m_vms.contains(aPeer.first);
    });
  }
}

void
CallerLimits::OnPeerDemand(TimePoint aNow,
                           const std::string& aVm,
                           const std::vector<CallerDemand>& aDemand)
{
  if (!m_vms.contains(aVm))
    return;
  m_lastDemandAt[aVm] = aNow;
  for (auto& [name, bucket] : m_buckets) {
    Refill(aNow, bucket);
    bucket.m_peers.erase(aVm);
  }
  for (const CallerDemand& demand : aDemand) {
    const auto bucket = m_buckets.find(demand.m_caller);
    if (bucket != m_buckets.end())
      bucket->second.m_peers[aVm] = { demand.m_tokensPerSecond, aNow };
  }
}

void
CallerLimits::OnOthersDemand(TimePoint aNow,
                             const std::vector<CallerDemand>& aDemand)
{
  for (const CallerDemand& demand : aDemand) {
    const auto bucket = m_buckets.find(demand.m_caller);
    if (bucket == m_buckets.end())
      continue;
    Refill(aNow, bucket->second);
    bucket->second.m_others = { demand.m_tokensPerSecond, aNow };
  }
}

double
CallerLimits::OwnDemand(TimePoint aNow, const Bucket& aBucket) const
{
  const double decay = Seconds(kCallerDemandDecayTime);
  return aBucket.m_demand * std::exp(-Seconds(aNow - aBucket.m_at) / decay) /
         decay;
}

double
CallerLimits::PeerDemandOf(TimePoint aNow,
                           const Bucket& aBucket,
                           const std::string& aVm,
                           TimePoint aListedAt,
                           double aMeanDemand) const
{
  const auto lastDemand = m_lastDemandAt.find(aVm);
  const bool fresh = lastDemand != m_lastDemandAt.end() &&
                     lastDemand->second + kPeerDemandLifetime >= aNow;
  if (fresh) {
    const auto peer = aBucket.m_peers.find(aVm);
    return peer == aBucket.m_peers.end() ? 0 : peer->second.m_tokensPerSecond;
  }
  // A VM that was just listed is assumed to have the mean demand until its
  // figures arrive.
  const bool isNew =
    lastDemand == m_lastDemandAt.end() || lastDemand->second < aListedAt;
  return isNew && aListedAt + kPeerDemandLifetime >= aNow ? aMeanDemand : 0;
}

double
CallerLimits::ShareOf(TimePoint aNow, const Bucket& aBucket) const
{
  const double vmCount = double(m_vms.size()) + 1;
  const double base = aBucket.m_rate * kBaseDemandShare / vmCount;
  const double own = OwnDemand(aNow, aBucket);
  const bool summed =
    aBucket.m_others && aBucket.m_others->m_at + kPeerDemandLifetime >= aNow;
  if (summed) {
    const double all = own + aBucket.m_others->m_tokensPerSecond;
    const double total = all + base * vmCount;
    return total > 0 ? (own + base) / total : 1.0 / vmCount;
  }
  double known = own;
  for (const auto& [vm, demand] : aBucket.m_peers)
    known += demand.m_tokensPerSecond;
  const double meanDemand = known / (double(aBucket.m_peers.size()) + 1);
  double total = own + base;
  for (const auto& [vm, listedAt] : m_vms)
    total += base + PeerDemandOf(aNow, aBucket, vm, listedAt, meanDemand);
  return total > 0 ? (own + base) / total : 1.0 / vmCount;
}

void
CallerLimits::Refill(TimePoint aNow, Bucket& aBucket) const
{
  const double elapsed = Seconds(aNow - aBucket.m_at);
  if (elapsed <= 0)
    return;
  const double share = ShareOf(aNow, aBucket);
  aBucket.m_level = std::min(aBucket.m_level + aBucket.m_rate * share * elapsed,
                             aBucket.m_burst * share);
  aBucket.m_demand *= std::exp(-elapsed / Seconds(kCallerDemandDecayTime));
  aBucket.m_at = aNow;
}

std::chrono::milliseconds
CallerLimits::Take(TimePoint aNow, const std::string& aCaller, double aCost)
{
  const auto found = m_buckets.find(aCaller);
  if (found == m_buckets.end() || found->second.m_rate <= 0)
    return std::chrono::milliseconds{ 0 };
  Bucket& bucket = found->second;
  Refill(aNow, bucket);
  bucket.m_demand += aCost;
  if (bucket.m_level > 0) {
    // A request may take more than is left. Later refills pay off the debt.
    bucket.m_level -= aCost;
    return std::chrono::milliseconds{ 0 };
  }
  const double rate = bucket.m_rate * ShareOf(aNow, bucket);
  const double wait = std::max(-bucket.m_level, 1.0) / std::max(rate, 1e-9);
  return std::clamp(
    std::chrono::milliseconds(std::int64_t(std::min(wait * 1e3 + 1, 1e9))),
    kMinRetryAfter,
    kMaxLimitRetryAfter);
}

void
CallerLimits::GiveBack(const std::string& aCaller, double aCost)
{
  const auto found = m_buckets.find(aCaller);
  if (found != m_buckets.end() && found->second.m_rate > 0)
    found->second.m_level += aCost;
}

std::vector<CallerDemand>
CallerLimits::Demand(TimePoint aNow) const
{
  std::vector<CallerDemand> demand;
  for (const auto& [name, bucket] : m_buckets) {
    if (bucket.m_rate <= 0)
      continue;
    const double rate = OwnDemand(aNow, bucket);
    if (rate > bucket.m_rate * kBaseDemandShare / 10)
      demand.push_back({ name, rate });
  }
  return demand;
}

double
CallerLimits::Share(TimePoint aNow, const std::string& aCaller) const
{
  const auto found = m_buckets.find(aCaller);
  return found == m_buckets.end() ? 1.0 : ShareOf(aNow, found->second);
}

} // namespace shallotford
