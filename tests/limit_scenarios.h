#ifndef SHALLOTFORD_TESTS_LIMIT_SCENARIOS_H
#define SHALLOTFORD_TESTS_LIMIT_SCENARIOS_H

/// Loads and failures that organisations' limits have to hold under.

#include "limit_fleet.h"

#include <cmath>
#include <string>

namespace shallotford::test {

inline constexpr double kDemand =
  780 * 3'100; // units a second, of all organisations

/// Returns the demand of the aRank-th of aCount organisations of skew 1.2.
inline double
DemandOf(std::size_t aRank, std::size_t aCount)
{
  double sum = 0;
  for (std::size_t i = 1; i <= aCount; ++i) {
    sum += std::pow(i, -1.2);
  }
  return kDemand * std::pow(aRank, -1.2) / sum;
}

/// Returns the most units that may run in 8 s.
inline double
Allowed(const RateLimit& aLimit)
{
  return (aLimit.m_perSecond * 8 + aLimit.m_burst) * 1.25 + 190'000;
}

enum class DisturbanceKind
{
  Load,
  Failure,
  OwnerAway, ///< the owner goes and comes back
  AllApart,  ///< no VM can know what others ask for: only the limit must hold
};

struct Disturbance
{
  std::string m_name;
  DisturbanceKind m_kind;
  std::function<void(LimitFleet&, RandomI&)> m_play;
};

inline const std::vector<Disturbance> kDisturbances{
  { "calm",
    DisturbanceKind::Load,
    [](LimitFleet& aFleet, RandomI&) { aFleet.Run(25s); } },
  { "hot",
    DisturbanceKind::Load,
    [](LimitFleet& aFleet, RandomI&) {
      aFleet.SetDemand(4.8, 0.2);
      aFleet.Run(5s);
      aFleet.SetDemand(1, 0.95);
      aFleet.Run(20s);
    } },
  { "moves",
    DisturbanceKind::Load,
    [](LimitFleet& aFleet, RandomI&) {
      for (int i = 0; i < 3; ++i) {
        aFleet.MoveCallers();
        aFleet.Run(8s);
      }
    } },
  { "owner killed",
    DisturbanceKind::Failure,
    [](LimitFleet& aFleet, RandomI&) {
      aFleet.Kill(aFleet.Owner());
      aFleet.Run(25s);
    } },
  { "owner restarts",
    DisturbanceKind::Failure,
    [](LimitFleet& aFleet, RandomI&) {
      for (int i = 0; i < 2; ++i) {
        std::size_t owner = aFleet.Owner();
        aFleet.Kill(owner);
        aFleet.Run(1s);
        aFleet.Restart(owner);
        aFleet.Run(10s);
      }
    } },
  { "partition",
    DisturbanceKind::Failure,
    [](LimitFleet& aFleet, RandomI& aRandom) {
      std::size_t part = 1 + aRandom.Below(20);
      for (std::size_t i = 0; i < part; ++i) {
        aFleet.Separate(i, 1);
      }
      aFleet.Run(15s);
      for (std::size_t i = 0; i < part; ++i) {
        aFleet.Separate(i, 0);
      }
      aFleet.Run(15s);
    } },
  { "owner cut off",
    DisturbanceKind::OwnerAway,
    [](LimitFleet& aFleet, RandomI&) {
      std::size_t owner = aFleet.Owner();
      aFleet.Separate(owner, 1);
      aFleet.Run(12s);
      aFleet.Separate(owner, 0);
      aFleet.Run(13s);
    } },
  { "busy VM cut off",
    DisturbanceKind::Failure,
    [](LimitFleet& aFleet, RandomI&) {
      std::size_t vm = aFleet.Busy(0);
      aFleet.Separate(vm, 1);
      aFleet.Run(4s);
      aFleet.MoveCallers();
      aFleet.Run(20s);
    } },
  { "busy VM cut off, hot",
    DisturbanceKind::Failure,
    [](LimitFleet& aFleet, RandomI&) {
      aFleet.SetDemand(4.8, 0.6);
      aFleet.Run(3s);
      aFleet.Separate(aFleet.Busy(0), 1);
      aFleet.Run(20s);
    } },
  { "links flap",
    DisturbanceKind::OwnerAway,
    [](LimitFleet& aFleet, RandomI& aRandom) {
      std::size_t owner = aFleet.Owner();
      for (int i = 0; i < 3; ++i) {
        aFleet.Separate(owner, 1);
        aFleet.Run(7s + 100ms * static_cast<int>(aRandom.Below(10)));
        aFleet.Separate(owner, 0);
        aFleet.Run(1s);
      }
    } },
  { "all apart, hot",
    DisturbanceKind::AllApart,
    [](LimitFleet& aFleet, RandomI&) {
      aFleet.SetDemand(4.8, 0.3);
      aFleet.Run(2s);
      for (std::size_t i = 0; i < 76; ++i) {
        aFleet.Separate(i, i);
      }
      aFleet.Run(20s);
      for (std::size_t i = 0; i < 76; ++i) {
        aFleet.Separate(i, 0);
      }
      aFleet.Run(10s);
    } },
  { "halves, hot",
    DisturbanceKind::Failure,
    [](LimitFleet& aFleet, RandomI&) {
      aFleet.SetDemand(4.8, 0.3);
      aFleet.Run(2s);
      for (std::size_t i = 0; i < 38; ++i) {
        aFleet.Separate(i, 1);
      }
      aFleet.Run(20s);
      for (std::size_t i = 0; i < 38; ++i) {
        aFleet.Separate(i, 0);
      }
      aFleet.Run(10s);
    } },
  { "many killed",
    DisturbanceKind::Failure,
    [](LimitFleet& aFleet, RandomI& aRandom) {
      std::size_t from = aRandom.Below(50);
      for (std::size_t i = from; i < from + 25; ++i) {
        aFleet.Kill(i);
      }
      aFleet.Run(2s);
      for (std::size_t i = from; i < from + 25; ++i) {
        aFleet.Restart(i);
      }
      aFleet.Run(23s);
    } },
  { "suspended",
    DisturbanceKind::OwnerAway,
    [](LimitFleet& aFleet, RandomI& aRandom) {
      std::size_t owner = aFleet.Owner();
      std::size_t busy = aFleet.Busy(0);
      aFleet.Freeze(owner);
      aFleet.Freeze(busy);
      aFleet.Run(1s * static_cast<int>(1 + aRandom.Below(12)));
      aFleet.Thaw(owner);
      aFleet.Thaw(busy);
      aFleet.Run(15s);
    } },
};

struct Outcome
{
  double m_most{ 0 };    ///< units that ran in a window of 8 s
  double m_allowed{ 0 }; ///< in such a window
  double m_served{ 0 };  ///< share of what one bucket would have granted
};

inline Outcome
Play(std::uint64_t aSeed,
     const Disturbance& aWhat,
     LimitPolicy aPolicy = LimitPolicy::Leases)
{
  auto random = MakeSeededRandom(aSeed);
  bool many = random->Below(3) == 0;
  double demand = DemandOf(1 + random->Below(16), many ? 460 : 16);
  constexpr double kFactors[] = { 0.2, 0.5, 1, 1.8, 5 };
  constexpr double kBursts[] = { 1, 2, 4 };
  RateLimit limit{ .m_perSecond = demand * kFactors[aSeed % 5],
                   .m_countsTokens = true,
                   .m_plainTokens = 200 };
  limit.m_burst = limit.m_perSecond * kBursts[random->Below(3)];
  LimitFleet fleet({ .m_perSecond = demand,
                     .m_limit = limit,
                     .m_busyVms = 1 + random->Below(6),
                     .m_lostShare = random->Below(4) == 0 ? 0.02 : 0,
                     .m_policy = aPolicy,
                     .m_seed = aSeed });
  fleet.Run(6s);
  aWhat.m_play(fleet, *random);
  return { .m_most = fleet.MostIn(8s, TimePoint{}, fleet.Now()),
           .m_allowed = Allowed(limit),
           .m_served = fleet.ServedShare() };
}

/// What came of a disturbance with several seeds.
struct Summary
{
  double m_worstWindow{ 0 }; ///< share of what is allowed
  double m_served{ 0 };      ///< mean share, at most 1 of each seed
};

inline Summary
PlaySeeds(const Disturbance& aWhat,
          std::uint64_t aSeeds,
          LimitPolicy aPolicy = LimitPolicy::Leases)
{
  Summary summary;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    Outcome outcome = Play(seed, aWhat, aPolicy);
    summary.m_worstWindow =
      std::max(summary.m_worstWindow, outcome.m_most / outcome.m_allowed);
    summary.m_served +=
      std::min(1.0, outcome.m_served) / static_cast<double>(aSeeds);
  }
  return summary;
}

} // namespace shallotford::test

#endif // SHALLOTFORD_TESTS_LIMIT_SCENARIOS_H
