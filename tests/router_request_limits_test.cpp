/// Tests of one request and its organisation's limit, at a VM without
/// upstreams: what is counted, what returns, and what callers get.

#define BOOST_TEST_MODULE router_request_limits
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "fake_loop.h"
#include "platform.h"
#include "router_request.h"

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

struct NoLog : LogI
{
  void Write(const LogEvent&) override {}
};

struct NoSource : DirectorySourceI
{
  void Start(DirectoryListenerI&) override {}
  void SkipTo(const DirectoryPosition&) override {}
  void Refresh(std::function<void(bool)>) override {}
  void ReadHistory(
    std::function<void(const std::optional<DirectoryHistory>&)>) override
  {
  }
};

/// The limit's owner, which answers when told to.
struct SilentOwner : PeerI
{
  void Call(const std::string&,
            const std::string& aMethod,
            const Json::Value&,
            PeerDone aDone) override
  {
    if (aMethod == kGrantMethod) {
      m_done.push_back(std::move(aDone));
    }
  }
  void Grant(double aUnits)
  {
    Json::Value reply(Json::objectValue);
    reply["grants"]["shop"]["granted"] = aUnits;
    reply["grants"]["shop"]["lease_ms"] = 1'000;
    reply["grants"]["shop"]["pause_ms"] = aUnits > 0 ? 0 : 100;
    reply["grants"]["shop"]["retry_ms"] = aUnits > 0 ? 0 : 2'000;
    for (const PeerDone& done : std::exchange(m_done, {})) {
      done(reply);
    }
  }
  std::vector<PeerDone> m_done;
};

struct Exchange : CallerExchangeI
{
  void Respond(int aStatus,
               const std::string&,
               HttpHeaders aFields,
               std::string_view) override
  {
    m_status = aStatus;
    const std::string* wait = FindField(aFields, "Retry-After");
    m_retryAfter = wait == nullptr ? "" : *wait;
  }
  void Begin(int, const std::string&, HttpHeaders) override {}
  void Write(std::string_view) override {}
  void End() override {}
  void Abort() override {}
  bool HasCallerLeft() const override { return false; }
  std::size_t Buffered() const override { return 0; }
  void OnDrained(std::function<void()>) override {}
  void OnClosed(std::function<void()> aCallback) override
  {
    m_onClosed = std::move(aCallback);
  }
  int m_status{ 0 };
  std::string m_retryAfter;
  std::function<void()> m_onClosed;
};

/// A VM whose limit's owner is another VM.
struct OneVm
{
  OneVm()
  {
    auto routing = std::make_shared<RoutingConfig>();
    routing->m_version = 1;
    routing->m_routes.push_back({ .m_name = "r",
                                  .m_host = "h",
                                  .m_pathPrefix = "/",
                                  .m_timeout = 1'000ms,
                                  .m_targets = { { "s", 1 } } });
    routing->m_services["s"].m_name = "s";
    routing->m_organisations.push_back({ .m_name = "shop",
                                         .m_limit = { .m_perSecond = 1'000,
                                                      .m_burst = 1'000,
                                                      .m_countsTokens = true,
                                                      .m_plainTokens = 200 } });
    m_routing = routing;
    m_grants.SetLimits(routing->m_organisations);
    // An address that owns the limit.
    for (int i = 0; m_peers.Owner("limit of shop", m_loop.Now()) == "a:1";
         ++i) {
      m_peers.OnContact("b:" + std::to_string(i), m_loop.Now());
    }
  }

  std::unique_ptr<RoutedRequest> Start(
    const std::shared_ptr<Exchange>& aExchange,
    bool aRelayed = false)
  {
    RoutedRequestOptions options{
      .m_exchange = aExchange,
      .m_request = { .m_head = { .m_method = "GET",
                                 .m_target = "/x",
                                 .m_fields = { { "Host", "h" } } },
                     .m_body = std::make_shared<const std::string>(),
                     .m_arrivedAt = m_loop.Now() },
      .m_facts = { .m_id = "r1" },
      .m_routing = m_routing,
      .m_route = &m_routing->m_routes[0],
      .m_organisation = &m_routing->m_organisations[0],
      .m_onEnd = [this] { ++m_ended; }
    };
    if (aRelayed) {
      options.m_relayed = RelayFacts{ .m_configVersion = 1 };
    }
    auto request =
      std::make_unique<RoutedRequest>(m_shared, std::move(options));
    request->Start();
    return request;
  }

  /// Returns whether this VM has so many units left in its lease.
  bool HasUnits(double aUnits)
  {
    bool granted = false;
    m_grants.Acquire("shop", aUnits, [&](const auto& aResult) {
      granted = aResult.m_granted;
      return true;
    });
    return granted;
  }

  Transcript m_transcript;
  FakeLoop m_loop{ m_transcript };
  NoLog m_log;
  NoSource m_source;
  SilentOwner m_owner;
  Metrics m_metrics;
  PeerList m_peers{ "a:1", {} };
  std::unique_ptr<RandomI> m_random{ MakeSeededRandom(1) };
  std::unique_ptr<DialectI> m_dialect{ platform::MakeDialect() };
  std::unique_ptr<DirectoryDecoderI> m_decoder{ platform::MakeDecoder() };
  ConnectionPool m_pool{ m_loop };
  UpstreamTable m_upstreams{ Location{} };
  Admission m_admission{ m_loop };
  EngineCalls m_engineCalls{ m_loop, m_pool, m_log };
  RelayTable m_relays{ Location{} };
  Directory m_directory;
  StreamOrigins m_origins{ { m_loop, m_owner, m_peers, m_log, m_metrics, [] {
                              return false;
                            } } };
  StreamVersions m_versions{ { m_loop,
                               m_source,
                               *m_decoder,
                               m_origins,
                               m_log,
                               m_metrics,
                               m_directory,
                               1'000ms } };
  CrashReports m_crashes{
    { m_loop, m_owner, m_peers, m_log, m_metrics, *m_random }
  };
  UpstreamPermits m_permits{ { m_loop, m_owner, m_peers, m_log, m_metrics } };
  OrganisationGrants m_grants{
    { m_loop, m_owner, m_peers, m_log, m_metrics, 1, {} }
  };
  RouterShared m_shared{ .m_loop = m_loop,
                         .m_dialect = *m_dialect,
                         .m_log = m_log,
                         .m_pool = m_pool,
                         .m_upstreams = m_upstreams,
                         .m_metrics = m_metrics,
                         .m_admission = m_admission,
                         .m_engineCalls = m_engineCalls,
                         .m_origins = m_origins,
                         .m_versions = m_versions,
                         .m_crashes = m_crashes,
                         .m_permits = m_permits,
                         .m_grants = m_grants,
                         .m_relays = m_relays };
  RoutingPtr m_routing;
  int m_ended{ 0 };
};

} // namespace

BOOST_FIXTURE_TEST_CASE(beyond_the_limit_callers_get_429_and_a_time, OneVm)
{
  auto exchange = std::make_shared<Exchange>();
  auto request = Start(exchange);
  BOOST_TEST(exchange->m_status == 0); // waits for the owner
  m_owner.Grant(0);
  BOOST_TEST(exchange->m_status == 429);
  BOOST_TEST(!exchange->m_retryAfter.empty());
  BOOST_TEST(m_ended == 1);
}

BOOST_FIXTURE_TEST_CASE(what_is_refused_without_a_run_returns, OneVm)
{
  auto exchange = std::make_shared<Exchange>();
  auto request = Start(exchange);
  m_owner.Grant(200);
  BOOST_TEST(exchange->m_status == 503); // no upstream
  BOOST_TEST(HasUnits(200));
}

BOOST_FIXTURE_TEST_CASE(what_callers_that_left_waited_for_returns, OneVm)
{
  auto exchange = std::make_shared<Exchange>();
  auto request = Start(exchange);
  exchange->m_onClosed();
  BOOST_TEST(m_ended == 1);
  request.reset();
  m_owner.Grant(200);
  BOOST_TEST(HasUnits(200));
}

BOOST_FIXTURE_TEST_CASE(the_wait_for_an_owner_counts_in_the_deadline, OneVm)
{
  auto exchange = std::make_shared<Exchange>();
  auto request = Start(exchange);
  m_loop.RunFor(1'000ms);
  BOOST_TEST(exchange->m_status != 0);
  BOOST_TEST(m_ended == 1);
}

BOOST_FIXTURE_TEST_CASE(relayed_requests_are_not_counted_again, OneVm)
{
  auto exchange = std::make_shared<Exchange>();
  auto request = Start(exchange, true);
  BOOST_TEST(exchange->m_status == 503);
  BOOST_TEST(m_owner.m_done.empty());
}
