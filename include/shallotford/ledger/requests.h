#ifndef SHALLOTFORD_LEDGER_REQUESTS_H
#define SHALLOTFORD_LEDGER_REQUESTS_H

/// The request ledger: the table of a VM's requests. Each request has a state
/// machine that turns events into actions and ends exactly once.

#include "shallotford/base.h"
#include "shallotford/ledger/retry.h"

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace shallotford {

enum class RequestState
{
  Received,
  Admitted,
  Reserved,
  Prefilling,
  Transferring,
  Decoding,
  Running, ///< sent to a plain service
  Ended,
};
std::string_view
ToString(RequestState aState);

enum class Outcome
{
  Answered,  ///< the whole answer was given to the caller's connection
  Refused,   ///< certainly not run
  Failed,    ///< may have run
  Cancelled, ///< the caller disconnected or resumed elsewhere
};
std::string_view
ToString(Outcome aOutcome);

/// A request as it enters the ledger.
struct RequestSpec
{
  std::string m_service{};
  std::string m_caller{};
  std::string m_fingerprint{}; ///< of the prompt or body
  bool m_model{ true };        ///< false for plain services
  bool m_repeatable{ true };
  TimePoint m_deadline{};
  /// First position that the caller still needs; above 0 for a resumed stream.
  std::uint64_t m_firstPosition{ 0 };
};

/// Events. m_attempt numbers the attempt that they belong to; events of any
/// other attempt than the current one are dropped and counted.
namespace ledger_event {
/// The request passed the limits and checks.
struct Admitted
{};
/// Upstreams were chosen. Apply it before the first byte is sent to either.
struct Placed
{
  std::uint32_t m_attempt{};
  std::string m_prefill{};  ///< prefill engine; empty for plain services
  std::string m_upstream{}; ///< decode engine or plain server
};
/// Another decode engine replaces the one chosen by Placed, which refused the
/// import or did not answer. Apply it before the first byte is sent to the new
/// engine. The old engine's stream is cancelled at once, unless that engine is
/// also the prefill engine: then it is cancelled at the end of the attempt.
struct Moved
{
  std::uint32_t m_attempt{};
  std::string m_upstream{}; ///< the new decode engine
};
/// No placement was found. The request is refused, unless part of it ran
/// already: then it is tried again with backoff until its deadline.
struct NotPlaced
{
  std::uint32_t m_attempt{};
  Error m_error;
};
/// The attempt attaches to a stream that another VM opened.
struct Attached
{
  std::uint32_t m_attempt{};
  std::string m_engine{};
  AttemptId m_stream{};
};
/// The decode engine opened the import.
struct MemoryReserved
{
  std::uint32_t m_attempt{};
};
/// The prefill call or the plain call is about to be sent: from here on the
/// request may run. Opening an import carries no prompt and needs no Sent.
struct Sent
{
  std::uint32_t m_attempt{};
  std::string m_upstream{};
};
struct PrefillDone
{
  std::uint32_t m_attempt{};
};
struct TransferDone
{
  std::uint32_t m_attempt{};
};
/// One generated token.
struct Token
{
  std::uint32_t m_attempt{};
  std::uint64_t m_position{};
  std::string m_text{};
};
/// The engine ended the stream.
struct Finished
{
  std::uint32_t m_attempt{};
  std::uint64_t m_endPosition{}; ///< one past the last token's position
  std::string m_finishReason{};
};
/// A plain service's whole answer arrived and was given to the caller.
struct AnswerDelivered
{
  std::uint32_t m_attempt{};
};
struct AttemptFailed
{
  std::uint32_t m_attempt{};
  std::string m_upstream{}; ///< the one that failed
  FailureCause m_cause{ FailureCause::Lost };
  SendProgress m_progress{ SendProgress::Sent };
  std::string m_detail{};
  std::chrono::milliseconds m_retryAfter{ 0 }; ///< as the upstream answered
};
/// The engine reported that a newer reader attached to the stream.
struct Superseded
{
  std::uint32_t m_attempt{};
};
/// The router ends the request early: it is quarantined, the VM shuts down or a
/// dependency is down. The ledger sets the error's run state.
struct Aborted
{
  Error m_error;
};
/// The caller's connection closed. Do not apply it to calls under a ticket,
/// because their answer is kept for a replay.
struct CallerDisconnected
{};
} // namespace ledger_event

using LedgerEvent = std::variant<ledger_event::Admitted,
                                 ledger_event::Placed,
                                 ledger_event::Moved,
                                 ledger_event::NotPlaced,
                                 ledger_event::Attached,
                                 ledger_event::MemoryReserved,
                                 ledger_event::Sent,
                                 ledger_event::PrefillDone,
                                 ledger_event::TransferDone,
                                 ledger_event::Token,
                                 ledger_event::Finished,
                                 ledger_event::AnswerDelivered,
                                 ledger_event::AttemptFailed,
                                 ledger_event::Superseded,
                                 ledger_event::Aborted,
                                 ledger_event::CallerDisconnected>;

namespace ledger_action {
/// Place the request and send it, after m_delay.
struct StartAttempt
{
  AttemptId m_attempt{};
  Duration m_delay{ 0 };
  std::vector<std::string> m_excluded{}; ///< upstreams that failed this request
  /// Position of the first token that the engine is to generate.
  std::uint64_t m_position{ 0 };
  /// Text of positions 0 to m_position - 1, to be appended to the prompt. It is
  /// empty for a resumed stream that its engine no longer holds: that stream is
  /// generated again from 0, and positions that the caller has are dropped.
  std::string m_generated{};
};
/// Give one token to the caller. Positions leave in order, each once.
struct DeliverToken
{
  RequestId m_request{};
  std::uint64_t m_position{};
  std::string m_text{};
};
/// Add the stream to the CancelQueue, to be cancelled at m_upstream.
struct QueueCancel
{
  std::string m_upstream{};
  AttemptId m_stream{};
};
/// End the request. Issued exactly once for each request.
struct EndRequest
{
  RequestId m_request{};
  Outcome m_outcome{ Outcome::Failed };
  std::optional<Error> m_error{}; ///< none if answered
  std::string m_finishReason{};   ///< of an answered model request
  bool m_delivered{ false };      ///< part of the answer was delivered before
  std::uint32_t m_attempts{ 0 };
  Duration m_age{ 0 };
};
} // namespace ledger_action

using LedgerAction = std::variant<ledger_action::StartAttempt,
                                  ledger_action::DeliverToken,
                                  ledger_action::QueueCancel,
                                  ledger_action::EndRequest>;
using LedgerActions = std::vector<LedgerAction>;

/// One attempt, for operators.
struct AttemptView
{
  std::uint32_t m_attempt{};
  std::string m_prefill{};
  std::string m_upstream{};
  std::string m_end{}; ///< cause and detail; empty while under way
};

/// One request, for operators.
struct RequestView
{
  RequestId m_id{};
  std::string m_service{};
  std::string m_caller{};
  std::string m_fingerprint{};
  RequestState m_state{ RequestState::Received };
  std::optional<Outcome> m_outcome{};
  std::string m_reason{}; ///< of the end
  std::uint64_t m_nextPosition{ 0 };
  Duration m_age{ 0 };
  std::vector<AttemptView> m_attempts{};
};

/// Counters since the ledger was created.
struct LedgerSums
{
  std::uint64_t m_opened{ 0 };
  std::array<std::uint64_t, 4> m_ended{}; ///< by Outcome
  std::uint64_t m_retries{ 0 };           ///< attempts after the first
  std::uint64_t m_continued{ 0 };   ///< of these, with part of the answer given
  std::uint64_t m_staleEvents{ 0 }; ///< of old attempts or ended requests
  std::uint64_t m_duplicateTokens{ 0 };
  std::uint64_t m_gaps{ 0 }; ///< streams aborted because of a missing token
};

/// A live request at an upstream.
struct BatchMember
{
  RequestId m_request{};
  std::string m_fingerprint{};
};

struct LedgerOptions
{
  VmIncarnation m_vm{};
  std::size_t m_recentEnded{ 256 }; ///< ended requests kept for operators
};

/// The requests of one VM incarnation. Of ended requests it keeps only the
/// counters and the last LedgerOptions::m_recentEnded views.
class Ledger
{
public:
  Ledger(const LedgerOptions& aOptions, RetryPolicy& aRetries);
  ~Ledger();

  /// Opens an entry in state Received.
  RequestId Open(RequestSpec aSpec, TimePoint aNow);
  LedgerActions Apply(const RequestId& aId, LedgerEvent aEvent, TimePoint aNow);
  /// Ends the requests whose deadline has passed.
  LedgerActions Expire(TimePoint aNow);
  /// Returns the earliest deadline of a live request.
  std::optional<TimePoint> NextDeadline() const;

  /// Returns the live requests whose current attempt is at aUpstream, for
  /// PoisonTracker::OnCrash() before UpstreamLost().
  std::vector<BatchMember> MembersAt(std::string_view aUpstream) const;
  /// Fails every current attempt at an upstream that crashed.
  LedgerActions UpstreamLost(std::string_view aUpstream, TimePoint aNow);

  /// Returns whether a live request still needs aStream, as a SweepQuestion
  /// asks.
  bool Owns(const AttemptId& aStream) const;
  std::size_t Live() const;
  const LedgerSums& Sums() const;
  std::optional<RequestView> Explain(const RequestId& aId,
                                     TimePoint aNow) const;
  /// Returns at most aLimit live requests, the oldest first.
  std::vector<RequestView> List(std::size_t aLimit, TimePoint aNow) const;

private:
  friend class LedgerStep;
  class State;
  std::unique_ptr<State> m_state;
};

} // namespace shallotford

#endif // SHALLOTFORD_LEDGER_REQUESTS_H
