#ifndef SHALLOTFORD_TESTS_PLACEMENT_FIXTURE_H
#define SHALLOTFORD_TESTS_PLACEMENT_FIXTURE_H

/// A fleet of one model, one service and a few engines, for tests of placement.

#include "shallotford/placement.h"

namespace shallotford {

struct PlacementFixture
{
  PlacementFixture() { UseFleet({ "r0", "r0" }, { "r0", "r0" }); }

  /// Applies a fleet with one engine for each listed region: p0, p1, ... for
  /// prefill and d0, d1, ... for decode.
  void UseFleet(const std::vector<std::string>& aPrefills,
                const std::vector<std::string>& aDecodes)
  {
    m_fleet = {};
    for (const char* from : { "r0", "r1", "r2" }) {
      m_fleet.m_regions.push_back({ from, {} });
      for (const char* to : { "r0", "r1", "r2" })
        m_fleet.m_links.push_back(
          { from, to, 10'000'000'000, std::chrono::microseconds{ 0 }, 0.02 });
    }
    ModelEntry model;
    model.m_name = "m";
    m_fleet.m_models.push_back(model);
    ServiceEntry service;
    service.m_name = "s";
    service.m_kind = ServiceKind::Model;
    service.m_model = "m";
    Add(service, EngineRole::Prefill, "p", aPrefills);
    Add(service, EngineRole::Decode, "d", aDecodes);
    m_fleet.m_services.push_back(service);
    m_table.SetFleet(m_now, m_fleet);
  }

  static void Add(ServiceEntry& aService,
                  EngineRole aRole,
                  const std::string& aPrefix,
                  const std::vector<std::string>& aRegions)
  {
    for (std::size_t i = 0; i < aRegions.size(); ++i) {
      EngineEntry engine;
      engine.m_address = aPrefix + std::to_string(i);
      engine.m_region = aRegions[i];
      engine.m_role = aRole;
      aService.m_engines.push_back(engine);
    }
  }

  PlacementRequest Request(std::uint32_t aPromptTokens,
                           std::vector<PrefixKey> aPrefixes = {}) const
  {
    PlacementRequest request;
    request.m_service = &m_fleet.m_services.front();
    request.m_model = &m_fleet.m_models.front();
    request.m_promptTokens = aPromptTokens;
    request.m_maxOutputTokens = 200;
    request.m_prefixes = std::move(aPrefixes);
    request.m_receivedAt = m_now;
    request.m_homeRegion = "r0";
    return request;
  }

  static LoadReport Report(EngineRole aRole, std::uint64_t aQueueTokens)
  {
    LoadReport report;
    report.m_role = aRole;
    report.m_model = "m";
    report.m_batchLimit = 20;
    report.m_piecesTotal = 200;
    report.m_piecesFree = 200;
    report.m_prefillQueueTokens = aQueueTokens;
    return report;
  }

  Placement MustPlace(const PlacementRequest& aRequest)
  {
    return std::get<Placement>(
      MakePlacer("joint")->Place(m_now, aRequest, m_table, *m_random));
  }

  TimePoint m_now{ std::chrono::seconds{ 1'000 } };
  FleetText m_fleet;
  EngineTable m_table;
  std::unique_ptr<RandomI> m_random{ MakeSeededRandom(1) };
};

} // namespace shallotford

#endif // SHALLOTFORD_TESTS_PLACEMENT_FIXTURE_H
