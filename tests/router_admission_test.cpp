/// Requests through a router whose decode engines have no memory left.

#define BOOST_TEST_MODULE router_admission
#include <boost/test/unit_test.hpp>

#include "router_fixture.h"

using namespace shallotford;
using namespace shallotford::test;

BOOST_FIXTURE_TEST_CASE(a_request_that_would_wait_in_vain_is_refused_at_once,
                        Plain)
{
  PublishedServer& engine = AddServer("i-d", "model", "decode");
  WaitFor([this] { return Knows(3); });
  // Forecasts apply where requests of a service differ in urgency.
  Publish(ConfigText(2,
                     R"(,{"name":"low","host":"h","prefix":"/low/",)"
                     R"("kind":"streaming","timeout-ms":8000,)"
                     R"("target-latency-ms":900,"max-attempts":1,)"
                     R"("priority":3,"service":"model"})"));
  m_loop.Do([&] {
    engine.SetScript([](const PublishedCall& aCall) {
      PublishedServer::AnswerNotRun(aCall);
      return true;
    });
  });
  // Requests come faster than callers leave, until one is refused early.
  std::vector<std::unique_ptr<RawSocket>> callers;
  int rounds = 0;
  bool refused = WaitFor([&] {
    constexpr int kRoundsPerCaller = 10;
    if (rounds++ % kRoundsPerCaller == 0) {
      callers.push_back(std::make_unique<RawSocket>(Port()));
      std::string id = "r" + std::to_string(callers.size());
      callers.back()->Send(
        Request("/fixed/x", id, "body", "Connection: close\r\n"));
    }
    return Has(Metrics(), "refused_by_forecast_total");
  });
  BOOST_REQUIRE(refused);
  // Others wait on.
  BOOST_TEST(CountLogLines("event=request_end") < callers.size());
  std::string answer = Ask("/fixed/x", "last");
  BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
  BOOST_TEST(Has(answer, "Retry-After: "));
  BOOST_TEST(engine.Runs().empty());
}
