/// The request state machine: applies events to entries of the ledger.

#include "ledger_state.h"

#include <algorithm>

namespace shallotford {

namespace {

constexpr const char* kOverdueRemedy =
  "Send it again with a later deadline, or when the load is lower.";

void
AddOnce(std::vector<std::string>& aNames, const std::string& aName)
{
  if (std::find(aNames.begin(), aNames.end(), aName) == aNames.end()) {
    aNames.push_back(aName);
  }
}

/// Returns whether the failure shows that the call did not run.
bool
CertainlyNotRun(const ledger_event::AttemptFailed& aFailure)
{
  return aFailure.m_cause == FailureCause::Refused ||
         aFailure.m_progress == SendProgress::NotSent;
}

std::string
Describe(const ledger_event::AttemptFailed& aFailure)
{
  std::string text(ToString(aFailure.m_cause));
  if (!aFailure.m_upstream.empty()) {
    text += " at " + aFailure.m_upstream;
  }
  if (!aFailure.m_detail.empty()) {
    text += ": " + aFailure.m_detail;
  }
  return text;
}

ErrorKind
KindOf(const ledger_event::AttemptFailed& aFailure, RetryDenial aDenial)
{
  if (aDenial == RetryDenial::NoTime) {
    return ErrorKind::DeadlineExceeded;
  }
  if (aFailure.m_cause == FailureCause::Refused) {
    return ErrorKind::UpstreamRefused;
  }
  if (aFailure.m_cause == FailureCause::Unreachable) {
    return ErrorKind::NoUpstream;
  }
  return ErrorKind::UpstreamFailed;
}

std::string
RemedyOf(RetryDenial aDenial)
{
  if (aDenial == RetryDenial::NotRepeatable) {
    return "The call may have run: look at its effect before you send it "
           "again, or use a ticket from POST /v1/tickets.";
  }
  return "Send it again after the time in Retry-After.";
}

} // namespace

LedgerStep::LedgerStep(Ledger::State& aState,
                       LedgerEntry& aEntry,
                       TimePoint aNow,
                       LedgerActions& aActions)
  : m_state(aState)
  , m_entry(aEntry)
  , m_now(aNow)
  , m_actions(aActions)
{
}

LedgerAttempt*
LedgerStep::Expect(std::uint32_t aAttempt, bool aPlaced)
{
  LedgerAttempt* attempt = m_entry.Current(aAttempt);
  if (attempt == nullptr || attempt->m_placed != aPlaced) {
    ++m_state.m_sums.m_staleEvents;
    return nullptr;
  }
  return attempt;
}

void
LedgerStep::Advance(RequestState aState)
{
  m_entry.m_state = std::max(m_entry.m_state, aState);
}

void
LedgerStep::On(const ledger_event::Admitted& /*aEvent*/)
{
  if (m_entry.m_state != RequestState::Received) {
    ++m_state.m_sums.m_staleEvents;
    return;
  }
  StartAttempt(Duration{ 0 });
}

void
LedgerStep::StartAttempt(Duration aDelay)
{
  LedgerAttempt* last = m_entry.Current();
  std::uint32_t number = last == nullptr ? 1 : last->m_number + 1;
  if (last != nullptr && !last->m_placed) {
    last->m_number = number;
  } else {
    m_entry.m_attempts.emplace_back().m_number = number;
  }
  m_entry.m_state = RequestState::Admitted;
  bool hasText = m_entry.m_spec.m_firstPosition == 0;
  m_actions.emplace_back(ledger_action::StartAttempt{
    .m_attempt = { m_entry.m_id, number },
    .m_delay = aDelay,
    .m_excluded = m_entry.m_excluded,
    .m_position = hasText ? m_entry.m_nextPosition : 0,
    .m_generated = m_entry.m_text });
}

void
LedgerStep::On(ledger_event::Placed& aEvent)
{
  LedgerAttempt* attempt = Expect(aEvent.m_attempt, false);
  if (attempt == nullptr) {
    return;
  }
  attempt->m_placed = true;
  attempt->m_prefill = std::move(aEvent.m_prefill);
  attempt->m_upstream = std::move(aEvent.m_upstream);
  ++m_entry.m_placed;
  m_entry.m_notPlacedInRow = 0;
  if (m_entry.m_placed > 1) {
    ++m_state.m_sums.m_retries;
    m_state.m_sums.m_continued += m_entry.m_delivered ? 1 : 0;
  }
}

void
LedgerStep::On(ledger_event::Moved& aEvent)
{
  LedgerAttempt* attempt = Expect(aEvent.m_attempt, true);
  if (attempt == nullptr) {
    return;
  }
  if (attempt->m_attachedStream) {
    ++m_state.m_sums.m_staleEvents;
    return;
  }
  if (attempt->m_upstream == aEvent.m_upstream) {
    return;
  }
  if (m_entry.m_spec.m_model) {
    ReleaseUpstream(*attempt);
  }
  attempt->m_upstream = std::move(aEvent.m_upstream);
}

void
LedgerStep::On(const ledger_event::NotPlaced& aEvent)
{
  LedgerAttempt* attempt = Expect(aEvent.m_attempt, false);
  if (attempt == nullptr) {
    return;
  }
  if (!m_entry.MayHaveRun()) {
    EndWith(aEvent.m_error);
    return;
  }
  ++m_entry.m_notPlacedInRow;
  m_entry.m_excluded.clear();
  Duration delay = m_state.m_retries.Backoff(m_entry.m_notPlacedInRow);
  if (m_now + delay >= m_entry.m_spec.m_deadline) {
    EndWith(aEvent.m_error);
    return;
  }
  StartAttempt(delay);
}

void
LedgerStep::On(ledger_event::Attached& aEvent)
{
  LedgerAttempt* attempt = Expect(aEvent.m_attempt, false);
  if (attempt == nullptr) {
    return;
  }
  attempt->m_placed = true;
  attempt->m_ran = true;
  attempt->m_upstream = std::move(aEvent.m_engine);
  attempt->m_attachedStream = aEvent.m_stream;
  m_state.m_attachedStreams.insert_or_assign(aEvent.m_stream,
                                             m_entry.m_id.m_sequence);
  ++m_entry.m_placed;
  Advance(RequestState::Decoding);
}

void
LedgerStep::On(const ledger_event::MemoryReserved& aEvent)
{
  if (Expect(aEvent.m_attempt, true) != nullptr) {
    Advance(RequestState::Reserved);
  }
}

void
LedgerStep::On(ledger_event::Sent& aEvent)
{
  LedgerAttempt* attempt = Expect(aEvent.m_attempt, true);
  if (attempt == nullptr) {
    return;
  }
  AddOnce(attempt->m_sentTo, aEvent.m_upstream);
  Advance(m_entry.m_spec.m_model ? RequestState::Prefilling
                                 : RequestState::Running);
}

void
LedgerStep::On(const ledger_event::PrefillDone& aEvent)
{
  LedgerAttempt* attempt = Expect(aEvent.m_attempt, true);
  if (attempt != nullptr) {
    attempt->m_ran = true;
    Advance(RequestState::Transferring);
  }
}

void
LedgerStep::On(const ledger_event::TransferDone& aEvent)
{
  if (Expect(aEvent.m_attempt, true) != nullptr) {
    Advance(RequestState::Decoding);
  }
}

void
LedgerStep::On(ledger_event::Token& aEvent)
{
  LedgerAttempt* attempt = Expect(aEvent.m_attempt, true);
  if (attempt == nullptr) {
    return;
  }
  attempt->m_ran = true;
  Advance(RequestState::Decoding);
  if (aEvent.m_position < m_entry.m_nextPosition) {
    ++m_state.m_sums.m_duplicateTokens;
    return;
  }
  if (aEvent.m_position > m_entry.m_nextPosition) {
    ++m_state.m_sums.m_gaps;
    AbortAttempt(FailureCause::Malformed, "a token is missing");
    return;
  }
  ++m_entry.m_nextPosition;
  m_entry.m_delivered = true;
  if (m_entry.m_spec.m_firstPosition == 0) {
    m_entry.m_text += aEvent.m_text;
  }
  m_actions.emplace_back(
    ledger_action::DeliverToken{ .m_request = m_entry.m_id,
                                 .m_position = aEvent.m_position,
                                 .m_text = std::move(aEvent.m_text) });
}

void
LedgerStep::On(ledger_event::Finished& aEvent)
{
  LedgerAttempt* attempt = Expect(aEvent.m_attempt, true);
  if (attempt == nullptr) {
    return;
  }
  attempt->m_ran = true;
  if (aEvent.m_endPosition != m_entry.m_nextPosition) {
    ++m_state.m_sums.m_gaps;
    AbortAttempt(FailureCause::Malformed,
                 "the stream ended at an unexpected position");
    return;
  }
  End(Outcome::Answered, std::nullopt, std::move(aEvent.m_finishReason));
}

void
LedgerStep::On(const ledger_event::AnswerDelivered& aEvent)
{
  LedgerAttempt* attempt = Expect(aEvent.m_attempt, true);
  if (attempt != nullptr) {
    attempt->m_ran = true;
    End(Outcome::Answered, std::nullopt);
  }
}

void
LedgerStep::On(const ledger_event::AttemptFailed& aEvent)
{
  LedgerAttempt* attempt = Expect(aEvent.m_attempt, true);
  if (attempt == nullptr) {
    return;
  }
  if (CertainlyNotRun(aEvent)) {
    std::erase(attempt->m_sentTo, aEvent.m_upstream);
  }
  RetryOrEnd(aEvent);
}

void
LedgerStep::On(const ledger_event::Superseded& aEvent)
{
  if (Expect(aEvent.m_attempt, true) == nullptr) {
    return;
  }
  RunState run = m_entry.Run();
  CloseAttempt("superseded by a newer reader", false);
  End(Outcome::Cancelled,
      Error(ErrorKind::Cancelled,
            "the stream was resumed by a newer connection",
            "Read the answer from the newer connection.",
            run));
}

void
LedgerStep::On(const ledger_event::Aborted& aEvent)
{
  EndWith(aEvent.m_error);
}

void
LedgerStep::On(const ledger_event::CallerDisconnected& /*aEvent*/)
{
  End(Outcome::Cancelled,
      Error(ErrorKind::Cancelled,
            "the caller closed its connection",
            "Keep the connection open until the answer has ended.",
            m_entry.Run()));
}

void
LedgerStep::DeadlinePassed()
{
  EndWith(Error(ErrorKind::DeadlineExceeded,
                "the request's deadline passed",
                kOverdueRemedy));
}

void
LedgerStep::AbortAttempt(FailureCause aCause, const std::string& aDetail)
{
  RetryOrEnd({ .m_attempt = m_entry.Current()->m_number,
               .m_upstream = m_entry.Current()->m_upstream,
               .m_cause = aCause,
               .m_progress = SendProgress::Answered,
               .m_detail = aDetail });
}

void
LedgerStep::RetryOrEnd(const ledger_event::AttemptFailed& aFailure)
{
  std::string description = Describe(aFailure);
  CloseAttempt(description, true);
  if (!aFailure.m_upstream.empty()) {
    AddOnce(m_entry.m_excluded, aFailure.m_upstream);
  }
  RetryDecision decision = m_state.m_retries.Decide(
    { .m_service = m_entry.m_spec.m_service,
      .m_repeatable = m_entry.m_spec.m_repeatable,
      .m_mayHaveRun = m_entry.MayHaveRun(),
      .m_delivered = m_entry.m_delivered || m_entry.m_spec.m_firstPosition > 0,
      .m_attempts = m_entry.m_placed,
      .m_cause = aFailure.m_cause,
      .m_deadline = m_entry.m_spec.m_deadline,
      .m_upstreamRetryAfter = aFailure.m_retryAfter },
    m_now);
  if (decision.m_retry) {
    StartAttempt(decision.m_delay);
    return;
  }
  Error error(KindOf(aFailure, decision.m_denial),
              "upstream failed: " + description,
              RemedyOf(decision.m_denial));
  EndWith(error.WithRetryAfter(decision.m_retryAfter));
}

void
LedgerStep::CloseAttempt(const std::string& aEnd, bool aRelease)
{
  LedgerAttempt& attempt = *m_entry.Current();
  m_entry.m_mayHaveRun = m_entry.MayHaveRun();
  attempt.m_end = aEnd;
  attempt.m_sentTo.clear();
  if (attempt.m_attachedStream) {
    m_state.m_attachedStreams.erase(*attempt.m_attachedStream);
  }
  if (aRelease) {
    Release(attempt);
  }
}

void
LedgerStep::Release(const LedgerAttempt& aAttempt)
{
  if (!m_entry.m_spec.m_model) {
    return;
  }
  if (!aAttempt.m_prefill.empty()) {
    m_actions.emplace_back(ledger_action::QueueCancel{
      aAttempt.m_prefill, { m_entry.m_id, aAttempt.m_number } });
  }
  ReleaseUpstream(aAttempt);
}

void
LedgerStep::ReleaseUpstream(const LedgerAttempt& aAttempt)
{
  AttemptId own{ m_entry.m_id, aAttempt.m_number };
  AttemptId stream = aAttempt.m_attachedStream.value_or(own);
  if (!aAttempt.m_upstream.empty() &&
      aAttempt.m_upstream != aAttempt.m_prefill) {
    m_actions.emplace_back(
      ledger_action::QueueCancel{ aAttempt.m_upstream, stream });
  }
}

void
LedgerStep::EndWith(const Error& aError)
{
  Outcome outcome = m_entry.MayHaveRun() ? Outcome::Failed : Outcome::Refused;
  Error error(aError.Kind(), aError.what(), aError.Remedy(), m_entry.Run());
  error.WithRetryAfter(aError.RetryAfter());
  End(outcome, std::move(error));
}

void
LedgerStep::End(Outcome aOutcome,
                std::optional<Error> aError,
                std::string aFinishReason)
{
  LedgerAttempt* attempt = m_entry.Current();
  if (attempt != nullptr && attempt->m_placed && attempt->m_end.empty()) {
    CloseAttempt(std::string(ToString(aOutcome)), true);
  }
  if (aOutcome == Outcome::Answered) {
    m_state.m_retries.OnSuccess(m_entry.m_spec.m_service, m_now);
  }
  ++m_state.m_sums.m_ended[static_cast<std::size_t>(aOutcome)];
  m_entry.m_state = RequestState::Ended;

  RequestView view = ViewOf(m_entry, m_now);
  view.m_outcome = aOutcome;
  view.m_reason = aError ? aError->what() : aFinishReason;
  m_actions.emplace_back(
    ledger_action::EndRequest{ .m_request = m_entry.m_id,
                               .m_outcome = aOutcome,
                               .m_error = std::move(aError),
                               .m_finishReason = std::move(aFinishReason),
                               .m_delivered = m_entry.m_delivered,
                               .m_attempts = m_entry.m_placed,
                               .m_age = m_now - m_entry.m_opened });
  m_state.m_recent.push_back(std::move(view));
  while (m_state.m_recent.size() > m_state.m_options.m_recentEnded) {
    m_state.m_recent.pop_front();
  }
  std::uint64_t sequence = m_entry.m_id.m_sequence;
  m_state.m_deadlines.erase({ m_entry.m_spec.m_deadline, sequence });
  m_state.m_entries.erase(sequence);
}

} // namespace shallotford
