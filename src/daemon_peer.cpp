/// Asynchronous JSON-RPC calls to other VMs.

#include "daemon_peer.h"

#include "config.h"
#include "shallotford/rpc.h"

namespace shallotford {

HttpPeer::HttpPeer(LoopI& aLoop, TlsFiles aTls)
  : m_loop(aLoop)
  , m_tls(std::move(aTls))
{
}

void
HttpPeer::Call(const std::string& aPeer,
               const std::string& aMethod,
               const Json::Value& aParams,
               PeerDone aDone)
{
  std::uint64_t number = m_next++;
  HttpCall call{ .m_method = "POST",
                 .m_address = aPeer,
                 .m_path = "/rpc",
                 .m_headers = { { "content-type", "application/json" } },
                 .m_body = RpcRequestBody(
                   aMethod, aParams, static_cast<Json::Int64>(number)),
                 .m_headersTimeout = kPeerTimeout,
                 .m_idleTimeout = kPeerTimeout,
                 .m_wholeTimeout = 2 * kPeerTimeout,
                 .m_tls = m_tls };
  m_calls[number] = m_loop.Client().FetchWhole(
    std::move(call),
    [this, number, done = std::move(aDone)](HttpResult aResult) {
      Finish(number, done, std::move(aResult));
    });
}

void
HttpPeer::Finish(std::uint64_t aNumber,
                 const PeerDone& aDone,
                 HttpResult aResult)
{
  auto call = m_calls.extract(aNumber);
  m_loop.DestroyLater(std::move(call.mapped()));
  if (aResult.m_failure) {
    aDone(PeerFailure{ aResult.m_failure->m_progress,
                       aResult.m_failure->m_reason });
    return;
  }
  PeerResult result;
  try {
    result =
      ParseRpcReply(aResult.m_reply->m_body, static_cast<Json::Int64>(aNumber));
  } catch (const RpcError& error) {
    result = PeerFailure{ CallProgress::Answered, error.what() };
  }
  aDone(std::move(result));
}

} // namespace shallotford
