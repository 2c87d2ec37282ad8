#ifndef SHALLOTFORD_SRC_PLACEMENT_TABLE_H
#define SHALLOTFORD_SRC_PLACEMENT_TABLE_H

/// Private data of EngineTable: the requests that this VM placed, and lookup
/// tables.

#include "placement_hints.h"
#include "shallotford/placement.h"

#include <array>

namespace shallotford {

/// A placed request, until it ends.
struct EngineWork
{
  std::uint32_t m_prefillEngine{};
  std::uint32_t m_decodeEngine{};
  std::uint32_t m_promptTokens{};
  std::uint32_t m_prefillTokens{}; ///< predicted, less the cached prefix
  std::uint32_t m_pieces{};        ///< of decode memory
  WorkStep m_step{ WorkStep::Placed };
  bool m_prefillOpen{ true };
  bool m_inReport{ false }; ///< counted in the decode engine's report
  std::optional<TimePoint> m_claimedAt;
  TimePoint m_placedAt{};
  std::vector<PrefixKey> m_prefixes;
};

/// This VM's recent demand for a model's prefill engines.
struct ModelDemand
{
  double m_tokens{ 0 };       ///< decaying sum of predicted work
  double m_workTokens{ 0 };   ///< decaying sum of tokens computed
  double m_promptTokens{ 0 }; ///< as m_workTokens, with cached tokens
  TimePoint m_at{};           ///< when the sums were last decayed

  void Decay(TimePoint aNow);
  /// Returns the share of prompt tokens that recent prefills computed.
  double ComputedShare() const;
};

/// A placed request that ended. A report measured before its end counts it.
struct EndedWork
{
  TimePoint m_claimedAt{};
  TimePoint m_endedAt{};
  std::uint32_t m_pieces{};
};

struct EngineTable::Index
{
  using Pools = std::array<std::vector<std::uint32_t>, 2>;

  std::unordered_map<std::string, std::uint32_t> m_byAddress;
  std::map<std::string, Pools, std::less<>> m_pools;
  std::vector<std::string> m_regions;
  std::vector<std::optional<LinkEntry>> m_links; ///< by LinkIndex
  std::vector<std::uint32_t> m_transfers;        ///< by LinkIndex
  std::unordered_map<WorkId, EngineWork> m_openWork;
  std::vector<std::vector<WorkId>> m_decodesOf;  ///< by decode engine
  std::vector<std::vector<WorkId>> m_prefillsOf; ///< open, by prefill engine
  std::vector<std::deque<EndedWork>> m_endedOf;  ///< by decode engine
  std::unordered_map<std::string, ModelDemand> m_demand; ///< by model
  PrefixHints m_hints;
  WorkId m_lastWork{ 0 };

  EngineWork* Find(WorkId aWork);
  std::size_t LinkIndex(std::uint32_t aFrom, std::uint32_t aTo) const;
  void AddTransfer(const EngineWork& aWork,
                   const std::vector<EngineFacts>& aEngines,
                   int aBy);
  /// Removes a prefill that is over from the engine's own work.
  void ClosePrefill(WorkId aId, EngineWork& aWork, EngineFacts& aFacts);
  void AddDecode(WorkId aId, EngineWork& aWork, EngineFacts& aFacts);
  void RemoveDecode(TimePoint aNow,
                    WorkId aId,
                    EngineWork& aWork,
                    EngineFacts& aFacts);
  /// Recomputes the corrections for a report that has just arrived.
  void RecomputeCorrections(TimePoint aNow,
                            std::uint32_t aEngine,
                            EngineFacts& aFacts);
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_PLACEMENT_TABLE_H
