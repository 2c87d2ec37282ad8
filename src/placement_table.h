#ifndef SHALLOTFORD_SRC_PLACEMENT_TABLE_H
#define SHALLOTFORD_SRC_PLACEMENT_TABLE_H

/// The bookkeeping behind EngineTable: own work and lookups.

#include "placement_hints.h"
#include "shallotford/placement.h"

#include <array>

namespace shallotford {

/// Own work at engines, until it ends.
struct EngineWork
{
  std::uint32_t m_prefillEngine{};
  std::uint32_t m_decodeEngine{};
  std::uint32_t m_promptTokens{};
  std::uint32_t m_prefillTokens{}; ///< predicted, less the cached prefix
  std::uint32_t m_pieces{};        ///< decode memory
  WorkStep m_step{ WorkStep::Placed };
  bool m_prefillOpen{ true };
  bool m_inReport{ false }; ///< the decode engine's report counts it
  std::optional<TimePoint> m_claimedAt;
  TimePoint m_placedAt{};
  std::vector<PrefixKey> m_prefixes;
};

/// Own demand for a model's prefill engines, decaying.
struct ModelDemand
{
  double m_tokens{ 0 };       ///< decaying sum of predicted work
  double m_workTokens{ 0 };   ///< decaying sum of tokens computed
  double m_promptTokens{ 0 }; ///< of the same prompts, with cached ones
  TimePoint m_at{};

  void Decay(TimePoint aNow);
  /// Share of a prompt that is computed, as prefills of late went.
  double WorkShare() const;
};

/// Own work that ended; a report measured before still counts it.
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
  std::vector<std::optional<LinkEntry>> m_links; ///< from * regions + to
  std::vector<std::uint32_t> m_transfers;        ///< likewise
  std::unordered_map<WorkId, EngineWork> m_works;
  std::vector<std::vector<WorkId>> m_worksOf;    ///< by decode engine
  std::vector<std::vector<WorkId>> m_prefillsOf; ///< by prefill engine, open
  std::vector<std::deque<EndedWork>> m_endedOf;  ///< by decode engine
  std::unordered_map<std::string, ModelDemand> m_demand; ///< by model
  PrefixHints m_hints;
  WorkId m_lastWork{ 0 };

  EngineWork* Find(WorkId aWork);
  std::size_t LinkIndex(std::uint32_t aFrom, std::uint32_t aTo) const;
  void AddTransfer(const EngineWork& aWork,
                   const std::vector<EngineFacts>& aEngines,
                   int aBy);
  /// Takes a prefill that is over out of the engine's own work.
  void ClosePrefill(WorkId aId, EngineWork& aWork, EngineFacts& aFacts);
  void AddDecode(WorkId aId, EngineWork& aWork, EngineFacts& aFacts);
  void RemoveDecode(TimePoint aNow,
                    WorkId aId,
                    EngineWork& aWork,
                    EngineFacts& aFacts);
  /// Recomputes the corrections of a report that has just come.
  void Correct(TimePoint aNow, std::uint32_t aEngine, EngineFacts& aFacts);
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_PLACEMENT_TABLE_H
