/// Stand-ins of the users' platform for tests: its metadata store and its
/// servers.

#include "standin_published.h"

namespace shallotford::standin {

namespace {

const std::string kRequestId = "X-Shallotford-Request-Id";

/// Returns a number from the query of a request target, or 0 if it is missing.
std::uint64_t
QueryNumber(const std::string& aTarget, const std::string& aName)
{
  std::size_t at = aTarget.find(aName + "=");
  return at == std::string::npos
           ? 0
           : std::stoull(aTarget.substr(at + aName.size() + 1));
}

/// Beyond what a refresh waits for an answer, below the timeout of a watch.
constexpr std::chrono::milliseconds kLateness{ 600 };

} // namespace

PublishedPort::PublishedPort(LoopI& aLoop)
  : m_listener(std::make_unique<CallerListener>(
      aLoop,
      StreamListenerOptions{ .m_address = "127.0.0.1:0" },
      *this))
{
}

PublishedPort::~PublishedPort() = default;

std::string
PublishedPort::Address() const
{
  return "127.0.0.1:" + std::to_string(m_listener->Port());
}

// ----------------------------------------------------------------- store

PublishedStore::PublishedStore(LoopI& aLoop)
  : PublishedPort(aLoop)
  , m_loop(aLoop)
{
}

PublishedStore::~PublishedStore()
{
  for (const Watch& watch : m_watches) {
    m_loop.CancelTimer(watch.m_timer);
  }
}

void
PublishedStore::Put(const std::string& aKey, const std::string& aValue)
{
  Add({ .m_key = aKey, .m_value = aValue });
}

void
PublishedStore::Remove(const std::string& aKey)
{
  Add({ .m_key = aKey, .m_removed = true });
}

void
PublishedStore::Add(const DirectoryItem& aItem)
{
  auto last = std::find_if(
    m_history.rbegin(), m_history.rend(), [&](const DirectoryItem& aOther) {
      return aOther.m_key == aItem.m_key;
    });
  bool existed = last != m_history.rend() && !last->m_removed;
  m_history.push_back(aItem);
  m_history.back().m_revision = ++m_revision;
  m_history.back().m_created = !aItem.m_removed && !existed;
  AnswerWatches();
}

void
PublishedStore::GoBackTo(std::uint64_t aRevision)
{
  ++m_era;
  std::erase_if(m_history, [&](const DirectoryItem& aItem) {
    return aItem.m_revision > aRevision;
  });
  m_revision = aRevision;
  m_discardedUpTo = std::min(m_discardedUpTo, aRevision);
  for (const Watch& watch : std::exchange(m_watches, {})) {
    m_loop.CancelTimer(watch.m_timer);
    RespondGone(*watch.m_exchange);
  }
}

Json::Value
PublishedStore::ToJson(const DirectoryItem& aItem) const
{
  Json::Value value(Json::objectValue);
  value["key"] = aItem.m_key;
  value["revision"] = static_cast<Json::UInt64>(aItem.m_revision);
  if (aItem.m_removed) {
    value["removed"] = true;
  } else {
    bool isGarbled = m_fault == StoreFault::Garbled;
    value["value"] = isGarbled ? "%" : EncodeBase64(aItem.m_value);
    if (aItem.m_created) {
      value["create-rev"] = value["revision"];
    }
  }
  return value;
}

HttpHeaders
PublishedStore::EraField() const
{
  return { { "Store-Era", std::to_string(m_era) } };
}

void
PublishedStore::Respond(CallerExchangeI& aExchange,
                        const Json::Value& aBody) const
{
  HttpHeaders fields = EraField();
  fields.push_back({ "Content-Type", "application/json" });
  aExchange.Respond(200, "OK", fields, WriteJson(aBody));
}

void
PublishedStore::RespondGone(CallerExchangeI& aExchange) const
{
  aExchange.Respond(410, "Gone", EraField(), "");
}

void
PublishedStore::OnRequest(CallerExchangePtr aExchange, CallerRequest aRequest)
{
  ++m_calls;
  const std::string& target = aRequest.m_head.m_target;
  if (m_fault == StoreFault::NoAnswer) {
    return;
  }
  if (m_fault == StoreFault::Unavailable) {
    aExchange->Respond(503, "Service Unavailable", EraField(), "");
    return;
  }
  if (m_fault == StoreFault::Late) {
    m_loop.RunAfter(
      kLateness,
      [this, aExchange, target, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired()) {
          Answer(aExchange, target);
        }
      });
    return;
  }
  Answer(aExchange, target);
}

void
PublishedStore::Answer(const CallerExchangePtr& aExchange,
                       const std::string& aTarget)
{
  if (aTarget.starts_with("/api/kv-range")) {
    OnRange(aExchange);
    return;
  }
  if (m_fault == StoreFault::Compacted) {
    m_fault = StoreFault::None;
    RespondGone(*aExchange);
    return;
  }
  OnWatch(aExchange, aTarget);
}

void
PublishedStore::OnRange(const CallerExchangePtr& aExchange)
{
  std::map<std::string, DirectoryItem> newest;
  for (const DirectoryItem& item : m_history) {
    newest[item.m_key] = item;
  }
  Json::Value body(Json::objectValue);
  body["items"] = Json::Value(Json::arrayValue);
  for (const auto& [key, item] : newest) {
    if (!item.m_removed) {
      body["items"].append(ToJson(item));
    }
  }
  body["truncated"] = false;
  body["current-rev"] = static_cast<Json::UInt64>(m_revision);
  Respond(*aExchange, body);
}

void
PublishedStore::OnWatch(const CallerExchangePtr& aExchange,
                        const std::string& aTarget)
{
  Watch watch{ .m_exchange = aExchange,
               .m_after = QueryNumber(aTarget, "after"),
               .m_timer = 0 };
  if (watch.m_after < m_discardedUpTo || watch.m_after > m_revision) {
    RespondGone(*aExchange);
    return;
  }
  if (watch.m_after < m_revision) {
    AnswerWatch(watch);
    return;
  }
  std::chrono::milliseconds wait(QueryNumber(aTarget, "wait-ms"));
  watch.m_timer = m_loop.RunAfter(wait, [this] { AnswerWatches(); });
  m_watches.push_back(watch);
}

void
PublishedStore::DiscardHistory()
{
  m_discardedUpTo = m_revision;
}

void
PublishedStore::AnswerWatches()
{
  for (const Watch& watch : std::exchange(m_watches, {})) {
    m_loop.CancelTimer(watch.m_timer);
    AnswerWatch(watch);
  }
}

void
PublishedStore::AnswerWatch(const Watch& aWatch)
{
  Json::Value body(Json::objectValue);
  body["events"] = Json::Value(Json::arrayValue);
  for (const DirectoryItem& item : m_history) {
    if (item.m_revision > aWatch.m_after) {
      body["events"].append(ToJson(item));
    }
  }
  body["current-rev"] = static_cast<Json::UInt64>(m_revision);
  Respond(*aWatch.m_exchange, body);
}

// --------------------------------------------------------------- servers

PublishedServer::PublishedServer(LoopI& aLoop, std::string aId)
  : PublishedPort(aLoop)
  , m_id(std::move(aId))
{
}

std::string
PublishedServer::Entry(const std::string& aService,
                       const std::string& aStage,
                       bool aDraining) const
{
  Json::Value entry(Json::objectValue);
  entry["service"] = aService;
  entry["address"] = Address();
  entry["zone"] = "z1";
  entry["slots"] = 8;
  entry["state"] = aDraining ? "draining" : "ready";
  entry["born"] = static_cast<Json::UInt64>(m_startedMs);
  entry["seq"] = 1;
  entry["version"] = m_softwareVersion;
  if (!aStage.empty()) {
    entry["stage"] = aStage;
  }
  return WriteJson(entry);
}

void
PublishedServer::OnRequest(CallerExchangePtr aExchange, CallerRequest aRequest)
{
  const HttpHeaders& fields = aRequest.m_head.m_fields;
  const std::string* id = FindField(fields, kRequestId);
  const std::string* expected =
    FindField(fields, "X-Shallotford-Expect-Instance");
  PublishedCall call{ .m_exchange = std::move(aExchange),
                      .m_request = aRequest,
                      .m_id = id == nullptr ? "" : *id };
  call.m_prefill = FindField(fields, "X-Shallotford-Stage") != nullptr;
  call.m_reserve = aRequest.m_head.m_target == "/api/hold-take";
  m_received.push_back(std::move(aRequest));
  if (expected != nullptr && *expected != m_id) {
    call.m_exchange->Respond(421, "Misdirected Request", WithState({}), "");
    return;
  }
  if (m_script && m_script(call)) {
    return;
  }
  AnswerNormally(call);
}

void
PublishedServer::AnswerNormally(const PublishedCall& aCall)
{
  if (aCall.m_reserve) {
    aCall.m_exchange->Respond(200, "OK", WithState({}), R"({"hold":"h1"})");
    return;
  }
  if (aCall.m_prefill) {
    aCall.m_exchange->Respond(
      200, "OK", WithState({}), R"({"handle":"k1","tokens":1,"version":1})");
    return;
  }
  if (aCall.m_request.m_head.m_method == "DELETE") {
    aCall.m_exchange->Respond(200, "OK", WithState({}), "");
    return;
  }
  ++m_runs[aCall.m_id];
  aCall.m_exchange->Respond(200,
                            "OK",
                            WithState(SignedFields(aCall)),
                            m_id + " " + *aCall.m_request.m_body);
}

HttpHeaders
PublishedServer::WithState(HttpHeaders aFields) const
{
  if (m_leaving) {
    aFields.push_back({ "Server-Leaving", "1" });
  }
  return aFields;
}

void
PublishedServer::AnswerNotRun(const PublishedCall& aCall)
{
  aCall.m_exchange->Respond(
    503,
    "Service Unavailable",
    { { kRequestId, aCall.m_id }, { "X-Shallotford-Not-Executed", "1" } },
    "");
}

void
PublishedServer::BeginStream(const PublishedCall& aCall)
{
  ++m_runs[aCall.m_id];
  HttpHeaders fields = WithState(SignedFields(aCall));
  fields.push_back({ "Content-Type", "text/event-stream" });
  aCall.m_exchange->Begin(200, "OK", fields);
}

HttpHeaders
PublishedServer::SignedFields(const PublishedCall& aCall)
{
  return { { kRequestId, aCall.m_id },
           { "X-Shallotford-Response-Signature", "mark-" + aCall.m_id } };
}

} // namespace shallotford::standin
