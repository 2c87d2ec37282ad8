/// HTTP server: what arrives on a connection, seen before libwebsockets.

#include "net_head.h"
#include "net_server.h"

#include <linux/sockios.h>
#include <linux/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>

namespace shallotford {

namespace {

constexpr int kProtocolTcp = 6; ///< IPPROTO_TCP, whose header clashes

/// Returns the bytes that were read from aSocket since it was opened.
std::uint64_t
BytesRead(int aSocket)
{
  tcp_info info{};
  socklen_t length = sizeof info;
  int waiting = 0;
  if (::getsockopt(aSocket, kProtocolTcp, TCP_INFO, &info, &length) != 0 ||
      ::ioctl(aSocket, SIOCINQ, &waiting) != 0) {
    return 0;
  }
  return info.tcpi_bytes_received - static_cast<std::uint64_t>(waiting);
}

bool
WouldBlock(ssize_t aResult)
{
  return aResult < 0 && (errno == EAGAIN || errno == EINTR);
}

} // namespace

void
ServerConnection::SetGate(bool aOpen)
{
  if (m_gated) {
    lws_rx_flow_control(m_wsi, aOpen ? 1 : 0);
  }
}

void
ServerConnection::OnArrival()
{
  if (m_state == State::Answering || m_state == State::Lingering) {
    DropEarlyBytes();
  } else if (m_state == State::Idle && m_gated) {
    CheckArrivedHead();
  }
}

void
ServerConnection::CheckArrivedHead()
{
  std::size_t limit = m_server.Options().m_maxHeaders;
  std::string bytes(limit + 1, '\0');
  int socket = lws_get_socket_fd(m_wsi);
  ssize_t got =
    ::recv(socket, bytes.data(), bytes.size(), MSG_PEEK | MSG_DONTWAIT);
  if (got <= 0) {
    if (!WouldBlock(got)) {
      m_server.CloseLater(m_id);
    }
    return;
  }
  bytes.resize(static_cast<std::size_t>(got));
  try {
    std::optional<std::size_t> head = CheckHead(bytes, limit);
    if (!head) {
      // Again, since libwebsockets forgets it when it starts to poll.
      SetGate(true);
      SetGate(false);
      return;
    }
    m_headStart = BytesRead(socket);
    m_headBytes = *head;
    SetGate(true);
  } catch (const Error& error) {
    RefuseUnread(error, error.Kind() == ErrorKind::TooLarge ? 431 : 0);
  }
}

void
ServerConnection::DropEarlyBytes()
{
  std::string dropped(kServiceBufferBytes, '\0');
  int socket = lws_get_socket_fd(m_wsi);
  while (true) {
    ssize_t got = ::recv(socket, dropped.data(), dropped.size(), MSG_DONTWAIT);
    if (WouldBlock(got)) {
      return;
    }
    m_earlyBytes += got > 0 ? static_cast<std::size_t>(got) : 0;
    bool flooded = m_state == State::Answering && m_earlyBytes > kMaxEarlyBytes;
    if (got <= 0 || flooded) {
      m_server.CloseLater(m_id);
      return;
    }
    // What was dropped cannot be served, so the peer has to connect again.
    m_closeAfter = true;
  }
}

bool
ServerConnection::HasReadBeyond() const
{
  if (!m_gated) {
    return m_request.m_peerCertificate.empty();
  }
  std::uint64_t end = m_headStart + m_headBytes + m_bodyBytes;
  return BytesRead(lws_get_socket_fd(m_wsi)) != end;
}

} // namespace shallotford
