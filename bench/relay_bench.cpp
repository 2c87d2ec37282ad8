/// Measures what the daemon adds to a request, and the tokens that one core of
/// it relays. Usage: relay_bench DAEMON PREFILL DECODE DAEMON_PID

#include "daemon_engine.h"
#include "daemon_token_stream.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

constexpr int kWarmUp = 200;
constexpr int kRequests = 2'000;
constexpr std::size_t kFreeingKept = 64;
constexpr int kStreams = 40;
constexpr std::uint32_t kStreamTokens = 4'000;
/// Bounds of the design: time added at the median and at the 99th percentile,
/// and tokens relayed by one core.
constexpr double kMaxAddedP50 = 300;
constexpr double kMaxAddedP99 = 2'000;
constexpr double kMinTokensPerCore = 100'000;

/// User and system time of a process.
std::chrono::duration<double>
CpuTime(const std::string& aPid)
{
  std::ifstream file("/proc/" + aPid + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  constexpr int kFieldsBeforeUserTime = 11;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return std::chrono::duration<double>(
    (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)));
}

std::string
ChatBody(std::uint32_t aTokens)
{
  Json::Value body(Json::objectValue);
  body["model"] = "draft-1";
  body["stream"] = true;
  body["max_tokens"] = aTokens;
  body["prompt"] = "read this thread and say what is left to do";
  return WriteJson(body);
}

/// Counts events of one stream and tells of the first and the end.
class StreamProbe : public HttpClientHandlerI
{
public:
  explicit StreamProbe(std::function<void(bool)> aDone)
    : m_done(std::move(aDone))
  {
  }
  void OnHeaders(int aStatus, const HttpHeaders&) override
  {
    m_status = aStatus;
  }
  void OnBody(std::string_view aBytes) override
  {
    m_parser.Feed(aBytes, [this](const ServerSentEvent& aEvent) {
      m_tokens += aEvent.m_id.empty() ? 0 : 1;
      m_whole = m_whole || aEvent.m_data == "[DONE]";
    });
  }
  void OnEnd() override { m_done(m_status == 200 && m_whole); }
  void OnFailure(const HttpFailure&) override { m_done(false); }
  std::uint64_t Tokens() const { return m_tokens; }

private:
  std::function<void(bool)> m_done;
  EventStreamParser m_parser;
  int m_status{ 0 };
  bool m_whole{ false };
  std::uint64_t m_tokens{ 0 };
};

/// Ends the bench's own stream at the engine.
class DirectSink : public TokenSinkI
{
public:
  explicit DirectSink(std::function<void(bool)> aDone)
    : m_done(std::move(aDone))
  {
  }
  void OnToken(TokenEvent) override {}
  void OnFinished(std::string, std::uint64_t) override { m_done(true); }
  void OnSuperseded() override { m_done(false); }
  void OnError(EngineError) override { m_done(false); }

private:
  std::function<void(bool)> m_done;
};

/// Sends requests one after the other, by turns straight to the engines and
/// through the daemon, so that both meet the same machine.
class LatencyRun
{
public:
  LatencyRun(LoopI& aLoop,
             std::string aDaemon,
             std::string aPrefill,
             std::string aDecode)
    : m_loop(aLoop)
    , m_engine(MakeHttpEngine(aLoop.Client()))
    , m_daemon(std::move(aDaemon))
    , m_prefill(std::move(aPrefill))
    , m_decode(std::move(aDecode))
  {
  }

  void Start() { Next(); }
  const std::vector<double>& Direct() const { return m_direct; }
  const std::vector<double>& Through() const { return m_through; }
  int Failed() const { return m_failed; }

private:
  void Next()
  {
    m_calls.clear();
    if (m_sent == 2 * (kWarmUp + kRequests)) {
      m_loop.Stop();
      return;
    }
    m_started = m_loop.Now();
    if (m_sent++ % 2 == 0) {
      SendDirect();
    } else {
      SendThrough();
    }
  }

  void DoneDirect(bool aWhole)
  {
    // The daemon's sweeper does not know this program and may cancel what it
    // finds of it at the engine; such a request is simply sent again.
    if (!aWhole) {
      m_sent -= 1;
      m_loop.Post([this] { Next(); });
      return;
    }
    // The daemon frees what its requests held in the same way.
    for (const std::string& engine : { m_prefill, m_decode }) {
      m_freeing.push_back(m_engine->Cancel(
        engine, ToString(m_stream), [](const EngineResult<std::monostate>&) {
        }));
    }
    if (m_freeing.size() > kFreeingKept) {
      m_freeing.erase(m_freeing.begin(), m_freeing.begin() + kFreeingKept / 2);
    }
    Done(m_direct, true);
  }

  void Done(std::vector<double>& aTimes, bool aWhole)
  {
    std::chrono::duration<double, std::micro> taken = m_loop.Now() - m_started;
    m_failed += aWhole ? 0 : 1;
    if (m_sent > 2 * kWarmUp) {
      aTimes.push_back(taken.count());
    }
    m_loop.Post([this] { Next(); });
  }

  /// The same calls as the daemon makes: claim and prefill at once, pull,
  /// decode.
  void SendDirect()
  {
    m_stream = { { { "127.0.0.1:1", 1 }, static_cast<std::uint64_t>(m_sent) },
                 1 };
    m_import.clear();
    m_export.clear();
    m_calls.push_back(m_engine->Claim(
      m_decode,
      { .m_stream = m_stream,
        .m_model = "draft-1",
        .m_promptTokens = 10,
        .m_maxTokens = 1 },
      [this](const EngineResult<std::string>& aResult) {
        if (const auto* import = std::get_if<std::string>(&aResult)) {
          m_import = *import;
          Pull();
          return;
        }
        DoneDirect(false);
      }));
    auto prompt = std::make_shared<const std::string>(
      "read this thread and say what is left to do");
    m_calls.push_back(m_engine->Prefill(
      m_prefill,
      { .m_stream = m_stream,
        .m_model = "draft-1",
        .m_prompt = prompt,
        .m_promptTokens = 10 },
      [this](const EngineResult<PrefillAnswer>& aResult) {
        if (const auto* answer = std::get_if<PrefillAnswer>(&aResult)) {
          m_export = answer->m_export;
          Pull();
          return;
        }
        DoneDirect(false);
      }));
  }

  void Pull()
  {
    if (m_import.empty() || m_export.empty()) {
      return;
    }
    m_calls.push_back(m_engine->Pull(
      m_decode,
      { .m_import = m_import, .m_from = m_prefill, .m_export = m_export },
      [this](const EngineResult<std::monostate>&) { Decode(); }));
  }

  void Decode()
  {
    auto sink =
      std::make_shared<DirectSink>([this](bool aWhole) { DoneDirect(aWhole); });
    m_calls.push_back(m_engine->Decode(m_decode,
                                       { .m_stream = m_stream,
                                         .m_import = m_import,
                                         .m_promptTokens = 10,
                                         .m_maxTokens = 1 },
                                       sink));
  }

  void SendThrough()
  {
    auto probe = std::make_shared<StreamProbe>(
      [this](bool aWhole) { Done(m_through, aWhole); });
    HttpCall call{ .m_method = "POST",
                   .m_address = m_daemon,
                   .m_path = "/v1/completions",
                   .m_headers = { { "content-type", "application/json" } },
                   .m_body = ChatBody(1) };
    m_calls.push_back(m_loop.Client().Fetch(std::move(call), probe));
  }

  LoopI& m_loop;
  std::unique_ptr<EngineI> m_engine;
  std::string m_daemon;
  std::string m_prefill;
  std::string m_decode;
  AttemptId m_stream;
  std::string m_import;
  std::string m_export;
  std::vector<CallHandle> m_calls;
  std::vector<CallHandle> m_freeing; ///< cancels, kept until long answered
  std::vector<double> m_direct;
  std::vector<double> m_through;
  TimePoint m_started{};
  int m_sent{ 0 };
  int m_failed{ 0 };
};

double
Percentile(std::vector<double> aTimes, double aShare)
{
  std::sort(aTimes.begin(), aTimes.end());
  auto last = static_cast<double>(aTimes.size() - 1);
  return aTimes.at(static_cast<std::size_t>(last * aShare));
}

/// Relays long streams side by side and counts their tokens.
/// @returns tokens per second of the daemon's processor time; 0 if a stream
///          failed
double
TokensPerCore(const std::string& aDaemon, const std::string& aPid)
{
  auto loop = MakeLoop({ .m_name = "streams" });
  int open = kStreams;
  int failed = 0;
  std::vector<std::shared_ptr<StreamProbe>> probes;
  std::vector<CallHandle> calls;
  auto before = CpuTime(aPid);
  for (int i = 0; i < kStreams; ++i) {
    auto probe = std::make_shared<StreamProbe>([&](bool aWhole) {
      failed += aWhole ? 0 : 1;
      if (--open == 0) {
        loop->Stop();
      }
    });
    probes.push_back(probe);
    HttpCall call{ .m_method = "POST",
                   .m_address = aDaemon,
                   .m_path = "/v1/completions",
                   .m_headers = { { "content-type", "application/json" } },
                   .m_body = ChatBody(kStreamTokens) };
    calls.push_back(loop->Client().Fetch(std::move(call), probe));
  }
  loop->Run();
  double used = (CpuTime(aPid) - before).count();
  std::uint64_t tokens = 0;
  for (const auto& probe : probes) {
    tokens += probe->Tokens();
  }
  std::cout << "streams: " << kStreams << " tokens: " << tokens
            << " failed: " << failed << " daemon_cpu_s: " << used << '\n';
  return failed > 0 ? 0 : static_cast<double>(tokens) / used;
}

} // namespace

int
main(int aCount, char** aValues)
{
  if (aCount != 5) {
    std::cerr << "usage: relay_bench DAEMON PREFILL DECODE DAEMON_PID\n";
    return 2;
  }
  auto loop = MakeLoop({ .m_name = "latency" });
  LatencyRun run(*loop, aValues[1], aValues[2], aValues[3]);
  run.Start();
  loop->Run();
  if (run.Failed() > 0) {
    std::cout << "relay: " << run.Failed() << " requests failed\n";
    return 1;
  }
  double addedP50 =
    Percentile(run.Through(), 0.5) - Percentile(run.Direct(), 0.5);
  double addedP99 =
    Percentile(run.Through(), 0.99) - Percentile(run.Direct(), 0.99);
  std::cout << "direct_p50_us: " << Percentile(run.Direct(), 0.5)
            << " through_p50_us: " << Percentile(run.Through(), 0.5) << '\n';
  double tokens = TokensPerCore(aValues[1], aValues[4]);
  std::cout << "relay: added_p50_us=" << static_cast<int>(addedP50)
            << " added_p99_us=" << static_cast<int>(addedP99)
            << " tokens_per_core_s=" << static_cast<int>(tokens) << '\n';
  bool held = addedP50 <= kMaxAddedP50 && addedP99 <= kMaxAddedP99 &&
              tokens >= kMinTokensPerCore;
  return held ? 0 : 1;
}
