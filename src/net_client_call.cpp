/// HTTP client: one call.

#include "net_client.h"

#include "net_headers.h"
#include "net_tls.h"

#include <sys/socket.h>

#include <charconv>

namespace shallotford {

namespace {

constexpr int kLowestStatus = 100;
constexpr int kHighestStatus = 599;

/// Splits "IP:PORT", or "[IPV6]:PORT". Returns whether it is that.
bool
SplitAddress(const std::string& aAddress, std::string& aIp, int& aPort)
{
  std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return false;
  }
  aIp = aAddress.substr(0, colon);
  if (aIp.size() > 2 && aIp.front() == '[' && aIp.back() == ']') {
    aIp = aIp.substr(1, aIp.size() - 2);
  }
  const char* end = aAddress.data() + aAddress.size();
  auto [stopped, error] =
    std::from_chars(aAddress.data() + colon + 1, end, aPort);
  return error == std::errc{} && stopped == end && aPort > 0 && aPort < 65536;
}

/// Returns whether aText can stand in a request line or header as it is.
bool
IsPlainText(std::string_view aText, bool aSpaces)
{
  for (char c : aText) {
    auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || byte == 0x7f || (byte == ' ' && !aSpaces)) {
      return false;
    }
  }
  return true;
}

bool
HasNoBody(int aStatus)
{
  return aStatus == 204 || aStatus == 304;
}

} // namespace

ClientCall::ClientCall(HttpClient& aClient,
                       std::uint64_t aId,
                       HttpCall aCall,
                       std::shared_ptr<HttpClientHandlerI> aHandler)
  : m_client(&aClient)
  , m_id(aId)
  , m_call(std::move(aCall))
  , m_handler(std::move(aHandler))
  , m_activity(aClient.GetLoop().Now())
{
}

std::string
ClientCall::Problem() const
{
  if (m_call.m_path.empty() || m_call.m_path.front() != '/' ||
      !IsPlainText(m_call.m_path, false)) {
    return "the path is not a percent-encoded path";
  }
  for (const HttpHeader& header : m_call.m_headers) {
    if (!IsPlainText(header.m_name, false) ||
        !IsPlainText(header.m_value, true)) {
      return "header \"" + header.m_name + "\" holds a control character";
    }
  }
  return {};
}

void
ClientCall::Start()
{
  std::string problem = Problem();
  if (!problem.empty()) {
    Fail(problem);
    return;
  }
  ArmTimer(m_call.m_headersTimeout);
  ArmWholeTimer();
  Connect();
}

void
ClientCall::Connect()
{
  if (!SplitAddress(m_call.m_address, m_ip, m_port)) {
    Fail("the address is not IP:PORT");
    return;
  }
  lws_client_connect_info info{};
  info.context = m_client->GetLoop().Context();
  try {
    info.vhost = m_client->VhostFor(m_call.m_tls);
  } catch (const Error& error) {
    Fail(error.what());
    return;
  }
  info.address = m_ip.c_str();
  info.port = m_port;
  info.path = m_call.m_path.c_str();
  info.host = m_call.m_address.c_str();
  info.method = m_call.m_method.c_str();
  info.alpn = "http/1.1";
  info.local_protocol_name = "http";
  info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
  if (m_call.m_tls.IsSet()) {
    // libwebsockets would look for a DNS name; VerifyPeer() checks the IP.
    info.ssl_connection |=
      LCCSCF_USE_SSL | LCCSCF_SKIP_SERVER_CERT_HOSTNAME_CHECK;
  }
  info.opaque_user_data = this;
  info.pwsi = &m_wsi;
  if (lws_client_connect_via_info(&info) == nullptr) {
    m_wsi = nullptr;
    Fail("cannot connect to " + m_call.m_address);
  }
}

std::string
ClientCall::HeaderText() const
{
  std::string text;
  bool hasBody = !m_call.m_body.empty() || m_call.m_method == "POST" ||
                 m_call.m_method == "PUT";
  for (const HttpHeader& header : m_call.m_headers) {
    text += header.m_name + ": " + header.m_value + "\r\n";
  }
  if (hasBody) {
    text += "content-length: " + std::to_string(m_call.m_body.size()) + "\r\n";
  }
  return text;
}

int
ClientCall::OnAppendHeaders(unsigned char** aAt, std::size_t aRoom)
{
  if (IsOver()) {
    return -1;
  }
  // A connection that opens while the loop is held up is met before the timer.
  if (m_client->GetLoop().Now() - m_activity >= m_call.m_headersTimeout) {
    Fail("the time for the answer's headers was over before the call was sent");
    return -1;
  }
  std::string text = HeaderText();
  if (text.size() + LWS_PRE > aRoom) {
    Fail("the headers exceed " + std::to_string(aRoom) + " bytes");
    return -1;
  }
  *aAt = std::copy(text.begin(), text.end(), *aAt);
  // libwebsockets writes the headers right after this event.
  m_progress = CallProgress::Sent;
  if (!m_call.m_body.empty()) {
    m_sendBuffer.assign(LWS_PRE, '\0');
    m_sendBuffer += m_call.m_body;
    lws_client_http_body_pending(m_wsi, 1);
    lws_callback_on_writable(m_wsi);
  }
  return 0;
}

int
ClientCall::OnWritable()
{
  if (IsOver()) {
    return -1;
  }
  std::size_t size =
    m_sendBuffer.size() - std::min<std::size_t>(m_sendBuffer.size(), LWS_PRE);
  std::size_t bytes = std::min(size - m_bodySent, kMaxWriteBytes);
  if (bytes == 0) {
    return 0;
  }
  bool last = m_bodySent + bytes == size;
  auto* data = reinterpret_cast<unsigned char*>(m_sendBuffer.data());
  int written = lws_write(m_wsi,
                          data + LWS_PRE + m_bodySent,
                          bytes,
                          last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
  if (written < 0) {
    return -1;
  }
  m_bodySent += bytes;
  if (last) {
    lws_client_http_body_pending(m_wsi, 0);
    m_sendBuffer = {};
    m_bodySent = 0;
  } else {
    lws_callback_on_writable(m_wsi);
  }
  return 0;
}

int
ClientCall::OnEstablished()
{
  m_progress = CallProgress::Answered;
  m_activity = m_client->GetLoop().Now();
  lws_set_timeout(m_wsi, NO_PENDING_TIMEOUT, 0);
  if (m_handler == nullptr) {
    return -1;
  }
  auto status = static_cast<int>(lws_http_client_http_response(m_wsi));
  if (status < kLowestStatus || status > kHighestStatus) {
    Fail("the status " + std::to_string(status) + " is none");
    return -1;
  }
  HttpHeaders headers = ReadHeaders(m_wsi, m_call.m_answerHeaders);
  const std::string* length = FindHeader(headers, "content-length");
  if (HasNoBody(status)) {
    m_bodyLeft = 0;
  } else if (length != nullptr) {
    std::size_t value = 0;
    std::from_chars(length->data(), length->data() + length->size(), value);
    m_bodyLeft = value;
  }
  m_untilClose =
    !m_bodyLeft && FindHeader(headers, "transfer-encoding") == nullptr;
  std::shared_ptr<HttpClientHandlerI> handler = m_handler;
  handler->OnHeaders(status, headers);
  return m_handler == nullptr ? -1 : 0;
}

void
ClientCall::DetectReset()
{
  if (!m_untilClose || m_wsi == nullptr) {
    return;
  }
  char byte = 0;
  ssize_t count =
    ::recv(lws_get_socket_fd(m_wsi), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  bool failed = count < 0 && errno != EAGAIN && errno != EINTR;
  m_reset = m_reset || failed;
}

bool
ClientCall::HasProperEnd() const
{
  bool notified =
    !m_call.m_tls.IsSet() || (m_wsi != nullptr && HasCloseNotification(m_wsi));
  return !m_reset && notified;
}

int
ClientCall::OnReadable()
{
  // libwebsockets reports a reset and the end of a connection alike, and its
  // own read clears the socket's error.
  DetectReset();
  static thread_local std::string sBuffer(kServiceBufferBytes, '\0');
  char* at = sBuffer.data();
  int room = static_cast<int>(sBuffer.size());
  m_readStart = at;
  m_readAt = &at;
  int result = lws_http_client_read(m_wsi, &at, &room);
  m_readAt = nullptr;
  return result < 0 || m_handler == nullptr ? -1 : 0;
}

void
ClientCall::OnBody(std::string_view aBytes)
{
  if (m_handler == nullptr || aBytes.empty()) {
    return;
  }
  m_activity = m_client->GetLoop().Now();
  if (m_bodyLeft) {
    *m_bodyLeft -= std::min(*m_bodyLeft, aBytes.size());
  }
  std::shared_ptr<HttpClientHandlerI> handler = m_handler;
  handler->OnBody(aBytes);
}

int
ClientCall::OnCompleted()
{
  // libwebsockets also calls a chunked answer complete when the connection
  // closes inside it. Only when it has just moved over bytes was the last of
  // them the end of the last chunk.
  bool moved = m_readAt != nullptr && *m_readAt != m_readStart;
  bool ended = m_untilClose ? HasProperEnd() : moved;
  bool whole = m_bodyLeft ? *m_bodyLeft == 0 : ended;
  if (!whole) {
    Fail("the connection closed inside the answer");
  } else {
    End();
  }
  return 0;
}

void
ClientCall::OnConnectionError(std::string_view aReason)
{
  Fail(aReason.empty() ? "connection error" : std::string(aReason));
}

void
ClientCall::OnClosed()
{
  DetectReset();
  if ((m_untilClose && HasProperEnd()) || (m_bodyLeft && *m_bodyLeft == 0)) {
    End();
  } else {
    Fail("the connection closed before the answer's end");
  }
}

void
ClientCall::OnDestroyed()
{
  m_wsi = nullptr;
  OnClosed();
  if (m_client != nullptr) {
    m_client->Forget(m_id);
  }
}

void
ClientCall::SetPaused(bool aPaused)
{
  if (m_paused == aPaused || m_handler == nullptr) {
    return;
  }
  m_paused = aPaused;
  m_activity = m_client->GetLoop().Now();
  if (m_wsi != nullptr) {
    lws_rx_flow_control(m_wsi, aPaused ? 0 : 1);
  }
}

void
ClientCall::Cancel()
{
  if (TakeHandler() != nullptr) {
    CloseConnection();
  }
}

void
ClientCall::CloseConnection()
{
  if (m_wsi != nullptr) {
    ::shutdown(lws_get_socket_fd(m_wsi), SHUT_RDWR);
  }
  m_client->RemoveLater(m_id);
}

void
ClientCall::Detach()
{
  TakeHandler();
  m_client = nullptr;
  if (m_wsi != nullptr) {
    lws_set_opaque_user_data(m_wsi, nullptr);
    m_wsi = nullptr;
  }
}

void
ClientCall::ArmTimer(Duration aDelay)
{
  m_timer = m_client->GetLoop().RunAfter(aDelay, [self = weak_from_this()] {
    if (std::shared_ptr<ClientCall> call = self.lock()) {
      call->OnTimer();
    }
  });
}

void
ClientCall::ArmWholeTimer()
{
  if (m_call.m_wholeTimeout.count() == 0) {
    return;
  }
  m_wholeTimer = m_client->GetLoop().RunAfter(
    m_call.m_wholeTimeout, [self = weak_from_this()] {
      std::shared_ptr<ClientCall> call = self.lock();
      if (call != nullptr && call->m_handler != nullptr) {
        call->Fail("no whole answer in time");
      }
    });
}

void
ClientCall::OnTimer()
{
  if (m_handler == nullptr || m_client == nullptr) {
    return;
  }
  bool answered = m_progress == CallProgress::Answered;
  Duration limit = answered ? m_call.m_idleTimeout : m_call.m_headersTimeout;
  Duration silence = m_client->GetLoop().Now() - m_activity;
  if (m_paused) {
    ArmTimer(limit);
  } else if (silence < limit) {
    ArmTimer(limit - silence);
  } else {
    Fail(answered ? "the answer fell silent" : "no answer in time");
  }
}

std::shared_ptr<HttpClientHandlerI>
ClientCall::TakeHandler()
{
  if (m_client != nullptr) {
    m_client->GetLoop().CancelTimer(std::exchange(m_timer, 0));
    m_client->GetLoop().CancelTimer(std::exchange(m_wholeTimer, 0));
  }
  return std::exchange(m_handler, nullptr);
}

void
ClientCall::End()
{
  if (m_failing) {
    return; // the failure, whose event is under way, closed the connection
  }
  if (auto handler = TakeHandler()) {
    m_client->RemoveLater(m_id);
    handler->OnEnd();
  }
}

void
ClientCall::Fail(const std::string& aReason)
{
  if (m_handler == nullptr || m_failing) {
    return;
  }
  m_failing = true;
  CloseConnection();
  HttpFailure failure{ m_progress, aReason };
  // Posted, since a call may fail inside Fetch().
  m_client->GetLoop().Post([self = shared_from_this(), failure] {
    if (auto handler = self->TakeHandler()) {
      handler->OnFailure(failure);
    }
  });
}

} // namespace shallotford
