/// OrganisationGrants: the calls between VMs for leases.

#include "config.h"
#include "router_grants.h"
#include "shallotford/rpc.h"

#include <cmath>

namespace shallotford {

namespace {

/// Time between the begins of two calls to one owner, in times that the first
/// one took: an owner that all VMs ask at once must not be overloaded.
constexpr int kGrantSpacing = 4;
constexpr std::chrono::milliseconds kMaxGrantSpacing = 200ms;

double
NumberOf(const Json::Value& aValue)
{
  double number = aValue.isNumeric() ? aValue.asDouble() : 0;
  return std::isfinite(number) ? std::max(number, 0.0) : 0;
}

std::chrono::milliseconds
TimeOf(const Json::Value& aValue)
{
  auto longest = static_cast<double>(kMaxGrantRetryAfter.count());
  return std::chrono::milliseconds(
    static_cast<std::int64_t>(std::min(NumberOf(aValue), longest)));
}

Json::Value
ToJson(const LimitAsk& aAsk)
{
  Json::Value json(Json::objectValue);
  json["needed"] = Json::Value(Json::arrayValue);
  for (double cost : aAsk.m_needed) {
    json["needed"].append(cost);
  }
  json["ahead"] = aAsk.m_ahead;
  json["returned"] = aAsk.m_returned;
  json["refused"] = aAsk.m_refused;
  json["demand"] = aAsk.m_perSecond;
  return json;
}

LimitAsk
ToAsk(const std::string& aVm, const Json::Value& aJson)
{
  LimitAsk ask{ .m_vm = aVm,
                .m_ahead = NumberOf(aJson["ahead"]),
                .m_returned = NumberOf(aJson["returned"]),
                .m_refused = NumberOf(aJson["refused"]),
                .m_perSecond = NumberOf(aJson["demand"]) };
  for (const Json::Value& cost : aJson["needed"]) {
    if (ask.m_needed.size() < kMaxGrantRequests) {
      ask.m_needed.push_back(NumberOf(cost));
    }
  }
  return ask;
}

Json::Value
ToJson(const LimitReply& aReply)
{
  Json::Value json(Json::objectValue);
  json["granted"] = aReply.m_granted;
  json["lease_ms"] = static_cast<Json::Int64>(aReply.m_lease.count());
  json["share"] = aReply.m_share;
  json["pause_ms"] = static_cast<Json::Int64>(aReply.m_pause.count());
  json["retry_ms"] = static_cast<Json::Int64>(aReply.m_retryAfter.count());
  return json;
}

LimitReply
ToReply(const Json::Value& aJson)
{
  return { .m_granted = NumberOf(aJson["granted"]),
           .m_lease = std::min(TimeOf(aJson["lease_ms"]), kGrantLease),
           .m_share = std::min(NumberOf(aJson["share"]), 1.0),
           .m_pause = TimeOf(aJson["pause_ms"]),
           .m_retryAfter = TimeOf(aJson["retry_ms"]) };
}

} // namespace

// ---------------------------------------------------------------- issuing

Json::Value
OrganisationGrants::OnAsk(const Json::Value& aParams)
{
  std::string vm = RpcStringParam(aParams, "from");
  const Json::Value& asks = aParams["asks"];
  if (!asks.isObject()) {
    throw RpcError(kRpcInvalidParams, "\"asks\" is no object");
  }
  CheckPause();
  FleetView view = View();
  Json::Value replies(Json::objectValue);
  for (const std::string& name : asks.getMemberNames()) {
    State* state = Find(name);
    if (state == nullptr || !asks[name].isObject()) {
      continue; // this VM's configuration differs
    }
    std::string owner = OwnerOf(name);
    if (owner != m_parts.m_peers.Self()) {
      replies[name]["owner"] = owner;
      continue;
    }
    auto reply = m_issuer.Issue(
      name, state->m_limit, ToAsk(vm, asks[name]), view, m_parts.m_loop.Now());
    if (reply) {
      replies[name] = ToJson(*reply);
    }
  }
  Json::Value result(Json::objectValue);
  result["grants"] = std::move(replies);
  return result;
}

void
OrganisationGrants::IssueOwn(const std::string& aOrganisation, State& aState)
{
  TimePoint now = m_parts.m_loop.Now();
  std::vector<Waiting> waiting = TakeWaiting(aState);
  LimitAsk ask = aState.m_lease.MakeAsk(CostsOf(waiting), now);
  ask.m_vm = m_parts.m_peers.Self();
  auto reply = m_issuer.Issue(aOrganisation, aState.m_limit, ask, View(), now);
  if (reply) {
    End(aOrganisation, std::move(waiting), *reply, now);
  } else {
    EndAlone(aOrganisation, std::move(waiting));
  }
}

// ----------------------------------------------------------------- asking

std::vector<double>
OrganisationGrants::CostsOf(const std::vector<Waiting>& aWaiting)
{
  std::vector<double> costs;
  costs.reserve(aWaiting.size());
  for (const Waiting& request : aWaiting) {
    costs.push_back(request.m_cost);
  }
  return costs;
}

std::vector<OrganisationGrants::Waiting>
OrganisationGrants::TakeWaiting(State& aState)
{
  std::size_t count = std::min(aState.m_waiting.size(), kMaxGrantRequests);
  auto end = aState.m_waiting.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<Waiting> taken(std::make_move_iterator(aState.m_waiting.begin()),
                             std::make_move_iterator(end));
  aState.m_waiting.erase(aState.m_waiting.begin(), end);
  return taken;
}

void
OrganisationGrants::Add(Call& aCall,
                        const std::string& aOrganisation,
                        State& aState)
{
  std::vector<Waiting> waiting = TakeWaiting(aState);
  LimitAsk ask = aState.m_lease.MakeAsk(CostsOf(waiting), m_parts.m_loop.Now());
  aCall.m_params["asks"][aOrganisation] = ToJson(ask);
  aCall.m_redirected =
    aCall.m_redirected || !std::exchange(aState.m_redirected, {}).empty();
  aCall.m_waiting[aOrganisation] = std::move(waiting);
  aState.m_asking = true;
}

void
OrganisationGrants::StartCalls()
{
  std::vector<CallPtr> started;
  std::vector<std::string> own;
  TimePoint now = m_parts.m_loop.Now();
  for (auto name = m_wanting.begin(); name != m_wanting.end();) {
    State* state = Find(*name);
    bool asks = state != nullptr && !state->m_asking;
    if (!asks) {
      name = m_wanting.erase(name); // Retry() looks again after the call
      continue;
    }
    std::string owner =
      state->m_redirected.empty() ? OwnerOf(*name) : state->m_redirected;
    if (owner == m_parts.m_peers.Self()) {
      own.push_back(*name);
      name = m_wanting.erase(name);
      continue;
    }
    auto nextCallAt = m_nextCallAt.find(owner);
    if (nextCallAt != m_nextCallAt.end() && nextCallAt->second > now) {
      StartCallsAt(nextCallAt->second);
      ++name;
      continue;
    }
    auto [entry, isNew] = m_calls.try_emplace(owner);
    if (isNew) {
      entry->second = std::make_shared<Call>();
      entry->second->m_owner = owner;
      entry->second->m_params["from"] = m_parts.m_peers.Self();
      started.push_back(entry->second);
    }
    if (entry->second->m_tries > 0) {
      ++name; // waits for the call under way
      continue;
    }
    Add(*entry->second, *name, *state);
    name = m_wanting.erase(name);
  }
  for (const CallPtr& call : started) {
    Send(call);
  }
  for (const std::string& name : own) {
    State* state = Find(name);
    do {
      IssueOwn(name, *state);
    } while (!state->m_waiting.empty());
    m_wanting.erase(name);
  }
}

void
OrganisationGrants::StartCallsAt(TimePoint aAt)
{
  if (std::exchange(m_startsLater, true)) {
    return;
  }
  m_startTimer = m_parts.m_loop.RunAfter(aAt - m_parts.m_loop.Now(), [this] {
    m_startsLater = false;
    StartCalls();
  });
}

void
OrganisationGrants::Send(const CallPtr& aCall)
{
  ++aCall->m_tries;
  aCall->m_sentAt = m_parts.m_loop.Now();
  auto alive = std::weak_ptr<bool>(m_alive);
  aCall->m_timer = m_parts.m_loop.RunAfter(kGrantTimeout, [this, aCall, alive] {
    if (!alive.expired()) {
      OnTryFailed(aCall, "no answer in time");
    }
  });
  m_parts.m_peerCalls.Call(
    aCall->m_owner,
    kGrantMethod,
    aCall->m_params,
    [this, aCall, sentAt = aCall->m_sentAt, alive](const PeerResult& aResult) {
      if (!alive.expired()) {
        OnResult(aCall, sentAt, aResult);
      }
    });
}

void
OrganisationGrants::OnTryFailed(const CallPtr& aCall,
                                const std::string& aReason)
{
  if (aCall->m_answered) {
    return;
  }
  m_parts.m_loop.CancelTimer(aCall->m_timer);
  if (aCall->m_tries < kMaxGrantTries) {
    // The owner may have got the first try, of which only the reply was lost.
    for (Json::Value& ask : aCall->m_params["asks"]) {
      ask["returned"] = 0.0;
      ask["refused"] = 0.0;
    }
    Send(aCall);
    return;
  }
  m_parts.m_metrics.Count("grant_calls_failed_total", "");
  m_parts.m_log.Write(LogEvent("grant_call_failed", LogLevel::Debug)
                        .Add("owner", aCall->m_owner)
                        .Add("reason", aReason));
  aCall->m_answered = true;
  m_calls.erase(aCall->m_owner);
  for (auto& [name, waiting] : std::exchange(aCall->m_waiting, {})) {
    EndAlone(name, waiting);
  }
  StartCalls();
}

void
OrganisationGrants::OnResult(const CallPtr& aCall,
                             TimePoint aSentAt,
                             const PeerResult& aResult)
{
  const auto* failure = std::get_if<PeerFailure>(&aResult);
  bool isLate = aCall->m_answered;
  if (failure != nullptr) {
    // An earlier try's failure says nothing about the later one.
    if (aSentAt == aCall->m_sentAt) {
      OnTryFailed(aCall, failure->m_reason);
    }
    return;
  }
  const Json::Value& reply = std::get<Json::Value>(aResult);
  if (!reply.isObject() || !reply["grants"].isObject()) {
    OnTryFailed(aCall, "the answer is malformed");
    return;
  }
  if (isLate) {
    TakeLate(reply["grants"], aSentAt);
    return;
  }
  aCall->m_answered = true;
  m_parts.m_loop.CancelTimer(aCall->m_timer);
  m_calls.erase(aCall->m_owner);
  Duration took = m_parts.m_loop.Now() - aSentAt;
  m_nextCallAt[aCall->m_owner] =
    aSentAt + std::min<Duration>(took * kGrantSpacing, kMaxGrantSpacing);
  for (const auto& [name, waiting] : aCall->m_waiting) {
    OnEntry(aCall, aSentAt, name, reply["grants"][name]);
  }
  StartCalls();
}

void
OrganisationGrants::TakeLate(const Json::Value& aGrants, TimePoint aSentAt)
{
  for (const std::string& name : aGrants.getMemberNames()) {
    State* state = Find(name);
    const Json::Value& entry = aGrants[name];
    if (state != nullptr && entry.isObject() && entry.isMember("granted")) {
      state->m_lease.OnReply(ToReply(entry), {}, aSentAt, m_parts.m_loop.Now());
    }
  }
}

void
OrganisationGrants::OnEntry(const CallPtr& aCall,
                            TimePoint aSentAt,
                            const std::string& aOrganisation,
                            const Json::Value& aEntry)
{
  std::vector<Waiting> waiting =
    std::exchange(aCall->m_waiting[aOrganisation], {});
  if (!aEntry.isObject()) {
    EndAlone(aOrganisation, std::move(waiting));
    return;
  }
  if (!aEntry["owner"].isString()) {
    End(aOrganisation, std::move(waiting), ToReply(aEntry), aSentAt);
    return;
  }
  std::string owner = aEntry["owner"].asString();
  State* state = Find(aOrganisation);
  // The VMs differ about the owner if this one is named, or a third one.
  bool follows = state != nullptr && !aCall->m_redirected &&
                 owner != m_parts.m_peers.Self() && owner != aCall->m_owner;
  if (!follows) {
    EndAlone(aOrganisation, std::move(waiting));
    return;
  }
  state->m_asking = false;
  state->m_redirected = owner;
  state->m_waiting.insert(state->m_waiting.begin(),
                          std::make_move_iterator(waiting.begin()),
                          std::make_move_iterator(waiting.end()));
  m_wanting.insert(aOrganisation);
}

void
OrganisationGrants::End(const std::string& aOrganisation,
                        std::vector<Waiting> aWaiting,
                        const LimitReply& aReply,
                        TimePoint aSentAt)
{
  State* state = Find(aOrganisation);
  std::vector<bool> granted(aWaiting.size(), true);
  if (state != nullptr) {
    state->m_asking = false;
    granted = state->m_lease.OnReply(
      aReply, CostsOf(aWaiting), aSentAt, m_parts.m_loop.Now());
  }
  for (std::size_t i = 0; i < aWaiting.size(); ++i) {
    Answer(aOrganisation, aWaiting[i], granted[i]);
  }
  Retry(aOrganisation);
}

void
OrganisationGrants::EndAlone(const std::string& aOrganisation,
                             std::vector<Waiting> aWaiting)
{
  if (State* state = Find(aOrganisation)) {
    state->m_asking = false;
    state->m_lease.OnNoReply(m_parts.m_loop.Now());
    state->m_waiting.insert(state->m_waiting.begin(),
                            std::make_move_iterator(aWaiting.begin()),
                            std::make_move_iterator(aWaiting.end()));
    Retry(aOrganisation);
    return;
  }
  for (const Waiting& request : aWaiting) {
    request.m_done({ .m_granted = true }); // its limit ended meanwhile
  }
}

void
OrganisationGrants::Retry(const std::string& aOrganisation)
{
  State* state = Find(aOrganisation);
  if (state == nullptr) {
    return;
  }
  TimePoint now = m_parts.m_loop.Now();
  FleetView view = View();
  view.m_known = std::max(view.m_known, m_parts.m_minVms);
  std::vector<std::pair<Waiting, bool>> decided;
  std::vector<Waiting> rest;
  for (Waiting& request : std::exchange(state->m_waiting, {})) {
    auto verdict =
      state->m_lease.Take(request.m_cost, state->m_limit, view, now);
    if (verdict == LimitLease::Verdict::Ask) {
      rest.push_back(std::move(request));
    } else {
      decided.emplace_back(std::move(request),
                           verdict == LimitLease::Verdict::Granted);
    }
  }
  state->m_waiting = std::move(rest);
  if (!state->m_waiting.empty()) {
    m_wanting.insert(aOrganisation);
  }
  for (const auto& [request, isGranted] : decided) {
    Answer(aOrganisation, request, isGranted);
  }
}

} // namespace shallotford
