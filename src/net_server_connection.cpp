/// HTTP server: one connection and its requests.

#include "net_server.h"

#include "net_strict.h"
#include "net_tls.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstdio>

namespace shallotford {

namespace {

constexpr std::size_t kHeadBytes = 16u << 10;
/// "XXXXXXXX\r\n" before the data of a chunk.
constexpr std::size_t kChunkSizeBytes = 10;

Error
NoRoomError()
{
  return Error(ErrorKind::Overloaded,
               "this VM has no room for the request",
               "Send the request again after the time given.")
    .WithRetryAfter(kNoRoomRetryAfter);
}

unsigned char*
Bytes(const std::string& aText)
{
  return reinterpret_cast<unsigned char*>(const_cast<char*>(aText.data()));
}

/// Builds an answer's head by libwebsockets' own helpers.
std::string
BuildHead(lws* aWsi,
          int aStatus,
          const HttpHeaders& aHeaders,
          std::optional<std::size_t> aLength,
          bool aChunked)
{
  std::string head(LWS_PRE + kHeadBytes, '\0');
  unsigned char* start = Bytes(head) + LWS_PRE;
  unsigned char* at = start;
  unsigned char* end = Bytes(head) + head.size();
  bool failed = lws_add_http_header_status(
                  aWsi, static_cast<unsigned>(aStatus), &at, end) != 0;
  for (const HttpHeader& header : aHeaders) {
    std::string name = header.m_name + ":";
    failed = failed || lws_add_http_header_by_name(
                         aWsi,
                         Bytes(name),
                         Bytes(header.m_value),
                         static_cast<int>(header.m_value.size()),
                         &at,
                         end) != 0;
  }
  if (aLength) {
    failed = failed ||
             lws_add_http_header_content_length(aWsi, *aLength, &at, end) != 0;
  }
  if (aChunked) {
    std::string value = "chunked";
    failed =
      failed || lws_add_http_header_by_token(aWsi,
                                             WSI_TOKEN_HTTP_TRANSFER_ENCODING,
                                             Bytes(value),
                                             static_cast<int>(value.size()),
                                             &at,
                                             end) != 0;
  }
  failed = failed || lws_finalize_http_header(aWsi, &at, end) != 0;
  if (failed) {
    return {};
  }
  return { reinterpret_cast<char*>(start),
           static_cast<std::size_t>(at - start) };
}

} // namespace

ServerConnection::ServerConnection(HttpServer& aServer,
                                   lws* aWsi,
                                   std::uint64_t aId,
                                   bool aRefused)
  : m_server(aServer)
  , m_wsi(aWsi)
  , m_id(aId)
  , m_arrivalWatch(aServer.GetLoop().Arrivals().Add(lws_get_socket_fd(aWsi),
                                                    [this] { OnArrival(); }))
  , m_gated(!aServer.Options().m_tls.IsSet())
  , m_refused(aRefused)
  , m_since(aServer.GetLoop().Now())
  , m_movedAt(m_since)
  , m_out(LWS_PRE, '\0')
  , m_taken(LWS_PRE)
{
  SetGate(false);
  if (const auto& intake = m_server.Options().m_intake) {
    intake->Open();
  }
}

ServerConnection::~ServerConnection()
{
  m_server.GetLoop().Arrivals().Remove(m_arrivalWatch);
  if (m_exchange != nullptr) {
    m_server.CountAnswer(-1);
    m_exchange->Detach(false);
  }
  if (const auto& intake = m_server.Options().m_intake) {
    intake->Close(m_held);
  }
}

int
ServerConnection::OnHeaders()
{
  lws_set_timeout(m_wsi, NO_PENDING_TIMEOUT, 0);
  RequestFraming framing;
  m_used = true;
  m_since = m_server.GetLoop().Now();
  m_closeAfter = false;
  m_bodyWhole = true;
  try {
    m_request = ReadRequest(m_wsi, m_server.Options());
    if (!m_server.Options().m_tls.m_peerAuthority.empty()) {
      std::optional<std::string> name = VerifiedPeerName(m_wsi);
      if (!name) {
        return -1;
      }
      m_request.m_peerCertificate = *name;
    }
    m_bodyWhole = false;
    framing = CheckFraming(m_wsi, m_request, m_server.Options());
  } catch (const Error& error) {
    bool headers = error.Kind() == ErrorKind::TooLarge && m_bodyWhole;
    return Refuse(error, headers ? 431 : 0);
  }
  m_bodyBytes = framing.m_length;
  m_bodyWhole = framing.m_length == 0;
  m_closeAfter = framing.m_implicit || framing.m_oldVersion;
  m_oldVersion = framing.m_oldVersion;
  if (m_refused) {
    Error error(ErrorKind::Overloaded,
                "this VM has too many connections",
                "Ask again later, on fewer connections.");
    return Refuse(error.WithRetryAfter(std::chrono::seconds{ 1 }));
  }
  if (!ClaimBody(framing.m_length)) {
    return Refuse(NoRoomError());
  }
  if (m_bodyWhole) {
    return Dispatch();
  }
  m_state = State::Receiving;
  m_request.m_body.reserve(framing.m_length);
  return 0;
}

bool
ServerConnection::ClaimBody(std::size_t aBytes)
{
  m_movedAt = m_server.GetLoop().Now();
  const auto& intake = m_server.Options().m_intake;
  if (intake != nullptr && aBytes > intake->Share() &&
      !intake->HasRoomFor(aBytes)) {
    return false;
  }
  m_claimed = aBytes;
  Account();
  return true;
}

void
ServerConnection::Account()
{
  if (const auto& intake = m_server.Options().m_intake) {
    std::size_t held = m_claimed + Buffered();
    intake->Change(std::exchange(m_held, held), held);
  }
}

IntakeHolder
ServerConnection::Holder(TimePoint aNow) const
{
  // While the handler works, the peer has nothing to do.
  bool waitsForHandler = m_state == State::Answering && Buffered() == 0;
  return { .m_bytes = m_held,
           .m_stalled = waitsForHandler ? Duration::zero() : aNow - m_movedAt };
}

bool
ServerConnection::MayQueue() const
{
  const auto& intake = m_server.Options().m_intake;
  return intake == nullptr || intake->MayRead(m_held);
}

int
ServerConnection::OnUpgrade()
{
  Error error(ErrorKind::InvalidRequest,
              "the connection cannot be upgraded",
              "Use HTTP/1.1 and send no upgrade header.");
  if (Refuse(error) != 0) {
    return -1;
  }
  // libwebsockets writes and closes after this event by itself.
  return WriteQueued() == 0 ? 1 : -1;
}

int
ServerConnection::OnBody(std::string_view aBytes)
{
  if (m_state == State::Receiving) {
    m_request.m_body += aBytes;
    m_movedAt = m_server.GetLoop().Now();
  }
  lws_set_timeout(m_wsi, NO_PENDING_TIMEOUT, 0);
  return 0;
}

int
ServerConnection::OnBodyEnd()
{
  m_bodyWhole = true;
  if (m_state == State::Receiving) {
    return Dispatch();
  }
  return 0;
}

int
ServerConnection::Dispatch()
{
  lws_set_timeout(m_wsi, NO_PENDING_TIMEOUT, 0);
  m_state = State::Answering;
  m_earlyBytes = 0;
  m_closeAfter = m_closeAfter || HasReadBeyond();
  m_exchange = std::make_shared<ServerExchange>(*this);
  m_server.CountAnswer(1);
  m_server.Handler().OnRequest(m_exchange, std::move(m_request));
  m_request = {};
  return 0;
}

int
ServerConnection::Refuse(const Error& aError, int aStatus)
{
  m_state = State::Lingering;
  m_since = m_server.GetLoop().Now();
  m_closeAfter = true;
  m_claimed = 0;
  m_request = {};
  int status = aStatus == 0 ? HttpStatus(aError.Kind()) : aStatus;
  std::string body = ErrorBody(aError);
  bool chunked = false;
  HttpHeaders headers{ { "content-type", "application/json" } };
  AddRetryAfter(headers, aError);
  if (!QueueHead(status, headers, body.size(), chunked)) {
    return -1;
  }
  QueueBody(body, false);
  QueueEnd(false);
  return 0;
}

void
ServerConnection::RefuseUnread(const Error& aError, int aStatus)
{
  // libwebsockets reads nothing any more, and so it gives no writable events.
  m_unread = true;
  m_bodyWhole = false;
  if (Refuse(aError, aStatus) != 0 || WriteQueued() != 0 ||
      FinishAnswer() != 0) {
    m_server.CloseLater(m_id);
  }
}

void
ServerConnection::RefuseLate()
{
  auto limit = m_server.Options().m_requestTimeout;
  Error error(ErrorKind::InvalidRequest,
              "the request did not arrive within " +
                std::to_string(limit.count()) + " ms",
              "Send well-formed headers and the whole body at once.");
  RefuseUnread(error, 408);
}

bool
ServerConnection::QueueHead(int aStatus,
                            const HttpHeaders& aHeaders,
                            std::optional<std::size_t> aLength,
                            bool& aChunked)
{
  aChunked = !aLength && !m_oldVersion;
  m_closeAfter = m_closeAfter || (!aLength && !aChunked);
  HttpHeaders headers = aHeaders;
  if (m_closeAfter) {
    headers.push_back({ "connection", "close" });
  }
  std::string head = BuildHead(m_wsi, aStatus, headers, aLength, aChunked);
  bool wasEmpty = Buffered() == 0;
  m_out += head;
  WantWrite(wasEmpty);
  return !head.empty();
}

void
ServerConnection::QueueBody(std::string_view aBytes, bool aChunked)
{
  if (aBytes.empty()) {
    return;
  }
  bool wasEmpty = Buffered() == 0;
  if (aChunked && m_chunkStart == 0) {
    m_chunkStart = m_out.size();
    m_out.append(kChunkSizeBytes, ' ');
  }
  m_out += aBytes;
  WantWrite(wasEmpty);
}

void
ServerConnection::WantWrite(bool aWasEmpty)
{
  if (aWasEmpty && m_state == State::Answering) {
    m_since = m_server.GetLoop().Now();
  }
  Account();
  if (!m_unread) {
    lws_callback_on_writable(m_wsi);
  }
}

void
ServerConnection::CloseChunk()
{
  if (m_chunkStart == 0) {
    return;
  }
  std::size_t bytes = m_out.size() - m_chunkStart - kChunkSizeBytes;
  char size[kChunkSizeBytes + 1];
  std::snprintf(size, sizeof size, "%08zx\r\n", bytes);
  m_out.replace(m_chunkStart, kChunkSizeBytes, size);
  m_out += "\r\n";
  m_chunkStart = 0;
}

void
ServerConnection::QueueEnd(bool aChunked)
{
  CloseChunk();
  if (aChunked) {
    m_out += "0\r\n\r\n";
  }
  m_ended = true;
  WantWrite(false);
}

int
ServerConnection::WriteQueued()
{
  CloseChunk();
  std::size_t bytes = std::min(m_out.size() - m_taken, kMaxWriteBytes);
  if (bytes == 0) {
    return 0;
  }
  // LWS_PRE bytes before the data are scratch space of libwebsockets; here
  // they are room of our own, or bytes that are already written.
  int written = lws_write(m_wsi, Bytes(m_out) + m_taken, bytes, LWS_WRITE_HTTP);
  if (written < 0) {
    return -1;
  }
  m_inSocket = lws_partial_buffered(m_wsi) != 0 ? bytes : 0;
  m_taken += bytes;
  m_movedAt = m_server.GetLoop().Now();
  if (m_taken == m_out.size()) {
    m_out.resize(LWS_PRE);
    m_taken = LWS_PRE;
  } else if (m_taken > m_out.size() / 2) {
    m_out.erase(LWS_PRE, m_taken - LWS_PRE);
    m_taken = LWS_PRE;
  }
  Account();
  return 0;
}

int
ServerConnection::OnWritable()
{
  if (m_aborted) {
    return -1;
  }
  m_inSocket = 0;
  if (m_state != State::Lingering) {
    m_since = m_server.GetLoop().Now();
  }
  if (WriteQueued() != 0) {
    return -1;
  }
  lws_set_timeout(m_wsi, NO_PENDING_TIMEOUT, 0);
  bool queued = m_taken < m_out.size();
  if (queued) {
    lws_callback_on_writable(m_wsi);
  }
  if (m_exchange != nullptr) {
    m_exchange->NotifyDrained(m_server.Options().m_sendBuffer / 4);
  }
  return m_ended && m_taken == m_out.size() ? FinishAnswer() : 0;
}

int
ServerConnection::FinishAnswer()
{
  if (m_inSocket > 0) {
    WantWrite(false);
    return 0;
  }
  if (m_state == State::Lingering && !m_bodyWhole) {
    if (m_gated) {
      ::shutdown(lws_get_socket_fd(m_wsi), SHUT_WR);
    }
    return 0; // The peer closes, or CheckTimeouts() after kLingerTime.
  }
  m_ended = false;
  m_claimed = 0;
  Account();
  m_since = m_server.GetLoop().Now();
  if (m_exchange != nullptr) {
    m_server.CountAnswer(-1);
    std::exchange(m_exchange, nullptr)->Detach(true);
  }
  m_state = State::Idle;
  if (m_closeAfter) {
    return -1;
  }
  SetGate(false);
  return lws_http_transaction_completed(m_wsi) != 0 ? -1 : 0;
}

void
ServerConnection::Abort()
{
  m_out.resize(LWS_PRE);
  m_taken = LWS_PRE;
  m_aborted = true;
  m_server.CloseLater(m_id);
}

void
ServerConnection::Close()
{
  // HTTP/1.0 has no chunks: a streamed answer ends with the connection.
  bool completes = m_oldVersion && IsAnswering();
  CloseSocket(m_wsi, completes ? SocketEnd::Reset : SocketEnd::Finish);
}

void
ServerConnection::CloseForRoom()
{
  if (m_state == State::Receiving) {
    RefuseUnread(NoRoomError(), 0);
  }
  Close();
}

void
ServerConnection::CheckTimeouts(TimePoint aNow)
{
  const ServerOptions& options = m_server.Options();
  Duration silence = aNow - m_since;
  Duration limit = options.m_idleTimeout;
  if (m_state == State::Lingering) {
    limit = kLingerTime;
  } else if (m_state == State::Receiving || !m_used) {
    limit = options.m_requestTimeout;
  } else if (m_state == State::Answering && Buffered() == 0) {
    return;
  }
  if (silence <= limit) {
    return;
  }
  bool handshaking = !m_used && m_server.Options().m_tls.IsSet();
  bool late =
    m_state == State::Receiving || (m_state == State::Idle && !m_used);
  if (late && !handshaking) {
    RefuseLate();
  }
  Close();
}

} // namespace shallotford
