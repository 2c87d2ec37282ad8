#ifndef SHALLOTFORD_LEDGER_RETRY_H
#define SHALLOTFORD_LEDGER_RETRY_H

/// Decides whether and when a request is tried again.

#include "shallotford/base.h"

#include <map>
#include <string>
#include <string_view>

namespace shallotford {

/// How far a failed call got.
enum class SendProgress
{
  NotSent,  ///< no byte left this process
  Sent,     ///< at least one byte was given to the socket
  Answered, ///< the answer's status arrived
};

/// Why an attempt ended without an answer.
enum class FailureCause
{
  Unreachable, ///< no connection could be made
  Refused,     ///< the upstream said that it did not run the request
  Lost,        ///< the connection broke or the engine crashed
  Stalled,     ///< a timeout of the call or the transfer
  NotHeld,     ///< the engine no longer holds the import, export or stream
  Malformed,   ///< the answer breaks the protocol or has a gap
};
std::string_view
ToString(FailureCause aCause);

/// Why a request is not tried again.
enum class RetryDenial
{
  None,
  NotRepeatable, ///< it may have run and must not be repeated
  NoTime,        ///< the next attempt would start after the deadline
  NoBudget,      ///< the service's retry budget is used up
  TooMany,       ///< RetryOptions::m_maxAttempts was reached
};

struct RetryOptions
{
  double m_share{ 0.1 };          ///< retries granted per success
  double m_floor{ 20 };           ///< burst of retries granted without success
  double m_floorPerSecond{ 2.0 }; ///< refill up to m_floor
  double m_capacity{ 200 };       ///< maximum number of retries saved up
  std::chrono::milliseconds m_baseBackoff{ 20 };
  std::chrono::milliseconds m_maxBackoff{ 2'000 };
  std::uint32_t m_maxAttempts{ 6 }; ///< placed attempts per request
};

/// The facts that a retry decision depends on.
struct RetryContext
{
  std::string_view m_service{};
  bool m_repeatable{ true };
  bool m_mayHaveRun{ false };
  /// Part of the answer reached the caller. Such a request is continued
  /// without regard to the budget, within m_maxAttempts.
  bool m_delivered{ false };
  std::uint32_t m_attempts{ 1 }; ///< placed so far
  FailureCause m_cause{ FailureCause::Lost };
  TimePoint m_deadline{};
  /// Retry-After of the upstream that failed. It is passed on to the caller;
  /// the next attempt goes to another upstream and does not wait for it.
  std::chrono::milliseconds m_upstreamRetryAfter{ 0 };
};

struct RetryDecision
{
  bool m_retry{ false };
  Duration m_delay{ 0 }; ///< before the next attempt
  RetryDenial m_denial{ RetryDenial::None };
  /// For the caller, if the request is not retried.
  std::chrono::milliseconds m_retryAfter{ 0 };
};

/// Grants retries from a token bucket per service, filled by successes.
class RetryPolicy
{
public:
  RetryPolicy(const RetryOptions& aOptions, RandomI& aRandom);
  /// Sets the share of successes of one service ("retry_budget").
  void SetShare(std::string_view aService, double aShare);
  void OnSuccess(std::string_view aService, TimePoint aNow);
  /// Takes a token from the budget if it grants a retry that costs one.
  RetryDecision Decide(const RetryContext& aContext, TimePoint aNow);
  /// Returns the delay before try aTry (1 is the first repetition): full
  /// jitter over an exponentially growing, bounded interval.
  Duration Backoff(std::uint32_t aTry);
  double Budget(std::string_view aService, TimePoint aNow);

private:
  struct Bucket
  {
    double m_tokens{};
    double m_share{};
    TimePoint m_filled{};
  };
  Bucket& BucketOf(std::string_view aService, TimePoint aNow);

  RetryOptions m_options;
  RandomI& m_random;
  std::map<std::string, Bucket, std::less<>> m_buckets;
  std::map<std::string, double, std::less<>> m_shares;
};

} // namespace shallotford

#endif // SHALLOTFORD_LEDGER_RETRY_H
