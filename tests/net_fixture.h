#ifndef SHALLOTFORD_TESTS_NET_FIXTURE_H
#define SHALLOTFORD_TESTS_NET_FIXTURE_H

/// A loop on a thread of its own, a scriptable server and a raw socket, for
/// the tests of the net library.

#include "shallotford/net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <deque>
#include <future>
#include <mutex>
#include <thread>

namespace shallotford::test {

using namespace std::chrono_literals;

/// Runs a loop on a thread until destroyed.
class LoopThread
{
public:
  LoopThread()
    : m_loop(MakeLoop({ .m_name = "test" }))
    , m_thread([this] { m_loop->Run(); })
  {
  }
  ~LoopThread()
  {
    m_loop->Stop();
    m_thread.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  LoopI& operator*() { return *m_loop; }
  LoopI* operator->() { return m_loop.get(); }

  /// Runs aFunction on the loop's thread and returns its result.
  template<class Function>
  auto Do(Function aFunction)
  {
    using Result = decltype(aFunction());
    std::packaged_task<Result()> task(std::move(aFunction));
    std::future<Result> result = task.get_future();
    m_loop->Post([&task] { task(); });
    return result.get();
  }

private:
  std::unique_ptr<LoopI> m_loop;
  std::thread m_thread;
};

/// A queue that the test's thread waits on.
template<class Item>
class Inbox
{
public:
  void Put(Item aItem)
  {
    std::lock_guard lock(m_mutex);
    m_items.push_back(std::move(aItem));
    m_changed.notify_all();
  }
  /// Returns the next item, or nullopt after ten seconds without one.
  std::optional<Item> Take(std::chrono::milliseconds aWait = 10s)
  {
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, aWait, [this] { return !m_items.empty(); });
    if (m_items.empty()) {
      return std::nullopt;
    }
    Item item = std::move(m_items.front());
    m_items.pop_front();
    return item;
  }
  std::size_t Size()
  {
    std::lock_guard lock(m_mutex);
    return m_items.size();
  }

private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::deque<Item> m_items;
};

/// A handler made of a function.
class FunctionHandler : public HttpHandlerI
{
public:
  using Function =
    std::function<void(std::shared_ptr<HttpExchangeI>, HttpRequest)>;
  explicit FunctionHandler(Function aFunction)
    : m_function(std::move(aFunction))
  {
  }
  void OnRequest(std::shared_ptr<HttpExchangeI> aExchange,
                 HttpRequest aRequest) override
  {
    m_function(std::move(aExchange), std::move(aRequest));
  }

private:
  Function m_function;
};

/// A server on a loop, listening while it lives.
class TestServer
{
public:
  TestServer(LoopThread& aLoop,
             FunctionHandler::Function aFunction,
             ServerOptions aOptions = {})
    : m_loop(aLoop)
    , m_handler(std::move(aFunction))
    , m_server(aLoop.Do([&] { return aLoop->Listen(aOptions, m_handler); }))
    , m_port(m_server->Port())
  {
  }
  ~TestServer()
  {
    m_loop.Do([this] { m_server.reset(); });
  }
  TestServer(const TestServer&) = delete;
  TestServer& operator=(const TestServer&) = delete;

  std::uint16_t Port() const { return m_port; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(m_port); }
  HttpServerI& operator*() { return *m_server; }
  HttpServerI* operator->() { return m_server.get(); }

private:
  LoopThread& m_loop;
  FunctionHandler m_handler;
  std::unique_ptr<HttpServerI> m_server;
  std::uint16_t m_port;
};

/// A blocking TCP connection that sends and reads raw bytes.
class RawSocket
{
public:
  explicit RawSocket(std::uint16_t aPort)
    : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address = LoopbackAddress(aPort);
    m_connected =
      ::connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address) ==
      0;
  }
  /// Takes over an open socket.
  explicit RawSocket(int aFd, bool aConnected)
    : m_fd(aFd)
    , m_connected(aConnected)
  {
  }
  ~RawSocket() { Close(); }
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  static sockaddr_in LoopbackAddress(std::uint16_t aPort)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  bool IsConnected() const { return m_connected; }
  int Descriptor() const { return m_fd; }

  void Send(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      ssize_t sent = ::send(m_fd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return;
      }
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
    }
  }

  /// Reads until aEnd appears, the peer closes, or ten seconds pass.
  std::string ReadUntil(std::string_view aEnd)
  {
    while (m_read.find(aEnd) == std::string::npos && ReadSome()) {
    }
    return m_read;
  }
  /// Reads until the peer closes. Returns all that was read so far.
  std::string ReadToEnd()
  {
    while (ReadSome()) {
    }
    return m_read;
  }
  /// Returns whether the peer closed, after ReadToEnd().
  bool IsClosedByPeer() const { return m_closed; }
  /// Returns whether the peer reset the connection, after ReadToEnd().
  bool IsResetByPeer() const { return m_reset; }

  void Close()
  {
    if (m_fd >= 0) {
      ::close(std::exchange(m_fd, -1));
    }
  }

  /// Closes the connection with a reset.
  void Reset()
  {
    linger reset{ .l_onoff = 1, .l_linger = 0 };
    ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    Close();
  }

private:
  bool ReadSome()
  {
    pollfd item{ m_fd, POLLIN, 0 };
    if (::poll(&item, 1, 10'000) <= 0) {
      return false;
    }
    char buffer[4096];
    ssize_t got = ::recv(m_fd, buffer, sizeof buffer, 0);
    if (got <= 0) {
      m_reset = got < 0;
      m_closed = true;
      return false;
    }
    m_read.append(buffer, static_cast<std::size_t>(got));
    return true;
  }

  int m_fd;
  bool m_connected{ false };
  bool m_closed{ false };
  bool m_reset{ false };
  std::string m_read;
};

/// A listening socket whose connections the test answers byte by byte.
class RawListener
{
public:
  RawListener()
    : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address = RawSocket::LoopbackAddress(0);
    auto* raw = reinterpret_cast<sockaddr*>(&address);
    socklen_t length = sizeof address;
    bool failed = ::bind(m_fd, raw, length) != 0 || ::listen(m_fd, 16) != 0 ||
                  ::getsockname(m_fd, raw, &length) != 0;
    m_port = failed ? 0 : ntohs(address.sin_port);
  }
  ~RawListener() { ::close(m_fd); }
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  std::string Address() const { return "127.0.0.1:" + std::to_string(m_port); }
  std::uint16_t Port() const { return m_port; }
  int Descriptor() const { return m_fd; }
  std::unique_ptr<RawSocket> Accept()
  {
    pollfd item{ m_fd, POLLIN, 0 };
    if (::poll(&item, 1, 10'000) <= 0) {
      return nullptr;
    }
    int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
    return std::make_unique<RawSocket>(fd, true);
  }

private:
  int m_fd;
  std::uint16_t m_port{ 0 };
};

/// Fetches a whole answer from the test's thread.
inline HttpResult
FetchAndWait(LoopThread& aLoop, HttpCall aCall)
{
  Inbox<HttpResult> inbox;
  std::unique_ptr<HttpClientCallI> call = aLoop.Do([&] {
    return aLoop->Client().FetchWhole(
      std::move(aCall),
      [&inbox](HttpResult aResult) { inbox.Put(std::move(aResult)); });
  });
  std::optional<HttpResult> result = inbox.Take();
  aLoop.Do([&call] { call.reset(); });
  return result.value_or(HttpResult{});
}

/// Answers with the request's method, path, query and body.
inline void
Echo(const std::shared_ptr<HttpExchangeI>& aExchange,
     const HttpRequest& aRequest)
{
  aExchange->Respond(200,
                     { { "content-type", "text/plain" } },
                     aRequest.m_method + " " + aRequest.m_path + "?" +
                       aRequest.m_query + " " + aRequest.m_body);
}

} // namespace shallotford::test

#endif // SHALLOTFORD_TESTS_NET_FIXTURE_H
