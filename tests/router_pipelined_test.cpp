/// Tests of requests that a caller sends one behind the other, on a fake loop:
/// however their bytes arrive, they are read in order.

#define BOOST_TEST_MODULE router_pipelined
#include <boost/test/unit_test.hpp>

#include "fake_streams.h"
#include "router_caller.h"

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

/// A connection into which the test puts bytes.
struct FakeStream : StreamI
{
  void SetHandler(StreamHandlerI* aHandler) override { m_handler = aHandler; }
  void Write(std::string_view aBytes) override { *m_written += aBytes; }
  std::size_t Buffered() const override { return 0; }
  std::uint64_t BytesSent() const override { return m_written->size(); }
  Duration SinceArrival() const override { return Duration::zero(); }
  bool HasPeerLeft() const override { return false; }
  bool HasUnread() const override { return false; }
  void FinishWriting() override {}
  void ResetOnDestroy() override {}
  void PauseReading() override {}
  void ResumeReading() override {}

  StreamHandlerI* m_handler{ nullptr };
  std::shared_ptr<std::string> m_written{ std::make_shared<std::string>() };
};

/// A caller's connection whose requests are answered at once or later.
struct Pipelined : CallerHandlerI
{
  explicit Pipelined(Duration aAnswerAfter)
    : m_answerAfter(aAnswerAfter)
  {
    auto stream = std::make_unique<FakeStream>();
    m_stream = stream.get();
    m_written = stream->m_written;
    m_loop.m_streams.m_onAccept(std::move(stream));
  }

  void OnRequest(CallerExchangePtr aExchange, CallerRequest aRequest) override
  {
    m_received += aRequest.m_head.m_method + " " + aRequest.m_head.m_target +
                  " " + *aRequest.m_body + "\n";
    auto answer = [aExchange, target = aRequest.m_head.m_target] {
      aExchange->Respond(200, "OK", {}, "answer to " + target + "\n");
    };
    if (m_answerAfter == Duration::zero()) {
      answer();
    } else {
      m_loop.RunAfter(m_answerAfter, answer);
    }
  }
  void OnBadRequest(const Error& aError) override
  {
    m_received += std::string("malformed: ") + aError.what() + "\n";
  }
  CallerLimits Limits() const override { return {}; }
  bool IsLeaving() const override { return false; }

  void Feed(std::string_view aBytes)
  {
    if (!aBytes.empty()) {
      m_stream->m_handler->OnBytes(aBytes);
    }
  }

  Duration m_answerAfter;
  Transcript m_transcript;
  StreamLoop m_loop{ m_transcript };
  std::string m_received;
  FakeStream* m_stream{ nullptr };
  std::shared_ptr<std::string> m_written;
  CallerListener m_listener{ m_loop, {}, *this };
};

const std::string kQuoted = "GET /quoted HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kRequests =
  "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
  "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: " +
  std::to_string(kQuoted.size()) + "\r\n\r\n" + kQuoted +
  "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kReceived = "GET /1 \nPOST /2 " + kQuoted + "\nGET /3 \n";

/// Returns the bodies of the answers.
std::string
Bodies(const std::string& aAnswers)
{
  std::string bodies;
  for (std::size_t at = aAnswers.find("answer to "); at != std::string::npos;
       at = aAnswers.find("answer to ", at + 1)) {
    bodies += aAnswers.substr(at, aAnswers.find('\n', at) - at) + "\n";
  }
  return bodies;
}

} // namespace

BOOST_AUTO_TEST_CASE(no_cut_of_the_bytes_makes_a_request_of_a_body)
{
  for (Duration answerAfter : { Duration(0), Duration(10ms) }) {
    for (Duration between : { Duration(-1), Duration(0), Duration(20ms) }) {
      for (std::size_t first = 0; first < kRequests.size(); ++first) {
        // Three reads, of which the second one is short.
        std::size_t second = std::min(first + 7, kRequests.size());
        Pipelined caller(answerAfter);
        for (const auto& [from, to] :
             { std::pair<std::size_t, std::size_t>(0, first),
               { first, second },
               { second, kRequests.size() } }) {
          caller.Feed(std::string_view(kRequests).substr(from, to - from));
          if (between >= Duration::zero()) {
            caller.m_loop.RunFor(between);
          }
        }
        caller.m_loop.RunFor(1s);
        BOOST_REQUIRE_EQUAL(caller.m_received, kReceived);
        BOOST_REQUIRE_EQUAL(Bodies(*caller.m_written),
                            "answer to /1\nanswer to /2\nanswer to /3\n");
      }
    }
  }
}
