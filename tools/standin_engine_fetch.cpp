/// What the stand-in engine fetches: KV caches from other engines and weights
/// from the platform.

#include "standin_engine.h"

namespace shallotford::standin {

namespace {

constexpr std::chrono::milliseconds kWeightsRetry{ 1'000 };
constexpr std::chrono::minutes kWeightsTimeout{ 10 };

} // namespace

void
EngineServer::StartPull(const Exchange& aExchange,
                        const std::string& aImport,
                        const Json::Value& aBody)
{
  const Holding* holding = m_model.FindImport(aImport);
  if (!holding) {
    RespondReason(aExchange, 404, "import");
    return;
  }
  if (holding->m_filled) {
    RespondReason(aExchange, 200, "");
    return;
  }
  auto pull = std::make_shared<Pull>();
  pull->m_exchange = aExchange;
  pull->m_import = aImport;
  pull->m_from = aBody["from"].asString();
  pull->m_export = aBody["export"].asString();
  pull->m_bytes = aBody["kv_bytes"].asUInt64();
  HttpCall call;
  call.m_address = pull->m_from;
  call.m_path = "/engine/v1/exports/" + PercentEncode(pull->m_export);
  m_calls.Send(std::move(call), [this, pull](const HttpResult& aResult) {
    if (!aResult.m_reply || aResult.m_reply->m_status != 200) {
      RespondReason(pull->m_exchange, 410, "export");
      return;
    }
    Json::Value content = ParseJson(aResult.m_reply->m_body);
    pull->m_content = { content["prompt_fingerprint"].asString(),
                        content["prompt_tokens"].asUInt(),
                        content["crash_decode"].asBool() };
    Transfer(pull);
  });
}

void
EngineServer::Transfer(const PullPtr& aPull)
{
  if (m_random->Unit() < m_settings.m_stallRate) {
    m_loop.RunAfter(m_settings.m_stall,
                    [this, aPull] { EndPull(aPull, false); });
    return;
  }
  m_transfers[m_link.Add(m_loop.Now(), aPull->m_bytes)] = aPull;
  Pump();
}

void
EngineServer::EndPull(const PullPtr& aPull, bool aWhole)
{
  bool fills = aWhole && m_model.FindImport(aPull->m_import) != nullptr;
  HttpCall call;
  call.m_method = "DELETE";
  call.m_address = aPull->m_from;
  call.m_path = "/engine/v1/exports/" + PercentEncode(aPull->m_export) +
                (fills ? "?whole=1" : "?whole=0");
  m_calls.Send(
    std::move(call), [this, aPull, aWhole](const HttpResult& aResult) {
      Pump();
      bool released = aResult.m_reply && aResult.m_reply->m_status == 200;
      if (!aWhole) {
        RespondReason(aPull->m_exchange, 504, "stalled");
      } else if (!released) {
        RespondReason(aPull->m_exchange, 410, "export");
      } else if (!m_model.FillImport(
                   m_loop.Now(), aPull->m_import, aPull->m_content)) {
        RespondReason(aPull->m_exchange, 404, "import");
      } else {
        RespondReason(aPull->m_exchange, 200, "");
      }
      Pump();
    });
}

void
EngineServer::FetchWeights()
{
  OrderRequest order = m_model.LoadOrder();
  HttpCall call;
  call.m_address = m_settings.m_platform;
  call.m_path = "/weights/" + PercentEncode(order.m_model) + "/" +
                PercentEncode(order.m_version);
  call.m_headersTimeout = kWeightsTimeout;
  m_calls.Send(std::move(call), [this](const HttpResult& aResult) {
    if (aResult.m_reply && aResult.m_reply->m_status == 200) {
      m_model.FinishLoad(m_loop.Now());
      return;
    }
    m_loop.RunAfter(kWeightsRetry, [this] { FetchWeights(); });
  });
}

} // namespace shallotford::standin
