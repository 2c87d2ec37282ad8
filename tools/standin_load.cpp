/// Runs the planned calls and reads the services' executions at the end.

#include "standin_load.h"
#include "standin_load_call.h"

#include <iostream>

namespace shallotford::standin {

namespace {

class LoadRun
{
public:
  LoadRun(LoopI& aLoop, const LoadOptions& aOptions)
    : m_loop(aLoop)
    , m_options(aOptions)
    , m_calls(aLoop)
    , m_report(aOptions)
  {
  }

  void Start()
  {
    for (PlannedCall& plan : PlanCalls(m_options)) {
      Duration at = plan.m_at;
      auto call = std::make_shared<LoadCall>(
        m_loop,
        m_options,
        std::move(plan),
        [this](const PlannedCall& aPlan, const CallResult& aResult) {
          OnDone(aPlan, aResult);
        });
      m_loop.RunAfter(at, [call] { call->Start(); });
    }
  }

  const RunReport& Report() const { return m_report; }

private:
  void OnDone(const PlannedCall& aPlan, const CallResult& aResult)
  {
    m_report.Add(aPlan, aResult);
    if (m_report.Ended() == m_options.m_requests) {
      ReadExecutions();
    }
  }

  void ReadExecutions()
  {
    m_unread = m_options.m_executions.size();
    if (m_unread == 0) {
      m_loop.Stop();
    }
    for (const std::string& service : m_options.m_executions) {
      HttpCall call;
      call.m_address = service;
      call.m_path = "/admin/executions";
      m_calls.Send(std::move(call), [this](const HttpResult& aResult) {
        AddExecutions(aResult);
      });
    }
  }

  void AddExecutions(const HttpResult& aResult)
  {
    if (aResult.m_reply && aResult.m_reply->m_status == 200) {
      Json::Value body = ParseJson(aResult.m_reply->m_body);
      for (const std::string& key : body.getMemberNames()) {
        m_executions[key] += body[key].asUInt();
      }
    } else {
      m_report.Note("a service's executions could not be read");
    }
    if (--m_unread == 0) {
      m_report.CheckExecutions(m_executions);
      m_loop.Stop();
    }
  }

  LoopI& m_loop;
  const LoadOptions& m_options;
  CallSet m_calls;
  RunReport m_report;
  std::size_t m_unread{ 0 };
  std::map<std::string, std::uint32_t> m_executions;
};

} // namespace

int
RunLoad(const LoadOptions& aOptions, bool aAllAnswered)
{
  std::unique_ptr<LoopI> loop = MakeLoop({ .m_name = "load" });
  LoadRun run(*loop, aOptions);
  loop->Post([&run] { run.Start(); });
  loop->Run();
  std::cout << WriteJson(run.Report().ToJson()) << "\n"
            << run.Report().LastLine() << std::endl;
  return run.Report().IsGood(aAllAnswered) ? 0 : 1;
}

} // namespace shallotford::standin
