/// RoutedRequest: the reading of upstreams' answers.

#include "config.h"
#include "router_request.h"

namespace shallotford {

namespace {

/// Returns whether an answer's body consists of events. Upstreams may omit the
/// content type of a stream.
bool
IsEventStream(const AnswerHead& aHead)
{
  const std::string* type = FindField(aHead.m_fields, "content-type");
  constexpr std::string_view kEvents = "text/event-stream";
  return type == nullptr ||
         SameFieldName(type->substr(0, kEvents.size()), kEvents);
}

/// Returns the attempt's end for a signed answer with this status.
AttemptEnd
EndOfStatus(int aStatus)
{
  constexpr int kFirstFailure = 500;
  return aStatus >= kFirstFailure ? AttemptEnd::Failed : AttemptEnd::Answered;
}

} // namespace

void
RoutedRequest::OnAnswerHead(const AnswerHead& aHead)
{
  m_shared.m_loop.CancelTimer(m_attemptTimer);
  m_heldAnswer.m_head = aHead;
  bool isHeld = aHead.m_framing == BodyFraming::Length &&
                aHead.m_length <= kMaxHeldAnswerBytes;
  if (isHeld) {
    m_heldAnswer.m_body.reserve(aHead.m_length); // instead of growing in steps
  }
  m_lastBytesAt = m_shared.m_loop.Now();
  if (IsRun()) {
    ArmSilenceTimer(SilencePatience());
  }
  if (m_phase == Phase::Relay && IsStream() && IsUseful(aHead)) {
    // Until now the other VM might have refused the stream.
    DropSilent(AttemptEnd::TimedOut, "another VM continues the stream");
  }
  ClassifyHead(aHead);
}

void
RoutedRequest::ClassifyHead(const AnswerHead& aHead)
{
  if (m_phase == Phase::Relay) {
    ClassifyRelayHead(aHead);
    return;
  }
  m_shared.OnUpstreamAnswer(m_service);
  AnswerFacts facts = m_shared.m_dialect.ReadAnswer(aHead);
  if (facts.m_leaving && !facts.m_replaced) {
    m_shared.OnLeaving(m_upstream->m_entry.m_key);
  }
  if (facts.m_load) {
    m_shared.m_upstreams.OnLoad(
      *m_upstream, *facts.m_load, m_shared.m_loop.Now());
  }
  if (!facts.m_requestId.empty() && facts.m_requestId != m_facts.m_id) {
    EndAttempt(AttemptEnd::Broken, "answer to request " + facts.m_requestId);
    return;
  }
  // It may be an earlier request's refusal, written once more.
  bool isUnclear = m_phase == Phase::Run && facts.m_requestId.empty() &&
                   !m_facts.m_id.empty() && m_call->IsReused() &&
                   (facts.m_replaced || facts.m_notExecuted);
  if (isUnclear) {
    EndAttempt(AttemptEnd::Broken,
               "a refusal on a reused connection names no request");
    return;
  }
  if (facts.m_replaced) {
    SetPendingEnd(AttemptEnd::Replaced);
    return;
  }
  m_shared.m_crashes.OnAnswer(m_upstream->m_entry.m_key, m_sentAt);
  // Answers of the engines' own API don't tell that a limit has ended.
  bool tellsLimit = facts.m_limit || facts.m_limitMalformed ||
                    facts.m_isSigned || facts.m_notExecuted ||
                    m_phase == Phase::Prefill;
  if (tellsLimit) {
    m_shared.m_permits.OnAnswer(m_upstream->m_entry.m_key, facts, m_sentAt);
  }
  if (facts.m_notExecuted) {
    SetPendingEnd(AttemptEnd::Refused);
    return;
  }
  if (m_phase == Phase::Reserve) {
    SetPendingEnd(aHead.m_status == 200 ? AttemptEnd::Answered
                                        : AttemptEnd::Refused);
    return;
  }
  if (m_phase == Phase::Run && !facts.m_isSigned) {
    EndAttempt(AttemptEnd::Broken,
               "unsigned answer with status " + std::to_string(aHead.m_status));
    return;
  }
  ClassifySigned(aHead);
}

void
RoutedRequest::ClassifySigned(const AnswerHead& aHead)
{
  SetPendingEnd(EndOfStatus(aHead.m_status));
  m_streaming =
    IsRun() && IsStream() && aHead.m_status == 200 && IsEventStream(aHead);
  if (m_answerBegun && !m_streaming) {
    EndAttempt(AttemptEnd::Broken,
               "the stream was not resumed; the answer has status " +
                 std::to_string(aHead.m_status));
  }
}

void
RoutedRequest::SetPendingEnd(AttemptEnd aEnd)
{
  m_pendingEnd = aEnd;
  bool isUnused = aEnd == AttemptEnd::Refused || aEnd == AttemptEnd::Replaced ||
                  (aEnd == AttemptEnd::Failed && HasAttemptsLeft());
  if (isUnused) {
    m_attemptTimer = m_shared.m_loop.RunAfter(kMaxUnusedBodyTime, [this] {
      EndUnlessRefused(AttemptEnd::TimedOut, "the answer's body goes on");
    });
  }
}

void
RoutedRequest::OnAnswerBody(std::string_view aBytes)
{
  m_lastBytesAt = m_shared.m_loop.Now();
  if (m_streaming) {
    std::string events;
    try {
      events = m_events.Feed(aBytes);
    } catch (const Error& error) {
      EndAttempt(AttemptEnd::Broken, error.what());
      return;
    }
    m_exchange->SetHeld(HeldBytes());
    ForwardEvents(events);
    return;
  }
  if (IsRun() && m_answerBegun && m_pendingEnd == AttemptEnd::Answered) {
    WriteToCaller(aBytes); // an answer too long to be held
    return;
  }
  m_heldAnswer.m_body.append(aBytes);
  bool isTooLong = m_heldAnswer.m_body.size() > kMaxHeldAnswerBytes;
  std::size_t held = HeldBytes();
  m_exchange->SetHeld(held);
  if (!isTooLong && m_exchange->MayHold(held)) {
    return;
  }
  if (!IsRun() || m_pendingEnd != AttemptEnd::Answered || m_answerBegun) {
    EndUnlessRefused(AttemptEnd::Broken,
                     isTooLong ? "the answer is too long to be held"
                               : "there is no room to hold the answer");
    return;
  }
  PassOnHeld();
}

void
RoutedRequest::PassOnHeld()
{
  DropSilent(AttemptEnd::TimedOut, "another upstream answers");
  m_failure.reset();
  BeginAnswer(m_heldAnswer.m_head);
  std::string body = std::exchange(m_heldAnswer.m_body, {});
  m_exchange->SetHeld(HeldBytes());
  WriteToCaller(body);
}

std::size_t
RoutedRequest::HeldBytes() const
{
  std::size_t held = m_heldAnswer.m_body.size() + m_events.Rest().size();
  for (const SilentAttempt& silent : m_silent) {
    held += silent.m_heldAnswer.m_body.size();
  }
  return held + (m_failure ? m_failure->m_body.size() : 0);
}

void
RoutedRequest::ForwardEvents(const std::string& aEvents)
{
  if (aEvents.empty()) {
    return;
  }
  NoteEvent();
  if (!m_answerBegun) {
    BeginAnswer(m_heldAnswer.m_head);
  }
  WriteToCaller(aEvents);
}

void
RoutedRequest::NoteEvent()
{
  TimePoint now = m_shared.m_loop.Now();
  if (!m_eventSpan) {
    m_eventSpan = { .m_first = now, .m_last = now };
    return;
  }
  auto former = m_eventSpan->Length();
  m_eventSpan->m_last = now;
  auto length = m_eventSpan->Length();
  bool isDue = length / kSurvivalPeriod > former / kSurvivalPeriod;
  // A VM that the request was passed to notes its runs itself.
  if (isDue && m_phase == Phase::Run) {
    m_shared.m_crashes.OnRunGoesOn(m_traits, length);
  }
}

void
RoutedRequest::WriteToCaller(std::string_view aBytes)
{
  m_exchange->Write(aBytes);
  if (m_exchange->Buffered() > m_exchange->MaxBuffered()) {
    m_readingPaused = true;
    m_callerSlow = true;
    m_call->PauseReading();
  }
}

void
RoutedRequest::BeginAnswer(const AnswerHead& aHead)
{
  HttpHeaders fields;
  for (const HttpHeader& field : aHead.m_fields) {
    if (!IsConnectionField(aHead.m_fields, field.m_name)) {
      fields.push_back(field);
    }
  }
  AddRelayField(fields);
  m_answerBegun = true;
  PinSoftwareVersion();
  m_firstEventAt = m_shared.m_loop.Now();
  m_exchange->Begin(aHead.m_status, aHead.m_reason, std::move(fields));
}

std::string
RoutedRequest::FindTruncation() const
{
  if (!m_streaming) {
    return {};
  }
  if (m_events.IsInsideEvent()) {
    return "the stream ended inside an event";
  }
  bool onlyClosed = m_heldAnswer.m_head.m_framing == BodyFraming::UntilClose;
  return onlyClosed && !m_eventSpan ? "the stream closed before its first event"
                                    : "";
}

void
RoutedRequest::OnAnswerEnd()
{
  std::string truncation = FindTruncation();
  m_closedByUpstream = m_heldAnswer.m_head.m_framing == BodyFraming::UntilClose;
  EndAttempt(truncation.empty() ? m_pendingEnd : AttemptEnd::Broken,
             truncation);
}

void
RoutedRequest::OnCallFailed(const CallFailure& aFailure)
{
  m_callFailure = aFailure;
  m_closedByUpstream = aFailure.m_closedByUpstream;
  EndUnlessRefused(aFailure.m_end, aFailure.m_reason);
}

void
RoutedRequest::EndUnlessRefused(AttemptEnd aEnd, const std::string& aReason)
{
  // A refusal counts as one even if the rest of its answer is missing.
  bool notRun =
    m_pendingEnd == AttemptEnd::Refused || m_pendingEnd == AttemptEnd::Replaced;
  EndAttempt(notRun ? m_pendingEnd : aEnd, aReason);
}

} // namespace shallotford
