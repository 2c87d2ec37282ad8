/// One task's event loop.

#include "net_loop.h"

#include "net_client.h"
#include "net_server.h"
#include "net_stream.h"
#include "net_tls.h"

#include <sys/socket.h>
#include <unistd.h>

#include <csignal>

namespace shallotford {

namespace {

int
OnInternalEvent(lws* aWsi,
                lws_callback_reasons aReason,
                void* aUser,
                void* aIn,
                std::size_t aLength)
{
  // libwebsockets asks the context's first vhost about certificates.
  if (aReason == LWS_CALLBACK_OPENSSL_PERFORM_CLIENT_CERT_VERIFICATION) {
    return VerifyPeer(aUser, aLength != 0, {});
  }
  if (aReason == LWS_CALLBACK_OPENSSL_PERFORM_SERVER_CERT_VERIFICATION) {
    return HttpClient::OnEvent(aWsi, aReason, aUser, aIn, aLength);
  }
  if (aReason == LWS_CALLBACK_RAW_RX_FILE) {
    auto* onReadable =
      static_cast<const std::function<void()>*>(lws_get_opaque_user_data(aWsi));
    (*onReadable)();
  }
  return 0;
}

const lws_protocols kInternalProtocols[] = {
  { "internal", OnInternalEvent, 0, 0, 0, nullptr, 0 },
  { kStreamProtocol, Stream::OnEvent, 0, 0, 0, nullptr, 0 },
  { kListenerProtocol, StreamListener::OnEvent, 0, 0, 0, nullptr, 0 },
  { nullptr, nullptr, 0, 0, 0, nullptr, 0 },
};

} // namespace

void
CloseSocket(lws* aWsi, SocketEnd aEnd)
{
  if (aEnd == SocketEnd::Reset) {
    // Dissolving the association sends the reset at once. A reset on close
    // would come after the end, since libwebsockets shuts the socket down.
    // It can't fail unless another thread waits on the socket.
    sockaddr none{ .sa_family = AF_UNSPEC, .sa_data = {} };
    static_cast<void>(::connect(lws_get_socket_fd(aWsi), &none, sizeof none));
  } else {
    // Without the shutdown libwebsockets may linger for the peer's own close.
    ::shutdown(lws_get_socket_fd(aWsi), SHUT_RDWR);
  }
  lws_set_timeout(aWsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
}

Loop::Loop(const LoopOptions& aOptions)
  : m_options(aOptions)
{
  std::signal(SIGPIPE, SIG_IGN);
  CreateContext();
  CreateInternalVhost();
  m_onTimer = [this] { m_timers.Acknowledge(); };
  WatchDescriptor(m_timers.Descriptor(), m_onTimer);
  m_onArrival = [this] { m_arrivals.RunDue(); };
  WatchDescriptor(m_arrivals.Descriptor(), m_onArrival);
  m_client = std::make_unique<HttpClient>(*this);
  m_streams = std::make_unique<class Streams>(*this);
}

Loop::~Loop()
{
  // What is destroyed with a function may post another one.
  while (!TakePosted().empty()) {
  }
  m_client->Shutdown();
  for (HttpServer* server : std::set<HttpServer*>(m_servers)) {
    server->Detach();
  }
  lws_context_destroy(m_context);
}

void
Loop::CreateContext()
{
  lws_set_log_level(0, nullptr);
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.options =
    LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
  info.max_http_header_data2 = kHeaderStorageBytes;
  info.pt_serv_buf_size = kServiceBufferBytes;
  info.fd_limit_per_thread =
    static_cast<unsigned>(m_options.m_maxSockets + kInternalSockets);
  info.timeout_secs = kLibraryTimeout.count();
  info.server_string = "shallotford";
  m_context = lws_create_context(&info);
  if (m_context == nullptr) {
    throw Error(ErrorKind::Internal,
                "cannot create the event loop \"" + m_options.m_name + "\"",
                "Raise the limit of open files (ulimit -n).");
  }
}

void
Loop::CreateInternalVhost()
{
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.protocols = kInternalProtocols;
  info.vhost_name = "internal";
  m_vhost = lws_create_vhost(m_context, &info);
}

void
Loop::WatchDescriptor(int aDescriptor, const std::function<void()>& aOnReadable)
{
  lws_sock_file_fd_type descriptor{};
  descriptor.filefd = ::dup(aDescriptor); // libwebsockets closes its own
  lws* wsi =
    m_vhost == nullptr
      ? nullptr
      : lws_adopt_descriptor_vhost(
          m_vhost, LWS_ADOPT_RAW_FILE_DESC, descriptor, "internal", nullptr);
  if (wsi == nullptr) {
    throw Error(ErrorKind::Internal,
                "cannot watch the timers of \"" + m_options.m_name + "\"",
                "Raise the limit of open files (ulimit -n).");
  }
  lws_set_opaque_user_data(wsi,
                           const_cast<std::function<void()>*>(&aOnReadable));
}

TimersI::TimerId
Loop::RunAfter(Duration aDelay, std::function<void()> aCallback)
{
  return m_timers.Add(Now() + aDelay, std::move(aCallback));
}

void
Loop::CancelTimer(TimerId aTimer)
{
  m_timers.Cancel(aTimer);
}

void
Loop::Post(std::function<void()> aFunction)
{
  {
    std::lock_guard lock(m_mutex);
    m_posted.push_back(std::move(aFunction));
    if (m_posted.size() > 1) {
      return;
    }
  }
  if (m_thread.load() != std::this_thread::get_id()) {
    lws_cancel_service(m_context);
  }
}

bool
Loop::HasPosted()
{
  std::lock_guard lock(m_mutex);
  return !m_posted.empty();
}

std::vector<std::function<void()>>
Loop::TakePosted()
{
  std::lock_guard lock(m_mutex);
  return std::exchange(m_posted, {});
}

void
Loop::RunPosted()
{
  for (std::function<void()>& function : TakePosted()) {
    function();
  }
}

void
Loop::Run()
{
  m_thread = std::this_thread::get_id();
  while (!m_stop.exchange(false)) {
    RunPosted();
    m_polledBefore = std::exchange(m_polledAt, Now());
    m_timers.Arm();
    m_turnHasEvents = false;
    bool mayWait = !HasPosted() && !m_timers.IsDue(m_polledAt);
    lws_service(m_context, mayWait ? 0 : -1);
    // Only timers that were due when poll() returned: what had arrived by then
    // has been read, so a loop that was held up takes no late reading for
    // silence.
    m_timers.RunDue(std::max(m_polledAt, m_timers.ExpiredAt()));
  }
  m_thread = std::thread::id{};
}

void
Loop::OnDescriptorEvent()
{
  if (std::exchange(m_turnHasEvents, true)) {
    return;
  }
  // A poll() that took longer than the turn before it had to wait, so nothing
  // had arrived before it.
  TimePoint now = Now();
  bool hasWaited = now - m_polledAt > m_polledAt - m_polledBefore;
  m_arrivedAfter = hasWaited ? now : m_polledBefore;
}

void
Loop::Stop()
{
  m_stop = true;
  lws_cancel_service(m_context);
}

HttpClientI&
Loop::Client()
{
  return *m_client;
}

StreamsI&
Loop::Streams()
{
  return *m_streams;
}

std::unique_ptr<HttpServerI>
Loop::Listen(const ServerOptions& aOptions, HttpHandlerI& aHandler)
{
  // libwebsockets would let both share one socket.
  for (const HttpServer* other : m_servers) {
    if (other->Port() == aOptions.m_port) {
      ThrowCannotListen(aOptions);
    }
  }
  auto server = std::make_unique<HttpServer>(*this, aOptions, aHandler);
  m_servers.insert(server.get());
  return server;
}

void
Loop::ReloadCertificates()
{
  for (HttpServer* server : m_servers) {
    server->ReloadCertificates();
  }
  m_client->ReloadCertificates();
}

std::unique_ptr<LoopI>
MakeLoop(const LoopOptions& aOptions)
{
  return std::make_unique<Loop>(aOptions);
}

} // namespace shallotford
