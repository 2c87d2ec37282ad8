/// HTTP server: listening sockets.

#include "net_server.h"

#include "net_tls.h"

#include <sys/socket.h>
#include <unistd.h>

namespace shallotford {

namespace {

const lws_protocols kServerProtocols[] = {
  { "http", HttpServer::OnEvent, 0, 0, 0, nullptr, 0 },
  { nullptr, nullptr, 0, 0, 0, nullptr, 0 },
};

/// How often timeouts are checked: often enough that a cut is late by no more
/// than a fifth of the shorter timeout.
std::chrono::milliseconds
SweepInterval(const ServerOptions& aOptions)
{
  auto shorter = std::min(aOptions.m_idleTimeout, aOptions.m_requestTimeout);
  return std::clamp(shorter / 5,
                    std::chrono::milliseconds{ 5 },
                    std::chrono::milliseconds{ 500 });
}

bool
IsListening(int aSocket)
{
  int listening = 0;
  socklen_t length = sizeof listening;
  return ::getsockopt(
           aSocket, SOL_SOCKET, SO_ACCEPTCONN, &listening, &length) == 0 &&
         listening != 0;
}

/// Returns the listening socket of aVhost. libwebsockets has no other way to
/// close it and leave its connections alone.
lws*
FindListener(lws_context* aContext, lws_vhost* aVhost)
{
  int limit = static_cast<int>(::sysconf(_SC_OPEN_MAX));
  for (int fd = 0; fd < limit; ++fd) {
    lws* wsi = IsListening(fd) ? wsi_from_fd(aContext, fd) : nullptr;
    if (wsi != nullptr && lws_get_vhost(wsi) == aVhost) {
      return wsi;
    }
  }
  return nullptr;
}

std::string_view
View(void* aIn, std::size_t aLength)
{
  return { static_cast<const char*>(aIn), aLength };
}

} // namespace

void
ThrowCannotListen(const ServerOptions& aOptions)
{
  throw Error(ErrorKind::InvalidConfig,
              "cannot listen on " + aOptions.m_address + ":" +
                std::to_string(aOptions.m_port),
              "Choose an address of this VM and a free port, and check the "
              "certificate files.");
}

HttpServer::HttpServer(Loop& aLoop,
                       const ServerOptions& aOptions,
                       HttpHandlerI& aHandler)
  : m_loop(aLoop)
  , m_options(aOptions)
  , m_handler(aHandler)
  , m_self(std::make_shared<HttpServer*>(this))
{
  aLoop.KeepServerSlot(m_self);
  lws_context_creation_info info{};
  info.port = aOptions.m_port;
  info.iface = m_options.m_address.c_str();
  info.protocols = kServerProtocols;
  info.vhost_name = m_options.m_address.c_str();
  info.user = m_self.get();
  info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
  if (m_options.m_address.find(':') == std::string::npos) {
    info.options |= LWS_SERVER_OPTION_DISABLE_IPV6;
  }
  info.keepalive_timeout = kLibraryTimeout.count();
  info.timeout_secs = kLibraryTimeout.count();
  info.alpn = "http/1.1";
  ApplyServerTls(info, m_options.m_tls);
  m_vhost = lws_create_vhost(aLoop.Context(), &info);
  int port = m_vhost == nullptr ? 0 : lws_get_vhost_listen_port(m_vhost);
  if (port <= 0) {
    ThrowCannotListen(aOptions);
  }
  m_port = static_cast<std::uint16_t>(port);
  Sweep();
}

HttpServer::~HttpServer()
{
  Detach();
}

void
HttpServer::Detach()
{
  if (m_vhost == nullptr) {
    return;
  }
  m_loop.CancelTimer(m_sweep);
  for (auto [id, connection] : std::unordered_map(m_connections)) {
    connection->Close();
  }
  for (auto [id, connection] : std::unordered_map(m_connections)) {
    // libwebsockets ends this one later.
    lws_set_opaque_user_data(connection->Wsi(), nullptr);
    Remove(connection);
  }
  *m_self = nullptr;
  lws_vhost_destroy(m_vhost);
  m_vhost = nullptr;
  m_loop.RemoveServer(this);
}

void
HttpServer::StopAccepting()
{
  if (!std::exchange(m_accepting, false)) {
    return;
  }
  if (lws* listener = FindListener(m_loop.Context(), m_vhost)) {
    CloseSocket(listener);
  }
}

void
HttpServer::ReloadCertificates()
{
  if (m_tlsContext != nullptr) {
    ReloadTls(m_tlsContext, m_options.m_tls);
  }
}

void
HttpServer::Sweep()
{
  TimePoint now = m_loop.Now();
  for (auto [id, connection] : std::unordered_map(m_connections)) {
    connection->CheckTimeouts(now);
  }
  if (m_options.m_intake != nullptr) {
    CloseStalled();
  }
  m_sweep = m_loop.RunAfter(SweepInterval(m_options), [this] { Sweep(); });
}

void
HttpServer::CloseStalled()
{
  std::vector<std::uint64_t> ids;
  std::vector<IntakeHolder> holders;
  for (const auto& [id, connection] : m_connections) {
    ids.push_back(id);
    holders.push_back(connection->Holder(m_loop.Now()));
  }
  for (std::size_t index : m_options.m_intake->ToClose(holders)) {
    auto found = m_connections.find(ids[index]);
    if (found != m_connections.end()) {
      found->second->CloseForRoom();
    }
  }
}

ServerConnection*
HttpServer::Accept(lws* aWsi)
{
  bool refused = m_connections.size() >= m_options.m_maxConnections;
  std::uint64_t id = ++m_lastConnection;
  auto* connection = new ServerConnection(*this, aWsi, id, refused);
  m_connections.emplace(id, connection);
  return connection;
}

void
HttpServer::Remove(ServerConnection* aConnection)
{
  if (aConnection == nullptr) {
    return;
  }
  m_connections.erase(aConnection->Id());
  delete aConnection;
}

void
HttpServer::CloseLater(std::uint64_t aId)
{
  m_loop.Post([self = m_self, aId] {
    HttpServer* server = *self;
    if (server == nullptr) {
      return;
    }
    auto found = server->m_connections.find(aId);
    if (found != server->m_connections.end()) {
      found->second->Close();
    }
  });
}

int
HttpServer::OnEvent(lws* aWsi,
                    lws_callback_reasons aReason,
                    void* aUser,
                    void* aIn,
                    std::size_t aLength)
{
  if (aReason == LWS_CALLBACK_OPENSSL_PERFORM_CLIENT_CERT_VERIFICATION) {
    return VerifyPeer(aUser, aLength != 0, {});
  }
  if (aReason == LWS_CALLBACK_OPENSSL_LOAD_EXTRA_SERVER_VERIFY_CERTS) {
    void* slot = lws_vhost_user(static_cast<lws_vhost*>(aIn));
    (*static_cast<HttpServer**>(slot))->m_tlsContext =
      static_cast<ssl_ctx_st*>(aUser);
    return 0;
  }
  // The wake-up's socket belongs to another vhost.
  if (aWsi == nullptr || aReason == LWS_CALLBACK_EVENT_WAIT_CANCELLED) {
    return 0;
  }
  lws_vhost* vhost = lws_get_vhost(aWsi);
  void* slot = vhost == nullptr ? nullptr : lws_vhost_user(vhost);
  HttpServer* server =
    slot == nullptr ? nullptr : *static_cast<HttpServer**>(slot);
  if (server == nullptr) {
    return 0;
  }
  auto* connection =
    static_cast<ServerConnection*>(lws_get_opaque_user_data(aWsi));
  switch (aReason) {
    case LWS_CALLBACK_FILTER_NETWORK_CONNECTION:
      return server->m_connections.size() >=
                 server->m_options.m_maxConnections + kRefusedConnections
               ? 1
               : 0;
    case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
      lws_set_opaque_user_data(aWsi, server->Accept(aWsi));
      return 0;
    case LWS_CALLBACK_HTTP_CONFIRM_UPGRADE:
      return connection == nullptr ? -1 : connection->OnUpgrade();
    case LWS_CALLBACK_HTTP:
      return connection == nullptr ? -1 : connection->OnHeaders();
    case LWS_CALLBACK_HTTP_BODY:
      return connection == nullptr ? -1
                                   : connection->OnBody(View(aIn, aLength));
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
      return connection == nullptr ? -1 : connection->OnBodyEnd();
    case LWS_CALLBACK_HTTP_WRITEABLE:
      return connection == nullptr ? -1 : connection->OnWritable();
    case LWS_CALLBACK_WSI_DESTROY:
      lws_set_opaque_user_data(aWsi, nullptr);
      server->Remove(connection);
      return 0;
    default:
      return 0;
  }
}

} // namespace shallotford
