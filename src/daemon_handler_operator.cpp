/// Serves the operators' JSON-RPC calls, on the control task.

#include "config.h"
#include "daemon_handlers.h"
#include "daemon_operator_json.h"
#include "shallotford/rpc.h"

namespace shallotford {

namespace {

class OperatorHandler : public HttpHandlerI
{
public:
  OperatorHandler(ControlState& aState,
                  const OrderTask& aOrders,
                  std::function<void(const std::string&)> aDrain)
    : m_state(aState)
    , m_orders(aOrders)
    , m_drain(std::move(aDrain))
  {
    Add("status", [this](const Json::Value&) { return Status(); });
    Add("upstreams", [this](const Json::Value&) {
      return UpstreamsToJson(m_snapshot, m_orders.Known());
    });
    Add("requests",
        [this](const Json::Value&) { return RequestsToJson(m_snapshot); });
    Add("explain",
        [this](const Json::Value& aParams) { return Explain(aParams); });
    Add("audit", [this](const Json::Value& aParams) { return Audit(aParams); });
    Add("fleet", [this](const Json::Value&) { return Fleet(); });
    Add("drain", [this](const Json::Value&) { return Drain(); });
  }

  /// Requests a snapshot of the worker first, and then answers the call with
  /// it.
  void OnRequest(std::shared_ptr<HttpExchangeI> aExchange,
                 HttpRequest aRequest) override
  {
    if (aRequest.m_method != "POST" || aRequest.m_path != "/rpc") {
      aExchange->Respond(404, { { "content-type", "text/plain" } }, "/rpc\n");
      return;
    }
    SnapshotQuery query;
    query.m_request = RequestOf(aRequest.m_body);
    LoopI& loop = m_state.m_loop;
    query.m_reply = [this, &loop, aExchange, body = aRequest.m_body](
                      const WorkerSnapshot& aSnapshot) {
      loop.Post([this, aExchange, body, snapshot = aSnapshot] {
        m_snapshot = snapshot;
        aExchange->Respond(
          200, { { "content-type", "application/json" } }, m_rpc.Handle(body));
      });
    };
    m_state.m_toWorker(std::move(query));
  }

private:
  void Add(const std::string& aName,
           std::function<Json::Value(const Json::Value&)> aMethod)
  {
    m_rpc.AddMethod(
      aName, [method = std::move(aMethod)](const Json::Value& aParams) {
        try {
          return method(aParams);
        } catch (const Error& error) {
          throw RpcError(kRpcApplicationError,
                         std::string(error.what()) + " " + error.Remedy());
        }
      });
  }

  static std::optional<RequestId> RequestOf(const std::string& aBody)
  {
    RpcCall call = ParseRpcCall(aBody);
    if (call.m_method != "explain" || !call.m_params.isObject()) {
      return std::nullopt;
    }
    try {
      return ParseRequestId(call.m_params["request"].asString());
    } catch (const std::exception&) {
      return std::nullopt;
    }
  }

  Json::Value Status() const
  {
    Json::Value status = StatusToJson(m_snapshot);
    TimePoint now = m_state.Now();
    status["vm"] = m_state.m_options.m_vm.m_address;
    status["region"] = m_state.m_options.m_settings.m_region;
    status["failure_domain"] = m_state.m_options.m_settings.m_failureDomain;
    status["version"] = SHALLOTFORD_VERSION;
    status["revision"] = static_cast<Json::UInt64>(m_state.Revision());
    status["conflicts"] =
      static_cast<Json::UInt64>(m_state.m_revisionStore.Conflicts().size());
    status["vms"] = MembersToJson(m_state.m_membership.Members(now));
    return status;
  }

  Json::Value Explain(const Json::Value& aParams) const
  {
    if (!aParams.isObject() || !aParams["request"].isString()) {
      throw Error(ErrorKind::InvalidRequest,
                  "\"request\" is missing",
                  "Pass the id that x-request-id showed.");
    }
    if (m_snapshot.m_requests.size() != 1) {
      throw Error(ErrorKind::NotFound,
                  "this VM knows no such request",
                  "Ask the VM that the id names, soon after the request.");
    }
    return ExplainToJson(m_snapshot);
  }

  Json::Value Audit(const Json::Value& aParams) const
  {
    AuditQuery query;
    if (aParams.isObject()) {
      query.m_after = aParams.get("after", 0).asUInt64();
      query.m_limit = aParams.get("limit", 1000).asUInt64();
      query.m_kind = ParseAuditKind(aParams.get("kind", "").asString());
      query.m_subject = aParams.get("subject", "").asString();
    }
    return AuditToJson(m_state.m_audit.Find(query), m_state.m_audit.Dropped());
  }

  Json::Value Fleet() const
  {
    FleetPtr fleet = m_state.m_revisionStore.Current();
    Json::Value result(Json::objectValue);
    result["revision"] = static_cast<Json::UInt64>(m_state.Revision());
    result["text"] = fleet ? fleet->m_text : "";
    return result;
  }

  Json::Value Drain() const
  {
    m_drain("operator");
    Json::Value result(Json::objectValue);
    result["draining"] = true;
    return result;
  }

  ControlState& m_state;
  const OrderTask& m_orders;
  std::function<void(const std::string&)> m_drain;
  WorkerSnapshot m_snapshot;
  RpcServer m_rpc;
};

} // namespace

std::unique_ptr<HttpHandlerI>
MakeOperatorHandler(ControlState& aState,
                    const OrderTask& aOrders,
                    std::function<void(const std::string&)> aDrain)
{
  return std::make_unique<OperatorHandler>(aState, aOrders, std::move(aDrain));
}

} // namespace shallotford
