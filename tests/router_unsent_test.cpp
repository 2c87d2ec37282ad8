/// Tests that a request counts as not sent only if none of its bytes can leave
/// any more, whatever else is due in the same turn of the loop.

#define BOOST_TEST_MODULE router_unsent
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "router_fixture.h"
#include "router_upstream.h"

using namespace shallotford;
using namespace shallotford::test;

namespace {

constexpr const char* kHead = "POST /once/1 HTTP/1.1\r\nHost: h\r\n"
                              "Content-Length: 0\r\n\r\n";
constexpr const char* kAnswer =
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

class RecordingHandler : public UpstreamCallHandlerI
{
public:
  void OnAnswerHead(const AnswerHead&) override {}
  void OnAnswerBody(std::string_view) override {}
  void OnAnswerEnd() override { m_ends.Put(AttemptEnd::Answered); }
  void OnCallFailed(const CallFailure& aFailure) override
  {
    m_ends.Put(aFailure.m_end);
  }
  Inbox<AttemptEnd> m_ends;
};

/// A pool whose requests go to a listener that the test serves by hand.
struct Pool
{
  Pool()
    : m_pool(
        m_loop.Do([this] { return std::make_unique<ConnectionPool>(*m_loop); }))
  {
    m_upstream.m_key.m_id = "i-a";
    m_upstream.m_address = m_listener.Address();
  }
  ~Pool()
  {
    m_loop.Do([this] {
      m_calls.clear();
      m_pool.reset();
    });
  }
  Pool(const Pool&) = delete;
  Pool& operator=(const Pool&) = delete;

  /// Starts a request and holds the loop up until its timeout, aAfter and its
  /// connection are due in the same turn.
  void StartAndHoldUp(RecordingHandler& aHandler,
                      std::chrono::milliseconds aTimeout,
                      const std::function<void(UpstreamCallI&)>& aAfter = {})
  {
    m_loop.Do([&] {
      Start(aHandler, aTimeout);
      std::this_thread::sleep_for(20ms);
      if (aAfter) {
        aAfter(*m_calls.back());
      }
    });
  }

  /// Leaves one connection of the pool idle, and returns the upstream's end.
  std::unique_ptr<RawSocket> MakeIdleConnection()
  {
    RecordingHandler handler;
    m_loop.Do([&] { Start(handler, 5s); });
    auto socket = m_listener.Accept();
    socket->ReadUntil("\r\n\r\n");
    socket->Send(kAnswer);
    BOOST_TEST_REQUIRE((handler.m_ends.Take().value() == AttemptEnd::Answered));
    return socket;
  }

  void Start(RecordingHandler& aHandler, std::chrono::milliseconds aTimeout)
  {
    m_calls.push_back(m_pool->Start(m_upstream,
                                    { .m_head = kHead,
                                      .m_maxReuseIdle = 5s,
                                      .m_headTimeout = aTimeout,
                                      .m_bodyTimeout = 5s },
                                    aHandler));
  }

  LoopThread m_loop;
  RawListener m_listener;
  UpstreamEntry m_upstream;
  std::unique_ptr<ConnectionPool> m_pool;
  std::vector<std::unique_ptr<UpstreamCallI>> m_calls; ///< on the loop's thread
};

} // namespace

BOOST_AUTO_TEST_CASE(a_request_that_failed_to_connect_in_time_never_leaves)
{
  Pool pool;
  RecordingHandler handler;
  pool.StartAndHoldUp(handler, 5ms);
  BOOST_TEST_REQUIRE(
    (handler.m_ends.Take().value() == AttemptEnd::NotConnected));
  BOOST_TEST(pool.m_listener.Accept()->ReadToEnd() == "");
}

BOOST_AUTO_TEST_CASE(a_request_cancelled_before_it_is_sent_never_leaves)
{
  Pool pool;
  RecordingHandler handler;
  pool.StartAndHoldUp(
    handler, 5s, [](UpstreamCallI& aCall) { aCall.Cancel(); });
  BOOST_TEST(pool.m_listener.Accept()->ReadToEnd() == "");
  BOOST_TEST(handler.m_ends.Size() == 0);
}

BOOST_AUTO_TEST_CASE(a_request_unsent_on_a_reused_connection_never_leaves)
{
  Pool pool;
  auto socket = pool.MakeIdleConnection();
  RecordingHandler handler;
  pool.StartAndHoldUp(handler, 5ms);
  BOOST_TEST_REQUIRE(
    (handler.m_ends.Take().value() == AttemptEnd::NotConnected));
  BOOST_TEST(socket->ReadToEnd() == kHead);
}

BOOST_AUTO_TEST_CASE(a_request_cancelled_on_a_reused_connection_never_leaves)
{
  Pool pool;
  auto socket = pool.MakeIdleConnection();
  RecordingHandler handler;
  pool.StartAndHoldUp(
    handler, 5s, [](UpstreamCallI& aCall) { aCall.Cancel(); });
  BOOST_TEST(socket->ReadToEnd() == kHead);
}

BOOST_AUTO_TEST_CASE(a_request_never_leaves_on_a_connection_that_has_ended)
{
  Pool pool;
  auto socket = pool.MakeIdleConnection();
  RecordingHandler handler;
  pool.m_loop.Do([&] {
    pool.m_loop->RunAfter(1ms, [&] {
      pool.Start(handler, 5s);
      socket.reset(); // its end arrives before the loop meets the event
    });
  });
  BOOST_TEST((handler.m_ends.Take().value() == AttemptEnd::NotConnected));
}

namespace {

/// Delays every turn of the loop, so that timeouts and events of sockets that
/// are at least aDelay apart fall due in the same turn.
class SlowTurns
{
public:
  /// @param aUntil  ends the delays, checked on the loop's thread
  SlowTurns(
    LoopThread& aLoop,
    std::chrono::milliseconds aDelay,
    std::function<bool()> aUntil = [] { return false; })
    : m_loop(aLoop)
    , m_delay(aDelay)
    , m_until(std::move(aUntil))
  {
    m_loop.Do([this] { DelayTurn(); });
  }
  ~SlowTurns()
  {
    m_loop.Do([this] { m_stopped = true; });
    m_loop.Do([] {}); // after the last delayed turn
  }
  SlowTurns(const SlowTurns&) = delete;
  SlowTurns& operator=(const SlowTurns&) = delete;

private:
  void DelayTurn()
  {
    if (!m_stopped && !m_until()) {
      std::this_thread::sleep_for(m_delay);
      m_loop->Post([this] { DelayTurn(); });
    }
  }

  LoopThread& m_loop;
  std::chrono::milliseconds m_delay;
  std::function<bool()> m_until;
  bool m_stopped{ false }; ///< on the loop's thread
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_request_given_up_before_it_connected_runs_once, Plain)
{
  std::string answer;
  {
    SlowTurns slow(m_loop, kConnectTimeout + 10ms);
    answer = Ask("/once/1", "r1");
  }
  BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
  BOOST_TEST(AllRuns("r1") == 1);
}

BOOST_FIXTURE_TEST_CASE(a_request_refused_at_its_deadline_never_runs, Plain)
{
  RawSocket socket(Port());
  {
    SlowTurns slow(m_loop, 150ms);
    socket.Send("POST /once/1 HTTP/1.1\r\nHost: h\r\n"
                "X-Shallotford-Request-Id: r1\r\n"
                "X-Shallotford-Deadline-Ms: 100\r\n"
                "Connection: close\r\nContent-Length: 0\r\n\r\n");
    BOOST_TEST(socket.ReadToEnd().starts_with("HTTP/1.1 503 "));
  }
  BOOST_TEST(AllRuns("r1") == 0);
}

BOOST_AUTO_TEST_CASE(an_upstream_whose_idle_connection_ended_is_tried_again)
{
  RouterFixture fixture;
  fixture.Publish(ConfigText(1));
  fixture.AddServer("i-a", "plain");
  fixture.Start();
  BOOST_TEST(fixture.Ask("/safe/1", "r1").starts_with("HTTP/1.1 200 "));
  std::string answer;
  {
    SlowTurns slow(fixture.m_loop, kMinAnswerHeadTimeout + 10ms, [&fixture] {
      return Has(fixture.m_log.Lines().back(), "connection=reused");
    });
    answer = fixture.Ask("/safe/1", "r2");
  }
  BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
  BOOST_TEST(fixture.CountLogLines("connection=reused sent_bytes=0") == 1u);
}

BOOST_FIXTURE_TEST_CASE(a_refusal_of_another_request_sends_nothing_again, Plain)
{
  for (const char* field : { "X-Shallotford-Not-Executed", "X-Other" }) {
    std::string id = std::string("r-") + field;
    auto received = std::make_shared<int>(0);
    ScriptBoth([received, field](const PublishedCall& aCall) {
      ++*received;
      aCall.m_exchange->Respond(
        421,
        "Misdirected Request",
        { { "X-Shallotford-Request-Id", "other" }, { field, "1" } },
        "");
      return true;
    });
    BOOST_TEST(Ask("/once/1", id).starts_with("HTTP/1.1 502 "));
    BOOST_TEST(m_loop.Do([&] { return *received; }) == 1);
  }
}
