/// Builds the JSON results of the operators' calls.

#include "daemon_operator_json.h"

namespace shallotford {

namespace {

Json::UInt64
Number(std::uint64_t aNumber)
{
  return static_cast<Json::UInt64>(aNumber);
}

Json::Int64
Milliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

Json::Value
ToJson(const AttemptView& aAttempt)
{
  Json::Value value(Json::objectValue);
  value["attempt"] = aAttempt.m_attempt;
  value["prefill"] = aAttempt.m_prefill;
  value["upstream"] = aAttempt.m_upstream;
  value["end"] = aAttempt.m_end;
  return value;
}

Json::Value
ToJson(const RequestView& aRequest)
{
  Json::Value value(Json::objectValue);
  value["request"] = ToString(aRequest.m_id);
  value["service"] = aRequest.m_service;
  value["caller"] = aRequest.m_caller;
  value["state"] = std::string(ToString(aRequest.m_state));
  value["outcome"] = aRequest.m_outcome
                       ? std::string(ToString(*aRequest.m_outcome))
                       : std::string();
  value["reason"] = aRequest.m_reason;
  value["tokens"] = Number(aRequest.m_nextPosition);
  value["age_ms"] = Milliseconds(aRequest.m_age);
  value["attempts"] = Json::Value(Json::arrayValue);
  for (const AttemptView& attempt : aRequest.m_attempts) {
    value["attempts"].append(ToJson(attempt));
  }
  return value;
}

Json::Value
ToJson(const EngineSnapshot& aEngine, const Readbacks& aReadbacks)
{
  Json::Value value(Json::objectValue);
  value["address"] = aEngine.m_address;
  value["role"] = std::string(ToString(aEngine.m_role));
  value["up"] = aEngine.m_up;
  value["leaving"] = aEngine.m_leaving;
  value["running"] = aEngine.m_running;
  value["free_pieces"] = aEngine.m_freePieces;
  value["report_age_ms"] =
    aEngine.m_hasReport ? Json::Value(Json::Int64(aEngine.m_reportAge.count()))
                        : Json::Value();
  auto known = aReadbacks.find(aEngine.m_address);
  if (known != aReadbacks.end()) {
    value["model"] = known->second.m_model;
    value["version"] = known->second.m_version;
    value["fence"] = Number(known->second.m_acceptedFence);
  }
  return value;
}

} // namespace

Json::Value
StatusToJson(const WorkerSnapshot& aSnapshot)
{
  Json::Value status(Json::objectValue);
  status["ready"] = aSnapshot.m_ready;
  status["draining"] = aSnapshot.m_draining;
  status["requests_live"] = Number(aSnapshot.m_live);
  status["requests_opened"] = Number(aSnapshot.m_sums.m_opened);
  Json::Value& ended = status["requests_ended"];
  for (std::size_t i = 0; i < aSnapshot.m_sums.m_ended.size(); ++i) {
    std::string name(ToString(static_cast<Outcome>(i)));
    ended[name] = Number(aSnapshot.m_sums.m_ended.at(i));
  }
  status["retries"] = Number(aSnapshot.m_sums.m_retries);
  status["continued"] = Number(aSnapshot.m_sums.m_continued);
  status["goodput"] = Number(aSnapshot.m_goodput.m_good);
  status["prefill_tokens"] = Number(aSnapshot.m_goodput.m_prefillTokens);
  status["wasted_prefill_tokens"] = Number(aSnapshot.m_goodput.m_wastedTokens);
  status["used_tickets"] = Number(aSnapshot.m_usedTickets);
  status["pending_cancels"] = Number(aSnapshot.m_pendingCancels);
  return status;
}

Json::Value
UpstreamsToJson(const WorkerSnapshot& aSnapshot, const Readbacks& aReadbacks)
{
  Json::Value list(Json::arrayValue);
  for (const EngineSnapshot& engine : aSnapshot.m_engines) {
    list.append(ToJson(engine, aReadbacks));
  }
  Json::Value result(Json::objectValue);
  result["engines"] = list;
  return result;
}

Json::Value
RequestsToJson(const WorkerSnapshot& aSnapshot)
{
  Json::Value list(Json::arrayValue);
  for (const RequestView& request : aSnapshot.m_requests) {
    list.append(ToJson(request));
  }
  Json::Value result(Json::objectValue);
  result["requests"] = list;
  return result;
}

Json::Value
ExplainToJson(const WorkerSnapshot& aSnapshot)
{
  Json::Value result = ToJson(aSnapshot.m_requests.front());
  result["alternatives"] = Json::Value(Json::arrayValue);
  for (const Alternative& alternative : aSnapshot.m_alternatives) {
    Json::Value entry(Json::objectValue);
    entry["prefill"] = alternative.m_prefillEngine;
    entry["decode"] = alternative.m_decodeEngine;
    entry["cost_s"] = alternative.m_cost;
    result["alternatives"].append(entry);
  }
  return result;
}

Json::Value
AuditToJson(const std::vector<AuditEntry>& aEntries, std::uint64_t aDropped)
{
  Json::Value result(Json::objectValue);
  result["dropped"] = Number(aDropped);
  result["entries"] = Json::Value(Json::arrayValue);
  for (const AuditEntry& entry : aEntries) {
    Json::Value value(Json::objectValue);
    value["sequence"] = Number(entry.m_sequence);
    value["kind"] = std::string(ToString(entry.m_kind));
    value["subject"] = entry.m_subject;
    value["change"] = entry.m_change;
    value["cause"] = entry.m_cause;
    value["revision"] = Number(entry.m_revision);
    value["line"] = ToLine(entry);
    result["entries"].append(value);
  }
  return result;
}

Json::Value
MembersToJson(const std::vector<MemberView>& aMembers)
{
  Json::Value list(Json::arrayValue);
  for (const MemberView& member : aMembers) {
    Json::Value value(Json::objectValue);
    value["address"] = member.m_address;
    value["revision"] = Number(member.m_revision);
    value["heard"] = member.m_reachable;
    value["leaving"] = member.m_leaving;
    list.append(value);
  }
  return list;
}

} // namespace shallotford
