/// Tests of the moments at which a VM closes callers' connections: no request
/// that it has read goes without an answer.

#define BOOST_TEST_MODULE router_close
#include <boost/test/unit_test.hpp>

#include "net_fixture.h"
#include "router_caller.h"

using namespace shallotford;
using namespace shallotford::test;

namespace {

/// A listener for callers whose requests are answered at once.
struct Callers : CallerHandlerI
{
  Callers()
  {
    m_loop.Do([this] {
      m_listener = std::make_unique<CallerListener>(
        *m_loop, StreamListenerOptions{ .m_address = "127.0.0.1:0" }, *this);
    });
  }
  ~Callers() override
  {
    m_loop.Do([this] { m_listener.reset(); });
  }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void OnRequest(CallerExchangePtr aExchange, CallerRequest aRequest) override
  {
    m_targets.push_back(aRequest.m_head.m_target);
    if (auto first = std::exchange(m_firstOnce, nullptr)) {
      first();
    }
    aExchange->Respond(
      200, "OK", {}, m_padding + "answer to " + aRequest.m_head.m_target);
    if (auto then = std::exchange(m_thenOnce, nullptr)) {
      then();
    }
  }
  void OnBadRequest(const Error& /*aError*/) override {}
  void OnDropped(CloseCause /*aCause*/, std::size_t aBytes) override
  {
    m_dropped += aBytes;
  }
  CallerLimits Limits() const override { return m_limits; }
  bool IsLeaving() const override { return m_leaving; }

  static std::string Get(const std::string& aTarget)
  {
    return "GET " + aTarget + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }

  std::size_t Dropped()
  {
    return m_loop.Do([this] { return m_dropped; });
  }
  std::size_t Requests()
  {
    return m_loop.Do([this] { return m_targets.size(); });
  }

  LoopThread m_loop;
  CallerLimits m_limits;
  bool m_leaving{ false };
  std::string m_padding;             ///< before the text of each answer
  std::function<void()> m_firstOnce; ///< runs before the next answer
  std::function<void()> m_thenOnce;  ///< runs after the next answer
  std::vector<std::string> m_targets;
  std::size_t m_dropped{ 0 };
  std::unique_ptr<CallerListener> m_listener;
};

bool
HasAnswer(const std::string& aText, const std::string& aTarget)
{
  return aText.find("answer to " + aTarget) != std::string::npos;
}

/// Returns whether the peer reset the connection after it had ended it.
bool
IsReset(const RawSocket& aSocket)
{
  pollfd item{ aSocket.Descriptor(), 0, 0 };
  return ::poll(&item, 1, 10'000) > 0 && (item.revents & POLLERR) != 0;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(a_raised_idle_timeout_holds_for_open_connections,
                        Callers)
{
  m_firstOnce = [this] { m_limits.m_idleTimeout = 200ms; };
  m_thenOnce = [this] { m_limits.m_idleTimeout = 20s; };
  RawSocket socket(m_listener->Port());
  socket.Send(Get("/1"));
  BOOST_REQUIRE(HasAnswer(socket.ReadUntil("answer to /1"), "/1"));
  std::this_thread::sleep_for(600ms);
  socket.Send(Get("/2"));
  BOOST_TEST(HasAnswer(socket.ReadUntil("answer to /2"), "/2"));
}

BOOST_FIXTURE_TEST_CASE(a_lowered_idle_timeout_leaves_open_connections, Callers)
{
  m_limits.m_idleTimeout = 20s;
  m_thenOnce = [this] { m_limits.m_idleTimeout = 100ms; };
  RawSocket socket(m_listener->Port());
  socket.Send(Get("/1"));
  BOOST_REQUIRE(HasAnswer(socket.ReadUntil("answer to /1"), "/1"));
  std::this_thread::sleep_for(400ms);
  socket.Send(Get("/2"));
  BOOST_TEST(HasAnswer(socket.ReadUntil("answer to /2"), "/2"));
}

BOOST_FIXTURE_TEST_CASE(a_raised_head_timeout_holds_for_a_begun_request,
                        Callers)
{
  m_limits.m_headTimeout = 1s;
  RawSocket socket(m_listener->Port());
  std::string request = Get("/1");
  socket.Send(request.substr(0, 20));
  std::this_thread::sleep_for(300ms); // until they are read
  m_loop.Do([this] { m_limits.m_headTimeout = 20s; });
  std::this_thread::sleep_for(2s);
  socket.Send(request.substr(20));
  BOOST_TEST(HasAnswer(socket.ReadUntil("answer to /1"), "/1"));
}

BOOST_FIXTURE_TEST_CASE(a_raised_head_limit_holds_for_open_connections, Callers)
{
  m_limits.m_maxHead = 200;
  m_thenOnce = [this] { m_limits.m_maxHead = 4'000; };
  RawSocket socket(m_listener->Port());
  socket.Send(Get("/1"));
  BOOST_REQUIRE(HasAnswer(socket.ReadUntil("answer to /1"), "/1"));
  std::string longer = "/" + std::string(1'000, 'x');
  socket.Send(Get(longer));
  BOOST_TEST(HasAnswer(socket.ReadUntil("answer to " + longer), longer));
}

BOOST_FIXTURE_TEST_CASE(
  a_request_that_arrives_before_the_idle_close_is_answered,
  Callers)
{
  m_firstOnce = [this] { m_limits.m_idleTimeout = 100ms; };
  RawSocket socket(m_listener->Port());
  std::promise<void> held;
  m_thenOnce = [&] {
    // Both timers are late, so they run in one turn of the loop.
    m_loop->RunAfter(20ms, [] { std::this_thread::sleep_for(200ms); });
    m_loop->RunAfter(50ms, [&] {
      held.set_value();
      std::this_thread::sleep_for(300ms);
    });
  };
  socket.Send(Get("/1"));
  held.get_future().wait();
  socket.Send(Get("/2"));
  BOOST_TEST(HasAnswer(socket.ReadUntil("answer to /2"), "/2"));
  BOOST_TEST(Dropped() == 0u);
}

BOOST_FIXTURE_TEST_CASE(a_request_after_the_idle_close_is_left_unread, Callers)
{
  m_firstOnce = [this] { m_limits.m_idleTimeout = 50ms; };
  RawSocket socket(m_listener->Port());
  socket.Send(Get("/1"));
  BOOST_REQUIRE(HasAnswer(socket.ReadUntil("answer to /1"), "/1"));
  pollfd ended{ socket.Descriptor(), POLLIN, 0 };
  BOOST_REQUIRE(::poll(&ended, 1, 10'000) > 0);
  socket.Send(Get("/2"));
  BOOST_TEST(IsReset(socket));
  BOOST_TEST(Requests() == 1u);
  BOOST_TEST(Dropped() == 0u);
}

BOOST_FIXTURE_TEST_CASE(an_answer_that_is_being_sent_outlasts_the_idle_timeout,
                        Callers)
{
  m_firstOnce = [this] { m_limits.m_idleTimeout = 50ms; };
  m_padding = std::string(16u << 20, 'p'); // more than the socket holds
  RawSocket socket(m_listener->Port());
  socket.Send(Get("/1"));
  std::this_thread::sleep_for(2s); // longer than the close lingers
  BOOST_TEST(HasAnswer(socket.ReadUntil("answer to /1"), "/1"));
}

BOOST_FIXTURE_TEST_CASE(an_answer_that_ends_its_connection_is_sent_whole,
                        Callers)
{
  m_leaving = true;
  m_padding = std::string(16u << 20, 'p'); // more than the socket holds
  RawSocket socket(m_listener->Port());
  socket.Send(Get("/1"));
  std::this_thread::sleep_for(2s); // longer than the close lingers
  BOOST_TEST(HasAnswer(socket.ReadToEnd(), "/1"));
  BOOST_TEST(!socket.IsResetByPeer());
}

BOOST_FIXTURE_TEST_CASE(a_stop_closes_no_connection_with_a_request_left,
                        Callers)
{
  m_thenOnce = [this] { m_listener->CloseIdle(); };
  RawSocket socket(m_listener->Port());
  socket.Send(Get("/1") + Get("/2"));
  BOOST_TEST(HasAnswer(socket.ReadUntil("answer to /2"), "/2"));
  BOOST_TEST(Dropped() == 0u);
}

BOOST_FIXTURE_TEST_CASE(a_stopping_vm_answers_all_pipelined_requests, Callers)
{
  m_leaving = true;
  RawSocket socket(m_listener->Port());
  socket.Send(Get("/1") + Get("/2") + Get("/3"));
  std::string answers = socket.ReadToEnd();
  BOOST_TEST(HasAnswer(answers, "/3"));
  std::size_t close = answers.find("Connection: close");
  BOOST_TEST(close != std::string::npos);
  BOOST_TEST(close > answers.find("answer to /2"));
}
