/// Calls engines over HTTP, with JSON and server-sent events.

#include "daemon_engine.h"

#include "config.h"
#include "daemon_token_stream.h"

namespace shallotford {

namespace {

EngineError
ErrorOf(const HttpFailure& aFailure)
{
  EngineFault fault = aFailure.m_progress == CallProgress::NotSent
                        ? EngineFault::NotSent
                        : EngineFault::Broken;
  return { .m_fault = fault, .m_reason = aFailure.m_reason };
}

EngineError
ErrorOf(const HttpReply& aReply)
{
  std::string reason = "status " + std::to_string(aReply.m_status);
  try {
    Json::Value body = ParseJson(aReply.m_body);
    if (body.isObject() && body["reason"].isString()) {
      reason = body["reason"].asString();
    }
  } catch (const Error&) {
    // The reason remains the status if the body is not JSON.
  }
  switch (aReply.m_status) {
    case 503:
    case 409:
      return { .m_fault = EngineFault::Refused, .m_reason = reason };
    case 404:
    case 410:
      return { .m_fault = EngineFault::NotHeld, .m_reason = reason };
    case 504:
      return { .m_fault = EngineFault::Stalled, .m_reason = reason };
    default:
      return { .m_fault = EngineFault::Malformed, .m_reason = reason };
  }
}

/// Turns a whole HTTP answer into a typed result.
template<class Value>
std::function<void(HttpResult)>
Decoded(EngineDone<Value> aDone,
        std::function<Value(const Json::Value&)> aDecode)
{
  return [done = std::move(aDone),
          decode = std::move(aDecode)](const HttpResult& aResult) {
    if (aResult.m_failure) {
      done(ErrorOf(*aResult.m_failure));
      return;
    }
    const HttpReply& reply = *aResult.m_reply;
    if (reply.m_status < 200 || reply.m_status >= 300) {
      done(ErrorOf(reply));
      return;
    }
    EngineResult<Value> result;
    try {
      result = decode(reply.m_body.empty() ? Json::Value(Json::objectValue)
                                           : ParseJson(reply.m_body));
    } catch (const std::exception& exception) {
      result = EngineError{ .m_fault = EngineFault::Malformed,
                            .m_reason = exception.what() };
    }
    done(std::move(result));
  };
}

std::monostate
DecodeNothing(const Json::Value&)
{
  return {};
}

EngineRole
RoleOf(const Json::Value& aValue)
{
  return aValue.asString() == "prefill" ? EngineRole::Prefill
                                        : EngineRole::Decode;
}

std::string
DecodeImport(const Json::Value& aBody)
{
  return aBody["import"].asString();
}

PrefillAnswer
DecodePrefill(const Json::Value& aBody)
{
  return { .m_export = aBody["export"].asString(),
           .m_promptTokens = aBody["prompt_tokens"].asUInt(),
           .m_cachedTokens = aBody["cached_tokens"].asUInt() };
}

std::vector<EngineHolding>
DecodeList(const Json::Value& aBody)
{
  std::vector<EngineHolding> streams;
  for (const Json::Value& entry : aBody["streams"]) {
    streams.push_back(
      { .m_stream = entry["stream"].asString(),
        .m_state = entry["state"].asString(),
        .m_pieces = entry["pieces"].asUInt(),
        .m_attached = entry["attached"].asBool(),
        .m_age = std::chrono::milliseconds{ entry["age_ms"].asInt64() } });
  }
  return streams;
}

LoadReport
DecodeLoad(const Json::Value& aBody)
{
  return { .m_role = RoleOf(aBody["role"]),
           .m_model = aBody["model"].asString(),
           .m_leaving = aBody["leaving"].asBool(),
           .m_running = aBody["running"].asUInt(),
           .m_batchLimit = aBody["batch_limit"].asUInt(),
           .m_piecesTotal = aBody["pieces_total"].asUInt(),
           .m_piecesFree = aBody["pieces_free"].asUInt(),
           .m_prefillQueueTokens = aBody["prefill_queue_tokens"].asUInt64(),
           .m_age = std::chrono::milliseconds{ aBody["age_ms"].asInt64() } };
}

EngineCacheEvents
DecodeCacheEvents(const Json::Value& aBody)
{
  EngineCacheEvents events;
  events.m_next = aBody["next"].asUInt64();
  for (const Json::Value& entry : aBody["events"]) {
    events.m_events.push_back(
      { .m_sequence = entry["seq"].asUInt64(),
        .m_stored = entry["kind"].asString() == "stored",
        .m_prefix = entry["prefix"].asString(),
        .m_tokens = entry["tokens"].asUInt() });
  }
  return events;
}

EngineState
DecodeState(const Json::Value& aBody)
{
  EngineState state{ .m_role = RoleOf(aBody["role"]),
                     .m_model = aBody["model"].asString(),
                     .m_version = aBody["version"].asString(),
                     .m_adapters = {},
                     .m_acceptedFence = aBody["accepted_fence"].asUInt64(),
                     .m_checksFencing = aBody["checks_fencing"].asBool(),
                     .m_draining = aBody["draining"].asBool(),
                     .m_leaving = aBody["leaving"].asBool(),
                     .m_busy = aBody["busy"].asBool() };
  for (const Json::Value& adapter : aBody["adapters"]) {
    state.m_adapters.push_back(adapter.asString());
  }
  return state;
}

HttpCall
Get(const std::string& aEngine, std::string aPath)
{
  return { .m_method = "GET",
           .m_address = aEngine,
           .m_path = std::move(aPath) };
}

HttpCall
Post(const std::string& aEngine, std::string aPath, const Json::Value& aBody)
{
  return { .m_method = "POST",
           .m_address = aEngine,
           .m_path = std::move(aPath),
           .m_headers = { { "content-type", "application/json" } },
           .m_body = WriteJson(aBody) };
}

std::string
StreamPath(const std::string& aStream)
{
  return "/engine/v1/streams/" + PercentEncode(aStream, "");
}

class HttpEngine : public EngineI
{
public:
  explicit HttpEngine(HttpClientI& aClient)
    : m_client(aClient)
  {
  }

  CallHandle Claim(const std::string& aEngine,
                   const ClaimCall& aCall,
                   EngineDone<std::string> aDone) override
  {
    Json::Value body(Json::objectValue);
    body["stream"] = ToString(aCall.m_stream);
    body["model"] = aCall.m_model;
    body["prompt_tokens"] = aCall.m_promptTokens;
    body["max_tokens"] = aCall.m_maxTokens;
    body["priority"] = aCall.m_priority;
    return m_client.FetchWhole(
      Post(aEngine, "/engine/v1/imports", body),
      Decoded<std::string>(std::move(aDone), DecodeImport));
  }

  CallHandle Prefill(const std::string& aEngine,
                     const PrefillCall& aCall,
                     EngineDone<PrefillAnswer> aDone) override
  {
    Json::Value body(Json::objectValue);
    body["stream"] = ToString(aCall.m_stream);
    body["model"] = aCall.m_model;
    body["adapter"] = aCall.m_adapter;
    body["prompt"] = *aCall.m_prompt;
    body["prompt_tokens"] = aCall.m_promptTokens;
    body["priority"] = aCall.m_priority;
    HttpCall call = Post(aEngine, "/engine/v1/prefills", body);
    call.m_headersTimeout = aCall.m_timeout;
    return m_client.FetchWhole(
      std::move(call), Decoded<PrefillAnswer>(std::move(aDone), DecodePrefill));
  }

  CallHandle Pull(const std::string& aEngine,
                  const PullCall& aCall,
                  EngineDone<std::monostate> aDone) override
  {
    Json::Value body(Json::objectValue);
    body["from"] = aCall.m_from;
    body["export"] = aCall.m_export;
    body["kv_bytes"] = static_cast<Json::UInt64>(aCall.m_kvBytes);
    std::string path =
      "/engine/v1/imports/" + PercentEncode(aCall.m_import, "") + "/pull";
    HttpCall call = Post(aEngine, path, body);
    call.m_headersTimeout = aCall.m_timeout;
    return m_client.FetchWhole(
      std::move(call),
      Decoded<std::monostate>(std::move(aDone), DecodeNothing));
  }

  CallHandle Decode(const std::string& aEngine,
                    const DecodeCall& aCall,
                    std::shared_ptr<TokenSinkI> aSink) override
  {
    Json::Value body(Json::objectValue);
    body["stream"] = ToString(aCall.m_stream);
    body["import"] = aCall.m_import;
    body["prompt_tokens"] = aCall.m_promptTokens;
    body["max_tokens"] = aCall.m_maxTokens;
    body["start"] = static_cast<Json::UInt64>(aCall.m_start);
    body["seed_prompt"] = aCall.m_seedPrompt;
    body["stop"] = Json::Value(Json::arrayValue);
    for (const std::string& stop : aCall.m_stop) {
      body["stop"].append(stop);
    }
    return m_client.Fetch(Post(aEngine, "/engine/v1/streams", body),
                          MakeTokenStream(std::move(aSink)));
  }

  CallHandle Attach(const std::string& aEngine,
                    const AttemptId& aStream,
                    std::uint64_t aFrom,
                    std::shared_ptr<TokenSinkI> aSink) override
  {
    std::string path =
      StreamPath(ToString(aStream)) + "?from=" + std::to_string(aFrom);
    return m_client.Fetch(Get(aEngine, path),
                          MakeTokenStream(std::move(aSink)));
  }

  CallHandle Cancel(const std::string& aEngine,
                    const std::string& aStream,
                    EngineDone<std::monostate> aDone) override
  {
    HttpCall call{ .m_method = "DELETE",
                   .m_address = aEngine,
                   .m_path = StreamPath(aStream),
                   .m_headersTimeout = kCancelTimeout };
    return m_client.FetchWhole(
      std::move(call),
      Decoded<std::monostate>(std::move(aDone), DecodeNothing));
  }

  CallHandle List(const std::string& aEngine,
                  EngineDone<std::vector<EngineHolding>> aDone) override
  {
    return m_client.FetchWhole(
      Get(aEngine, "/engine/v1/streams"),
      Decoded<std::vector<EngineHolding>>(std::move(aDone), DecodeList));
  }

  CallHandle Load(const std::string& aEngine,
                  EngineDone<LoadReport> aDone) override
  {
    HttpCall call = Get(aEngine, "/engine/v1/load");
    call.m_headersTimeout = kLoadReportTimeout;
    return m_client.FetchWhole(
      std::move(call), Decoded<LoadReport>(std::move(aDone), DecodeLoad));
  }

  CallHandle ReadCacheEvents(const std::string& aEngine,
                             std::uint64_t aAfter,
                             EngineDone<EngineCacheEvents> aDone) override
  {
    return m_client.FetchWhole(
      Get(aEngine, "/engine/v1/cache-events?after=" + std::to_string(aAfter)),
      Decoded<EngineCacheEvents>(std::move(aDone), DecodeCacheEvents));
  }

  CallHandle State(const std::string& aEngine,
                   EngineDone<EngineState> aDone) override
  {
    return m_client.FetchWhole(
      Get(aEngine, "/engine/v1/state"),
      Decoded<EngineState>(std::move(aDone), DecodeState));
  }

  CallHandle Order(const std::string& aEngine,
                   const EngineOrder& aOrder,
                   EngineDone<std::monostate> aDone) override
  {
    Json::Value body(Json::objectValue);
    body["fence"] = static_cast<Json::UInt64>(aOrder.m_fence);
    body["order"] = aOrder.m_order;
    body["model"] = aOrder.m_model;
    body["version"] = aOrder.m_version;
    body["adapter"] = aOrder.m_adapter;
    body["role"] = std::string(ToString(aOrder.m_role));
    return m_client.FetchWhole(
      Post(aEngine, "/engine/v1/orders", body),
      Decoded<std::monostate>(std::move(aDone), DecodeNothing));
  }

private:
  HttpClientI& m_client;
};

} // namespace

std::unique_ptr<EngineI>
MakeHttpEngine(HttpClientI& aClient)
{
  return std::make_unique<HttpEngine>(aClient);
}

} // namespace shallotford
