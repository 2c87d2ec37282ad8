/// The naive placer, a baseline for comparisons: chooses a random prefill
/// engine and then a random decode engine.

#include "placement_cost.h"
#include "placement_placers.h"

namespace shallotford {

namespace {

class NaivePlacer : public PlacerI
{
public:
  PlacementResult Place(TimePoint aNow,
                        const PlacementRequest& aRequest,
                        const EngineTable& aTable,
                        RandomI& aRandom) override
  {
    const auto prefill =
      Pick(aNow, aRequest, aTable, EngineRole::Prefill, aRandom);
    if (!prefill)
      return NoEngine(EngineRole::Prefill);
    return WithDecode(aNow, aRequest, aTable, *prefill, aRandom);
  }

  PlacementResult PlaceDecode(TimePoint aNow,
                              const PlacementRequest& aRequest,
                              const std::string& aPrefillEngine,
                              const EngineTable& aTable,
                              RandomI& aRandom) override
  {
    const std::uint32_t prefill = aTable.Find(aPrefillEngine);
    if (prefill == EngineTable::kNoEngine)
      return NoEngine(EngineRole::Prefill);
    return WithDecode(aNow, aRequest, aTable, prefill, aRandom);
  }

private:
  static std::optional<std::uint32_t> Pick(TimePoint aNow,
                                           const PlacementRequest& aRequest,
                                           const EngineTable& aTable,
                                           EngineRole aRole,
                                           RandomI& aRandom)
  {
    std::vector<std::uint32_t> usable;
    for (const std::uint32_t engine :
         aTable.Pool(aRequest.m_service->m_name, aRole))
      if (MayRun(aNow, aRequest, aTable.Engines()[engine]))
        usable.push_back(engine);
    if (usable.empty())
      return std::nullopt;
    return usable[aRandom.Below(usable.size())];
  }

  static PlacementResult WithDecode(TimePoint aNow,
                                    const PlacementRequest& aRequest,
                                    const EngineTable& aTable,
                                    std::uint32_t aPrefill,
                                    RandomI& aRandom)
  {
    const auto decode =
      Pick(aNow, aRequest, aTable, EngineRole::Decode, aRandom);
    if (!decode)
      return NoEngine(EngineRole::Decode);
    const PrefillCandidate prefill =
      WeighPrefill(aNow, aRequest, aTable, aPrefill, 0);
    const DecodeCandidate candidate =
      WeighDecode(aNow, aRequest, aTable, *decode);
    return MakePlacement(aRequest,
                         aTable,
                         prefill,
                         candidate,
                         WeighPair(aRequest, aTable, prefill, candidate));
  }
};

} // namespace

std::unique_ptr<PlacerI>
MakeNaivePlacer()
{
  return std::make_unique<NaivePlacer>();
}

} // namespace shallotford
