/// Keeps the limits that upstreams named, and issues permits within them.

#include "config.h"
#include "shallotford/vms.h"

#include <algorithm>
#include <cmath>

namespace shallotford {

namespace {

using Seconds = std::chrono::duration<double>;

std::chrono::milliseconds
Milliseconds(double aSeconds)
{
  // The longest of all bounds, so that the conversion can't overflow.
  double bounded = std::min(aSeconds, Seconds(kMaxPermitRetryAfter).count());
  return std::chrono::ceil<std::chrono::milliseconds>(Seconds(bounded));
}

} // namespace

// ----------------------------------------------------------- named limits

void
LimitTable::OnNamed(const UpstreamKey& aUpstream,
                    double aPerSecond,
                    TimePoint aNow)
{
  Merge(aUpstream,
        { .m_perSecond =
            std::clamp(aPerSecond, kMinUpstreamLimit, kMaxUpstreamLimit),
          .m_at = aNow });
}

void
LimitTable::OnNoneNamed(const UpstreamKey& aUpstream, TimePoint aSentAt)
{
  if (Find(aUpstream)) {
    Merge(aUpstream, { .m_perSecond = 0, .m_at = aSentAt });
  }
}

void
LimitTable::Merge(const UpstreamKey& aUpstream, const NamedLimit& aLimit)
{
  NamedLimit& known = m_limits.try_emplace(aUpstream, aLimit).first->second;
  if (aLimit.m_at > known.m_at) {
    known = aLimit;
  }
}

std::optional<double>
LimitTable::Find(const UpstreamKey& aUpstream) const
{
  auto found = m_limits.find(aUpstream);
  return found == m_limits.end() || found->second.m_perSecond == 0
           ? std::nullopt
           : std::optional(found->second.m_perSecond);
}

std::optional<NamedLimit>
LimitTable::Get(const UpstreamKey& aUpstream) const
{
  auto found = m_limits.find(aUpstream);
  return found == m_limits.end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::pair<UpstreamKey, NamedLimit>>
LimitTable::Newest(std::size_t aMost) const
{
  std::vector<std::pair<UpstreamKey, NamedLimit>> newest(m_limits.begin(),
                                                         m_limits.end());
  std::sort(newest.begin(), newest.end(), [](const auto& aA, const auto& aB) {
    return aA.second.m_at > aB.second.m_at;
  });
  newest.resize(std::min(newest.size(), aMost));
  return newest;
}

void
LimitTable::Expire(TimePoint aNow)
{
  std::erase_if(m_limits, [aNow](const auto& aLimit) {
    return aNow - aLimit.second.m_at >= kLimitLifetime;
  });
}

// ---------------------------------------------------------------- permits

void
PermitIssuer::Reset(TimePoint aNow)
{
  m_issuesFrom = aNow + kPermitHoldOff;
  m_buckets.clear();
}

PermitReply
PermitIssuer::Issue(const UpstreamKey& aUpstream,
                    double aPerSecond,
                    const PermitAsk& aAsk,
                    TimePoint aNow)
{
  auto [entry, isNew] = m_buckets.try_emplace(aUpstream);
  Bucket& bucket = entry->second;
  if (isNew) {
    bucket.m_filledAt = aNow;
  }
  double burst = aAsk.m_sends + aPerSecond * Seconds(kPermitBurstTime).count();
  double gained = aPerSecond * Seconds(aNow - bucket.m_filledAt).count();
  bucket.m_level = std::min(burst, bucket.m_level + gained) - aAsk.m_debt;
  bucket.m_filledAt = aNow;
  std::erase_if(bucket.m_waiting, [aNow](const auto& aWaiting) {
    return aNow - aWaiting.second >= kMaxPermitPause;
  });
  bucket.m_waiting.erase(aAsk.m_vm);

  PermitReply reply;
  if (aNow >= m_issuesFrom) {
    reply.m_granted = static_cast<std::uint32_t>(
      std::clamp<double>(bucket.m_level / aAsk.m_sends, 0, aAsk.m_wanted));
    bucket.m_level -= reply.m_granted * aAsk.m_sends;
  }
  if (reply.m_granted >= aAsk.m_wanted) {
    return reply;
  }
  auto ahead = static_cast<double>(bucket.m_waiting.size());
  double turn = ((1 + ahead) * aAsk.m_sends - bucket.m_level) / aPerSecond;
  turn = std::max(turn, Seconds(m_issuesFrom - aNow).count());
  bucket.m_waiting[aAsk.m_vm] = aNow;
  reply.m_pause = std::clamp<std::chrono::milliseconds>(
    Milliseconds(turn * kPermitPauseShare), kMinPermitPause, kMaxPermitPause);
  reply.m_retryAfter =
    std::max<std::chrono::milliseconds>(Milliseconds(turn), kMinPermitPause);
  return reply;
}

void
PermitIssuer::Expire(TimePoint aNow)
{
  std::erase_if(m_buckets, [aNow](const auto& aBucket) {
    return aNow - aBucket.second.m_filledAt >= kLimitLifetime;
  });
}

void
PermitPauses::OnReply(const UpstreamKey& aUpstream,
                      const PermitReply& aReply,
                      std::uint32_t aWanted,
                      TimePoint aNow)
{
  if (aReply.m_granted >= aWanted) {
    m_pauses.erase(aUpstream);
    return;
  }
  auto pause = std::max(aReply.m_pause, kMinPermitPause);
  m_pauses[aUpstream] = { .m_until = aNow + pause,
                          .m_retryAt =
                            aNow + std::max(aReply.m_retryAfter, pause) };
}

void
PermitPauses::OnNoReply(const UpstreamKey& aUpstream, TimePoint aNow)
{
  Pause& pause = m_pauses[aUpstream];
  std::uint32_t doublings =
    std::min(pause.m_failures, kMaxPermitFailureDoublings);
  ++pause.m_failures;
  pause.m_until = aNow + kPermitFailurePause * (1u << doublings);
  pause.m_retryAt = pause.m_until;
}

bool
PermitPauses::MayAsk(const UpstreamKey& aUpstream, TimePoint aNow) const
{
  auto found = m_pauses.find(aUpstream);
  return found == m_pauses.end() || aNow >= found->second.m_until;
}

std::chrono::milliseconds
PermitPauses::RetryAfter(const UpstreamKey& aUpstream, TimePoint aNow) const
{
  auto found = m_pauses.find(aUpstream);
  if (found == m_pauses.end()) {
    return std::chrono::milliseconds::zero();
  }
  return std::max(std::chrono::ceil<std::chrono::milliseconds>(
                    found->second.m_retryAt - aNow),
                  std::chrono::milliseconds::zero());
}

void
PermitPauses::Expire(TimePoint aNow)
{
  std::erase_if(m_pauses, [aNow](const auto& aPause) {
    return aNow >= aPause.second.m_retryAt + kMaxPermitPause;
  });
}

} // namespace shallotford
