/// Tests of whole sessions of a worker on a fake clock: all events and log
/// lines are compared with committed files. UPDATE_GOLDEN=1 rewrites the files.

#define BOOST_TEST_MODULE session
#include <boost/test/unit_test.hpp>

#include "daemon_worker.h"
#include "fake_engine.h"
#include "golden_fleet.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

constexpr const char* kPrefill = "10.0.0.1:80";
constexpr const char* kDecodeA = "10.0.0.2:80";
constexpr const char* kDecodeB = "10.0.0.3:80";

std::string
ReadText(const std::string& aName)
{
  std::ifstream file(aName);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Writes log lines into the transcript.
class TranscriptLog : public LogI
{
public:
  explicit TranscriptLog(Transcript& aTranscript)
    : m_transcript(aTranscript)
  {
  }
  void Write(const LogEvent& aEvent) override
  {
    m_transcript.Add("log " + aEvent.Line());
  }

private:
  Transcript& m_transcript;
};

/// A worker with a fake loop, fake engines and fake callers.
struct Session
{
  Session()
    : m_loop(m_transcript)
    , m_engine(m_loop, m_transcript)
    , m_log(m_transcript)
    , m_random(MakeSeededRandom(1))
    , m_worker({ .m_settings = { .m_callerAddress = "127.0.0.1:0",
                                 .m_peerAddress = "10.9.0.1:70",
                                 .m_region = "mtl",
                                 .m_failureDomain = "mtl-a" },
                 .m_vm = { "10.9.0.1:70", 0xb007 } },
               m_loop,
               m_engine,
               m_log,
               *m_random,
               m_clock)
  {
    m_engine.m_roles = { { kPrefill, EngineRole::Prefill },
                         { kDecodeA, EngineRole::Decode },
                         { kDecodeB, EngineRole::Decode } };
    m_loop.Fake().m_answer = [this](const HttpCall&) {
      ++m_plainRuns;
      return HttpReply{ 201, {}, "run " + std::to_string(m_plainRuns) };
    };
    m_worker.SetControlSink([](const WorkerMessage&) {});
    m_worker.Start();
    m_worker.OnMessage(FleetInForce{ GoldenFleet() });
    m_worker.OnMessage(MembershipView{ { "10.9.0.1:70" }, { "10.9.0.1:70" } });
    m_worker.OnMessage(PlatformReady{ true });
    m_loop.RunFor(500ms);
  }

  std::shared_ptr<FakeExchange> Send(const std::string& aMethod,
                                     const std::string& aPath,
                                     const std::string& aBody,
                                     HttpHeaders aHeaders = {})
  {
    std::string name = "caller" + std::to_string(++m_callers);
    m_transcript.Add(name + " -> " + aMethod + " " + aPath + " " + aBody);
    auto exchange = std::make_shared<FakeExchange>(m_transcript, name);
    m_worker.OnRequest(exchange,
                       { .m_method = aMethod,
                         .m_path = aPath,
                         .m_headers = std::move(aHeaders),
                         .m_body = aBody });
    return exchange;
  }

  std::shared_ptr<FakeExchange> Chat(bool aStream)
  {
    std::string body = R"({"model":"draft-1","messages":[{"role":"user",)"
                       R"("content":"read this thread"}],"stream":)";
    return Send(
      "POST", "/v1/chat/completions", body + (aStream ? "true}" : "false}"));
  }

  std::string Ticket()
  {
    auto exchange = Send("POST", "/v1/tickets", "");
    return ParseJson(exchange->Body())["ticket"].asString();
  }

  void Compare(const std::string& aName)
  {
    std::string path = std::string(TEST_DATA_DIR) + "/golden/" + aName;
    if (std::getenv("UPDATE_GOLDEN") != nullptr) {
      std::ofstream(path) << m_transcript.Text();
    }
    std::istringstream expected(ReadText(path));
    std::istringstream seen(m_transcript.Text());
    std::string expectedLine;
    std::string seenLine;
    while (std::getline(expected, expectedLine)) {
      std::getline(seen, seenLine);
      BOOST_REQUIRE_EQUAL(seenLine, expectedLine);
    }
    BOOST_TEST(!std::getline(seen, seenLine));
  }

  FakeClock m_clock;
  Transcript m_transcript;
  FakeLoop m_loop;
  FakeEngine m_engine;
  TranscriptLog m_log;
  std::unique_ptr<RandomI> m_random;
  int m_plainRuns{ 0 };
  int m_callers{ 0 };
  Worker m_worker;
};

} // namespace

BOOST_AUTO_TEST_CASE(streamed_and_whole_answers)
{
  Session session;
  session.Chat(true);
  session.m_loop.RunFor(1s);
  session.Chat(false);
  session.m_loop.RunFor(1s);
  session.Compare("answers.txt");
}

BOOST_AUTO_TEST_CASE(stream_continues_after_its_decode_engine_crashes)
{
  Session session;
  session.m_engine.m_answerTokens = 6;
  session.m_engine.m_crashAt = { { kDecodeA, 3 }, { kDecodeB, 3 } };
  session.Chat(true);
  session.m_loop.RunFor(200ms);
  // Only the engine that runs the request may crash.
  session.m_engine.m_crashAt.clear();
  session.m_loop.RunFor(3s);
  session.Compare("engine_lost.txt");
}

BOOST_AUTO_TEST_CASE(refused_claim_moves_to_another_engine)
{
  Session session;
  session.m_engine.m_refuseClaim = { { kDecodeA, "memory" },
                                     { kDecodeB, "memory" } };
  session.Chat(true);
  session.m_loop.RunFor(2s);
  session.Compare("claim_refused.txt");
}

BOOST_AUTO_TEST_CASE(request_is_cancelled_when_its_caller_disconnects)
{
  Session session;
  auto caller = session.Chat(true);
  session.m_loop.RunFor(150ms);
  caller->Close();
  session.m_loop.RunFor(1s);
  session.Compare("caller_gone.txt");
}

BOOST_AUTO_TEST_CASE(ticketed_call_runs_once)
{
  Session session;
  std::string ticket = session.Ticket();
  HttpHeaders key{ { "idempotency-key", ticket } };
  session.Send("POST", "/services/booking/holds", "{\"date\":1}", key);
  // The second submission arrives while the first one runs.
  session.Send("POST", "/services/booking/holds", "{\"date\":1}", key);
  session.m_loop.RunFor(1s);
  session.Send("POST", "/services/booking/holds", "{\"date\":1}", key);
  // A different body with the same ticket, and a key that is not a ticket.
  session.Send("POST", "/services/booking/holds", "{\"date\":2}", key);
  session.Send("POST",
               "/services/booking/holds",
               "{\"date\":1}",
               { { "idempotency-key", "my-own-key" } });
  session.m_loop.RunFor(1s);
  BOOST_TEST(session.m_plainRuns == 1);
  session.Compare("tickets.txt");
}

BOOST_AUTO_TEST_CASE(invalid_requests_are_refused)
{
  Session session;
  session.Send("POST", "/v1/chat/completions", "{\"model\":");
  session.Send("POST", "/v1/chat/completions", "{\"model\":\"draft-1\"}");
  session.Send(
    "POST", "/v1/completions", "{\"model\":\"none\",\"prompt\":\"x\"}");
  session.Send("GET", "/v1/nothing", "");
  session.Send("GET", "/services/none/x", "");
  session.Send("GET", "/v1/models", "");
  session.m_loop.RunFor(1s);
  session.Compare("bad_input.txt");
}

BOOST_AUTO_TEST_CASE(drain_lets_requests_finish)
{
  Session session;
  session.Chat(true);
  session.m_loop.RunFor(100ms);
  session.m_worker.OnMessage(DrainCommand{});
  session.Send("GET", "/readyz", "");
  session.m_loop.RunFor(1500ms);
  session.Chat(true);
  session.m_loop.RunFor(1s);
  session.Compare("drain.txt");
}
