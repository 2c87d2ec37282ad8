/// Tests of the HTTP client against a server that misbehaves byte by byte.

#define BOOST_TEST_MODULE net_client
#include <boost/test/unit_test.hpp>

#include "net_fixture.h"

using namespace shallotford;
using namespace shallotford::test;

namespace {

/// Collects the events of one call.
class Recorder : public HttpClientHandlerI
{
public:
  void OnHeaders(int aStatus, const HttpHeaders& /*aHeaders*/) override
  {
    m_events.Put("headers " + std::to_string(aStatus));
  }
  void OnBody(std::string_view aBytes) override
  {
    m_events.Put("body " + std::string(aBytes));
  }
  void OnEnd() override { m_events.Put("end"); }
  void OnFailure(const HttpFailure& aFailure) override
  {
    m_progress = aFailure.m_progress;
    m_events.Put("failure");
  }
  std::string Next() { return m_events.Take().value_or("nothing"); }
  std::size_t Waiting() { return m_events.Size(); }
  CallProgress m_progress{ CallProgress::NotSent };

private:
  Inbox<std::string> m_events;
};

/// A call whose events are recorded, cancelled when destroyed.
class RecordedCall
{
public:
  RecordedCall(LoopThread& aLoop, HttpCall aCall)
    : m_loop(aLoop)
    , m_recorder(std::make_shared<Recorder>())
    , m_call(aLoop.Do(
        [&] { return aLoop->Client().Fetch(std::move(aCall), m_recorder); }))
  {
  }
  ~RecordedCall()
  {
    m_loop.Do([this] { m_call.reset(); });
  }
  RecordedCall(const RecordedCall&) = delete;
  RecordedCall& operator=(const RecordedCall&) = delete;

  Recorder* operator->() { return m_recorder.get(); }
  HttpClientCallI& Call() { return *m_call; }
  CallProgress Progress()
  {
    return m_loop.Do([this] { return m_call->Progress(); });
  }

private:
  LoopThread& m_loop;
  std::shared_ptr<Recorder> m_recorder;
  std::unique_ptr<HttpClientCallI> m_call;
};

HttpCall
CallTo(const std::string& aAddress)
{
  HttpCall call;
  call.m_address = aAddress;
  call.m_path = "/a";
  return call;
}

/// Fetches from a raw server that answers aAnswer and closes.
HttpResult
FetchFrom(const std::string& aAnswer)
{
  LoopThread loop;
  RawListener listener;
  std::thread server([&] {
    if (auto socket = listener.Accept()) {
      socket->ReadUntil("\r\n\r\n");
      socket->Send(aAnswer);
    }
  });
  HttpResult result = FetchAndWait(loop, CallTo(listener.Address()));
  server.join();
  return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(calls_that_never_left_are_not_sent)
{
  LoopThread loop;
  std::uint16_t closedPort = RawListener().Port();
  std::vector<HttpCall> calls;
  calls.push_back(CallTo("127.0.0.1:" + std::to_string(closedPort)));
  calls.push_back(CallTo("127.0.0.1"));
  calls.push_back(CallTo("127.0.0.1:http"));
  calls.push_back(CallTo("127.0.0.1:1"));
  calls.back().m_path = "/a b";
  calls.push_back(CallTo("127.0.0.1:1"));
  calls.back().m_headers = { { "x-a", "b\r\nx-c: d" } };
  for (const HttpCall& call : calls) {
    HttpResult result = FetchAndWait(loop, call);
    BOOST_TEST_REQUIRE(result.m_failure.has_value());
    BOOST_TEST((result.m_failure->m_progress == CallProgress::NotSent));
    BOOST_TEST(!result.m_failure->m_reason.empty());
  }
}

BOOST_AUTO_TEST_CASE(a_call_that_failed_to_connect_in_time_never_leaves)
{
  LoopThread loop;
  RawListener listener;
  HttpCall call = CallTo(listener.Address());
  call.m_headersTimeout = 5ms;
  auto recorder = std::make_shared<Recorder>();
  std::unique_ptr<HttpClientCallI> handle;
  loop.Do([&] {
    handle = loop->Client().Fetch(call, recorder);
    std::this_thread::sleep_for(20ms); // the timer and the connection are due
  });
  BOOST_TEST(recorder->Next() == "failure");
  BOOST_TEST((recorder->m_progress == CallProgress::NotSent));
  BOOST_TEST(listener.Accept()->ReadToEnd() == "");
  loop.Do([&] { handle.reset(); });
}

BOOST_AUTO_TEST_CASE(a_call_cancelled_before_it_is_sent_never_leaves)
{
  LoopThread loop;
  RawListener listener;
  auto recorder = std::make_shared<Recorder>();
  loop.Do([&] {
    auto handle = loop->Client().Fetch(CallTo(listener.Address()), recorder);
    std::this_thread::sleep_for(20ms);
    handle->Cancel();
    BOOST_TEST((handle->Progress() == CallProgress::NotSent));
  });
  BOOST_TEST(listener.Accept()->ReadToEnd() == "");
}

BOOST_AUTO_TEST_CASE(a_connection_that_closes_unanswered_was_sent)
{
  HttpResult result = FetchFrom("");
  BOOST_TEST_REQUIRE(result.m_failure.has_value());
  BOOST_TEST((result.m_failure->m_progress == CallProgress::Sent));
}

BOOST_AUTO_TEST_CASE(broken_answers_are_failures)
{
  const std::string kHead = "HTTP/1.1 200 OK\r\n";
  for (const std::string& answer :
       { kHead + "content-length: 9\r\n\r\nhello",
         kHead + "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
         kHead + "transfer-encoding: chunked\r\n\r\n9\r\nhello",
         kHead + "transfer-encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
         kHead + "transfer-encoding: chunked\r\n\r\n" }) {
    HttpResult result = FetchFrom(answer);
    BOOST_TEST_REQUIRE(result.m_failure.has_value(), answer);
    BOOST_TEST((result.m_failure->m_progress == CallProgress::Answered),
               answer);
  }
}

BOOST_AUTO_TEST_CASE(every_way_to_end_an_answer_is_understood)
{
  for (const std::string& answer :
       { std::string("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"),
         std::string("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                     "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"),
         std::string("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello"),
         std::string("HTTP/1.0 200 OK\r\n\r\nhello") }) {
    HttpResult result = FetchFrom(answer);
    BOOST_TEST_REQUIRE(result.m_reply.has_value(), answer);
    BOOST_TEST(result.m_reply->m_body == "hello", answer);
  }
}

BOOST_AUTO_TEST_CASE(answers_may_arrive_byte_by_byte)
{
  LoopThread loop;
  RawListener listener;
  RecordedCall call(loop, CallTo(listener.Address()));
  auto socket = listener.Accept();
  std::string answer = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                       "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n";
  for (char c : answer) {
    socket->Send({ &c, 1 });
    loop.Do([] {});
  }
  BOOST_TEST(call->Next() == "headers 200");
  std::string body;
  std::string event = call->Next();
  while (event.starts_with("body ")) {
    body += event.substr(5);
    event = call->Next();
  }
  BOOST_TEST(body == "hello");
  BOOST_TEST(event == "end");
}

/// libwebsockets 4.1.6 reads no chunk extensions; they must not pass for data.
BOOST_AUTO_TEST_CASE(chunk_extensions_fail_the_call)
{
  HttpResult result =
    FetchFrom("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
              "5;x=y\r\nhello\r\n0\r\n\r\n");
  BOOST_TEST_REQUIRE(result.m_failure.has_value());
  BOOST_TEST((result.m_failure->m_progress == CallProgress::Answered));
}

BOOST_AUTO_TEST_CASE(every_status_is_an_answer)
{
  for (int status : { 200, 204, 301, 302, 304, 401, 404, 429, 500, 503 }) {
    HttpResult result = FetchFrom("HTTP/1.1 " + std::to_string(status) +
                                  " X\r\nlocation: http://127.0.0.1:1/\r\n"
                                  "content-length: 0\r\n\r\n");
    BOOST_TEST_REQUIRE(result.m_reply.has_value(), status);
    BOOST_TEST(result.m_reply->m_status == status);
  }
  HttpResult bare = FetchFrom("HTTP/1.1 204 No Content\r\n\r\n");
  BOOST_TEST(bare.m_reply.has_value());
}

BOOST_AUTO_TEST_CASE(silence_ends_a_call)
{
  LoopThread loop;
  RawListener listener;
  HttpCall call = CallTo(listener.Address());
  call.m_headersTimeout = 100ms;
  call.m_idleTimeout = 100ms;
  RecordedCall unanswered(loop, call);
  auto socket = listener.Accept();
  BOOST_TEST(unanswered->Next() == "failure");
  BOOST_TEST((unanswered->m_progress == CallProgress::Sent));
  BOOST_TEST(socket->ReadToEnd().starts_with("GET /a HTTP/1.1\r\n"));
  BOOST_TEST(socket->IsClosedByPeer());

  RecordedCall stalled(loop, call);
  socket = listener.Accept();
  socket->Send("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello");
  BOOST_TEST(stalled->Next() == "headers 200");
  BOOST_TEST(stalled->Next() == "body hello");
  BOOST_TEST(stalled->Next() == "failure");
  BOOST_TEST((stalled->m_progress == CallProgress::Answered));
}

BOOST_AUTO_TEST_CASE(a_reset_does_not_end_an_answer_without_a_length)
{
  LoopThread loop;
  RawListener listener;
  RecordedCall call(loop, CallTo(listener.Address()));
  auto socket = listener.Accept();
  socket->ReadUntil("\r\n\r\n");
  socket->Send("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello");
  BOOST_TEST(call->Next() == "headers 200");
  BOOST_TEST(call->Next() == "body hello");
  socket->Reset();
  BOOST_TEST(call->Next() == "failure");
}

BOOST_AUTO_TEST_CASE(a_status_outside_http_is_no_answer)
{
  for (const char* status : { "000", "099", "600", "999" }) {
    HttpResult result = FetchFrom(std::string("HTTP/1.1 ") + status +
                                  " X\r\ncontent-length: 0\r\n\r\n");
    BOOST_TEST(result.m_failure.has_value(), status);
  }
}

/// The loop may meet the reset while it writes, which clears the socket's
/// error.
BOOST_AUTO_TEST_CASE(a_reset_under_an_upload_does_not_end_an_answer)
{
  for (int round = 0; round < 20; ++round) {
    LoopThread loop;
    RawListener listener;
    HttpCall call = CallTo(listener.Address());
    call.m_method = "POST";
    call.m_body = std::string(8u << 20, 'b');
    RecordedCall upload(loop, call);
    auto socket = listener.Accept();
    socket->ReadUntil("\r\n\r\n");
    socket->Send("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello");
    socket->Reset();
    std::string event = upload->Next();
    while (event.starts_with("headers") || event.starts_with("body")) {
      event = upload->Next();
    }
    BOOST_TEST(event == "failure");
  }
}

BOOST_AUTO_TEST_CASE(cancelling_closes_the_socket_without_events)
{
  LoopThread loop;
  RawListener listener;
  RecordedCall call(loop, CallTo(listener.Address()));
  auto socket = listener.Accept();
  socket->ReadUntil("\r\n\r\n");
  BOOST_TEST((call.Progress() == CallProgress::Sent));
  loop.Do([&] { call.Call().Cancel(); });
  socket->ReadToEnd();
  BOOST_TEST(socket->IsClosedByPeer());
  loop.Do([] {});
  BOOST_TEST(call->Waiting() == 0U);
}

BOOST_AUTO_TEST_CASE(pausing_holds_the_answer_back)
{
  LoopThread loop;
  RawListener listener;
  RecordedCall call(loop, CallTo(listener.Address()));
  auto socket = listener.Accept();
  socket->Send("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nfirst");
  BOOST_TEST(call->Next() == "headers 200");
  BOOST_TEST(call->Next() == "body first");
  loop.Do([&] { call.Call().Pause(); });
  socket->Send("after");
  std::this_thread::sleep_for(50ms);
  BOOST_TEST(call->Waiting() == 0U);
  loop.Do([&] { call.Call().Resume(); });
  BOOST_TEST(call->Next() == "body after");
  BOOST_TEST(call->Next() == "end");
}

BOOST_AUTO_TEST_CASE(no_call_waits_behind_a_stream_to_the_same_address)
{
  LoopThread loop;
  TestServer server(loop, [](const auto& aExchange, const auto& aRequest) {
    if (aRequest.m_path == "/a") {
      aExchange->Begin(200, {});
      aExchange->Write("streaming");
      return;
    }
    aExchange->Respond(200, {}, "short");
  });
  RecordedCall stream(loop, CallTo(server.Address()));
  BOOST_TEST(stream->Next() == "headers 200");
  BOOST_TEST(stream->Next() == "body streaming");
  for (int i = 0; i < 20; ++i) {
    HttpCall call = CallTo(server.Address());
    call.m_path = "/short";
    HttpResult result = FetchAndWait(loop, call);
    BOOST_TEST_REQUIRE(result.m_reply.has_value());
    BOOST_TEST(result.m_reply->m_body == "short");
  }
  BOOST_TEST(stream->Waiting() == 0U);
}

BOOST_AUTO_TEST_CASE(whole_answers_are_bounded)
{
  LoopThread loop;
  TestServer server(loop, [](const auto& aExchange, const auto&) {
    aExchange->Respond(200, {}, std::string(10'000, 'x'));
  });
  HttpCall call = CallTo(server.Address());
  call.m_maxBody = 9'999;
  HttpResult result = FetchAndWait(loop, call);
  BOOST_TEST_REQUIRE(result.m_failure.has_value());
  call.m_maxBody = 10'000;
  BOOST_TEST(FetchAndWait(loop, call).m_reply.has_value());
}

BOOST_AUTO_TEST_CASE(refusals_reach_a_caller_that_is_still_sending)
{
  LoopThread loop;
  ServerOptions options;
  options.m_maxBody = 100'000;
  TestServer server(loop, Echo, options);
  HttpCall call = CallTo(server.Address());
  call.m_method = "POST";
  call.m_body = std::string(3'000'000, 'x');
  HttpResult result = FetchAndWait(loop, call);
  BOOST_TEST_REQUIRE(result.m_reply.has_value());
  BOOST_TEST(result.m_reply->m_status == 413);
}
