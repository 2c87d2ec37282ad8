#ifndef SHALLOTFORD_TESTS_ENDLESS_FIXTURE_H
#define SHALLOTFORD_TESTS_ENDLESS_FIXTURE_H

/// A server whose answers may have no end.

#include "net_fixture.h"

#include <atomic>

namespace shallotford::test {

/// An answer: m_head once, then m_piece over and over until the peer closes.
struct EndlessAnswer
{
  std::string m_head;
  std::string m_piece;
  bool m_slow{ false }; ///< a few bytes at a time
};

/// What became of an answer without end.
struct Flood
{
  std::size_t m_sent{ 0 };   ///< bytes of the answer
  bool m_closed{ false };    ///< by the peer
  bool m_exhausted{ false }; ///< sent as many bytes as the test allows
};

/// Receives one request on each connection and answers it as told.
class EndlessServer
{
public:
  using Script = std::function<EndlessAnswer(const std::string& aRequest)>;

  /// @param aFloods  gets each answer without end once it has ended
  EndlessServer(Script aScript, Inbox<Flood>& aFloods)
    : m_script(std::move(aScript))
    , m_floods(aFloods)
    , m_acceptor([this] { Accept(); })
  {
  }
  ~EndlessServer()
  {
    m_stopped = true;
    m_acceptor.join();
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  std::string Address() const { return m_listener.Address(); }

private:
  /// Bytes that no reader with a bound takes, socket buffers included.
  static constexpr std::size_t kMaxBytes = 64u << 20;
  static constexpr std::size_t kBlockBytes = 64u << 10;
  static constexpr std::size_t kSlowBytes = 3;
  static constexpr std::size_t kMaxSlowBytes = 6'000;
  static constexpr std::chrono::milliseconds kSlowPause = 10ms;
  static constexpr int kPollMs = 50;

  void Accept()
  {
    while (!m_stopped) {
      pollfd item{ m_listener.Descriptor(), POLLIN, 0 };
      if (::poll(&item, 1, kPollMs) > 0) {
        std::shared_ptr<RawSocket> socket = m_listener.Accept();
        m_threads.emplace_back([this, socket] { Serve(*socket); });
      }
    }
  }

  void Serve(RawSocket& aSocket)
  {
    EndlessAnswer answer = m_script(aSocket.ReadUntil("\r\n\r\n"));
    aSocket.Send(answer.m_head);
    if (answer.m_piece.empty()) {
      aSocket.Close();
      return;
    }
    std::size_t repeats = kBlockBytes / answer.m_piece.size();
    std::string block;
    for (std::size_t i = 0; i < repeats; ++i) {
      block += answer.m_piece;
    }
    m_floods.Put(answer.m_slow ? SendSlowly(aSocket, block)
                               : SendFast(aSocket, block));
  }

  Flood SendFast(RawSocket& aSocket, const std::string& aBlock)
  {
    Flood flood;
    std::size_t at = 0;
    while (!flood.m_closed && !m_stopped) {
      flood.m_exhausted = flood.m_sent >= kMaxBytes;
      Wait(aSocket, flood.m_exhausted ? 0 : POLLOUT, kPollMs, flood);
      if (!flood.m_exhausted) {
        Send(aSocket, std::string_view(aBlock).substr(at), flood, at);
        at = at == aBlock.size() ? 0 : at;
      }
    }
    return flood;
  }

  Flood SendSlowly(RawSocket& aSocket, const std::string& aBlock)
  {
    Flood flood;
    std::size_t at = 0;
    while (!flood.m_closed && !m_stopped) {
      flood.m_exhausted = flood.m_sent >= kMaxSlowBytes;
      if (!flood.m_exhausted) {
        Send(
          aSocket, std::string_view(aBlock).substr(at, kSlowBytes), flood, at);
        at = at == aBlock.size() ? 0 : at;
      }
      Wait(aSocket, 0, static_cast<int>(kSlowPause.count()), flood);
    }
    return flood;
  }

  static void Send(RawSocket& aSocket,
                   std::string_view aBytes,
                   Flood& aFlood,
                   std::size_t& aAt)
  {
    ssize_t sent = ::send(aSocket.Descriptor(),
                          aBytes.data(),
                          aBytes.size(),
                          MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      aFlood.m_sent += static_cast<std::size_t>(sent);
      aAt += static_cast<std::size_t>(sent);
    }
    aFlood.m_closed = aFlood.m_closed || (sent < 0 && errno != EAGAIN);
  }

  static void Wait(RawSocket& aSocket, int aEvents, int aMs, Flood& aFlood)
  {
    pollfd item{ aSocket.Descriptor(),
                 static_cast<short>(aEvents | POLLRDHUP),
                 0 };
    ::poll(&item, 1, aMs);
    constexpr int kClosed = POLLRDHUP | POLLHUP | POLLERR;
    aFlood.m_closed = aFlood.m_closed || (item.revents & kClosed) != 0;
  }

  Script m_script;
  RawListener m_listener;
  Inbox<Flood>& m_floods;
  std::atomic<bool> m_stopped{ false };
  std::vector<std::thread> m_threads; ///< added by m_acceptor
  std::thread m_acceptor;
};

} // namespace shallotford::test

#endif // SHALLOTFORD_TESTS_ENDLESS_FIXTURE_H
