/// The state machine of one generated request.

#include "standin_load_call.h"

#include <algorithm>

namespace shallotford::standin {

namespace {

constexpr std::uint32_t kMostBreaks = 8;
constexpr std::chrono::milliseconds kBreakPause{ 100 };

} // namespace

/// Feeds one submission's stream into its call.
class LoadCall::StreamHandler : public HttpClientHandlerI
{
public:
  StreamHandler(std::shared_ptr<LoadCall> aCall, std::uint32_t aGeneration)
    : m_call(std::move(aCall))
    , m_generation(aGeneration)
  {
  }

  void OnHeaders(int aStatus, const HttpHeaders& aHeaders) override
  {
    m_reply.m_status = aStatus;
    m_reply.m_headers = aHeaders;
  }

  void OnBody(std::string_view aBytes) override
  {
    if (!IsCurrent()) {
      return;
    }
    if (m_reply.m_status != 200) {
      m_reply.m_body += aBytes;
      return;
    }
    m_parser.Feed(aBytes, [this](const ServerSentEvent& aEvent) {
      if (IsCurrent()) {
        m_call->OnEvent(aEvent);
      }
    });
  }

  void OnEnd() override
  {
    if (!IsCurrent()) {
      return;
    }
    if (m_reply.m_status != 200) {
      m_call->OnError(m_reply);
    } else {
      m_call->OnStreamEnd();
    }
  }

  void OnFailure(const HttpFailure& aFailure) override
  {
    if (IsCurrent()) {
      m_call->OnBroken(aFailure.m_reason);
    }
  }

private:
  bool IsCurrent() const
  {
    return !m_call->m_ended && m_call->m_generation == m_generation;
  }

  std::shared_ptr<LoadCall> m_call;
  std::uint32_t m_generation;
  HttpReply m_reply;
  EventStreamParser m_parser;
};

LoadCall::LoadCall(LoopI& aLoop,
                   const LoadOptions& aOptions,
                   PlannedCall aPlan,
                   Done aDone)
  : m_loop(aLoop)
  , m_options(aOptions)
  , m_plan(std::move(aPlan))
  , m_done(std::move(aDone))
  , m_daemon(m_plan.m_daemon)
{
}

void
LoadCall::Start()
{
  m_startedAt = m_loop.Now();
  m_deadline =
    m_loop.RunAfter(m_options.m_timeout, [self = shared_from_this()] {
      self->Finish(CallOutcome::Lost, "no answer in time");
    });
  Submit();
}

HttpCall
LoadCall::MakeCall(const std::string& aPath, const std::string& aBody) const
{
  HttpCall call;
  call.m_method = "POST";
  call.m_address = m_options.m_daemons[m_daemon % m_options.m_daemons.size()];
  call.m_path = aPath;
  call.m_body = aBody;
  call.m_headers = { { "content-type", "application/json" } };
  if (!m_options.m_key.empty()) {
    call.m_headers.push_back({ "authorization", "Bearer " + m_options.m_key });
  }
  call.m_headersTimeout = m_options.m_timeout;
  call.m_idleTimeout = m_options.m_timeout;
  return call;
}

void
LoadCall::Submit()
{
  ++m_generation;
  if (m_plan.m_kind == CallKind::ChatStream) {
    SendStream();
  } else if (m_plan.m_kind == CallKind::NonRepeatable && m_ticket.empty()) {
    FetchTicket();
  } else {
    SendWhole();
  }
}

void
LoadCall::FetchTicket()
{
  auto done = [self = shared_from_this(),
               generation = m_generation](const HttpResult& aResult) {
    if (self->m_ended || self->m_generation != generation) {
      return;
    }
    if (!aResult.m_reply) {
      self->OnBroken(aResult.m_failure->m_reason);
    } else if (aResult.m_reply->m_status >= 300) {
      self->OnError(*aResult.m_reply);
    } else {
      self->OnTicket(aResult.m_reply->m_body);
    }
  };
  m_call =
    m_loop.Client().FetchWhole(MakeCall("/v1/tickets", "{}"), std::move(done));
}

void
LoadCall::OnTicket(const std::string& aBody)
{
  try {
    m_ticket = ParseJson(aBody)["ticket"].asString();
  } catch (const std::exception& exception) {
    m_ticket.clear();
  }
  if (m_ticket.empty()) {
    Finish(CallOutcome::Lost, "no ticket in the answer");
    return;
  }
  After({}, &LoadCall::Submit);
}

void
LoadCall::SendWhole()
{
  HttpCall call = MakeCall(m_plan.m_path, m_plan.m_body);
  if (!m_ticket.empty()) {
    call.m_headers.push_back({ "idempotency-key", m_ticket });
  }
  auto done = [self = shared_from_this(),
               generation = m_generation](const HttpResult& aResult) {
    if (!self->m_ended && self->m_generation == generation) {
      self->OnWhole(aResult);
    }
  };
  m_call = m_loop.Client().FetchWhole(std::move(call), std::move(done));
}

void
LoadCall::SendStream()
{
  HttpCall call = MakeCall(m_plan.m_path, m_plan.m_body);
  if (!m_lastEventId.empty()) {
    call.m_headers.push_back({ "last-event-id", m_lastEventId });
  }
  m_call = m_loop.Client().Fetch(
    std::move(call),
    std::make_shared<StreamHandler>(shared_from_this(), m_generation));
}

void
LoadCall::OnWhole(const HttpResult& aResult)
{
  if (!aResult.m_reply) {
    bool sent = aResult.m_failure->m_progress != CallProgress::NotSent;
    m_mayHaveRun = m_mayHaveRun || sent;
    OnBroken(aResult.m_failure->m_reason);
    return;
  }
  if (aResult.m_reply->m_status >= 300) {
    OnError(*aResult.m_reply);
    return;
  }
  try {
    OnAnswer(ParseJson(aResult.m_reply->m_body));
  } catch (const std::exception& exception) {
    Finish(CallOutcome::Lost, exception.what());
  }
}

void
LoadCall::OnAnswer(const Json::Value& aBody)
{
  if (m_plan.m_expected.empty()) {
    bool right = aBody["key"].asString() == m_plan.m_key;
    bool again =
      m_plan.m_kind == CallKind::NonRepeatable && aBody["count"].asUInt() > 1;
    m_result.m_duplicates += again ? 1 : 0;
    Finish(right ? CallOutcome::Answered : CallOutcome::Lost,
           right ? "" : "another request's answer");
    return;
  }
  const Json::Value& choice = aBody["choices"][0];
  std::string text = m_plan.m_kind == CallKind::TextWhole
                       ? choice["text"].asString()
                       : choice["message"]["content"].asString();
  bool right = text == m_plan.m_expected;
  Finish(right ? CallOutcome::Answered : CallOutcome::Lost,
         right ? "" : "wrong text");
}

void
LoadCall::OnEvent(const ServerSentEvent& aEvent)
{
  if (aEvent.m_data == "[DONE]") {
    m_whole = true;
    return;
  }
  if (!aEvent.m_id.empty()) {
    m_lastEventId = aEvent.m_id;
  }
  try {
    Json::Value data = ParseJson(aEvent.m_data);
    if (data.isMember("error")) {
      m_mayHaveRun = m_mayHaveRun || m_tokens > 0;
      OnErrorBody(data, {});
      return;
    }
    const Json::Value& choices = data["choices"];
    if (choices.isArray() && !choices.empty()) {
      OnDelta(choices[0]["delta"]["content"].asString());
    }
  } catch (const std::exception& exception) {
    Finish(CallOutcome::Lost, exception.what());
  }
}

void
LoadCall::OnDelta(const std::string& aText)
{
  if (aText.empty()) {
    return;
  }
  if (m_plan.m_expected.compare(m_received, aText.size(), aText) != 0) {
    bool again = m_received >= aText.size() &&
                 m_plan.m_expected.compare(
                   m_received - aText.size(), aText.size(), aText) == 0;
    m_result.m_duplicates += again ? 1 : 0;
    Finish(CallOutcome::Lost, again ? "token came twice" : "wrong token");
    return;
  }
  m_received += aText.size();
  if (m_tokens == 0) {
    m_firstAt = m_loop.Now();
    m_result.m_firstToken = m_firstAt - m_startedAt;
  }
  m_tokens +=
    static_cast<std::uint32_t>(std::count(aText.begin(), aText.end(), ' '));
  if (m_plan.m_cancelAfter > 0 && m_tokens >= m_plan.m_cancelAfter) {
    Finish(CallOutcome::Cancelled, "");
  }
}

void
LoadCall::OnStreamEnd()
{
  if (!m_whole) {
    OnBroken("stream ended without [DONE]");
    return;
  }
  if (m_received != m_plan.m_expected.size()) {
    Finish(CallOutcome::Lost, "text is cut off");
    return;
  }
  if (m_tokens > 1) {
    m_result.m_perToken = (m_loop.Now() - m_firstAt) / (m_tokens - 1);
  }
  Finish(CallOutcome::Answered, "");
}

void
LoadCall::OnError(const HttpReply& aReply)
{
  Json::Value body(Json::objectValue);
  try {
    body = ParseJson(aReply.m_body);
  } catch (const Error&) {
    // A service's own error page.
  }
  if (!body.isObject() || !body["error"].isObject()) {
    body = Json::Value(Json::objectValue);
    body["error"]["code"] = "status_" + std::to_string(aReply.m_status);
  }
  OnErrorBody(body, aReply.m_headers);
}

void
LoadCall::OnErrorBody(const Json::Value& aBody, const HttpHeaders& aHeaders)
{
  const Json::Value& error = aBody["error"];
  const std::string* run = FindHeader(aHeaders, "x-run");
  bool notRun =
    error["run"].asString() == "no" || (run != nullptr && *run == "no");
  std::string code = error["code"].asString();
  // An earlier submission that broke may have run; that matters only to calls
  // that may not be repeated.
  bool repeatable = m_plan.m_kind != CallKind::NonRepeatable;
  if (!notRun || (m_mayHaveRun && !repeatable)) {
    Finish(CallOutcome::Failed, code);
    return;
  }
  auto retryAfter = error["retry_after_ms"].asUInt64();
  if (retryAfter > 0 && m_result.m_resubmits < m_options.m_resubmits) {
    ++m_result.m_resubmits;
    m_ticket.clear();
    After(std::chrono::milliseconds(retryAfter), &LoadCall::Submit);
    return;
  }
  Finish(CallOutcome::Refused, code);
}

void
LoadCall::OnBroken(const std::string& aReason)
{
  if (++m_breaks > kMostBreaks) {
    Finish(CallOutcome::Lost, aReason);
    return;
  }
  m_result.m_resumes += m_lastEventId.empty() ? 0 : 1;
  ++m_daemon;
  After(kBreakPause * m_breaks, &LoadCall::Submit);
}

void
LoadCall::After(Duration aDelay, void (LoadCall::*aStep)())
{
  ++m_generation;
  m_loop.RunAfter(
    aDelay, [self = shared_from_this(), aStep, generation = m_generation] {
      if (!self->m_ended && self->m_generation == generation) {
        (self.get()->*aStep)();
      }
    });
}

void
LoadCall::Finish(CallOutcome aOutcome, const std::string& aReason)
{
  if (m_ended) {
    return;
  }
  m_ended = true;
  m_loop.CancelTimer(m_deadline);
  m_result.m_outcome = aOutcome;
  m_result.m_reason = aReason;
  m_result.m_whole = m_loop.Now() - m_startedAt;
  // Not from inside the call's own event.
  m_loop.Post([self = shared_from_this()] {
    self->m_call.reset();
    self->m_done(self->m_plan, self->m_result);
  });
}

} // namespace shallotford::standin
