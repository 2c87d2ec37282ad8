#ifndef SHALLOTFORD_TOOLS_STANDIN_SERVICE_H
#define SHALLOTFORD_TOOLS_STANDIN_SERVICE_H

/// The stand-in plain service: it counts how often each booking was executed.

#include "standin_http.h"

namespace shallotford::standin {

/// Behaviour that POST /admin/faults changes.
struct ServiceFaults
{
  std::chrono::milliseconds m_delay{ 5 }; ///< time that a call takes
  /// "" (answer), "hang", "close_before" and "close_after" it ran, "not_run"
  /// (503 with x-run: no).
  std::string m_fault;
  double m_rate{ 1.0 };    ///< share of the calls that the fault hits
  bool m_leaving{ false }; ///< answers 503 with x-leaving: 1, not run
};

class ServiceServer : public HttpHandlerI
{
public:
  ServiceServer(LoopI& aLoop, ServiceFaults aFaults, std::uint64_t aSeed);
  void OnRequest(Exchange aExchange, HttpRequest aRequest) override;

private:
  void Admin(const Exchange& aExchange, const HttpRequest& aRequest);
  void Execute(const Exchange& aExchange,
               const HttpRequest& aRequest,
               const std::string& aFault);

  LoopI& m_loop;
  ServiceFaults m_faults;
  std::unique_ptr<RandomI> m_random;
  std::map<std::string, std::uint32_t> m_executions; ///< by booking key
  std::uint64_t m_calls{ 0 };
  std::uint32_t m_running{ 0 };
};

/// Runs `shallotford-standin service`.
int
RunService(const std::string& aListen,
           std::chrono::milliseconds aDelay,
           std::uint64_t aSeed);

} // namespace shallotford::standin

#endif // SHALLOTFORD_TOOLS_STANDIN_SERVICE_H
