/// HTTP client: the calls of one loop.

#include "net_client.h"

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

} // namespace

HttpClient::HttpClient(Loop& aLoop)
  : m_loop(aLoop)
  , m_self(std::make_shared<HttpClient*>(this))
{
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.protocols = kClientProtocols;
  info.vhost_name = "client";
  info.timeout_secs = kLibraryTimeout.count();
  m_vhost = lws_create_vhost(aLoop.Context(), &info);
}

HttpClient::~HttpClient()
{
  Shutdown();
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
                    void* /*aUser*/,
                    void* aIn,
                    std::size_t aLength)
{
  if (aWsi == nullptr) {
    return 0;
  }
  auto* raw = static_cast<ClientCall*>(lws_get_opaque_user_data(aWsi));
  if (raw == nullptr) {
    return 0;
  }
  // The handler may drop the last other reference.
  std::shared_ptr<ClientCall> call = raw->shared_from_this();
  return Deliver(*call, aReason, aIn, aLength);
}

} // namespace shallotford
