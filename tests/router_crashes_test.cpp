/// Tests of requests that crash engines because of one part of their prompts:
/// what one VM learns from a crash serves all VMs.

#define BOOST_TEST_MODULE router_crashes
#include <boost/test/unit_test.hpp>

#include "router_crashes_fixture.h"

using namespace shallotford;
using namespace shallotford::test;

BOOST_FIXTURE_TEST_CASE(a_part_that_crashed_engines_is_sent_to_no_more_of_them,
                        CrashingEngines)
{
  CrashFive();
  std::this_thread::sleep_for(3s);
  std::size_t before = SendsOfBadPart();
  for (int i = 0; i < 10; ++i) {
    AskBad(Port());
    AskBad(m_other->Port());
  }
  BOOST_TEST(SendsOfBadPart() - before <= 3u);
}

BOOST_FIXTURE_TEST_CASE(an_answer_without_success_clears_no_part,
                        CrashingEngines)
{
  for (std::uint16_t port : { Port(), m_other->Port() }) {
    BOOST_TEST(
      AskAt(port, kRejectedTarget, "aa,bad,1").starts_with("HTTP/1.1 400 "));
  }
  CrashFive();
  std::this_thread::sleep_for(3s);
  std::size_t before = SendsOfBadPart();
  for (int i = 0; i < 10; ++i) {
    AskBad(Port());
  }
  BOOST_TEST(SendsOfBadPart() - before <= 3u);
}

BOOST_FIXTURE_TEST_CASE(requests_that_share_only_a_harmless_part_are_served,
                        CrashingEngines)
{
  CrashFive();
  for (std::uint16_t port : { Port(), m_other->Port() }) {
    BOOST_TEST(
      AskAt(port, "/stream/x", "aa,d1").starts_with("HTTP/1.1 200 OK\r\n"));
  }
}

BOOST_FIXTURE_TEST_CASE(a_vm_that_starts_later_refuses_what_crashed_engines,
                        CrashingEngines)
{
  CrashFive();
  BOOST_TEST(WaitFor([this] { return Convictions() == 2; }));
  RouterOptions options = Options();
  options.m_seeds = { "127.0.0.1:" + std::to_string(m_router->PeerPort()) };
  OtherVm later(*this, options, m_store->Address());
  BOOST_TEST(WaitFor([this] { return Convictions() == 3; }));
  std::size_t before = SendsOfBadPart();
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(AskBad(later.Port()).starts_with("HTTP/1.1 503 "));
  }
  BOOST_TEST(SendsOfBadPart() == before);
}

BOOST_FIXTURE_TEST_CASE(an_equal_request_that_crashed_engines_is_not_sent_again,
                        CrashingEngines)
{
  auto ask = [this](std::uint16_t aPort) {
    RawSocket socket(aPort);
    std::string id = "e" + std::to_string(++m_lastId);
    socket.Send(Request(kBadTarget, id, "same", "Connection: close\r\n"));
    return socket.ReadToEnd();
  };
  for (int i = 0; i < 3; ++i) {
    ask(Port());
    ask(m_other->Port());
  }
  std::this_thread::sleep_for(3s);
  std::size_t before = Crashes();
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(ask(Port()).starts_with("HTTP/1.1 503 "));
    BOOST_TEST(ask(m_other->Port()).starts_with("HTTP/1.1 503 "));
  }
  BOOST_TEST(Crashes() == before);
}

BOOST_FIXTURE_TEST_CASE(a_large_fleet_learns_from_crashes_that_one_vm_saw,
                        CrashingEngines)
{
  constexpr std::size_t kMore = kMaxDirectReportPeers + 2;
  RouterOptions options = Options();
  options.m_seeds = { "127.0.0.1:" + std::to_string(m_router->PeerPort()) };
  std::vector<std::unique_ptr<OtherVm>> more;
  for (std::size_t i = 0; i < kMore; ++i) {
    more.push_back(
      std::make_unique<OtherVm>(*this, options, m_store->Address()));
  }
  std::string all = "shallotford_live_vms " + std::to_string(kMore + 2) + "\n";
  BOOST_TEST_REQUIRE(WaitFor([&] { return Has(Metrics(), all); }));
  for (int i = 0; i < 10 && Crashes() < 5; ++i) {
    AskBad(Port());
  }
  BOOST_TEST(WaitFor([&] { return Convictions() == kMore + 2; }));
  std::size_t before = SendsOfBadPart();
  for (const auto& vm : more) {
    BOOST_TEST(AskBad(vm->Port()).starts_with("HTTP/1.1 503 "));
  }
  BOOST_TEST(SendsOfBadPart() == before);
}
