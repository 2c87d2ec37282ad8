/// Counts, latencies and checks of a load run.

#include "standin_load.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace shallotford::standin {

namespace {

/// Returns aValues' p50 and p99 in milliseconds.
Json::Value
Quantiles(std::vector<Duration> aValues)
{
  Json::Value result(Json::objectValue);
  result["count"] = static_cast<Json::UInt64>(aValues.size());
  if (aValues.empty()) {
    return result;
  }
  std::sort(aValues.begin(), aValues.end());
  auto at = [&](double aShare) {
    auto rank = std::lround(aShare * static_cast<double>(aValues.size() - 1));
    return std::chrono::duration<double, std::milli>(aValues[rank]).count();
  };
  result["p50"] = at(0.50);
  result["p99"] = at(0.99);
  return result;
}

} // namespace

std::string_view
ToString(CallOutcome aOutcome)
{
  switch (aOutcome) {
    case CallOutcome::Answered:
      return "answered";
    case CallOutcome::Refused:
      return "refused";
    case CallOutcome::Failed:
      return "failed";
    case CallOutcome::Cancelled:
      return "cancelled";
    case CallOutcome::Lost:
      break;
  }
  return "lost";
}

RunReport::RunReport(const LoadOptions& aOptions)
  : m_options(aOptions)
{
}

void
RunReport::Add(const PlannedCall& aCall, const CallResult& aResult)
{
  ++m_ended;
  ++m_counts[aResult.m_outcome];
  if (!aResult.m_reason.empty()) {
    ++m_reasons[std::string(ToString(aResult.m_outcome)) + ": " +
                aResult.m_reason];
  }
  m_twice += aResult.m_duplicates;
  m_resumes += aResult.m_resumes;
  m_resubmits += aResult.m_resubmits;
  if (aCall.m_kind == CallKind::NonRepeatable) {
    m_bookings[aCall.m_key] = aResult.m_outcome;
  }
  if (aResult.m_outcome != CallOutcome::Answered) {
    return;
  }
  m_wholes.push_back(aResult.m_whole);
  if (!aResult.m_firstToken) {
    return;
  }
  m_firstTokens.push_back(*aResult.m_firstToken);
  if (aResult.m_perToken) {
    m_perTokens.push_back(*aResult.m_perToken);
  }
  bool met =
    *aResult.m_firstToken <= m_options.m_firstTokenTarget &&
    aResult.m_perToken.value_or(Duration::zero()) <= m_options.m_perTokenTarget;
  m_metTargets += met ? 1 : 0;
}

void
RunReport::CheckExecutions(
  const std::map<std::string, std::uint32_t>& aExecutions)
{
  for (const auto& [key, outcome] : m_bookings) {
    auto found = aExecutions.find(key);
    std::uint32_t times = found == aExecutions.end() ? 0 : found->second;
    m_twice += times > 1 ? 1 : 0;
    m_lostBookings += outcome == CallOutcome::Answered && times == 0 ? 1 : 0;
    m_ranThoughRefused += outcome == CallOutcome::Refused && times > 0 ? 1 : 0;
  }
}

void
RunReport::Note(const std::string& aProblem)
{
  m_problems.push_back(aProblem);
}

std::uint32_t
RunReport::CountOf(CallOutcome aOutcome) const
{
  auto found = m_counts.find(aOutcome);
  return found == m_counts.end() ? 0 : found->second;
}

Json::Value
RunReport::ToJson() const
{
  Json::Value body(Json::objectValue);
  body["sent"] = m_options.m_requests;
  for (CallOutcome outcome : { CallOutcome::Answered,
                               CallOutcome::Refused,
                               CallOutcome::Failed,
                               CallOutcome::Cancelled,
                               CallOutcome::Lost }) {
    body[std::string(ToString(outcome))] = CountOf(outcome);
  }
  body["twice"] = m_twice;
  body["answered_but_not_run"] = m_lostBookings;
  body["ran_though_refused"] = m_ranThoughRefused;
  body["resumed"] = m_resumes;
  body["resubmitted"] = m_resubmits;
  body["streams_in_target"] = m_metTargets;
  body["first_token_ms"] = Quantiles(m_firstTokens);
  body["per_token_ms"] = Quantiles(m_perTokens);
  body["whole_ms"] = Quantiles(m_wholes);
  body["reasons"] = Json::Value(Json::objectValue);
  for (const auto& [reason, count] : m_reasons) {
    body["reasons"][reason] = count;
  }
  body["bookings"] = Json::Value(Json::objectValue);
  for (const auto& [key, outcome] : m_bookings) {
    body["bookings"][key] = std::string(ToString(outcome));
  }
  body["problems"] = Json::Value(Json::arrayValue);
  for (const std::string& problem : m_problems) {
    body["problems"].append(problem);
  }
  return body;
}

std::string
RunReport::LastLine() const
{
  std::ostringstream line;
  line << "answered=" << CountOf(CallOutcome::Answered)
       << " lost=" << CountOf(CallOutcome::Lost) + m_lostBookings
       << " twice=" << m_twice << " refused=" << CountOf(CallOutcome::Refused)
       << " failed=" << CountOf(CallOutcome::Failed)
       << " cancelled=" << CountOf(CallOutcome::Cancelled)
       << " ran_though_refused=" << m_ranThoughRefused;
  return line.str();
}

bool
RunReport::IsGood(bool aAllAnswered) const
{
  bool clean = m_ended == m_options.m_requests &&
               CountOf(CallOutcome::Lost) == 0 && m_twice == 0 &&
               m_lostBookings == 0 && m_ranThoughRefused == 0 &&
               m_problems.empty();
  return clean && (!aAllAnswered ||
                   CountOf(CallOutcome::Answered) == m_options.m_requests);
}

} // namespace shallotford::standin
