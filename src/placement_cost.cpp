/// Cost model of the placers: predicted times and penalties of engine pairs.

#include "placement_cost.h"

#include "config.h"

#include <algorithm>
#include <cmath>

namespace shallotford {

namespace {

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

std::chrono::microseconds
Micros(double aSeconds)
{
  return std::chrono::microseconds(std::int64_t(aSeconds * 1e6));
}

/// Returns the seconds that a KV cache takes on a link that is shared equally
/// with the running transfers. Other VMs are assumed to run as many as this
/// one.
double
TransferTime(const EngineTable& aTable,
             std::uint32_t aFrom,
             std::uint32_t aTo,
             std::uint64_t aBytes)
{
  const LinkEntry* link = aTable.Link(aFrom, aTo);
  if (!link || link->m_bytesPerSecond == 0)
    return 0;
  const double sharers =
    1.0 + double(aTable.OwnTransfers(aFrom, aTo)) * aTable.VmCount();
  return Seconds(link->m_latency) +
         double(aBytes) * sharers / double(link->m_bytesPerSecond);
}

/// Returns the common level of the lowest members of aLevels after aAmount is
/// added to them, always to the lowest first (water filling).
double
FillLevel(std::vector<double> aLevels, double aAmount)
{
  std::sort(aLevels.begin(), aLevels.end());
  double sum = 0;
  for (std::size_t i = 0; i < aLevels.size(); ++i) {
    sum += aLevels[i];
    const double level = (sum + aAmount) / double(i + 1);
    if (i + 1 == aLevels.size() || level <= aLevels[i + 1])
      return level;
  }
  return 0;
}

} // namespace

double
WeightedTie(double aWeight, RandomI& aRandom)
{
  return -std::log(1.0 - aRandom.Unit()) / aWeight;
}

std::uint32_t
PiecesNeeded(const PlacementRequest& aRequest)
{
  const std::uint32_t tokens =
    aRequest.m_promptTokens + aRequest.m_maxOutputTokens;
  return (tokens + kKvPieceTokens - 1) / kKvPieceTokens;
}

double
DecodeStep(const ModelEntry& aModel, double aRunning)
{
  return Seconds(aModel.m_decodeStep) *
         (1.0 + kDecodeStepGrowth * std::max(0.0, aRunning - 1));
}

double
LargestBatch(const PlacementRequest& aRequest)
{
  const double growth = Seconds(aRequest.m_service->m_targets.m_perToken) /
                          Seconds(aRequest.m_model->m_decodeStep) -
                        1.0;
  return 1.0 + std::floor(growth / kDecodeStepGrowth);
}

PrefillCandidate
WeighPrefill(TimePoint aNow,
             const PlacementRequest& aRequest,
             const EngineTable& aTable,
             std::uint32_t aEngine,
             std::uint32_t aCachedTokens)
{
  const EngineFacts& facts = aTable.Engines()[aEngine];
  const std::uint32_t cached = std::min(aCachedTokens, aRequest.m_promptTokens);
  const double queue = aTable.QueueTokens(aNow, aEngine);
  return { .m_engine = aEngine,
           .m_region = facts.m_region,
           .m_cachedTokens = cached,
           .m_queueTokens = queue,
           .m_queue = queue / facts.m_tokensPerSecond,
           .m_prefill = double(aRequest.m_promptTokens - cached) /
                        facts.m_tokensPerSecond };
}

DecodeCandidate
WeighDecode(TimePoint aNow,
            const PlacementRequest& aRequest,
            const EngineTable& aTable,
            std::uint32_t aEngine)
{
  const EngineFacts& facts = aTable.Engines()[aEngine];
  const double running = aTable.Running(aNow, aEngine);
  const double pieces = PiecesNeeded(aRequest);
  const double spare = aTable.FreePieces(aNow, aEngine) - pieces;
  const double places =
    std::min<double>(facts.m_batchLimit, LargestBatch(aRequest)) - running - 1;
  DecodeCandidate candidate{ .m_engine = aEngine,
                             .m_region = facts.m_region,
                             .m_step =
                               DecodeStep(*aRequest.m_model, running + 1) };
  // The margin counts requests like this one that fit. Requests of other VMs
  // that no report shows yet reduce it, so a small margin is a risk.
  const double margin = std::min(spare / std::max(1.0, pieces), places) + 1.0;
  candidate.m_margin = margin;
  candidate.m_risk = std::clamp(1.0 - margin / kRiskFreeMargin, 0.0, 1.0);
  if (spare >= 0 && places >= 0)
    return candidate;
  const double missing = std::max(-spare / std::max(1.0, pieces), -places);
  candidate.m_wait = std::max(1.0, missing) * kTypicalOutputTokens *
                     candidate.m_step / std::max(1.0, running);
  return candidate;
}

void
AddOtherVmsWork(TimePoint aNow,
                const EngineTable& aTable,
                const std::string& aModel,
                double aShare,
                std::vector<PrefillCandidate>& aCandidates,
                RandomI& aRandom)
{
  double waiting = 0;
  double undrained = 0;
  double drained = 0;
  double age = 0;
  std::vector<double> queues;
  queues.reserve(aCandidates.size());
  for (const PrefillCandidate& candidate : aCandidates) {
    const EngineFacts& facts = aTable.Engines()[candidate.m_engine];
    const double seconds = Seconds(aNow - facts.m_reportedAt);
    queues.push_back(candidate.m_queueTokens);
    waiting += candidate.m_queueTokens;
    undrained += facts.m_undrainedTokens;
    drained += facts.m_tokensPerSecond * seconds;
    age += seconds / double(aCandidates.size());
  }
  // Without this bound, a lack of new reports would make every engine look
  // full.
  age = std::min(age, Seconds(kMaxReportAge));
  const double sent = aTable.OthersTokensPerSecond(aNow, aModel) * aShare *
                      age * kStaleReportFactor;
  const double added =
    std::clamp(undrained + sent - drained - waiting, 0.0, sent);
  const double level = FillLevel(queues, added);
  for (PrefillCandidate& candidate : aCandidates) {
    const EngineFacts& facts = aTable.Engines()[candidate.m_engine];
    const double room = std::max(0.0, level - candidate.m_queueTokens);
    candidate.m_queue =
      std::max(level, candidate.m_queueTokens) / facts.m_tokensPerSecond;
    candidate.m_tie = WeightedTie(room + 1.0, aRandom);
  }
}

PairCost
WeighPair(const PlacementRequest& aRequest,
          const EngineTable& aTable,
          const PrefillCandidate& aPrefill,
          const DecodeCandidate& aDecode)
{
  const std::uint64_t bytes = std::uint64_t{ aRequest.m_promptTokens } *
                              aRequest.m_model->m_kvBytesPerToken;
  const bool crosses = aPrefill.m_region != aDecode.m_region;
  const PlacementWeights& weights = aRequest.m_service->m_weights;
  PairCost cost{ .m_crossRegionBytes = crosses ? bytes : 0 };
  cost.m_transfer =
    TransferTime(aTable, aPrefill.m_region, aDecode.m_region, bytes);
  cost.m_firstToken = std::max(aPrefill.Time(), aDecode.m_wait) +
                      cost.m_transfer + kFirstTokenSteps * aDecode.m_step;
  const LinkEntry* link =
    crosses ? aTable.Link(aPrefill.m_region, aDecode.m_region) : nullptr;
  const double billed =
    link ? double(cost.m_crossRegionBytes) / 1e9 * link->m_cost : 0;
  const double slowdown =
    aDecode.m_step / Seconds(aRequest.m_model->m_decodeStep) - 1.0;
  // Weights are relative: dividing by the goodput weight keeps the cost in
  // seconds of time to first token.
  const double sum =
    weights.m_goodput + weights.m_wastedPrefill + weights.m_crossRegionBytes;
  const double unit = std::max(weights.m_goodput, kMinGoodputWeightShare * sum);
  cost.m_total =
    weights.m_goodput / unit *
      (cost.m_firstToken + slowdown * kSlowdownPenalty - aPrefill.m_bonus) +
    weights.m_wastedPrefill / unit * aDecode.m_risk * kWastePenalty *
      (aPrefill.m_prefill + kWasteBase) +
    weights.m_crossRegionBytes / unit * billed * kCrossRegionPenalty;
  return cost;
}

double
TimeLeft(TimePoint aNow, const PlacementRequest& aRequest)
{
  const Duration target =
    aRequest.m_service->m_targets.m_firstToken - (aNow - aRequest.m_receivedAt);
  if (aRequest.m_deadline == TimePoint::max())
    return Seconds(target);
  return Seconds(std::min<Duration>(target, aRequest.m_deadline - aNow));
}

bool
MayRun(TimePoint aNow,
       const PlacementRequest& aRequest,
       const EngineFacts& aFacts)
{
  if (!aFacts.Usable(aNow))
    return false;
  const std::vector<std::string>& excluded = aRequest.m_excluded;
  if (std::find(excluded.begin(), excluded.end(), aFacts.m_address) !=
      excluded.end())
    return false;
  return !aRequest.m_allowed || aRequest.m_allowed(aFacts.m_address);
}

Placement
MakePlacement(const PlacementRequest& aRequest,
              const EngineTable& aTable,
              const PrefillCandidate& aPrefill,
              const DecodeCandidate& aDecode,
              const PairCost& aCost)
{
  Placement placement;
  placement.m_prefillEngine = aTable.Engines()[aPrefill.m_engine].m_address;
  placement.m_decodeEngine = aTable.Engines()[aDecode.m_engine].m_address;
  placement.m_queue = Micros(aPrefill.m_queue);
  placement.m_prefill = Micros(aPrefill.m_prefill);
  placement.m_transfer = Micros(aCost.m_transfer);
  placement.m_decodeWait = Micros(aDecode.m_wait);
  placement.m_firstToken = Micros(aCost.m_firstToken);
  placement.m_cachedTokens = aPrefill.m_cachedTokens;
  placement.m_crossRegionBytes = aCost.m_crossRegionBytes;
  placement.m_cost = aCost.m_total;
  placement.m_claim = aRequest.m_service->m_claim;
  const std::chrono::microseconds end = placement.m_queue + placement.m_prefill;
  if (placement.m_claim == ClaimPolicy::PrefillFirst)
    placement.m_claimDelay = end;
  if (placement.m_claim == ClaimPolicy::AtPredictedEnd) {
    placement.m_claimDelay = std::max(0us, end - kClaimLead);
    // If decode memory may be full at the end of the prefill, it is claimed
    // first, so that no prefill is wasted.
    if (aDecode.m_risk >= kClaimFirstRisk) {
      placement.m_claim = ClaimPolicy::ClaimFirst;
      placement.m_claimDelay = 0us;
    }
  }
  return placement;
}

} // namespace shallotford
