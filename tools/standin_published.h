#ifndef SHALLOTFORD_TOOLS_STANDIN_PUBLISHED_H
#define SHALLOTFORD_TOOLS_STANDIN_PUBLISHED_H

/// Stand-ins of the users' platform for tests: a metadata store that can be
/// read and watched, and servers of which each answer can be scripted. Both
/// misbehave on command.

#include "router_caller.h"
#include "shallotford/router.h"

namespace shallotford::standin {

/// Accepts whole requests on a port of the kernel's choice.
class PublishedPort : public CallerHandlerI
{
public:
  explicit PublishedPort(LoopI& aLoop);
  ~PublishedPort() override;

  std::string Address() const;
  /// Accepts no more and resets what is open.
  void Close() { m_listener.reset(); }

  void OnBadRequest(const Error&) override {}
  CallerLimits Limits() const override { return {}; }
  bool IsLeaving() const override { return false; }

private:
  std::unique_ptr<CallerListener> m_listener;
};

/// How the store answers.
enum class StoreFault
{
  None,
  Unavailable, ///< 503
  NoAnswer,    ///< no answer
  Compacted,   ///< 410 to the next watch, then well
};

/// Items with revisions, under /api/kv-range and /api/kv-watch.
class PublishedStore : public PublishedPort
{
public:
  explicit PublishedStore(LoopI& aLoop);
  ~PublishedStore() override;

  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  void SetFault(StoreFault aFault) { m_fault = aFault; }
  std::uint64_t Calls() const { return m_calls; }

  void OnRequest(CallerExchangePtr aExchange, CallerRequest aRequest) override;

private:
  struct Watch
  {
    CallerExchangePtr m_exchange;
    std::uint64_t m_after;
    TimersI::TimerId m_timer;
  };

  void OnRange(const CallerExchangePtr& aExchange);
  void OnWatch(const CallerExchangePtr& aExchange, const std::string& aTarget);
  void AnswerWatches();
  void AnswerWatch(const Watch& aWatch);
  void Add(const DirectoryItem& aItem);

  LoopI& m_loop;
  StoreFault m_fault{ StoreFault::None };
  std::uint64_t m_revision{ 1 };
  std::uint64_t m_calls{ 0 };
  std::vector<DirectoryItem> m_history;
  std::vector<Watch> m_watches;
};

/// What one server got, and how it answers it.
struct PublishedCall
{
  CallerExchangePtr m_exchange;
  CallerRequest m_request;
  std::string m_id; ///< of the request
  bool m_prefill{ false };
  bool m_reserve{ false };
};

/// A server of a service. Unless a script takes a call, it answers as a sound
/// one does.
class PublishedServer : public PublishedPort
{
public:
  /// @return whether the script has answered, or will
  using Script = std::function<bool(const PublishedCall& aCall)>;

  PublishedServer(LoopI& aLoop, std::string aId);

  /// The server's own entry in the store.
  std::string Entry(const std::string& aService,
                    const std::string& aStage,
                    bool aDraining = false) const;
  void SetScript(Script aScript) { m_script = std::move(aScript); }
  const std::string& Id() const { return m_id; }
  /// Requests that it ran, by id.
  const std::map<std::string, int>& Runs() const { return m_runs; }
  const std::vector<CallerRequest>& Received() const { return m_received; }

  void OnRequest(CallerExchangePtr aExchange, CallerRequest aRequest) override;
  /// Answers as a sound server does, with the server's mark.
  void AnswerWell(const PublishedCall& aCall);
  /// Answers that the request was not run.
  static void AnswerNotRun(const PublishedCall& aCall);
  /// Begins a stream, without events.
  void BeginStream(const PublishedCall& aCall);
  static HttpHeaders SignedFields(const PublishedCall& aCall);

private:
  std::string m_id;
  std::uint64_t m_startedMs{ 1 };
  Script m_script;
  std::map<std::string, int> m_runs;
  std::vector<CallerRequest> m_received;
};

} // namespace shallotford::standin

#endif // SHALLOTFORD_TOOLS_STANDIN_PUBLISHED_H
