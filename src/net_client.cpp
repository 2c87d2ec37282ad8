/// HTTP client: the calls of one loop.

#include "net_client.h"

#include "net_tls.h"

namespace shallotford {

namespace {

const lws_protocols kClientProtocols[] = {
  { "http", HttpClient::OnEvent, 0, 0, 0, nullptr, 0 },
  { nullptr, nullptr, 0, 0, 0, nullptr, 0 },
};

/// The caller's hold on a call.
class ClientCallHandle : public HttpClientCallI
{
public:
  explicit ClientCallHandle(std::shared_ptr<ClientCall> aCall)
    : m_call(std::move(aCall))
  {
  }
  ~ClientCallHandle() override { m_call->Cancel(); }
  ClientCallHandle(const ClientCallHandle&) = delete;
  ClientCallHandle& operator=(const ClientCallHandle&) = delete;

  CallProgress Progress() const override { return m_call->Progress(); }
  void Cancel() override { m_call->Cancel(); }
  void Pause() override { m_call->SetPaused(true); }
  void Resume() override { m_call->SetPaused(false); }

private:
  std::shared_ptr<ClientCall> m_call;
};

std::string_view
View(void* aIn, std::size_t aLength)
{
  if (aIn == nullptr) {
    return {};
  }
  return { static_cast<const char*>(aIn), aLength };
}

int
Deliver(ClientCall& aCall,
        lws_callback_reasons aReason,
        void* aIn,
        std::size_t aLength)
{
  switch (aReason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
      return aCall.OnAppendHeaders(static_cast<unsigned char**>(aIn), aLength);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      return aCall.OnWritable();
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      return aCall.OnEstablished();
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
      return aCall.OnReadable();
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      aCall.OnBody(View(aIn, aLength));
      return 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      return aCall.OnCompleted();
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      aCall.OnConnectionError(View(aIn, aLength));
      return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
      aCall.OnClosed();
      return 0;
    case LWS_CALLBACK_WSI_DESTROY:
      aCall.OnDestroyed();
      return 0;
    default:
      return 0;
  }
}

/// @throws Error (InvalidConfig) unless a vhost is ready for calls
void
CheckVhost(bool aCreated, const TlsFiles& aFiles, ssl_ctx_st* aContext)
{
  bool trusted =
    !aFiles.IsSet() || (aContext != nullptr && !aFiles.m_peerAuthority.empty());
  if (!aCreated || !trusted) {
    throw Error(ErrorKind::InvalidConfig,
                "the certificate files for calls cannot be used",
                "Name an authority's bundle, and a PEM chain with its key if "
                "the other side demands one.");
  }
  if (aFiles.IsSet()) {
    // libwebsockets passes over files that it cannot read.
    ReloadTls(aContext, aFiles);
  }
}

} // namespace

HttpClient::HttpClient(Loop& aLoop)
  : m_loop(aLoop)
  , m_self(std::make_shared<HttpClient*>(this))
{
  VhostFor({});
}

HttpClient::~HttpClient()
{
  Shutdown();
}

lws_vhost*
HttpClient::VhostFor(const TlsFiles& aTls)
{
  for (const auto& known : m_vhosts) {
    if (known->m_files == aTls) {
      return known->m_vhost;
    }
  }
  auto added = std::make_unique<TlsVhost>();
  added->m_files = aTls;
  added->m_vhost = CreateVhost(*added);
  m_vhosts.push_back(std::move(added));
  return m_vhosts.back()->m_vhost;
}

lws_vhost*
HttpClient::CreateVhost(TlsVhost& aTls)
{
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.protocols = kClientProtocols;
  info.vhost_name = "client";
  info.timeout_secs = kLibraryTimeout.count();
  info.user = &aTls;
  if (aTls.m_files.IsSet()) {
    ApplyClientTls(info, aTls.m_files);
  }
  lws_vhost* vhost = lws_create_vhost(m_loop.Context(), &info);
  try {
    CheckVhost(vhost != nullptr, aTls.m_files, aTls.m_context);
  } catch (const Error&) {
    if (vhost != nullptr) {
      lws_vhost_destroy(vhost);
    }
    throw;
  }
  return vhost;
}

std::unique_ptr<HttpClientCallI>
HttpClient::Fetch(HttpCall aCall, std::shared_ptr<HttpClientHandlerI> aHandler)
{
  std::uint64_t id = ++m_lastId;
  auto call = std::make_shared<ClientCall>(
    *this, id, std::move(aCall), std::move(aHandler));
  m_calls.emplace(id, call);
  call->Start();
  return std::make_unique<ClientCallHandle>(std::move(call));
}

void
HttpClient::Shutdown()
{
  auto calls = std::move(m_calls);
  m_calls.clear();
  for (auto& [id, call] : calls) {
    call->Detach();
  }
}

void
HttpClient::ReloadCertificates()
{
  for (const auto& known : m_vhosts) {
    if (known->m_context != nullptr) {
      ReloadTls(known->m_context, known->m_files);
    }
  }
}

void
HttpClient::RemoveLater(std::uint64_t aId)
{
  m_loop.Post([self = std::weak_ptr<HttpClient*>(m_self), aId] {
    if (std::shared_ptr<HttpClient*> client = self.lock()) {
      (*client)->Remove(aId);
    }
  });
}

void
HttpClient::Remove(std::uint64_t aId)
{
  auto found = m_calls.find(aId);
  if (found == m_calls.end()) {
    return;
  }
  std::shared_ptr<ClientCall> call = found->second;
  if (call->Wsi() != nullptr) {
    CloseSocket(call->Wsi());
  }
  m_calls.erase(aId);
}

int
HttpClient::OnEvent(lws* aWsi,
                    lws_callback_reasons aReason,
                    void* aUser,
                    void* aIn,
                    std::size_t aLength)
{
  if (aWsi == nullptr) {
    return 0;
  }
  if (aReason == LWS_CALLBACK_OPENSSL_LOAD_EXTRA_CLIENT_VERIFY_CERTS) {
    void* owner = lws_vhost_user(lws_get_vhost(aWsi));
    static_cast<TlsVhost*>(owner)->m_context = static_cast<ssl_ctx_st*>(aUser);
    return 0;
  }
  auto* raw = static_cast<ClientCall*>(lws_get_opaque_user_data(aWsi));
  if (raw == nullptr) {
    // A call that is gone trusts nobody.
    return aReason == LWS_CALLBACK_OPENSSL_PERFORM_SERVER_CERT_VERIFICATION;
  }
  if (aReason == LWS_CALLBACK_OPENSSL_PERFORM_SERVER_CERT_VERIFICATION) {
    return VerifyPeer(aUser, aLength != 0, raw->Ip());
  }
  // The handler may drop the last other reference.
  std::shared_ptr<ClientCall> call = raw->shared_from_this();
  return Deliver(*call, aReason, aIn, aLength);
}

} // namespace shallotford
