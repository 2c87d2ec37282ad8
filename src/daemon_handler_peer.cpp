/// Serves the calls of other VMs on the peers' port: JSON-RPC, and ticketed
/// calls that they forward.

#include "config.h"
#include "daemon_handlers.h"
#include "shallotford/rpc.h"

namespace shallotford {

namespace {

constexpr std::string_view kForwardPrefix = "/forward";

void
RespondRpc(HttpExchangeI& aExchange, const std::string& aBody)
{
  aExchange.Respond(200, { { "content-type", "application/json" } }, aBody);
}

class PeerHandler : public HttpHandlerI
{
public:
  PeerHandler(ControlState& aState,
              ConfigSync& aConfig,
              GossipTask& aGossip,
              SweepTask& aSweep)
    : m_state(aState)
    , m_sweep(aSweep)
  {
    m_rpc.AddMethod("gossip", [&aGossip](const Json::Value& aParams) {
      return AsRpc([&] { return aGossip.OnCall(aParams); });
    });
    m_rpc.AddMethod("vm_list", [&aConfig](const Json::Value& aParams) {
      return AsRpc([&] { return aConfig.OnVmList(aParams); });
    });
    m_rpc.AddMethod("fleet_text", [&aConfig](const Json::Value& aParams) {
      return AsRpc([&] { return aConfig.OnFleetText(aParams); });
    });
  }

  void OnRequest(std::shared_ptr<HttpExchangeI> aExchange,
                 HttpRequest aRequest) override
  {
    if (aRequest.m_path.rfind("/forward/services/", 0) == 0) {
      aRequest.m_path.erase(0, kForwardPrefix.size());
      m_state.m_toWorker(ForwardedCall{ .m_exchange = std::move(aExchange),
                                        .m_owner = &m_state.m_loop,
                                        .m_request = std::move(aRequest) });
      return;
    }
    if (aRequest.m_method != "POST" || aRequest.m_path != "/rpc") {
      Error error(ErrorKind::NotFound,
                  "there is no " + aRequest.m_path + " on the peers' port",
                  "Use the callers' port.");
      aExchange->Respond(
        404, { { "content-type", "application/json" } }, ErrorBody(error));
      return;
    }
    OnRpc(aExchange, aRequest.m_body);
  }

private:
  /// Runs aFunction and turns an Error that it throws into a JSON-RPC error.
  template<class Function>
  static Json::Value AsRpc(Function aFunction)
  {
    try {
      return aFunction();
    } catch (const Error& error) {
      throw RpcError(kRpcApplicationError, error.what());
    }
  }

  void OnRpc(const std::shared_ptr<HttpExchangeI>& aExchange,
             const std::string& aBody)
  {
    // The worker answers the calls that are listed here; m_rpc answers the rest
    // at once.
    RpcCall call = ParseRpcCall(aBody);
    if (call.m_method == "owns") {
      Owns(aExchange, call);
      return;
    }
    if (call.m_method == "take_tickets") {
      TakeTickets(aExchange, call);
      return;
    }
    if (call.m_method == "suspect") {
      AskWorker(aExchange, call);
      return;
    }
    RespondRpc(*aExchange, m_rpc.Handle(aBody));
  }

  /// Passes a call about suspects on to the worker.
  void AskWorker(const std::shared_ptr<HttpExchangeI>& aExchange,
                 const RpcCall& aCall)
  {
    LoopI& loop = m_state.m_loop;
    auto reply =
      [&loop, aExchange, id = aCall.m_id](std::optional<Json::Value> aResult) {
        loop.Post([aExchange, id, result = std::move(aResult)] {
          std::string body =
            result ? RpcResultBody(id, *result)
                   : RpcErrorBody(id, kRpcApplicationError, "malformed call");
          RespondRpc(*aExchange, body);
        });
      };
    m_state.m_toWorker(SuspectQuery{ aCall.m_params, std::move(reply) });
  }

  void Owns(const std::shared_ptr<HttpExchangeI>& aExchange,
            const RpcCall& aCall)
  {
    try {
      m_sweep.OnOwns(aCall.m_params,
                     [aExchange, id = aCall.m_id](const Json::Value& aResult) {
                       RespondRpc(*aExchange, RpcResultBody(id, aResult));
                     });
    } catch (const std::exception& exception) {
      RespondRpc(
        *aExchange,
        RpcErrorBody(aCall.m_id, kRpcApplicationError, exception.what()));
    }
  }

  /// Takes over all used tickets of a stopping VM, or none of them.
  void TakeTickets(const std::shared_ptr<HttpExchangeI>& aExchange,
                   const RpcCall& aCall)
  {
    TicketHandOver message;
    for (const Json::Value& text : aCall.m_params["tickets"]) {
      message.m_texts.push_back(text.asString());
    }
    LoopI& loop = m_state.m_loop;
    message.m_reply = [this, &loop, aExchange, id = aCall.m_id](
                        std::optional<std::vector<VmIncarnation>> aFrom) {
      loop.Post([this, aExchange, id, from = std::move(aFrom)] {
        if (from) {
          AnnounceSuccession(*from);
        }
        Json::Value result(Json::objectValue);
        result["accepted"] = from.has_value();
        RespondRpc(*aExchange, RpcResultBody(id, result));
      });
    };
    m_state.m_toWorker(std::move(message));
  }

  /// Spreads that this VM has taken over the used tickets of aFrom.
  void AnnounceSuccession(const std::vector<VmIncarnation>& aFrom)
  {
    const std::string& self = m_state.m_options.m_vm.m_address;
    for (const VmIncarnation& vm : aFrom) {
      m_state.m_membership.Spread(kRumorSuccession,
                                  ToString(vm),
                                  1,
                                  self,
                                  kSuccessionRumorLifetime,
                                  m_state.Now());
      m_state.m_successions.push_back({ .m_from = vm, .m_successor = self });
      m_state.Audit(AuditKind::Membership,
                    ToString(vm),
                    "used tickets taken over",
                    "its planned stop");
    }
    m_state.m_toWorker(TicketSuccessions{ m_state.m_successions });
  }

  ControlState& m_state;
  SweepTask& m_sweep;
  RpcServer m_rpc;
};

} // namespace

std::unique_ptr<HttpHandlerI>
MakePeerHandler(ControlState& aState,
                ConfigSync& aConfig,
                GossipTask& aGossip,
                SweepTask& aSweep)
{
  return std::make_unique<PeerHandler>(aState, aConfig, aGossip, aSweep);
}

} // namespace shallotford
