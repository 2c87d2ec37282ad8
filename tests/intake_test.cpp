/// Tests of the account of what callers' connections hold: what a small VM
/// serves in calm, and that no order of what clients do takes it over its
/// bound.

#define BOOST_TEST_MODULE intake
#include <boost/test/unit_test.hpp>

#include "shallotford/intake.h"

#include <random>

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

constexpr double kSmallVm = 88; // megabytes
constexpr std::size_t kLargestRequest = (16u << 10) + (4u << 20);

} // namespace

BOOST_AUTO_TEST_CASE(the_largest_requests_are_served_in_calm_on_a_small_vm)
{
  Intake intake(IntakeBytes(kSmallVm));
  for (int i = 0; i < 500; ++i) { // callers that wait, or send little
    intake.Open();
    intake.Change(0, 2'000);
  }
  // Two of the largest at once, held twice while they are passed on.
  intake.Change(0, 4 * kLargestRequest);
  BOOST_TEST((intake.Step() == IntakeStep::Calm));
  BOOST_TEST(intake.MayRead(kLargestRequest));
}

BOOST_AUTO_TEST_CASE(light_connections_are_read_while_heavy_ones_wait)
{
  Intake intake(10u << 20);
  for (int i = 0; i < 40; ++i) {
    intake.Open();
    intake.Change(0, 200u << 10);
  }
  BOOST_TEST((intake.Step() == IntakeStep::Refuse));
  BOOST_TEST(!intake.MayRead(200u << 10));
  BOOST_TEST(intake.MayRead(2u << 10));
}

BOOST_AUTO_TEST_CASE(the_heaviest_without_progress_are_closed_first)
{
  Intake intake(1'000'000);
  std::vector<IntakeHolder> holders = {
    { 300'000, 0s }, { 100'000, 10s }, { 250'000, 10s }, { 200'000, 10s }
  };
  for (const IntakeHolder& holder : holders) {
    intake.Open();
    intake.Change(0, holder.m_bytes);
  }
  BOOST_TEST(intake.ToClose(holders) == std::vector<std::size_t>{ 2 },
             boost::test_tools::per_element());
  intake.Change(300'000, 0);
  BOOST_TEST(intake.ToClose(holders).empty());
}

BOOST_AUTO_TEST_CASE(no_order_of_reads_takes_the_account_over_its_bound)
{
  constexpr std::size_t kBound = 8u << 20;
  constexpr std::size_t kRead = 16u << 10;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      std::mt19937 random(seed); // NOLINT: fixed seeds
      Intake intake(kBound);
      std::vector<std::size_t> held;
      for (int turn = 0; turn < 20'000; ++turn) {
        if (random() % 40 == 0 && held.size() < 64 &&
            intake.Step() != IntakeStep::Refuse) {
          intake.Open();
          held.push_back(0);
        }
        if (held.empty()) {
          continue;
        }
        std::size_t& one = held[random() % held.size()];
        bool reads = random() % 8 != 0 && intake.MayRead(one);
        std::size_t before = one;
        one = reads ? one + kRead : one / 2;
        intake.Change(before, one);
        BOOST_REQUIRE(intake.Bytes() <= kBound);
      }
      for (std::size_t one : held) {
        intake.Close(one);
      }
      BOOST_TEST(intake.Bytes() == 0U);
      BOOST_TEST(intake.Connections() == 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(callers_leave_descriptors_for_the_rest)
{
  BOOST_TEST(IntakeConnections(4'096, 0) == 4'096U);
  BOOST_TEST(IntakeConnections(4'096, 3'075) == 3'075U - 200 - 1'024);
  BOOST_TEST(IntakeConnections(100, 3'075) == 100U);
  // With few of them, callers get half.
  BOOST_TEST(IntakeConnections(100, 50) == 25U);
  BOOST_TEST(IntakeConnections(4'096, 1'225) == 613U);
  BOOST_TEST(IntakeConnections(4'096, 2'448) == 1'224U);
  BOOST_TEST(IntakeConnections(4'096, 2'449) == 1'225U);
  BOOST_TEST(IntakeConnections(4'096, 1) == 1U);
}
