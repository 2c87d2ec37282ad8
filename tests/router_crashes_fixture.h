#ifndef SHALLOTFORD_TESTS_ROUTER_CRASHES_FIXTURE_H
#define SHALLOTFORD_TESTS_ROUTER_CRASHES_FIXTURE_H

/// Engines that some requests crash, and two VMs that learn of it.

#include "config.h"
#include "router_fixture.h"

namespace shallotford::test {

inline constexpr const char* kBadPart = "bad";
inline constexpr const char* kBadTarget = "/stream/bad";
inline constexpr const char* kRejectedTarget = "/stream/rejected";
/// Streams of such paths go on until their engine is killed or the test ends
/// them.
inline constexpr const char* kHeldPath = "/held";
inline constexpr int kEngines = 30;
/// A route of streams that may be resumed often.
inline constexpr const char* kLongRoute =
  R"(,{"name":"long","host":"h","prefix":"/long/",)"
  R"("kind":"streaming","timeout-ms":60000,"target-latency-ms":900,)"
  R"("max-attempts":9,"resumable":true,"service":"model"})";

/// How far an engine gets with a request that crashes it.
enum class CrashPoint
{
  BeforeFirstEvent,
  AfterFirstEvent,
  InsideSecondEvent,
  AfterLaterEvent, ///< when the run isn't only starting any more
};

/// Many decode engines, of which each that begins an answer on kBadPart
/// crashes, and two VMs that know each other.
struct CrashingEngines : RouterFixture
{
  CrashingEngines()
  {
    Publish(ConfigText(1, kLongRoute));
    AddServer("i-s", "plain");
    AddServer("i-p", "model", "prefill");
    for (int i = 0; i < kEngines; ++i) {
      PublishedServer& engine =
        AddServer("i-d" + std::to_string(i), "model", "decode");
      m_loop.Do([&] {
        engine.SetScript([this, &engine](const PublishedCall& aCall) {
          return OnCall(engine, aCall);
        });
      });
    }
    Start();
    RouterOptions options = Options();
    options.m_seeds = { "127.0.0.1:" + std::to_string(m_router->PeerPort()) };
    m_other.emplace(*this, options, m_store->Address());
    options.m_seeds = { "127.0.0.1:" + std::to_string(m_other->PeerPort()) };
    m_loop.Do([&] { m_router->Reload(options); });
    for (std::uint16_t port : { Port(), m_other->Port() }) {
      BOOST_TEST(WaitFor([&] {
        return AskAt(port, "/stream/x", "5e,1")
          .starts_with("HTTP/1.1 200 OK\r\n");
      }));
    }
  }

  ~CrashingEngines()
  {
    m_loop.Do([this] {
      for (const auto& server : m_servers) {
        server->SetScript({});
      }
      m_held.clear();
    });
  }
  CrashingEngines(const CrashingEngines&) = delete;
  CrashingEngines& operator=(const CrashingEngines&) = delete;

  /// Runs on the loop's thread.
  bool OnCall(PublishedServer& aEngine, const PublishedCall& aCall)
  {
    if (m_crashed.contains(&aEngine)) {
      aCall.m_exchange->Abort();
      return true;
    }
    const RequestHead& head = aCall.m_request.m_head;
    if (aCall.m_reserve || aCall.m_prefill || head.m_method == "DELETE") {
      return false;
    }
    if (head.m_target == kRejectedTarget) {
      aCall.m_exchange->Respond(
        400, "Bad Request", PublishedServer::SignedFields(aCall), "no");
      return true;
    }
    aEngine.BeginStream(aCall);
    const std::string* parts =
      FindField(head.m_fields, "X-Shallotford-Prompt-Prefix");
    bool crashes =
      Has(head.m_target, "/bad") || (parts != nullptr && Has(*parts, kBadPart));
    if (crashes) {
      Crash(aEngine, aCall.m_exchange);
      return true;
    }
    if (Has(head.m_target, kHeldPath)) {
      Hold(aEngine, aCall);
      return true;
    }
    aCall.m_exchange->Write(Event(1));
    aCall.m_exchange->End();
    return true;
  }

  /// Runs on the loop's thread.
  void Crash(PublishedServer& aEngine, const CallerExchangePtr& aExchange)
  {
    bool isEarly = m_takesTurns && m_crashed.size() % 2 == 0;
    CrashPoint point = isEarly ? CrashPoint::BeforeFirstEvent : m_point;
    m_crashed.insert(&aEngine);
    if (point == CrashPoint::BeforeFirstEvent) {
      aExchange->Abort();
      return;
    }
    aExchange->Write(Event(1));
    auto delay = 50ms; // in which the event leaves
    if (point == CrashPoint::InsideSecondEvent) {
      aExchange->Write("id: 2\ndata: to");
    } else if (point == CrashPoint::AfterLaterEvent) {
      delay += kRunStartTime;
      m_loop->RunAfter(kRunStartTime,
                       [aExchange] { aExchange->Write(Event(2)); });
    }
    m_loop->RunAfter(delay, [aExchange] { aExchange->Abort(); });
  }

  /// Runs on the loop's thread.
  void Hold(PublishedServer& aEngine, const PublishedCall& aCall)
  {
    const std::string* last =
      FindField(aCall.m_request.m_head.m_fields, "Last-Event-Id");
    m_held.push_back({ .m_engine = &aEngine,
                       .m_exchange = aCall.m_exchange,
                       .m_events = last == nullptr ? 0 : std::stoi(*last) });
    m_held.back().WriteEvent();
  }

  /// Lets the held streams go on for a time.
  void GoOn(std::chrono::milliseconds aTime)
  {
    constexpr std::chrono::milliseconds kPause = 50ms;
    for (std::chrono::milliseconds time{}; time < aTime; time += kPause) {
      std::this_thread::sleep_for(kPause);
      m_loop.Do([this] {
        for (HeldStream& stream : m_held) {
          stream.WriteEvent();
        }
      });
    }
  }
  bool WaitForHeld(std::size_t aStreams)
  {
    return WaitFor(
      [&] { return m_loop.Do([&] { return m_held.size() == aStreams; }); });
  }
  /// Kills the engines of the oldest held streams, all at one moment.
  void KillEngines(std::size_t aEngines)
  {
    m_loop.Do([&] {
      std::set<PublishedServer*> killed;
      for (const HeldStream& stream : m_held) {
        if (killed.size() < aEngines) {
          killed.insert(stream.m_engine);
        }
      }
      m_crashed.insert(killed.begin(), killed.end());
      std::erase_if(m_held, [&killed](const HeldStream& aStream) {
        bool isKilled = killed.contains(aStream.m_engine);
        if (isKilled) {
          aStream.m_exchange->Abort();
        }
        return isKilled;
      });
    });
  }
  /// Begins streams that are held, with one part in their prompts, by turns at
  /// both VMs.
  void BeginHeld(std::size_t aStreams, const std::string& aPart)
  {
    for (std::size_t i = 0; i < aStreams; ++i) {
      auto caller = std::make_unique<RawSocket>(AnyPort());
      caller->Send(PromptRequest("/long/held", aPart + ",01"));
      m_callers.push_back(std::move(caller));
    }
    BOOST_TEST_REQUIRE(WaitForHeld(aStreams));
  }
  /// Returns the port of one VM and the other by turns.
  std::uint16_t AnyPort()
  {
    m_isOthersTurn = !m_isOthersTurn;
    return m_isOthersTurn ? m_other->Port() : Port();
  }

  /// Returns a request whose prompt has aParts, ids separated by commas.
  std::string PromptRequest(const std::string& aPath, const std::string& aParts)
  {
    std::string id = "r" + std::to_string(++m_lastId);
    std::string field;
    for (char c : aParts + ",") {
      field += c == ',' ? ":7," : std::string(1, c);
    }
    field.pop_back();
    return Request(
      aPath,
      id,
      "body " + id,
      "Connection: close\r\nX-Shallotford-Prompt-Prefix: " + field + "\r\n");
  }
  std::string AskAt(std::uint16_t aPort,
                    const std::string& aPath,
                    const std::string& aParts)
  {
    RawSocket socket(aPort);
    socket.Send(PromptRequest(aPath, aParts));
    return socket.ReadToEnd();
  }
  /// Sends the same request each time, but for its id, by turns to both VMs.
  std::string AskEqual(const std::string& aPath)
  {
    RawSocket socket(AnyPort());
    std::string id = "e" + std::to_string(++m_lastId);
    socket.Send(Request(aPath, id, "same", "Connection: close\r\n"));
    return socket.ReadToEnd();
  }

  /// Sends a request with kBadPart among parts that only some requests share.
  std::string AskBad(std::uint16_t aPort)
  {
    std::string number = std::to_string(m_lastId);
    return AskAt(aPort, "/stream/x", "aa,bad,c" + number);
  }

  /// Lets both VMs receive requests with kBadPart until five engines crashed or
  /// none crashes any more.
  void CrashFive()
  {
    for (int i = 0; i < 10 && Crashes() < 5; ++i) {
      AskBad(i % 2 == 0 ? Port() : m_other->Port());
    }
  }

  /// Returns how often a VM has learned what to refuse.
  std::size_t Convictions() { return CountLogLines("event=crash_conviction"); }

  std::size_t Crashes()
  {
    return m_loop.Do([this] { return m_crashed.size(); });
  }

  /// Returns how often a prefill or decode engine received a request with
  /// kBadPart.
  std::size_t SendsOfBadPart()
  {
    return m_loop.Do([this] {
      std::size_t sends = 0;
      for (const auto& server : m_servers) {
        for (const CallerRequest& request : server->Received()) {
          const std::string* parts =
            FindField(request.m_head.m_fields, "X-Shallotford-Prompt-Prefix");
          sends += parts != nullptr && Has(*parts, kBadPart) ? 1 : 0;
        }
      }
      return sends;
    });
  }

  struct HeldStream
  {
    PublishedServer* m_engine;
    CallerExchangePtr m_exchange;
    int m_events; ///< written so far, by all its engines

    void WriteEvent() { m_exchange->Write(Event(++m_events)); }
  };

  std::optional<OtherVm> m_other;
  bool m_isOthersTurn{ false };
  std::vector<std::unique_ptr<RawSocket>> m_callers;
  // On the loop's thread.
  CrashPoint m_point{ CrashPoint::BeforeFirstEvent };
  bool m_takesTurns{ false }; ///< each other crash is before the first event
  std::vector<HeldStream> m_held;
  std::set<PublishedServer*> m_crashed;
  int m_lastId{ 0 };
};

} // namespace shallotford::test

#endif // SHALLOTFORD_TESTS_ROUTER_CRASHES_FIXTURE_H
