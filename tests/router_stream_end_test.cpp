/// Tests of how streams end, with upstreams that send raw bytes: framing, the
/// end of the connection, and events that are cut.

#define BOOST_TEST_MODULE router_stream_end
#include <boost/test/unit_test.hpp>

#include "router_fixture.h"

#include <boost/test/data/test_case.hpp>

using namespace shallotford;
using namespace shallotford::test;

namespace {

/// How an upstream frames its answer.
const std::array<std::string, 3> kFramings = { "until_close",
                                               "chunked",
                                               "length" };

/// How an upstream closes its connection.
enum class Close
{
  Finish,
  Reset,
};

const std::string kCutEvent = "id: 3\ndata: tok";

/// Routes "/resumed/" and "/whole/" to two upstreams that the test answers byte
/// by byte; only streams of the first route may be resumed.
struct RawUpstreams : RouterFixture
{
  RawUpstreams()
  {
    const std::string stream =
      R"("host":"h","kind":"streaming","timeout-ms":8000,)"
      R"("target-latency-ms":900,"service":"plain",)";
    Publish(ConfigText(1,
                       R"(,{"name":"resumed","prefix":"/resumed/",)" + stream +
                         R"("max-attempts":2,"resumable":true},)" +
                         R"({"name":"whole","prefix":"/whole/",)" + stream +
                         R"("max-attempts":1})"));
    for (std::size_t i = 0; i < m_listeners.size(); ++i) {
      PublishUpstream("i-" + std::to_string(i), m_listeners[i].Address());
    }
    Start();
    WaitFor([this] { return Has(Metrics(), "shallotford_upstreams 2\n"); });
  }

  void PublishUpstream(const std::string& aId, const std::string& aAddress)
  {
    std::string entry = R"({"service":"plain","address":")" + aAddress +
                        R"(","zone":"z1","slots":8,"state":"ready",)" +
                        R"("born":1,"seq":1})";
    m_loop.Do([&] { m_store->Put("servers/" + aId, entry); });
  }

  /// Begins a caller's request.
  std::unique_ptr<RawSocket> Call(const std::string& aPath)
  {
    auto caller = std::make_unique<RawSocket>(Port());
    caller->Send(Request(aPath, "r1", "body", "Connection: close\r\n"));
    return caller;
  }

  /// Begins a request of a caller that speaks HTTP/1.0.
  std::unique_ptr<RawSocket> CallAsOldVersion(const std::string& aPath)
  {
    std::string request = Request(aPath, "r1");
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
    auto caller = std::make_unique<RawSocket>(Port());
    caller->Send(request);
    return caller;
  }

  /// Accepts the connection of the router's next attempt, at either upstream,
  /// and returns it once it has received the request.
  std::unique_ptr<RawSocket> NextAttempt(std::string* aRequest = nullptr)
  {
    std::array<pollfd, 2> items{};
    for (std::size_t i = 0; i < items.size(); ++i) {
      items[i] = { m_listeners[i].Descriptor(), POLLIN, 0 };
    }
    if (::poll(items.data(), items.size(), 10'000) <= 0) {
      return nullptr;
    }
    RawListener& asked = m_listeners[items[0].revents != 0 ? 0 : 1];
    std::unique_ptr<RawSocket> attempt = asked.Accept();
    std::string request = attempt->ReadUntil("\r\n\r\nbody");
    if (aRequest != nullptr) {
      *aRequest = request;
    }
    return attempt;
  }

  /// Answers an attempt with a complete message, framed as named.
  static void Answer(RawSocket& aAttempt,
                     const std::string& aFraming,
                     const std::string& aBody,
                     Close aClose = Close::Finish,
                     const std::string& aType = "text/event-stream")
  {
    std::string head = "HTTP/1.1 200 OK\r\nX-Shallotford-Request-Id: r1\r\n"
                       "X-Shallotford-Response-Signature: mark-r1\r\n"
                       "Content-Type: " +
                       aType + "\r\n";
    if (aFraming == "length") {
      head += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
    }
    if (aFraming == "chunked") {
      head += "Transfer-Encoding: chunked\r\n";
    }
    bool chunked = aFraming == "chunked";
    aAttempt.Send(
      head + "\r\n" +
      (chunked ? WriteChunk(aBody) + std::string(kLastChunk) : aBody));
    if (aClose == Close::Reset) {
      aAttempt.Reset();
    }
    aAttempt.Close();
  }

  /// Returns whether an answer to a caller has its last chunk.
  static bool IsComplete(const std::string& aAnswer)
  {
    return aAnswer.ends_with(std::string("\r\n") + std::string(kLastChunk));
  }

  /// Returns the body of an answer to a caller.
  static std::string Body(const std::string& aAnswer)
  {
    struct Sink : MessageSinkI
    {
      void OnBody(std::string_view aBytes) override { m_body += aBytes; }
      void OnEnd() override {}
      std::string m_body;
    } sink;
    MakeAnswerReader(4'096)->Feed(aAnswer, sink);
    return sink.m_body;
  }

  std::array<RawListener, 2> m_listeners;
};

} // namespace

namespace data = boost::unit_test::data;

BOOST_DATA_TEST_CASE_F(RawUpstreams,
                       a_stream_cut_inside_an_event_is_not_ended_as_complete,
                       data::make(kFramings),
                       framing)
{
  auto caller = Call("/whole/x");
  Answer(*NextAttempt(), framing, Event(1) + Event(2) + kCutEvent);
  std::string answer = caller->ReadToEnd();
  BOOST_TEST(Has(answer, Event(2)));
  BOOST_TEST(!IsComplete(answer));
}

BOOST_DATA_TEST_CASE_F(RawUpstreams,
                       a_stream_cut_inside_an_event_is_resumed_elsewhere,
                       data::make(kFramings),
                       framing)
{
  auto caller = Call("/resumed/x");
  Answer(*NextAttempt(), framing, Event(1) + Event(2) + kCutEvent);
  std::string second;
  Answer(*NextAttempt(&second), framing, Event(3) + Event(4));
  BOOST_TEST(Has(second, "Last-Event-Id: 2\r\n"));
  std::string answer = caller->ReadToEnd();
  BOOST_TEST(Body(answer) == Event(1) + Event(2) + Event(3) + Event(4));
  BOOST_TEST(IsComplete(answer));
}

BOOST_DATA_TEST_CASE_F(RawUpstreams,
                       a_resumed_stream_cut_again_is_not_ended_as_complete,
                       data::make(kFramings),
                       framing)
{
  auto caller = Call("/resumed/x");
  Answer(*NextAttempt(), "chunked", Event(1) + Event(2) + kCutEvent);
  Answer(*NextAttempt(), framing, Event(3) + "id: 4\n");
  std::string answer = caller->ReadToEnd();
  BOOST_TEST(Has(answer, Event(3)));
  BOOST_TEST(!IsComplete(answer));
}

BOOST_DATA_TEST_CASE_F(RawUpstreams,
                       a_whole_stream_is_ended_as_complete,
                       data::make(kFramings),
                       framing)
{
  const std::string body = ": ready\r\n\r\n" + Event(1) + "id: 2\ndata: a\n" +
                           "\r\n" + Event(3) + "\n";
  auto caller = Call("/whole/x");
  Answer(*NextAttempt(), framing, body);
  std::string answer = caller->ReadToEnd();
  BOOST_TEST(Body(answer) == body);
  BOOST_TEST(IsComplete(answer));
}

BOOST_FIXTURE_TEST_CASE(a_stream_ended_by_a_reset_is_not_ended_as_complete,
                        RawUpstreams)
{
  auto caller = Call("/whole/x");
  Answer(*NextAttempt(), "until_close", Event(1) + Event(2), Close::Reset);
  BOOST_TEST(!IsComplete(caller->ReadToEnd()));
}

BOOST_FIXTURE_TEST_CASE(a_cut_stream_to_an_old_caller_does_not_look_complete,
                        RawUpstreams)
{
  auto caller = CallAsOldVersion("/whole/x");
  auto attempt = NextAttempt();
  attempt->Send("HTTP/1.1 200 OK\r\n"
                "X-Shallotford-Response-Signature: mark-r1\r\n\r\n" +
                Event(1));
  caller->ReadUntil(Event(1));
  attempt->Send(kCutEvent);
  attempt->Close();
  BOOST_TEST(caller->ReadToEnd().ends_with("\r\n\r\n" + Event(1)));
  BOOST_TEST(caller->IsResetByPeer());
}

BOOST_FIXTURE_TEST_CASE(a_whole_stream_to_an_old_caller_ends_with_a_close,
                        RawUpstreams)
{
  auto caller = CallAsOldVersion("/whole/x");
  Answer(*NextAttempt(), "chunked", Event(1) + Event(2));
  BOOST_TEST(caller->ReadToEnd().ends_with("\r\n\r\n" + Event(1) + Event(2)));
  BOOST_TEST(!caller->IsResetByPeer());
}

BOOST_FIXTURE_TEST_CASE(a_close_before_any_event_is_not_taken_for_the_end,
                        RawUpstreams)
{
  auto caller = Call("/resumed/x");
  Answer(*NextAttempt(), "until_close", Event(1) + kCutEvent);
  Answer(*NextAttempt(), "until_close", "");
  std::string answer = caller->ReadToEnd();
  BOOST_TEST(Has(answer, Event(1)));
  BOOST_TEST(!IsComplete(answer));
}

namespace {

/// Answers of an upstream that doesn't go on with a stream.
std::vector<std::string>
ErrorAnswers()
{
  const std::string id = "X-Shallotford-Request-Id: r1\r\n";
  const std::string signature = "X-Shallotford-Response-Signature: m\r\n";
  const std::string body = "Content-Length: 9\r\n\r\nerrortext";
  return {
    "HTTP/1.1 500 Error\r\n" + id + signature + body,
    "HTTP/1.1 500 Error\r\n" + id + signature +
      "Content-Type: text/event-stream\r\n" + body,
    "HTTP/1.1 500 Error\r\n" + id + body,
    "HTTP/1.1 200 OK\r\n" + id + "Content-Type: text/event-stream\r\n" + body,
    "HTTP/1.1 200 OK\r\n" + id + signature +
      "Content-Type: application/json\r\n" + body,
    "HTTP/1.1 503 Full\r\n" + id + "X-Shallotford-Not-Executed: 1\r\n" + body,
    "HTTP/1.1 421 Misdirected Request\r\n" + body,
    "errortext\r\n\r\n",
  };
}

} // namespace

BOOST_DATA_TEST_CASE_F(
  RawUpstreams,
  an_error_of_the_next_upstream_stays_out_of_a_begun_stream,
  data::make(ErrorAnswers()),
  error)
{
  auto caller = Call("/resumed/x");
  Answer(*NextAttempt(), "chunked", Event(1) + kCutEvent, Close::Reset);
  auto next = NextAttempt();
  next->Send(error);
  next->Close();
  std::string answer = caller->ReadToEnd();
  BOOST_TEST(!Has(answer, "errortext"));
  BOOST_TEST(answer.rfind("HTTP/1.1 ") == 0U);
  BOOST_TEST(!IsComplete(answer));
}

namespace {

/// Refusals that an upstream writes once more, with and without the id of the
/// request that they answered.
const std::array<std::string, 3> kRepeatedRefusals = {
  "HTTP/1.1 503 Full\r\nX-Shallotford-Request-Id: r1\r\n"
  "X-Shallotford-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 503 Full\r\nX-Shallotford-Not-Executed: 1\r\n"
  "Content-Length: 0\r\n\r\n",
  "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
};

} // namespace

BOOST_DATA_TEST_CASE_F(RawUpstreams,
                       a_refusal_written_again_is_no_answer_to_the_next_request,
                       data::make(kRepeatedRefusals),
                       refusal)
{
  m_loop.Do([this] { m_store->Remove("servers/i-1"); });
  BOOST_TEST(WaitFor([this] { return Has(Metrics(), "_upstreams 1\n"); }));
  RawSocket first(Port());
  first.Send(Request("/once/", "r1", "body", "Connection: close\r\n"));
  auto upstream = NextAttempt();
  upstream->Send("HTTP/1.1 503 Full\r\nX-Shallotford-Request-Id: r1\r\n"
                 "X-Shallotford-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  BOOST_TEST(first.ReadToEnd().starts_with("HTTP/1.1 503 "));
  RawSocket second(Port());
  second.Send(Request("/once/", "r2", "body", "Connection: close\r\n"));
  upstream->ReadUntil("Request-Id: r2");
  // The upstream runs the second request.
  upstream->Send(refusal);
  std::string answer = second.ReadToEnd();
  BOOST_TEST(answer.starts_with("HTTP/1.1 502 "), answer);
}

BOOST_DATA_TEST_CASE_F(RawUpstreams,
                       a_plain_answer_on_a_stream_route_is_passed_on,
                       data::make(kFramings),
                       framing)
{
  auto caller = Call("/whole/x");
  Answer(*NextAttempt(), framing, "{}", Close::Finish, "application/json");
  BOOST_TEST(caller->ReadToEnd().ends_with("\r\n\r\n{}"));
}

/// The same upstreams with room for long uploads.
struct LongUploads : RawUpstreams
{
  LongUploads()
  {
    std::string text = ConfigText(2);
    const std::string limit = R"("max-body-bytes":4096)";
    text.replace(text.find(limit), limit.size(), R"("max-body-bytes":9000000)");
    Publish(text);
    WaitFor([this] { return CountLogLines("event=configuration") == 2; });
  }
};

BOOST_DATA_TEST_CASE_F(LongUploads,
                       an_early_answer_that_a_reset_cuts_reaches_no_caller,
                       data::xrange(10),
                       round)
{
  RawSocket caller(Port());
  std::thread sender([&] {
    caller.Send(Request("/once/x", "r1", "body" + std::string(8u << 20, 'b')));
  });
  auto attempt = NextAttempt();
  if (round % 2 == 0) {
    attempt->ReadUntil("bbb");
  }
  Answer(*attempt, "until_close", "part", Close::Reset);
  std::string answer = caller.ReadUntil("\r\n\r\n");
  BOOST_TEST(answer.starts_with("HTTP/1.1 502 "));
  BOOST_TEST(!Has(answer, "part"));
  sender.join();
}

BOOST_DATA_TEST_CASE_F(RawUpstreams,
                       a_status_outside_http_reaches_no_caller,
                       data::make({ "000", "099", "600", "999" }),
                       status)
{
  auto caller = Call("/once/x");
  NextAttempt()->Send("HTTP/1.1 " + std::string(status) +
                      " X\r\nX-Shallotford-Request-Id: r1\r\n"
                      "X-Shallotford-Response-Signature: mark-r1\r\n"
                      "Content-Length: 0\r\n\r\n");
  BOOST_TEST(caller->ReadToEnd().starts_with("HTTP/1.1 502 "));
}
