/// Tests of the loop, the HTTP server and the HTTP client together.

#define BOOST_TEST_MODULE net_http
#include <boost/test/unit_test.hpp>

#include "net_fixture.h"

using namespace shallotford;
using namespace shallotford::test;

BOOST_AUTO_TEST_CASE(every_method_carries_its_body)
{
  LoopThread loop;
  TestServer server(loop, Echo);
  for (std::string method : { "GET", "POST", "PUT", "DELETE" }) {
    for (std::string body : { "", "hello" }) {
      HttpCall call;
      call.m_method = method;
      call.m_address = server.Address();
      call.m_path = "/a/b%20c?x=1&y=%262";
      call.m_body = body;
      HttpResult result = FetchAndWait(loop, call);
      BOOST_TEST_REQUIRE(
        result.m_reply.has_value(),
        method << " " << result.m_failure.value_or(HttpFailure{}).m_reason);
      BOOST_TEST(result.m_reply->m_status == 200);
      std::string expected = method;
      expected += " /a/b c?x=1&y=%262 ";
      expected += body;
      BOOST_TEST(result.m_reply->m_body == expected);
    }
  }
}

BOOST_AUTO_TEST_CASE(large_bodies_arrive_whole)
{
  LoopThread loop;
  TestServer server(loop, Echo);
  HttpCall call;
  call.m_method = "POST";
  call.m_address = server.Address();
  call.m_path = "/";
  call.m_body = std::string(3'000'000, 'x') + "end";
  HttpResult result = FetchAndWait(loop, call);
  BOOST_TEST_REQUIRE(result.m_reply.has_value());
  BOOST_TEST((result.m_reply->m_body == "POST /? " + call.m_body));
}

BOOST_AUTO_TEST_CASE(custom_headers_pass_both_ways)
{
  LoopThread loop;
  TestServer server(
    loop, [](const auto& aExchange, const HttpRequest& aRequest) {
      const std::string* key =
        FindHeader(aRequest.m_headers, "idempotency-key");
      aExchange->Respond(201, { { "x-version", "7" } }, key ? *key : "none");
    });
  HttpCall call;
  call.m_address = server.Address();
  call.m_path = "/";
  call.m_headers = { { "Idempotency-Key", "k 1" } };
  HttpResult result = FetchAndWait(loop, call);
  BOOST_TEST_REQUIRE(result.m_reply.has_value());
  BOOST_TEST(result.m_reply->m_status == 201);
  BOOST_TEST(result.m_reply->m_body == "k 1");
  const std::string* version =
    FindHeader(result.m_reply->m_headers, "x-version");
  BOOST_TEST_REQUIRE((version != nullptr));
  BOOST_TEST(*version == "7");
}

BOOST_AUTO_TEST_CASE(streamed_answers_arrive_as_they_are_written)
{
  LoopThread loop;
  Inbox<std::shared_ptr<HttpExchangeI>> exchanges;
  TestServer server(loop, [&](const auto& aExchange, const HttpRequest&) {
    aExchange->Begin(200, { { "content-type", "text/event-stream" } });
    exchanges.Put(aExchange);
  });
  RawSocket socket(server.Port());
  socket.Send("GET /s HTTP/1.1\r\nhost: x\r\n\r\n");
  auto exchange = exchanges.Take();
  BOOST_TEST_REQUIRE(exchange.has_value());
  for (std::string word : { "one", "two", "three" }) {
    loop.Do([&] { (*exchange)->Write("data: " + word + "\n\n"); });
    BOOST_TEST(socket.ReadUntil(word).find(word) != std::string::npos);
  }
  loop.Do([&] { (*exchange)->End(); });
  BOOST_TEST(socket.ReadUntil("0\r\n\r\n").ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(keep_alive_serves_several_requests)
{
  LoopThread loop;
  TestServer server(loop, Echo);
  RawSocket socket(server.Port());
  for (std::string path : { "/1", "/2", "/3" }) {
    socket.Send("POST " + path +
                " HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nhi");
    std::string expected = "POST " + path + "? hi";
    BOOST_TEST(socket.ReadUntil(expected).find(expected) != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(early_disconnect_is_reported)
{
  LoopThread loop;
  Inbox<bool> arrived;
  Inbox<bool> closed;
  std::shared_ptr<HttpExchangeI> kept;
  TestServer server(loop, [&](const auto& aExchange, const HttpRequest&) {
    aExchange->OnClosed([&] { closed.Put(true); });
    kept = aExchange;
    arrived.Put(true);
  });
  RawSocket socket(server.Port());
  socket.Send("GET /s HTTP/1.1\r\nhost: x\r\n\r\n");
  BOOST_TEST(arrived.Take().has_value());
  socket.Close();
  BOOST_TEST(closed.Take().has_value());
  loop.Do([&] { kept->Respond(200, {}, "late"); });
}

BOOST_AUTO_TEST_CASE(timers_run_in_order_and_can_be_cancelled)
{
  LoopThread loop;
  Inbox<int> ran;
  loop.Do([&] {
    loop->RunAfter(2ms, [&] { ran.Put(2); });
    loop->RunAfter(1ms, [&] { ran.Put(1); });
    TimersI::TimerId cancelled = loop->RunAfter(1ms, [&] { ran.Put(9); });
    loop->CancelTimer(cancelled);
    loop->RunAfter(3ms, [&] { ran.Put(3); });
  });
  for (int expected : { 1, 2, 3 }) {
    BOOST_TEST(ran.Take().value_or(0) == expected);
  }
}

BOOST_AUTO_TEST_CASE(mailbox_keeps_the_order_of_one_sender)
{
  LoopThread loop;
  Inbox<int> received;
  Mailbox<int> mailbox(*loop, [&](int aItem) { received.Put(aItem); });
  for (int i = 0; i < 1000; ++i) {
    mailbox.Send(i);
  }
  for (int i = 0; i < 1000; ++i) {
    BOOST_TEST_REQUIRE(received.Take().value_or(-1) == i);
  }
}
