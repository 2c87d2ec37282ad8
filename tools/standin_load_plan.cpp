/// What the load generator sends, as a function of its seed.

#include "standin_load.h"
#include "standin_text.h"

#include <cmath>

namespace shallotford::standin {

namespace {

constexpr std::uint32_t kLeastPromptTokens = 10;

/// Returns words that only aName's prompt has.
std::string
Words(const std::string& aName, std::uint32_t aCount)
{
  std::string text;
  for (std::uint32_t i = 0; i < aCount; ++i) {
    text += aName + "w" + std::to_string(i) + " ";
  }
  return text;
}

CallKind
PickKind(const LoadOptions& aOptions, RandomI& aRandom)
{
  double kind = aRandom.Unit();
  if (kind < aOptions.m_nonRepeatableShare) {
    return CallKind::NonRepeatable;
  }
  if (kind < aOptions.m_nonRepeatableShare + aOptions.m_serviceShare) {
    return CallKind::Plain;
  }
  if (aRandom.Unit() < aOptions.m_streamShare) {
    return CallKind::ChatStream;
  }
  return aRandom.Unit() < 0.5 ? CallKind::ChatWhole : CallKind::TextWhole;
}

void
PlanPlain(PlannedCall& aCall, const LoadOptions& aOptions)
{
  bool once = aCall.m_kind == CallKind::NonRepeatable;
  aCall.m_path = once ? aOptions.m_nonRepeatablePath : aOptions.m_servicePath;
  aCall.m_key = (once ? "booking-" : "lookup-") +
                std::to_string(aOptions.m_seed) + "-" +
                std::to_string(aCall.m_index);
  Json::Value body(Json::objectValue);
  body["key"] = aCall.m_key;
  aCall.m_body = WriteJson(body);
}

void
PlanModel(PlannedCall& aCall, const LoadOptions& aOptions, RandomI& aRandom)
{
  double spread =
    static_cast<double>(aOptions.m_promptTokens) / kLeastPromptTokens;
  // Evenly over the orders of magnitude: many short prompts, few long ones.
  auto length = static_cast<std::uint32_t>(
    kLeastPromptTokens * std::pow(std::max(spread, 1.0), aRandom.Unit()));
  std::string document =
    "doc" + std::to_string(aRandom.Below(std::max(aOptions.m_documents, 1u)));
  std::string prompt = Words(document, aOptions.m_sharedPromptTokens) +
                       Words("s" + std::to_string(aOptions.m_seed) + "r" +
                               std::to_string(aCall.m_index),
                             length);
  bool isText = aCall.m_kind == CallKind::TextWhole;
  aCall.m_path = isText ? "/v1/completions" : "/v1/chat/completions";
  aCall.m_tokens = static_cast<std::uint32_t>(
    1 + aRandom.Below(std::max(aOptions.m_maxTokens, 1u)));
  std::string seed = Fingerprint(isText ? prompt : "user: " + prompt + "\n");
  aCall.m_expected = GeneratedText(seed, aCall.m_tokens);
  bool cancels = aCall.m_kind == CallKind::ChatStream &&
                 aRandom.Unit() < aOptions.m_cancelShare;
  if (cancels) {
    aCall.m_cancelAfter =
      static_cast<std::uint32_t>(1 + aRandom.Below(aCall.m_tokens));
  }
  Json::Value body(Json::objectValue);
  body["model"] = aOptions.m_model;
  body["max_tokens"] = aCall.m_tokens;
  body["stream"] = aCall.m_kind == CallKind::ChatStream;
  if (isText) {
    body["prompt"] = prompt;
  } else {
    body["messages"][0]["role"] = "user";
    body["messages"][0]["content"] = prompt;
  }
  aCall.m_body = WriteJson(body);
}

} // namespace

std::vector<PlannedCall>
PlanCalls(const LoadOptions& aOptions)
{
  std::unique_ptr<RandomI> random = MakeSeededRandom(aOptions.m_seed);
  std::vector<PlannedCall> calls;
  std::chrono::duration<double> at{ 0 };
  for (std::uint32_t i = 0; i < aOptions.m_requests; ++i) {
    PlannedCall call;
    call.m_index = i;
    at += std::chrono::duration<double>(-std::log(1.0 - random->Unit()) /
                                        aOptions.m_rate);
    call.m_at = std::chrono::duration_cast<Duration>(at);
    call.m_kind = PickKind(aOptions, *random);
    call.m_daemon = i % aOptions.m_daemons.size();
    if (call.m_kind == CallKind::Plain ||
        call.m_kind == CallKind::NonRepeatable) {
      PlanPlain(call, aOptions);
    } else {
      PlanModel(call, aOptions, *random);
    }
    calls.push_back(std::move(call));
  }
  return calls;
}

} // namespace shallotford::standin
