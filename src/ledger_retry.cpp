/// Retry decisions: budget of each service and backoff.

#include "shallotford/ledger/retry.h"

#include <algorithm>

namespace shallotford {

namespace {

constexpr std::uint32_t kMaxBackoffDoublings = 20;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Returns whether the failure indicates that upstreams lack capacity.
bool
IsOverload(FailureCause aCause)
{
  return aCause == FailureCause::Refused || aCause == FailureCause::Stalled;
}

} // namespace

std::string_view
ToString(FailureCause aCause)
{
  switch (aCause) {
    case FailureCause::Unreachable:
      return "unreachable";
    case FailureCause::Refused:
      return "refused";
    case FailureCause::Lost:
      return "lost";
    case FailureCause::Stalled:
      return "stalled";
    case FailureCause::NotHeld:
      return "not_held";
    case FailureCause::Malformed:
      break;
  }
  return "malformed";
}

RetryPolicy::RetryPolicy(const RetryOptions& aOptions, RandomI& aRandom)
  : m_options(aOptions)
  , m_random(aRandom)
{
}

void
RetryPolicy::SetShare(std::string_view aService, double aShare)
{
  m_shares.insert_or_assign(std::string(aService), aShare);
  auto bucket = m_buckets.find(aService);
  if (bucket != m_buckets.end()) {
    bucket->second.m_share = aShare;
  }
}

RetryPolicy::Bucket&
RetryPolicy::BucketOf(std::string_view aService, TimePoint aNow)
{
  auto found = m_buckets.find(aService);
  if (found == m_buckets.end()) {
    auto share = m_shares.find(aService);
    Bucket bucket{ .m_tokens = m_options.m_floor,
                   .m_share = share == m_shares.end() ? m_options.m_share
                                                      : share->second,
                   .m_filled = aNow };
    return m_buckets.emplace(std::string(aService), bucket).first->second;
  }
  Bucket& bucket = found->second;
  Duration passed = std::max(aNow - bucket.m_filled, Duration{ 0 });
  bucket.m_filled += passed;
  if (bucket.m_tokens < m_options.m_floor) {
    double filled =
      bucket.m_tokens + Seconds(passed) * m_options.m_floorPerSecond;
    bucket.m_tokens = std::min(m_options.m_floor, filled);
  }
  return bucket;
}

void
RetryPolicy::OnSuccess(std::string_view aService, TimePoint aNow)
{
  Bucket& bucket = BucketOf(aService, aNow);
  bucket.m_tokens =
    std::min(m_options.m_capacity, bucket.m_tokens + bucket.m_share);
}

double
RetryPolicy::Budget(std::string_view aService, TimePoint aNow)
{
  return BucketOf(aService, aNow).m_tokens;
}

Duration
RetryPolicy::Backoff(std::uint32_t aTry)
{
  std::uint32_t doublings =
    std::min(std::max(aTry, 1u) - 1u, kMaxBackoffDoublings);
  Duration interval = m_options.m_baseBackoff;
  interval = std::min<Duration>(interval * (std::int64_t{ 1 } << doublings),
                                m_options.m_maxBackoff);
  return std::chrono::duration_cast<Duration>(interval * m_random.Unit());
}

RetryDecision
RetryPolicy::Decide(const RetryContext& aContext, TimePoint aNow)
{
  RetryDecision decision;
  decision.m_retryAfter = aContext.m_upstreamRetryAfter;
  if (aContext.m_mayHaveRun && !aContext.m_repeatable) {
    decision.m_denial = RetryDenial::NotRepeatable;
    decision.m_retryAfter = std::chrono::milliseconds{ 0 };
    return decision;
  }
  decision.m_retryAfter =
    std::max(decision.m_retryAfter, m_options.m_maxBackoff);
  if (aContext.m_attempts >= m_options.m_maxAttempts) {
    decision.m_denial = RetryDenial::TooMany;
    return decision;
  }
  bool backOff = IsOverload(aContext.m_cause) || aContext.m_attempts > 1;
  Duration delay = backOff ? Backoff(aContext.m_attempts) : Duration{ 0 };
  if (aNow + delay >= aContext.m_deadline) {
    decision.m_denial = RetryDenial::NoTime;
    return decision;
  }
  Bucket& bucket = BucketOf(aContext.m_service, aNow);
  if (!aContext.m_delivered) {
    if (bucket.m_tokens < 1.0) {
      decision.m_denial = RetryDenial::NoBudget;
      return decision;
    }
    bucket.m_tokens -= 1.0;
  }
  decision.m_retry = true;
  decision.m_delay = delay;
  decision.m_retryAfter = std::chrono::milliseconds{ 0 };
  return decision;
}

} // namespace shallotford
