#ifndef SHALLOTFORD_NET_H
#define SHALLOTFORD_NET_H

/// Event loops, HTTP/1.1 server and client over libwebsockets.
///
/// A task owns one loop, its sockets and its state, and runs on one thread.
/// Every call is made on the loop's own thread, except LoopI::Post() and
/// LoopI::Stop(). Tasks talk by messages through a Mailbox.

#include "shallotford/base.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace shallotford {

class Intake;

struct HttpHeader
{
  std::string m_name; ///< lower case
  std::string m_value;
};
using HttpHeaders = std::vector<HttpHeader>;

/// Returns the first header named aName (lower case), or nullptr.
const std::string*
FindHeader(const HttpHeaders& aHeaders, std::string_view aName);

/// Adds the fields that say when a refused request may be sent again, if
/// aError has a time for it.
void
AddRetryAfter(HttpHeaders& aHeaders, const Error& aError);

/// A whole request that a server received.
struct HttpRequest
{
  std::string m_method; ///< "GET", "POST", "PUT", "DELETE"
  /// Without the query; percent-decoded, dot segments and double slashes
  /// resolved.
  std::string m_path;
  std::string m_query; ///< after '?', percent-encoded
  /// The standard headers, and those of kCustomHeaders (src/config.h):
  /// libwebsockets cannot list headers that it does not know by name.
  HttpHeaders m_headers;
  std::string m_body;
  std::string m_peer; ///< IP address of the sender
  /// Subject common name of a verified client certificate, else empty.
  std::string m_peerCertificate;
};

/// Returns aText percent-encoded, all but unreserved characters and those in
/// aKeep. Used for paths that are passed on, since HttpRequest::m_path is
/// decoded.
std::string
PercentEncode(std::string_view aText, std::string_view aKeep = "/:~");

/// Returns the value of query parameter aName, percent-decoded.
std::optional<std::string>
QueryParameter(const HttpRequest& aRequest, std::string_view aName);

/// The server's side of one request. Held by shared pointer; after the caller
/// closed, every call is without effect.
class HttpExchangeI
{
public:
  virtual ~HttpExchangeI() = default;
  /// Sends status and headers of a streamed answer, chunked.
  virtual void Begin(int aStatus, const HttpHeaders& aHeaders) = 0;
  /// Queues body bytes. All that is queued leaves in as few writes as possible.
  virtual void Write(std::string_view aBytes) = 0;
  /// Ends a streamed answer.
  virtual void End() = 0;
  /// Sends a whole answer with its content-length.
  virtual void Respond(int aStatus,
                       const HttpHeaders& aHeaders,
                       std::string_view aBody) = 0;
  /// Cuts the connection without an end of the answer.
  virtual void Abort() = 0;
  /// Returns the bytes that are queued and not yet taken by the socket.
  virtual std::size_t Buffered() const = 0;
  /// Returns whether more than a quarter of ServerOptions::m_sendBuffer may be
  /// queued.
  virtual bool MayQueue() const { return true; }
  /// Calls aCallback each time the buffer has drained to a quarter of
  /// ServerOptions::m_sendBuffer or less, after it was above it.
  virtual void OnDrained(std::function<void()> aCallback) = 0;
  /// Calls aCallback once if the peer goes away before the answer's end.
  virtual void OnClosed(std::function<void()> aCallback) = 0;
};

class HttpHandlerI
{
public:
  virtual ~HttpHandlerI() = default;
  virtual void OnRequest(std::shared_ptr<HttpExchangeI> aExchange,
                         HttpRequest aRequest) = 0;
};

/// Certificate files; empty paths mean plain TCP.
struct TlsFiles
{
  std::string m_certificate; ///< PEM chain
  std::string m_key;         ///< PEM private key
  /// PEM bundle that peers' certificates must chain to. A server that has one
  /// demands a client certificate.
  std::string m_peerAuthority;

  bool operator==(const TlsFiles&) const = default;
  bool IsSet() const
  {
    return !m_certificate.empty() || !m_peerAuthority.empty();
  }
};

struct ServerOptions
{
  std::string m_address{ "127.0.0.1" };
  std::uint16_t m_port{ 0 };             ///< 0 takes a free port
  std::size_t m_maxBody{ 8u << 20 };     ///< bytes; above it 413
  std::size_t m_maxHeaders{ 16u << 10 }; ///< bytes; above it 431
  std::size_t m_maxConnections{ 4096 };
  std::size_t m_sendBuffer{ 256u << 10 }; ///< bytes held per answer
  std::chrono::milliseconds m_idleTimeout{ 60'000 };
  /// Time a caller has to send its whole request.
  std::chrono::milliseconds m_requestTimeout{ 30'000 };
  /// Account of what the connections hold; requests that find no room are
  /// refused. Servers of one loop may share it; may be null.
  std::shared_ptr<Intake> m_intake;
  TlsFiles m_tls;
};

/// A listening socket. Destroying it closes it and its connections.
class HttpServerI
{
public:
  virtual ~HttpServerI() = default;
  virtual std::uint16_t Port() const = 0;
  /// Stops accepting; answers that are under way go on.
  virtual void StopAccepting() = 0;
  /// Returns the number of answers under way.
  virtual std::size_t InFlight() const = 0;
};

/// A request to send.
struct HttpCall
{
  std::string m_method{ "GET" };
  std::string m_address; ///< "IP:PORT"
  std::string m_path;    ///< with its query
  HttpHeaders m_headers;
  std::string m_body;
  /// Names, in lower case, of headers of the answer that are read besides the
  /// standard ones and those of kCustomHeaders.
  std::vector<std::string> m_answerHeaders;
  /// Time from the call to the end of the answer's headers.
  std::chrono::milliseconds m_headersTimeout{ 5'000 };
  /// Longest silence inside the answer's body.
  std::chrono::milliseconds m_idleTimeout{ 30'000 };
  /// Time from the call to the answer's end; 0 for no such bound.
  std::chrono::milliseconds m_wholeTimeout{ 0 };
  std::size_t m_maxBody{ 8u << 20 }; ///< for FetchWhole only
  TlsFiles m_tls;
};

/// How far a failed call came. Decides whether the request may have run.
enum class CallProgress
{
  NotSent,  ///< no byte left this process
  Sent,     ///< at least one byte was given to the socket
  Answered, ///< the answer's status arrived
};

struct HttpFailure
{
  CallProgress m_progress{ CallProgress::NotSent };
  std::string m_reason;
};

/// Receives the events of one call, in order, ending with exactly one of
/// OnEnd or OnFailure; none after HttpClientCallI::Cancel().
class HttpClientHandlerI
{
public:
  virtual ~HttpClientHandlerI() = default;
  virtual void OnHeaders(int aStatus, const HttpHeaders& aHeaders) = 0;
  virtual void OnBody(std::string_view aBytes) = 0;
  virtual void OnEnd() = 0;
  virtual void OnFailure(const HttpFailure& aFailure) = 0;
};

/// A call under way. Destroying it cancels it.
class HttpClientCallI
{
public:
  virtual ~HttpClientCallI() = default;
  virtual CallProgress Progress() const = 0;
  /// Closes the connection; no further event is delivered.
  virtual void Cancel() = 0;
  /// Stops and restarts reading the answer's body (flow control).
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

/// A whole answer.
struct HttpReply
{
  int m_status{};
  HttpHeaders m_headers;
  std::string m_body;
};
struct HttpResult
{
  std::optional<HttpReply> m_reply;     ///< set if the answer is whole
  std::optional<HttpFailure> m_failure; ///< set otherwise
};

/// What sends requests, each on a connection of its own, so that none waits
/// behind another. The interface that tests replace.
class HttpClientI
{
public:
  virtual ~HttpClientI() = default;
  /// Starts aCall. aHandler is never called from inside Fetch().
  virtual std::unique_ptr<HttpClientCallI> Fetch(
    HttpCall aCall,
    std::shared_ptr<HttpClientHandlerI> aHandler) = 0;
  /// Starts aCall and delivers its whole answer.
  std::unique_ptr<HttpClientCallI> FetchWhole(
    HttpCall aCall,
    std::function<void(HttpResult)> aDone);
};

/// Timers. The interface that tests replace by a fake clock's.
class TimersI
{
public:
  using TimerId = std::uint64_t;
  virtual ~TimersI() = default;
  virtual TimePoint Now() const = 0;
  /// Runs aCallback once after aDelay; never from inside this call.
  virtual TimerId RunAfter(Duration aDelay,
                           std::function<void()> aCallback) = 0;
  virtual void CancelTimer(TimerId aTimer) = 0;
};

/// Receives the events of one byte stream. After OnBroken() none follows.
class StreamHandlerI
{
public:
  virtual ~StreamHandlerI() = default;
  /// The outgoing connection is established. Not called for accepted ones.
  virtual void OnConnected() {}
  virtual void OnBytes(std::string_view aBytes) = 0;
  /// The peer sent its end; writing is still possible.
  virtual void OnPeerFinished() = 0;
  /// All queued bytes were given to the socket.
  virtual void OnDrained() {}
  /// The connection broke or could not be established.
  /// @param aReason  the system's error, such as "Connection refused"
  virtual void OnBroken(const std::string& aReason) = 0;
};

/// One TCP connection that carries bytes. Destroying it closes it at once;
/// no event follows. It may be destroyed inside its own events.
class StreamI
{
public:
  virtual ~StreamI() = default;
  virtual void SetHandler(StreamHandlerI* aHandler) = 0;
  virtual void Write(std::string_view aBytes) = 0;
  /// Returns the bytes that are queued and not yet taken by the socket.
  virtual std::size_t Buffered() const = 0;
  /// Returns the bytes that the socket has taken since the connection opened.
  virtual std::uint64_t BytesSent() const = 0;
  /// Returns how long ago the peer's last bytes arrived at this machine,
  /// whether or not they are read yet. The kernel keeps it in its clock ticks.
  virtual Duration SinceArrival() const = 0;
  /// Returns whether the peer's end or a reset has arrived, whether or not the
  /// bytes before it are read yet.
  virtual bool HasPeerLeft() const = 0;
  /// Returns whether bytes of the peer, or its end, have arrived that aren't
  /// read yet.
  virtual bool HasUnread() const = 0;
  /// Sends the end after all queued bytes; reading goes on.
  virtual void FinishWriting() = 0;
  /// Destroying it will reset the connection instead of ending it in order.
  virtual void ResetOnDestroy() = 0;
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;
  /// Reads at most aBytes at once.
  virtual void LimitReads(std::size_t /*aBytes*/) {}
};

struct StreamOptions
{
  std::string m_address; ///< "IP:PORT"
  /// Unacknowledged bytes break the connection after so long.
  std::chrono::milliseconds m_silenceTimeout{ 5'000 };
};

struct StreamListenerOptions
{
  std::string m_address; ///< "IP:PORT"; port 0 takes a free one
  std::size_t m_maxConnections{ 4096 };
  std::chrono::milliseconds m_silenceTimeout{ 15'000 };
  /// Called when no descriptor is left for a connection that waits; accepting
  /// then pauses for a moment.
  std::function<void()> m_onExhausted;
};

/// A listening socket. Destroying it closes it and leaves its connections.
class StreamListenerI
{
public:
  virtual ~StreamListenerI() = default;
  virtual std::uint16_t Port() const = 0;
};

/// Raw TCP connections. The interface that tests replace by fakes.
class StreamsI
{
public:
  virtual ~StreamsI() = default;
  /// Starts to connect. aHandler is never called from inside Connect().
  /// @throws Error (InvalidConfig) if the address isn't "IP:PORT"
  virtual std::unique_ptr<StreamI> Connect(const StreamOptions& aOptions,
                                           StreamHandlerI& aHandler) = 0;
  /// @throws Error (InvalidConfig) if it cannot listen
  virtual std::unique_ptr<StreamListenerI> Listen(
    const StreamListenerOptions& aOptions,
    std::function<void(std::unique_ptr<StreamI>)> aOnAccept) = 0;
};

struct LoopOptions
{
  std::string m_name{ "task" };
  std::size_t m_maxSockets{ 8192 };
};

/// One task's event loop.
class LoopI : public TimersI
{
public:
  /// Runs aFunction on the loop's thread. Safe from any thread.
  virtual void Post(std::function<void()> aFunction) = 0;
  /// Destroys aObject later, on the loop's thread: what may be inside its own
  /// event must not be destroyed at once.
  void DestroyLater(std::shared_ptr<void> aObject)
  {
    Post([object = std::move(aObject)] {});
  }
  /// Serves until Stop().
  virtual void Run() = 0;
  /// Makes Run() return. Safe from any thread and from a signal handler's
  /// thread.
  virtual void Stop() = 0;
  virtual HttpClientI& Client() = 0;
  virtual StreamsI& Streams() = 0;
  /// Opens a listening socket. @throws Error (InvalidConfig) if it cannot
  virtual std::unique_ptr<HttpServerI> Listen(const ServerOptions& aOptions,
                                              HttpHandlerI& aHandler) = 0;
  /// Re-reads certificate files for new connections; open ones stay.
  /// @throws Error (InvalidConfig) if a file cannot be used; the earlier
  ///         certificates of that server or client stay in use
  virtual void ReloadCertificates() = 0;
};

std::unique_ptr<LoopI>
MakeLoop(const LoopOptions& aOptions);

/// Delivers messages of type Message to the task that owns aLoop.
template<class Message>
class Mailbox
{
public:
  Mailbox(LoopI& aLoop, std::function<void(Message)> aReceiver)
    : m_loop(aLoop)
    , m_receiver(
        std::make_shared<std::function<void(Message)>>(std::move(aReceiver)))
  {
  }

  /// Safe from any thread. Messages from one sender arrive in order.
  void Send(Message aMessage)
  {
    m_loop.Post([receiver = m_receiver,
                 message = std::make_shared<Message>(std::move(aMessage))] {
      (*receiver)(std::move(*message));
    });
  }

private:
  LoopI& m_loop;
  std::shared_ptr<std::function<void(Message)>> m_receiver;
};

/// One server-sent event.
struct ServerSentEvent
{
  std::string m_id; ///< of this event alone; not carried over
  std::string m_event;
  std::string m_data;
};

/// Splits a byte stream into server-sent events. Events without data are
/// dropped, as the standard has it.
class EventStreamParser
{
public:
  /// Appends bytes and calls aSink for each event that is complete.
  /// @throws Error (UpstreamFailed) if an event exceeds kMaxEventBytes
  void Feed(std::string_view aBytes,
            const std::function<void(const ServerSentEvent&)>& aSink);

private:
  std::string m_pending;       ///< bytes after the last whole line
  std::size_t m_searched{ 0 }; ///< bytes of m_pending without a line end
  ServerSentEvent m_event;     ///< lines of the event under way
  bool m_hasData{ false };
  std::size_t m_eventBytes{ 0 };
};

} // namespace shallotford

#endif // SHALLOTFORD_NET_H
