/// The stand-in plain service's calls and admin calls.

#include "standin_service.h"

namespace shallotford::standin {

namespace {

/// Returns the call's booking key: "key" in a JSON body, else x-request-id.
std::string
KeyOf(const HttpRequest& aRequest)
{
  try {
    Json::Value body = ParseJson(aRequest.m_body);
    if (body.isObject() && body["key"].isString()) {
      return body["key"].asString();
    }
  } catch (const Error&) {
    // Not JSON: the header names it.
  }
  const std::string* id = FindHeader(aRequest.m_headers, "x-request-id");
  return id ? *id : "";
}

} // namespace

ServiceServer::ServiceServer(LoopI& aLoop,
                             ServiceFaults aFaults,
                             std::uint64_t aSeed)
  : m_loop(aLoop)
  , m_faults(std::move(aFaults))
  , m_random(MakeSeededRandom(aSeed))
{
}

void
ServiceServer::OnRequest(Exchange aExchange, HttpRequest aRequest)
{
  if (aRequest.m_path.starts_with("/admin/")) {
    Admin(aExchange, aRequest);
    return;
  }
  ++m_calls;
  if (m_faults.m_leaving) {
    aExchange->Respond(503, { { "x-leaving", "1" }, { "x-run", "no" } }, "");
    return;
  }
  std::string fault =
    m_random->Unit() < m_faults.m_rate ? m_faults.m_fault : "";
  if (fault == "hang") {
    // Dropping the exchange would end it: it is kept until the caller goes.
    aExchange->OnClosed([aExchange] {});
    return;
  }
  if (fault == "close_before") {
    aExchange->Abort();
    return;
  }
  if (fault == "not_run") {
    aExchange->Respond(503, { { "x-run", "no" } }, "");
    return;
  }
  ++m_running;
  m_loop.RunAfter(m_faults.m_delay,
                  [this, aExchange, request = std::move(aRequest), fault] {
                    --m_running;
                    Execute(aExchange, request, fault);
                  });
}

void
ServiceServer::Execute(const Exchange& aExchange,
                       const HttpRequest& aRequest,
                       const std::string& aFault)
{
  std::string key = KeyOf(aRequest);
  std::uint32_t count = ++m_executions[key];
  if (aFault == "close_after") {
    aExchange->Abort();
    return;
  }
  Json::Value body(Json::objectValue);
  body["executed"] = true;
  body["key"] = key;
  body["count"] = count;
  body["method"] = aRequest.m_method;
  body["path"] = aRequest.m_path;
  RespondJson(aExchange, 200, body);
}

void
ServiceServer::Admin(const Exchange& aExchange, const HttpRequest& aRequest)
{
  Json::Value body(Json::objectValue);
  if (aRequest.m_path == "/admin/executions") {
    for (const auto& [key, count] : m_executions) {
      body[key] = count;
    }
    RespondJson(aExchange, 200, body);
  } else if (aRequest.m_path == "/admin/stats") {
    body["calls"] = static_cast<Json::UInt64>(m_calls);
    body["running"] = m_running;
    RespondJson(aExchange, 200, body);
  } else if (aRequest.m_path == "/admin/faults") {
    try {
      NamedSettings names;
      names.Add("delay_ms", m_faults.m_delay);
      names.Add("fault", m_faults.m_fault);
      names.Add("rate", m_faults.m_rate);
      names.Add("leaving", m_faults.m_leaving);
      names.Apply(ParseJson(aRequest.m_body));
      RespondJson(aExchange, 200, body);
    } catch (const std::exception& exception) {
      RespondReason(aExchange, 400, exception.what());
    }
  } else {
    RespondReason(aExchange, 404, "path");
  }
}

int
RunService(const std::string& aListen,
           std::chrono::milliseconds aDelay,
           std::uint64_t aSeed)
{
  std::unique_ptr<LoopI> loop = MakeLoop({ .m_name = "service" });
  ServiceServer server(*loop, { .m_delay = aDelay, .m_fault = {} }, aSeed);
  ServeUntilSignal(*loop, aListen, server);
  return 0;
}

} // namespace shallotford::standin
