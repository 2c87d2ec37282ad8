#ifndef SHALLOTFORD_CAPACITY_H
#define SHALLOTFORD_CAPACITY_H

/// What each upstream takes well: how slow it is against the others of its
/// service, and how many requests it serves at once, learnt from answers. Pure:
/// time is passed in, and there are no sockets, threads or logs.

#include "shallotford/base.h"

#include <optional>

namespace shallotford {

/// For which services the choice of upstreams weighs what was learnt.
enum class AdaptiveChoice
{
  Told,   ///< those whose upstreams tell how long work takes
  Always, ///< all
  Never,  ///< none
};

/// Returns the cost of a request at an upstream by its expected completion.
/// @param aUsed  requests there, against those that it serves at once
/// @param aOwn   those of this VM among them, which are certain
double
PaceCost(double aSlowness, double aUsed, double aOwn);

/// Returns the random part of the cost for a number in [0, 1). Added to
/// PaceCost(), it makes the share of an upstream fall exponentially with its
/// cost, so that VMs that know the same don't all choose the same upstream.
double
PaceRandomCost(double aUnit);

/// What an upstream tells of itself with an answer.
struct ToldLoad
{
  double m_requests{ 0 }; ///< running and waiting there, of all VMs
  /// How long work takes there, if it tells that; 1 is usual.
  std::optional<double> m_slowness;
};

/// What one VM knows of one upstream's pace. Slowness is a factor on the usual
/// time of the service: 2 takes twice as long.
///
/// It has a lasting part, which fades within a minute, and a recent one, which
/// fades within a second, since neighbours on its machine come and go. What the
/// upstream tells moves its slowness by a factor of kMaxToldFactor at most,
/// and the lasting part only until there are answers to learn from.
class UpstreamPace
{
public:
  /// @param aInFlight  this VM's requests there
  void OnLoad(const ToldLoad& aLoad, std::uint32_t aInFlight, TimePoint aNow);
  /// Returns the slowness, within kMaxSlowness and its inverse.
  double Slowness(TimePoint aNow) const;
  /// Returns the requests there: this VM's count at once, those of others as
  /// they were told, smoothed and faded with age.
  /// @param aInFlight  this VM's requests there
  double Requests(std::uint32_t aInFlight, TimePoint aNow) const;
  /// Returns the learnt factor on the requests that it is published to serve
  /// at once; above these it only gets slower.
  double LimitFactor(TimePoint aNow) const;
  /// Returns the lasting part of the slowness alone.
  double LastingSlowness(TimePoint aNow) const;
  /// Returns the time since the last answer that it learnt from.
  std::optional<Duration> Age(TimePoint aNow) const;

private:
  friend class ServicePace;

  /// @param aTime  logarithm of the time against the usual one
  /// @param aLoad  requests there, against those published
  void Learn(double aTime, double aLoad, TimePoint aNow);
  void LearnLimit(double aStretch, double aLoad, TimePoint aNow);
  double Weight(TimePoint aNow) const;
  double Recent(TimePoint aNow) const;
  double ToldNow(TimePoint aNow) const;
  double LogSlowness(TimePoint aNow) const;
  /// Returns the logarithm by which a load beyond the limit stretches times.
  double Stretch(double aLoad, TimePoint aNow) const;

  // Logarithms. Narrow, as there is one object for each upstream.
  float m_lasting{ 0 };
  float m_weight{ 0 }; ///< answers that m_lasting stands for, at m_learntAt
  float m_recent{ 0 }; ///< beyond m_lasting, at m_learntAt
  float m_limit{ 0 };  ///< at m_learntAt
  float m_toldMean{ 0 };
  float m_toldNow{ 0 }; ///< beyond m_toldMean, at m_toldAt
  float m_requests{ 0 };
  std::uint32_t m_inFlightAtLoad{ 0 };
  TimePoint m_learntAt{};
  TimePoint m_toldAt{};
  TimePoint m_loadAt{};
};

/// The usual time for a unit of work of one kind, over all upstreams: a moving
/// average of the logarithm, without what their slowness explains.
class ServicePace
{
public:
  /// An upstream has done work.
  /// @param aUnits  of work, above 0
  /// @param aLoad   requests there, against those it is published to serve
  void OnWork(UpstreamPace& aPace,
              double aUnits,
              Duration aTook,
              double aLoad,
              TimePoint aNow);
  TimePoint UsedAt() const { return m_usedAt; }

private:
  double m_norm{ 0 }; ///< logarithm of seconds for a unit
  std::uint32_t m_samples{ 0 };
  TimePoint m_usedAt{};
};

} // namespace shallotford

#endif // SHALLOTFORD_CAPACITY_H
