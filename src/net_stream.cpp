/// Raw TCP connections.

#include "net_stream.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>

namespace shallotford {

namespace {

/// Time without accepting after descriptors ran out.
constexpr std::chrono::milliseconds kAcceptPause{ 100 };

/// @throws Error (InvalidConfig) if aAddress isn't an IPv4 "IP:PORT"
sockaddr_in
ToSockaddr(const std::string& aAddress)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  std::size_t colon = aAddress.rfind(':');
  std::string ip = aAddress.substr(0, colon);
  unsigned long port = 65'536;
  if (colon != std::string::npos) {
    port = std::strtoul(aAddress.c_str() + colon + 1, nullptr, 10);
  }
  if (port > 65'535 ||
      ::inet_pton(AF_INET, ip.c_str(), &result.sin_addr) != 1) {
    throw Error(ErrorKind::InvalidConfig,
                "\"" + aAddress + "\" is no IPv4 address with a port",
                "Write it as IP:PORT.");
  }
  result.sin_port = htons(static_cast<std::uint16_t>(port));
  return result;
}

void
SetOption(int aSocket, int aLevel, int aName, int aValue)
{
  ::setsockopt(aSocket, aLevel, aName, &aValue, sizeof aValue);
}

/// Turns on what reveals a peer that has gone silent.
void
SetTcpOptions(int aSocket, std::chrono::milliseconds aSilenceTimeout)
{
  int timeout = static_cast<int>(aSilenceTimeout.count());
  SetOption(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, timeout);
}

/// Closes a socket that the loop could not take.
class SocketGuard
{
public:
  explicit SocketGuard(int aSocket)
    : m_socket(aSocket)
  {
  }
  ~SocketGuard()
  {
    if (m_socket >= 0) {
      ::close(m_socket);
    }
  }
  SocketGuard(const SocketGuard&) = delete;
  SocketGuard& operator=(const SocketGuard&) = delete;
  int Get() const { return m_socket; }
  int Release() { return std::exchange(m_socket, -1); }

private:
  int m_socket;
};

int
NewSocket()
{
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket < 0) {
    throw Error(ErrorKind::Internal,
                std::string("cannot create a socket: ") + std::strerror(errno),
                "Raise the limit of open files (ulimit -n).");
  }
  return socket;
}

} // namespace

PolledDescriptor::PolledDescriptor(Loop& aLoop,
                                   int aDescriptor,
                                   const char* aProtocol,
                                   void* aOwner)
  : m_loop(aLoop)
  , m_descriptor(aDescriptor)
  , m_slot(std::make_shared<Slot>())
{
  lws_sock_file_fd_type descriptor{};
  descriptor.filefd = aDescriptor;
  lws* wsi = lws_adopt_descriptor_vhost(
    aLoop.Vhost(), LWS_ADOPT_RAW_FILE_DESC, descriptor, aProtocol, nullptr);
  if (wsi == nullptr) {
    throw Error(ErrorKind::Internal,
                "the event loop has no room for another socket",
                "Raise the limit of open files (ulimit -n).");
  }
  *m_slot = { .m_wsi = wsi, .m_owner = aOwner };
  lws_set_opaque_user_data(wsi, new std::shared_ptr<Slot>(m_slot));
}

PolledDescriptor::~PolledDescriptor()
{
  m_slot->m_owner = nullptr;
  if (m_slot->m_wsi == nullptr) {
    return;
  }
  // The descriptor may be inside its own callback, so it is closed later.
  AllowReading(false);
  m_loop.Post([slot = m_slot] {
    if (slot->m_wsi != nullptr) {
      CloseSocket(slot->m_wsi, slot->m_end);
    }
  });
}

void*
PolledDescriptor::OwnerOf(lws* aWsi)
{
  auto* slot =
    static_cast<std::shared_ptr<Slot>*>(lws_get_opaque_user_data(aWsi));
  return slot == nullptr ? nullptr : (*slot)->m_owner;
}

void
PolledDescriptor::OnClosed(lws* aWsi)
{
  std::unique_ptr<std::shared_ptr<Slot>> slot(
    static_cast<std::shared_ptr<Slot>*>(lws_get_opaque_user_data(aWsi)));
  if (slot == nullptr) {
    return;
  }
  (*slot)->m_wsi = nullptr;
  lws_set_opaque_user_data(aWsi, nullptr);
}

void
PolledDescriptor::WantWritable()
{
  // libwebsockets forgets a request that is made inside a write event.
  m_loop.Post([slot = m_slot] {
    if (slot->m_wsi != nullptr) {
      lws_callback_on_writable(slot->m_wsi);
    }
  });
}

void
PolledDescriptor::AllowReading(bool aAllowed)
{
  if (m_slot->m_wsi != nullptr) {
    lws_rx_flow_control(m_slot->m_wsi, aAllowed ? 1 : 0);
  }
}

Stream::Stream(Loop& aLoop,
               int aDescriptor,
               bool aConnecting,
               StreamHandlerI* aHandler)
  : m_loop(aLoop)
  , m_connecting(aConnecting)
  , m_handler(aHandler)
  , m_descriptor(std::make_unique<PolledDescriptor>(aLoop,
                                                    aDescriptor,
                                                    kStreamProtocol,
                                                    this))
{
  if (aConnecting) {
    m_descriptor->WantWritable();
  }
}

Stream::~Stream()
{
  *m_alive = false;
}

int
Stream::OnEvent(lws* aWsi,
                lws_callback_reasons aReason,
                void* /*aUser*/,
                void* /*aIn*/,
                std::size_t /*aLength*/)
{
  auto* stream = static_cast<Stream*>(PolledDescriptor::OwnerOf(aWsi));
  if (stream != nullptr) {
    stream->m_loop.OnDescriptorEvent();
  }
  switch (aReason) {
    case LWS_CALLBACK_RAW_RX_FILE:
      if (stream != nullptr) {
        stream->OnReadable();
      }
      return 0;
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
      if (stream != nullptr) {
        stream->OnWritable();
      }
      return 0;
    case LWS_CALLBACK_RAW_CLOSE_FILE:
      PolledDescriptor::OnClosed(aWsi);
      if (stream != nullptr) {
        stream->Break(stream->PendingError());
      }
      return 0;
    default:
      return 0;
  }
}

int
Stream::PendingError() const
{
  int error = 0;
  socklen_t length = sizeof error;
  ::getsockopt(
    m_descriptor->Descriptor(), SOL_SOCKET, SO_ERROR, &error, &length);
  return error;
}

void
Stream::OnReadable()
{
  if (m_connecting || m_broken) {
    return;
  }
  std::array<char, kStreamReadBytes> buffer; // NOLINT: filled by read()
  std::shared_ptr<bool> alive = m_alive;
  while (*alive && !m_paused && !m_peerFinished && !m_broken) {
    std::size_t most = m_maxRead;
    ssize_t count = ::read(m_descriptor->Descriptor(), buffer.data(), most);
    if (count < 0) {
      if (errno != EAGAIN && errno != EINTR) {
        Break(errno);
      }
      return;
    }
    if (count == 0 && m_sendError != 0) {
      Break(m_sendError);
      return;
    }
    if (count == 0) {
      m_peerFinished = true;
      m_descriptor->AllowReading(false);
      m_handler->OnPeerFinished();
      return;
    }
    m_handler->OnBytes({ buffer.data(), static_cast<std::size_t>(count) });
    if (static_cast<std::size_t>(count) < most) {
      return;
    }
  }
}

void
Stream::ReadFirst(TimePoint aArrivedAfter)
{
  if (m_handler == nullptr) {
    return;
  }
  std::weak_ptr<bool> alive = m_alive;
  m_acceptedAfter = aArrivedAfter;
  OnReadable();
  if (!alive.expired()) {
    m_acceptedAfter = TimePoint::max();
  }
}

void
Stream::OnWritable()
{
  if (m_broken) {
    return;
  }
  if (m_connecting) {
    FinishConnecting();
    return;
  }
  if (!Flush()) {
    return;
  }
  if (Buffered() == 0 && m_drainDue) {
    m_drainDue = false;
    m_handler->OnDrained();
  }
}

void
Stream::FinishConnecting()
{
  if (int error = PendingError(); error != 0) {
    Break(error);
    return;
  }
  m_connecting = false;
  std::shared_ptr<bool> alive = m_alive;
  m_handler->OnConnected();
  if (*alive && !m_broken && Buffered() > 0) {
    Flush();
  }
}

void
Stream::Write(std::string_view aBytes)
{
  if (m_broken || m_finish) {
    return;
  }
  if (Buffered() == 0 && !m_connecting) {
    // What the socket takes at once needs no copy.
    aBytes.remove_prefix(Send(aBytes));
    if (!aBytes.empty()) {
      // Errors are reported by an event, not from inside this call.
      m_descriptor->WantWritable();
    }
  }
  if (m_offset > m_queued.size() / 2) {
    // A slow reader may never take all that is queued.
    m_queued = m_queued.substr(m_offset);
    m_offset = 0;
  }
  m_queued.append(aBytes);
}

Duration
Stream::SinceArrival() const
{
  tcp_info info{};
  socklen_t length = sizeof info;
  int failed = ::getsockopt(
    m_descriptor->Descriptor(), IPPROTO_TCP, TCP_INFO, &info, &length);
  std::chrono::milliseconds known(failed != 0 ? 0 : info.tcpi_last_data_recv);
  TimePoint after = std::min(m_loop.ArrivedAfter(), m_acceptedAfter);
  return std::max<Duration>(known, m_loop.Now() - after);
}

bool
Stream::HasPeerLeft() const
{
  return m_broken || m_peerFinished || Polls(POLLRDHUP);
}

bool
Stream::Polls(short aEvent) const
{
  pollfd item{ m_descriptor->Descriptor(), aEvent, 0 };
  return ::poll(&item, 1, 0) > 0;
}

void
Stream::FinishWriting()
{
  if (m_broken || m_finish) {
    return;
  }
  m_finish = true;
  if (!m_connecting) {
    m_descriptor->WantWritable();
  }
}

std::size_t
Stream::Send(std::string_view aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    ssize_t count = ::send(m_descriptor->Descriptor(),
                           aBytes.data() + sent,
                           aBytes.size() - sent,
                           MSG_NOSIGNAL);
    if (count < 0) {
      // The socket forgets its error, and a read would find an end. EPIPE
      // follows an end that the peer has sent.
      if (errno != EAGAIN && errno != EINTR && errno != EPIPE) {
        m_sendError = errno;
      }
      return sent;
    }
    m_sendError = 0; // the connection has outlived it
    sent += static_cast<std::size_t>(count);
    m_sent += static_cast<std::uint64_t>(count);
  }
  return sent;
}

bool
Stream::SendQueued()
{
  m_offset += Send(std::string_view(m_queued).substr(m_offset));
  if (Buffered() > 0) {
    return false;
  }
  ReleaseQueue();
  return true;
}

void
Stream::ReleaseQueue()
{
  m_queued.clear();
  m_offset = 0;
  if (m_queued.capacity() > kKeptQueueBytes) {
    m_queued.shrink_to_fit();
  }
}

bool
Stream::Flush()
{
  if (!SendQueued()) {
    if (errno == EAGAIN || errno == EINTR) {
      m_drainDue = true;
      m_descriptor->WantWritable();
      return true;
    }
    Break(errno);
    return false;
  }
  m_drainDue = true;
  if (m_finish && !m_finished) {
    m_finished = true;
    ::shutdown(m_descriptor->Descriptor(), SHUT_WR);
  }
  return true;
}

void
Stream::Break(int aError)
{
  if (m_broken) {
    return;
  }
  m_broken = true;
  ReleaseQueue();
  m_descriptor->AllowReading(false);
  m_handler->OnBroken(aError == 0 ? "the peer reset the connection"
                                  : std::strerror(aError));
}

void
Stream::BreakLater(int aError)
{
  m_loop.Post([this, aError, alive = std::weak_ptr<bool>(m_alive)] {
    if (!alive.expired()) {
      Break(aError);
    }
  });
}

void
Stream::PauseReading()
{
  if (m_paused || m_broken) {
    return;
  }
  m_paused = true;
  m_descriptor->AllowReading(false);
}

void
Stream::ResumeReading()
{
  if (!m_paused || m_broken) {
    return;
  }
  m_paused = false;
  if (!m_peerFinished) {
    m_descriptor->AllowReading(true);
  }
}

StreamListener::StreamListener(
  Loop& aLoop,
  const StreamListenerOptions& aOptions,
  std::function<void(std::unique_ptr<StreamI>)> aOnAccept)
  : m_loop(aLoop)
  , m_options(aOptions)
  , m_onAccept(std::move(aOnAccept))
{
  sockaddr_in address = ToSockaddr(aOptions.m_address);
  SocketGuard guard(NewSocket());
  SetOption(guard.Get(), SOL_SOCKET, SO_REUSEADDR, 1);
  auto* plain = reinterpret_cast<sockaddr*>(&address);
  socklen_t length = sizeof address;
  if (::bind(guard.Get(), plain, length) != 0 ||
      ::listen(guard.Get(), kListenBacklog) != 0 ||
      ::getsockname(guard.Get(), plain, &length) != 0) {
    throw Error(ErrorKind::InvalidConfig,
                "cannot listen on " + aOptions.m_address + ": " +
                  std::strerror(errno),
                "Choose an address of this VM and a free port.");
  }
  m_port = ntohs(address.sin_port);
  m_descriptor = std::make_unique<PolledDescriptor>(
    m_loop, guard.Get(), kListenerProtocol, this);
  guard.Release();
}

int
StreamListener::OnEvent(lws* aWsi,
                        lws_callback_reasons aReason,
                        void* /*aUser*/,
                        void* /*aIn*/,
                        std::size_t /*aLength*/)
{
  auto* listener =
    static_cast<StreamListener*>(PolledDescriptor::OwnerOf(aWsi));
  if (aReason == LWS_CALLBACK_RAW_CLOSE_FILE) {
    PolledDescriptor::OnClosed(aWsi);
  }
  if (listener != nullptr && aReason == LWS_CALLBACK_RAW_RX_FILE) {
    listener->m_loop.OnDescriptorEvent();
    listener->AcceptAll();
  }
  return 0;
}

void
StreamListener::AcceptAll()
{
  if (!m_isBacklogged) {
    m_arrivedAfter = m_loop.ArrivedAfter();
  }
  for (std::size_t i = 0; i < kAcceptsPerTurn; ++i) {
    SocketGuard guard(::accept4(m_descriptor->Descriptor(),
                                nullptr,
                                nullptr,
                                SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (guard.Get() < 0) {
      m_isBacklogged = false;
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
          errno == ENOMEM) {
        PauseAccepting();
      }
      return;
    }
    SetTcpOptions(guard.Get(), m_options.m_silenceTimeout);
    std::unique_ptr<Stream> stream;
    try {
      stream = std::make_unique<Stream>(m_loop, guard.Get(), false, nullptr);
    } catch (const Error&) {
      return; // no room: the peer's connection is closed
    }
    guard.Release();
    Stream* accepted = stream.get();
    std::weak_ptr<bool> alive = accepted->Alive();
    m_onAccept(std::move(stream));
    if (!alive.expired()) {
      accepted->ReadFirst(m_arrivedAfter);
    }
  }
  m_isBacklogged = true;
}

void
StreamListener::PauseAccepting()
{
  m_descriptor->AllowReading(false);
  m_loop.CancelTimer(m_acceptTimer);
  m_acceptTimer =
    m_loop.RunAfter(kAcceptPause, [this] { m_descriptor->AllowReading(true); });
  if (m_options.m_onExhausted) {
    m_options.m_onExhausted();
  }
}

StreamListener::~StreamListener()
{
  m_loop.CancelTimer(m_acceptTimer);
}

std::unique_ptr<StreamI>
Streams::Connect(const StreamOptions& aOptions, StreamHandlerI& aHandler)
{
  sockaddr_in address = ToSockaddr(aOptions.m_address);
  SocketGuard guard(NewSocket());
  SetTcpOptions(guard.Get(), aOptions.m_silenceTimeout);
  auto* plain = reinterpret_cast<sockaddr*>(&address);
  bool failed =
    ::connect(guard.Get(), plain, sizeof address) != 0 && errno != EINPROGRESS;
  int error = failed ? errno : 0;
  auto stream = std::make_unique<Stream>(m_loop, guard.Get(), true, &aHandler);
  guard.Release();
  if (failed) {
    stream->BreakLater(error);
  }
  return stream;
}

std::unique_ptr<StreamListenerI>
Streams::Listen(const StreamListenerOptions& aOptions,
                std::function<void(std::unique_ptr<StreamI>)> aOnAccept)
{
  return std::make_unique<StreamListener>(
    m_loop, aOptions, std::move(aOnAccept));
}

} // namespace shallotford
