/// Learns how slow upstreams are, and how much they serve at once.

#include "config.h"
#include "shallotford/capacity.h"

#include <algorithm>
#include <cmath>

namespace shallotford {

namespace {

double
Fade(Duration aAge, Duration aHalfLife)
{
  using Seconds = std::chrono::duration<double>;
  double age = std::max(0.0, Seconds(aAge).count());
  return std::exp2(-age / Seconds(aHalfLife).count());
}

/// Returns aValue limited to the logarithms of aFactor and of its inverse.
double
Within(double aValue, double aFactor)
{
  double bound = std::log(aFactor);
  return std::clamp(aValue, -bound, bound);
}

} // namespace

double
PaceCost(double aSlowness, double aUsed, double aOwn)
{
  return kPaceCostScale *
         (kSlownessCost * std::log(aSlowness) + kUsedCost * aUsed +
          kOwnUsedCost * aOwn + kOverusedCost * std::max(0.0, aUsed - 1));
}

double
PaceRandomCost(double aUnit)
{
  constexpr double kLeast = 1e-9;
  return kPaceCostScale * std::log(-std::log(std::max(aUnit, kLeast)));
}

double
UpstreamPace::Weight(TimePoint aNow) const
{
  return m_weight * Fade(aNow - m_learntAt, kPaceHalfLife);
}

double
UpstreamPace::Recent(TimePoint aNow) const
{
  return m_recent * Fade(aNow - m_learntAt, kRecentPaceHalfLife);
}

double
UpstreamPace::ToldNow(TimePoint aNow) const
{
  return m_toldNow * Fade(aNow - m_toldAt, kRecentPaceHalfLife);
}

double
UpstreamPace::LogSlowness(TimePoint aNow) const
{
  double weight = Weight(aNow);
  double share = weight / (weight + kPriorPaceWeight);
  double told =
    (1 - share) * Within(m_toldMean, kMaxToldFactor) + ToldNow(aNow);
  double slowness = share * m_lasting + Recent(aNow);
  return Within(slowness + Within(told, kMaxToldFactor), kMaxSlowness);
}

double
UpstreamPace::Slowness(TimePoint aNow) const
{
  return std::exp(LogSlowness(aNow));
}

double
UpstreamPace::LastingSlowness(TimePoint aNow) const
{
  double weight = Weight(aNow);
  return std::exp(m_lasting * weight / (weight + kPriorPaceWeight));
}

double
UpstreamPace::LimitFactor(TimePoint aNow) const
{
  return std::exp(m_limit * Fade(aNow - m_learntAt, kPaceHalfLife));
}

std::optional<Duration>
UpstreamPace::Age(TimePoint aNow) const
{
  return m_weight > 0 ? std::optional<Duration>(aNow - m_learntAt)
                      : std::nullopt;
}

void
UpstreamPace::OnLoad(const ToldLoad& aLoad,
                     std::uint32_t aInFlight,
                     TimePoint aNow)
{
  double kept = Fade(aNow - m_loadAt, kLoadHalfLife);
  double gain = std::max(kMinLoadGain, 1 - kept);
  m_requests += static_cast<float>(gain * (aLoad.m_requests - m_requests));
  m_inFlightAtLoad = aInFlight;
  m_loadAt = aNow;
  if (!aLoad.m_slowness || !(*aLoad.m_slowness > 0)) {
    return;
  }
  double told = Within(std::log(*aLoad.m_slowness), kMaxSlowness);
  double toldGain =
    std::max(kMinPaceGain, 1 - Fade(aNow - m_toldAt, kPaceHalfLife));
  m_toldMean += static_cast<float>(toldGain * (told - m_toldMean));
  m_toldNow = static_cast<float>(told - m_toldMean);
  m_toldAt = aNow;
}

double
UpstreamPace::Requests(std::uint32_t aInFlight, TimePoint aNow) const
{
  double own = aInFlight;
  double sentSince = std::max(0.0, own - m_inFlightAtLoad);
  double told = m_requests * Fade(aNow - m_loadAt, kLoadHalfLife);
  return std::max(own, told + sentSince);
}

double
UpstreamPace::Stretch(double aLoad, TimePoint aNow) const
{
  return std::log(std::max(1.0, aLoad / LimitFactor(aNow)));
}

void
UpstreamPace::Learn(double aTime, double aLoad, TimePoint aNow)
{
  double weight = Weight(aNow);
  if (weight >= kSteadyPaceWeight) {
    LearnLimit(aTime - LogSlowness(aNow), aLoad, aNow);
  }
  double time = aTime - Stretch(aLoad, aNow);
  double error = Within(time - m_lasting, kMaxPaceStep);
  double recent = Recent(aNow);
  weight = std::min(weight + 1, kMaxPaceWeight);
  m_lasting += static_cast<float>(error / weight);
  double beyond = Within(time - m_lasting, kMaxPaceStep);
  m_recent = static_cast<float>(recent + kRecentPaceGain * (beyond - recent));
  m_limit = static_cast<float>(std::log(LimitFactor(aNow)));
  m_weight = static_cast<float>(weight);
  m_learntAt = aNow;
}

void
UpstreamPace::LearnLimit(double aStretch, double aLoad, TimePoint aNow)
{
  double limit = std::log(LimitFactor(aNow));
  double load = std::log(std::max(aLoad, kMinLimitLoad));
  // Times that grew show the limit; times that didn't show that it is higher.
  bool grew = aStretch > std::log(kStretchedTime);
  double shown = grew ? load - aStretch : std::max(limit, load);
  if (aLoad < kMinLimitLoad * std::exp(limit)) {
    return;
  }
  limit += kLimitGain * Within(shown - limit, kStretchedTime);
  limit = Within(limit, kMaxLimitFactor);
  // Kept as at m_learntAt, from which it fades.
  m_limit = static_cast<float>(limit / Fade(aNow - m_learntAt, kPaceHalfLife));
}

void
ServicePace::OnWork(UpstreamPace& aPace,
                    double aUnits,
                    Duration aTook,
                    double aLoad,
                    TimePoint aNow)
{
  using Seconds = std::chrono::duration<double>;
  double seconds = Seconds(aTook).count();
  if (!(aUnits > 0) || !(seconds > 0)) {
    return;
  }
  double time = std::log(seconds / aUnits);
  if (m_samples == 0) {
    m_norm = time;
  }
  m_samples = std::min(m_samples + 1, kMaxNormSamples);
  m_usedAt = aNow;
  double expected = aPace.LogSlowness(aNow) + aPace.Stretch(aLoad, aNow);
  m_norm += Within(time - m_norm - expected, kMaxPaceStep) / m_samples;
  aPace.Learn(time - m_norm, aLoad, aNow);
}

} // namespace shallotford
