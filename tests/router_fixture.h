#ifndef SHALLOTFORD_TESTS_ROUTER_FIXTURE_H
#define SHALLOTFORD_TESTS_ROUTER_FIXTURE_H

/// Fixtures with a complete router, a store and upstream servers of the
/// platform's stand-ins, all on loopback.

#include "net_fixture.h"
#include "platform.h"
#include "standin_published.h"

namespace shallotford::test {

using standin::PublishedCall;
using standin::PublishedServer;
using standin::PublishedStore;
using standin::StoreFault;

/// Routes "/safe/", "/once/" of service "plain" and "/stream/", "/fixed/" of
/// service "model"; the first stream may be resumed.
inline std::string
ConfigText(std::uint64_t aVersion, const std::string& aMoreRoutes = "")
{
  return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" +
         R"({"name":"safe","host":"h","prefix":"/safe/","kind":"safe",)"
         R"("timeout-ms":4000,"target-latency-ms":200,"max-attempts":2,)"
         R"("service":"plain"},)"
         R"({"name":"once","host":"h","prefix":"/once/","kind":"unsafe",)"
         R"("timeout-ms":1500,"target-latency-ms":200,"max-attempts":1,)"
         R"("service":"plain"},)"
         R"({"name":"stream","host":"h","prefix":"/stream/",)"
         R"("kind":"streaming","timeout-ms":8000,"target-latency-ms":900,)"
         R"("max-attempts":2,"resumable":true,"service":"model"},)"
         R"({"name":"fixed","host":"h","prefix":"/fixed/",)"
         R"("kind":"streaming","timeout-ms":8000,"target-latency-ms":900,)"
         R"("max-attempts":1,"service":"model"})" +
         aMoreRoutes +
         R"(],"services":[{"name":"plain","max-connections":100},)"
         R"({"name":"model","max-connections":100,)"
         R"("engine":{"hold-ms":2000.0,"slots":128,"kv-tokens":50000,)"
         R"("role-switch-s":6.0}}],)"
         R"("limits":{"max-header-bytes":2048,"max-body-bytes":4096,)"
         R"("header-timeout-ms":300,"idle-timeout-ms":5000}})";
}

inline bool
Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

/// Returns event aNumber of a stream.
inline std::string
Event(int aNumber)
{
  std::string number = std::to_string(aNumber);
  return "id: " + number + "\ndata: token" + number + "\n\n";
}

/// One router, one store, and servers that a test adds.
class RouterFixture
{
public:
  explicit RouterFixture(const RouterOptions& aOptions = Options())
    : m_random(MakeSeededRandom(1))
    , m_decoder(platform::MakeDecoder())
    , m_dialect(platform::MakeDialect())
  {
    m_loop.Do([&] {
      m_store = std::make_unique<PublishedStore>(*m_loop);
      m_source = platform::MakeStoreSource(
        *m_loop, m_log, *m_random, { .m_address = m_store->Address() });
      m_router = MakeRouter(
        aOptions,
        { *m_loop, *m_source, *m_decoder, *m_dialect, m_log, *m_random });
    });
  }

  ~RouterFixture()
  {
    m_loop.Do([this] {
      m_router.reset();
      m_source.reset();
      m_servers.clear();
      m_store.reset();
    });
  }
  RouterFixture(const RouterFixture&) = delete;
  RouterFixture& operator=(const RouterFixture&) = delete;

  static RouterOptions Options()
  {
    return { .m_callerAddress = "127.0.0.1:0",
             .m_peerAddress = "127.0.0.1:0",
             .m_operatorAddress = "127.0.0.1:0",
             .m_relayAddress = "127.0.0.1:0",
             .m_location = { .m_failureDomain = "z1",
                             .m_regions = { { "z1", "r1" } } },
             .m_retryBudget = { .m_ratio = 10 } };
  }

  PublishedServer& AddServer(const std::string& aId,
                             const std::string& aService,
                             const std::string& aStage = "",
                             const std::string& aSoftware = "v1")
  {
    PublishedServer* added = m_loop.Do([&] {
      auto server = std::make_unique<PublishedServer>(*m_loop, aId);
      server->SetSoftwareVersion(aSoftware);
      m_store->Put("servers/" + aId, server->Entry(aService, aStage));
      m_servers.push_back(std::move(server));
      return m_servers.back().get();
    });
    return *added;
  }

  void Publish(const std::string& aConfig)
  {
    m_loop.Do([&] { m_store->Put("op/config", aConfig); });
  }

  /// Starts the router and waits until it is ready.
  void Start()
  {
    m_loop.Do([this] { m_router->Start(); });
    WaitFor([this] { return Ready() == 200; });
  }

  int Ready()
  {
    HttpResult result = FetchAndWait(
      m_loop,
      { .m_address = "127.0.0.1:" + std::to_string(m_router->OperatorPort()),
        .m_path = "/readyz" });
    return result.m_reply ? result.m_reply->m_status : 0;
  }

  /// Waits, up to twenty seconds, until aCondition holds.
  static bool WaitFor(const std::function<bool()>& aCondition)
  {
    constexpr int kRounds = 2'000;
    for (int i = 0; i < kRounds; ++i) {
      if (aCondition()) {
        return true;
      }
      std::this_thread::sleep_for(10ms);
    }
    return false;
  }

  std::uint16_t Port() { return m_router->CallerPort(); }

  static std::string Request(const std::string& aPath,
                             const std::string& aId,
                             const std::string& aBody = "body",
                             const std::string& aFields = "")
  {
    return "POST " + aPath + " HTTP/1.1\r\nHost: h\r\n" +
           "X-Shallotford-Request-Id: " + aId + "\r\n" +
           "X-Shallotford-Deadline-Ms: 6000\r\n" + aFields +
           "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
           aBody;
  }

  /// Sends one request on a connection of its own and returns the whole
  /// answer, head included.
  std::string Ask(const std::string& aPath,
                  const std::string& aId,
                  const std::string& aFields = "")
  {
    RawSocket socket(Port());
    socket.Send(Request(aPath, aId, "body", "Connection: close\r\n" + aFields));
    return socket.ReadToEnd();
  }

  /// Returns the text of the metrics page.
  std::string Metrics()
  {
    HttpResult result = FetchAndWait(
      m_loop,
      { .m_address = "127.0.0.1:" + std::to_string(m_router->OperatorPort()),
        .m_path = "/metrics" });
    return result.m_reply ? result.m_reply->m_body : "";
  }

  /// Returns how many lines of the log hold aPart.
  std::size_t CountLogLines(const std::string& aPart)
  {
    return m_loop.Do([&] {
      const auto& lines = m_log.Lines();
      return static_cast<std::size_t>(
        std::count_if(lines.begin(), lines.end(), [&](const auto& aLine) {
          return Has(aLine, aPart);
        }));
    });
  }

  int Runs(PublishedServer& aServer, const std::string& aId)
  {
    return m_loop.Do([&] {
      auto found = aServer.Runs().find(aId);
      return found == aServer.Runs().end() ? 0 : found->second;
    });
  }

  LoopThread m_loop;
  MemoryLog m_log;
  std::unique_ptr<RandomI> m_random;
  std::unique_ptr<DirectoryDecoderI> m_decoder;
  std::unique_ptr<DialectI> m_dialect;
  std::unique_ptr<PublishedStore> m_store;
  std::unique_ptr<DirectorySourceI> m_source;
  std::vector<std::unique_ptr<PublishedServer>> m_servers;
  std::unique_ptr<RouterI> m_router;
};

/// A second router on a fixture's loop, with the same store or its own.
class OtherVm
{
public:
  OtherVm(RouterFixture& aFixture,
          const RouterOptions& aOptions,
          const std::string& aStoreAddress)
    : m_fixture(aFixture)
  {
    m_fixture.m_loop.Do([&] {
      m_source = platform::MakeStoreSource(
        *m_fixture.m_loop,
        m_fixture.m_log,
        *m_fixture.m_random,
        { .m_address = aStoreAddress, .m_history = 20'000ms });
      m_router = MakeRouter(aOptions,
                            { *m_fixture.m_loop,
                              *m_source,
                              *m_fixture.m_decoder,
                              *m_fixture.m_dialect,
                              m_fixture.m_log,
                              *m_fixture.m_random });
      m_router->Start();
    });
  }
  ~OtherVm()
  {
    m_fixture.m_loop.Do([this] {
      m_router.reset();
      m_source.reset();
    });
  }
  OtherVm(const OtherVm&) = delete;
  OtherVm& operator=(const OtherVm&) = delete;

  std::uint16_t Port() { return m_router->CallerPort(); }
  std::uint16_t PeerPort() { return m_router->PeerPort(); }
  void Reload(const RouterOptions& aOptions)
  {
    m_fixture.m_loop.Do([&] { m_router->Reload(aOptions); });
  }

private:
  RouterFixture& m_fixture;
  std::unique_ptr<DirectorySourceI> m_source;
  std::unique_ptr<RouterI> m_router;
};

/// A router with two upstreams of service "plain".
struct Plain : RouterFixture
{
  explicit Plain(const RouterOptions& aOptions = Options())
    : RouterFixture(aOptions)
  {
    Publish(ConfigText(1));
    m_a = &AddServer("i-a", "plain");
    m_b = &AddServer("i-b", "plain");
    Start();
    WaitFor([this] { return Knows(2); });
  }
  /// Returns whether the router knows exactly this number of upstreams.
  bool Knows(std::size_t aUpstreams)
  {
    return Has(Metrics(),
               "shallotford_upstreams " + std::to_string(aUpstreams) + "\n");
  }
  void ScriptBoth(const PublishedServer::Script& aScript)
  {
    m_loop.Do([&] {
      m_a->SetScript(aScript);
      m_b->SetScript(aScript);
    });
  }
  int AllRuns(const std::string& aId)
  {
    return Runs(*m_a, aId) + Runs(*m_b, aId);
  }
  PublishedServer* m_a;
  PublishedServer* m_b;
  int m_broken{ 0 };                     ///< on the loop's thread
  std::vector<CallerExchangePtr> m_held; ///< on the loop's thread
};

} // namespace shallotford::test

#endif // SHALLOTFORD_TESTS_ROUTER_FIXTURE_H
