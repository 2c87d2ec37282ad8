#ifndef SHALLOTFORD_SRC_PLACEMENT_COST_H
#define SHALLOTFORD_SRC_PLACEMENT_COST_H

/// Predictions that placers weigh: time at each engine and on the link.

#include "shallotford/placement.h"

namespace shallotford {

/// A prefill engine as a candidate for one request.
struct PrefillCandidate
{
  std::uint32_t m_engine{};
  std::uint32_t m_region{};
  std::uint32_t m_cachedTokens{};
  double m_queueTokens{}; ///< without what other VMs may have sent since
  double m_queue{};       ///< seconds
  double m_prefill{};     ///< seconds
  double m_bonus{};       ///< seconds, for the engine that all VMs hash to
  double m_tie{};         ///< random; the least wins among equals
  double Time() const { return m_queue + m_prefill; }
};

/// A decode engine as a candidate for one request.
struct DecodeCandidate
{
  std::uint32_t m_engine{};
  std::uint32_t m_region{};
  double m_wait{};   ///< seconds until memory and a place are free
  double m_step{};   ///< seconds per token with this request in the batch
  double m_risk{};   ///< chance that the claim is refused, in [0, 1]
  double m_margin{}; ///< requests like this one that fit, itself included
  double m_tie{};    ///< random; the least wins among equals
};

/// What a pair of engines costs a request.
struct PairCost
{
  double m_transfer{};   ///< seconds
  double m_firstToken{}; ///< seconds from now
  double m_total{};      ///< with penalties
  std::uint64_t m_crossRegionBytes{};
};

std::uint32_t
PiecesNeeded(const PlacementRequest& aRequest);

/// Seconds per token of a batch of aRunning requests.
double
DecodeStep(const ModelEntry& aModel, double aRunning);

/// Largest batch whose step meets the per-token target.
double
LargestBatch(const PlacementRequest& aRequest);

/// Returns a random number; of several, each is the least with a chance in
/// proportion to its weight.
double
WeightedTie(double aWeight, RandomI& aRandom);

PrefillCandidate
WeighPrefill(TimePoint aNow,
             const PlacementRequest& aRequest,
             const EngineTable& aTable,
             std::uint32_t aEngine,
             std::uint32_t aCachedTokens);

DecodeCandidate
WeighDecode(TimePoint aNow,
            const PlacementRequest& aRequest,
            const EngineTable& aTable,
            std::uint32_t aEngine);

/// Adds to the candidates' queues what other VMs are likely to have sent since
/// the reports: they see the same reports, so they fill the shortest queues.
/// @param aShare  share of the pool that the candidates are, in (0, 1]
void
AddOthersWork(TimePoint aNow,
              const EngineTable& aTable,
              const std::string& aModel,
              double aShare,
              std::vector<PrefillCandidate>& aCandidates,
              RandomI& aRandom);

PairCost
WeighPair(const PlacementRequest& aRequest,
          const EngineTable& aTable,
          const PrefillCandidate& aPrefill,
          const DecodeCandidate& aDecode);

/// Seconds from now until the first-token target or the deadline is missed.
double
TimeLeft(TimePoint aNow, const PlacementRequest& aRequest);

/// Whether the request may be placed on an engine at all.
bool
MayRun(TimePoint aNow,
       const PlacementRequest& aRequest,
       const EngineFacts& aFacts);

/// Fills a placement from a weighed pair.
Placement
MakePlacement(const PlacementRequest& aRequest,
              const EngineTable& aTable,
              const PrefillCandidate& aPrefill,
              const DecodeCandidate& aDecode,
              const PairCost& aCost);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_PLACEMENT_COST_H
