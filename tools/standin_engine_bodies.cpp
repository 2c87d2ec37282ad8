/// The stand-in engine's settings by name, orders, and JSON reports.

#include "standin_engine.h"

#include <array>
#include <utility>

namespace shallotford::standin {

namespace {

constexpr std::array<std::pair<std::string_view, OrderKind>, 6> kOrders = { {
  { "load_model", OrderKind::LoadModel },
  { "load_adapter", OrderKind::LoadAdapter },
  { "unload_adapter", OrderKind::UnloadAdapter },
  { "set_role", OrderKind::SetRole },
  { "drain", OrderKind::Drain },
  { "resume", OrderKind::Resume },
} };

EngineRole
RoleOf(const std::string& aName)
{
  if (aName == "prefill") {
    return EngineRole::Prefill;
  }
  if (aName == "decode") {
    return EngineRole::Decode;
  }
  throw Error(ErrorKind::InvalidConfig,
              "unknown role \"" + aName + "\"",
              "Use \"prefill\" or \"decode\".");
}

Json::Int64
Milliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

/// Returns a count as JSON.
Json::Value
Count(std::uint64_t aCount)
{
  return static_cast<Json::UInt64>(aCount);
}

} // namespace

NamedSettings
NamesOf(EngineSettings& aSettings)
{
  EngineModelOptions& model = aSettings.m_model;
  NamedSettings names;
  names.Add("listen", aSettings.m_listen);
  names.Add("platform", aSettings.m_platform);
  names.Add("role", NamedSettings::Setter([&model](const Json::Value& aValue) {
              model.m_role = RoleOf(aValue.asString());
            }));
  names.Add("model", model.m_model);
  names.Add("version", model.m_version);
  names.Add("batch_limit", model.m_batchLimit);
  names.Add("kv_pieces", model.m_kvPieces);
  names.Add("piece_tokens", model.m_pieceTokens);
  names.Add("prefill_tokens_per_second", model.m_prefillTokensPerSecond);
  names.Add("decode_step_us", model.m_decodeStep);
  names.Add("decode_step_per_stream_us", model.m_decodeStepPerStream);
  names.Add("export_lifetime_ms", model.m_exportLifetime);
  names.Add("pull_limit_ms", model.m_pullLimit);
  names.Add("unfilled_import_ms", model.m_unfilledImportLifetime);
  names.Add("done_grace_ms", model.m_doneGrace);
  names.Add("prefix_cache_pieces", model.m_prefixCachePieces);
  names.Add("load_lag_ms", model.m_loadLag);
  names.Add("cache_event_delay_ms", model.m_cacheEventDelay);
  names.Add("cache_event_gap_rate", model.m_cacheEventGapRate);
  names.Add("refuse_import_rate", model.m_refuseImportRate);
  names.Add("checks_fencing", model.m_checksFencing);
  names.Add("weight_bytes", model.m_weightBytes);
  names.Add("weight_bytes_per_second", model.m_weightBytesPerSecond);
  names.Add("seed", model.m_seed);
  names.Add("link_bytes_per_second", aSettings.m_linkBytesPerSecond);
  names.Add("stall_rate", aSettings.m_stallRate);
  names.Add("stall_ms", aSettings.m_stall);
  names.Add("answer_delay_ms", aSettings.m_answerDelay);
  names.Add("poison_word", aSettings.m_poisonWord);
  names.Add("poison_stage", aSettings.m_poisonStage);
  names.Add("leaving", aSettings.m_leaving);
  return names;
}

void
EngineServer::Order(const Exchange& aExchange, const Json::Value& aBody)
{
  OrderRequest order;
  order.m_fence = aBody["fence"].asUInt64();
  order.m_model = aBody["model"].asString();
  order.m_version = aBody["version"].asString();
  order.m_adapter = aBody["adapter"].asString();
  std::string name = aBody["order"].asString();
  auto* kind = std::find_if(kOrders.begin(), kOrders.end(), [&](auto& aRow) {
    return aRow.first == name;
  });
  if (kind == kOrders.end()) {
    RespondReason(aExchange, 400, "order");
    return;
  }
  order.m_kind = kind->second;
  if (order.m_kind == OrderKind::SetRole) {
    order.m_role = RoleOf(aBody["role"].asString());
  }
  Json::Value body(Json::objectValue);
  switch (m_model.Order(m_loop.Now(), order)) {
    case OrderResult::Accepted:
      RespondJson(aExchange, 202, body);
      if (order.m_kind == OrderKind::LoadModel &&
          !m_settings.m_platform.empty()) {
        FetchWeights();
      }
      break;
    case OrderResult::OldFence:
      body["accepted_fence"] = Count(m_model.State().m_acceptedFence);
      RespondJson(aExchange, 409, body);
      break;
    case OrderResult::Busy:
      RespondReason(aExchange, 503, "busy");
      break;
  }
}

Json::Value
EngineServer::StreamList() const
{
  Json::Value streams(Json::arrayValue);
  for (const auto& [stream, holding] : m_model.Holdings()) {
    Json::Value entry(Json::objectValue);
    entry["stream"] = stream;
    entry["state"] = std::string(ToString(holding.m_state));
    entry["pieces"] = holding.m_pieces;
    entry["attached"] = holding.m_attachment != 0;
    entry["age_ms"] = Milliseconds(m_loop.Now() - holding.m_since);
    streams.append(entry);
  }
  Json::Value body(Json::objectValue);
  body["streams"] = streams;
  return body;
}

Json::Value
EngineServer::LoadBody() const
{
  LoadReport load = m_model.Load(m_loop.Now());
  Json::Value body(Json::objectValue);
  body["role"] = std::string(ToString(load.m_role));
  body["model"] = load.m_model;
  body["leaving"] = load.m_leaving;
  body["running"] = load.m_running;
  body["batch_limit"] = load.m_batchLimit;
  body["pieces_total"] = load.m_piecesTotal;
  body["pieces_free"] = load.m_piecesFree;
  body["prefill_queue_tokens"] = Count(load.m_prefillQueueTokens);
  body["age_ms"] = Milliseconds(load.m_age);
  return body;
}

Json::Value
EngineServer::CacheEventsBody(std::uint64_t aAfter) const
{
  CacheEvents events = m_model.CacheEventsAfter(m_loop.Now(), aAfter);
  Json::Value body(Json::objectValue);
  body["events"] = Json::Value(Json::arrayValue);
  for (const CacheEvent& event : events.m_events) {
    Json::Value entry(Json::objectValue);
    entry["seq"] = Count(event.m_seq);
    entry["kind"] = event.m_stored ? "stored" : "evicted";
    entry["prefix"] = event.m_prefix;
    entry["tokens"] = event.m_tokens;
    body["events"].append(entry);
  }
  body["next"] = Count(events.m_next);
  return body;
}

Json::Value
EngineServer::StateBody() const
{
  EngineState state = m_model.State();
  Json::Value body(Json::objectValue);
  body["role"] = std::string(ToString(state.m_role));
  body["model"] = state.m_model;
  body["version"] = state.m_version;
  body["adapters"] = Json::Value(Json::arrayValue);
  for (const std::string& adapter : state.m_adapters) {
    body["adapters"].append(adapter);
  }
  body["accepted_fence"] = Count(state.m_acceptedFence);
  body["checks_fencing"] = state.m_checksFencing;
  body["leaving"] = state.m_leaving;
  body["draining"] = state.m_draining;
  body["busy"] = state.m_busy;
  return body;
}

Json::Value
EngineServer::StatsBody() const
{
  const EngineStats& stats = m_model.Stats();
  Json::Value body = StreamList();
  body["pieces_held"] = m_model.PiecesHeld();
  body["pieces_total"] = m_model.Options().m_kvPieces;
  body["imports_claimed"] = Count(stats.m_importsClaimed);
  body["imports_refused"] = Count(stats.m_importsRefused);
  body["imports_dropped"] = Count(stats.m_importsDropped);
  body["prefills_started"] = Count(stats.m_prefillsStarted);
  body["prefills_done"] = Count(stats.m_prefillsDone);
  body["prefill_tokens_done"] = Count(stats.m_prefillTokensDone);
  body["prefill_tokens_wasted"] = Count(stats.m_prefillTokensWasted);
  body["prefill_tokens_cached"] = Count(stats.m_prefillTokensCached);
  body["pulled_tokens_unused"] = Count(stats.m_pulledTokensUnused);
  body["streams_started"] = Count(stats.m_streamsStarted);
  body["streams_done"] = Count(stats.m_streamsDone);
  body["tokens_generated"] = Count(stats.m_tokensGenerated);
  body["cancels"] = Count(stats.m_cancels);
  body["orders_accepted"] = Count(stats.m_ordersAccepted);
  body["most_held"] = stats.m_mostHeld;
  body["most_pieces"] = stats.m_mostPieces;
  body["most_running"] = stats.m_mostRunning;
  return body;
}

} // namespace shallotford::standin
