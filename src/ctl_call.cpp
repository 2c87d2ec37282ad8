/// JSON-RPC client of shallotfordctl: calls the operators' methods of one or
/// more daemons over HTTP.

#include "ctl_call.h"

#include "config.h"

namespace shallotford {

namespace {

constexpr int kHttpOk = 200;
constexpr int kRpcMethodNotFound = -32601;

const char*
AddressRemedy()
{
  return "Give the address that \"operators.listen\" sets in the daemon's "
         "settings, and check that the daemon is running; if the settings have "
         "\"peers.tls\", give --cert, --key and --authority too.";
}

VmAnswer
Failed(const std::string& aVm, std::string aError, std::string aRemedy)
{
  return { .m_vm = aVm,
           .m_result = std::nullopt,
           .m_error = std::move(aError),
           .m_remedy = std::move(aRemedy) };
}

VmAnswer
ReadRpcError(const std::string& aVm, const Json::Value& aError)
{
  if (!aError.isObject() || !aError["message"].isString()) {
    return Failed(aVm, "the JSON-RPC error has no message", AddressRemedy());
  }
  std::string message = aError["message"].asString();
  if (aError["code"].isInt() && aError["code"].asInt() == kRpcMethodNotFound) {
    return Failed(aVm,
                  message,
                  "Give the operators' address, not the peers' address, or "
                  "upgrade the daemon to this tool's version.");
  }
  const Json::Value& data = aError["data"];
  std::string remedy;
  if (data.isObject() && data["remedy"].isString()) {
    remedy = data["remedy"].asString();
  }
  return Failed(aVm, message, remedy);
}

VmAnswer
ReadResult(const std::string& aVm, const HttpResult& aResult)
{
  if (aResult.m_reply) {
    return ReadRpcAnswer(aVm, *aResult.m_reply);
  }
  std::string reason = aResult.m_failure ? aResult.m_failure->m_reason : "";
  return Failed(aVm, "no answer: " + reason, AddressRemedy());
}

std::string
RpcBody(const OperatorCall& aCall)
{
  Json::Value body(Json::objectValue);
  body["jsonrpc"] = "2.0";
  body["id"] = 1;
  body["method"] = aCall.m_method;
  body["params"] = aCall.m_params;
  return WriteJson(body);
}

class HttpOperators : public OperatorsI
{
public:
  HttpOperators(std::vector<std::string> aVms, TlsFiles aTls)
    : m_loop(MakeLoop({ .m_name = "ctl" }))
    , m_vms(std::move(aVms))
    , m_tls(std::move(aTls))
  {
  }

  std::vector<VmAnswer> Call(const OperatorCall& aCall) override
  {
    std::vector<VmAnswer> answers(m_vms.size());
    std::size_t waiting = m_vms.size();
    if (waiting == 0) {
      return answers;
    }
    std::vector<std::unique_ptr<HttpClientCallI>> calls;
    calls.reserve(m_vms.size());
    m_loop->Post([&] {
      for (std::size_t i = 0; i < m_vms.size(); ++i) {
        calls.push_back(m_loop->Client().FetchWhole(
          MakeCall(m_vms[i], aCall), [&, i](const HttpResult& aResult) {
            answers[i] = ReadResult(m_vms[i], aResult);
            --waiting;
            if (waiting == 0) {
              m_loop->Stop();
            }
          }));
      }
    });
    m_loop->Run();
    return answers;
  }

private:
  HttpCall MakeCall(const std::string& aVm, const OperatorCall& aCall) const
  {
    return { .m_method = "POST",
             .m_address = aVm,
             .m_path = "/rpc",
             .m_headers = { { "content-type", "application/json" } },
             .m_body = RpcBody(aCall),
             .m_headersTimeout = kOperatorCallTimeout,
             .m_idleTimeout = kOperatorCallTimeout,
             .m_maxBody = kMaxOperatorAnswerBytes,
             .m_tls = m_tls };
  }

  std::unique_ptr<LoopI> m_loop;
  std::vector<std::string> m_vms;
  TlsFiles m_tls;
};

} // namespace

VmAnswer
ReadRpcAnswer(const std::string& aVm, const HttpReply& aReply)
{
  if (aReply.m_status != kHttpOk) {
    return Failed(aVm,
                  "the answer has HTTP status " +
                    std::to_string(aReply.m_status),
                  AddressRemedy());
  }
  Json::Value body;
  try {
    body = ParseJson(aReply.m_body);
  } catch (const Error& error) {
    return Failed(
      aVm, std::string("the answer is not JSON: ") + error.what(), "");
  }
  if (!body.isObject() || body["jsonrpc"] != Json::Value("2.0")) {
    return Failed(aVm, "the answer is not JSON-RPC 2.0", AddressRemedy());
  }
  if (body.isMember("error")) {
    return ReadRpcError(aVm, body["error"]);
  }
  if (!body["result"].isObject()) {
    return Failed(aVm, "the JSON-RPC answer has no result", AddressRemedy());
  }
  return {
    .m_vm = aVm, .m_result = body["result"], .m_error = "", .m_remedy = ""
  };
}

std::unique_ptr<OperatorsI>
MakeOperators(std::vector<std::string> aVms, TlsFiles aTls)
{
  return std::make_unique<HttpOperators>(std::move(aVms), std::move(aTls));
}

} // namespace shallotford
