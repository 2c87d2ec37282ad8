#ifndef SHALLOTFORD_SRC_ROUTER_UPSTREAM_H
#define SHALLOTFORD_SRC_ROUTER_UPSTREAM_H

/// Pool of HTTP connections to upstreams. Each carries one request at a time
/// and is reused only after an answer that ended cleanly.

#include "shallotford/http1.h"
#include "shallotford/route.h"

namespace shallotford {

/// Why a call failed, and what its connection had done until then.
struct CallFailure
{
  AttemptEnd m_end{ AttemptEnd::Broken }; ///< NotConnected, Broken or TimedOut
  std::string m_reason;
  bool m_reused{ false }; ///< an earlier request had used the connection
  std::uint64_t m_sentBytes{ 0 };   ///< of the request, taken by the socket
  bool m_closedByUpstream{ false }; ///< closed or reset by the upstream
};

/// Receives the events of one request at an upstream. The last event is either
/// OnAnswerEnd() or OnCallFailed().
class UpstreamCallHandlerI
{
public:
  virtual ~UpstreamCallHandlerI() = default;
  /// The connection can take the request, which leaves right after this call:
  /// time has passed since Start().
  /// @param aHead  as given to Start()
  /// @return the head to send, or nothing if the request must not be sent any
  ///         more; the call is cancelled then
  virtual std::optional<std::string> OnReadyToSend(std::string aHead)
  {
    return aHead;
  }
  virtual void OnAnswerHead(const AnswerHead& aHead) = 0;
  virtual void OnAnswerBody(std::string_view aBytes) = 0;
  virtual void OnAnswerEnd() = 0;
  virtual void OnCallFailed(const CallFailure& aFailure) = 0;
};

/// The bytes of a request for an upstream, and its timeouts.
struct UpstreamCallOptions
{
  std::string m_head;
  std::shared_ptr<const std::string> m_body;
  bool m_isHead{ false }; ///< the method is HEAD
  /// A connection that was idle for longer is not reused.
  std::chrono::milliseconds m_maxReuseIdle{ 0 };
  /// Longest time from the start until the request leaves; 0 for m_headTimeout.
  std::chrono::milliseconds m_sendTimeout{ 0 };
  /// Longest time from the start to the answer's head.
  std::chrono::milliseconds m_headTimeout{ 0 };
  /// Longest time without bytes in the answer's body.
  std::chrono::milliseconds m_bodyTimeout{ 0 };
  /// Longest time from the start to the answer's end; 0 for no such bound.
  std::chrono::milliseconds m_wholeTimeout{ 0 };
};

/// A request under way. It must not be destroyed inside its own events.
class UpstreamCallI
{
public:
  virtual ~UpstreamCallI() = default;
  /// Closes the connection at once, which makes the upstream stop working on
  /// the request. Nothing more is sent, and no further event is delivered.
  /// @return whether the upstream may have received a byte of the request
  virtual bool Cancel() = 0;
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;
  /// Returns whether an earlier request had used the connection.
  virtual bool IsReused() const = 0;
};

/// Numbers of requests for which a ConnectionPool opened a connection or reused
/// an idle one, since its start.
struct ConnectionPoolCounts
{
  std::uint64_t m_opened{ 0 };
  std::uint64_t m_reused{ 0 };
};

class UpstreamConnection;

/// Connections to all upstreams. Used by one task only.
class ConnectionPool
{
public:
  explicit ConnectionPool(LoopI& aLoop);
  ~ConnectionPool();

  /// Starts a request. aHandler is never called from inside Start() and must
  /// outlive the call.
  std::unique_ptr<UpstreamCallI> Start(const UpstreamEntry& aUpstream,
                                       UpstreamCallOptions aOptions,
                                       UpstreamCallHandlerI& aHandler);
  /// Closes the idle connections to aKey.
  void CloseIdle(const UpstreamKey& aKey);
  void CloseAllIdle();
  const ConnectionPoolCounts& Counts() const { return m_counts; }

private:
  friend class UpstreamCall;
  friend class UpstreamConnection;

  /// Returns the idle connection that was used last, or nullptr.
  std::unique_ptr<UpstreamConnection> TakeIdle(const UpstreamKey& aKey,
                                               Duration aMaxIdle);
  /// Keeps a connection whose answer ended cleanly for aLifetime.
  void AddIdle(std::unique_ptr<UpstreamConnection> aConnection,
               std::chrono::milliseconds aLifetime);
  void RemoveIdle(UpstreamConnection* aIdle);

  LoopI& m_loop;
  std::map<UpstreamKey, std::vector<std::unique_ptr<UpstreamConnection>>>
    m_idle;
  ConnectionPoolCounts m_counts;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_ROUTER_UPSTREAM_H
