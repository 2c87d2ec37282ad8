/// The worker task: routes callers' requests and carries out the actions of the
/// ledger.

#include "daemon_worker.h"

#include "config.h"
#include "daemon_filters.h"
#include "shallotford/intake.h"

namespace shallotford {

namespace {

ServerOptions
CallerServerOptions(const Settings& aSettings)
{
  SocketAddress address = ParseAddress(aSettings.m_callerAddress);
  return {
    .m_address = address.m_ip,
    .m_port = address.m_port,
    .m_maxBody = aSettings.m_maxBody,
    .m_maxHeaders = aSettings.m_maxHeaders,
    .m_maxConnections = aSettings.m_maxConnections,
    .m_sendBuffer = aSettings.m_sendBuffer,
    .m_intake = std::make_shared<Intake>(IntakeBytes(aSettings.m_memory)),
    .m_tls = { .m_certificate = aSettings.m_callerTls.m_certificate,
               .m_key = aSettings.m_callerTls.m_key,
               .m_peerAuthority = aSettings.m_callerTls.m_peerAuthority }
  };
}

TlsFiles
PeerTlsOf(const Settings& aSettings)
{
  const TlsSettings& tls = aSettings.m_peerTls;
  return { .m_certificate = tls.m_certificate,
           .m_key = tls.m_key,
           .m_peerAuthority = tls.m_peerAuthority };
}

} // namespace

WorkerState::WorkerState(const WorkerOptions& aOptions,
                         LoopI& aLoop,
                         EngineI& aEngine,
                         LogI& aLog,
                         RandomI& aRandom,
                         const ClockI& aClock)
  : m_options(aOptions)
  , m_loop(aLoop)
  , m_engine(aEngine)
  , m_log(aLog)
  , m_random(aRandom)
  , m_clock(aClock)
  , m_limits(aOptions.m_vm.m_address)
  , m_placer(MakePlacer(aOptions.m_placer))
  , m_retries(RetryOptions{}, aRandom)
  , m_ledger(LedgerOptions{ .m_vm = aOptions.m_vm }, m_retries)
  , m_tickets(TicketOptions{ .m_vm = aOptions.m_vm },
              aOptions.m_ticketKey,
              aLoop.Now())
  , m_poison(PoisonOptions{})
  , m_suspects(m_poison,
               aLoop,
               aLog,
               aOptions.m_vm.m_address,
               PeerTlsOf(aOptions.m_settings))
  , m_cancels(CancelOptions{})
{
}

Worker::Worker(const WorkerOptions& aOptions,
               LoopI& aLoop,
               EngineI& aEngine,
               LogI& aLog,
               RandomI& aRandom,
               const ClockI& aClock)
  : m_state(aOptions, aLoop, aEngine, aLog, aRandom, aClock)
  , m_modelPipeline(MakeModelPipeline(*this))
  , m_plainPipeline(MakePlainPipeline(*this))
{
}

Worker::~Worker() = default;

void
Worker::Start()
{
  m_server = m_state.m_loop.Listen(
    CallerServerOptions(m_state.m_options.m_settings), *this);
  m_state.m_loop.RunAfter(kWorkerTick, [this] { Tick(); });
  m_state.m_loop.RunAfter(kWorkerReportPeriod, [this] { Report(); });
  PollEngines();
}

void
Worker::SetControlSink(std::function<void(WorkerMessage)> aSink)
{
  m_controlSink = std::move(aSink);
}

TlsFiles
Worker::PeerTls() const
{
  return PeerTlsOf(m_state.m_options.m_settings);
}

// ---------------------------------------------------------------- routing

void
Worker::OnRequest(std::shared_ptr<HttpExchangeI> aExchange,
                  HttpRequest aRequest)
{
  auto flow = std::make_shared<Flow>();
  flow->m_exchange = std::move(aExchange);
  flow->m_http = std::move(aRequest);
  flow->m_receivedAt = Now();
  flow->m_fleet = m_state.m_fleet;
  try {
    Route(flow);
  } catch (const Error& error) {
    Refuse(flow, error);
  }
}

void
Worker::Route(const FlowPtr& aFlow)
{
  const std::string& method = aFlow->m_http.m_method;
  const std::string& path = aFlow->m_http.m_path;
  if (method == "GET" && (path == "/healthz" || path == "/readyz")) {
    AnswerHealth(aFlow);
    return;
  }
  if (method == "GET" && path == "/metrics") {
    UpdateGauges();
    aFlow->m_exchange->Respond(
      200,
      { { "content-type", "text/plain; version=0.0.4" } },
      m_state.m_metrics.Text());
    return;
  }
  CheckServing();
  bool completion = path == "/v1/chat/completions" || path == "/v1/completions";
  if (method == "POST" && completion) {
    m_modelPipeline.Begin(aFlow);
    return;
  }
  if (path.rfind("/services/", 0) == 0) {
    m_plainPipeline.Begin(aFlow);
    return;
  }
  if (method == "GET" && path == "/v1/models") {
    m_state.m_callers.Identify(
      FindHeader(aFlow->m_http.m_headers, "authorization"));
    aFlow->m_exchange->Respond(200,
                               { { "content-type", "application/json" } },
                               ModelListBody(*m_state.m_fleet));
    return;
  }
  if (method == "POST" && path == "/v1/tickets") {
    IssueTicket(aFlow);
    return;
  }
  throw Error(ErrorKind::NotFound,
              "there is no " + method + " " + path,
              "Use POST /v1/chat/completions, POST /v1/completions, "
              "GET /v1/models, POST /v1/tickets or /services/NAME/...");
}

void
Worker::CheckServing() const
{
  if (m_drainingSince && Now() >= *m_drainingSince + kDrainGrace) {
    throw Error(ErrorKind::ShuttingDown,
                "this VM is stopping",
                "Send the request again; the balancer will choose another VM.")
      .WithRetryAfter(kShutdownRetryAfter);
  }
  if (!m_state.m_fleet || !m_ready) {
    throw Error(ErrorKind::NotReady,
                "this VM has no configuration in force yet",
                "Send the request again; the balancer will choose another VM.")
      .WithRetryAfter(kShutdownRetryAfter);
  }
}

void
Worker::AnswerHealth(const FlowPtr& aFlow)
{
  bool ready = m_ready && m_state.m_fleet && !m_drainingSince;
  bool healthy = ready || aFlow->m_http.m_path == "/healthz";
  aFlow->m_exchange->Respond(healthy ? 200 : 503,
                             { { "content-type", "text/plain" } },
                             healthy ? "ok\n" : "not ready\n");
}

void
Worker::IssueTicket(const FlowPtr& aFlow)
{
  const CallerEntry* caller = m_state.m_callers.Identify(
    FindHeader(aFlow->m_http.m_headers, "authorization"));
  Json::Value body(Json::objectValue);
  body["ticket"] =
    m_state.m_tickets.Issue(caller == nullptr ? "" : caller->m_name, Now());
  body["expires_in_ms"] =
    static_cast<Json::Int64>(m_state.m_tickets.Lifetime().count());
  aFlow->m_exchange->Respond(
    201, { { "content-type", "application/json" } }, WriteJson(body));
}

void
Worker::Refuse(const FlowPtr& aFlow, const Error& aError)
{
  m_state.m_metrics.Count(
    "refusals_total", "kind=\"" + std::string(ToString(aError.Kind())) + "\"");
  m_state.m_log.Write(LogEvent("request_refused")
                        .Add("path", aFlow->m_http.m_path)
                        .Add("kind", ToString(aError.Kind()))
                        .Add("run", ToString(aError.Run()))
                        .Add("reason", aError.what()));
  RespondError(*aFlow, aError);
}

void
Worker::RespondError(Flow& aFlow, const Error& aError)
{
  HttpHeaders headers{ { "content-type", "application/json" } };
  if (!aFlow.m_id.m_vm.m_address.empty()) {
    headers.push_back({ "x-request-id", ToString(aFlow.m_id) });
  }
  AddRetryAfter(headers, aError);
  aFlow.m_exchange->Respond(
    HttpStatus(aError.Kind()), headers, ErrorBody(aError));
}

// ------------------------------------------------------------------ flows

void
Worker::Open(const FlowPtr& aFlow, RequestSpec aSpec)
{
  bool keepsRunning = !aSpec.m_repeatable;
  aFlow->m_id = m_state.m_ledger.Open(std::move(aSpec), Now());
  aFlow->m_open = true;
  m_flows[aFlow->m_id] = aFlow;
  std::weak_ptr<Flow> weak = aFlow;
  // A call that must not be repeated continues after its caller disconnected,
  // since the caller may ask for the answer again.
  if (keepsRunning) {
    return;
  }
  aFlow->m_exchange->OnClosed([this, weak] {
    FlowPtr flow = weak.lock();
    if (flow && flow->m_open) {
      Apply(flow, ledger_event::CallerDisconnected{});
    }
  });
}

void
Worker::Next(const FlowPtr& aFlow)
{
  Pipeline& pipeline = aFlow->m_http.m_path.rfind("/services/", 0) == 0
                         ? m_plainPipeline
                         : m_modelPipeline;
  pipeline.Next(aFlow);
}

void
Worker::Apply(const FlowPtr& aFlow, LedgerEvent aEvent)
{
  Perform(m_state.m_ledger.Apply(aFlow->m_id, std::move(aEvent), Now()));
}

void
Worker::Perform(LedgerActions aActions)
{
  for (LedgerAction& action : aActions) {
    m_actions.push_back(std::move(action));
  }
  if (m_performing) {
    return;
  }
  m_performing = true;
  while (!m_actions.empty()) {
    LedgerAction action = std::move(m_actions.front());
    m_actions.pop_front();
    std::visit([this](auto& aAction) { PerformOne(aAction); }, action);
  }
  m_performing = false;
}

void
Worker::PerformOne(ledger_action::StartAttempt& aAction)
{
  auto found = m_flows.find(aAction.m_attempt.m_request);
  if (found == m_flows.end()) {
    return;
  }
  FlowPtr flow = found->second;
  DropAttempt(*flow);
  FlowAttempt& attempt = flow->m_attempt;
  attempt.m_id = aAction.m_attempt;
  attempt.m_excluded = std::move(aAction.m_excluded);
  attempt.m_position = aAction.m_position;
  attempt.m_prompt = flow->m_prompt;
  if (!aAction.m_generated.empty()) {
    attempt.m_prompt = std::make_shared<const std::string>(*flow->m_prompt +
                                                           aAction.m_generated);
  }
  attempt.m_promptTokens =
    flow->m_promptTokens + static_cast<std::uint32_t>(aAction.m_position);
  if (aAction.m_delay <= Duration::zero()) {
    BeginAttempt(flow);
    return;
  }
  std::uint32_t number = attempt.m_id.m_attempt;
  std::weak_ptr<Flow> weak = flow;
  attempt.m_timers.push_back(
    m_state.m_loop.RunAfter(aAction.m_delay, [this, weak, number] {
      FlowPtr waiting = weak.lock();
      bool current = waiting && waiting->m_open &&
                     waiting->m_attempt.m_id.m_attempt == number;
      if (current) {
        BeginAttempt(waiting);
      }
    }));
}

void
Worker::BeginAttempt(const FlowPtr& aFlow)
{
  if (aFlow->m_model == nullptr) {
    m_plainPipeline.RestartAt(aFlow, kPlaceFilter);
    return;
  }
  bool resumes = aFlow->m_resume && aFlow->m_attempt.m_id.m_attempt <= 1;
  if (resumes) {
    AttachStream(aFlow);
    return;
  }
  Enqueue(aFlow);
}

void
Worker::AttachStream(const FlowPtr& aFlow)
{
  const ResumeToken& token = *aFlow->m_resume;
  FlowAttempt& attempt = aFlow->m_attempt;
  Apply(aFlow,
        ledger_event::Attached{ .m_attempt = attempt.m_id.m_attempt,
                                .m_engine = token.m_engine,
                                .m_stream = token.m_stream });
  attempt.m_placement.m_decodeEngine = token.m_engine;
  SetEventPrefix(*aFlow, token.m_engine, token.m_stream);
  attempt.m_calls.push_back(
    m_state.m_engine.Attach(token.m_engine,
                            token.m_stream,
                            token.m_position + 1,
                            MakeFlowSink(*this, aFlow, token.m_engine)));
}

void
Worker::PerformOne(ledger_action::DeliverToken& aAction)
{
  auto found = m_flows.find(aAction.m_request);
  if (found != m_flows.end()) {
    WriteToken(*found->second, aAction);
  }
}

void
Worker::PerformOne(ledger_action::QueueCancel& aAction)
{
  m_state.m_cancels.Add(aAction.m_upstream, aAction.m_stream, Now());
  if (m_cancelsDue) {
    return;
  }
  m_cancelsDue = true;
  m_state.m_loop.Post([this] {
    m_cancelsDue = false;
    SendDueCancels();
  });
}

void
Worker::PerformOne(ledger_action::EndRequest& aAction)
{
  auto found = m_flows.find(aAction.m_request);
  if (found == m_flows.end()) {
    return;
  }
  FlowPtr flow = found->second;
  m_flows.erase(found);
  Finish(flow, aAction);
}

void
Worker::DropAttempt(Flow& aFlow)
{
  FlowAttempt& attempt = aFlow.m_attempt;
  for (TimersI::TimerId timer : attempt.m_timers) {
    m_state.m_loop.CancelTimer(timer);
  }
  if (!attempt.m_suspectEngine.empty()) {
    m_state.m_suspects.RunEnded(aFlow.m_service->m_name,
                                aFlow.m_fingerprint,
                                attempt.m_suspectEngine,
                                false);
  }
  if (attempt.m_work) {
    m_state.m_table.OnEnded(Now(), *attempt.m_work);
  }
  if (!attempt.m_plainServer.empty()) {
    m_state.m_plain.OnEnded(attempt.m_plainServer);
  }
  if (attempt.m_computedTokens > 0) {
    m_state.m_goodput.OnPrefill(attempt.m_computedTokens,
                                attempt.m_transferred);
  }
  for (CallHandle& call : attempt.m_calls) {
    call->Cancel();
  }
  Discard(std::move(attempt.m_calls));
  attempt = FlowAttempt{};
}

void
Worker::Discard(std::vector<CallHandle> aCalls)
{
  if (aCalls.empty()) {
    return;
  }
  auto calls = std::make_shared<std::vector<CallHandle>>(std::move(aCalls));
  m_state.m_loop.Post([calls] { calls->clear(); });
}

// ---------------------------------------------------------- periodic work

void
Worker::Tick()
{
  TimePoint now = Now();
  Perform(m_state.m_ledger.Expire(now));
  ExpireQueue();
  Dispatch();
  SendDueCancels();
  m_state.m_tickets.Expire(now);
  m_state.m_poison.Expire(now);
  CheckDrained();
  m_state.m_loop.RunAfter(kWorkerTick, [this] { Tick(); });
}

} // namespace shallotford
