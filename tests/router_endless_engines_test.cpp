/// Tests of engines whose answers to the router's own calls go on without
/// end.

#define BOOST_TEST_MODULE router_endless_engines
#include <boost/test/unit_test.hpp>

#include "router_endless_fixture.h"
#include "router_engine_calls.h"

#include <boost/test/data/test_case.hpp>

using namespace shallotford;
using namespace shallotford::test;
namespace data = boost::unit_test::data;

BOOST_DATA_TEST_CASE_F(EndlessEngines,
                       a_reservation_without_end_goes_to_another_engine,
                       data::make(kCalls))
{
  CheckServed("/api/hold-take", sample.m_answer);
}

BOOST_DATA_TEST_CASE_F(EndlessEngines,
                       a_prefill_without_end_is_done_by_the_decode_engine,
                       data::make(kCalls))
{
  CheckServed("X-Shallotford-Stage", sample.m_answer);
}

BOOST_DATA_TEST_CASE(a_background_call_without_end_is_closed,
                     data::make(kCalls))
{
  Inbox<Flood> floods;
  EndlessServer server([&](const std::string&) { return sample.m_answer; },
                       floods);
  LoopThread loop;
  MemoryLog log;
  std::unique_ptr<ConnectionPool> pool;
  std::unique_ptr<EngineCalls> calls;
  loop.Do([&] {
    pool = std::make_unique<ConnectionPool>(*loop);
    calls = std::make_unique<EngineCalls>(*loop, *pool, log);
    calls->Send({ .m_address = server.Address() },
                { .m_method = "DELETE", .m_target = "/hold" });
  });
  std::optional<Flood> flood = floods.Take(30s);
  BOOST_TEST_REQUIRE(flood.has_value());
  BOOST_TEST(flood->m_closed);
  // At full speed all of it arrives before the call's timeout.
  BOOST_TEST((!sample.m_answer.m_slow || !flood->m_exhausted));
  loop.Do([&] {
    calls.reset();
    pool.reset();
  });
}
