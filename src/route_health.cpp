/// Judges the health of an upstream by the outcomes of requests sent to it.

#include "config.h"
#include "shallotford/route.h"

#include <algorithm>
#include <cmath>

namespace shallotford {

std::string_view
ToString(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::Answered:
      return "answered";
    case AttemptEnd::Failed:
      return "failed";
    case AttemptEnd::NotConnected:
      return "not_connected";
    case AttemptEnd::Refused:
      return "refused";
    case AttemptEnd::Replaced:
      return "replaced";
    case AttemptEnd::Broken:
      return "broken";
    case AttemptEnd::TimedOut:
      return "silent";
    case AttemptEnd::Abandoned:
      return "abandoned";
  }
  return "?";
}

void
DecayingAverage::Add(double aValue, TimePoint aNow)
{
  double before = At(aNow);
  m_value = before + m_weight * (aValue - before);
  m_addedAt = aNow;
}

double
DecayingAverage::At(TimePoint aNow) const
{
  using Seconds = std::chrono::duration<double>;
  return m_value * std::exp2(-Seconds(aNow - m_addedAt) / Seconds(m_halfLife));
}

UpstreamHealth::UpstreamHealth()
  : m_failures(kFailureHalfLife, kFailureSampleWeight)
{
}

void
UpstreamHealth::OnStart(TimePoint aNow)
{
  ++m_inFlight;
  if (IsEjected() && aNow >= m_ejectedUntil) {
    // This request is the trial. Others go elsewhere until it ends or
    // kTrialTime is over, unless no other upstream is left.
    m_ejectedUntil = aNow + kTrialTime;
  }
}

void
UpstreamHealth::OnEnd(AttemptEnd aEnd, TimePoint aSentAt, TimePoint aNow)
{
  --m_inFlight;
  switch (aEnd) {
    case AttemptEnd::Answered:
    case AttemptEnd::Failed:
      m_answeredAt = aNow;
      m_consecutiveBreaks = 0;
      m_ejections = 0;
      m_failures.Add(aEnd == AttemptEnd::Failed ? 1 : 0, aNow);
      return;
    case AttemptEnd::Refused:
      m_refusedAt = aNow;
      return;
    case AttemptEnd::NotConnected:
      m_failures.Add(1, aNow);
      Eject(aNow);
      return;
    case AttemptEnd::TimedOut:
      OnNoResponse(aSentAt, aNow);
      return;
    case AttemptEnd::Broken:
      m_failures.Add(1, aNow);
      if (++m_consecutiveBreaks >= kConsecutiveBreaksForEjection) {
        Eject(aNow);
      }
      return;
    case AttemptEnd::Replaced:
    case AttemptEnd::Abandoned:
      return;
  }
}

bool
UpstreamHealth::OnNoResponse(TimePoint aSentAt, TimePoint aNow)
{
  bool alive = m_answeredAt && *m_answeredAt > aSentAt;
  if (alive || aNow - aSentAt < kNoResponseTimeout) {
    return false; // only this request takes long
  }
  m_failures.Add(1, aNow);
  Eject(aNow);
  return true;
}

void
UpstreamHealth::ForgetFailures()
{
  m_consecutiveBreaks = 0;
  m_ejections = 0;
  m_failures = DecayingAverage(kFailureHalfLife, kFailureSampleWeight);
}

void
UpstreamHealth::Eject(TimePoint aNow)
{
  if (IsEjected() && aNow < m_ejectedUntil - kTrialTime) {
    return; // the attempt began before the ejection
  }
  auto time =
    kFirstEjection * (1u << std::min(m_ejections, kMaxEjectionDoublings));
  m_ejectedUntil = aNow + time;
  ++m_ejections;
}

void
UpstreamHealth::OnLoad(const UpstreamLoad& aLoad, TimePoint aNow)
{
  m_load = aLoad;
  m_loadAt = aNow;
}

bool
UpstreamHealth::IsUsable(TimePoint aNow) const
{
  return !IsEjected() || aNow >= m_ejectedUntil;
}

double
UpstreamHealth::Utilisation(double aConcurrency, TimePoint aNow) const
{
  double requests = m_inFlight;
  if (m_loadAt && aNow - *m_loadAt < kMaxLoadAge) {
    requests = std::max<double>(requests, m_load.m_running + m_load.m_waiting);
  }
  return requests / aConcurrency;
}

bool
UpstreamHealth::RefusedRecently(TimePoint aNow) const
{
  return m_refusedAt && aNow - *m_refusedAt < kRecentRefusalTime;
}

} // namespace shallotford
