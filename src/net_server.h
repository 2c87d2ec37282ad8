#ifndef SHALLOTFORD_SRC_NET_SERVER_H
#define SHALLOTFORD_SRC_NET_SERVER_H

/// HTTP server: one libwebsockets vhost for each listening socket.

#include "net_loop.h"
#include "shallotford/intake.h"

#include <unordered_map>

struct ssl_ctx_st;

namespace shallotford {

class HttpServer;
class ServerConnection;

/// One answer under way.
class ServerExchange
  : public HttpExchangeI
  , public std::enable_shared_from_this<ServerExchange>
{
public:
  explicit ServerExchange(ServerConnection& aConnection);

  void Begin(int aStatus, const HttpHeaders& aHeaders) override;
  void Write(std::string_view aBytes) override;
  void End() override;
  void Respond(int aStatus,
               const HttpHeaders& aHeaders,
               std::string_view aBody) override;
  void Abort() override;
  std::size_t Buffered() const override;
  bool MayQueue() const override;
  void OnDrained(std::function<void()> aCallback) override;
  void OnClosed(std::function<void()> aCallback) override;

  /// The connection is gone; aWhole tells whether the answer had its end.
  void Detach(bool aWhole);
  /// Calls the OnDrained callback if the buffer has drained to aLowWater.
  void NotifyDrained(std::size_t aLowWater);

private:
  ServerConnection* m_connection;
  Loop& m_loop;
  bool m_begun{ false };
  bool m_ended{ false };
  bool m_chunked{ false };
  bool m_aboveLowWater{ false };
  bool m_lost{ false };
  std::function<void()> m_onDrained;
  std::function<void()> m_onClosed;
};

/// One connection of a server.
class ServerConnection
{
public:
  ServerConnection(HttpServer& aServer,
                   lws* aWsi,
                   std::uint64_t aId,
                   bool aRefused);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  /// Handles a libwebsockets event; nonzero closes the connection.
  int OnHeaders();
  int OnUpgrade();
  int OnBody(std::string_view aBytes);
  int OnBodyEnd();
  int OnWritable();
  /// Closes the connection if it has been silent for too long.
  void CheckTimeouts(TimePoint aNow);
  /// Returns what the connection holds, for the account.
  IntakeHolder Holder(TimePoint aNow) const;
  /// Closes the connection, as there is no room for what it holds. A request
  /// that isn't complete is refused.
  void CloseForRoom();
  bool MayQueue() const;

  // For the exchange.
  bool QueueHead(int aStatus,
                 const HttpHeaders& aHeaders,
                 std::optional<std::size_t> aLength,
                 bool& aChunked);
  void QueueBody(std::string_view aBytes, bool aChunked);
  void QueueEnd(bool aChunked);
  void Abort();
  /// Closes the socket, with a reset where its end would complete an answer
  /// that is not whole.
  void Close();
  std::size_t Buffered() const { return m_out.size() - m_taken + m_inSocket; }
  HttpServer& Server() { return m_server; }
  bool IsAnswering() const { return m_exchange != nullptr; }
  lws* Wsi() { return m_wsi; }
  std::uint64_t Id() const { return m_id; }

private:
  enum class State
  {
    Idle,      ///< waits for a request
    Receiving, ///< reads a request's body
    Answering, ///< the handler has the request
    Lingering, ///< refused; drops the rest of the body
  };

  int Dispatch();
  /// Bytes, or the end, have arrived.
  void OnArrival();
  /// Lets libwebsockets read, or not.
  void SetGate(bool aOpen);
  /// Checks a head that libwebsockets has not read, and lets it pass.
  void CheckArrivedHead();
  /// Drops what the peer sends before it has its whole answer.
  void DropEarlyBytes();
  /// Returns whether libwebsockets has read more than this request.
  bool HasReadBeyond() const;
  int Refuse(const Error& aError, int aStatus = 0);
  /// Takes room for the body of the request whose head has been read.
  bool ClaimBody(std::size_t aBytes);
  /// Updates the account of what is held.
  void Account();
  /// Asks for a writable event; a first byte queued restarts the timeout.
  void WantWrite(bool aWasEmpty);
  void CloseChunk();
  /// Refuses a request that libwebsockets has not read whole.
  void RefuseUnread(const Error& aError, int aStatus);
  /// Answers a request that did not arrive in time.
  void RefuseLate();
  int FinishAnswer();
  int WriteQueued();

  HttpServer& m_server;
  lws* m_wsi;
  std::uint64_t m_id;
  std::uint64_t m_arrivalWatch;
  bool m_gated; ///< heads are checked before libwebsockets reads them
  std::uint64_t m_headStart{ 0 }; ///< bytes received before this request
  std::size_t m_headBytes{ 0 };   ///< length of this request's head
  std::size_t m_bodyBytes{ 0 };   ///< length of this request's body
  std::size_t m_earlyBytes{ 0 };  ///< dropped during this answer
  State m_state{ State::Idle };
  bool m_refused;           ///< over the connection limit
  bool m_bodyWhole{ true }; ///< the request's body has been read
  bool m_used{ false };     ///< a request has arrived
  bool m_oldVersion{ false };
  bool m_aborted{ false };
  bool m_unread{ false }; ///< refused before libwebsockets read it
  bool m_closeAfter{ false };
  bool m_ended{ false };      ///< the answer's end is queued
  TimePoint m_since;          ///< start of the state, or last progress
  TimePoint m_movedAt;        ///< time of the last bytes in either direction
  std::size_t m_claimed{ 0 }; ///< bytes of the request's body, until its answer
  std::size_t m_held{ 0 };    ///< in the account
  HttpRequest m_request;
  std::shared_ptr<ServerExchange> m_exchange;
  std::string m_out;             ///< LWS_PRE bytes of room, then what is queued
  std::size_t m_taken;           ///< bytes of m_out that are written
  std::size_t m_chunkStart{ 0 }; ///< offset of the open chunk's size, or 0
  std::size_t m_inSocket{ 0 };   ///< bytes held by libwebsockets
};

/// Throws the error of a listening socket that cannot be opened.
[[noreturn]] void
ThrowCannotListen(const ServerOptions& aOptions);

class HttpServer : public HttpServerI
{
public:
  HttpServer(Loop& aLoop,
             const ServerOptions& aOptions,
             HttpHandlerI& aHandler);
  ~HttpServer() override;
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::uint16_t Port() const override { return m_port; }
  void StopAccepting() override;
  std::size_t InFlight() const override { return m_inFlight; }

  /// The loop ends: closes everything.
  void Detach();
  void ReloadCertificates();

  static int OnEvent(lws* aWsi,
                     lws_callback_reasons aReason,
                     void* aUser,
                     void* aIn,
                     std::size_t aLength);

  Loop& GetLoop() { return m_loop; }
  const ServerOptions& Options() const { return m_options; }
  HttpHandlerI& Handler() { return m_handler; }
  void CountAnswer(int aChange) { m_inFlight += aChange; }
  /// Closes connection aId in the next round of the loop.
  void CloseLater(std::uint64_t aId);

private:
  ServerConnection* Accept(lws* aWsi);
  void Remove(ServerConnection* aConnection);
  void Sweep();
  void CloseStalled();

  Loop& m_loop;
  ServerOptions m_options;
  HttpHandlerI& m_handler;
  lws_vhost* m_vhost{ nullptr };
  ssl_ctx_st* m_tlsContext{ nullptr }; ///< the vhost's own
  bool m_accepting{ true };
  std::uint16_t m_port{ 0 };
  std::size_t m_inFlight{ 0 };
  TimersI::TimerId m_sweep{ 0 };
  std::uint64_t m_lastConnection{ 0 };
  std::unordered_map<std::uint64_t, ServerConnection*> m_connections;
  /// What the vhost points at, since libwebsockets may end connections after
  /// this server. Holds null once this server is gone; the loop keeps it.
  std::shared_ptr<HttpServer*> m_self;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_NET_SERVER_H
