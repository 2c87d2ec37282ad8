/// Tests of the task that keeps organisations' limits: VMs with fakes of the
/// calls between them.

#define BOOST_TEST_MODULE router_grants
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "fake_loop.h"
#include "router_grants.h"
#include "shallotford/rpc.h"

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

class RecordingLog : public LogI
{
public:
  void Write(const LogEvent& aEvent) override
  {
    m_lines.push_back(aEvent.Line());
  }
  std::size_t Count(std::string_view aText) const
  {
    return static_cast<std::size_t>(
      std::count_if(m_lines.begin(), m_lines.end(), [&](const auto& aLine) {
        return aLine.find(aText) != std::string::npos;
      }));
  }
  std::vector<std::string> m_lines;
};

/// Two VMs that know each other, in virtual time.
struct TwoVms
{
  struct Vm : PeerI
  {
    Vm(TwoVms& aFleet, const std::string& aSelf)
      : m_fleet(aFleet)
      , m_peers(aSelf, {})
      , m_grants({ .m_loop = aFleet.m_loop,
                   .m_peerCalls = *this,
                   .m_peers = m_peers,
                   .m_log = m_log,
                   .m_metrics = m_metrics,
                   .m_minVms = 2,
                   .m_wasPaused = [this] { return m_paused; } })
    {
    }
    void Call(const std::string& aPeer,
              const std::string& aMethod,
              const Json::Value& aParams,
              PeerDone aDone) override
    {
      BOOST_TEST(aMethod == kGrantMethod);
      ++m_calls;
      m_asks.push_back(aParams["asks"]["shop"]);
      Vm& other = m_fleet.At(aPeer);
      m_fleet.m_loop.RunAfter(m_fleet.m_delay, [&other, aParams, aDone, this] {
        if (m_fleet.m_losesReplies) {
          other.m_grants.OnAsk(aParams);
        } else if (m_fleet.m_cut) {
          aDone(PeerFailure{ .m_reason = "cut" });
        } else {
          aDone(other.m_grants.OnAsk(aParams));
        }
      });
    }

    TwoVms& m_fleet;
    PeerList m_peers;
    RecordingLog m_log;
    Metrics m_metrics;
    OrganisationGrants m_grants;
    bool m_paused{ false };
    int m_calls{ 0 };
    std::vector<Json::Value> m_asks; ///< for "shop"
  };

  TwoVms()
  {
    Limit(1'000);
    m_loop.RunFor(kGrantHoldOff);
    Meet();
  }

  void Meet()
  {
    m_a.m_peers.OnContact("b:1", m_loop.Now());
    m_b.m_peers.OnContact("a:1", m_loop.Now());
  }
  void Limit(double aPerSecond)
  {
    std::vector<Organisation> all{ { .m_name = "shop" }, { .m_name = "free" } };
    all[0].m_limit = { .m_perSecond = aPerSecond,
                       .m_burst = 4 * aPerSecond,
                       .m_countsTokens = true };
    m_a.m_grants.SetLimits(all);
    m_b.m_grants.SetLimits(all);
  }
  Vm& At(const std::string& aAddress) { return aAddress == "a:1" ? m_a : m_b; }
  Vm& Owner() { return At(m_a.m_peers.Owner("limit of shop", m_loop.Now())); }
  Vm& Other() { return &Owner() == &m_a ? m_b : m_a; }

  /// Returns whether the request got its units, if it has an answer.
  std::shared_ptr<std::optional<OrganisationGrants::Result>>
  Ask(Vm& aVm, double aCost, const std::string& aName = "shop")
  {
    auto answer = std::make_shared<std::optional<OrganisationGrants::Result>>();
    aVm.m_grants.Acquire(
      aName, aCost, [answer](const OrganisationGrants::Result& aResult) {
        BOOST_TEST(!answer->has_value());
        *answer = aResult;
        return true;
      });
    return answer;
  }

  Transcript m_transcript;
  FakeLoop m_loop{ m_transcript };
  Duration m_delay{ 5ms };
  bool m_cut{ false };
  bool m_losesReplies{ false };
  Vm m_a{ *this, "a:1" };
  Vm m_b{ *this, "b:1" };
};

} // namespace

BOOST_FIXTURE_TEST_CASE(without_a_limit_nothing_is_sent_or_kept, TwoVms)
{
  auto answer = Ask(Other(), 1e9, "free");
  BOOST_REQUIRE(answer->has_value());
  BOOST_TEST((*answer)->m_granted);
  Other().m_grants.Expire();
  m_loop.RunFor(5s);
  BOOST_TEST(m_a.m_calls + m_b.m_calls == 0);
}

BOOST_FIXTURE_TEST_CASE(the_owner_grants_at_once_and_others_after_a_call,
                        TwoVms)
{
  BOOST_TEST(Ask(Owner(), 500)->has_value());
  auto answer = Ask(Other(), 500);
  BOOST_TEST(!answer->has_value());
  m_loop.RunFor(50ms);
  BOOST_REQUIRE(answer->has_value());
  BOOST_TEST((*answer)->m_granted);
}

BOOST_FIXTURE_TEST_CASE(requests_during_a_call_share_the_next_one, TwoVms)
{
  std::vector<std::shared_ptr<std::optional<OrganisationGrants::Result>>> all;
  all.reserve(10);
  for (int i = 0; i < 10; ++i) {
    all.push_back(Ask(Other(), 100));
  }
  m_loop.RunFor(50ms);
  for (const auto& answer : all) {
    BOOST_REQUIRE(answer->has_value());
    BOOST_TEST((*answer)->m_granted);
  }
  BOOST_TEST(Other().m_calls == 2);
}

BOOST_FIXTURE_TEST_CASE(an_owner_that_answers_slowly_is_called_less, TwoVms)
{
  m_delay = 60ms;
  Limit(1e6);
  for (int i = 0; i < 100; ++i) {
    Ask(Other(), 100'000);
    m_loop.RunFor(10ms);
  }
  BOOST_TEST(Other().m_calls <= 6); // in a second
}

BOOST_FIXTURE_TEST_CASE(beyond_the_limit_requests_are_refused_with_a_time,
                        TwoVms)
{
  int granted = 0;
  for (int i = 0; i < 40; ++i) {
    auto answer = Ask(i % 2 == 0 ? m_a : m_b, 500);
    m_loop.RunFor(20ms);
    BOOST_REQUIRE(answer->has_value());
    granted += (*answer)->m_granted ? 1 : 0;
    BOOST_TEST(((*answer)->m_granted || (*answer)->m_retryAfter >= 20ms));
  }
  BOOST_TEST(granted >= 4);
  BOOST_TEST(granted <= 7); // half of the burst at most, and 0.8 s
  BOOST_TEST(m_a.m_log.Count("organisation_limited ") +
               m_b.m_log.Count("organisation_limited ") <=
             2u);
  m_loop.RunFor(4s);
  m_a.m_grants.Expire();
  auto again = Ask(Owner(), 500);
  BOOST_TEST((*again)->m_granted);
}

BOOST_FIXTURE_TEST_CASE(units_of_callers_that_left_return, TwoVms)
{
  for (int i = 0; i < 30; ++i) {
    Owner().m_grants.Acquire(
      "shop", 1'500, [](const OrganisationGrants::Result&) { return false; });
  }
  auto answer = Ask(Owner(), 1'500);
  BOOST_TEST((*answer)->m_granted);
}

BOOST_FIXTURE_TEST_CASE(a_second_try_reports_no_units_again, TwoVms)
{
  Other().m_grants.Acquire(
    "shop", 500, [](const OrganisationGrants::Result&) { return false; });
  m_loop.RunFor(50ms);
  auto refused = Ask(Other(), 4'500);
  m_loop.RunFor(kGrantLease + 100ms);
  BOOST_REQUIRE(refused->has_value());
  BOOST_TEST(!(*refused)->m_granted);
  m_losesReplies = true;
  Ask(Other(), 4'500);
  m_loop.RunFor(kGrantTimeout * 3);
  std::vector<Json::Value>& asks = Other().m_asks;
  BOOST_REQUIRE(asks.size() >= 2U);
  const Json::Value& first = asks[asks.size() - 2];
  BOOST_TEST(first["returned"].asDouble() == 500);
  BOOST_TEST(first["refused"].asDouble() == 4'500);
  BOOST_TEST(asks.back()["needed"] == first["needed"]);
  BOOST_TEST(asks.back()["returned"].asDouble() == 0);
  BOOST_TEST(asks.back()["refused"].asDouble() == 0);
}

BOOST_FIXTURE_TEST_CASE(a_request_that_costs_nothing_is_granted_at_once, TwoVms)
{
  auto free = Ask(Other(), 0);
  BOOST_REQUIRE(free->has_value());
  BOOST_TEST((*free)->m_granted);
  auto answer = Ask(Other(), 500);
  m_loop.RunFor(50ms);
  BOOST_REQUIRE(answer->has_value());
  BOOST_TEST((*answer)->m_granted);
}

BOOST_FIXTURE_TEST_CASE(without_the_owner_a_vm_uses_its_share, TwoVms)
{
  Ask(Other(), 500);
  m_loop.RunFor(50ms);
  m_cut = true;
  double granted = 0;
  for (int i = 0; i < 40; ++i) {
    Meet();
    auto answer = Ask(Other(), 100);
    m_loop.RunFor(100ms);
    BOOST_REQUIRE(answer->has_value()); // nobody waits for long
    granted += (*answer)->m_granted ? 100 : 0;
  }
  BOOST_TEST(granted >= 2'000);
  BOOST_TEST(granted <= 1'000 * (4 + 2));
  m_cut = false;
  m_loop.RunFor(1s);
  auto answer = Ask(Other(), 100);
  m_loop.RunFor(400ms);
  BOOST_TEST((*answer)->m_granted);
}

BOOST_FIXTURE_TEST_CASE(an_owner_that_was_paused_issues_nothing_at_first,
                        TwoVms)
{
  Owner().m_paused = true;
  auto answer = Ask(Other(), 3'000);
  m_loop.RunFor(10ms);
  BOOST_REQUIRE(answer->has_value());
  BOOST_TEST(!(*answer)->m_granted); // its own share holds less
}

BOOST_FIXTURE_TEST_CASE(changed_limits_are_logged_and_ended_ones_free, TwoVms)
{
  Limit(10);
  BOOST_TEST(m_a.m_log.Count("organisation_limit ") == 1u);
  auto answer = Ask(Other(), 3'000);
  Limit(0);
  m_loop.RunFor(1s);
  BOOST_REQUIRE(answer->has_value());
  BOOST_TEST((*answer)->m_granted);
}

BOOST_FIXTURE_TEST_CASE(malformed_calls_and_answers_change_nothing, TwoVms)
{
  Json::Value params(Json::objectValue);
  BOOST_CHECK_THROW(m_a.m_grants.OnAsk(params), RpcError);
  params["from"] = "b:1";
  params["asks"] = Json::Value(Json::objectValue);
  params["asks"]["shop"]["needed"] = "much";
  params["asks"]["shop"]["returned"] = -1e300;
  params["asks"]["unknown"]["needed"] = 7;
  Json::Value reply = Owner().m_grants.OnAsk(params);
  BOOST_TEST(reply["grants"]["shop"]["granted"].asDouble() == 0);
  BOOST_TEST(!reply["grants"].isMember("unknown"));
}

BOOST_FIXTURE_TEST_CASE(metrics_name_organisations_with_limits, TwoVms)
{
  Ask(Owner(), 500);
  Owner().m_grants.SetGauges();
  std::string text = Owner().m_metrics.Text();
  BOOST_TEST(text.find("organisation_granted_units{organisation=\"shop\"} "
                       "500") != std::string::npos);
  BOOST_TEST(text.find("free") == std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(gauges_of_organisations_without_a_limit_end, TwoVms)
{
  Ask(Owner(), 500);
  Owner().m_grants.SetGauges();
  Limit(0);
  Owner().m_grants.SetGauges();
  std::string text = Owner().m_metrics.Text();
  BOOST_TEST(text.find("organisation_granted_units") == std::string::npos);
  BOOST_TEST(text.find("shop") == std::string::npos);
}
