/// The worker's answers to callers, and the metrics and log lines of requests
/// that ended.

#include "config.h"
#include "daemon_filters.h"
#include "daemon_worker.h"

namespace shallotford {

void
Worker::WriteToken(Flow& aFlow, const ledger_action::DeliverToken& aToken)
{
  FlowReply& reply = aFlow.m_reply;
  ++reply.m_tokens;
  reply.m_lastPosition = aToken.m_position;
  reply.m_lastTokenAt = Now();
  if (!reply.m_firstTokenAt) {
    reply.m_firstTokenAt = reply.m_lastTokenAt;
    m_state.m_metrics.Observe(Latency::FirstToken,
                              reply.m_lastTokenAt - aFlow.m_receivedAt);
  }
  if (!aFlow.m_call.m_stream) {
    reply.m_text += aToken.m_text;
    return;
  }
  std::string out;
  if (!reply.m_begun) {
    BeginStream(aFlow, out);
  }
  std::string eventId = reply.m_eventPrefix + std::to_string(aToken.m_position);
  reply.m_writer->AppendToken(out, eventId, aToken.m_text);
  aFlow.m_exchange->Write(out);
  PauseForSlowCaller(aFlow);
}

void
Worker::BeginStream(Flow& aFlow, std::string& aOut)
{
  aFlow.m_reply.m_begun = true;
  aFlow.m_exchange->Begin(200,
                          { { "content-type", "text/event-stream" },
                            { "cache-control", "no-cache" },
                            { "x-request-id", ToString(aFlow.m_id) } });
  aFlow.m_reply.m_writer->AppendOpening(aOut);
  std::weak_ptr<Flow> weak = aFlow.weak_from_this();
  aFlow.m_exchange->OnDrained([weak] {
    FlowPtr flow = weak.lock();
    if (!flow || !flow->m_reply.m_paused) {
      return;
    }
    flow->m_reply.m_paused = false;
    if (!flow->m_attempt.m_calls.empty()) {
      flow->m_attempt.m_calls.back()->Resume();
    }
  });
}

/// Stops reading from the engine while the caller reads too slowly.
void
Worker::PauseForSlowCaller(Flow& aFlow)
{
  std::size_t limit = m_state.m_options.m_settings.m_sendBuffer;
  std::size_t buffered = aFlow.m_exchange->Buffered();
  bool full =
    buffered > limit || (buffered > limit / 4 && !aFlow.m_exchange->MayQueue());
  if (!full || aFlow.m_reply.m_paused || aFlow.m_attempt.m_calls.empty()) {
    return;
  }
  aFlow.m_reply.m_paused = true;
  aFlow.m_attempt.m_calls.back()->Pause();
}

void
Worker::Deliver(const FlowPtr& aFlow,
                int aStatus,
                const HttpHeaders& aHeaders,
                std::string_view aBody)
{
  HttpHeaders headers = aHeaders;
  headers.push_back({ "x-request-id", ToString(aFlow->m_id) });
  aFlow->m_exchange->Respond(aStatus, headers, aBody);
  if (aFlow->m_ticket) {
    const std::string* type = FindHeader(aHeaders, "content-type");
    m_state.m_tickets.OnAnswered(*aFlow->m_ticket,
                                 { .m_status = aStatus,
                                   .m_contentType = type ? *type : "",
                                   .m_body = std::string(aBody) },
                                 Now());
  }
  aFlow->m_reply.m_ended = true;
  Apply(aFlow,
        ledger_event::AnswerDelivered{ aFlow->m_attempt.m_id.m_attempt });
}

void
Worker::WriteEnd(Flow& aFlow, const ledger_action::EndRequest& aEnd)
{
  FlowReply& reply = aFlow.m_reply;
  if (reply.m_ended || aEnd.m_outcome == Outcome::Cancelled) {
    aFlow.m_exchange->Abort();
    return;
  }
  bool begunModel = aFlow.m_model != nullptr && reply.m_begun;
  if (aEnd.m_error && !begunModel) {
    RespondError(aFlow, *aEnd.m_error);
    return;
  }
  std::string out;
  if (aEnd.m_error) {
    CompletionWriter::AppendError(out, *aEnd.m_error);
    aFlow.m_exchange->Write(out);
    aFlow.m_exchange->End();
    return;
  }
  WriteAnswerEnd(aFlow, aEnd);
}

void
Worker::WriteAnswerEnd(Flow& aFlow, const ledger_action::EndRequest& aEnd)
{
  FlowReply& reply = aFlow.m_reply;
  if (!aFlow.m_call.m_stream) {
    aFlow.m_exchange->Respond(200,
                              { { "content-type", "application/json" },
                                { "x-request-id", ToString(aFlow.m_id) } },
                              reply.m_writer->Whole(reply.m_text,
                                                    aEnd.m_finishReason,
                                                    aFlow.m_promptTokens,
                                                    reply.m_tokens));
    return;
  }
  std::string out;
  if (!reply.m_begun) {
    BeginStream(aFlow, out);
  }
  std::string eventId =
    reply.m_eventPrefix + std::to_string(reply.m_lastPosition);
  reply.m_writer->AppendClosing(out,
                                eventId,
                                aEnd.m_finishReason,
                                aFlow.m_call.m_includeUsage,
                                aFlow.m_promptTokens,
                                reply.m_tokens);
  aFlow.m_exchange->Write(out);
  aFlow.m_exchange->End();
}

void
Worker::Finish(const FlowPtr& aFlow, const ledger_action::EndRequest& aEnd)
{
  Flow& flow = *aFlow;
  flow.m_open = false;
  bool answeredPlain = flow.m_model == nullptr && flow.m_reply.m_ended;
  if (!answeredPlain) {
    WriteEnd(flow, aEnd);
  }
  bool complete = aEnd.m_outcome == Outcome::Answered;
  std::string suspectAt = std::exchange(flow.m_attempt.m_suspectEngine, {});
  if (!suspectAt.empty()) {
    m_state.m_suspects.RunEnded(
      flow.m_service->m_name, flow.m_fingerprint, suspectAt, complete);
  }
  CountEnd(flow, aEnd);
  m_state.m_queue.Remove(flow.m_queued.m_id);
  m_waiting.erase(flow.m_queued.m_id);
  DropAttempt(flow);
  SettleTicket(flow, aEnd);
  if (aEnd.m_outcome == Outcome::Refused) {
    m_state.m_limits.GiveBack(flow.m_caller, flow.m_cost);
  }
  m_state.m_loop.Post([this] { Dispatch(); });
}

void
Worker::SettleTicket(Flow& aFlow, const ledger_action::EndRequest& aEnd)
{
  if (!aFlow.m_ticket) {
    return;
  }
  if (aEnd.m_outcome == Outcome::Refused) {
    m_state.m_tickets.OnNotRun(*aFlow.m_ticket);
  } else if (aEnd.m_outcome != Outcome::Answered) {
    m_state.m_tickets.OnUnknown(*aFlow.m_ticket);
  }
  TicketRef ticket = *aFlow.m_ticket;
  m_state.m_loop.Post([this, ticket] { ReleaseTicketWaiters(ticket); });
}

void
Worker::CountEnd(const Flow& aFlow, const ledger_action::EndRequest& aEnd)
{
  std::string run = aEnd.m_error ? std::string(ToString(aEnd.m_error->Run()))
                                 : std::string("yes");
  std::string cause =
    aEnd.m_error ? std::string(ToString(aEnd.m_error->Kind())) : "none";
  m_state.m_metrics.Count("requests_total",
                          "outcome=\"" + std::string(ToString(aEnd.m_outcome)) +
                            "\",run=\"" + run + "\",cause=\"" + cause + "\"");
  m_state.m_metrics.Observe(Latency::Request, aEnd.m_age);
  LogEvent event("request_ended");
  event.Add("request", ToString(aFlow.m_id))
    .Add("service", aFlow.m_service->m_name)
    .Add("outcome", ToString(aEnd.m_outcome))
    .Add("run", run)
    .Add("cause", cause)
    .Add("attempts", std::int64_t{ aEnd.m_attempts })
    .Add("age", aEnd.m_age);
  if (aEnd.m_error) {
    event.Add("reason", aEnd.m_error->what());
  }
  m_state.m_log.Write(event);
  if (aFlow.m_model == nullptr) {
    return;
  }
  const FlowReply& reply = aFlow.m_reply;
  RequestSample sample{ .m_answered = aEnd.m_outcome == Outcome::Answered,
                        .m_outputTokens = reply.m_tokens,
                        .m_targets = aFlow.m_service->m_targets };
  if (reply.m_firstTokenAt) {
    sample.m_firstToken = *reply.m_firstTokenAt - aFlow.m_receivedAt;
    sample.m_decoding = reply.m_lastTokenAt - *reply.m_firstTokenAt;
  }
  if (reply.m_tokens > 1) {
    m_state.m_metrics.Observe(Latency::PerToken,
                              sample.m_decoding / (reply.m_tokens - 1));
  }
  m_state.m_goodput.OnEnded(sample);
}

} // namespace shallotford
