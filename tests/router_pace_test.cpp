/// Tests of what answers teach a router of its upstreams' pace, and how
/// operators see it.

#define BOOST_TEST_MODULE router_pace
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "router_fixture.h"

using namespace shallotford;
using namespace shallotford::test;

namespace {

std::string
Gauge(const std::string& aUpstream)
{
  return "shallotford_upstream_slowness{upstream=\"" + aUpstream + "\"}";
}

} // namespace

BOOST_FIXTURE_TEST_CASE(answers_of_plain_requests_teach_pace, Plain)
{
  BOOST_TEST(!Has(Metrics(), "upstream_slowness"));
  int asked = 0;
  BOOST_TEST(WaitFor([&] {
    Ask("/safe/", "r" + std::to_string(asked++));
    return Has(Metrics(), Gauge("i-a")) && Has(Metrics(), Gauge("i-b"));
  }));
  BOOST_TEST(Has(Metrics(), "shallotford_upstream_limit{upstream=\"i-a\"}"));
  BOOST_TEST(Has(Metrics(), "upstream_pace_age_seconds{upstream=\"i-a\"}"));
}

BOOST_FIXTURE_TEST_CASE(quick_errors_teach_nothing, Plain)
{
  ScriptBoth([](const PublishedCall& aCall) {
    aCall.m_exchange->Respond(
      404, "Not Found", PublishedServer::SignedFields(aCall), "no");
    return true;
  });
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(
      Ask("/safe/", "r" + std::to_string(i)).starts_with("HTTP/1.1 404"));
  }
  BOOST_TEST(!Has(Metrics(), "upstream_slowness"));
}

BOOST_FIXTURE_TEST_CASE(a_stream_teaches_the_pace_of_both_engines,
                        RouterFixture)
{
  Publish(ConfigText(1));
  AddServer("i-p", "model", "prefill");
  PublishedServer& decode = AddServer("i-d", "model", "decode");
  m_loop.Do([&] {
    decode.SetScript([&](const PublishedCall& aCall) {
      if (aCall.m_reserve || aCall.m_request.m_head.m_method == "DELETE") {
        return false;
      }
      decode.BeginStream(aCall);
      aCall.m_exchange->Write(Event(1));
      m_loop->RunAfter(10ms, [exchange = aCall.m_exchange] {
        exchange->Write(Event(2));
        exchange->End();
      });
      return true;
    });
  });
  Start();
  int asked = 0;
  BOOST_TEST(WaitFor([&] {
    Ask("/stream/",
        "r" + std::to_string(asked++),
        "X-Shallotford-Token-Count: 100,2\r\n");
    return Has(Metrics(), Gauge("i-p")) && Has(Metrics(), Gauge("i-d"));
  }));
}

BOOST_FIXTURE_TEST_CASE(a_removed_upstream_leaves_the_metrics, Plain)
{
  int asked = 0;
  BOOST_TEST(WaitFor([&] {
    Ask("/safe/", "r" + std::to_string(asked++));
    return Has(Metrics(), Gauge("i-b"));
  }));
  m_loop.Do([this] { m_store->Remove("servers/i-b"); });
  BOOST_TEST(WaitFor([this] { return Knows(1); }));
  BOOST_TEST(!Has(Metrics(), Gauge("i-b")));
}
