/// Tests of the HTTP server's limits: slow readers, idle connections, early
/// ends and stopping.

#define BOOST_TEST_MODULE net_server
#include <boost/test/unit_test.hpp>

#include "net_fixture.h"
#include "shallotford/intake.h"

#include <atomic>

using namespace shallotford;
using namespace shallotford::test;

namespace {

const std::string kGet = "GET /a HTTP/1.1\r\nhost: x\r\n\r\n";

/// More than the sockets' own buffers hold.
constexpr std::size_t kUnreadBytes = 50'000'000;

/// Streams aTotal bytes, and waits whenever the send buffer is full.
class PacedSource : public std::enable_shared_from_this<PacedSource>
{
public:
  PacedSource(std::shared_ptr<HttpExchangeI> aExchange,
              std::size_t aTotal,
              std::size_t aLimit)
    : m_exchange(std::move(aExchange))
    , m_left(aTotal)
    , m_limit(aLimit)
  {
  }

  void Start()
  {
    m_exchange->Begin(200, {});
    m_exchange->OnDrained([self = shared_from_this()] { self->Fill(); });
    Fill();
  }
  std::size_t MostBuffered() const { return m_most; }
  std::size_t Left() const { return m_left; }

private:
  void Fill()
  {
    while (m_left > 0 && m_exchange->Buffered() < m_limit) {
      std::size_t bytes = std::min<std::size_t>(m_left, 1'000);
      m_exchange->Write(std::string(bytes, 'x'));
      m_left -= bytes;
      m_most = std::max(m_most, m_exchange->Buffered());
    }
    if (m_left == 0) {
      m_exchange->End();
    }
  }

  std::shared_ptr<HttpExchangeI> m_exchange;
  std::size_t m_left;
  std::size_t m_limit;
  std::size_t m_most{ 0 };
};

} // namespace

BOOST_AUTO_TEST_CASE(slow_readers_hold_a_bounded_buffer)
{
  constexpr std::size_t kTotal = 20'000'000;
  LoopThread loop;
  ServerOptions options;
  options.m_sendBuffer = 100'000;
  Inbox<std::shared_ptr<PacedSource>> sources;
  TestServer server(
    loop,
    [&](const auto& aExchange, const auto&) {
      auto source =
        std::make_shared<PacedSource>(aExchange, kTotal, options.m_sendBuffer);
      source->Start();
      sources.Put(source);
    },
    options);
  RawSocket socket(server.Port());
  socket.Send(kGet);
  auto source = sources.Take();
  BOOST_TEST_REQUIRE(source.has_value());
  socket.ReadUntil("xxx");
  BOOST_TEST(loop.Do([&] { return (*source)->Left(); }) > 0U);
  std::string answer = socket.ReadUntil("\r\n0\r\n\r\n");
  BOOST_TEST(answer.size() > kTotal);
  BOOST_TEST(loop.Do([&] { return (*source)->Left(); }) == 0U);
  BOOST_TEST((*source)->MostBuffered() < 2 * options.m_sendBuffer);
}

BOOST_AUTO_TEST_CASE(readers_that_stop_are_cut)
{
  LoopThread loop;
  ServerOptions options;
  options.m_idleTimeout = 200ms;
  Inbox<bool> closed;
  std::shared_ptr<HttpExchangeI> kept;
  TestServer server(
    loop,
    [&](const auto& aExchange, const auto&) {
      kept = aExchange;
      aExchange->OnClosed([&] { closed.Put(true); });
      aExchange->Begin(200, {});
      aExchange->Write(std::string(kUnreadBytes, 'x'));
    },
    options);
  RawSocket socket(server.Port());
  socket.Send(kGet);
  BOOST_TEST(closed.Take().has_value());
  loop.Do([&] { kept.reset(); });
}

BOOST_AUTO_TEST_CASE(long_waits_for_an_answer_are_not_idle)
{
  LoopThread loop;
  ServerOptions options;
  options.m_idleTimeout = 50ms;
  TestServer server(
    loop,
    [&](const auto& aExchange, const auto&) {
      loop->RunAfter(300ms,
                     [aExchange] { aExchange->Respond(200, {}, "at last"); });
    },
    options);
  RawSocket socket(server.Port());
  socket.Send(kGet);
  BOOST_TEST(socket.ReadUntil("at last").ends_with("at last"));
}

BOOST_AUTO_TEST_CASE(idle_connections_are_closed)
{
  LoopThread loop;
  ServerOptions options;
  options.m_idleTimeout = 100ms;
  TestServer server(loop, Echo, options);
  for (std::string rest : { "", "GET /b HT" }) {
    RawSocket socket(server.Port());
    socket.Send(kGet);
    BOOST_TEST(socket.ReadUntil("GET /a").ends_with("GET /a? "));
    socket.Send(rest);
    socket.ReadToEnd();
    BOOST_TEST(socket.IsClosedByPeer());
  }
}

BOOST_AUTO_TEST_CASE(stopping_lets_answers_finish)
{
  LoopThread loop;
  Inbox<std::shared_ptr<HttpExchangeI>> exchanges;
  TestServer server(loop, [&](const auto& aExchange, const auto&) {
    exchanges.Put(aExchange);
  });
  RawSocket socket(server.Port());
  socket.Send(kGet);
  auto exchange = exchanges.Take();
  BOOST_TEST_REQUIRE(exchange.has_value());
  BOOST_TEST(loop.Do([&] { return server->InFlight(); }) == 1U);
  loop.Do([&] { server->StopAccepting(); });
  BOOST_TEST(!RawSocket(server.Port()).IsConnected());
  loop.Do([&] { (*exchange)->Respond(200, {}, "finished"); });
  BOOST_TEST(socket.ReadUntil("finished").ends_with("finished"));
  BOOST_TEST(loop.Do([&] { return server->InFlight(); }) == 0U);
}

BOOST_AUTO_TEST_CASE(aborting_cuts_without_an_end)
{
  LoopThread loop;
  TestServer server(loop, [&](const auto& aExchange, const auto&) {
    aExchange->Begin(200, {});
    aExchange->Write("part");
    loop->RunAfter(20ms, [aExchange] { aExchange->Abort(); });
  });
  RawSocket socket(server.Port());
  socket.Send(kGet);
  std::string answer = socket.ReadToEnd();
  BOOST_TEST(socket.IsClosedByPeer());
  BOOST_TEST(answer.find("part") != std::string::npos);
  BOOST_TEST(!answer.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(old_clients_get_answers_without_chunks)
{
  LoopThread loop;
  TestServer server(loop, [](const auto& aExchange, const auto&) {
    aExchange->Begin(200, {});
    aExchange->Write("old style");
    aExchange->End();
  });
  RawSocket socket(server.Port());
  socket.Send("GET /a HTTP/1.0\r\n\r\n");
  std::string answer = socket.ReadToEnd();
  BOOST_TEST(answer.ends_with("\r\n\r\nold style"));
  BOOST_TEST(answer.find("chunked") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_aborted_answer_to_an_old_client_does_not_look_complete)
{
  LoopThread loop;
  TestServer server(loop, [&](const auto& aExchange, const auto&) {
    aExchange->Begin(200, {});
    aExchange->Write("first");
    loop->RunAfter(20ms, [aExchange] { aExchange->Abort(); });
  });
  RawSocket socket(server.Port());
  socket.Send("GET /a HTTP/1.0\r\n\r\n");
  BOOST_TEST(socket.ReadToEnd().ends_with("first"));
  BOOST_TEST(socket.IsResetByPeer());
}

BOOST_AUTO_TEST_CASE(a_taken_port_is_refused_with_its_remedy)
{
  LoopThread loop;
  TestServer server(loop, Echo);
  RawListener other;
  FunctionHandler handler(Echo);
  for (std::uint16_t port : { server.Port(), other.Port() }) {
    ServerOptions options;
    options.m_port = port;
    loop.Do([&] {
      BOOST_CHECK_EXCEPTION(
        loop->Listen(options, handler), Error, [](const Error& aError) {
          return aError.Kind() == ErrorKind::InvalidConfig &&
                 !aError.Remedy().empty();
        });
    });
  }
}

BOOST_AUTO_TEST_CASE(several_servers_share_a_loop)
{
  LoopThread loop;
  auto answer = [](const std::string& aText) {
    return [aText](const auto& aExchange, const auto&) {
      aExchange->Respond(200, {}, aText);
    };
  };
  TestServer callers(loop, answer("callers"));
  TestServer peers(loop, answer("peers"));
  TestServer operators(loop, answer("operators"));
  for (auto [server, text] : { std::pair{ &callers, "callers" },
                               std::pair{ &peers, "peers" },
                               std::pair{ &operators, "operators" } }) {
    RawSocket socket(server->Port());
    socket.Send(kGet);
    BOOST_TEST(socket.ReadUntil(text).ends_with(text));
  }
}

BOOST_AUTO_TEST_CASE(bodies_that_find_no_room_are_refused_before_they_are_read)
{
  constexpr std::size_t kRoom = 1'000'000;
  constexpr std::size_t kLarge = 600'000;
  LoopThread loop;
  auto intake = std::make_shared<Intake>(kRoom);
  TestServer server(loop,
                    [](const std::shared_ptr<HttpExchangeI>& aExchange,
                       const HttpRequest& aRequest) {
                      aExchange->Respond(
                        200, {}, std::to_string(aRequest.m_body.size()));
                    },
                    { .m_intake = intake });
  auto post = [](std::size_t aBytes) {
    return "POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: " +
           std::to_string(aBytes) + "\r\n\r\n" + std::string(aBytes, 'b');
  };
  std::string large = post(kLarge);
  RawSocket first(server.Port());
  first.Send(std::string_view(large).substr(0, large.size() - 1));
  while (loop.Do([&] { return intake->Bytes(); }) < kLarge) {
    std::this_thread::yield();
  }
  RawSocket second(server.Port());
  second.Send(large);
  std::string refused = second.ReadUntil("retry-after-ms: ");
  BOOST_TEST(refused.find("HTTP/1.1 503 ") == 0U);
  BOOST_TEST(refused.find("retry-after-ms: ") != std::string::npos);
  // What is within a connection's share still finds room.
  RawSocket small(server.Port());
  small.Send(post(100));
  BOOST_TEST(small.ReadUntil("\r\n\r\n100").find("HTTP/1.1 200 ") == 0U);
  first.Send("b");
  BOOST_TEST(first.ReadUntil("\r\n\r\n600000").find("HTTP/1.1 200 ") == 0U);
  RawSocket third(server.Port());
  third.Send(large);
  BOOST_TEST(third.ReadUntil("\r\n\r\n600000").find("HTTP/1.1 200 ") == 0U);
}

BOOST_AUTO_TEST_CASE(a_body_without_progress_gives_its_room_up)
{
  LoopThread loop;
  auto intake = std::make_shared<Intake>(1'000'000);
  std::atomic<int> requests{ 0 };
  TestServer server(
    loop,
    [&](const std::shared_ptr<HttpExchangeI>& aExchange, const HttpRequest&) {
      ++requests;
      aExchange->Respond(200, {}, "");
    },
    { .m_intake = intake });
  // Claims below the step from which stalled connections are closed, and then
  // a small one that takes the account above it.
  RawSocket large(server.Port());
  large.Send("POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 730000\r\n\r\nb");
  while (loop.Do([&] { return intake->Bytes(); }) < 730'000) {
    std::this_thread::yield();
  }
  RawSocket small(server.Port());
  small.Send("POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 60000\r\n\r\nb");
  std::string refused = large.ReadToEnd();
  BOOST_TEST(refused.find("HTTP/1.1 503 ") == 0U);
  BOOST_TEST(loop.Do([&] { return intake->Bytes(); }) < 100'000U);
  BOOST_TEST(requests == 0);
}
