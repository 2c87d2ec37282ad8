#ifndef SHALLOTFORD_SRC_ROUTER_ORIGINS_H
#define SHALLOTFORD_SRC_ROUTER_ORIGINS_H

/// The software version that began each recent stream. A caller may take a
/// stream up again at any VM, so each VM leaves its streams' origins with some
/// others, and asks others for those that it doesn't know.

#include "daemon_metrics.h"
#include "daemon_peer.h"
#include "shallotford/route.h"
#include "shallotford/rpc.h"

namespace shallotford {

/// Which software version runs one request's stream.
struct StreamOrigin
{
  std::string m_requestId;
  std::string m_service; ///< empty if a VM of an older program doesn't say it
  std::string m_softwareVersion;
  /// Time for which its caller waits in all, at least.
  std::chrono::milliseconds m_wait{ 0 };
  /// Number of the request's attempt; a higher one replaces a lower one.
  std::uint32_t m_attempt{ 0 };
};

struct StreamOriginsParts
{
  LoopI& m_loop;
  PeerI& m_peerCalls;
  const PeerList& m_peers;
  LogI& m_log;
  Metrics& m_metrics;
};

/// Used by one task only.
class StreamOrigins
{
public:
  using Found = std::function<void(const std::optional<std::string>&)>;

  explicit StreamOrigins(const StreamOriginsParts& aParts)
    : m_parts(aParts)
  {
  }

  /// Stores an origin here and at kOriginReplicas other VMs.
  void Publish(const StreamOrigin& aOrigin);
  /// Finds the software version that began a stream, here or at other VMs.
  /// @param aDone  called once, within kOriginLookupTimeout; gets nothing if no
  ///               VM knows it
  void Find(const std::string& aRequestId, Found aDone);
  /// Returns the longest time for which callers waited for streams of a service
  /// lately, as far as this VM knows; 0 if it knows none.
  std::chrono::milliseconds LongestWait(const std::string& aService) const
  {
    return m_waits.Longest(aService, m_parts.m_loop.Now());
  }
  /// Discards origins older than kOriginLifetime.
  void Expire();

  // Calls of other VMs.
  Json::Value OnPublished(const Json::Value& aParams);
  Json::Value OnAsked(const Json::Value& aParams) const;

private:
  struct Lookup;

  void Put(const StreamOrigin& aOrigin);
  void OnAnswer(const std::shared_ptr<Lookup>& aLookup,
                const PeerResult& aResult);
  void EndLookup(Lookup& aLookup, std::string_view aFrom);

  StreamOriginsParts m_parts;
  StreamWaits m_waits;
  std::map<std::string, StreamOrigin> m_origins;         ///< by request id
  std::deque<std::pair<TimePoint, std::string>> m_byAge; ///< ids, oldest first
  std::shared_ptr<bool> m_alive{ std::make_shared<bool>(true) };
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_ROUTER_ORIGINS_H
