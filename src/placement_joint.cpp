/// The joint placer: chooses prefill and decode engine together, by predicted
/// time to first token with penalties for wasted prefill and billed bytes.

#include "config.h"
#include "placement_cost.h"
#include "placement_placers.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace shallotford {

namespace {

/// A pair of candidates with its cost.
struct Pair
{
  const PrefillCandidate* m_prefill{};
  const DecodeCandidate* m_decode{};
  PairCost m_cost;
};

/// Mixes the bits of a 64-bit number (the finalizer of MurmurHash3).
std::uint64_t
MixBits(std::uint64_t aValue)
{
  aValue ^= aValue >> 33;
  aValue *= 0xff51afd7ed558ccdULL;
  aValue ^= aValue >> 33;
  aValue *= 0xc4ceb9fe1a85ec53ULL;
  return aValue ^ (aValue >> 33);
}

/// Moves aCount randomly chosen members to the front.
void
SampleFront(std::vector<std::uint32_t>& aEngines,
            std::size_t aCount,
            RandomI& aRandom)
{
  for (std::size_t i = 0; i < aCount && i < aEngines.size(); ++i)
    std::swap(aEngines[i], aEngines[i + aRandom.Below(aEngines.size() - i)]);
}

/// Keeps the best kMaxCandidatesPerRegion candidates of each region.
template<typename Candidate, typename Better>
void
KeepBestPerRegion(std::vector<Candidate>& aCandidates, Better aBetter)
{
  std::sort(aCandidates.begin(), aCandidates.end(), aBetter);
  std::vector<std::size_t> kept;
  std::erase_if(aCandidates, [&](const Candidate& aCandidate) {
    if (kept.size() <= aCandidate.m_region)
      kept.resize(aCandidate.m_region + 1);
    return ++kept[aCandidate.m_region] > kMaxCandidatesPerRegion;
  });
}

class JointPlacer : public PlacerI
{
public:
  explicit JointPlacer(const JointOptions& aOptions)
    : m_options(aOptions)
  {
  }

  PlacementResult Place(TimePoint aNow,
                        const PlacementRequest& aRequest,
                        const EngineTable& aTable,
                        RandomI& aRandom) override
  {
    std::vector<PrefillCandidate> prefills =
      PrefillCandidates(aNow, aRequest, aTable, aRandom);
    if (prefills.empty())
      return NoEngine(EngineRole::Prefill);
    return Choose(aNow, aRequest, aTable, prefills, aRandom);
  }

  PlacementResult PlaceDecode(TimePoint aNow,
                              const PlacementRequest& aRequest,
                              const std::string& aPrefillEngine,
                              const EngineTable& aTable,
                              RandomI& aRandom) override
  {
    const std::uint32_t engine = aTable.Find(aPrefillEngine);
    if (engine == EngineTable::kNoEngine)
      return NoEngine(EngineRole::Prefill);
    // The prefill is running, so only the cost of what follows it counts.
    std::vector<PrefillCandidate> prefills{
      { .m_engine = engine, .m_region = aTable.Engines()[engine].m_region }
    };
    return Choose(aNow, aRequest, aTable, prefills, aRandom);
  }

private:
  /// Returns the engines of a role to weigh: all usable ones of a small pool, a
  /// random sample of a large one.
  std::vector<std::uint32_t> Candidates(TimePoint aNow,
                                        const PlacementRequest& aRequest,
                                        const EngineTable& aTable,
                                        EngineRole aRole,
                                        RandomI& aRandom) const
  {
    const std::vector<std::uint32_t>& pool =
      aTable.Pool(aRequest.m_service->m_name, aRole);
    const bool whole = pool.size() <= kMaxFullyWeighedPool;
    const std::size_t wanted = m_options.m_twoChoices ? 2 : kSampledEngines;
    std::vector<std::uint32_t> found;
    if (whole) {
      for (const std::uint32_t engine : pool)
        if (MayUse(aNow, aRequest, aTable, engine, aRandom))
          found.push_back(engine);
      if (m_options.m_twoChoices) {
        SampleFront(found, wanted, aRandom);
        found.resize(std::min(found.size(), wanted));
      }
      return found;
    }
    for (std::size_t i = 0; i < 4 * wanted && found.size() < wanted; ++i) {
      const std::uint32_t engine = pool[aRandom.Below(pool.size())];
      if (MayUse(aNow, aRequest, aTable, engine, aRandom) &&
          std::find(found.begin(), found.end(), engine) == found.end())
        found.push_back(engine);
    }
    return found;
  }

  /// Returns whether an engine is a candidate. An engine that came up lately is
  /// one for a random share of the requests, which grows over its slow start.
  static bool MayUse(TimePoint aNow,
                     const PlacementRequest& aRequest,
                     const EngineTable& aTable,
                     std::uint32_t aEngine,
                     RandomI& aRandom)
  {
    if (!MayRun(aNow, aRequest, aTable.Engines()[aEngine]))
      return false;
    const double share = aTable.SlowStart(aNow, aEngine);
    return share >= 1.0 || aRandom.Unit() < share;
  }

  std::vector<PrefillCandidate> PrefillCandidates(
    TimePoint aNow,
    const PlacementRequest& aRequest,
    const EngineTable& aTable,
    RandomI& aRandom) const
  {
    std::vector<std::uint32_t> engines =
      Candidates(aNow, aRequest, aTable, EngineRole::Prefill, aRandom);
    std::vector<CachedPrefix> cached;
    if (m_options.m_affinity)
      cached = aTable.Cached(aNow, aRequest.m_prefixes);
    const std::string& service = aRequest.m_service->m_name;
    for (const CachedPrefix& prefix : cached) {
      const EngineFacts& facts = aTable.Engines()[prefix.m_engine];
      const bool listed =
        std::find(engines.begin(), engines.end(), prefix.m_engine) !=
        engines.end();
      if (!listed && facts.m_role == EngineRole::Prefill &&
          facts.m_model == aRequest.m_service->m_model &&
          MayUse(aNow, aRequest, aTable, prefix.m_engine, aRandom))
        engines.push_back(prefix.m_engine);
    }
    const std::uint32_t hashed = Rendezvous(aRequest, aTable, service);
    std::vector<PrefillCandidate> candidates;
    for (const std::uint32_t engine : engines) {
      std::uint32_t tokens = 0;
      for (const CachedPrefix& prefix : cached)
        if (prefix.m_engine == engine)
          tokens = std::max(tokens, prefix.m_tokens);
      candidates.push_back(
        WeighPrefill(aNow, aRequest, aTable, engine, tokens));
      if (engine == hashed)
        candidates.back().m_bonus = kRendezvousBonus;
    }
    if (m_options.m_estimateOtherVms && !candidates.empty()) {
      const std::size_t pool = aTable.Pool(service, EngineRole::Prefill).size();
      AddOtherVmsWork(aNow,
                      aTable,
                      aRequest.m_service->m_model,
                      double(candidates.size()) / double(pool),
                      candidates,
                      aRandom);
    }
    KeepBestPerRegion(
      candidates,
      [&](const PrefillCandidate& aOne, const PrefillCandidate& aTwo) {
        return std::make_pair(CostBucket(aOne), aOne.m_tie) <
               std::make_pair(CostBucket(aTwo), aTwo.m_tie);
      });
    return candidates;
  }

  static long CostBucket(const PrefillCandidate& aCandidate)
  {
    return std::lround((aCandidate.Time() - aCandidate.m_bonus) /
                       kNearEqualCost);
  }

  /// Returns the engine that the request's first prefix hashes to (rendezvous
  /// hashing). All VMs get the same one.
  std::uint32_t Rendezvous(const PlacementRequest& aRequest,
                           const EngineTable& aTable,
                           const std::string& aService) const
  {
    if (!m_options.m_rendezvous || aRequest.m_prefixes.empty())
      return EngineTable::kNoEngine;
    std::uint32_t best = EngineTable::kNoEngine;
    std::uint64_t bestScore = 0;
    for (const std::uint32_t engine :
         aTable.Pool(aService, EngineRole::Prefill)) {
      const std::uint64_t score =
        MixBits(aRequest.m_prefixes.front() ^ MixBits(engine + 1));
      if (score < bestScore)
        continue;
      bestScore = score;
      best = engine;
    }
    return best;
  }

  PlacementResult Choose(TimePoint aNow,
                         const PlacementRequest& aRequest,
                         const EngineTable& aTable,
                         const std::vector<PrefillCandidate>& aPrefills,
                         RandomI& aRandom) const
  {
    std::vector<DecodeCandidate> decodes;
    for (const std::uint32_t engine :
         Candidates(aNow, aRequest, aTable, EngineRole::Decode, aRandom))
      decodes.push_back(WeighDecode(aNow, aRequest, aTable, engine));
    for (DecodeCandidate& decode : decodes)
      decode.m_tie =
        m_options.m_spreadNearEqual
          ? WeightedTie(std::max(decode.m_margin, kMinDecodeMargin), aRandom)
          : decode.m_step;
    if (decodes.empty())
      return NoEngine(EngineRole::Decode);
    KeepBestPerRegion(
      decodes, [](const DecodeCandidate& aOne, const DecodeCandidate& aTwo) {
        return std::tie(aOne.m_wait, aOne.m_tie) <
               std::tie(aTwo.m_wait, aTwo.m_tie);
      });
    std::vector<Pair> pairs;
    for (const PrefillCandidate& prefill : aPrefills)
      for (const DecodeCandidate& decode : decodes)
        pairs.push_back(
          { &prefill, &decode, WeighPair(aRequest, aTable, prefill, decode) });
    std::sort(
      pairs.begin(), pairs.end(), [](const Pair& aOne, const Pair& aTwo) {
        return aOne.m_cost.m_total < aTwo.m_cost.m_total;
      });
    const Pair& chosen = pairs[ChooseIndex(pairs)];
    if (const auto refusal = RefuseLate(aNow, aRequest, chosen))
      return *refusal;
    Placement placement = MakePlacement(
      aRequest, aTable, *chosen.m_prefill, *chosen.m_decode, chosen.m_cost);
    for (const Pair& pair : pairs) {
      if (placement.m_alternatives.size() >= kMaxAlternatives)
        break;
      placement.m_alternatives.push_back(
        { aTable.Engines()[pair.m_prefill->m_engine].m_address,
          aTable.Engines()[pair.m_decode->m_engine].m_address,
          pair.m_cost.m_total });
    }
    return placement;
  }

  /// Returns the index of the pair to use: one of those that cost nearly as
  /// little as the first, at random, so that VMs with the same facts choose
  /// different pairs.
  std::size_t ChooseIndex(const std::vector<Pair>& aPairs) const
  {
    if (!m_options.m_spreadNearEqual)
      return 0;
    const double limit = aPairs.front().m_cost.m_total + kNearEqualCost;
    const auto tie = [&](std::size_t aAt) {
      return std::make_pair(aPairs[aAt].m_prefill->m_tie,
                            aPairs[aAt].m_decode->m_tie);
    };
    std::size_t best = 0;
    for (std::size_t i = 1;
         i < aPairs.size() && aPairs[i].m_cost.m_total <= limit;
         ++i)
      if (tie(i) < tie(best))
        best = i;
    return best;
  }

  std::optional<PlacementRefusal> RefuseLate(TimePoint aNow,
                                             const PlacementRequest& aRequest,
                                             const Pair& aChosen) const
  {
    if (!m_options.m_refuseLate || aRequest.m_mustRun)
      return std::nullopt;
    const double timeLeft = TimeLeft(aNow, aRequest);
    const double excess = aChosen.m_cost.m_firstToken - timeLeft;
    const bool full = aChosen.m_decode->m_wait > 0;
    if (excess <= 0 && !full)
      return std::nullopt;
    const double minFirstToken =
      aChosen.m_prefill->Time() + aChosen.m_cost.m_transfer;
    const auto retryAfter =
      std::clamp(std::chrono::milliseconds(std::int64_t(excess * 1e3)),
                 kMinRetryAfter,
                 kMaxRetryAfter);
    return PlacementRefusal{ .m_kind = ErrorKind::Overloaded,
                             .m_reason =
                               full ? "decode memory is full"
                                    : "the first token would miss its target",
                             .m_retryAfter = retryAfter,
                             .m_mayWait = full && minFirstToken <= timeLeft };
  }

  JointOptions m_options;
};

} // namespace

std::unique_ptr<PlacerI>
MakeJointPlacer(const JointOptions& aOptions)
{
  return std::make_unique<JointPlacer>(aOptions);
}

} // namespace shallotford
