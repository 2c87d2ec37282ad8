/// Tests that reports reach all VMs of a large fleet soon, at a cost for each
/// VM that doesn't grow with the fleet.

#define BOOST_TEST_MODULE report_spread
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "router_spread.h"

using namespace shallotford;

namespace {

SpreadReport
Report(const std::string& aId)
{
  return { .m_id = aId, .m_call = Json::Value(aId) };
}

/// VMs that pass reports on in rounds, all of which reach random others.
struct Fleet
{
  Fleet(std::size_t aVms, std::uint64_t aSeed)
    : m_random(MakeSeededRandom(aSeed))
    , m_vms(aVms)
  {
  }

  void Round()
  {
    std::vector<std::pair<std::size_t, SpreadReport>> received;
    for (std::size_t from = 0; from < m_vms.size(); ++from) {
      std::vector<SpreadReport> round = m_vms.at(from).NextRound();
      BOOST_TEST_REQUIRE(round.size() <= kMaxReportsPerRound);
      for (std::size_t i = 0; i < kReportFanout && !round.empty(); ++i) {
        std::size_t other = m_random->Below(m_vms.size() - 1);
        other += other >= from ? 1 : 0;
        for (const SpreadReport& report : round) {
          received.emplace_back(other, report);
        }
      }
    }
    m_now += kReportRoundPeriod;
    for (const auto& [vm, report] : received) {
      m_vms.at(vm).Add(report, m_now);
    }
  }

  std::size_t Knowing(const std::string& aId) const
  {
    return static_cast<std::size_t>(
      std::count_if(m_vms.begin(), m_vms.end(), [&](const auto& aVm) {
        return aVm.IsKnown(aId);
      }));
  }

  std::unique_ptr<RandomI> m_random;
  std::vector<ReportSpread> m_vms;
  TimePoint m_now{ std::chrono::seconds(100) };
};

} // namespace

BOOST_AUTO_TEST_CASE(a_report_reaches_360_vms_within_three_seconds)
{
  constexpr std::size_t kVms = 360;
  constexpr auto kRounds = 3'000ms / kReportRoundPeriod;
  std::size_t missed = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(kVms, seed);
    fleet.m_vms.front().Add(Report("r"), fleet.m_now);
    for (int i = 0; i < kRounds; ++i) {
      fleet.Round();
    }
    missed += kVms - fleet.Knowing("r");
    BOOST_TEST(std::all_of(fleet.m_vms.begin(),
                           fleet.m_vms.end(),
                           [](const auto& aVm) { return aVm.IsEmpty(); }));
  }
  // 20 reports, each owed to 360 VMs.
  BOOST_TEST(missed <= 2u);
}

BOOST_AUTO_TEST_CASE(reports_of_a_storm_of_crashes_reach_all_vms)
{
  constexpr std::size_t kVms = 300;
  constexpr std::size_t kReportsPerRound = 100; // 500 a second
  Fleet fleet(kVms, 1);
  std::vector<std::string> ids;
  for (int round = 0; round < 20; ++round) {
    for (std::size_t i = 0; i < kReportsPerRound; ++i) {
      ids.push_back(std::to_string(ids.size()));
      fleet.m_vms.at(fleet.m_random->Below(kVms))
        .Add(Report(ids.back()), fleet.m_now);
    }
    fleet.Round();
  }
  while (std::any_of(fleet.m_vms.begin(),
                     fleet.m_vms.end(),
                     [](const auto& aVm) { return !aVm.IsEmpty(); })) {
    fleet.Round();
  }
  std::size_t known = 0;
  for (const std::string& id : ids) {
    known += fleet.Knowing(id);
  }
  BOOST_TEST(static_cast<double>(known) >=
             0.95 * static_cast<double>(kVms * ids.size()));
}

BOOST_AUTO_TEST_CASE(a_known_report_is_not_passed_on_again)
{
  ReportSpread spread;
  TimePoint now{ std::chrono::seconds(1) };
  BOOST_TEST(spread.Add(Report("r"), now));
  for (std::uint32_t i = 0; i < kRoundsPerReport; ++i) {
    BOOST_TEST(spread.NextRound().size() == 1u);
  }
  BOOST_TEST(!spread.Add(Report("r"), now));
  BOOST_TEST(spread.IsEmpty());
}

BOOST_AUTO_TEST_CASE(waiting_reports_are_bounded)
{
  ReportSpread spread;
  TimePoint now{ std::chrono::seconds(1) };
  for (std::size_t i = 0; i < 3 * kMaxWaitingReports; ++i) {
    spread.Add(Report(std::to_string(i)), now);
  }
  std::size_t passedOn = 0;
  while (!spread.IsEmpty()) {
    passedOn += spread.NextRound().size();
  }
  BOOST_TEST(passedOn <= kMaxWaitingReports * kRoundsPerReport);
}
