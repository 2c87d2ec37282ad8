#ifndef SHALLOTFORD_SRC_NET_CLIENT_H
#define SHALLOTFORD_SRC_NET_CLIENT_H

/// HTTP client over libwebsockets.

#include "net_loop.h"

#include <unordered_map>

struct ssl_ctx_st;

namespace shallotford {

class HttpClient;

/// The state of one call. Lives until its socket is closed.
class ClientCall : public std::enable_shared_from_this<ClientCall>
{
public:
  ClientCall(HttpClient& aClient,
             std::uint64_t aId,
             HttpCall aCall,
             std::shared_ptr<HttpClientHandlerI> aHandler);
  ClientCall(const ClientCall&) = delete;
  ClientCall& operator=(const ClientCall&) = delete;

  void Start();
  /// Gives the call up without further events.
  void Cancel();
  void SetPaused(bool aPaused);
  CallProgress Progress() const { return m_progress; }
  lws* Wsi() { return m_wsi; }
  /// The client is gone, and with it every socket.
  void Detach();

  /// IP address that the server's certificate must name.
  const std::string& Ip() const { return m_ip; }

  // libwebsockets events; nonzero closes the connection.
  int OnAppendHeaders(unsigned char** aAt, std::size_t aRoom);
  int OnWritable();
  int OnEstablished();
  int OnReadable();
  void OnBody(std::string_view aBytes);
  int OnCompleted();
  void OnConnectionError(std::string_view aReason);
  void OnClosed();
  void OnDestroyed();

private:
  /// Sets m_reset if the connection of an answer without a length was reset.
  void DetectReset();
  /// Returns whether the connection's end completes an answer without a length.
  bool HasProperEnd() const;
  void Connect();
  std::string Problem() const;
  std::string HeaderText() const;
  void ArmTimer(Duration aDelay);
  void ArmWholeTimer();
  void OnTimer();
  /// Stops the timers and returns the handler, which gets one last event.
  std::shared_ptr<HttpClientHandlerI> TakeHandler();
  /// Returns whether nothing more may be sent.
  bool IsOver() const { return m_handler == nullptr || m_failing; }
  /// Ends the connection at once; the socket is closed in the next round.
  void CloseConnection();
  void End();
  void Fail(const std::string& aReason);

  HttpClient* m_client; ///< null once detached
  std::uint64_t m_id;
  HttpCall m_call;
  std::string m_ip;
  int m_port{ 0 };
  std::shared_ptr<HttpClientHandlerI> m_handler; ///< null once ended
  lws* m_wsi{ nullptr };
  CallProgress m_progress{ CallProgress::NotSent };
  TimersI::TimerId m_timer{ 0 };
  TimersI::TimerId m_wholeTimer{ 0 };
  TimePoint m_activity;     ///< start, or the latest byte of the answer
  std::string m_sendBuffer; ///< LWS_PRE bytes of room, then the body
  std::size_t m_bodySent{ 0 };
  std::optional<std::size_t> m_bodyLeft; ///< of an answer with a length
  bool m_untilClose{ false }; ///< the answer ends with the connection
  bool m_reset{ false }; ///< the connection was reset inside such an answer
  /// While libwebsockets reads: where it is, and where it began.
  char** m_readAt{ nullptr };
  const char* m_readStart{ nullptr };
  bool m_paused{ false };
  bool m_failing{ false }; ///< the failure is on its way to the handler
};

class HttpClient : public HttpClientI
{
public:
  explicit HttpClient(Loop& aLoop);
  ~HttpClient() override;
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  std::unique_ptr<HttpClientCallI> Fetch(
    HttpCall aCall,
    std::shared_ptr<HttpClientHandlerI> aHandler) override;

  /// The loop ends: no call delivers further events.
  void Shutdown();
  void ReloadCertificates();

  static int OnEvent(lws* aWsi,
                     lws_callback_reasons aReason,
                     void* aUser,
                     void* aIn,
                     std::size_t aLength);

  Loop& GetLoop() { return m_loop; }
  /// Returns the vhost for connections by aTls, made when first asked for.
  /// @throws Error (InvalidConfig) if the certificate files cannot be used
  lws_vhost* VhostFor(const TlsFiles& aTls);
  /// Closes the socket of call aId, if it has one, and forgets the call, in
  /// the next round of the loop.
  void RemoveLater(std::uint64_t aId);
  void Forget(std::uint64_t aId) { m_calls.erase(aId); }

private:
  /// The vhost of one set of certificate files.
  struct TlsVhost
  {
    TlsFiles m_files;
    lws_vhost* m_vhost{ nullptr };
    ssl_ctx_st* m_context{ nullptr }; ///< the vhost's own
  };

  void Remove(std::uint64_t aId);
  lws_vhost* CreateVhost(TlsVhost& aTls);

  Loop& m_loop;
  std::vector<std::unique_ptr<TlsVhost>> m_vhosts;
  std::uint64_t m_lastId{ 0 };
  std::unordered_map<std::uint64_t, std::shared_ptr<ClientCall>> m_calls;
  std::shared_ptr<HttpClient*> m_self; ///< expires with this client
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_NET_CLIENT_H
