#ifndef SHALLOTFORD_SRC_ROUTER_CALLER_H
#define SHALLOTFORD_SRC_ROUTER_CALLER_H

/// Callers' connections: whole requests in, answers out, one after the other.

#include "shallotford/http1.h"
#include "shallotford/route.h"

namespace shallotford {

/// A whole request of a caller.
struct CallerRequest
{
  RequestHead m_head;
  std::shared_ptr<const std::string> m_body;
};

/// The answer to one request. Held by shared pointer; after the caller has
/// gone, every call is without effect.
class CallerExchangeI
{
public:
  virtual ~CallerExchangeI() = default;
  /// Sends a whole answer. aFields holds no framing.
  virtual void Respond(int aStatus,
                       const std::string& aReason,
                       HttpHeaders aFields,
                       std::string_view aBody) = 0;
  /// Begins a streamed answer.
  virtual void Begin(int aStatus,
                     const std::string& aReason,
                     HttpHeaders aFields) = 0;
  virtual void Write(std::string_view aBytes) = 0;
  virtual void End() = 0;
  /// Ends the connection so that the answer shows as incomplete.
  virtual void Abort() = 0;
  virtual std::size_t Buffered() const = 0;
  /// Calls aCallback each time all bytes have left.
  virtual void OnDrained(std::function<void()> aCallback) = 0;
  /// Calls aCallback once if the caller goes away before the answer's end.
  virtual void OnClosed(std::function<void()> aCallback) = 0;
};
using CallerExchangePtr = std::shared_ptr<CallerExchangeI>;

class CallerHandlerI
{
public:
  virtual ~CallerHandlerI() = default;
  virtual void OnRequest(CallerExchangePtr aExchange,
                         CallerRequest aRequest) = 0;
  /// A request was refused before it was whole.
  virtual void OnBadRequest(const Error& aError) = 0;
  /// The limits in force.
  virtual CallerLimits Limits() const = 0;
  /// Answers end their connections: this VM is leaving.
  virtual bool IsLeaving() const = 0;
};

class CallerConnection;

/// The listener and all connections of callers.
class CallerListener
{
public:
  CallerListener(LoopI& aLoop,
                 const StreamListenerOptions& aOptions,
                 CallerHandlerI& aHandler);
  ~CallerListener();

  std::uint16_t Port() const { return m_listener->Port(); }
  /// Closes the connections that wait for a request.
  void CloseIdle();
  std::size_t Count() const { return m_connections.size(); }

private:
  friend class CallerConnection;
  void OnAccept(std::unique_ptr<StreamI> aStream);
  /// Destroys aConnection once its event has ended.
  void Remove(CallerConnection* aConnection);

  LoopI& m_loop;
  StreamListenerOptions m_options;
  CallerHandlerI& m_handler;
  std::map<CallerConnection*, std::unique_ptr<CallerConnection>> m_connections;
  std::size_t m_bufferedBodies{ 0 }; ///< bytes of unfinished requests
  std::unique_ptr<StreamListenerI> m_listener;
};

/// Answers aExchange with an error in JSON.
void
RespondError(CallerExchangeI& aExchange, const Error& aError);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_ROUTER_CALLER_H
