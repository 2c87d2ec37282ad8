/// The stand-in platform's reads, watches and admin calls.

#include "standin_platform.h"

#include <algorithm>

namespace shallotford::standin {

namespace {

constexpr std::uint64_t kMaxWaitMs = 60'000;
/// Pause of a flapping platform before each answer, so that a reader that asks
/// again at once does not spin.
constexpr std::chrono::milliseconds kFlapPause{ 50 };

} // namespace

PlatformServer::PlatformServer(LoopI& aLoop, PlatformOptions aOptions)
  : m_loop(aLoop)
  , m_options(std::move(aOptions))
{
  if (!m_options.m_fleetText.empty()) {
    m_fleet.m_texts.push_back(m_options.m_fleetText);
  }
  if (!m_options.m_vms.empty()) {
    m_vms.m_texts.push_back(m_options.m_vms);
  }
}

void
PlatformServer::OnRequest(Exchange aExchange, HttpRequest aRequest)
{
  std::vector<std::string> path = PathSegments(aRequest.m_path);
  std::string first = path.empty() ? "" : path[0];
  if (first == "admin") {
    Admin(aExchange, aRequest);
    return;
  }
  if (m_mode.m_down) {
    aExchange->Abort();
  } else if (aRequest.m_method != "GET") {
    RespondReason(aExchange, 405, "read only");
  } else if (aRequest.m_path == "/config/fleet") {
    Read(m_fleet, aExchange, aRequest);
  } else if (aRequest.m_path == "/vms") {
    Read(m_vms, aExchange, aRequest);
  } else if (first == "weights") {
    SendWeights(aExchange);
  } else {
    RespondReason(aExchange, 404, "path");
  }
}

void
PlatformServer::Admin(const Exchange& aExchange, const HttpRequest& aRequest)
{
  try {
    if (aRequest.m_path == "/admin/stats") {
      RespondJson(aExchange, 200, StatsBody());
      return;
    }
    if (aRequest.m_path == "/admin/config") {
      Publish(m_fleet, aRequest.m_body);
    } else if (aRequest.m_path == "/admin/vms") {
      ParseJson(aRequest.m_body);
      m_loop.RunAfter(m_mode.m_vmsLag,
                      [this, text = aRequest.m_body] { Publish(m_vms, text); });
    } else if (aRequest.m_path == "/admin/mode") {
      NamedSettings names;
      names.Add("down", m_mode.m_down);
      names.Add("stale_version", m_mode.m_staleVersion);
      names.Add("flap", m_mode.m_flap);
      names.Add("cut", m_mode.m_cut);
      names.Add("vms_lag_ms", m_mode.m_vmsLag);
      names.Apply(ParseJson(aRequest.m_body));
      AnswerWatches(m_fleet);
      AnswerWatches(m_vms);
    } else {
      RespondReason(aExchange, 404, "path");
      return;
    }
  } catch (const std::exception& exception) {
    RespondReason(aExchange, 400, exception.what());
    return;
  }
  Json::Value body(Json::objectValue);
  body["version"] = static_cast<Json::UInt64>(m_fleet.m_texts.size());
  RespondJson(aExchange, 200, body);
}

void
PlatformServer::Publish(Document& aDocument, std::string aText)
{
  aDocument.m_texts.push_back(std::move(aText));
  AnswerWatches(aDocument);
}

std::uint64_t
PlatformServer::ServedVersion(const Document& aDocument)
{
  std::uint64_t newest = aDocument.m_texts.size();
  if (&aDocument != &m_fleet) {
    return newest;
  }
  if (m_mode.m_staleVersion != 0) {
    newest = std::min<std::uint64_t>(newest, m_mode.m_staleVersion);
  }
  if (m_mode.m_flap && newest > 1) {
    m_flapOld = !m_flapOld;
    return m_flapOld ? newest - 1 : newest;
  }
  return newest;
}

void
PlatformServer::Read(Document& aDocument,
                     const Exchange& aExchange,
                     const HttpRequest& aRequest)
{
  ++aDocument.m_calls;
  std::uint64_t after = QueryNumber(aRequest, "after", 0);
  std::uint64_t wait =
    std::min(QueryNumber(aRequest, "wait_ms", 0), kMaxWaitMs);
  std::uint64_t served = ServedVersion(aDocument);
  if (m_mode.m_flap && &aDocument == &m_fleet && served != after) {
    m_loop.RunAfter(kFlapPause, [this, &aDocument, aExchange, served] {
      Serve(aDocument, aExchange, served);
    });
    return;
  }
  if (served > after) {
    Serve(aDocument, aExchange, served);
    return;
  }
  if (wait == 0) {
    aExchange->Respond(204, {}, "");
    return;
  }
  std::uint64_t number = m_nextWatch++;
  TimersI::TimerId timer = m_loop.RunAfter(std::chrono::milliseconds(wait),
                                           [&aDocument, number, aExchange] {
                                             aDocument.m_watches.erase(number);
                                             aExchange->Respond(204, {}, "");
                                           });
  aDocument.m_watches[number] = { aExchange, after, timer };
  aDocument.m_mostWatches =
    std::max(aDocument.m_mostWatches, aDocument.m_watches.size());
  aExchange->OnClosed([this, &aDocument, number] {
    auto watch = aDocument.m_watches.find(number);
    if (watch != aDocument.m_watches.end()) {
      m_loop.CancelTimer(watch->second.m_timer);
      aDocument.m_watches.erase(watch);
    }
  });
}

void
PlatformServer::AnswerWatches(Document& aDocument)
{
  std::vector<std::uint64_t> answered;
  for (const auto& [number, watch] : aDocument.m_watches) {
    if (m_mode.m_down || ServedVersion(aDocument) > watch.m_after) {
      answered.push_back(number);
    }
  }
  for (std::uint64_t number : answered) {
    Document::Watch watch = aDocument.m_watches.at(number);
    aDocument.m_watches.erase(number);
    m_loop.CancelTimer(watch.m_timer);
    if (m_mode.m_down) {
      watch.m_exchange->Abort();
    } else {
      Serve(aDocument, watch.m_exchange, ServedVersion(aDocument));
    }
  }
}

void
PlatformServer::Serve(Document& aDocument,
                      const Exchange& aExchange,
                      std::uint64_t aVersion)
{
  std::string text = aDocument.m_texts.at(aVersion - 1);
  if (&aDocument == &m_vms) {
    Json::Value body(Json::objectValue);
    body["version"] = static_cast<Json::UInt64>(aVersion);
    body["vms"] = ParseJson(text)["vms"];
    text = WriteJson(body);
  } else if (m_mode.m_cut) {
    text.resize(text.size() / 2);
  }
  aExchange->Respond(200,
                     { { "content-type", "application/json" },
                       { "x-version", std::to_string(aVersion) } },
                     text);
}

void
PlatformServer::SendWeights(const Exchange& aExchange)
{
  ++m_weightCalls;
  m_mostWeightsAtOnce = std::max(m_mostWeightsAtOnce, ++m_weightsAtOnce);
  // One after the other at the store's whole rate.
  m_weightsFreeAt = std::max(m_weightsFreeAt, m_loop.Now()) +
                    std::chrono::milliseconds(m_options.m_weightBytes * 1'000 /
                                              m_options.m_weightBytesPerSecond);
  m_loop.RunAfter(m_weightsFreeAt - m_loop.Now(), [this, aExchange] {
    --m_weightsAtOnce;
    Json::Value body(Json::objectValue);
    body["bytes"] = static_cast<Json::UInt64>(m_options.m_weightBytes);
    RespondJson(aExchange, 200, body);
  });
}

Json::Value
PlatformServer::StatsBody() const
{
  Json::Value body(Json::objectValue);
  body["config_calls"] = static_cast<Json::UInt64>(m_fleet.m_calls);
  body["config_version"] = static_cast<Json::UInt64>(m_fleet.m_texts.size());
  body["config_watches"] = static_cast<Json::UInt64>(m_fleet.m_watches.size());
  body["config_most_watches"] =
    static_cast<Json::UInt64>(m_fleet.m_mostWatches);
  body["vms_calls"] = static_cast<Json::UInt64>(m_vms.m_calls);
  body["vms_version"] = static_cast<Json::UInt64>(m_vms.m_texts.size());
  body["weights_calls"] = static_cast<Json::UInt64>(m_weightCalls);
  body["weights_most_at_once"] = m_mostWeightsAtOnce;
  return body;
}

int
RunPlatform(const std::string& aListen,
            const std::string& aFleetFile,
            const std::string& aVmsFile)
{
  PlatformOptions options;
  options.m_fleetText = aFleetFile.empty() ? "" : ReadFile(aFleetFile);
  options.m_vms = aVmsFile.empty() ? "" : ReadFile(aVmsFile);
  if (!options.m_vms.empty()) {
    ParseJson(options.m_vms);
  }
  std::unique_ptr<LoopI> loop = MakeLoop({ .m_name = "platform" });
  PlatformServer server(*loop, std::move(options));
  ServeUntilSignal(*loop, aListen, server);
  return 0;
}

} // namespace shallotford::standin
