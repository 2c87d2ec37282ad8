/// Filters that run the prefill and transfer its KV cache to the decode engine.

#include "config.h"
#include "daemon_claim.h"
#include "daemon_filters.h"
#include "daemon_worker.h"

namespace shallotford {

namespace {

class PrefillFilter : public FilterI
{
public:
  explicit PrefillFilter(Worker& aWorker)
    : m_worker(aWorker)
  {
  }
  std::string_view Name() const override { return "prefill"; }

  void Start(const FlowPtr& aFlow) override
  {
    FlowAttempt& attempt = aFlow->m_attempt;
    const std::string& engine = attempt.m_placement.m_prefillEngine;
    std::uint32_t number = attempt.m_id.m_attempt;
    m_worker.Apply(
      aFlow, ledger_event::Sent{ .m_attempt = number, .m_upstream = engine });
    m_worker.State().m_table.OnStep(
      m_worker.Now(), *attempt.m_work, WorkStep::Prefilling);
    PrefillCall call{ .m_stream = attempt.m_id,
                      .m_model = aFlow->m_call.m_model,
                      .m_adapter = aFlow->m_call.m_adapter,
                      .m_prompt = attempt.m_prompt,
                      .m_promptTokens = attempt.m_promptTokens,
                      .m_priority = aFlow->m_priority,
                      .m_timeout = kPrefillTimeout };
    auto done = [this, aFlow, number](EngineResult<PrefillAnswer> aResult) {
      if (!IsCurrent(*aFlow, number)) {
        return;
      }
      OnDone(aFlow, std::move(aResult));
    };
    attempt.m_calls.push_back(
      m_worker.State().m_engine.Prefill(engine, call, std::move(done)));
  }

private:
  void OnDone(const FlowPtr& aFlow, EngineResult<PrefillAnswer> aResult)
  {
    FlowAttempt& attempt = aFlow->m_attempt;
    std::string engine = attempt.m_placement.m_prefillEngine;
    if (auto* error = std::get_if<EngineError>(&aResult)) {
      if (error->m_fault == EngineFault::Refused) {
        m_worker.State().m_table.OnRefused(
          m_worker.Now(), engine, ParseRefusalReason(error->m_reason));
      }
      FailAttempt(m_worker, aFlow, engine, *error);
      return;
    }
    auto& answer = std::get<PrefillAnswer>(aResult);
    attempt.m_export = std::move(answer.m_export);
    attempt.m_prefilledAt = m_worker.Now();
    attempt.m_computedTokens =
      answer.m_promptTokens -
      std::min(answer.m_cachedTokens, answer.m_promptTokens);
    m_worker.State().m_table.OnPrefilled(
      m_worker.Now(), *attempt.m_work, answer.m_cachedTokens);
    m_worker.Apply(aFlow, ledger_event::PrefillDone{ attempt.m_id.m_attempt });
    m_worker.Next(aFlow);
  }

  Worker& m_worker;
};

class TransferFilter : public FilterI
{
public:
  explicit TransferFilter(Worker& aWorker)
    : m_worker(aWorker)
  {
  }
  std::string_view Name() const override { return "transfer"; }

  void Start(const FlowPtr& aFlow) override
  {
    FlowAttempt& attempt = aFlow->m_attempt;
    if (!attempt.m_import.empty()) {
      Pull(aFlow);
      return;
    }
    if (attempt.m_claiming) {
      std::weak_ptr<Flow> weak = aFlow;
      attempt.m_onClaimed = [this, weak] {
        if (FlowPtr flow = weak.lock()) {
          Pull(flow);
        }
      };
      return;
    }
    ClaimMemory(m_worker, aFlow, [this, aFlow] { Pull(aFlow); });
  }

private:
  void Pull(const FlowPtr& aFlow)
  {
    FlowAttempt& attempt = aFlow->m_attempt;
    std::uint32_t number = attempt.m_id.m_attempt;
    WorkerState& state = m_worker.State();
    state.m_table.OnStep(
      m_worker.Now(), *attempt.m_work, WorkStep::Transferring);
    PullCall call{ .m_import = attempt.m_import,
                   .m_from = attempt.m_placement.m_prefillEngine,
                   .m_export = attempt.m_export,
                   .m_kvBytes = std::uint64_t{ attempt.m_promptTokens } *
                                aFlow->m_model->m_kvBytesPerToken,
                   .m_timeout = kPullTimeout };
    auto done =
      [this, aFlow, number](const EngineResult<std::monostate>& aResult) {
        if (IsCurrent(*aFlow, number)) {
          OnPulled(aFlow, aResult);
        }
      };
    attempt.m_calls.push_back(state.m_engine.Pull(
      attempt.m_placement.m_decodeEngine, call, std::move(done)));
  }

  void OnPulled(const FlowPtr& aFlow,
                const EngineResult<std::monostate>& aResult)
  {
    FlowAttempt& attempt = aFlow->m_attempt;
    if (const auto* error = std::get_if<EngineError>(&aResult)) {
      FailAttempt(m_worker, aFlow, attempt.m_placement.m_decodeEngine, *error);
      return;
    }
    attempt.m_transferred = true;
    bool crossRegion = attempt.m_placement.m_crossRegionBytes > 0;
    m_worker.State().m_goodput.OnTransfer(
      std::uint64_t{ attempt.m_promptTokens } *
        aFlow->m_model->m_kvBytesPerToken,
      crossRegion);
    m_worker.Apply(aFlow, ledger_event::TransferDone{ attempt.m_id.m_attempt });
    m_worker.Next(aFlow);
  }

  Worker& m_worker;
};

} // namespace

std::unique_ptr<FilterI>
MakePrefillFilter(Worker& aWorker)
{
  return std::make_unique<PrefillFilter>(aWorker);
}

std::unique_ptr<FilterI>
MakeTransferFilter(Worker& aWorker)
{
  return std::make_unique<TransferFilter>(aWorker);
}

} // namespace shallotford
