#ifndef SHALLOTFORD_SRC_ROUTER_PERMITS_H
#define SHALLOTFORD_SRC_ROUTER_PERMITS_H

/// Keeps the requests of all VMs within the limits that upstreams name. One VM
/// owns each upstream and issues permits to the others; limits spread by
/// gossip.

#include "daemon_metrics.h"
#include "daemon_peer.h"
#include "shallotford/router.h"

namespace shallotford {

struct UpstreamPermitsParts
{
  LoopI& m_loop;
  PeerI& m_peerCalls;
  const PeerList& m_peers;
  LogI& m_log;
  Metrics& m_metrics;
};

/// Used by one task only.
class UpstreamPermits
{
public:
  using Done = std::function<void(bool aGranted)>;

  explicit UpstreamPermits(const UpstreamPermitsParts& aParts);

  /// An upstream answered a request that was sent at aSentAt.
  void OnAnswer(const UpstreamKey& aUpstream,
                const AnswerFacts& aFacts,
                TimePoint aSentAt);
  /// Returns whether a request may get a permit now: the upstream has no limit,
  /// or this VM may ask for permits.
  bool MayAcquire(const UpstreamKey& aUpstream) const;
  /// Returns how long a caller should wait for a permit.
  std::chrono::milliseconds RetryAfter(const UpstreamKey& aUpstream) const;
  /// Asks for the permits of one request.
  /// @param aSends  1 to kMaxPermitSends
  /// @param aDone   called once, at once or within some kPermitTimeout
  void Acquire(const UpstreamKey& aUpstream, std::uint32_t aSends, Done aDone);
  /// Counts a request that is sent without a permit.
  void Charge(const UpstreamKey& aUpstream);
  /// This process was paused.
  void OnPause();
  void Expire();
  std::size_t LimitedUpstreams() const;

  /// Returns the limits for a gossip message.
  Json::Value Digest() const;
  /// Merges another VM's digest; malformed entries are ignored.
  void Merge(const Json::Value& aDigest);
  /// Serves another VM's call for permits.
  /// @throws RpcError if it is malformed
  Json::Value OnAsk(const Json::Value& aParams);

private:
  struct Asking
  {
    std::vector<Done> m_next;   ///< not yet asked for
    std::uint32_t m_sends{ 1 }; ///< the most of one request in m_next
    bool m_underWay{ false };
  };
  /// One call for permits.
  struct Ask
  {
    UpstreamKey m_upstream;
    std::vector<Done> m_waiting;
    std::uint32_t m_sends{ 1 };
    std::uint32_t m_debt{ 0 };
    bool m_redirected{ false };
    bool m_answered{ false };
    TimePoint m_sentAt{};
    TimersI::TimerId m_timer{ 0 };
  };
  using AskPtr = std::shared_ptr<Ask>;

  void Start(const UpstreamKey& aUpstream);
  void Send(const AskPtr& aAsk, const std::string& aOwner);
  void OnResult(const AskPtr& aAsk,
                const std::string& aOwner,
                const PeerResult& aResult);
  void End(const AskPtr& aAsk, const PermitReply& aReply);
  /// Tells the waiting requests which of them may be sent.
  void Distribute(const AskPtr& aAsk, std::uint32_t aGranted);
  void EndFailed(const AskPtr& aAsk,
                 const std::string& aOwner,
                 const std::string& aReason);
  PermitReply Issue(const UpstreamKey& aUpstream, const PermitAsk& aAsk);
  std::string OwnerOf(const UpstreamKey& aUpstream) const;
  Json::Value ToJson(const UpstreamKey& aUpstream,
                     const NamedLimit& aLimit) const;
  /// @return whether aEntry is well-formed
  bool MergeEntry(const Json::Value& aEntry);
  void LogChange(const UpstreamKey& aUpstream,
                 const std::optional<double>& aBefore,
                 std::string_view aFrom);

  UpstreamPermitsParts m_parts;
  LimitTable m_limits;
  PermitIssuer m_issuer;
  PermitPauses m_pauses;
  std::map<UpstreamKey, Asking> m_asking;
  std::shared_ptr<bool> m_alive{ std::make_shared<bool>(true) };
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_ROUTER_PERMITS_H
