#ifndef SHALLOTFORD_SRC_PLACEMENT_COST_H
#define SHALLOTFORD_SRC_PLACEMENT_COST_H

/// Cost model that placers share: the time that a request is predicted to spend
/// at each engine and on the link between them, and the cost of an engine pair.

#include "shallotford/placement.h"

namespace shallotford {

/// A prefill engine as a candidate for one request.
struct PrefillCandidate
{
  std::uint32_t m_engine{};
  std::uint32_t m_region{};
  std::uint32_t m_cachedTokens{};
  double m_queueTokens{}; ///< without requests of other VMs since the report
  double m_queue{};       ///< seconds until the prefill starts
  double m_prefill{};     ///< seconds of the prefill itself
  double m_bonus{};       ///< seconds, for the engine that the prefix hashes to
  double m_tie{};         ///< random; the smallest wins among equals
  double Time() const { return m_queue + m_prefill; }
};

/// A decode engine as a candidate for one request.
struct DecodeCandidate
{
  std::uint32_t m_engine{};
  std::uint32_t m_region{};
  double m_wait{};   ///< seconds until memory and a batch place are free
  double m_step{};   ///< seconds per token with this request in the batch
  double m_risk{};   ///< chance that the claim is refused, in [0, 1]
  double m_margin{}; ///< requests like this one that fit, itself included
  double m_tie{};    ///< random; the smallest wins among equals
};

/// Predicted cost of a request on a pair of engines.
struct PairCost
{
  double m_transfer{};   ///< seconds
  double m_firstToken{}; ///< seconds from now
  double m_total{};      ///< seconds, with penalties
  std::uint64_t m_crossRegionBytes{};
};

/// Returns the decode memory of a request, in pieces.
std::uint32_t
PiecesNeeded(const PlacementRequest& aRequest);

/// Returns the seconds per token of a batch of aRunning requests.
double
DecodeStep(const ModelEntry& aModel, double aRunning);

/// Returns the largest batch whose decode step meets the per-token target.
double
LargestBatch(const PlacementRequest& aRequest);

/// Returns a random number for a weighted choice: among several such numbers,
/// the chance of each to be the smallest is proportional to its weight.
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

/// Adds to the candidates' queues the work that other VMs are likely to have
/// sent since the reports. Other VMs see the same reports, so their work is
/// added to the shortest queues.
/// @param aShare  the candidates' share of the pool, in (0, 1]
void
AddOtherVmsWork(TimePoint aNow,
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

/// Returns the seconds until the first-token target or the deadline passes,
/// whichever is first.
double
TimeLeft(TimePoint aNow, const PlacementRequest& aRequest);

/// Returns whether the request may be placed on an engine.
bool
MayRun(TimePoint aNow,
       const PlacementRequest& aRequest,
       const EngineFacts& aFacts);

/// Builds the placement of a request on a chosen pair.
Placement
MakePlacement(const PlacementRequest& aRequest,
              const EngineTable& aTable,
              const PrefillCandidate& aPrefill,
              const DecodeCandidate& aDecode,
              const PairCost& aCost);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_PLACEMENT_COST_H
