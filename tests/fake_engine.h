#ifndef SHALLOTFORD_TESTS_FAKE_ENGINE_H
#define SHALLOTFORD_TESTS_FAKE_ENGINE_H

/// Engines that answer after fixed times and can be told to fail.

#include "daemon_engine.h"
#include "fake_loop.h"

#include <set>

namespace shallotford {

using namespace std::chrono_literals;

class FakeEngine : public EngineI
{
public:
  FakeEngine(TimersI& aTimers, Transcript& aTranscript)
    : m_timers(aTimers)
    , m_transcript(aTranscript)
  {
  }

  /// Engines that accept no connection.
  std::set<std::string> m_down;
  /// Number of List() calls of an engine that break before one is answered.
  std::map<std::string, int> m_breakLists;
  /// Decode engines that refuse their next claim, with this reason.
  std::map<std::string, std::string> m_refuseClaim;
  /// Position at which an engine crashes, once.
  std::map<std::string, std::uint64_t> m_crashAt;
  /// Position at which every answer ends.
  std::uint64_t m_answerTokens{ 4 };

  CallHandle Claim(const std::string& aEngine,
                   const ClaimCall& aCall,
                   EngineDone<std::string> aDone) override
  {
    Note(aEngine, "claim " + ToString(aCall.m_stream));
    auto refusal = m_refuseClaim.find(aEngine);
    if (refusal != m_refuseClaim.end()) {
      EngineError error{ EngineFault::Refused, refusal->second };
      m_refuseClaim.erase(refusal);
      return Later<std::string>(aEngine, 1ms, aDone, error);
    }
    return Later<std::string>(
      aEngine, 1ms, aDone, "import-" + ToString(aCall.m_stream));
  }

  CallHandle Prefill(const std::string& aEngine,
                     const PrefillCall& aCall,
                     EngineDone<PrefillAnswer> aDone) override
  {
    Note(aEngine,
         "prefill " + ToString(aCall.m_stream) + " tokens " +
           std::to_string(aCall.m_promptTokens));
    PrefillAnswer answer{ .m_export = "export-" + ToString(aCall.m_stream),
                          .m_promptTokens = aCall.m_promptTokens,
                          .m_cachedTokens = 0 };
    return Later<PrefillAnswer>(aEngine, 50ms, aDone, answer);
  }

  CallHandle Pull(const std::string& aEngine,
                  const PullCall& aCall,
                  EngineDone<std::monostate> aDone) override
  {
    Note(aEngine, "pull " + aCall.m_export + " from " + aCall.m_from);
    return Later<std::monostate>(aEngine, 5ms, aDone, std::monostate{});
  }

  CallHandle Decode(const std::string& aEngine,
                    const DecodeCall& aCall,
                    std::shared_ptr<TokenSinkI> aSink) override
  {
    Note(aEngine,
         "decode " + ToString(aCall.m_stream) + " from " +
           std::to_string(aCall.m_start));
    return Stream(aEngine, aCall.m_start, aSink);
  }

  CallHandle Attach(const std::string& aEngine,
                    const AttemptId& aStream,
                    std::uint64_t aFrom,
                    std::shared_ptr<TokenSinkI> aSink) override
  {
    Note(aEngine,
         "attach " + ToString(aStream) + " from " + std::to_string(aFrom));
    return Stream(aEngine, aFrom, aSink);
  }

  CallHandle Cancel(const std::string& aEngine,
                    const std::string& aStream,
                    EngineDone<std::monostate> aDone) override
  {
    Note(aEngine, "cancel " + aStream);
    return Later<std::monostate>(aEngine, 1ms, aDone, std::monostate{});
  }

  CallHandle List(const std::string& aEngine,
                  EngineDone<std::vector<EngineHolding>> aDone) override
  {
    auto breaks = m_breakLists.find(aEngine);
    if (breaks != m_breakLists.end() && breaks->second > 0) {
      --breaks->second;
      m_timers.RunAfter(1ms, [aDone] {
        aDone(EngineError{ EngineFault::Broken, "connection closed" });
      });
      return std::make_unique<Handle>(std::make_shared<bool>(true));
    }
    return Later<std::vector<EngineHolding>>(
      aEngine, 1ms, aDone, std::vector<EngineHolding>{});
  }

  CallHandle Load(const std::string& aEngine,
                  EngineDone<LoadReport> aDone) override
  {
    LoadReport report{ .m_role = m_roles[aEngine],
                       .m_model = "draft-1",
                       .m_batchLimit = 20,
                       .m_piecesTotal = 200,
                       .m_piecesFree = 200,
                       .m_age = std::chrono::milliseconds{ 100 } };
    return Later<LoadReport>(aEngine, 1ms, aDone, report);
  }

  CallHandle ReadCacheEvents(const std::string& aEngine,
                             std::uint64_t aAfter,
                             EngineDone<EngineCacheEvents> aDone) override
  {
    return Later<EngineCacheEvents>(
      aEngine, 1ms, aDone, EngineCacheEvents{ {}, aAfter });
  }

  CallHandle State(const std::string& aEngine,
                   EngineDone<EngineState> aDone) override
  {
    return Later<EngineState>(
      aEngine, 1ms, aDone, EngineState{ .m_role = m_roles[aEngine] });
  }

  CallHandle Order(const std::string& aEngine,
                   const EngineOrder&,
                   EngineDone<std::monostate> aDone) override
  {
    return Later<std::monostate>(aEngine, 1ms, aDone, std::monostate{});
  }

  std::map<std::string, EngineRole> m_roles;

private:
  struct Handle : HttpClientCallI
  {
    explicit Handle(std::shared_ptr<bool> aAlive)
      : m_alive(std::move(aAlive))
    {
    }
    ~Handle() override { *m_alive = false; }
    CallProgress Progress() const override { return CallProgress::Sent; }
    void Cancel() override { *m_alive = false; }
    void Pause() override {}
    void Resume() override {}
    std::shared_ptr<bool> m_alive;
  };

  void Note(const std::string& aEngine, const std::string& aWhat)
  {
    m_transcript.Add("engine " + aEngine + " <- " + aWhat);
  }

  template<class Value>
  CallHandle Later(const std::string& aEngine,
                   Duration aDelay,
                   EngineDone<Value> aDone,
                   EngineResult<Value> aResult)
  {
    auto alive = std::make_shared<bool>(true);
    m_timers.RunAfter(aDelay, [this, alive, aEngine, aDone, aResult] {
      if (!*alive) {
        return;
      }
      if (m_down.count(aEngine) != 0) {
        aDone(EngineError{ EngineFault::NotSent, "connection refused" });
        return;
      }
      aDone(aResult);
    });
    return std::make_unique<Handle>(alive);
  }

  CallHandle Stream(const std::string& aEngine,
                    std::uint64_t aFrom,
                    const std::shared_ptr<TokenSinkI>& aSink)
  {
    auto alive = std::make_shared<bool>(true);
    Step(aEngine, aFrom, aSink, alive);
    return std::make_unique<Handle>(alive);
  }

  void Step(const std::string& aEngine,
            std::uint64_t aPosition,
            const std::shared_ptr<TokenSinkI>& aSink,
            const std::shared_ptr<bool>& aAlive)
  {
    m_timers.RunAfter(30ms, [this, aEngine, aPosition, aSink, aAlive] {
      if (*aAlive) {
        Generate(aEngine, aPosition, aSink, aAlive);
      }
    });
  }

  void Generate(const std::string& aEngine,
                std::uint64_t aPosition,
                const std::shared_ptr<TokenSinkI>& aSink,
                const std::shared_ptr<bool>& aAlive)
  {
    auto crash = m_crashAt.find(aEngine);
    if (crash != m_crashAt.end() && crash->second == aPosition) {
      m_crashAt.erase(crash);
      m_down.insert(aEngine);
      m_transcript.Add("engine " + aEngine + " dies");
      aSink->OnError({ EngineFault::Broken, "connection closed" });
      return;
    }
    if (aPosition >= m_answerTokens) {
      aSink->OnFinished("stop", aPosition);
      return;
    }
    aSink->OnToken({ aPosition, "w" + std::to_string(aPosition) + " " });
    Step(aEngine, aPosition + 1, aSink, aAlive);
  }

  TimersI& m_timers;
  Transcript& m_transcript;
};

} // namespace shallotford

#endif // SHALLOTFORD_TESTS_FAKE_ENGINE_H
