/// HTTP server for callers: connections, requests and answers.

#include "router_caller.h"

#include "config.h"

#include <cstdio>

namespace shallotford {

namespace {

/// Returns the delay in seconds with three decimals for a Retry-After field.
std::string
RetryAfterText(std::chrono::milliseconds aDelay)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(),
                text.size(),
                "%.3f",
                std::chrono::duration<double>(aDelay).count());
  return text.data();
}

} // namespace

const char*
ToString(CloseCause aCause)
{
  switch (aCause) {
    case CloseCause::Idle:
      return "idle";
    case CloseCause::Stop:
      return "stop";
    case CloseCause::Answered:
      return "answered";
    case CloseCause::Cut:
      return "cut";
  }
  return "unknown";
}

/// The answer that one connection is sending.
class CallerExchange : public CallerExchangeI
{
public:
  explicit CallerExchange(CallerConnection* aConnection)
    : m_connection(aConnection)
  {
  }
  void Respond(int aStatus,
               const std::string& aReason,
               HttpHeaders aFields,
               std::string_view aBody) override;
  void Begin(int aStatus,
             const std::string& aReason,
             HttpHeaders aFields) override;
  void Write(std::string_view aBytes) override;
  void End() override;
  void Abort() override;
  bool HasCallerLeft() const override;
  std::size_t Buffered() const override;
  void OnDrained(std::function<void()> aCallback) override
  {
    m_onDrained = std::move(aCallback);
  }
  void OnClosed(std::function<void()> aCallback) override
  {
    m_onClosed = std::move(aCallback);
  }

  /// Separates the exchange from its connection once the answer has ended or
  /// the caller has disconnected.
  void Detach(bool aCallerLeft)
  {
    m_connection = nullptr;
    m_onDrained = nullptr;
    auto onClosed = std::exchange(m_onClosed, nullptr);
    if (aCallerLeft && onClosed) {
      onClosed();
    }
  }
  void NotifyDrained()
  {
    if (m_onDrained) {
      m_onDrained();
    }
  }

private:
  CallerConnection* m_connection;
  std::function<void()> m_onDrained;
  std::function<void()> m_onClosed;
};

/// One connection of a caller.
class CallerConnection
  : public StreamHandlerI
  , private MessageSinkI
{
public:
  CallerConnection(CallerListener& aListener, std::unique_ptr<StreamI> aStream)
    : m_listener(aListener)
    , m_loop(aListener.m_loop)
    , m_handler(aListener.m_handler)
    , m_stream(std::move(aStream))
    , m_maxHead(m_handler.Limits().m_maxHead)
    , m_reader(MakeRequestReader(m_maxHead))
  {
    m_stream->SetHandler(this);
    Arm(m_handler.Limits().m_idleTimeout);
  }

  ~CallerConnection() override
  {
    m_loop.CancelTimer(m_timer);
    if (m_untilClose && (m_exchange != nullptr || m_stream->Buffered() > 0)) {
      m_stream->ResetOnDestroy(); // its end would complete the answer
    }
    ReleaseBody();
    DetachExchange(true);
  }

  /// Gives up the part of a request that was received. The listener may be gone
  /// once there is none.
  void ReleaseBody()
  {
    if (!m_body.empty()) {
      m_listener.m_bufferedBodyBytes -= m_body.size();
      m_body.clear();
    }
  }

  bool IsIdle() const
  {
    return m_exchange == nullptr && !m_reader->IsInside() && !m_closing &&
           m_stream->Buffered() == 0 && !HasUnread();
  }

  /// Closes an idle connection without reading any more. A request that crosses
  /// the close stays unread, which its sender sees by a reset: it has not run.
  void CloseUnread(CloseCause aCause)
  {
    m_closing = true;
    m_closeCause = aCause;
    m_handler.OnClose(aCause);
    m_stream->PauseReading();
    m_listener.Remove(this);
  }

  /// Closes the sending side and drops received bytes until the caller closes
  /// the connection too, until kLingerTime after the last byte was sent. The
  /// caller thus gets the whole answer before the connection is closed.
  void LingeringClose(CloseCause aCause)
  {
    if (m_closing) {
      return;
    }
    m_closing = true;
    m_closeCause = aCause;
    m_handler.OnClose(aCause);
    Drop(m_pipelined);
    m_pipelined.clear();
    m_stream->FinishWriting();
    m_stream->ResumeReading();
    Arm(kLingerTime);
  }

  void OnBytes(std::string_view aBytes) override
  {
    if (m_closing) {
      Drop(aBytes);
      return;
    }
    if (m_exchange != nullptr || !m_pipelined.empty()) {
      if (m_pipelined.empty()) {
        m_pipelinedAt = ArrivalTime();
      }
      m_pipelined.append(aBytes);
      if (m_pipelined.size() > kMaxPipelinedBytes) {
        m_stream->PauseReading();
      }
      return;
    }
    ReadRequests(aBytes, m_reader->IsInside() ? m_arrivedAt : ArrivalTime());
  }

  void OnPeerFinished() override { OnCallerLeft(); }
  void OnBroken(const std::string& /*aReason*/) override { OnCallerLeft(); }
  void OnDrained() override
  {
    if (m_exchange != nullptr) {
      m_exchange->NotifyDrained();
    }
  }

  // Calls of the exchange.

  void Respond(int aStatus,
               const std::string& aReason,
               HttpHeaders aFields,
               std::string_view aBody)
  {
    AddConnectionField(aFields);
    if (!m_toHead || FindField(aFields, "content-length") == nullptr) {
      aFields.push_back({ "Content-Length", std::to_string(aBody.size()) });
    }
    std::string answer = WriteAnswerHead(aStatus, aReason, aFields);
    if (!m_toHead) {
      answer.append(aBody);
    }
    m_stream->Write(answer);
    EndAnswer();
  }

  void Begin(int aStatus, const std::string& aReason, HttpHeaders aFields)
  {
    m_untilClose = m_oldVersion;
    m_keepAlive = m_keepAlive && !m_untilClose;
    AddConnectionField(aFields);
    if (!m_untilClose) {
      aFields.push_back({ "Transfer-Encoding", "chunked" });
    }
    m_stream->Write(WriteAnswerHead(aStatus, aReason, aFields));
  }

  void Write(std::string_view aBytes)
  {
    if (m_untilClose) {
      m_stream->Write(aBytes);
    } else {
      m_stream->Write(WriteChunk(aBytes));
    }
  }

  void End()
  {
    if (!m_untilClose) {
      m_stream->Write(kLastChunk);
    }
    EndAnswer();
  }

  void Abort()
  {
    DetachExchange(false);
    if (!m_untilClose) {
      LingeringClose(CloseCause::Cut);
      return;
    }
    m_closing = true;
    m_stream->PauseReading();
    m_stream->ResetOnDestroy();
    m_listener.Remove(this);
  }

  bool HasCallerLeft() const { return m_stream->HasPeerLeft(); }

  std::size_t Buffered() const { return m_stream->Buffered(); }

private:
  void OnRequestHead(const RequestHead& aHead) override
  {
    CallerLimits limits = m_handler.Limits();
    if (aHead.m_length > limits.m_maxBody) {
      ThrowBodyTooLarge(limits.m_maxBody);
    }
    m_handler.OnHead(aHead);
    m_keepAlive = aHead.m_keepAlive;
    m_oldVersion = aHead.m_oldVersion;
    m_toHead = aHead.m_method == "HEAD";
    if (aHead.m_expectsContinue && aHead.m_framing != BodyFraming::None) {
      m_stream->Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    m_request = { .m_head = aHead,
                  .m_body = nullptr,
                  .m_arrivedAt = m_arrivedAt };
    m_maxBody = limits.m_maxBody;
    Arm(limits.m_headTimeout);
  }

  void OnBody(std::string_view aBytes) override
  {
    if (m_body.size() + aBytes.size() > m_maxBody) {
      ThrowBodyTooLarge(m_maxBody);
    }
    m_listener.m_bufferedBodyBytes += aBytes.size();
    m_body.append(aBytes);
    if (m_listener.m_bufferedBodyBytes > kMaxBufferedBodyBytes) {
      throw Error(ErrorKind::Overloaded,
                  "too many request bodies are being received",
                  "Send the request again after the time given.")
        .WithRetryAfter(kBodyBufferFullRetryAfter);
    }
  }

  void OnEnd() override { m_complete = true; }

  /// Returns whether bytes that may be a request wait here or in the socket.
  bool HasUnread() const
  {
    return !m_pipelined.empty() || m_stream->HasUnread();
  }

  /// Reports the first bytes that this connection drops.
  void Drop(std::string_view aBytes)
  {
    if (!aBytes.empty() && !std::exchange(m_hasDropped, true)) {
      m_handler.OnDropped(m_closeCause, aBytes.size());
    }
  }

  TimePoint ArrivalTime() const
  {
    return m_loop.Now() - m_stream->SinceArrival();
  }

  /// Reads bytes until one request is complete.
  /// @param aArrivedAt  time at which the request's first bytes arrived
  void ReadRequests(std::string_view aBytes, TimePoint aArrivedAt)
  {
    bool wasInside = m_reader->IsInside();
    if (!wasInside) {
      UseNewestMaxHead();
    }
    m_arrivedAt = aArrivedAt;
    std::size_t taken = 0;
    try {
      taken = m_reader->Feed(aBytes, *this);
    } catch (const Error& error) {
      RefuseRequest(error);
      return;
    }
    if (m_complete) {
      m_pipelined.assign(aBytes.substr(taken));
      m_pipelinedAt = aArrivedAt;
      Deliver();
      return;
    }
    bool begins = !wasInside && m_reader->IsInside();
    if (begins || !m_body.empty()) {
      Arm(m_handler.Limits().m_headTimeout);
    }
  }

  /// Must not be called inside a request.
  void UseNewestMaxHead()
  {
    std::size_t maxHead = m_handler.Limits().m_maxHead;
    if (std::exchange(m_maxHead, maxHead) != maxHead) {
      m_reader = MakeRequestReader(maxHead);
    }
  }

  void Deliver()
  {
    m_complete = false;
    m_loop.CancelTimer(m_timer);
    m_request.m_body = std::make_shared<const std::string>(std::move(m_body));
    m_listener.m_bufferedBodyBytes -= m_request.m_body->size();
    m_body.clear();
    m_exchange = std::make_shared<CallerExchange>(this);
    // The handler may answer at once, which ends this exchange.
    CallerExchangePtr exchange = m_exchange;
    m_handler.OnRequest(std::move(exchange), std::move(m_request));
  }

  void RefuseRequest(const Error& aError)
  {
    m_handler.OnBadRequest(aError);
    ReleaseBody();
    m_keepAlive = false;
    m_exchange = std::make_shared<CallerExchange>(this);
    std::shared_ptr<CallerExchange> exchange = m_exchange;
    RespondError(*exchange, aError);
  }

  void AddConnectionField(HttpHeaders& aFields)
  {
    // Requests that have arrived already are answered first.
    if (m_handler.IsLeaving() && !HasUnread()) {
      m_keepAlive = false;
    }
    if (!m_keepAlive) {
      aFields.push_back({ "Connection", "close" });
    }
  }

  /// @param aCallerLeft  the caller disconnected before the answer's end
  void DetachExchange(bool aCallerLeft)
  {
    if (m_exchange != nullptr) {
      std::exchange(m_exchange, nullptr)->Detach(aCallerLeft);
    }
  }

  void EndAnswer()
  {
    DetachExchange(false);
    if (!m_keepAlive) {
      LingeringClose(CloseCause::Answered);
      return;
    }
    Arm(m_handler.Limits().m_idleTimeout);
    if (m_pipelined.empty()) {
      m_stream->ResumeReading();
      return;
    }
    // The pipelined request is read later, as this may run inside the handler
    // of the request before it.
    m_loop.Post([this, alive = std::weak_ptr<bool>(m_alive)] {
      if (!alive.expired()) {
        ReadPipelined();
      }
    });
  }

  void ReadPipelined()
  {
    if (m_exchange != nullptr || m_closing || m_pipelined.empty()) {
      return;
    }
    std::string pipelined = std::move(m_pipelined);
    m_pipelined.clear();
    m_stream->ResumeReading();
    ReadRequests(pipelined, m_pipelinedAt);
  }

  [[noreturn]] static void ThrowBodyTooLarge(std::size_t aLimit)
  {
    throw Error(ErrorKind::TooLarge,
                "the request's body exceeds " + std::to_string(aLimit) +
                  " bytes",
                "Send a smaller body.");
  }

  void Arm(std::chrono::milliseconds aDelay)
  {
    m_waitsSince = m_loop.Now();
    ArmAt(m_waitsSince + aDelay);
  }

  void ArmAt(TimePoint aDue)
  {
    m_loop.CancelTimer(m_timer);
    m_timer = m_loop.RunAfter(aDue - m_loop.Now(), [this] { OnTimer(); });
  }

  void OnTimer()
  {
    if (m_closing && m_stream->Buffered() > 0) {
      Arm(kLingerTime);
      return;
    }
    if (m_closing || m_exchange != nullptr) {
      OnCallerLeft();
      return;
    }
    // Callers go by the newest limits, which may have been raised meanwhile.
    CallerLimits limits = m_handler.Limits();
    bool isIdle = !m_reader->IsInside();
    TimePoint due =
      m_waitsSince + (isIdle ? limits.m_idleTimeout : limits.m_headTimeout);
    if (due > m_loop.Now()) {
      ArmAt(due);
      return;
    }
    if (HasUnread()) {
      ArmAt(m_loop.Now()); // the loop reads before it runs timers
      return;
    }
    if (isIdle && m_stream->Buffered() > 0) {
      Arm(limits.m_idleTimeout); // the last answer is still being sent
      return;
    }
    if (isIdle) {
      CloseUnread(CloseCause::Idle);
      return;
    }
    RefuseRequest(Error(ErrorKind::RequestTimeout,
                        "the request did not arrive in time",
                        "Send the whole request without pauses."));
  }

  /// Handles the end of the connection; destroys this object after the current
  /// event.
  void OnCallerLeft()
  {
    DetachExchange(true);
    m_closing = true;
    m_stream->PauseReading();
    m_listener.Remove(this);
  }

  CallerListener& m_listener;
  LoopI& m_loop;
  CallerHandlerI& m_handler;
  std::unique_ptr<StreamI> m_stream;
  std::size_t m_maxHead; ///< that m_reader enforces
  std::unique_ptr<MessageReaderI> m_reader;
  CallerRequest m_request; ///< being received
  std::string m_body;      ///< being received
  std::size_t m_maxBody{ 0 };
  bool m_complete{ false };
  bool m_keepAlive{ true };
  bool m_toHead{ false };
  bool m_oldVersion{ false }; ///< the request came by HTTP/1.0
  /// The answer being sent ends with the connection.
  bool m_untilClose{ false };
  bool m_closing{ false };
  CloseCause m_closeCause{}; ///< once m_closing is set
  bool m_hasDropped{ false };
  TimePoint m_waitsSince{};  ///< for a request or its rest
  TimePoint m_arrivedAt{};   ///< of the request that is being received
  std::string m_pipelined;   ///< bytes after the request that is being answered
  TimePoint m_pipelinedAt{}; ///< time at which the first of them arrived
  std::shared_ptr<CallerExchange> m_exchange;
  TimersI::TimerId m_timer{ 0 };
  std::shared_ptr<bool> m_alive{ std::make_shared<bool>(true) };
};

void
CallerExchange::Respond(int aStatus,
                        const std::string& aReason,
                        HttpHeaders aFields,
                        std::string_view aBody)
{
  if (m_connection != nullptr) {
    m_connection->Respond(aStatus, aReason, std::move(aFields), aBody);
  }
}

void
CallerExchange::Begin(int aStatus,
                      const std::string& aReason,
                      HttpHeaders aFields)
{
  if (m_connection != nullptr) {
    m_connection->Begin(aStatus, aReason, std::move(aFields));
  }
}

void
CallerExchange::Write(std::string_view aBytes)
{
  if (m_connection != nullptr) {
    m_connection->Write(aBytes);
  }
}

void
CallerExchange::End()
{
  if (m_connection != nullptr) {
    m_connection->End();
  }
}

void
CallerExchange::Abort()
{
  if (m_connection != nullptr) {
    m_connection->Abort();
  }
}

bool
CallerExchange::HasCallerLeft() const
{
  return m_connection == nullptr || m_connection->HasCallerLeft();
}

std::size_t
CallerExchange::Buffered() const
{
  return m_connection == nullptr ? 0 : m_connection->Buffered();
}

CallerListener::CallerListener(LoopI& aLoop,
                               const StreamListenerOptions& aOptions,
                               CallerHandlerI& aHandler)
  : m_loop(aLoop)
  , m_options(aOptions)
  , m_handler(aHandler)
  , m_listener(aLoop.Streams().Listen(aOptions,
                                      [this](std::unique_ptr<StreamI> aStream) {
                                        OnAccept(std::move(aStream));
                                      }))
{
}

CallerListener::~CallerListener() = default;

void
CallerListener::OnAccept(std::unique_ptr<StreamI> aStream)
{
  if (m_connections.size() >= m_options.m_maxConnections) {
    return; // destroying the stream closes it
  }
  auto connection =
    std::make_unique<CallerConnection>(*this, std::move(aStream));
  m_connections.emplace(connection.get(), std::move(connection));
}

void
CallerListener::Remove(CallerConnection* aConnection)
{
  auto found = m_connections.find(aConnection);
  if (found == m_connections.end()) {
    return;
  }
  found->second->ReleaseBody();
  m_loop.DestroyLater(std::move(found->second));
  m_connections.erase(found);
}

void
CallerListener::CloseIdle()
{
  std::vector<CallerConnection*> idle;
  for (auto& [key, connection] : m_connections) {
    if (connection->IsIdle()) {
      idle.push_back(key);
    }
  }
  for (CallerConnection* connection : idle) {
    connection->CloseUnread(CloseCause::Stop);
  }
}

void
RespondError(CallerExchangeI& aExchange, const Error& aError)
{
  int status = HttpStatus(aError.Kind());
  HttpHeaders fields{ { "Content-Type", "application/json" } };
  if (aError.RetryAfter().count() > 0) {
    fields.push_back({ "Retry-After", RetryAfterText(aError.RetryAfter()) });
  }
  aExchange.Respond(status, ReasonPhrase(status), fields, ErrorBody(aError));
}

} // namespace shallotford
