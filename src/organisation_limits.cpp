/// Keeps the limits of organisations: the owner's bucket, and VMs' leases.

#include "config.h"
#include "shallotford/organisation.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace shallotford {

namespace {

using Seconds = std::chrono::duration<double>;

std::chrono::milliseconds
Milliseconds(double aSeconds)
{
  // The longest of all bounds, so that the conversion can't overflow.
  double bounded =
    std::clamp(aSeconds, 0.0, Seconds(kMaxGrantRetryAfter).count());
  return std::chrono::ceil<std::chrono::milliseconds>(Seconds(bounded));
}

double
SecondsOf(Duration aTime)
{
  return Seconds(aTime).count();
}

} // namespace

double
CostOf(const RateLimit& aLimit,
       std::uint32_t aPromptTokens,
       std::uint32_t aOutputTokens)
{
  if (!aLimit.m_countsTokens) {
    return 1;
  }
  if (aPromptTokens == 0 && aOutputTokens == 0) {
    return aLimit.m_plainTokens;
  }
  return static_cast<double>(aPromptTokens) +
         static_cast<double>(aOutputTokens);
}

std::size_t
KnownVms::Note(std::size_t aKnown, TimePoint aNow)
{
  if (aNow - m_halfBegan >= kGrantKnownTime / 2) {
    m_mostBefore = std::exchange(m_most, 0);
    m_halfBegan = aNow;
  }
  m_most = std::max(m_most, aKnown);
  return std::max(m_most, m_mostBefore);
}

// ------------------------------------------------------------------ owner

double
LimitIssuer::LostShare(const Bucket& aBucket, TimePoint aNow)
{
  double lost = 0;
  for (const auto& [name, vm] : aBucket.m_vms) {
    Duration silence = aNow - vm.m_heardAt;
    Duration usual = std::chrono::duration_cast<Duration>(
      vm.m_interval * kGrantSilenceIntervals);
    if (silence > kGrantSilence + usual) {
      lost += vm.m_share;
    }
  }
  return std::clamp(lost - kUnreservedGrantShare, 0.0, kMaxReservedGrantShare);
}

double
LimitIssuer::PartShare(const FleetView& aFleet)
{
  auto known = static_cast<double>(std::max(aFleet.m_known, aFleet.m_live));
  double share = static_cast<double>(aFleet.m_live) / std::max(known, 1.0);
  return std::min(1.0, share * kMaxGrantPartsSum);
}

void
LimitIssuer::Refill(Bucket& aBucket,
                    const RateLimit& aLimit,
                    const FleetView& aFleet,
                    TimePoint aNow)
{
  std::erase_if(aBucket.m_vms, [aNow](const auto& aVm) {
    return aNow - aVm.second.m_heardAt >= kGrantShareTime;
  });
  double passed = SecondsOf(aNow - aBucket.m_filledAt);
  double part = PartShare(aFleet);
  double rate = std::min(aBucket.m_limit.m_perSecond, aLimit.m_perSecond) *
                std::min(part, 1 - LostShare(aBucket, aNow));
  // Other parts may have owners of their own, with buckets that are full. What
  // a request costs is saved up, as many small parts that each overdraw at once
  // would exceed the limit.
  double saved = aNow < aBucket.m_savesUntil ? aBucket.m_saved : 0;
  aBucket.m_saved = std::min(saved, aLimit.m_burst);
  aBucket.m_level = std::min(aBucket.m_level + rate * passed,
                             std::max(aLimit.m_burst * part, aBucket.m_saved));
  aBucket.m_backlog = std::max(0.0, aBucket.m_backlog - rate * passed);
  aBucket.m_filledAt = aNow;
  aBucket.m_limit = aLimit;
}

double
LimitIssuer::TakeReturned(Vm& aVm, double aUnits, TimePoint aNow)
{
  Duration passed = aNow - aVm.m_periodBegan;
  if (passed >= kGrantReturnTime) {
    double last = std::exchange(aVm.m_leased, 0);
    aVm.m_leasedBefore = passed < kGrantReturnTime * 2 ? last : 0;
    aVm.m_periodBegan = aNow;
  }
  double before = std::clamp(aUnits, 0.0, aVm.m_leasedBefore);
  double present = std::clamp(aUnits - before, 0.0, aVm.m_leased);
  aVm.m_leasedBefore -= before;
  aVm.m_leased -= present;
  return before + present;
}

double
LimitIssuer::ShareOf(const Bucket& aBucket, const Vm& aVm, TimePoint aNow)
{
  double demand = 0;
  double told = 0;
  for (const auto& [name, vm] : aBucket.m_vms) {
    double age = SecondsOf(aNow - vm.m_heardAt);
    demand +=
      vm.m_perSecond * std::exp(-age / SecondsOf(kGrantShareDemandTime));
    told += &vm == &aVm ? 0 : vm.m_share;
  }
  double wanted = demand > 0 ? aVm.m_perSecond / demand : 0;
  return std::max(0.0, std::min(wanted, kMaxGrantShares - told));
}

bool
LimitIssuer::TakeCost(Bucket& aBucket, double aCost)
{
  // A request that costs more than the burst waits for a full bucket. Without a
  // burst, each one does.
  double overdraft = aBucket.m_limit.m_countsTokens ? kMaxGrantOverdraft : 1;
  double needed = std::min(aCost, aBucket.m_limit.m_burst);
  bool fits =
    aBucket.m_level >= needed && aCost <= aBucket.m_limit.m_burst + overdraft;
  if (fits) {
    aBucket.m_level -= aCost;
  }
  return fits;
}

void
LimitIssuer::SaveFor(Bucket& aBucket, double aCost)
{
  aBucket.m_saved = std::max(aBucket.m_saved, aCost);
  aBucket.m_savesUntil = aBucket.m_filledAt + kMaxGrantBacklog;
}

void
LimitIssuer::Grant(Bucket& aBucket,
                   const LimitAsk& aAsk,
                   LimitReply& aReply) const
{
  double refused = 0;
  double smallest = 0;
  for (double cost : aAsk.m_needed) {
    if (TakeCost(aBucket, cost)) {
      aReply.m_granted += cost;
      continue;
    }
    smallest = refused == 0 ? cost : std::min(smallest, cost);
    refused += cost;
  }
  if (refused == 0) {
    double spare =
      aBucket.m_level - aBucket.m_limit.m_burst * kGrantReserveShare;
    double ahead = std::min(aAsk.m_ahead, spare * kMaxGrantAheadShare);
    // Less would lie idle, as few requests fit into it.
    if (ahead > 0 && ahead >= aAsk.m_ahead / 2) {
      aReply.m_granted += ahead;
      aBucket.m_level -= ahead;
    }
    return;
  }
  SaveFor(aBucket, smallest);
  double rate = std::max(aBucket.m_limit.m_perSecond, 1e-9);
  double missing =
    std::min(smallest, aBucket.m_limit.m_burst) - aBucket.m_level;
  double most = rate * SecondsOf(kMaxGrantBacklog);
  aReply.m_pause =
    std::clamp(Milliseconds(missing / rate), kMinGrantPause, kMaxGrantPause);
  aReply.m_retryAfter = std::max(
    kMinGrantPause, Milliseconds((missing + aBucket.m_backlog) / rate));
  aBucket.m_backlog = std::min(most, aBucket.m_backlog + refused);
}

std::optional<LimitReply>
LimitIssuer::Issue(const std::string& aOrganisation,
                   const RateLimit& aLimit,
                   const LimitAsk& aAsk,
                   const FleetView& aFleet,
                   TimePoint aNow)
{
  if (aNow < m_issuesFrom) {
    return std::nullopt;
  }
  auto [entry, isNew] = m_buckets.try_emplace(aOrganisation);
  Bucket& bucket = entry->second;
  if (isNew) {
    bucket.m_limit = aLimit;
    bucket.m_filledAt = aNow;
    double most =
      std::min(aLimit.m_burst * kNewOwnerBurstShare,
               aLimit.m_burst * kMaxNewOwnerBurstShare + aLimit.m_perSecond);
    bucket.m_level = most * PartShare(aFleet);
  }
  Refill(bucket, aLimit, aFleet, aNow);
  bucket.m_askedAt = aNow;

  auto [known, isNewVm] = bucket.m_vms.try_emplace(aAsk.m_vm);
  Vm& vm = known->second;
  Duration interval = isNewVm ? Duration(kGrantShareTime) : aNow - vm.m_heardAt;
  vm.m_interval = isNewVm ? interval : (vm.m_interval * 3 + interval) / 4;
  vm.m_heardAt = aNow;
  vm.m_perSecond = aAsk.m_perSecond;
  // Units of another owner's lease aren't this bucket's.
  double returned = TakeReturned(vm, aAsk.m_returned, aNow);
  bucket.m_level = std::min(bucket.m_level + returned, aLimit.m_burst);
  bucket.m_backlog = std::min(bucket.m_backlog + std::max(0.0, aAsk.m_refused),
                              aLimit.m_perSecond * SecondsOf(kMaxGrantBacklog));

  LimitReply reply{ .m_lease = kGrantLease };
  Grant(bucket, aAsk, reply);
  vm.m_leased += reply.m_granted;
  vm.m_share = ShareOf(bucket, vm, aNow);
  reply.m_share = vm.m_share;
  if (aAsk.m_perSecond == 0) {
    bucket.m_vms.erase(known); // it gives its share back
  }
  return reply;
}

void
LimitIssuer::Expire(const FleetView& aFleet, TimePoint aNow)
{
  std::erase_if(m_buckets, [aNow](const auto& aBucket) {
    return aNow - aBucket.second.m_askedAt >= kGrantBucketLifetime;
  });
  for (auto& [name, bucket] : m_buckets) {
    Refill(bucket, bucket.m_limit, aFleet, aNow);
  }
}

// ------------------------------------------------------------------ lease

double
LimitLease::Faded(double aDemand, Duration aTime, TimePoint aNow) const
{
  return aDemand * std::exp(-SecondsOf(aNow - m_demandAt) / SecondsOf(aTime));
}

void
LimitLease::OnDemand(double aCost, TimePoint aNow)
{
  m_demanded = Faded(m_demanded, kGrantDemandTime, aNow) + aCost;
  m_slowDemanded = Faded(m_slowDemanded, kGrantShareDemandTime, aNow) + aCost;
  m_demandAt = aNow;
  m_meanCost = m_meanCost == 0 ? aCost : m_meanCost * 0.9 + aCost * 0.1;
}

double
LimitLease::Ahead(TimePoint aNow) const
{
  double expected = Faded(m_demanded, kGrantDemandTime, aNow) *
                    SecondsOf(kGrantAheadTime) / SecondsOf(kGrantDemandTime);
  return expected >= kMinGrantAheadRequests * m_meanCost ? expected : 0;
}

bool
LimitLease::IsQuiet(TimePoint aNow) const
{
  return aNow - m_demandAt >= kGrantQuietTime;
}

LimitLease::Verdict
LimitLease::Take(double aCost,
                 const RateLimit& aLimit,
                 const FleetView& aFleet,
                 TimePoint aNow)
{
  // A request without units must neither wait for a lease nor be refused.
  if (aCost <= 0) {
    return Verdict::Granted;
  }
  if (HasLease(aNow) && m_units >= aCost) {
    m_units -= aCost;
    return Verdict::Granted;
  }
  if (IsAlone(aNow)) {
    return TakeAlone(aCost, aLimit, aFleet, aNow) ? Verdict::Granted
                                                  : Verdict::Refused;
  }
  bool isRefused = aNow < m_refusedUntil && aCost >= m_refusedCost;
  return isRefused ? Verdict::Refused : Verdict::Ask;
}

double
LimitLease::Share(TimePoint aNow) const
{
  return aNow < m_shareUntil ? m_share : 0;
}

bool
LimitLease::TakeAlone(double aCost,
                      const RateLimit& aLimit,
                      const FleetView& aFleet,
                      TimePoint aNow)
{
  double share = Share(aNow);
  if (share == 0) {
    share = 1 / static_cast<double>(std::max<std::size_t>(aFleet.m_known, 1));
  }
  double rate = aLimit.m_perSecond * share;
  double most = std::max(aCost, rate * SecondsOf(kGrantAloneBurst));
  if (!std::exchange(m_aloneBegun, true)) {
    // Many VMs that are alone would each hold back a request's cost, or each
    // run one at once. Drawn levels make them run the limit together.
    m_aloneLevel = most * UnitOf(StableHash(std::to_string(m_salt), m_salt));
    m_salt = StableHash("next", m_salt);
  }
  double passed = SecondsOf(aNow - m_aloneAt);
  m_aloneLevel = std::min(most, m_aloneLevel + rate * passed);
  m_aloneAt = aNow;
  if (m_aloneLevel >= aCost) {
    m_aloneLevel -= aCost;
    return true;
  }
  m_retryAt =
    aNow + Milliseconds((aCost - m_aloneLevel) / std::max(rate, 1e-9));
  return false;
}

void
LimitLease::GiveBack(double aCost, TimePoint aNow)
{
  if (IsAlone(aNow)) {
    m_aloneLevel += aCost;
    return;
  }
  m_units += aCost;
}

bool
LimitLease::WantsToAsk(TimePoint aNow) const
{
  if (IsAlone(aNow)) {
    return false;
  }
  if (!HasLease(aNow)) {
    bool givesShareBack =
      IsQuiet(aNow) && Share(aNow) >= kMinReturnedGrantShare;
    return m_units > 0 || givesShareBack;
  }
  return aNow >= m_refusedUntil && aNow - m_askedAt >= kMinGrantPause &&
         m_units < Ahead(aNow) * kGrantRenewShare;
}

LimitAsk
LimitLease::MakeAsk(std::vector<double> aNeeded, TimePoint aNow)
{
  LimitAsk ask{ .m_vm = {},
                .m_needed = std::move(aNeeded),
                .m_refused = std::exchange(m_refused, 0),
                .m_perSecond =
                  Faded(m_slowDemanded, kGrantShareDemandTime, aNow) /
                  SecondsOf(kGrantShareDemandTime) };
  if (!HasLease(aNow)) {
    ask.m_returned = std::exchange(m_units, 0);
  }
  if (ask.m_needed.empty() && IsQuiet(aNow)) {
    ask.m_perSecond = 0;
  } else {
    ask.m_ahead = std::max(0.0, Ahead(aNow) - m_units);
  }
  m_askedAt = aNow;
  return ask;
}

std::vector<bool>
LimitLease::OnReply(const LimitReply& aReply,
                    const std::vector<double>& aNeeded,
                    TimePoint aSentAt,
                    TimePoint aNow)
{
  m_repliedAt = aNow;
  m_failures = 0;
  m_aloneUntil = {};
  m_share = aReply.m_share;
  m_shareUntil = aSentAt + kGrantShareTime;
  if (aReply.m_granted > 0) {
    m_units += aReply.m_granted;
    m_endsAt = aSentAt + aReply.m_lease;
  }
  m_refusedUntil = {};
  m_refusedCost = std::numeric_limits<double>::max();
  std::vector<bool> granted;
  for (double cost : aNeeded) {
    bool fits = HasLease(aNow) && m_units >= cost;
    m_units -= fits ? cost : 0;
    if (!fits) {
      m_refusedCost = std::min(m_refusedCost, cost);
      m_refusedUntil = aNow + std::max(aReply.m_pause, kMinGrantPause);
      m_retryAt = aNow + aReply.m_retryAfter;
    }
    granted.push_back(fits);
  }
  return granted;
}

void
LimitLease::OnNoReply(TimePoint aNow)
{
  std::uint32_t doublings = std::min(m_failures, kMaxGrantAloneDoublings);
  ++m_failures;
  // Time with the owner in touch doesn't count.
  if (aNow - m_aloneAt >= kGrantShareTime) {
    m_aloneBegun = false;
  }
  if (m_failures == 1) {
    m_aloneAt = aNow;
  }
  m_aloneUntil = aNow + kGrantAlonePause * (1u << doublings);
}

void
LimitLease::OnPause()
{
  m_units = 0;
  m_endsAt = {};
  m_shareUntil = {};
}

std::chrono::milliseconds
LimitLease::RetryAfter(TimePoint aNow) const
{
  auto wait = std::chrono::ceil<std::chrono::milliseconds>(m_retryAt - aNow);
  return std::clamp<std::chrono::milliseconds>(
    wait, kMinGrantPause, kMaxGrantRetryAfter);
}

} // namespace shallotford
