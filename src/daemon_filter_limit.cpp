/// The filter that refuses requests because of service dependencies, quarantine
/// or caller limits, and admits the others.

#include "config.h"
#include "daemon_filters.h"
#include "daemon_worker.h"
#include "shallotford/control.h"

namespace shallotford {

namespace {

class LimitFilter : public FilterI
{
public:
  explicit LimitFilter(Worker& aWorker)
    : m_worker(aWorker)
  {
  }
  std::string_view Name() const override { return "limit"; }

  void Start(const FlowPtr& aFlow) override
  {
    if (!CheckDependencies(aFlow) || !CheckQuarantine(aFlow) ||
        !CheckCallerLimit(aFlow)) {
      return;
    }
    m_worker.Apply(aFlow, ledger_event::Admitted{});
  }

private:
  bool CheckDependencies(const FlowPtr& aFlow)
  {
    std::string down = DownDependency(
      *aFlow->m_fleet,
      aFlow->m_service->m_name,
      [this](const std::string& aName) { return m_worker.IsServiceUp(aName); });
    if (down.empty()) {
      return true;
    }
    Error error(ErrorKind::DependencyDown,
                "service \"" + aFlow->m_service->m_name + "\" depends on \"" +
                  down + "\", which is down",
                "Send the request again after the time in Retry-After.");
    error.WithRetryAfter(kOverloadRetryAfter);
    m_worker.Apply(aFlow, ledger_event::Aborted{ error });
    return false;
  }

  bool CheckQuarantine(const FlowPtr& aFlow)
  {
    WorkerState& state = m_worker.State();
    PoisonStatus status =
      state.m_poison.StatusOf(aFlow->m_fingerprint, m_worker.Now());
    if (status != PoisonStatus::Convicted) {
      return true;
    }
    Error error(ErrorKind::Quarantined,
                "this request crashed the upstreams that ran it",
                "Change the request; sending it again as it is will be "
                "refused until its quarantine expires.");
    m_worker.Apply(aFlow, ledger_event::Aborted{ error });
    return false;
  }

  bool CheckCallerLimit(const FlowPtr& aFlow)
  {
    aFlow->m_cost = aFlow->m_model == nullptr
                      ? 1.0
                      : TokenCost(aFlow->m_promptTokens, aFlow->m_maxTokens);
    std::chrono::milliseconds wait = m_worker.State().m_limits.Take(
      m_worker.Now(), aFlow->m_caller, aFlow->m_cost);
    if (wait.count() == 0) {
      return true;
    }
    aFlow->m_cost = 0;
    Error error(ErrorKind::RateLimited,
                "caller \"" + aFlow->m_caller + "\" is over its token limit",
                "Send the request again after the time in Retry-After.");
    error.WithRetryAfter(wait);
    m_worker.Apply(aFlow, ledger_event::Aborted{ error });
    return false;
  }

  Worker& m_worker;
};

} // namespace

std::unique_ptr<FilterI>
MakeLimitFilter(Worker& aWorker)
{
  return std::make_unique<LimitFilter>(aWorker);
}

} // namespace shallotford
