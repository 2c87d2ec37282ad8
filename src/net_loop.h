#ifndef SHALLOTFORD_SRC_NET_LOOP_H
#define SHALLOTFORD_SRC_NET_LOOP_H

/// One task's event loop over one libwebsockets context.

#include "config.h"
#include "net_arrival.h"
#include "net_timers.h"
#include "shallotford/net.h"

#include <libwebsockets.h>

#include <atomic>
#include <mutex>
#include <set>
#include <thread>

namespace shallotford {

class HttpServer;
class HttpClient;
class Streams;

class Loop : public LoopI
{
public:
  explicit Loop(const LoopOptions& aOptions);
  ~Loop() override;
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
  TimerId RunAfter(Duration aDelay, std::function<void()> aCallback) override;
  void CancelTimer(TimerId aTimer) override;

  void Post(std::function<void()> aFunction) override;
  void Run() override;
  void Stop() override;
  HttpClientI& Client() override;
  StreamsI& Streams() override;
  std::unique_ptr<HttpServerI> Listen(const ServerOptions& aOptions,
                                      HttpHandlerI& aHandler) override;
  void ReloadCertificates() override;

  /// To be called by each event of a descriptor.
  void OnDescriptorEvent();
  /// Returns the time after which everything arrived that this turn reads, as
  /// far as the loop knows: it doesn't see the time that it waits for the
  /// processor inside poll().
  TimePoint ArrivedAfter() const { return m_arrivedAfter; }

  lws_context* Context() const { return m_context; }
  ArrivalWatch& Arrivals() { return m_arrivals; }
  lws_vhost* Vhost() const { return m_vhost; }
  const LoopOptions& Options() const { return m_options; }
  /// Keeps what a server's vhost points at until the context is destroyed.
  void KeepServerSlot(std::shared_ptr<HttpServer*> aSlot)
  {
    m_serverSlots.push_back(std::move(aSlot));
  }
  void RemoveServer(HttpServer* aServer) { m_servers.erase(aServer); }

private:
  void CreateContext();
  void CreateInternalVhost();
  /// Calls aOnReadable whenever aDescriptor is readable.
  void WatchDescriptor(int aDescriptor,
                       const std::function<void()>& aOnReadable);
  std::vector<std::function<void()>> TakePosted();
  void RunPosted();
  bool HasPosted();

  LoopOptions m_options;
  lws_context* m_context{ nullptr };
  lws_vhost* m_vhost{ nullptr };
  TimerQueue m_timers;
  ArrivalWatch m_arrivals;
  std::function<void()> m_onTimer;
  std::function<void()> m_onArrival;
  std::mutex m_mutex;
  std::vector<std::function<void()>> m_posted; ///< guarded by m_mutex
  std::atomic<bool> m_stop{ false };
  std::atomic<std::thread::id> m_thread;
  TimePoint m_polledAt{};     ///< begin of this turn's poll()
  TimePoint m_polledBefore{}; ///< begin of the one before
  bool m_turnHasEvents{ false };
  TimePoint m_arrivedAfter{};
  std::set<HttpServer*> m_servers;
  std::vector<std::shared_ptr<HttpServer*>> m_serverSlots;
  std::unique_ptr<HttpClient> m_client;
  std::unique_ptr<class Streams> m_streams;
};

/// How a connection ends for its peer.
enum class SocketEnd
{
  Finish, ///< an orderly end, which completes an answer without a length
  Reset,
};

/// Closes aWsi at once. Never called from inside one of its own callbacks.
void
CloseSocket(lws* aWsi, SocketEnd aEnd = SocketEnd::Finish);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_NET_LOOP_H
