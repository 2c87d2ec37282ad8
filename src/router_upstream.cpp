/// Pool of HTTP connections to upstreams.

#include "router_upstream.h"

#include "config.h"

#include <algorithm>

namespace shallotford {

/// One connection to an upstream. While it is idle, any event closes it.
class UpstreamConnection : public StreamHandlerI
{
public:
  UpstreamConnection(ConnectionPool& aPool, const UpstreamEntry& aUpstream)
    : m_pool(aPool)
    , m_loop(aPool.m_loop)
    , m_key(aUpstream.m_key)
    , m_stream(aPool.m_loop.Streams().Connect(
        { .m_address = aUpstream.m_address,
          .m_silenceTimeout = kUpstreamAckTimeout },
        *this))
  {
  }

  /// The pool may no longer exist, as DestroyLater() can outlive it.
  ~UpstreamConnection() override { m_loop.CancelTimer(m_idleTimer); }

  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  void Attach(StreamHandlerI* aUser) { m_user = aUser; }
  /// Closes the connection at once. Queued bytes are dropped, and no event
  /// follows.
  /// @return the bytes that the socket has taken
  std::uint64_t Close()
  {
    m_user = nullptr;
    std::uint64_t sent = m_stream->BytesSent();
    m_stream.reset();
    return sent;
  }
  StreamI& Socket() { return *m_stream; }
  const UpstreamKey& Key() const { return m_key; }
  bool IsConnected() const { return m_connected; }

  void OnConnected() override
  {
    m_connected = true;
    if (m_user != nullptr) {
      m_user->OnConnected();
    }
  }
  void OnBytes(std::string_view aBytes) override
  {
    if (m_user != nullptr) {
      m_user->OnBytes(aBytes);
      return;
    }
    // These bytes belong to no request, so the connection can't be reused.
    m_pool.RemoveIdle(this);
  }
  void OnPeerFinished() override
  {
    if (m_user != nullptr) {
      m_user->OnPeerFinished();
      return;
    }
    m_pool.RemoveIdle(this);
  }
  void OnBroken(const std::string& aReason) override
  {
    if (m_user != nullptr) {
      m_user->OnBroken(aReason);
      return;
    }
    m_pool.RemoveIdle(this);
  }

  TimersI::TimerId m_idleTimer{ 0 };
  TimePoint m_idleSince{};

private:
  ConnectionPool& m_pool; ///< used by events only
  LoopI& m_loop;
  UpstreamKey m_key;
  bool m_connected{ false };
  StreamHandlerI* m_user{ nullptr };
  std::unique_ptr<StreamI> m_stream;
};

namespace {

/// Returns how long the upstream keeps an idle connection, less a margin.
std::chrono::milliseconds
IdleLifetime(const AnswerHead& aHead)
{
  const std::string* keepAlive = FindField(aHead.m_fields, "keep-alive");
  std::size_t at =
    keepAlive == nullptr ? std::string::npos : keepAlive->find("timeout=");
  if (at == std::string::npos) {
    return kDefaultIdleTime;
  }
  constexpr std::string_view kName = "timeout=";
  auto seconds =
    std::strtoul(keepAlive->c_str() + at + kName.size(), nullptr, 10);
  auto stated = std::chrono::seconds(std::min<unsigned long>(
    seconds, static_cast<unsigned long>(kMaxIdleTime.count())));
  return std::max<std::chrono::milliseconds>(stated - kIdleMargin, 0ms);
}

} // namespace

/// One request on one connection: writes the request, reads the answer, and
/// enforces the timeouts.
class UpstreamCall
  : public UpstreamCallI
  , public StreamHandlerI
  , private MessageSinkI
{
public:
  UpstreamCall(ConnectionPool& aPool,
               std::unique_ptr<UpstreamConnection> aConnection,
               UpstreamCallOptions aOptions,
               UpstreamCallHandlerI& aHandler)
    : m_pool(aPool)
    , m_loop(aPool.m_loop)
    , m_connection(std::move(aConnection))
    , m_options(std::move(aOptions))
    , m_handler(aHandler)
    , m_reader(MakeAnswerReader(kMaxAnswerHeadBytes, m_options.m_isHead))
    , m_reused(m_connection->IsConnected())
    , m_sentBefore(m_connection->Socket().BytesSent())
  {
    m_connection->Attach(this);
    if (m_reused) {
      // The handler isn't called from inside Start().
      m_loop.Post([this, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired()) {
          SendRequest();
        }
      });
    }
    std::chrono::milliseconds sendTimeout = m_options.m_sendTimeout > 0ms
                                              ? m_options.m_sendTimeout
                                              : m_options.m_headTimeout;
    m_sendDeadline = m_loop.Now() + sendTimeout;
    m_headDeadline = m_loop.Now() + m_options.m_headTimeout;
    Arm(m_reused ? sendTimeout : std::min(kConnectTimeout, sendTimeout));
    if (m_options.m_wholeTimeout > 0ms) {
      m_wholeTimer =
        m_loop.RunAfter(m_options.m_wholeTimeout, [this] { OnWholeTimeout(); });
    }
  }

  ~UpstreamCall() override
  {
    m_loop.CancelTimer(m_timer);
    m_loop.CancelTimer(m_wholeTimer);
  }

  bool Cancel() override
  {
    m_loop.CancelTimer(m_timer);
    return CloseConnection() > 0;
  }

  void PauseReading() override
  {
    if (m_connection != nullptr) {
      m_paused = true;
      m_connection->Socket().PauseReading();
    }
  }
  void ResumeReading() override
  {
    if (m_connection != nullptr) {
      m_paused = false;
      m_connection->Socket().ResumeReading();
      m_lastBytesAt = m_loop.Now();
    }
  }
  bool IsReused() const override { return m_reused; }
  void OnConnected() override
  {
    ArmUntil(m_sendDeadline);
    SendRequest();
  }

  void OnBytes(std::string_view aBytes) override
  {
    m_lastBytesAt = m_loop.Now();
    std::size_t taken = 0;
    try {
      taken = m_reader->Feed(aBytes, *this);
    } catch (const Error& error) {
      Fail(AttemptEnd::Broken, error.what());
      return;
    }
    if (m_ended) {
      m_extraBytes = taken < aBytes.size();
      Finish();
    }
  }

  void OnPeerFinished() override
  {
    m_closedByUpstream = true;
    m_keep = false;
    if (m_reader->Finish(*this)) {
      Finish();
      return;
    }
    Fail(AttemptEnd::Broken, "the upstream closed the connection");
  }

  void OnBroken(const std::string& aReason) override
  {
    m_closedByUpstream = true;
    Fail(AttemptEnd::Broken, aReason);
  }

private:
  void OnAnswerHead(const AnswerHead& aHead) override
  {
    m_headSeen = true;
    m_keep = aHead.m_keepAlive;
    m_idleLifetime = IdleLifetime(aHead);
    Arm(m_options.m_bodyTimeout);
    m_handler.OnAnswerHead(aHead);
  }
  void OnBody(std::string_view aBytes) override
  {
    if (!IsCancelled()) {
      m_handler.OnAnswerBody(aBytes);
    }
  }
  void OnEnd() override { m_ended = true; }

  bool IsCancelled() const { return m_connection == nullptr; }

  void SendRequest()
  {
    if (IsCancelled()) {
      return;
    }
    if (m_loop.Now() >= m_sendDeadline) {
      OnTimer();
      return;
    }
    if (m_reused && m_connection->Socket().HasPeerLeft()) {
      m_closedByUpstream = true;
      Fail(AttemptEnd::Broken, "the idle connection had ended");
      return;
    }
    std::optional<std::string> bytes =
      m_handler.OnReadyToSend(std::move(m_options.m_head));
    if (!bytes || IsCancelled()) {
      return;
    }
    ArmUntil(m_headDeadline);
    std::string_view body;
    if (m_options.m_body != nullptr) {
      body = *m_options.m_body;
    }
    WriteMessage(m_connection->Socket(), std::move(*bytes), body);
  }

  void Finish()
  {
    if (IsCancelled()) {
      return;
    }
    m_loop.CancelTimer(m_timer);
    bool bodySent = m_connection->Socket().Buffered() == 0;
    if (m_keep && !m_extraBytes && bodySent && !m_paused) {
      m_connection->Attach(nullptr);
      m_pool.AddIdle(std::move(m_connection), m_idleLifetime);
    } else {
      CloseConnection();
    }
    m_handler.OnAnswerEnd();
  }

  /// @param aEnd  NotConnected replaces it if nothing was sent
  void Fail(AttemptEnd aEnd, const std::string& aReason)
  {
    if (IsCancelled()) {
      return;
    }
    m_loop.CancelTimer(m_timer);
    // Only a closed connection can't send the request any more.
    std::uint64_t sent = CloseConnection();
    m_handler.OnCallFailed(
      { .m_end = sent > 0 ? aEnd : AttemptEnd::NotConnected,
        .m_reason = aReason,
        .m_reused = m_reused,
        .m_sentBytes = sent,
        .m_closedByUpstream = m_closedByUpstream });
  }

  /// Closes the connection. Its handler is destroyed later, as its own event
  /// may be running.
  /// @return the bytes of the request that were sent
  std::uint64_t CloseConnection()
  {
    if (m_connection != nullptr) {
      std::shared_ptr<UpstreamConnection> connection = std::move(m_connection);
      m_sentBytes = connection->Close() - m_sentBefore;
      m_loop.DestroyLater(std::move(connection));
    }
    return m_sentBytes;
  }

  void Arm(std::chrono::milliseconds aDelay)
  {
    m_loop.CancelTimer(m_timer);
    m_lastBytesAt = m_loop.Now();
    m_timeout = aDelay;
    m_timer = m_loop.RunAfter(aDelay, [this] { OnTimer(); });
  }

  void ArmUntil(TimePoint aDeadline)
  {
    Arm(std::chrono::duration_cast<std::chrono::milliseconds>(aDeadline -
                                                              m_loop.Now()));
  }

  void OnTimer()
  {
    Duration idle = m_loop.Now() - m_lastBytesAt;
    if (m_headSeen && (m_paused || idle < m_timeout)) {
      m_timer = m_loop.RunAfter(m_paused ? m_timeout : m_timeout - idle,
                                [this] { OnTimer(); });
      return;
    }
    Fail(AttemptEnd::TimedOut,
         (m_connection->IsConnected() ? "no bytes received for "
                                      : "no connection within ") +
           std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(m_timeout)
               .count()) +
           " ms");
  }

  /// Does nothing once the call has ended, as it has no connection then.
  void OnWholeTimeout()
  {
    if (!IsCancelled()) {
      Fail(AttemptEnd::TimedOut,
           "no whole answer in " +
             std::to_string(m_options.m_wholeTimeout.count()) + " ms");
    }
  }

  ConnectionPool& m_pool;
  LoopI& m_loop;
  std::unique_ptr<UpstreamConnection> m_connection;
  UpstreamCallOptions m_options;
  UpstreamCallHandlerI& m_handler;
  std::unique_ptr<MessageReaderI> m_reader;
  bool m_reused;
  std::uint64_t m_sentBefore;
  std::uint64_t m_sentBytes{ 0 }; ///< set when the connection is closed
  TimePoint m_sendDeadline;
  TimePoint m_headDeadline;
  TimePoint m_lastBytesAt{};
  Duration m_timeout{};
  TimersI::TimerId m_timer{ 0 };
  TimersI::TimerId m_wholeTimer{ 0 };
  bool m_headSeen{ false };
  bool m_ended{ false };
  bool m_keep{ false };
  bool m_extraBytes{ false };
  bool m_closedByUpstream{ false };
  bool m_paused{ false };
  std::chrono::milliseconds m_idleLifetime{ 0 };
  std::shared_ptr<bool> m_alive{ std::make_shared<bool>(true) };
};

/// A request whose connection could not be started.
class FailedCall : public UpstreamCallI
{
public:
  FailedCall(LoopI& aLoop, std::string aReason, UpstreamCallHandlerI& aHandler)
  {
    aLoop.Post([reason = std::move(aReason),
                &aHandler,
                pending = std::weak_ptr<bool>(m_pending)] {
      if (!pending.expired()) {
        aHandler.OnCallFailed(
          { .m_end = AttemptEnd::NotConnected, .m_reason = reason });
      }
    });
  }
  bool Cancel() override
  {
    m_pending.reset();
    return false;
  }
  void PauseReading() override {}
  void ResumeReading() override {}
  bool IsReused() const override { return false; }

private:
  std::shared_ptr<bool> m_pending{ std::make_shared<bool>(true) };
};

ConnectionPool::ConnectionPool(LoopI& aLoop)
  : m_loop(aLoop)
{
}

ConnectionPool::~ConnectionPool()
{
  m_idle.clear();
}

std::unique_ptr<UpstreamCallI>
ConnectionPool::Start(const UpstreamEntry& aUpstream,
                      UpstreamCallOptions aOptions,
                      UpstreamCallHandlerI& aHandler)
{
  auto connection = TakeIdle(aUpstream.m_key, aOptions.m_maxReuseIdle);
  if (connection == nullptr) {
    try {
      connection = std::make_unique<UpstreamConnection>(*this, aUpstream);
    } catch (const Error& error) {
      return std::make_unique<FailedCall>(m_loop, error.what(), aHandler);
    }
    ++m_counts.m_opened;
  } else {
    ++m_counts.m_reused;
  }
  return std::make_unique<UpstreamCall>(
    *this, std::move(connection), std::move(aOptions), aHandler);
}

std::unique_ptr<UpstreamConnection>
ConnectionPool::TakeIdle(const UpstreamKey& aKey, Duration aMaxIdle)
{
  auto found = m_idle.find(aKey);
  if (found == m_idle.end() || found->second.empty()) {
    return nullptr;
  }
  if (m_loop.Now() - found->second.back()->m_idleSince > aMaxIdle) {
    return nullptr;
  }
  std::unique_ptr<UpstreamConnection> connection =
    std::move(found->second.back());
  found->second.pop_back();
  m_loop.CancelTimer(connection->m_idleTimer);
  return connection;
}

void
ConnectionPool::AddIdle(std::unique_ptr<UpstreamConnection> aConnection,
                        std::chrono::milliseconds aLifetime)
{
  UpstreamConnection* kept = aConnection.get();
  kept->m_idleSince = m_loop.Now();
  kept->m_idleTimer =
    m_loop.RunAfter(aLifetime, [this, kept] { RemoveIdle(kept); });
  m_idle[kept->Key()].push_back(std::move(aConnection));
}

void
ConnectionPool::RemoveIdle(UpstreamConnection* aIdle)
{
  auto found = m_idle.find(aIdle->Key());
  if (found == m_idle.end()) {
    return;
  }
  auto& idle = found->second;
  auto at = std::find_if(idle.begin(), idle.end(), [&](const auto& aOne) {
    return aOne.get() == aIdle;
  });
  if (at == idle.end()) {
    return;
  }
  m_loop.DestroyLater(std::move(*at));
  idle.erase(at);
  if (idle.empty()) {
    m_idle.erase(found);
  }
}

void
ConnectionPool::CloseIdle(const UpstreamKey& aKey)
{
  m_idle.erase(aKey);
}

void
ConnectionPool::CloseAllIdle()
{
  m_idle.clear();
}

} // namespace shallotford
