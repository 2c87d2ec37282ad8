/// Tests of sound upstreams that send nothing for a time and then go on, all of
/// a service at once or one of them.

#define BOOST_TEST_MODULE router_silence
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "router_fixture.h"

#include <algorithm>
#include <future>

using namespace shallotford;
using namespace shallotford::test;

namespace {

/// A repeatable route that allows more attempts than there are upstreams, and a
/// route of streams that outlast WaitFor().
constexpr const char* kMoreRoutes =
  R"(,{"name":"wide","host":"h","prefix":"/wide/","kind":"safe",)"
  R"("timeout-ms":6000,"target-latency-ms":200,"max-attempts":3,)"
  R"("service":"plain"},)"
  R"({"name":"long","host":"h","prefix":"/long/",)"
  R"("kind":"streaming","timeout-ms":60000,"target-latency-ms":900,)"
  R"("max-attempts":2,"resumable":true,"service":"model"})";

/// Two plain upstreams and two engines, which can all be silent: they take
/// requests and answer them once they go on.
struct Silence : Plain
{
  Silence()
  {
    Publish(ConfigText(2, kMoreRoutes));
    for (const std::string id : { "i-1", "i-2" }) {
      m_engines.push_back(&AddServer(id, "model", "decode"));
    }
    WaitFor([this] { return Knows(4); });
    m_loop.Do([this] {
      for (PublishedServer* server : { m_a, m_b }) {
        server->SetScript([this, server](const PublishedCall& aCall) {
          return m_silent.contains(server) && Keep(*server, aCall);
        });
      }
      for (PublishedServer* engine : m_engines) {
        engine->SetScript([this, engine](const PublishedCall& aCall) {
          return OnEngineCall(*engine, aCall);
        });
      }
    });
  }

  ~Silence()
  {
    m_loop.Do([this] {
      m_kept.clear();
      m_paused.clear();
      for (const auto& server : m_servers) {
        server->SetScript({});
      }
    });
  }
  Silence(const Silence&) = delete;
  Silence& operator=(const Silence&) = delete;

  // On the loop's thread.

  bool Keep(PublishedServer& aServer, const PublishedCall& aCall)
  {
    m_kept.emplace_back(&aServer, aCall);
    return true;
  }

  bool OnEngineCall(PublishedServer& aEngine, const PublishedCall& aCall)
  {
    if (m_silent.contains(&aEngine)) {
      return Keep(aEngine, aCall);
    }
    if (aCall.m_reserve || aCall.m_request.m_head.m_method == "DELETE") {
      return false;
    }
    Stream(aEngine, aCall);
    return true;
  }

  /// Streams event 1 and pauses, or event 2 and the end.
  void Stream(PublishedServer& aEngine, const PublishedCall& aCall)
  {
    bool resumed =
      FindField(aCall.m_request.m_head.m_fields, "Last-Event-Id") != nullptr;
    aEngine.BeginStream(aCall);
    aCall.m_exchange->Write(Event(resumed ? 2 : 1));
    if (resumed) {
      aCall.m_exchange->End();
      return;
    }
    m_paused.emplace_back(&aEngine, aCall.m_exchange);
    aCall.m_exchange->OnClosed([this] { ++m_closed; });
  }

  // On the test's thread.

  void SetSilent(const std::vector<PublishedServer*>& aServers)
  {
    m_loop.Do([&] { m_silent.insert(aServers.begin(), aServers.end()); });
  }
  std::vector<PublishedServer*> All()
  {
    return { m_a, m_b, m_engines[0], m_engines[1] };
  }

  /// All upstreams go on with what they have.
  void GoOn()
  {
    m_loop.Do([this] {
      m_silent.clear();
      for (auto& [engine, exchange] : std::exchange(m_paused, {})) {
        exchange->Write(Event(2));
        exchange->End();
      }
      for (auto& [server, call] : std::exchange(m_kept, {})) {
        bool isRun = server != m_a && server != m_b && !call.m_reserve &&
                     call.m_request.m_head.m_method != "DELETE";
        if (isRun) {
          Stream(*server, call);
        } else {
          server->AnswerNormally(call);
        }
      }
    });
  }

  std::future<std::string> AskLater(const std::string& aPath,
                                    const std::string& aId)
  {
    return std::async(std::launch::async,
                      [this, aPath, aId] { return Ask(aPath, aId); });
  }

  /// Asks for a stream of route "long" with that route's time.
  std::future<std::string> AskLong(const std::string& aId)
  {
    const std::string shorter = "Deadline-Ms: 6000\r\n";
    std::string request =
      Request("/long/x", aId, "body", "Connection: close\r\n");
    request.replace(
      request.find(shorter), shorter.size(), "Deadline-Ms: 60000\r\n");
    return std::async(std::launch::async, [this, request] {
      RawSocket socket(Port());
      socket.Send(request);
      return socket.ReadToEnd();
    });
  }

  /// Returns whether one line of the log holds all parts.
  bool HasLogLine(const std::vector<std::string>& aParts)
  {
    auto hasAll = [&](const std::string& aLine) {
      return std::all_of(
        aParts.begin(), aParts.end(), [&](const std::string& aPart) {
          return Has(aLine, aPart);
        });
    };
    return m_loop.Do([&] {
      const auto& lines = m_log.Lines();
      return std::any_of(lines.begin(), lines.end(), hasAll);
    });
  }

  bool IsPaused(std::size_t aStreams)
  {
    return WaitFor(
      [&] { return m_loop.Do([&] { return m_paused.size() == aStreams; }); });
  }

  int AllEngineRuns(const std::string& aId)
  {
    return Runs(*m_engines[0], aId) + Runs(*m_engines[1], aId);
  }

  std::vector<PublishedServer*> m_engines;
  std::set<PublishedServer*> m_silent; ///< on the loop's thread
  std::vector<std::pair<PublishedServer*, PublishedCall>> m_kept;
  std::vector<std::pair<PublishedServer*, CallerExchangePtr>> m_paused;
  int m_closed{ 0 }; ///< paused streams that the router closed
};

bool
IsWhole(const std::string& aAnswer)
{
  return aAnswer.starts_with("HTTP/1.1 200 ") && Has(aAnswer, Event(1)) &&
         Has(aAnswer, Event(2)) && aAnswer.ends_with("0\r\n\r\n");
}

} // namespace

/// Streams were cut when all engines of a service were silent at once.
BOOST_FIXTURE_TEST_CASE(a_stream_outlasts_the_silence_of_all_engines, Silence)
{
  auto answer = AskLater("/stream/x", "s");
  BOOST_TEST(IsPaused(1));
  SetSilent(All());
  // Longer than a pause after which another engine is looked for, and longer
  // than the configuration that dropped the route takes.
  Publish(ConfigText(3));
  std::this_thread::sleep_for(kMaxStreamPause + kSilenceSearchPeriod +
                              2 * kReserveTimeout + 300ms);
  BOOST_TEST(CountLogLines("event=attempt_silent") > 0u);
  GoOn();
  BOOST_TEST(IsWhole(answer.get()));
  BOOST_TEST(AllEngineRuns("s") == 1);
}

/// A stream was cut if another VM, which it was passed to, refused it.
BOOST_FIXTURE_TEST_CASE(a_stream_outlasts_the_refusal_of_another_vm, Silence)
{
  RouterOptions options = Options();
  options.m_seeds = { "127.0.0.1:" + std::to_string(m_router->PeerPort()) };
  OtherVm other(*this, options, m_store->Address());
  options.m_seeds = { "127.0.0.1:" + std::to_string(other.PeerPort()) };
  m_loop.Do([&] { m_router->Reload(options); });
  auto isServedByOther = [&other] {
    RawSocket socket(other.Port());
    socket.Send(Request("/safe/x", "o", "body", "Connection: close\r\n"));
    return socket.ReadToEnd().starts_with("HTTP/1.1 200 ");
  };
  BOOST_TEST(WaitFor(isServedByOther));
  constexpr std::size_t kBegun = 6;
  std::vector<std::future<std::string>> answers;
  for (std::size_t i = 0; i < kBegun; ++i) {
    answers.push_back(AskLong("s" + std::to_string(i)));
  }
  BOOST_TEST(IsPaused(kBegun));
  SetSilent(m_engines);
  // The links of both VMs to the engines count as cut, so each one refuses what
  // the other one passes on.
  std::vector<std::unique_ptr<RawSocket>> more;
  for (int i = 0; i < 4; ++i) {
    more.push_back(
      std::make_unique<RawSocket>(i % 2 == 0 ? Port() : other.Port()));
    more.back()->Send(Request("/stream/x", "p" + std::to_string(i)));
  }
  BOOST_TEST(WaitFor(
    [this] { return CountLogLines("event=links_cut service=model") == 2; }));
  auto areRefused = [this] {
    for (std::size_t i = 0; i < kBegun; ++i) {
      std::string request = "request=s" + std::to_string(i) + " ";
      bool isRefused =
        HasLogLine({ "event=attempt_silent", request, "phase=run" }) &&
        HasLogLine({ request, "phase=relay", "end=refused" });
      if (!isRefused) {
        return false;
      }
    }
    return true;
  };
  // A VM that reaches no service doesn't offer to pass requests on, so the
  // other one has to reach service "plain" until each stream was passed to it.
  BOOST_TEST(WaitFor([&] { return isServedByOther() && areRefused(); }));
  GoOn();
  for (std::size_t i = 0; i < kBegun; ++i) {
    BOOST_TEST(IsWhole(answers[i].get()));
    BOOST_TEST(AllEngineRuns("s" + std::to_string(i)) == 1);
  }
}

BOOST_FIXTURE_TEST_CASE(a_stream_leaves_an_engine_that_alone_is_silent, Silence)
{
  auto answer = AskLater("/stream/x", "s");
  BOOST_TEST(IsPaused(1));
  SetSilent({ m_loop.Do([this] { return m_paused[0].first; }) });
  BOOST_TEST(IsWhole(answer.get()));
  BOOST_TEST(AllEngineRuns("s") == 2);
  // The silent engine must not go on with the same stream.
  BOOST_TEST(
    WaitFor([this] { return m_loop.Do([&] { return m_closed; }) == 1; }));
}

/// A new stream was refused though the engines had gone on in time.
BOOST_FIXTURE_TEST_CASE(a_stream_begins_once_its_engines_go_on, Silence)
{
  SetSilent(All());
  auto answer = AskLater("/stream/x", "s");
  std::this_thread::sleep_for(1'200ms);
  GoOn();
  BOOST_TEST(IsPaused(1));
  GoOn();
  BOOST_TEST(IsWhole(answer.get()));
  BOOST_TEST(AllEngineRuns("s") == 1);
}

/// A plain request ended as 502 once each upstream had been silent for 250 ms.
BOOST_FIXTURE_TEST_CASE(a_request_outlasts_the_silence_of_all_upstreams,
                        Silence)
{
  SetSilent(All());
  std::vector<std::future<std::string>> answers;
  for (int i = 0; i < 4; ++i) {
    answers.push_back(AskLater("/wide/x", "w" + std::to_string(i)));
    answers.push_back(AskLater("/safe/x", "s" + std::to_string(i)));
  }
  std::this_thread::sleep_for(700ms);
  // The configuration drops the route of requests that are under way.
  Publish(ConfigText(3));
  std::this_thread::sleep_for(500ms);
  GoOn();
  for (auto& answer : answers) {
    BOOST_TEST(answer.get().starts_with("HTTP/1.1 200 "));
  }
}

/// The silence of sound upstreams was taken for crashes under the requests.
BOOST_FIXTURE_TEST_CASE(silence_of_sound_upstreams_is_no_crash, Silence)
{
  SetSilent(All());
  auto unsafe = AskLater("/once/x", "o");
  auto safe = AskLater("/safe/x", "s");
  BOOST_TEST(unsafe.get().starts_with("HTTP/1.1 504 "));
  GoOn();
  BOOST_TEST(safe.get().starts_with("HTTP/1.1 200 "));
  for (int i = 0; i < 8; ++i) {
    Ask("/safe/x", "t" + std::to_string(i));
  }
  std::this_thread::sleep_for(kMaxSoundSilence);
  BOOST_TEST(CountLogLines("event=upstream_crash") == 0u);
}

/// Without an event's id a stream can't go on elsewhere, so its engine is
/// waited for.
BOOST_FIXTURE_TEST_CASE(a_stream_that_cannot_be_resumed_stays, Silence)
{
  m_loop.Do([this] {
    for (PublishedServer* engine : m_engines) {
      engine->SetScript([this, engine](const PublishedCall& aCall) {
        if (aCall.m_reserve || aCall.m_request.m_head.m_method == "DELETE") {
          return false;
        }
        engine->BeginStream(aCall);
        aCall.m_exchange->Write(": no id\n\n");
        m_paused.emplace_back(engine, aCall.m_exchange);
        return true;
      });
    }
  });
  auto answer = AskLater("/stream/x", "s");
  BOOST_TEST(IsPaused(1));
  std::this_thread::sleep_for(kMaxStreamPause + kSilenceSearchPeriod);
  GoOn();
  BOOST_TEST(Has(answer.get(), Event(2)));
  BOOST_TEST(AllEngineRuns("s") == 1);
}

/// The first answer counts, and only one reaches the caller.
BOOST_FIXTURE_TEST_CASE(a_silent_upstream_that_goes_on_first_is_heard, Silence)
{
  SetSilent(All());
  RawSocket socket(Port());
  socket.Send(Request("/safe/x", "s", "body", "Connection: close\r\n"));
  // Both upstreams have the request; the first one goes on.
  BOOST_TEST(WaitFor(
    [this] { return m_loop.Do([this] { return m_kept.size(); }) == 2; }));
  std::string first = m_loop.Do([this] {
    auto [server, call] = m_kept.front();
    server->AnswerNormally(call);
    return server->Id();
  });
  std::string answer = socket.ReadToEnd();
  BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
  BOOST_TEST(answer.ends_with(first + " body"));
}

BOOST_FIXTURE_TEST_CASE(upstreams_that_stay_silent_are_given_up_in_time,
                        Silence)
{
  SetSilent(All());
  BOOST_TEST(Ask("/safe/x", "s").starts_with("HTTP/1.1 504 "));
  BOOST_TEST(Ask("/stream/x", "t").starts_with("HTTP/1.1 503 "));
}

BOOST_FIXTURE_TEST_CASE(silent_calls_end_when_their_caller_leaves, Silence)
{
  auto socket = std::make_unique<RawSocket>(Port());
  socket->Send(Request("/stream/x", "s"));
  BOOST_TEST(IsPaused(1));
  SetSilent(All());
  BOOST_TEST(
    WaitFor([this] { return CountLogLines("event=attempt_silent") > 0; }));
  socket.reset();
  BOOST_TEST(
    WaitFor([this] { return m_loop.Do([&] { return m_closed; }) == 1; }));
}
