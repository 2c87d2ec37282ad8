/// Serves the engine model over HTTP.

#include "standin_engine.h"

#include "standin_text.h"

#include <iostream>
#include <unistd.h>

namespace shallotford::standin {

namespace {

constexpr int kCrashExitCode = 70;
/// Bytes queued for a reader above which tokens wait; more than a quarter of
/// the server's buffer, so that OnDrained comes.
constexpr std::size_t kReaderBuffer = 128u << 10;

void
WriteTokens(HttpExchangeI& aExchange,
            const Holding& aHolding,
            std::uint32_t& aNext)
{
  std::string out;
  for (; aNext < aHolding.m_next; ++aNext) {
    std::string position = std::to_string(aNext);
    out += "id: ";
    out += position;
    out += "\ndata: {\"position\":";
    out += position;
    out += ",\"text\":\"";
    out += TokenText(aHolding.m_seed, aNext);
    out += "\"}\n\n";
  }
  if (!out.empty()) {
    aExchange.Write(out);
  }
}

void
WriteEnd(HttpExchangeI& aExchange, const Holding& aHolding)
{
  Json::Value data(Json::objectValue);
  data["done"] = true;
  data["finish_reason"] = aHolding.m_finishReason;
  data["output_tokens"] = aHolding.m_next - aHolding.m_start;
  data["end"] = aHolding.m_next;
  aExchange.Write("id: " + std::to_string(aHolding.m_next) +
                  "\ndata: " + WriteJson(data) + "\n\n");
  aExchange.End();
}

void
EndWithEvent(HttpExchangeI& aExchange, std::string_view aEvent)
{
  aExchange.Write("event: " + std::string(aEvent) + "\ndata: {}\n\n");
  aExchange.End();
}

} // namespace

EngineServer::EngineServer(LoopI& aLoop, EngineSettings aSettings)
  : m_loop(aLoop)
  , m_settings(std::move(aSettings))
  , m_model(m_settings.m_model)
  , m_random(MakeSeededRandom(m_settings.m_model.m_seed))
  , m_link(m_settings.m_linkBytesPerSecond)
  , m_calls(aLoop)
  , m_crash([] { _exit(kCrashExitCode); })
{
  m_model.Options().m_externalLoad = !m_settings.m_platform.empty();
  m_model.SetLeaving(aLoop.Now(), m_settings.m_leaving);
}

void
EngineServer::OnCrash(std::function<void()> aCallback)
{
  m_crash = std::move(aCallback);
}

void
EngineServer::OnRequest(Exchange aExchange, HttpRequest aRequest)
{
  bool isAdmin = aRequest.m_path.starts_with("/admin/");
  if (m_settings.m_answerDelay.count() == 0 || isAdmin) {
    Serve(aExchange, aRequest);
    return;
  }
  m_loop.RunAfter(
    m_settings.m_answerDelay,
    [this, exchange = std::move(aExchange), request = std::move(aRequest)] {
      Serve(exchange, request);
    });
}

void
EngineServer::Serve(const Exchange& aExchange, const HttpRequest& aRequest)
{
  Pump();
  std::vector<std::string> path = PathSegments(aRequest.m_path);
  bool isEngine = path.size() >= 3 && path[0] == "engine" && path[1] == "v1";
  bool isAdmin = path.size() == 2 && path[0] == "admin";
  try {
    if (!isEngine && !isAdmin) {
      RespondReason(aExchange, 404, "path");
    } else if (aRequest.m_method == "POST") {
      ServePost(aExchange, path, ParseJson(aRequest.m_body));
    } else if (aRequest.m_method == "GET") {
      ServeGet(aExchange, path, aRequest);
    } else if (aRequest.m_method == "DELETE" && path.size() == 4) {
      if (path[2] == "streams") {
        Cancel(aExchange, path[3]);
      } else {
        bool whole = QueryNumber(aRequest, "whole", 0) == 1;
        bool held = m_model.EndPull(m_loop.Now(), path[3], whole);
        RespondReason(aExchange, held ? 200 : 404, held ? "" : "export");
      }
    } else {
      RespondReason(aExchange, 405, "method");
    }
  } catch (const std::exception& exception) {
    RespondReason(aExchange, 400, exception.what());
  }
  Pump();
}

void
EngineServer::ServePost(const Exchange& aExchange,
                        const std::vector<std::string>& aPath,
                        const Json::Value& aBody)
{
  const std::string& what = aPath.back();
  if (aPath[0] == "admin" && what == "faults") {
    ChangeFaults(aExchange, aBody);
  } else if (what == "imports") {
    Claim(aExchange, aBody);
  } else if (what == "prefills") {
    Prefill(aExchange, aBody);
  } else if (what == "streams") {
    StartStream(aExchange, aBody);
  } else if (what == "orders") {
    Order(aExchange, aBody);
  } else if (aPath.size() == 5 && what == "pull") {
    StartPull(aExchange, aPath[3], aBody);
  } else {
    RespondReason(aExchange, 404, "path");
  }
}

void
EngineServer::ServeGet(const Exchange& aExchange,
                       const std::vector<std::string>& aPath,
                       const HttpRequest& aRequest)
{
  const std::string& what = aPath[aPath[0] == "admin" ? 1 : 2];
  if (aPath.size() == 4 && what == "streams") {
    auto from = static_cast<std::uint32_t>(QueryNumber(aRequest, "from", 0));
    Attach(aExchange, aPath[3], from);
  } else if (aPath.size() == 4 && what == "exports") {
    std::optional<KvContent> content =
      m_model.BeginPull(m_loop.Now(), aPath[3]);
    if (!content) {
      RespondReason(aExchange, 404, "export");
      return;
    }
    Json::Value body(Json::objectValue);
    body["prompt_fingerprint"] = content->m_promptFingerprint;
    body["prompt_tokens"] = content->m_promptTokens;
    body["crash_decode"] = content->m_crashDecode;
    RespondJson(aExchange, 200, body);
  } else if (what == "streams") {
    RespondJson(aExchange, 200, StreamList());
  } else if (what == "load") {
    RespondJson(aExchange, 200, LoadBody());
  } else if (what == "cache-events") {
    RespondJson(
      aExchange, 200, CacheEventsBody(QueryNumber(aRequest, "after", 0)));
  } else if (what == "state") {
    RespondJson(aExchange, 200, StateBody());
  } else if (what == "stats") {
    RespondJson(aExchange, 200, StatsBody());
  } else {
    RespondReason(aExchange, 404, "path");
  }
}

void
EngineServer::Claim(const Exchange& aExchange, const Json::Value& aBody)
{
  Admission admission =
    m_model.ClaimImport(m_loop.Now(),
                        { .m_stream = aBody["stream"].asString(),
                          .m_model = aBody["model"].asString(),
                          .m_promptTokens = aBody["prompt_tokens"].asUInt(),
                          .m_maxTokens = aBody["max_tokens"].asUInt(),
                          .m_priority = aBody["priority"].asInt() });
  if (admission.m_refused) {
    RespondReason(aExchange, 503, ToString(*admission.m_refused));
    return;
  }
  Json::Value body(Json::objectValue);
  body["import"] = admission.m_id;
  RespondJson(aExchange, 201, body);
}

void
EngineServer::Prefill(const Exchange& aExchange, const Json::Value& aBody)
{
  std::string prompt = aBody["prompt"].asString();
  bool poison = !m_settings.m_poisonWord.empty() &&
                prompt.find(m_settings.m_poisonWord) != std::string::npos;
  bool inPrefill = m_settings.m_poisonStage == "prefill";
  PrefillRequest request;
  request.m_stream = aBody["stream"].asString();
  request.m_model = aBody["model"].asString();
  request.m_adapter = aBody["adapter"].asString();
  request.m_promptFingerprint = Fingerprint(prompt);
  request.m_prefixes =
    PrefixFingerprints(prompt, m_model.Options().m_pieceTokens);
  request.m_promptTokens = CountTokens(prompt);
  request.m_priority = aBody["priority"].asInt();
  request.m_crashPrefill = poison && inPrefill;
  request.m_crashDecode = poison && !inPrefill;
  Admission admission = m_model.StartPrefill(m_loop.Now(), request);
  if (admission.m_refused) {
    RespondReason(aExchange, 503, ToString(*admission.m_refused));
    return;
  }
  m_prefillWaiters[request.m_stream].push_back(aExchange);
  const Holding* holding = m_model.Find(request.m_stream);
  if (holding->m_state == HoldingState::Export) {
    AnswerPrefill({ .m_stream = holding->m_stream,
                    .m_id = holding->m_id,
                    .m_cachedTokens = holding->m_cachedTokens,
                    .m_promptTokens = holding->m_prefill.m_promptTokens });
  }
}

void
EngineServer::AnswerPrefill(const EngineEvent& aEvent)
{
  Json::Value body(Json::objectValue);
  body["export"] = aEvent.m_id;
  body["prompt_tokens"] = aEvent.m_promptTokens;
  body["cached_tokens"] = aEvent.m_cachedTokens;
  for (const Exchange& exchange : m_prefillWaiters[aEvent.m_stream]) {
    RespondJson(exchange, 200, body);
  }
  m_prefillWaiters.erase(aEvent.m_stream);
}

void
EngineServer::StartStream(const Exchange& aExchange, const Json::Value& aBody)
{
  StreamRequest request;
  request.m_stream = aBody["stream"].asString();
  request.m_import = aBody["import"].asString();
  request.m_maxTokens = aBody["max_tokens"].asUInt();
  request.m_start = aBody["start"].asUInt();
  request.m_seedPrompt = aBody["seed_prompt"].asString();
  for (const Json::Value& stop : aBody["stop"]) {
    request.m_stop.push_back(stop.asString());
  }
  if (!m_model.StartStream(m_loop.Now(), request)) {
    RespondReason(aExchange, 404, "import");
    return;
  }
  Attach(aExchange, request.m_stream, request.m_start);
}

void
EngineServer::Attach(const Exchange& aExchange,
                     const std::string& aStream,
                     std::uint32_t aFrom)
{
  std::uint64_t attachment = m_model.Attach(aStream);
  if (attachment == 0) {
    RespondReason(aExchange, 404, "stream");
    return;
  }
  auto older = m_readers.find(aStream);
  if (older != m_readers.end()) {
    Exchange superseded = older->second.m_exchange;
    m_readers.erase(older);
    EndWithEvent(*superseded, "superseded");
  }
  std::uint32_t from = std::max(aFrom, m_model.Find(aStream)->m_start);
  m_readers[aStream] = { aExchange, attachment, from };
  aExchange->Begin(200, { { "content-type", "text/event-stream" } });
  aExchange->OnDrained([this, aStream] { SendTokens(aStream); });
  aExchange->OnClosed([this, aStream, attachment] {
    m_model.Detach(aStream, attachment);
    auto reader = m_readers.find(aStream);
    if (reader != m_readers.end() &&
        reader->second.m_attachment == attachment) {
      m_readers.erase(reader);
    }
  });
  SendTokens(aStream);
}

void
EngineServer::SendTokens(const std::string& aStream)
{
  auto reader = m_readers.find(aStream);
  const Holding* holding = m_model.Find(aStream);
  if (reader == m_readers.end() || !holding) {
    return;
  }
  Exchange exchange = reader->second.m_exchange;
  if (exchange->Buffered() > kReaderBuffer) {
    return; // until OnDrained
  }
  WriteTokens(*exchange, *holding, reader->second.m_next);
  if (holding->m_state == HoldingState::Done) {
    m_model.Detach(aStream, reader->second.m_attachment);
    m_readers.erase(reader);
    WriteEnd(*exchange, *holding);
  }
}

void
EngineServer::Cancel(const Exchange& aExchange, const std::string& aStream)
{
  m_model.Cancel(m_loop.Now(), aStream);
  EndWaiting(aStream);
  RespondReason(aExchange, 200, "");
}

void
EngineServer::EndWaiting(const std::string& aStream)
{
  auto waiters = m_prefillWaiters.find(aStream);
  if (waiters != m_prefillWaiters.end()) {
    for (const Exchange& exchange : waiters->second) {
      RespondReason(exchange, 410, "cancelled");
    }
    m_prefillWaiters.erase(waiters);
  }
  auto reader = m_readers.find(aStream);
  if (reader != m_readers.end()) {
    Exchange exchange = reader->second.m_exchange;
    m_readers.erase(reader);
    EndWithEvent(*exchange, "cancelled");
  }
}

void
EngineServer::ChangeFaults(const Exchange& aExchange, const Json::Value& aBody)
{
  if (aBody["crash"].asBool()) {
    m_crash();
    return;
  }
  EngineSettings changed = m_settings;
  NamesOf(changed).Apply(aBody);
  bool external = m_model.Options().m_externalLoad;
  m_settings = changed;
  m_model.Options() = changed.m_model;
  m_model.Options().m_externalLoad = external;
  m_model.SetLeaving(m_loop.Now(), changed.m_leaving);
  RespondReason(aExchange, 200, "");
}

void
EngineServer::Pump()
{
  TimePoint now = m_loop.Now();
  for (const EngineEvent& event : m_model.Advance(now)) {
    Handle(event);
  }
  for (std::uint64_t number : m_link.Advance(now)) {
    PullPtr pull = m_transfers.at(number);
    m_transfers.erase(number);
    EndPull(pull, true);
  }
  SetTimer();
}

void
EngineServer::Handle(const EngineEvent& aEvent)
{
  switch (aEvent.m_kind) {
    case EngineEventKind::PrefillDone:
      AnswerPrefill(aEvent);
      break;
    case EngineEventKind::Token:
    case EngineEventKind::StreamDone:
      SendTokens(aEvent.m_stream);
      break;
    case EngineEventKind::StreamLapsed:
      EndWaiting(aEvent.m_stream);
      break;
    case EngineEventKind::Crashed:
      m_crash();
      break;
    case EngineEventKind::ExportExpired:
    case EngineEventKind::ImportDropped:
    case EngineEventKind::ModelLoaded:
      break;
  }
}

void
EngineServer::SetTimer()
{
  TimePoint at = std::min(m_model.NextEventAt(), m_link.NextDoneAt());
  if (at == m_timerAt) {
    return;
  }
  if (m_timerAt != TimePoint::max()) {
    m_loop.CancelTimer(m_timer);
  }
  m_timerAt = at;
  if (at == TimePoint::max()) {
    return;
  }
  Duration delay = std::max(at - m_loop.Now(), Duration::zero());
  m_timer = m_loop.RunAfter(delay, [this] {
    m_timerAt = TimePoint::max();
    Pump();
  });
}

int
RunEngine(const std::string& aConfig)
{
  EngineSettings settings;
  NamesOf(settings).Apply(ParseJson(ReadFile(aConfig)));
  std::unique_ptr<LoopI> loop = MakeLoop({ .m_name = "engine" });
  std::string listen = settings.m_listen;
  EngineServer server(*loop, std::move(settings));
  ServeUntilSignal(*loop, listen, server);
  return 0;
}

} // namespace shallotford::standin
