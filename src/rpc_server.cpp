/// JSON-RPC 2.0 server: dispatches requests to methods with libjsonrpccpp.

#include "shallotford/rpc.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>
#include <utility>

namespace shallotford {

namespace {

/// The reply to a request on which libjsonrpccpp throws, such as JSON that is
/// nested too deeply.
constexpr const char* kParseErrorReply =
  "{\"error\":{\"code\":-32700,\"message\":\"the request is not JSON that can "
  "be read\"},\"id\":null,\"jsonrpc\":\"2.0\"}\n";

} // namespace

class RpcServer::Implementation : public jsonrpc::IProcedureInvokationHandler
{
public:
  Implementation()
    : m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
        jsonrpc::JSONRPC_SERVER_V2,
        *this))
  {
  }

  void AddMethod(const std::string& aName, Method aMethod)
  {
    if (aName.empty() || !m_methods.emplace(aName, std::move(aMethod)).second) {
      throw std::invalid_argument("method \"" + aName + "\" is already there");
    }
    m_protocol->AddProcedure(jsonrpc::Procedure(
      aName, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
  }

  std::string Handle(const std::string& aBody)
  {
    std::string reply;
    try {
      m_protocol->HandleRequest(aBody, reply);
    } catch (const std::exception&) {
      return kParseErrorReply;
    }
    return reply;
  }

  void HandleMethodCall(jsonrpc::Procedure& aProcedure,
                        const Json::Value& aInput,
                        Json::Value& aOutput) override
  {
    try {
      aOutput = m_methods.at(aProcedure.GetProcedureName())(aInput);
    } catch (const RpcError& error) {
      throw jsonrpc::JsonRpcException(error.Code(), error.what(), error.Data());
    } catch (const std::exception& error) {
      throw jsonrpc::JsonRpcException(kRpcInternalError, error.what());
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*aProcedure*/,
                              const Json::Value& /*aInput*/) override
  {
  }

private:
  std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
  std::map<std::string, Method> m_methods;
};

RpcServer::RpcServer()
  : m_implementation(std::make_unique<Implementation>())
{
}

RpcServer::~RpcServer() = default;

void
RpcServer::AddMethod(const std::string& aName, Method aMethod)
{
  m_implementation->AddMethod(aName, std::move(aMethod));
}

std::string
RpcServer::Handle(const std::string& aBody)
{
  return m_implementation->Handle(aBody);
}

} // namespace shallotford
