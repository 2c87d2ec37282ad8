/// Decides whether a request is tried again after an attempt or how it ends,
/// and limits retries by a budget.

#include "config.h"
#include "shallotford/route.h"

namespace shallotford {

namespace {

bool
HasTime(const RequestProgress& aProgress)
{
  return aProgress.m_timeLeft >= kMinAttemptTime;
}

/// Returns whether the request may run once more.
bool
MayRunAgain(const RequestProgress& aProgress)
{
  bool routeAllows =
    aProgress.m_mayRepeat && aProgress.m_runs < aProgress.m_maxAttempts;
  bool answerAllows = !aProgress.m_answerBegun || aProgress.m_canResume;
  return routeAllows && answerAllows && HasTime(aProgress);
}

} // namespace

std::string_view
ToString(NextStep aStep)
{
  switch (aStep) {
    case NextStep::TryAgain:
      return "try_again";
    case NextStep::Refuse:
      return "refuse";
    case NextStep::AnswerUnknown:
      return "answer_unknown";
    case NextStep::AnswerTimeout:
      return "answer_timeout";
    case NextStep::AbortAnswer:
      return "cut";
    case NextStep::PassOn:
      return "pass_on";
  }
  return "?";
}

Duration
ExpectedTime(const Route& aRoute,
             std::chrono::milliseconds aDeadline,
             std::uint32_t aOutputTokens)
{
  Duration longest = std::min(aDeadline, aRoute.m_timeout);
  if (aRoute.m_kind != RouteKind::Stream) {
    return longest;
  }
  return std::min<Duration>(
    longest, aRoute.m_latencyTarget + aOutputTokens * kMaxTokenTime);
}

void
StreamTimes::OnEnd(const Route& aRoute,
                   std::uint32_t aOutputTokens,
                   Duration aTook,
                   TimePoint aNow)
{
  Spans& spans = m_routes[aRoute.m_name];
  if (aNow - spans.m_current.m_from >= kStreamTimesSpan) {
    spans.m_before = std::exchange(spans.m_current, { .m_from = aNow });
  }
  Span& span = spans.m_current;
  span.m_longest = std::max(span.m_longest, aTook);
  if (aOutputTokens > 0) {
    Duration expected = ExpectedTime(aRoute, aRoute.m_timeout, aOutputTokens);
    span.m_slowest =
      std::max(span.m_slowest, std::chrono::duration<double>(aTook) / expected);
  }
}

Duration
StreamTimes::Expected(const Route& aRoute,
                      std::chrono::milliseconds aDeadline,
                      std::uint32_t aOutputTokens,
                      TimePoint aNow) const
{
  Duration longest = std::min(aDeadline, aRoute.m_timeout);
  if (aRoute.m_kind != RouteKind::Stream) {
    return longest;
  }
  Duration took{};
  double slowest = 1;
  if (auto found = m_routes.find(aRoute.m_name); found != m_routes.end()) {
    for (const Span& span :
         { found->second.m_current, found->second.m_before }) {
      if (aNow - span.m_from < 2 * kStreamTimesSpan) {
        took = std::max(took, span.m_longest);
        slowest = std::max(slowest, span.m_slowest);
      }
    }
  }
  if (aOutputTokens == 0) {
    return took == Duration::zero() ? longest : std::min(longest, took);
  }
  Duration expected = ExpectedTime(aRoute, aDeadline, aOutputTokens);
  return std::min(longest,
                  std::chrono::duration_cast<Duration>(expected * slowest));
}

NextStep
DecideEnd(const RequestProgress& aProgress)
{
  if (aProgress.m_answerBegun) {
    return NextStep::AbortAnswer;
  }
  if (aProgress.m_hasFailure) {
    return NextStep::PassOn;
  }
  if (aProgress.m_runs == 0) {
    return NextStep::Refuse;
  }
  return aProgress.m_timeLeft.count() > 0 ? NextStep::AnswerUnknown
                                          : NextStep::AnswerTimeout;
}

NextStep
DecideNextStep(const RequestProgress& aProgress, AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::Answered:
      return NextStep::PassOn;
    case AttemptEnd::NotConnected:
    case AttemptEnd::Refused:
    case AttemptEnd::Replaced: {
      bool again = aProgress.m_refusals < kMaxRefusals && HasTime(aProgress) &&
                   (aProgress.m_runs == 0 || MayRunAgain(aProgress));
      return again ? NextStep::TryAgain : DecideEnd(aProgress);
    }
    case AttemptEnd::Failed:
    case AttemptEnd::Broken:
    case AttemptEnd::TimedOut:
      return MayRunAgain(aProgress) ? NextStep::TryAgain : DecideEnd(aProgress);
    case AttemptEnd::Abandoned:
      return DecideEnd(aProgress);
  }
  return DecideEnd(aProgress);
}

void
RetryBudget::Expire(TimePoint aNow)
{
  for (std::deque<TimePoint>* times : { &m_requests, &m_extra }) {
    while (!times->empty() && aNow - times->front() > m_options.m_window) {
      times->pop_front();
    }
  }
}

void
RetryBudget::OnRequest(TimePoint aNow)
{
  Expire(aNow);
  m_requests.push_back(aNow);
}

bool
RetryBudget::Take(std::size_t aVms, TimePoint aNow)
{
  Expire(aNow);
  double slack = aNow < m_slackFrom ? 0 : kRetrySlackShare * m_options.m_slack;
  double limit = m_options.m_ratio * static_cast<double>(m_requests.size()) +
                 slack / static_cast<double>(aVms);
  if (static_cast<double>(m_extra.size()) + 1 > limit) {
    return false;
  }
  m_extra.push_back(aNow);
  return true;
}

} // namespace shallotford
