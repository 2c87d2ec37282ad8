/// Tests of single requests through a router on loopback: framing, limits,
/// attempts at upstreams, and the answer to the caller.

#define BOOST_TEST_MODULE router
#include <boost/test/unit_test.hpp>

#include "router_fixture.h"

using namespace shallotford;
using namespace shallotford::test;

BOOST_FIXTURE_TEST_CASE(a_request_passes_unchanged, Plain)
{
  RawSocket socket(Port());
  socket.Send("POST /once/%2e%2E//x;y?q=%41 HTTP/1.1\r\nHost: h\r\n"
              "X-Shallotford-Request-Id: r1\r\nX-OwN: v\r\n"
              "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
              "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  std::string answer = socket.ReadToEnd();
  BOOST_TEST(answer.starts_with("HTTP/1.1 200 OK\r\n"));
  BOOST_TEST(Has(answer, "X-Shallotford-Response-Signature: mark-r1\r\n"));
  BOOST_TEST(Has(answer, " abcde"));
  const CallerRequest received = m_loop.Do([this] {
    return m_a->Received().empty() ? m_b->Received().front()
                                   : m_a->Received().front();
  });
  BOOST_TEST(received.m_head.m_target == "/once/%2e%2E//x;y?q=%41");
  BOOST_TEST(*FindField(received.m_head.m_fields, "X-OwN") == "v");
  BOOST_TEST(*received.m_body == "abcde");
}

BOOST_FIXTURE_TEST_CASE(pipelined_requests_are_answered_in_order, Plain)
{
  RawSocket socket(Port());
  socket.Send(Request("/safe/1", "r1", "one") +
              Request("/safe/2", "r2", "two") +
              Request("/safe/3", "r3", "three", "Connection: close\r\n"));
  std::string answers = socket.ReadToEnd();
  std::size_t one = answers.find(" one");
  std::size_t two = answers.find(" two");
  std::size_t three = answers.find(" three");
  BOOST_TEST(three != std::string::npos);
  BOOST_TEST((one < two && two < three));
}

BOOST_FIXTURE_TEST_CASE(a_request_without_a_route_gets_404, Plain)
{
  BOOST_TEST(Ask("/none/", "r1").starts_with("HTTP/1.1 404 "));
  BOOST_TEST(CountLogLines("event=request_rejected request=r1 ") == 1u);
}

BOOST_FIXTURE_TEST_CASE(configured_limits_are_enforced, Plain)
{
  std::string large(5'000, 'x');
  RawSocket body(Port());
  body.Send(Request("/safe/", "r1", large));
  BOOST_TEST(body.ReadToEnd().starts_with("HTTP/1.1 413 "));
  RawSocket head(Port());
  head.Send(Request("/safe/", "r2", "", "X-Long: " + large + "\r\n"));
  BOOST_TEST(head.ReadToEnd().starts_with("HTTP/1.1 431 "));
  RawSocket slow(Port());
  slow.Send("POST /safe/ HTTP/1.1\r\nHos");
  BOOST_TEST(slow.ReadToEnd().starts_with("HTTP/1.1 408 "));
}

BOOST_FIXTURE_TEST_CASE(a_smuggled_request_is_never_run, Plain)
{
  RawSocket socket(Port());
  socket.Send("POST /once/a HTTP/1.1\r\nHost: h\r\n"
              "X-Shallotford-Request-Id: r1\r\n"
              "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
              "0\r\n\r\n" +
              Request("/once/b", "hidden"));
  BOOST_TEST(socket.ReadToEnd().starts_with("HTTP/1.1 400 "));
  BOOST_TEST(AllRuns("r1") == 0);
  BOOST_TEST(AllRuns("hidden") == 0);
}

BOOST_FIXTURE_TEST_CASE(a_refused_request_that_may_run_once_is_sent_elsewhere,
                        Plain)
{
  m_loop.Do([this] {
    m_a->SetScript([](const PublishedCall& aCall) {
      PublishedServer::AnswerNotRun(aCall);
      return true;
    });
  });
  for (int i = 0; i < 6; ++i) {
    std::string id = "r" + std::to_string(i);
    BOOST_TEST(Has(Ask("/once/", id), "i-b body"));
    BOOST_TEST(AllRuns(id) == 1);
  }
}

BOOST_FIXTURE_TEST_CASE(a_request_refused_everywhere_gets_503_with_retry_after,
                        Plain)
{
  ScriptBoth([](const PublishedCall& aCall) {
    PublishedServer::AnswerNotRun(aCall);
    return true;
  });
  std::string answer = Ask("/once/", "r1");
  BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
  BOOST_TEST(Has(answer, "Retry-After: 0."));
  BOOST_TEST(Has(answer, "\"run\":\"no\""));
}

BOOST_FIXTURE_TEST_CASE(
  a_request_that_may_run_once_is_not_sent_again_after_a_break,
  Plain)
{
  ScriptBoth([this](const PublishedCall& aCall) {
    ++m_broken;
    aCall.m_exchange->Abort();
    return true;
  });
  std::string answer = Ask("/once/", "r1");
  BOOST_TEST(answer.starts_with("HTTP/1.1 502 "));
  BOOST_TEST(Has(answer, "\"run\":\"unknown\""));
  BOOST_TEST(m_loop.Do([this] { return m_broken; }) == 1);
}

BOOST_FIXTURE_TEST_CASE(a_repeatable_request_is_sent_again_after_a_break, Plain)
{
  m_loop.Do([this] {
    auto script = [this](const PublishedCall& aCall) {
      if (++m_broken > 1) {
        return false;
      }
      aCall.m_exchange->Abort();
      return true;
    };
    m_a->SetScript(script);
    m_b->SetScript(script);
  });
  BOOST_TEST(Ask("/safe/", "r1").starts_with("HTTP/1.1 200 "));
}

BOOST_FIXTURE_TEST_CASE(an_answer_to_another_request_is_not_passed_on, Plain)
{
  ScriptBoth([](const PublishedCall& aCall) {
    PublishedCall other = aCall;
    other.m_id = "other";
    aCall.m_exchange->Respond(
      200, "OK", PublishedServer::SignedFields(other), "secret");
    return true;
  });
  std::string answer = Ask("/safe/", "r1");
  BOOST_TEST(answer.starts_with("HTTP/1.1 502 "));
  BOOST_TEST(!Has(answer, "secret"));
}

BOOST_FIXTURE_TEST_CASE(an_unsigned_success_is_not_passed_on, Plain)
{
  ScriptBoth([](const PublishedCall& aCall) {
    aCall.m_exchange->Respond(200, "OK", {}, "forged");
    return true;
  });
  BOOST_TEST(Ask("/once/", "r1").starts_with("HTTP/1.1 502 "));
}

BOOST_FIXTURE_TEST_CASE(bytes_after_an_answer_reach_no_caller, Plain)
{
  ScriptBoth([](const PublishedCall& aCall) {
    HttpHeaders fields = PublishedServer::SignedFields(aCall);
    // Tries to write a second answer after the complete one.
    fields.push_back({ "X-Pad", "1" });
    aCall.m_exchange->Respond(200, "OK", fields, "good");
    aCall.m_exchange->Write("HTTP/1.1 200 OK\r\n\r\nlate");
    return true;
  });
  for (int i = 0; i < 4; ++i) {
    std::string answer = Ask("/once/", "r" + std::to_string(i));
    BOOST_TEST(answer.ends_with("\r\n\r\ngood"));
  }
}

BOOST_FIXTURE_TEST_CASE(an_upstream_that_stops_inside_its_head_gave_no_answer,
                        Plain)
{
  RawListener upstream;
  m_loop.Do([&] {
    std::string entry = m_a->Entry("plain", "");
    std::string address = m_a->Address();
    entry.replace(entry.find(address), address.size(), upstream.Address());
    m_store->Put("servers/i-raw", entry);
    m_store->Remove("servers/i-a");
    m_store->Remove("servers/i-b");
  });
  BOOST_TEST(WaitFor([this] { return Knows(1); }));
  const std::string head = "HTTP/1.1 200 OK\r\n"
                           "X-Shallotford-Response-Signature: mark\r\n"
                           "Content-Length: 0\r\n\r\n";
  int number = 0;
  for (std::size_t size : { std::size_t{ 12 },
                            head.find("Content-Length"),
                            head.size() - 3,
                            head.size() - 1 }) {
    RawSocket socket(Port());
    std::string id = "r" + std::to_string(number++);
    socket.Send(Request("/once/" + id, id, "body", "Connection: close\r\n"));
    std::unique_ptr<RawSocket> connection = upstream.Accept();
    BOOST_TEST_REQUIRE(connection != nullptr);
    connection->ReadUntil("\r\n\r\nbody");
    connection->Send(head.substr(0, size));
    connection.reset();
    std::string answer = socket.ReadToEnd();
    BOOST_TEST(answer.starts_with("HTTP/1.1 502 "));
    BOOST_TEST(!Has(answer, "mark"));
  }
}

BOOST_FIXTURE_TEST_CASE(an_upstreams_failure_is_passed_on_unchanged, Plain)
{
  ScriptBoth([](const PublishedCall& aCall) {
    aCall.m_exchange->Respond(
      500, "Own Words", PublishedServer::SignedFields(aCall), "why");
    return true;
  });
  std::string answer = Ask("/once/", "r1");
  BOOST_TEST(answer.starts_with("HTTP/1.1 500 Own Words\r\n"));
  BOOST_TEST(Has(answer, "mark-r1"));
  BOOST_TEST(answer.ends_with("\r\n\r\nwhy"));
}

BOOST_FIXTURE_TEST_CASE(a_request_ends_at_its_routes_timeout, Plain)
{
  ScriptBoth([this](const PublishedCall& aCall) {
    m_held.push_back(aCall.m_exchange);
    return true;
  });
  std::string answer = Ask("/once/", "r1");
  BOOST_TEST(answer.starts_with("HTTP/1.1 504 "));
  m_loop.Do([this] { m_held.clear(); });
}

BOOST_FIXTURE_TEST_CASE(a_callers_disconnect_cancels_its_upstream_call, Plain)
{
  Inbox<bool> closed;
  ScriptBoth([&closed](const PublishedCall& aCall) {
    aCall.m_exchange->OnClosed([&closed] { closed.Put(true); });
    return true;
  });
  auto socket = std::make_unique<RawSocket>(Port());
  socket->Send(Request("/once/", "r1"));
  WaitFor([this] {
    return m_loop.Do(
      [this] { return m_a->Received().size() + m_b->Received().size() > 0; });
  });
  socket.reset();
  BOOST_TEST(closed.Take().has_value());
}

BOOST_FIXTURE_TEST_CASE(a_draining_upstream_gets_no_requests, Plain)
{
  m_loop.Do(
    [this] { m_store->Put("servers/i-a", m_a->Entry("plain", "", true)); });
  BOOST_TEST(WaitFor([this] {
    return Has(Ask("/safe/", "x"), "i-b") && Has(Ask("/safe/", "y"), "i-b") &&
           Has(Ask("/safe/", "z"), "i-b");
  }));
  for (int i = 0; i < 8; ++i) {
    BOOST_TEST(Has(Ask("/safe/", "d" + std::to_string(i)), "i-b body"));
  }
}

BOOST_FIXTURE_TEST_CASE(a_request_for_a_replaced_server_runs_once_elsewhere,
                        Plain)
{
  // The store maps the address of i-a to another id, so the server there
  // refuses requests for that id.
  m_loop.Do([this] {
    m_store->Put("servers/i-gone", m_a->Entry("plain", ""));
    m_store->Remove("servers/i-a");
  });
  BOOST_TEST(WaitFor([this] { return Knows(2); }));
  for (int i = 0; i < 6; ++i) {
    std::string id = "r" + std::to_string(i);
    BOOST_TEST(Ask("/once/", id).starts_with("HTTP/1.1 200 "));
    BOOST_TEST(AllRuns(id) == 1);
  }
}
