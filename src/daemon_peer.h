#ifndef SHALLOTFORD_SRC_DAEMON_PEER_H
#define SHALLOTFORD_SRC_DAEMON_PEER_H

/// Asynchronous JSON-RPC calls to other VMs.

#include "shallotford/net.h"

#include <functional>
#include <map>
#include <string>
#include <variant>

namespace shallotford {

/// Why a peer gave no result.
struct PeerFailure
{
  CallProgress m_progress{ CallProgress::NotSent };
  std::string m_reason;
};

using PeerResult = std::variant<Json::Value, PeerFailure>;
using PeerDone = std::function<void(PeerResult)>;

/// Calls methods of other VMs.
class PeerI
{
public:
  virtual ~PeerI() = default;
  /// Calls a method and gives its result, or the failure, to aDone.
  /// @param aPeer  peer address, "IP:PORT"
  /// @param aDone  called exactly once, later
  virtual void Call(const std::string& aPeer,
                    const std::string& aMethod,
                    const Json::Value& aParams,
                    PeerDone aDone) = 0;
};

/// Sends each call as POST /rpc with the HTTP client of a loop.
class HttpPeer : public PeerI
{
public:
  /// @param aLoop  must outlive this
  HttpPeer(LoopI& aLoop, TlsFiles aTls);
  void Call(const std::string& aPeer,
            const std::string& aMethod,
            const Json::Value& aParams,
            PeerDone aDone) override;

private:
  void Finish(std::uint64_t aNumber, const PeerDone& aDone, HttpResult aResult);

  LoopI& m_loop;
  TlsFiles m_tls;
  std::uint64_t m_next{ 0 }; ///< number of the next call, its JSON-RPC id
  std::map<std::uint64_t, std::unique_ptr<HttpClientCallI>> m_calls;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_PEER_H
