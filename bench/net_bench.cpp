/// Measures the net library: events streamed by one loop, and request round
/// trips between two loops. Usage: net_bench [SECONDS]

#include "shallotford/net.h"

#include <sys/resource.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <thread>

using namespace shallotford;

namespace {

constexpr std::size_t kEventBytes = 56;
constexpr std::size_t kHighWater = 64u << 10;

/// Streams events without end, as fast as the reader takes them, or a number
/// of them every millisecond.
class EventSource : public HttpHandlerI
{
public:
  EventSource(LoopI& aLoop, int aPerTick)
    : m_loop(aLoop)
    , m_perTick(aPerTick)
    , m_event("data: " + std::string(kEventBytes - 8, 'x') + "\n\n")
  {
    if (m_perTick > 0) {
      Tick();
    }
  }

  void OnRequest(std::shared_ptr<HttpExchangeI> aExchange,
                 HttpRequest aRequest) override
  {
    if (aRequest.m_path == "/echo") {
      aExchange->Respond(200, {}, aRequest.m_body);
      return;
    }
    aExchange->Begin(200, { { "content-type", "text/event-stream" } });
    m_exchanges.push_back(aExchange);
    if (m_perTick == 0) {
      std::weak_ptr<HttpExchangeI> weak = aExchange;
      aExchange->OnDrained([this, weak] { Fill(weak.lock()); });
      Fill(aExchange);
    }
  }

private:
  void Fill(const std::shared_ptr<HttpExchangeI>& aExchange)
  {
    while (aExchange->Buffered() < kHighWater) {
      aExchange->Write(m_event);
    }
  }

  void Tick()
  {
    for (const auto& exchange : m_exchanges) {
      for (int i = 0; i < m_perTick; ++i) {
        exchange->Write(m_event);
      }
    }
    m_loop.RunAfter(std::chrono::milliseconds{ 1 }, [this] { Tick(); });
  }

  LoopI& m_loop;
  int m_perTick;
  std::string m_event;
  std::vector<std::shared_ptr<HttpExchangeI>> m_exchanges;
};

/// Counts the bytes of one stream.
class Counter : public HttpClientHandlerI
{
public:
  explicit Counter(std::atomic<std::uint64_t>& aBytes)
    : m_bytes(aBytes)
  {
  }
  void OnHeaders(int /*aStatus*/, const HttpHeaders& /*aHeaders*/) override {}
  void OnBody(std::string_view aBytes) override
  {
    m_bytes.fetch_add(aBytes.size(), std::memory_order_relaxed);
  }
  void OnEnd() override {}
  void OnFailure(const HttpFailure& aFailure) override
  {
    std::printf("failure: %s\n", aFailure.m_reason.c_str());
  }

private:
  std::atomic<std::uint64_t>& m_bytes;
};

/// One loop with its thread and the processor time that thread used.
struct Task
{
  std::unique_ptr<LoopI> m_loop = MakeLoop({ .m_name = "bench" });
  std::thread m_thread;

  void Start()
  {
    m_thread = std::thread([this] { m_loop->Run(); });
  }
  void Stop()
  {
    m_loop->Stop();
    m_thread.join();
  }
  double ProcessorSeconds()
  {
    clockid_t clock{};
    timespec used{};
    if (::pthread_getcpuclockid(m_thread.native_handle(), &clock) != 0 ||
        ::clock_gettime(clock, &used) != 0) {
      return 0;
    }
    return static_cast<double>(used.tv_sec) +
           static_cast<double>(used.tv_nsec) * 1e-9;
  }
};

void
BenchStreams(int aConnections, int aPerTick, std::chrono::seconds aTime)
{
  Task server;
  Task client;
  EventSource source(*server.m_loop, aPerTick);
  auto listener = server.m_loop->Listen({}, source);
  std::atomic<std::uint64_t> bytes{ 0 };
  auto counter = std::make_shared<Counter>(bytes);
  std::vector<std::unique_ptr<HttpClientCallI>> calls;
  client.m_loop->Post([&] {
    for (int i = 0; i < aConnections; ++i) {
      HttpCall call;
      call.m_address = "127.0.0.1:" + std::to_string(listener->Port());
      call.m_path = "/stream";
      calls.push_back(client.m_loop->Client().Fetch(call, counter));
    }
  });
  server.Start();
  client.Start();
  std::this_thread::sleep_for(std::chrono::milliseconds{ 500 });
  std::uint64_t start = bytes;
  double serverStart = server.ProcessorSeconds();
  double clientStart = client.ProcessorSeconds();
  std::this_thread::sleep_for(aTime);
  auto seconds = static_cast<double>(aTime.count());
  double events =
    static_cast<double>(bytes - start) / static_cast<double>(kEventBytes);
  double serverUse = server.ProcessorSeconds() - serverStart;
  double clientUse = client.ProcessorSeconds() - clientStart;
  client.Stop();
  server.Stop();
  std::printf("streams=%d per_tick=%d events_per_second=%.0f "
              "server_events_per_core_second=%.0f "
              "client_events_per_core_second=%.0f\n",
              aConnections,
              aPerTick,
              events / seconds,
              events / serverUse,
              events / clientUse);
}

/// Keeps one request under way, again and again.
class Asker
{
public:
  Asker(LoopI& aLoop, HttpCall aCall, std::atomic<std::uint64_t>& aDone)
    : m_loop(aLoop)
    , m_request(std::move(aCall))
    , m_done(aDone)
  {
    Ask();
  }

private:
  void Ask()
  {
    m_call =
      m_loop.Client().FetchWhole(m_request, [this](const HttpResult& aResult) {
        m_done += aResult.m_reply ? 1 : 0;
        m_loop.Post([this] { Ask(); });
      });
  }

  LoopI& m_loop;
  HttpCall m_request;
  std::atomic<std::uint64_t>& m_done;
  std::unique_ptr<HttpClientCallI> m_call;
};

void
BenchRoundTrips(int aAtOnce, std::chrono::seconds aTime)
{
  Task server;
  Task client;
  EventSource source(*server.m_loop, 0);
  auto listener = server.m_loop->Listen({}, source);
  std::atomic<std::uint64_t> done{ 0 };
  std::vector<std::unique_ptr<Asker>> askers;
  client.m_loop->Post([&] {
    HttpCall call;
    call.m_method = "POST";
    call.m_address = "127.0.0.1:" + std::to_string(listener->Port());
    call.m_path = "/echo";
    call.m_body = std::string(100, 'x');
    for (int i = 0; i < aAtOnce; ++i) {
      askers.push_back(std::make_unique<Asker>(*client.m_loop, call, done));
    }
  });
  server.Start();
  client.Start();
  std::this_thread::sleep_for(std::chrono::milliseconds{ 300 });
  std::uint64_t start = done;
  double serverStart = server.ProcessorSeconds();
  std::this_thread::sleep_for(aTime);
  auto seconds = static_cast<double>(aTime.count());
  auto trips = static_cast<double>(done - start);
  double serverUse = server.ProcessorSeconds() - serverStart;
  client.Stop();
  server.Stop();
  std::printf("at_once=%d round_trips_per_second=%.0f mean_us=%.0f "
              "server_requests_per_core_second=%.0f\n",
              aAtOnce,
              trips / seconds,
              1e6 * aAtOnce * seconds / trips,
              trips / serverUse);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::chrono::seconds time{ aCount > 1 ? std::atoi(aArguments[1]) : 3 };
  for (int connections : { 1, 20, 200, 1000 }) {
    BenchStreams(connections, 0, time);
  }
  for (int connections : { 20, 200 }) {
    BenchStreams(connections, 1, time);
  }
  for (int atOnce : { 1, 20, 200 }) {
    BenchRoundTrips(atOnce, time);
  }
  return 0;
}
