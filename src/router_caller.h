#ifndef SHALLOTFORD_SRC_ROUTER_CALLER_H
#define SHALLOTFORD_SRC_ROUTER_CALLER_H

/// HTTP server for callers: it reads requests, hands over each complete one,
/// and sends the answers in the same order.

#include "shallotford/http1.h"
#include "shallotford/intake.h"
#include "shallotford/route.h"

#include <list>

namespace shallotford {

/// A complete request of a caller.
struct CallerRequest
{
  RequestHead m_head;
  std::shared_ptr<const std::string> m_body;
  /// Time at which the begin of its head arrived at this machine, which may be
  /// long before it was read.
  TimePoint m_arrivedAt{};
};

/// Sends the answer to one request. Held by shared pointer; once the caller has
/// disconnected, calls have no effect.
class CallerExchangeI
{
public:
  virtual ~CallerExchangeI() = default;
  /// Sends a complete answer. aFields holds no framing.
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
  /// Closes the connection without the answer's last chunk, so that the caller
  /// sees that the answer is incomplete.
  virtual void Abort() = 0;
  /// Returns whether the caller has disconnected, also if the loop hasn't met
  /// the event yet.
  virtual bool HasCallerLeft() const = 0;
  /// Claims room for the answer's first bytes until its end.
  /// @return false if there is none; the request must be refused then
  virtual bool ClaimRoom() { return true; }
  /// Tells how many bytes of answers are held until one is complete.
  virtual void SetHeld(std::size_t /*aBytes*/) {}
  /// Returns whether there is room to hold on an answer of which aBytes are
  /// held.
  virtual bool MayHold(std::size_t /*aBytes*/) const { return true; }
  /// Returns the bytes that may wait for the caller while its upstream is read.
  virtual std::size_t MaxBuffered() const;
  /// Returns the bytes that wait to be sent to the caller.
  virtual std::size_t Buffered() const = 0;
  /// Calls aCallback each time all buffered bytes have been sent.
  virtual void OnDrained(std::function<void()> aCallback) = 0;
  /// Calls aCallback once if the caller disconnects before the answer's end.
  virtual void OnClosed(std::function<void()> aCallback) = 0;
};
using CallerExchangePtr = std::shared_ptr<CallerExchangeI>;

/// Why this VM closed a caller's connection.
enum class CloseCause
{
  Idle,     ///< no request came within the idle timeout
  Stop,     ///< this VM stops
  Answered, ///< the last answer said that it closes the connection
  Cut,      ///< a streamed answer could not go on
};
const char*
ToString(CloseCause aCause);

/// What a listener does when memory or descriptors run short.
enum class IntakeAct
{
  Pause,       ///< stops reading from a connection
  Brief,       ///< takes a new connection for one request
  Displace,    ///< closes a brief connection for a new one
  Refuse,      ///< closes a new connection
  Request,     ///< refuses a request, as its answer would find no room
  Close,       ///< closes a connection that makes no progress
  Connections, ///< closes a new connection, as there are too many
  Descriptors, ///< stops accepting for a moment, as none is left
};
const char*
ToString(IntakeAct aAct);

/// Receives callers' requests.
class CallerHandlerI
{
public:
  virtual ~CallerHandlerI() = default;
  /// This VM closed a connection; the caller hasn't yet.
  virtual void OnClose(CloseCause /*aCause*/) {}
  /// Bytes of the caller were read and dropped, as this VM had closed the
  /// connection or was just closing it.
  virtual void OnDropped(CloseCause /*aCause*/, std::size_t /*aBytes*/) {}
  /// A request's head has been read; its body has not.
  /// @throws Error that refuses the request and closes its connection
  virtual void OnHead(const RequestHead& /*aHead*/) {}
  virtual void OnRequest(CallerExchangePtr aExchange,
                         CallerRequest aRequest) = 0;
  /// A request was refused before it was complete.
  virtual void OnBadRequest(const Error& aError) = 0;
  /// The account of memory or the descriptors called for aAct.
  virtual void OnIntake(IntakeAct /*aAct*/) {}
  /// The limits in force.
  virtual CallerLimits Limits() const = 0;
  /// Returns whether this VM is stopping. Each answer then closes its
  /// connection.
  virtual bool IsLeaving() const = 0;
};

class CallerConnection;

/// The listener and all connections of callers.
class CallerListener
{
public:
  /// @param aIntake  shared with other listeners; its own if not given
  CallerListener(LoopI& aLoop,
                 const StreamListenerOptions& aOptions,
                 CallerHandlerI& aHandler,
                 std::shared_ptr<Intake> aIntake = {});
  ~CallerListener();

  std::uint16_t Port() const { return m_listener->Port(); }
  /// Closes the connections that wait for a request.
  void CloseIdle();
  std::size_t Count() const { return m_connections.size(); }
  /// Goes on reading where there is room again, and refuses or
  /// closes the heaviest without progress where there is none. Ends the
  /// requests of callers that have left while they weren't read.
  void Sweep();

private:
  friend class CallerConnection;
  void OnAccept(std::unique_ptr<StreamI> aStream);
  /// Goes on reading in the loop's next turn where there is room again.
  void ReadOnLater();
  void ReadOn();
  /// Updates all connections once the account is no longer calm, as each of
  /// them could read once more before it notices.
  void UpdateIfPressed();
  /// Makes place for another brief connection, at the cost of the oldest one
  /// without a complete request, or whose answer is in the socket.
  /// @return false if there is none
  bool MakeBriefPlace();
  /// Destroys aConnection once its event has ended.
  void Remove(CallerConnection* aConnection);

  LoopI& m_loop;
  StreamListenerOptions m_options;
  CallerHandlerI& m_handler;
  std::shared_ptr<Intake> m_intake; ///< shared with other listeners
  // Connections use these as they are destroyed.
  int m_heldBack{ 0 };     ///< connections that aren't read for lack of room
  bool m_readsOn{ false }; ///< ReadOnLater() has been called
  bool m_isCalm{ true };   ///< the account, at the last UpdateIfPressed()
  std::shared_ptr<bool> m_alive{ std::make_shared<bool>(true) };
  std::map<CallerConnection*, std::unique_ptr<CallerConnection>> m_connections;
  std::list<CallerConnection*> m_brief; ///< the oldest first
  std::unique_ptr<StreamListenerI> m_listener;
};

/// Answers aExchange with an error in JSON.
void
RespondError(CallerExchangeI& aExchange, const Error& aError);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_ROUTER_CALLER_H
