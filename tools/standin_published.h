#ifndef SHALLOTFORD_TOOLS_STANDIN_PUBLISHED_H
#define SHALLOTFORD_TOOLS_STANDIN_PUBLISHED_H

/// Stand-ins of the users' platform for tests: a metadata store that can be
/// read and watched, and servers whose entries tests publish in it. A test sets
/// the faults of the store and may script every answer of a server.

#include "router_caller.h"
#include "shallotford/router.h"

namespace shallotford::standin {

/// Receives complete HTTP requests on a port that the kernel chooses.
class PublishedPort : public CallerHandlerI
{
public:
  explicit PublishedPort(LoopI& aLoop);
  ~PublishedPort() override;

  /// Returns "127.0.0.1:PORT".
  std::string Address() const;
  /// Accepts no more connections and resets the open ones.
  void Close() { m_listener.reset(); }

  void OnBadRequest(const Error&) override {}
  CallerLimits Limits() const override { return {}; }
  bool IsLeaving() const override { return false; }

private:
  std::unique_ptr<CallerListener> m_listener;
};

/// How the store fails.
enum class StoreFault
{
  None,
  Unavailable, ///< answers each call with 503
  NoAnswer,    ///< leaves each call without an answer
  Compacted,   ///< answers the next watch with 410, then works again
  Garbled,     ///< answers with values that can't be read
  Late,        ///< answers each call 600 ms later than it should
};

/// The metadata store: items with revisions, read by /api/kv-range and watched
/// by /api/kv-watch.
class PublishedStore : public PublishedPort
{
public:
  explicit PublishedStore(LoopI& aLoop);
  ~PublishedStore() override;

  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  void SetFault(StoreFault aFault) { m_fault = aFault; }
  /// Comes back from a copy that holds the changes up to aRevision. Later ones
  /// are lost, their revisions are given out again, and the era rises by one.
  void GoBackTo(std::uint64_t aRevision);
  /// Sets the era that the answers name.
  void SetEra(std::uint64_t aEra) { m_era = aEra; }
  std::uint64_t Revision() const { return m_revision; }
  /// Answers watches of the changes so far with 410 from now on.
  void DiscardHistory();
  /// Returns the number of requests received.
  std::uint64_t Calls() const { return m_calls; }

  void OnRequest(CallerExchangePtr aExchange, CallerRequest aRequest) override;

private:
  struct Watch
  {
    CallerExchangePtr m_exchange;
    std::uint64_t m_after;    ///< revision after which changes are reported
    TimersI::TimerId m_timer; ///< ends the wait
  };

  void Answer(const CallerExchangePtr& aExchange, const std::string& aTarget);
  void OnRange(const CallerExchangePtr& aExchange);
  void OnWatch(const CallerExchangePtr& aExchange, const std::string& aTarget);
  void AnswerWatches();
  void AnswerWatch(const Watch& aWatch);
  void Add(const DirectoryItem& aItem);
  void Respond(CallerExchangeI& aExchange, const Json::Value& aBody) const;
  void RespondGone(CallerExchangeI& aExchange) const;
  HttpHeaders EraField() const;
  Json::Value ToJson(const DirectoryItem& aItem) const;

  LoopI& m_loop;
  StoreFault m_fault{ StoreFault::None };
  std::uint64_t m_era{ 1 };
  std::uint64_t m_revision{ 1 };
  std::uint64_t m_discardedUpTo{ 0 };
  std::uint64_t m_calls{ 0 };
  std::vector<DirectoryItem> m_history;
  std::vector<Watch> m_watches;
  std::shared_ptr<bool> m_alive{ std::make_shared<bool>(true) };
};

/// A request that a server received, and the exchange that answers it.
struct PublishedCall
{
  CallerExchangePtr m_exchange;
  CallerRequest m_request;
  std::string m_id;        ///< of the request
  bool m_prefill{ false }; ///< asks for the prefill stage only
  bool m_reserve{ false }; ///< reserves memory of the engine
};

/// A server of a service. It answers as a server without faults does, unless a
/// script handles the call.
class PublishedServer : public PublishedPort
{
public:
  /// @return true if the script has answered the call or will answer it later
  using Script = std::function<bool(const PublishedCall& aCall)>;

  PublishedServer(LoopI& aLoop, std::string aId);

  /// Returns the server's entry for the store, as JSON.
  std::string Entry(const std::string& aService,
                    const std::string& aStage,
                    bool aDraining = false) const;
  /// Sets the software version of later entries.
  void SetSoftwareVersion(std::string aVersion)
  {
    m_softwareVersion = std::move(aVersion);
  }
  /// Sets the start time, in milliseconds of Unix time, of later entries.
  void SetStartedMs(std::uint64_t aStartedMs) { m_startedMs = aStartedMs; }
  void SetScript(Script aScript) { m_script = std::move(aScript); }
  /// All answers that no script gives say from now on that the server leaves.
  void SetLeaving() { m_leaving = true; }
  const std::string& Id() const { return m_id; }
  /// Returns how often the server ran each request, by request id.
  const std::map<std::string, int>& Runs() const { return m_runs; }
  const std::vector<CallerRequest>& Received() const { return m_received; }

  void OnRequest(CallerExchangePtr aExchange, CallerRequest aRequest) override;
  /// Answers as a server without faults does; the answer to a request that it
  /// ran is signed.
  void AnswerNormally(const PublishedCall& aCall);
  /// Answers that the request was not run.
  static void AnswerNotRun(const PublishedCall& aCall);
  /// Begins a signed answer of events and sends none yet.
  void BeginStream(const PublishedCall& aCall);
  /// Returns the fields of an answer that show that the server ran the request.
  static HttpHeaders SignedFields(const PublishedCall& aCall);

private:
  /// Adds what all answers of this server say of it.
  HttpHeaders WithState(HttpHeaders aFields) const;

  std::string m_id;
  std::string m_softwareVersion{ "v1" };
  std::uint64_t m_startedMs{ 1 };
  bool m_leaving{ false };
  Script m_script;
  std::map<std::string, int> m_runs;
  std::vector<CallerRequest> m_received;
};

} // namespace shallotford::standin

#endif // SHALLOTFORD_TOOLS_STANDIN_PUBLISHED_H
