#ifndef SHALLOTFORD_TESTS_FAKE_LOOP_H
#define SHALLOTFORD_TESTS_FAKE_LOOP_H

/// A loop on a fake clock, without sockets: callers, engines and plain
/// services are fakes that write every event into one transcript.

#include "shallotford/net.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace shallotford {

/// Lines of one session, each with its time.
class Transcript
{
public:
  explicit Transcript(const TimersI* aTimers = nullptr)
    : m_timers(aTimers)
  {
  }
  void SetTimers(const TimersI& aTimers) { m_timers = &aTimers; }
  void Add(const std::string& aLine)
  {
    auto now = std::chrono::duration_cast<std::chrono::microseconds>(
      m_timers->Now().time_since_epoch());
    m_text += std::to_string(now.count()) + " " + aLine + "\n";
  }
  const std::string& Text() const { return m_text; }

private:
  const TimersI* m_timers;
  std::string m_text;
};

/// Answers a plain call: status and body, or nothing for a broken connection.
using PlainAnswer =
  std::function<std::optional<HttpReply>(const HttpCall& aCall)>;

class FakeClient : public HttpClientI
{
public:
  FakeClient(TimersI& aTimers, Transcript& aTranscript)
    : m_timers(aTimers)
    , m_transcript(aTranscript)
  {
  }

  std::unique_ptr<HttpClientCallI> Fetch(
    HttpCall aCall,
    std::shared_ptr<HttpClientHandlerI> aHandler) override
  {
    auto alive = std::make_shared<bool>(true);
    m_transcript.Add("upstream " + aCall.m_address + " <- " + aCall.m_method +
                     " " + aCall.m_path);
    if (m_unresponsive.count(aCall.m_address) != 0) {
      return std::make_unique<FakeCall>(alive);
    }
    m_timers.RunAfter(std::chrono::milliseconds{ 1 },
                      [this, alive, aCall, aHandler] {
                        if (*alive) {
                          Answer(aCall, *aHandler);
                        }
                      });
    return std::make_unique<FakeCall>(alive);
  }

  PlainAnswer m_answer;
  std::set<std::string> m_unresponsive; ///< addresses that never answer

private:
  struct FakeCall : HttpClientCallI
  {
    explicit FakeCall(std::shared_ptr<bool> aAlive)
      : m_alive(std::move(aAlive))
    {
    }
    ~FakeCall() override { *m_alive = false; }
    CallProgress Progress() const override { return CallProgress::Sent; }
    void Cancel() override { *m_alive = false; }
    void Pause() override {}
    void Resume() override {}
    std::shared_ptr<bool> m_alive;
  };

  void Answer(const HttpCall& aCall, HttpClientHandlerI& aHandler)
  {
    std::optional<HttpReply> reply = m_answer(aCall);
    if (!reply) {
      aHandler.OnFailure({ CallProgress::Sent, "connection closed" });
      return;
    }
    aHandler.OnHeaders(reply->m_status, reply->m_headers);
    aHandler.OnBody(reply->m_body);
    aHandler.OnEnd();
  }

  TimersI& m_timers;
  Transcript& m_transcript;
};

class FakeLoop : public LoopI
{
public:
  explicit FakeLoop(Transcript& aTranscript)
    : m_client(*this, aTranscript)
  {
    aTranscript.SetTimers(*this);
  }

  TimePoint Now() const override { return m_now; }
  TimerId RunAfter(Duration aDelay, std::function<void()> aCallback) override
  {
    TimerId id = m_next++;
    m_timers[{ m_now + aDelay, id }] = std::move(aCallback);
    return id;
  }
  void CancelTimer(TimerId aTimer) override
  {
    for (auto timer = m_timers.begin(); timer != m_timers.end(); ++timer) {
      if (timer->first.second == aTimer) {
        m_timers.erase(timer);
        return;
      }
    }
  }
  void Post(std::function<void()> aFunction) override
  {
    RunAfter(Duration::zero(), std::move(aFunction));
  }
  void Run() override {}
  void Stop() override {}
  HttpClientI& Client() override { return m_client; }
  StreamsI& Streams() override
  {
    throw Error(
      ErrorKind::Internal, "a fake loop has no streams", "Use a real loop.");
  }
  FakeClient& Fake() { return m_client; }
  std::unique_ptr<HttpServerI> Listen(const ServerOptions&,
                                      HttpHandlerI&) override
  {
    return std::make_unique<FakeServer>();
  }
  void ReloadCertificates() override {}

  /// Runs everything that is due within aTime.
  void RunFor(Duration aTime)
  {
    TimePoint end = m_now + aTime;
    while (!m_timers.empty() && m_timers.begin()->first.first <= end) {
      auto first = m_timers.begin();
      m_now = std::max(m_now, first->first.first);
      std::function<void()> callback = std::move(first->second);
      m_timers.erase(first);
      callback();
    }
    m_now = end;
  }

private:
  struct FakeServer : HttpServerI
  {
    std::uint16_t Port() const override { return 1; }
    void StopAccepting() override {}
    std::size_t InFlight() const override { return 0; }
  };

  TimePoint m_now{ std::chrono::seconds{ 1 } };
  TimerId m_next{ 1 };
  std::map<std::pair<TimePoint, TimerId>, std::function<void()>> m_timers;
  FakeClient m_client;
};

/// A caller's connection.
class FakeExchange : public HttpExchangeI
{
public:
  FakeExchange(Transcript& aTranscript, std::string aName)
    : m_transcript(aTranscript)
    , m_name(std::move(aName))
  {
  }
  void Begin(int aStatus, const HttpHeaders&) override
  {
    m_transcript.Add(m_name + " status " + std::to_string(aStatus));
  }
  void Write(std::string_view aBytes) override { Lines(aBytes); }
  void End() override { m_transcript.Add(m_name + " end"); }
  void Respond(int aStatus,
               const HttpHeaders& aHeaders,
               std::string_view aBody) override
  {
    std::string line = m_name + " status " + std::to_string(aStatus);
    for (const char* shown : { "retry-after", "x-replayed" }) {
      const std::string* value = FindHeader(aHeaders, shown);
      line += value ? " " + std::string(shown) + "=" + *value : "";
    }
    m_transcript.Add(line);
    m_body = std::string(aBody);
    Lines(aBody);
  }
  void Abort() override { m_transcript.Add(m_name + " aborted"); }
  std::size_t Buffered() const override { return 0; }
  void OnDrained(std::function<void()>) override {}
  void OnClosed(std::function<void()> aCallback) override
  {
    m_closed = std::move(aCallback);
  }
  /// Simulates that the caller disconnects.
  void Close()
  {
    m_transcript.Add(m_name + " goes away");
    if (m_closed) {
      m_closed();
    }
  }
  const std::string& Body() const { return m_body; }

private:
  void Lines(std::string_view aText)
  {
    std::size_t start = 0;
    while (start < aText.size()) {
      std::size_t end = std::min(aText.find('\n', start), aText.size());
      if (end > start) {
        m_transcript.Add(m_name + " " +
                         std::string(aText.substr(start, end - start)));
      }
      start = end + 1;
    }
  }

  Transcript& m_transcript;
  std::string m_name;
  std::string m_body;
  std::function<void()> m_closed;
};

} // namespace shallotford

#endif // SHALLOTFORD_TESTS_FAKE_LOOP_H
