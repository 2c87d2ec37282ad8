/// CallerConnection: reads the requests of one connection and sends their
/// answers in order.

#include "router_caller_connection.h"

#include "config.h"

namespace shallotford {

namespace {

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

Error
NoRoomError()
{
  return Error(ErrorKind::Overloaded,
               "too much is being received",
               "Send the request again after the time given.")
    .WithRetryAfter(kBodyBufferFullRetryAfter);
}

} // namespace

CallerConnection::CallerConnection(CallerListener& aListener,
                                   std::unique_ptr<StreamI> aStream,
                                   bool aIsBrief)
  : m_listener(aListener)
  , m_loop(aListener.m_loop)
  , m_handler(aListener.m_handler)
  , m_stream(std::move(aStream))
  , m_maxHead(m_handler.Limits().m_maxHead)
  , m_reader(MakeRequestReader(m_maxHead))
  , m_isBrief(aIsBrief)
{
  m_stream->SetHandler(this);
  m_listener.m_intake->Open();
  m_progressAt = m_loop.Now();
  Arm(IdleTimeout());
}

CallerConnection::~CallerConnection()
{
  m_loop.CancelTimer(m_timer);
  if (m_untilClose && (m_exchange != nullptr || m_stream->Buffered() > 0)) {
    m_stream->ResetOnDestroy(); // its end would complete the answer
  }
  Leave();
  DetachExchange(true);
}

void
CallerConnection::Leave()
{
  ReleaseBody();
  if (!std::exchange(m_hasLeft, true)) {
    SetHeldBack(false);
    m_listener.m_intake->Close(m_held);
    m_listener.ReadOnLater();
  }
}

void
CallerConnection::Sweep()
{
  std::uint64_t moved = m_received + m_stream->BytesSent();
  // While an upstream works, the caller has nothing to do.
  bool waitsForAnswer = m_exchange != nullptr && m_stream->Buffered() == 0;
  if (std::exchange(m_moved, moved) != moved || waitsForAnswer) {
    m_progressAt = m_loop.Now();
  }
  Account();
}

void
CallerConnection::OnCallerLeft()
{
  DetachExchange(true);
  m_closing = true;
  m_stream->PauseReading();
  m_listener.Remove(this);
}

void
CallerConnection::RefuseForRoom()
{
  RefuseRequest(NoRoomError());
}

void
CallerConnection::ReleaseBody()
{
  DropGrant();
  std::string().swap(m_body);
}

void
CallerConnection::CloseUnread(CloseCause aCause)
{
  m_closing = true;
  m_closeCause = aCause;
  m_handler.OnClose(aCause);
  m_stream->PauseReading();
  m_listener.Remove(this);
}

void
CallerConnection::LingeringClose(CloseCause aCause)
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

void
CallerConnection::OnBytes(std::string_view aBytes)
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

void
CallerConnection::OnDrained()
{
  Account();
  if (m_exchange != nullptr) {
    m_exchange->NotifyDrained();
    return;
  }
  GoOn();
}

void
CallerConnection::Respond(int aStatus,
                          const std::string& aReason,
                          HttpHeaders aFields,
                          std::string_view aBody)
{
  AddConnectionField(aFields);
  if (!m_toHead || FindField(aFields, "content-length") == nullptr) {
    aFields.push_back({ "Content-Length", std::to_string(aBody.size()) });
  }
  std::string answer = WriteAnswerHead(aStatus, aReason, aFields);
  if (m_toHead) {
    aBody = {};
  }
  WriteMessage(*m_stream, std::move(answer), aBody);
  EndAnswer();
}

void
CallerConnection::Begin(int aStatus,
                        const std::string& aReason,
                        HttpHeaders aFields)
{
  m_untilClose = m_oldVersion;
  m_keepAlive = m_keepAlive && !m_untilClose;
  AddConnectionField(aFields);
  if (!m_untilClose) {
    aFields.push_back({ "Transfer-Encoding", "chunked" });
  }
  m_stream->Write(WriteAnswerHead(aStatus, aReason, aFields));
}

void
CallerConnection::Write(std::string_view aBytes)
{
  if (m_untilClose) {
    m_stream->Write(aBytes);
  } else {
    m_stream->Write(WriteChunk(aBytes));
  }
  Account();
}

void
CallerConnection::End()
{
  if (!m_untilClose) {
    m_stream->Write(kLastChunk);
  }
  EndAnswer();
}

void
CallerConnection::Abort()
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

void
CallerConnection::OnRequestHead(const RequestHead& aHead)
{
  CallerLimits limits = m_handler.Limits();
  if (aHead.m_length > limits.m_maxBody) {
    ThrowBodyTooLarge(limits.m_maxBody);
  }
  m_handler.OnHead(aHead);
  m_keepAlive = aHead.m_keepAlive && !m_isBrief;
  m_oldVersion = aHead.m_oldVersion;
  m_toHead = aHead.m_method == "HEAD";
  m_request = { .m_head = aHead,
                .m_body = nullptr,
                .m_arrivedAt = m_arrivedAt };
  m_maxBody = limits.m_maxBody;
  m_headBytes = 0;
  m_fieldBytes = BytesOf(m_request.m_head);
  m_hasHead = true;
  if (!m_listener.m_intake->MayRun(Held() + 2 * aHead.m_length)) {
    throw NoRoomError();
  }
  if (aHead.m_expectsContinue && aHead.m_framing != BodyFraming::None) {
    m_stream->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  Arm(HeadTimeout());
}

void
CallerConnection::OnBody(std::string_view aBytes)
{
  if (m_body.size() + aBytes.size() > m_maxBody) {
    ThrowBodyTooLarge(m_maxBody);
  }
  m_body.append(aBytes);
}

void
CallerConnection::ReadRequests(std::string_view aBytes, TimePoint aArrivedAt)
{
  std::optional<std::size_t> taken = Feed(aBytes, aArrivedAt);
  if (taken && m_complete) {
    m_pipelined.assign(aBytes.substr(*taken));
    m_pipelinedAt = aArrivedAt;
    Deliver();
  }
}

std::optional<std::size_t>
CallerConnection::Feed(std::string_view aBytes, TimePoint aArrivedAt)
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
    Arm(HeadTimeout());
  }
  return taken;
}

void
CallerConnection::UseNewestMaxHead()
{
  std::size_t maxHead = m_handler.Limits().m_maxHead;
  if (std::exchange(m_maxHead, maxHead) != maxHead) {
    m_reader = MakeRequestReader(maxHead);
  }
}

void
CallerConnection::Deliver()
{
  m_complete = false;
  m_hasHead = false;
  m_loop.CancelTimer(m_timer);
  m_request.m_body = std::make_shared<const std::string>(std::move(m_body));
  m_body.clear();
  DropGrant();
  m_runBytes = m_request.m_body->size();
  m_exchange = std::make_shared<CallerExchange>(this);
  // The handler may answer at once, which ends this exchange.
  CallerExchangePtr exchange = m_exchange;
  m_handler.OnRequest(std::move(exchange), std::move(m_request));
}

void
CallerConnection::RefuseRequest(const Error& aError)
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

void
CallerConnection::ReleaseHead()
{
  m_request = {};
  m_reader = MakeRequestReader(m_maxHead);
  m_hasHead = false;
  m_headBytes = 0;
  m_fieldBytes = 0;
}

void
CallerConnection::AddConnectionField(HttpHeaders& aFields)
{
  // Requests that have arrived already are answered first.
  if (m_handler.IsLeaving() && !HasUnread()) {
    m_keepAlive = false;
  }
  if (!m_keepAlive) {
    aFields.push_back({ "Connection", "close" });
  }
}

void
CallerConnection::DetachExchange(bool aCallerLeft)
{
  m_runBytes = 0;
  m_fieldBytes = 0;
  m_heldAnswer = 0;
  m_claim = 0;
  if (m_exchange != nullptr) {
    std::exchange(m_exchange, nullptr)->Detach(aCallerLeft);
  }
}

void
CallerConnection::EndAnswer()
{
  DetachExchange(false);
  if (!m_keepAlive) {
    LingeringClose(CloseCause::Answered);
    return;
  }
  Arm(IdleTimeout());
  GoOn();
}

void
CallerConnection::GoOn()
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

void
CallerConnection::ReadPipelined()
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

bool
CallerConnection::WaitsForDrain() const
{
  return m_stream->Buffered() > kMaxUnreadAnswerBytes;
}

std::size_t
CallerConnection::HeldOfRequests() const
{
  std::size_t fields = m_hasHead ? 2 * m_fieldBytes : m_fieldBytes;
  return m_pipelined.capacity() + m_headBytes + fields +
         2 * (std::max(m_body.size(), m_granted) + m_runBytes);
}

bool
CallerConnection::TakeGrant()
{
  if (!m_hasHead || m_granted > 0) {
    return m_granted > 0;
  }
  std::size_t whole = m_request.m_head.m_framing == BodyFraming::Chunked
                        ? m_maxBody
                        : m_request.m_head.m_length;
  std::size_t missing = whole - std::min(whole, m_body.size());
  Intake& intake = *m_listener.m_intake;
  if (missing == 0 || !intake.Grant(2 * missing)) {
    return false;
  }
  m_granted = whole;
  m_body.reserve(whole);
  std::size_t held = Held();
  intake.Change(std::exchange(m_held, held), held);
  return true;
}

bool
CallerConnection::ClaimRoom()
{
  if (!m_listener.m_intake->MayRun(HeldOfRequests() + kAnswerClaim)) {
    m_handler.OnIntake(IntakeAct::Request);
    return false;
  }
  m_claim = kAnswerClaim;
  Account();
  return true;
}

bool
CallerConnection::MayHold(std::size_t aBytes) const
{
  return aBytes <= m_claim ||
         m_listener.m_intake->MayRead(HeldOfRequests() + aBytes);
}

std::size_t
CallerConnection::MaxBuffered() const
{
  const Intake& intake = *m_listener.m_intake;
  return intake.Step() == IntakeStep::Calm
           ? kMaxCallerQueueBytes
           : std::min(kMaxCallerQueueBytes, std::max(intake.Share(), m_claim));
}

void
CallerConnection::DropGrant()
{
  if (std::exchange(m_granted, 0) > 0) {
    m_listener.m_intake->EndGrant();
  }
}

bool
CallerConnection::MayReadOn()
{
  const Intake& intake = *m_listener.m_intake;
  // Those that were held back go on by ReadOn(), not all at once.
  bool isCalm = intake.Step() == IntakeStep::Calm;
  return m_held <= intake.Share() || (isCalm && !m_isHeldBack) || m_granted > 0;
}

void
CallerConnection::ReadOn(bool aHasRoom)
{
  if (aHasRoom || TakeGrant()) {
    SetHeldBack(false);
  }
  Account();
}

void
CallerConnection::SetHeldBack(bool aIsHeldBack)
{
  bool was = std::exchange(m_isHeldBack, aIsHeldBack);
  m_listener.m_heldBack += (aIsHeldBack ? 1 : 0) - (was ? 1 : 0);
}

void
CallerConnection::Account()
{
  if (m_hasLeft) {
    return;
  }
  Intake& intake = *m_listener.m_intake;
  std::size_t held = Held();
  std::size_t before = std::exchange(m_held, held);
  intake.Change(before, held);
  if (held + kStreamReadBytes <= before) {
    m_listener.ReadOnLater();
  }
  m_listener.UpdateIfPressed();
  if (m_closing) {
    SetHeldBack(false);
    return;
  }
  m_stream->LimitReads(intake.Step() == IntakeStep::Calm ? kStreamReadBytes
                                                         : kShortReadBytes);
  bool wasHeldBack = m_isHeldBack;
  SetHeldBack(!MayReadOn());
  if (m_isHeldBack && !wasHeldBack) {
    m_handler.OnIntake(IntakeAct::Pause);
    m_listener.ReadOnLater();
  }
  m_isPaused = m_isHeldBack || Pipelined().size() >= kMaxPipelinedBytes;
  if (m_isPaused) {
    m_stream->PauseReading();
  } else {
    m_stream->ResumeReading();
  }
}

void
CallerConnection::TakePipelined(std::size_t aCount)
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

void
CallerConnection::ThrowBodyTooLarge(std::size_t aLimit)
{
  throw Error(ErrorKind::TooLarge,
              "the request's body exceeds " + std::to_string(aLimit) + " bytes",
              "Send a smaller body.");
}

std::chrono::milliseconds
CallerConnection::IdleTimeout() const
{
  std::chrono::milliseconds limit = m_handler.Limits().m_idleTimeout;
  return m_isBrief ? std::min(limit, kBriefConnectionTime) : limit;
}

std::chrono::milliseconds
CallerConnection::HeadTimeout() const
{
  std::chrono::milliseconds limit = m_handler.Limits().m_headTimeout;
  return m_isBrief ? std::min(limit, kBriefConnectionTime) : limit;
}

void
CallerConnection::OnTimer()
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
  bool isIdle = !m_reader->IsInside();
  TimePoint due = m_waitsSince + (isIdle ? IdleTimeout() : HeadTimeout());
  if (due > m_loop.Now()) {
    ArmAt(due);
    return;
  }
  if (WaitsForDrain()) {
    Arm(IdleTimeout()); // so do requests that have arrived
    return;
  }
  if (m_isHeldBack) {
    OnHeldBackTimer(isIdle);
    return;
  }
  if (HasUnread()) {
    ArmAt(m_loop.Now()); // the loop reads before it runs timers
    return;
  }
  if (isIdle && m_stream->Buffered() > 0) {
    Arm(IdleTimeout()); // the last answer is still being sent
    return;
  }
  if (isIdle) {
    CloseUnread(CloseCause::Idle);
    return;
  }
  if (m_isBrief) {
    RefuseForRoom(); // the time that callers have isn't over
    return;
  }
  RefuseRequest(Error(ErrorKind::RequestTimeout,
                      "the request did not arrive in time",
                      "Send the whole request without pauses."));
}

void
CallerConnection::OnHeldBackTimer(bool aIsIdle)
{
  if (aIsIdle) {
    Arm(IdleTimeout());
    return;
  }
  RefuseForRoom();
}

} // namespace shallotford
