/// The filter that starts decoding, and the receiver that passes the engine's
/// tokens to the ledger.

#include "config.h"
#include "daemon_claim.h"
#include "daemon_filters.h"
#include "daemon_worker.h"

namespace shallotford {

namespace {

/// Receives one stream's tokens for one attempt.
class FlowSink : public TokenSinkI
{
public:
  FlowSink(Worker& aWorker, const FlowPtr& aFlow, std::string aEngine)
    : m_worker(aWorker)
    , m_flow(aFlow)
    , m_attempt(aFlow->m_attempt.m_id.m_attempt)
    , m_engine(std::move(aEngine))
  {
  }

  void OnToken(TokenEvent aToken) override
  {
    FlowPtr flow = Current();
    if (flow) {
      m_worker.Apply(flow,
                     ledger_event::Token{ .m_attempt = m_attempt,
                                          .m_position = aToken.m_position,
                                          .m_text = std::move(aToken.m_text) });
    }
  }

  void OnFinished(std::string aReason, std::uint64_t aEnd) override
  {
    FlowPtr flow = Current();
    if (flow) {
      m_worker.Apply(
        flow,
        ledger_event::Finished{ .m_attempt = m_attempt,
                                .m_endPosition = aEnd,
                                .m_finishReason = std::move(aReason) });
    }
  }

  void OnSuperseded() override
  {
    FlowPtr flow = Current();
    if (flow) {
      m_worker.Apply(flow, ledger_event::Superseded{ m_attempt });
    }
  }

  void OnError(EngineError aError) override
  {
    FlowPtr flow = Current();
    if (flow) {
      FailAttempt(m_worker, flow, m_engine, aError);
    }
  }

private:
  FlowPtr Current() const
  {
    FlowPtr flow = m_flow.lock();
    return flow && IsCurrent(*flow, m_attempt) ? flow : nullptr;
  }

  Worker& m_worker;
  std::weak_ptr<Flow> m_flow;
  std::uint32_t m_attempt;
  std::string m_engine;
};

class StreamFilter : public FilterI
{
public:
  explicit StreamFilter(Worker& aWorker)
    : m_worker(aWorker)
  {
  }
  std::string_view Name() const override { return "stream"; }

  void Start(const FlowPtr& aFlow) override
  {
    PoisonStatus status =
      m_worker.State().m_poison.StatusOf(aFlow->m_fingerprint, m_worker.Now());
    bool clear =
      status == PoisonStatus::Clear && aFlow->m_attempt.m_suspectEngine.empty();
    if (clear) {
      Decode(aFlow);
      return;
    }
    MoveSuspect(aFlow);
  }

private:
  void Decode(const FlowPtr& aFlow)
  {
    FlowAttempt& attempt = aFlow->m_attempt;
    std::string engine = attempt.m_placement.m_decodeEngine;
    WorkerState& state = m_worker.State();
    SetEventPrefix(*aFlow, engine, attempt.m_id);
    state.m_table.OnStep(m_worker.Now(), *attempt.m_work, WorkStep::Decoding);
    DecodeCall call{ .m_stream = attempt.m_id,
                     .m_import = attempt.m_import,
                     .m_promptTokens = attempt.m_promptTokens,
                     .m_maxTokens = TokensLeft(*aFlow),
                     .m_start = attempt.m_position,
                     .m_seedPrompt = Fingerprint(*aFlow->m_prompt),
                     .m_stop = aFlow->m_call.m_stop };
    auto sink = std::make_shared<FlowSink>(m_worker, aFlow, engine);
    // The stream's call must be the last one, which is paused when the caller
    // reads too slowly. The earlier calls of this attempt have ended.
    attempt.m_calls.push_back(
      state.m_engine.Decode(engine, call, std::move(sink)));
  }

  static std::uint32_t TokensLeft(const Flow& aFlow)
  {
    auto done = static_cast<std::uint32_t>(aFlow.m_attempt.m_position);
    return aFlow.m_maxTokens > done ? aFlow.m_maxTokens - done : 1;
  }

  /// Moves a suspect's grant, which covers one engine at a time, from the
  /// prefill engine to the decode engine.
  void MoveSuspect(const FlowPtr& aFlow)
  {
    std::string engine = aFlow->m_attempt.m_placement.m_decodeEngine;
    std::string from = std::exchange(aFlow->m_attempt.m_suspectEngine, {});
    std::uint32_t number = aFlow->m_attempt.m_id.m_attempt;
    auto done = [this, aFlow, engine, number](bool aGranted) {
      bool current = IsCurrent(*aFlow, number);
      if (aGranted && !current) {
        m_worker.State().m_suspects.RunEnded(
          aFlow->m_service->m_name, aFlow->m_fingerprint, engine, false);
      } else if (aGranted) {
        aFlow->m_attempt.m_suspectEngine = engine;
        Decode(aFlow);
      } else if (current) {
        FailAttempt(m_worker,
                    aFlow,
                    engine,
                    { .m_fault = EngineFault::Refused,
                      .m_reason = "another suspect runs at this engine" });
      }
    };
    m_worker.State().m_suspects.Move(aFlow->m_service->m_name,
                                     aFlow->m_fingerprint,
                                     from,
                                     engine,
                                     std::move(done));
  }

  Worker& m_worker;
};

} // namespace

void
SetEventPrefix(Flow& aFlow,
               const std::string& aEngine,
               const AttemptId& aStream)
{
  aFlow.m_reply.m_eventPrefix =
    ResumePrefix({ .m_engine = aEngine,
                   .m_stream = aStream,
                   .m_entry = aFlow.m_id.m_vm,
                   .m_service = aFlow.m_service->m_name,
                   .m_prompt = aFlow.m_fingerprint,
                   .m_position = 0 });
}

std::shared_ptr<TokenSinkI>
MakeFlowSink(Worker& aWorker, const FlowPtr& aFlow, std::string aEngine)
{
  return std::make_shared<FlowSink>(aWorker, aFlow, std::move(aEngine));
}

std::unique_ptr<FilterI>
MakeStreamFilter(Worker& aWorker)
{
  return std::make_unique<StreamFilter>(aWorker);
}

} // namespace shallotford
