#ifndef SHALLOTFORD_SRC_DAEMON_FLOW_H
#define SHALLOTFORD_SRC_DAEMON_FLOW_H

/// The state of one request while the daemon serves it, and the filters that
/// process it in the order of a pipeline.

#include "daemon_engine.h"
#include "daemon_openai.h"
#include "shallotford/ledger.h"
#include "shallotford/placement.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace shallotford {

/// The current attempt to run a request: a model request at a prefill and a
/// decode engine, or a plain call at one server.
struct FlowAttempt
{
  AttemptId m_id;
  std::vector<std::string> m_excluded; ///< upstreams that failed this request
  std::uint64_t m_position{ 0 };       ///< of the first token to generate
  /// Includes the text generated so far.
  std::shared_ptr<const std::string> m_prompt;
  std::uint32_t m_promptTokens{ 0 };
  Placement m_placement;
  std::optional<WorkId> m_work;
  std::string m_import;                ///< empty until decode memory is claimed
  std::string m_export;                ///< empty until the prefill is done
  std::uint32_t m_computedTokens{ 0 }; ///< by the prefill; cached ones excluded
  bool m_claiming{ false };
  /// Called when the claim under way succeeds; may be empty.
  std::function<void()> m_onClaimed;
  bool m_transferred{ false };
  std::string m_plainServer;        ///< of the call under way; else empty
  std::uint32_t m_decodeMoves{ 0 }; ///< decode engines tried after the first
  TimePoint m_prefilledAt{};
  std::string m_suspectEngine; ///< of a suspect's granted run; else empty
  std::vector<CallHandle> m_calls;
  std::vector<TimersI::TimerId> m_timers;
};

/// Writes one model request's answer to its caller.
struct FlowReply
{
  std::optional<CompletionWriter> m_writer;
  std::string m_text; ///< so far, of an answer that is not streamed
  bool m_begun{ false };
  bool m_ended{ false };
  bool m_paused{ false };    ///< the caller reads slower than the engine writes
  std::string m_eventPrefix; ///< event id without the position
  std::uint64_t m_lastPosition{ 0 };
  std::uint32_t m_tokens{ 0 };
  std::optional<TimePoint> m_firstTokenAt;
  TimePoint m_lastTokenAt{};
};

/// One request. Owned by the worker until it ends.
struct Flow : std::enable_shared_from_this<Flow>
{
  std::shared_ptr<HttpExchangeI> m_exchange;
  HttpRequest m_http;
  TimePoint m_receivedAt{};
  FleetPtr m_fleet; ///< in force when the request arrived
  const ServiceEntry* m_service{ nullptr };
  const ModelEntry* m_model{ nullptr };
  std::string m_caller;
  std::int32_t m_priority{ 0 };
  std::string m_fingerprint;
  RequestId m_id;
  bool m_open{ false };    ///< has an entry in the ledger
  double m_cost{ 0 };      ///< charged to the caller's limit
  std::size_t m_step{ 0 }; ///< index of the current filter
  QueuedRequest m_queued;  ///< its entry in the admission queue

  // Model requests.
  ModelCall m_call;
  std::shared_ptr<const std::string> m_prompt;
  std::uint32_t m_promptTokens{ 0 };
  std::uint32_t m_maxTokens{ 0 };
  std::vector<PrefixKey> m_prefixes;
  std::optional<ResumeToken> m_resume;
  FlowAttempt m_attempt;
  FlowReply m_reply;

  // Plain calls.
  std::string m_plainPath; ///< part of the path after the service's name
  bool m_repeatable{ true };
  bool m_forwarded{ false }; ///< sent here by another VM
  std::optional<TicketRef> m_ticket;
};
using FlowPtr = std::shared_ptr<Flow>;

/// One step of the pipeline. A filter holds no state of single requests.
class FilterI
{
public:
  virtual ~FilterI() = default;
  virtual std::string_view Name() const = 0;
  /// Starts the step. On success the filter calls Worker::Next(), at once or
  /// later; on failure it applies an event to the ledger.
  /// @throws Error if the request is refused before it has a ledger entry
  virtual void Start(const FlowPtr& aFlow) = 0;
};

/// An ordered list of filters.
class Pipeline
{
public:
  void Add(std::unique_ptr<FilterI> aFilter);
  /// Starts the first filter.
  void Begin(const FlowPtr& aFlow);
  /// Starts the filter after the flow's current one.
  void Next(const FlowPtr& aFlow);
  /// Starts the filter named aName, for a further attempt.
  void RestartAt(const FlowPtr& aFlow, std::string_view aName);

private:
  std::vector<std::unique_ptr<FilterI>> m_filters;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_FLOW_H
