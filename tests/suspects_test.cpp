/// Tests of the calls about suspects, which are requests that may have crashed
/// an engine: a worker on a fake clock asks another VM, the coordinator.

#define BOOST_TEST_MODULE suspects
#include <boost/test/unit_test.hpp>

#include "daemon_worker.h"
#include "fake_engine.h"
#include "golden_fleet.h"
#include "shallotford/rpc.h"

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

constexpr const char* kSelf = "10.9.0.1:70";
constexpr const char* kService = "drafting";
constexpr std::size_t kDigestBytes = 4'096;

class RecordingLog : public LogI
{
public:
  void Write(const LogEvent& aEvent) override
  {
    m_text += aEvent.Line() + "\n";
  }
  std::string m_text;
};

/// Returns the address of a VM that coordinates kService if kSelf is the only
/// other VM.
std::string
OtherCoordinator()
{
  for (int port = 71;; ++port) {
    std::string other = "10.9.0.2:" + std::to_string(port);
    if (SuspectCoordinator(kService, { kSelf, other }) == other) {
      return other;
    }
  }
}

/// A worker, and another VM that is the coordinator.
struct Fixture
{
  Fixture()
    : m_loop(m_transcript)
    , m_engine(m_loop, m_transcript)
    , m_random(MakeSeededRandom(1))
    , m_coordinator(OtherCoordinator())
    , m_coordinatorPoison(PoisonOptions{})
    , m_worker({ .m_settings = { .m_callerAddress = "127.0.0.1:0",
                                 .m_peerAddress = kSelf,
                                 .m_region = "mtl",
                                 .m_failureDomain = "mtl-a" },
                 .m_vm = { kSelf, 0xb007 } },
               m_loop,
               m_engine,
               m_log,
               *m_random,
               m_clock)
  {
    m_engine.m_roles = { { "10.0.0.1:80", EngineRole::Prefill },
                         { "10.0.0.2:80", EngineRole::Decode },
                         { "10.0.0.3:80", EngineRole::Decode } };
    m_loop.Fake().m_answer = [this](const HttpCall& aCall) {
      return Answer(aCall);
    };
    m_worker.SetControlSink([](const WorkerMessage&) {});
    m_worker.Start();
    m_worker.OnMessage(FleetInForce{ GoldenFleet() });
    std::vector<std::string> vms{ kSelf, m_coordinator };
    m_worker.OnMessage(MembershipView{ vms, vms });
    m_worker.OnMessage(PlatformReady{ true });
    m_loop.RunFor(500ms);
  }

  /// Returns the coordinator's answer. With m_earlierCrash, the requests of a
  /// reported batch are suspects already.
  HttpReply Answer(const HttpCall& aCall)
  {
    RpcCall call = ParseRpcCall(aCall.m_body);
    std::string name = call.m_params["call"].asString();
    m_calls.push_back(name);
    TimePoint now = m_loop.Now();
    if (name == "crash") {
      m_prefillsAtCrash = Prefills();
      for (const Json::Value& member : call.m_params["batch"]) {
        m_batch.push_back(member.asString());
      }
    }
    if (name == "crash" && m_earlierCrash) {
      m_coordinatorPoison.OnCrash("10.0.9.9:80", m_batch, now - 10s);
    }
    return { 200,
             {},
             RpcResultBody(
               call.m_id,
               m_coordinatorPoison.Serve(call.m_params, kDigestBytes, now)) };
  }

  void Chat()
  {
    m_worker.OnRequest(
      std::make_shared<FakeExchange>(m_transcript, "caller"),
      { .m_method = "POST",
        .m_path = "/v1/chat/completions",
        .m_headers = {},
        .m_body = R"({"model":"draft-1","messages":[{"role":"user",)"
                  R"("content":"read this thread"}],"stream":true})" });
  }

  /// Sends a request during which one decode engine crashes.
  void CrashOne()
  {
    m_engine.m_crashAt = { { "10.0.0.2:80", 1 }, { "10.0.0.3:80", 1 } };
    Chat();
    m_loop.RunFor(130ms);
    m_engine.m_crashAt.clear();
  }

  std::size_t Prefills() const
  {
    std::size_t count = 0;
    const std::string& text = m_transcript.Text();
    for (std::size_t at = text.find("<- prefill"); at != std::string::npos;
         at = text.find("<- prefill", at + 1)) {
      ++count;
    }
    return count;
  }

  bool Logged(const std::string& aText) const
  {
    return m_log.m_text.find(aText) != std::string::npos;
  }

  FakeClock m_clock;
  Transcript m_transcript;
  FakeLoop m_loop;
  FakeEngine m_engine;
  RecordingLog m_log;
  std::unique_ptr<RandomI> m_random;
  std::string m_coordinator;
  PoisonTracker m_coordinatorPoison;
  bool m_earlierCrash{ false };
  std::vector<std::string> m_calls;
  std::vector<std::string> m_batch;
  std::size_t m_prefillsAtCrash{ 0 };
  Worker m_worker;
};

} // namespace

BOOST_AUTO_TEST_CASE(batch_is_not_retried_before_the_verdict_of_the_coordinator)
{
  Fixture fixture;
  fixture.m_earlierCrash = true;
  fixture.CrashOne();
  fixture.m_loop.RunFor(10s);
  BOOST_TEST((fixture.m_calls == std::vector<std::string>{ "crash" }));
  BOOST_TEST(fixture.m_prefillsAtCrash == 1u);
  BOOST_TEST(fixture.Prefills() == 1u);
  BOOST_TEST(fixture.Logged("cause=quarantined"));
}

BOOST_AUTO_TEST_CASE(engine_check_is_repeated_if_its_connection_breaks)
{
  // The connections of the first checks break because the process is ending. If
  // the engine counted as merely unreachable, its batch would be retried
  // without suspicion.
  Fixture fixture;
  fixture.m_engine.m_breakLists = { { "10.0.0.2:80", 2 },
                                    { "10.0.0.3:80", 2 } };
  fixture.CrashOne();
  fixture.m_loop.RunFor(10s);
  BOOST_TEST(fixture.Logged("event=engine_crashed"));
  BOOST_REQUIRE(!fixture.m_calls.empty());
  BOOST_TEST(fixture.m_calls.front() == "crash");
  BOOST_TEST(fixture.m_prefillsAtCrash == 1u);
}

BOOST_AUTO_TEST_CASE(suspect_runs_with_a_grant_and_is_cleared_afterwards)
{
  Fixture fixture;
  fixture.CrashOne();
  fixture.m_loop.RunFor(10s);
  std::vector<std::string> expected{
    "crash", "grant", "run_ended", "grant", "run_ended"
  };
  BOOST_TEST(fixture.m_calls == expected, boost::test_tools::per_element());
  BOOST_TEST(fixture.Prefills() == 2u);
  BOOST_TEST(fixture.Logged("outcome=answered"));
  BOOST_REQUIRE(fixture.m_batch.size() == 1u);
  BOOST_TEST((fixture.m_coordinatorPoison.StatusOf(fixture.m_batch[0],
                                                   fixture.m_loop.Now()) ==
              PoisonStatus::Clear));
}

BOOST_AUTO_TEST_CASE(own_records_decide_if_the_coordinator_does_not_answer)
{
  Fixture fixture;
  fixture.m_loop.Fake().m_unresponsive = { fixture.m_coordinator };
  fixture.CrashOne();
  fixture.m_loop.RunFor(15s);
  BOOST_TEST(fixture.Logged("event=coordinator_silent"));
  BOOST_TEST(fixture.Logged("outcome=answered"));
  BOOST_TEST(fixture.Prefills() == 2u);
}

BOOST_AUTO_TEST_CASE(
  own_records_decide_at_once_if_the_coordinator_is_unreachable)
{
  Fixture fixture;
  fixture.m_loop.Fake().m_answer = [](const HttpCall&) { return std::nullopt; };
  fixture.CrashOne();
  fixture.m_loop.RunFor(10s);
  BOOST_TEST(fixture.Logged("event=coordinator_failed"));
  BOOST_TEST(!fixture.Logged("event=coordinator_silent"));
  BOOST_TEST(fixture.Logged("outcome=answered"));
}

BOOST_AUTO_TEST_CASE(requests_that_are_no_suspects_need_no_call)
{
  Fixture fixture;
  fixture.m_loop.Fake().m_unresponsive = { fixture.m_coordinator };
  fixture.Chat();
  fixture.m_loop.RunFor(300ms);
  BOOST_TEST(fixture.Logged("outcome=answered"));
  BOOST_TEST(fixture.m_transcript.Text().find("/rpc") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(coordinator_itself_needs_no_call)
{
  Fixture fixture;
  fixture.m_worker.OnMessage(MembershipView{ { kSelf }, { kSelf } });
  fixture.CrashOne();
  fixture.m_loop.RunFor(10s);
  BOOST_TEST(fixture.Logged("outcome=answered"));
  BOOST_TEST(fixture.Prefills() == 2u);
  BOOST_TEST(fixture.m_calls.empty());
}

BOOST_AUTO_TEST_CASE(conviction_is_sent_to_all_listed_vms_at_once)
{
  Transcript transcript;
  FakeLoop loop(transcript);
  RecordingLog log;
  PoisonTracker poison{ PoisonOptions{} };
  SuspectCoordination suspects(poison, loop, log, kSelf, {});
  suspects.SetVms({ kSelf, "10.9.0.3:70", "10.9.0.4:70" }, { kSelf });
  std::vector<std::string> calledVms;
  loop.Fake().m_answer = [&](const HttpCall& aCall) {
    calledVms.push_back(aCall.m_address);
    RpcCall call = ParseRpcCall(aCall.m_body);
    PoisonTracker peerPoison{ PoisonOptions{} };
    SuspectCoordination peer(peerPoison, loop, log, aCall.m_address, {});
    Json::Value reply = peer.Serve(call.m_params);
    BOOST_TEST(
      (peerPoison.StatusOf("f", loop.Now()) == PoisonStatus::Convicted));
    return HttpReply{ 200, {}, RpcResultBody(call.m_id, reply) };
  };
  suspects.Serve(SuspectCall::Crash("e1", { "f", "g" }));
  loop.RunFor(10s);
  BOOST_TEST(calledVms.empty());
  suspects.Serve(SuspectCall::Crash("e2", { "f" }));
  loop.RunFor(1ms);
  BOOST_TEST(
    (calledVms == std::vector<std::string>{ "10.9.0.3:70", "10.9.0.4:70" }));
  BOOST_CHECK_THROW(suspects.Serve(Json::Value("x")), Error);
}
