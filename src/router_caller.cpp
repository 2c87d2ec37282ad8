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

/// Returns what a parsed head holds. A field takes the same however short it
/// is, and the vector grows in steps.
std::size_t
BytesOf(const RequestHead& aHead)
{
  std::size_t bytes =
    aHead.m_target.capacity() + aHead.m_fields.capacity() * sizeof(HttpHeader);
  for (const HttpHeader& field : aHead.m_fields) {
    bytes += field.m_name.capacity() + field.m_value.capacity();
  }
  return bytes;
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

const char*
ToString(IntakeAct aAct)
{
  switch (aAct) {
    case IntakeAct::Pause:
      return "pause";
    case IntakeAct::Refuse:
      return "refuse";
    case IntakeAct::Close:
      return "close";
    case IntakeAct::Connections:
      return "connections";
    case IntakeAct::Descriptors:
      return "descriptors";
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
  void SetHeld(std::size_t aBytes) override;
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
    m_listener.m_intake->Open();
    m_progressAt = m_loop.Now();
    Arm(m_handler.Limits().m_idleTimeout);
  }

  ~CallerConnection() override
  {
    m_loop.CancelTimer(m_timer);
    if (m_untilClose && (m_exchange != nullptr || m_stream->Buffered() > 0)) {
      m_stream->ResetOnDestroy(); // its end would complete the answer
    }
    Leave();
    DetachExchange(true);
  }

  /// Leaves the listener and its account, which may be gone afterwards.
  void Leave()
  {
    ReleaseBody();
    if (!std::exchange(m_hasLeft, true)) {
      m_listener.m_intake->Close(m_held);
    }
  }

  /// Notes progress since the last call, and reads on if there is room again.
  void Sweep()
  {
    std::uint64_t moved = m_received + m_stream->BytesSent();
    // While an upstream works, the caller has nothing to do.
    bool waitsForAnswer = m_exchange != nullptr && m_stream->Buffered() == 0;
    if (std::exchange(m_moved, moved) != moved || waitsForAnswer) {
      m_progressAt = m_loop.Now();
    }
    Account();
  }
  IntakeHolder Holder() const
  {
    return { .m_bytes = m_held, .m_stalled = m_loop.Now() - m_progressAt };
  }
  /// Returns whether the caller has left while its request runs, which no event
  /// tells as nothing is read.
  bool HasLeftUnseen() const
  {
    return m_exchange != nullptr && m_isPaused && !m_closing && HasCallerLeft();
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
  /// Returns whether the caller can't go on with a request for our lack of
  /// room.
  bool IsHeldBackInside() const
  {
    return m_isHeldBack && m_exchange == nullptr && !m_closing &&
           m_reader->IsInside();
  }
  /// Refuses the request that is being received, which has not run.
  void RefuseForRoom()
  {
    RefuseRequest(Error(ErrorKind::Overloaded,
                        "too much is being received",
                        "Send the request again after the time given.")
                    .WithRetryAfter(kBodyBufferFullRetryAfter));
  }
  /// Closes the connection at once, as there is no room for what it holds.
  void CloseForRoom()
  {
    m_stream->ResetOnDestroy();
    OnCallerLeft();
  }

  /// Gives up the part of a request that was received. The listener may be gone
  /// once there is none.
  void ReleaseBody()
  {
    if (!m_body.empty()) {
      m_listener.m_bufferedBodyBytes -= m_body.size();
      m_body.clear();
      m_body.shrink_to_fit();
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
    Drop(Pipelined());
    TakePipelined(Pipelined().size());
    m_stream->FinishWriting();
    m_stream->ResumeReading();
    Arm(kLingerTime);
  }

  void OnBytes(std::string_view aBytes) override
  {
    m_received += aBytes.size();
    if (m_closing) {
      Drop(aBytes);
      return;
    }
    if (m_exchange != nullptr || !m_pipelined.empty() || WaitsForDrain()) {
      if (m_pipelined.empty()) {
        m_pipelinedAt = ArrivalTime();
      }
      m_pipelined.append(aBytes);
      Account();
      return;
    }
    ReadRequests(aBytes, m_reader->IsInside() ? m_arrivedAt : ArrivalTime());
    Account();
  }

  void OnPeerFinished() override { OnCallerLeft(); }
  void OnBroken(const std::string& /*aReason*/) override { OnCallerLeft(); }
  void OnDrained() override
  {
    Account();
    if (m_exchange != nullptr) {
      m_exchange->NotifyDrained();
      return;
    }
    GoOn();
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
    Account();
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

  void SetHeld(std::size_t aBytes)
  {
    m_heldAnswer = aBytes;
    Account();
  }

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
    m_headBytes = 0;
    m_fieldBytes = BytesOf(m_request.m_head);
    m_hasHead = true;
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
    std::optional<std::size_t> taken = Feed(aBytes, aArrivedAt);
    if (taken && m_complete) {
      m_pipelined.assign(aBytes.substr(*taken));
      m_pipelinedAt = aArrivedAt;
      Deliver();
    }
  }

  /// Gives bytes to the reader, up to the end of one request at most. Returns
  /// how many it took, or nothing if the request was refused.
  std::optional<std::size_t> Feed(std::string_view aBytes, TimePoint aArrivedAt)
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
      return {};
    }
    if (m_complete) {
      return taken;
    }
    if (!m_hasHead && m_reader->IsInside()) {
      m_headBytes += aBytes.size();
    }
    bool begins = !wasInside && m_reader->IsInside();
    if (begins || !m_body.empty()) {
      Arm(m_handler.Limits().m_headTimeout);
    }
    return taken;
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
    m_hasHead = false;
    m_loop.CancelTimer(m_timer);
    m_request.m_body = std::make_shared<const std::string>(std::move(m_body));
    m_listener.m_bufferedBodyBytes -= m_request.m_body->size();
    m_body.clear();
    m_runBytes = m_request.m_body->size();
    m_exchange = std::make_shared<CallerExchange>(this);
    // The handler may answer at once, which ends this exchange.
    CallerExchangePtr exchange = m_exchange;
    m_handler.OnRequest(std::move(exchange), std::move(m_request));
  }

  void RefuseRequest(const Error& aError)
  {
    m_handler.OnBadRequest(aError);
    ReleaseBody();
    ReleaseHead();
    m_keepAlive = false;
    m_exchange = std::make_shared<CallerExchange>(this);
    std::shared_ptr<CallerExchange> exchange = m_exchange;
    RespondError(*exchange, aError);
    Account();
  }

  /// Gives up the head of a request that was refused. Nothing is read after it.
  void ReleaseHead()
  {
    m_request = {};
    m_reader = MakeRequestReader(m_maxHead);
    m_hasHead = false;
    m_headBytes = 0;
    m_fieldBytes = 0;
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
    m_runBytes = 0;
    m_fieldBytes = 0;
    m_heldAnswer = 0;
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
    GoOn();
  }

  /// Reads the next request once the answers before it are mostly sent.
  void GoOn()
  {
    Account();
    if (m_pipelined.empty() || std::exchange(m_goesOn, true)) {
      return;
    }
    // The pipelined request is read later, as this may run inside the handler
    // of the request before it.
    m_loop.Post([this, alive = std::weak_ptr<bool>(m_alive)] {
      if (!alive.expired()) {
        m_goesOn = false;
        ReadPipelined();
      }
    });
  }

  void ReadPipelined()
  {
    if (m_exchange != nullptr || m_closing || m_pipelined.empty() ||
        WaitsForDrain()) {
      return;
    }
    // A refusal closes the connection; what is left counts as read then.
    std::string pipelined = std::exchange(m_pipelined, {});
    std::size_t at = std::exchange(m_pipelinedTaken, 0);
    std::optional<std::size_t> taken =
      Feed(std::string_view(pipelined).substr(at), m_pipelinedAt);
    if (!taken) {
      return;
    }
    m_pipelined = std::move(pipelined);
    m_pipelinedTaken = at;
    TakePipelined(*taken);
    if (m_complete) {
      Deliver();
    }
    Account();
  }

  /// Returns whether too much of the earlier answers is unread for another one.
  bool WaitsForDrain() const
  {
    return m_stream->Buffered() > kMaxUnreadAnswerBytes;
  }

  /// Returns what the connection holds beyond kConnectionBytes. A body is held
  /// twice, as it is copied for the upstream. While a request is received the
  /// reader holds its head too.
  std::size_t Held() const
  {
    std::size_t fields = m_hasHead ? 2 * m_fieldBytes : m_fieldBytes;
    return m_pipelined.capacity() + m_headBytes + fields +
           2 * (m_body.size() + m_runBytes) + m_heldAnswer +
           m_stream->Buffered();
  }

  /// Updates the account of memory. Reads on only while there is room there and
  /// for what arrives ahead.
  void Account()
  {
    if (m_hasLeft) {
      return;
    }
    Intake& intake = *m_listener.m_intake;
    std::size_t held = Held();
    intake.Change(std::exchange(m_held, held), held);
    if (m_closing) {
      return;
    }
    bool mayRead = intake.MayRead(held);
    if (!mayRead && !m_isHeldBack) {
      m_handler.OnIntake(IntakeAct::Pause);
    }
    m_isHeldBack = !mayRead;
    m_isPaused = m_isHeldBack || Pipelined().size() >= kMaxPipelinedBytes;
    if (m_isPaused) {
      m_stream->PauseReading();
    } else {
      m_stream->ResumeReading();
    }
  }

  std::string_view Pipelined() const
  {
    return std::string_view(m_pipelined).substr(m_pipelinedTaken);
  }

  /// Gives up the first bytes, and memory as soon as half of it is unused.
  void TakePipelined(std::size_t aCount)
  {
    m_pipelinedTaken += aCount;
    if (m_pipelinedTaken == m_pipelined.size()) {
      m_pipelined.clear();
      m_pipelined.shrink_to_fit(); // an idle connection holds little
      m_pipelinedTaken = 0;
    } else if (m_pipelinedTaken > m_pipelined.size() / 2) {
      m_pipelined = m_pipelined.substr(m_pipelinedTaken);
      m_pipelinedTaken = 0;
    }
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
    if (WaitsForDrain()) {
      Arm(limits.m_idleTimeout); // so do requests that have arrived
      return;
    }
    if (m_isHeldBack) {
      OnHeldBackTimer(isIdle, limits);
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

  /// The time for a request is over whose rest isn't read for lack of room.
  void OnHeldBackTimer(bool aIsIdle, const CallerLimits& aLimits)
  {
    if (aIsIdle) {
      Arm(aLimits.m_idleTimeout);
      return;
    }
    RefuseForRoom();
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
  bool m_hasHead{ false }; ///< of the request that is being received
  bool m_complete{ false };
  bool m_keepAlive{ true };
  bool m_toHead{ false };
  bool m_oldVersion{ false }; ///< the request came by HTTP/1.0
  /// The answer being sent ends with the connection.
  bool m_untilClose{ false };
  bool m_closing{ false };
  CloseCause m_closeCause{}; ///< once m_closing is set
  bool m_hasDropped{ false };
  bool m_hasLeft{ false };       ///< the listener and its account
  bool m_isHeldBack{ false };    ///< not read, as the account is near its bound
  bool m_isPaused{ false };      ///< not read, for this or what it sent ahead
  std::size_t m_held{ 0 };       ///< in the account
  std::size_t m_headBytes{ 0 };  ///< of a head that isn't complete
  std::size_t m_fieldBytes{ 0 }; ///< of the parsed head
  std::size_t m_runBytes{ 0 };   ///< of the body of the request that runs
  std::size_t m_heldAnswer{ 0 }; ///< bytes held until the answer is complete
  std::uint64_t m_received{ 0 }; ///< bytes
  std::uint64_t m_moved{ 0 };    ///< bytes in both directions by last Sweep()
  TimePoint m_progressAt{};
  bool m_goesOn{ false };   ///< the next request is about to be read
  TimePoint m_waitsSince{}; ///< for a request or its rest
  TimePoint m_arrivedAt{};  ///< of the request that is being received
  std::string m_pipelined;  ///< bytes after the request that is being answered
  std::size_t m_pipelinedTaken{ 0 }; ///< bytes of m_pipelined that were read
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

void
CallerExchange::SetHeld(std::size_t aBytes)
{
  if (m_connection != nullptr) {
    m_connection->SetHeld(aBytes);
  }
}

std::size_t
CallerExchange::Buffered() const
{
  return m_connection == nullptr ? 0 : m_connection->Buffered();
}

CallerListener::CallerListener(LoopI& aLoop,
                               const StreamListenerOptions& aOptions,
                               CallerHandlerI& aHandler,
                               std::shared_ptr<Intake> aIntake)
  : m_loop(aLoop)
  , m_options(aOptions)
  , m_handler(aHandler)
  , m_intake(aIntake != nullptr ? std::move(aIntake)
                                : std::make_shared<Intake>(kDefaultIntakeBytes))
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
  // Destroying the stream closes it.
  if (m_intake->Connections() >= m_options.m_maxConnections) {
    m_handler.OnIntake(IntakeAct::Connections);
    return;
  }
  if (m_intake->Step() == IntakeStep::Refuse) {
    m_handler.OnIntake(IntakeAct::Refuse);
    return;
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
  found->second->Leave();
  m_loop.DestroyLater(std::move(found->second));
  m_connections.erase(found);
}

void
CallerListener::Sweep()
{
  std::vector<CallerConnection*> connections;
  std::vector<CallerConnection*> left;
  std::vector<IntakeHolder> holders;
  for (auto& [key, connection] : m_connections) {
    connection->Sweep();
    if (connection->HasLeftUnseen()) {
      left.push_back(key);
      continue;
    }
    connections.push_back(key);
    holders.push_back(connection->Holder());
  }
  for (CallerConnection* connection : left) {
    connection->OnCallerLeft();
  }
  for (std::size_t index : m_intake->ToClose(holders)) {
    if (connections[index]->IsHeldBackInside()) {
      connections[index]->RefuseForRoom();
      continue;
    }
    m_handler.OnIntake(IntakeAct::Close);
    connections[index]->CloseForRoom();
  }
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
