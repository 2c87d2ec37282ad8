/// Parses model requests and writes their answers in the format of the OpenAI
/// API.

#include "daemon_openai.h"

#include "config.h"

#include <json/writer.h>

namespace shallotford {

namespace {

constexpr std::string_view kSpaces = " \t\r\n";

[[noreturn]] void
ThrowField(const std::string& aField, const std::string& aProblem)
{
  throw Error(ErrorKind::InvalidRequest,
              "field \"" + aField + "\" " + aProblem,
              "Correct the field as the OpenAI API describes it and send the "
              "request again.");
}

std::string
RequiredString(const Json::Value& aBody, const char* aField)
{
  const Json::Value& value = aBody[aField];
  if (value.isNull()) {
    ThrowField(aField, "is missing");
  }
  if (!value.isString() || value.asString().empty()) {
    ThrowField(aField, "must be a non-empty string");
  }
  return value.asString();
}

bool
OptionalBool(const Json::Value& aBody, const char* aField)
{
  const Json::Value& value = aBody[aField];
  if (value.isNull()) {
    return false;
  }
  if (!value.isBool()) {
    ThrowField(aField, "must be true or false");
  }
  return value.asBool();
}

/// Returns the text of a message's content: a string or a list of text parts.
std::string
ContentText(const Json::Value& aContent, const std::string& aField)
{
  if (aContent.isString()) {
    return aContent.asString();
  }
  if (!aContent.isArray()) {
    ThrowField(aField, "must be a string or a list of text parts");
  }
  std::string text;
  for (const Json::Value& part : aContent) {
    if (!part.isObject() || !part["text"].isString()) {
      ThrowField(aField, "holds a part that is not text");
    }
    text += part["text"].asString();
  }
  return text;
}

std::string
ChatPrompt(const Json::Value& aBody)
{
  const Json::Value& messages = aBody["messages"];
  if (!messages.isArray() || messages.empty()) {
    ThrowField("messages", "must be a non-empty list");
  }
  std::string prompt;
  for (Json::ArrayIndex i = 0; i < messages.size(); ++i) {
    const Json::Value& message = messages[i];
    std::string field = "messages[" + std::to_string(i) + "]";
    if (!message.isObject()) {
      ThrowField(field, "must be an object");
    }
    if (!message["role"].isString()) {
      ThrowField(field + ".role", "must be a string");
    }
    prompt += message["role"].asString();
    prompt += ": ";
    prompt += ContentText(message["content"], field + ".content");
    prompt += '\n';
  }
  return prompt;
}

std::uint32_t
MaxTokens(const Json::Value& aBody)
{
  const char* field = aBody.isMember("max_completion_tokens")
                        ? "max_completion_tokens"
                        : "max_tokens";
  const Json::Value& value = aBody[field];
  if (value.isNull()) {
    return 0;
  }
  if (!value.isUInt() || value.asUInt() == 0) {
    ThrowField(field, "must be a whole number above 0");
  }
  return value.asUInt();
}

std::vector<std::string>
StopTexts(const Json::Value& aStop)
{
  if (aStop.isNull()) {
    return {};
  }
  if (aStop.isString()) {
    return { aStop.asString() };
  }
  if (!aStop.isArray()) {
    ThrowField("stop", "must be a string or a list of strings");
  }
  std::vector<std::string> texts;
  for (const Json::Value& text : aStop) {
    if (!text.isString()) {
      ThrowField("stop", "must be a string or a list of strings");
    }
    texts.push_back(text.asString());
  }
  return texts;
}

void
CheckSingleChoice(const Json::Value& aBody)
{
  const Json::Value& choices = aBody["n"];
  if (choices.isNull()) {
    return;
  }
  if (!choices.isInt() || choices.asInt() != 1) {
    ThrowField("n", "must be 1");
  }
}

void
AppendEvent(std::string& aOut,
            std::string_view aEventId,
            std::string_view aData)
{
  if (!aEventId.empty()) {
    aOut += "id: ";
    aOut += aEventId;
    aOut += '\n';
  }
  aOut += "data: ";
  aOut += aData;
  aOut += "\n\n";
}

/// Appends aText as a JSON string with its quotes.
void
AppendJsonString(std::string& aOut, std::string_view aText)
{
  bool plain = true;
  for (char c : aText) {
    auto byte = static_cast<unsigned char>(c);
    plain = plain && byte >= 0x20 && byte < 0x7f && c != '"' && c != '\\';
  }
  if (!plain) {
    aOut += WriteJson(Json::Value(std::string(aText)));
    return;
  }
  aOut += '"';
  aOut += aText;
  aOut += '"';
}

Json::Value
Usage(std::uint64_t aPromptTokens, std::uint64_t aOutputTokens)
{
  Json::Value usage(Json::objectValue);
  usage["prompt_tokens"] = static_cast<Json::UInt64>(aPromptTokens);
  usage["completion_tokens"] = static_cast<Json::UInt64>(aOutputTokens);
  usage["total_tokens"] =
    static_cast<Json::UInt64>(aPromptTokens + aOutputTokens);
  return usage;
}

const char*
ChunkObject(CompletionKind aKind)
{
  return aKind == CompletionKind::Chat ? "chat.completion.chunk"
                                       : "text_completion";
}

} // namespace

ModelCall
ParseModelCall(CompletionKind aKind, const std::string& aBody)
{
  Json::Value body = ParseJson(aBody);
  if (!body.isObject()) {
    throw Error(ErrorKind::InvalidRequest,
                "the body is not a JSON object",
                "Send an object with \"model\" and the prompt.");
  }
  ModelCall call;
  call.m_kind = aKind;
  call.m_model = RequiredString(body, "model");
  call.m_prompt = aKind == CompletionKind::Chat
                    ? ChatPrompt(body)
                    : RequiredString(body, "prompt");
  call.m_stream = OptionalBool(body, "stream");
  call.m_maxTokens = MaxTokens(body);
  call.m_stop = StopTexts(body["stop"]);
  CheckSingleChoice(body);
  const Json::Value& options = body["stream_options"];
  if (!options.isNull()) {
    if (!options.isObject()) {
      ThrowField("stream_options", "must be an object");
    }
    call.m_includeUsage = OptionalBool(options, "include_usage");
  }
  if (body.isMember("adapter")) {
    call.m_adapter = RequiredString(body, "adapter");
  }
  return call;
}

std::uint32_t
EstimateTokens(std::string_view aText)
{
  std::uint32_t words = 0;
  bool inside = false;
  for (char c : aText) {
    bool space = kSpaces.find(c) != std::string_view::npos;
    if (!space && !inside) {
      ++words;
    }
    inside = !space;
  }
  return words;
}

std::vector<std::string>
PrefixFingerprints(std::string_view aPrompt)
{
  std::vector<std::string> prefixes;
  std::uint32_t words = 0;
  bool inside = false;
  for (std::size_t i = 0; i < aPrompt.size(); ++i) {
    bool space = kSpaces.find(aPrompt[i]) != std::string_view::npos;
    if (!space && !inside) {
      ++words;
    }
    bool endsWord = space && inside;
    inside = !space;
    if (endsWord && words % kKvPieceTokens == 0) {
      prefixes.push_back(Fingerprint(aPrompt.substr(0, i)));
    }
  }
  if (inside && words > 0 && words % kKvPieceTokens == 0) {
    prefixes.push_back(Fingerprint(aPrompt));
  }
  return prefixes;
}

CompletionWriter::CompletionWriter(CompletionKind aKind,
                                   const std::string& aId,
                                   const std::string& aModel,
                                   std::chrono::seconds aCreated)
  : m_kind(aKind)
  , m_id(aId)
  , m_model(aModel)
  , m_created(aCreated)
{
  m_tokenHead = "{\"id\":" + WriteJson(Json::Value(m_id)) + ",\"object\":\"" +
                ChunkObject(m_kind) +
                "\",\"created\":" + std::to_string(m_created.count()) +
                ",\"model\":" + WriteJson(Json::Value(m_model)) +
                ",\"choices\":[{\"index\":0,";
  m_tokenHead +=
    m_kind == CompletionKind::Chat ? "\"delta\":{\"content\":" : "\"text\":";
  m_tokenTail = m_kind == CompletionKind::Chat
                  ? "},\"finish_reason\":null}]}\n\n"
                  : ",\"finish_reason\":null}]}\n\n";
}

Json::Value
CompletionWriter::Frame(const char* aObject) const
{
  Json::Value frame(Json::objectValue);
  frame["id"] = m_id;
  frame["object"] = aObject;
  frame["created"] = static_cast<Json::Int64>(m_created.count());
  frame["model"] = m_model;
  frame["choices"] = Json::Value(Json::arrayValue);
  return frame;
}

void
CompletionWriter::AppendOpening(std::string& aOut) const
{
  if (m_kind != CompletionKind::Chat) {
    return;
  }
  Json::Value frame = Frame("chat.completion.chunk");
  Json::Value choice(Json::objectValue);
  choice["index"] = 0;
  choice["delta"]["role"] = "assistant";
  choice["delta"]["content"] = "";
  choice["finish_reason"] = Json::Value();
  frame["choices"].append(choice);
  AppendEvent(aOut, "", WriteJson(frame));
}

void
CompletionWriter::AppendToken(std::string& aOut,
                              std::string_view aEventId,
                              std::string_view aText) const
{
  aOut += "id: ";
  aOut += aEventId;
  aOut += "\ndata: ";
  aOut += m_tokenHead;
  AppendJsonString(aOut, aText);
  aOut += m_tokenTail;
}

void
CompletionWriter::AppendClosing(std::string& aOut,
                                std::string_view aEventId,
                                const std::string& aReason,
                                bool aUsage,
                                std::uint64_t aPromptTokens,
                                std::uint64_t aOutputTokens) const
{
  Json::Value frame = Frame(ChunkObject(m_kind));
  Json::Value choice(Json::objectValue);
  choice["index"] = 0;
  choice["finish_reason"] = aReason;
  if (m_kind == CompletionKind::Chat) {
    choice["delta"] = Json::Value(Json::objectValue);
  } else {
    choice["text"] = "";
  }
  frame["choices"].append(choice);
  AppendEvent(aOut, aEventId, WriteJson(frame));
  if (aUsage) {
    Json::Value usage = Frame(ChunkObject(m_kind));
    usage["usage"] = Usage(aPromptTokens, aOutputTokens);
    AppendEvent(aOut, "", WriteJson(usage));
  }
  AppendEvent(aOut, "", "[DONE]");
}

void
CompletionWriter::AppendError(std::string& aOut, const Error& aError)
{
  AppendEvent(aOut, "", ErrorBody(aError));
}

std::string
CompletionWriter::Whole(const std::string& aText,
                        const std::string& aReason,
                        std::uint64_t aPromptTokens,
                        std::uint64_t aOutputTokens) const
{
  bool chat = m_kind == CompletionKind::Chat;
  Json::Value frame = Frame(chat ? "chat.completion" : "text_completion");
  Json::Value choice(Json::objectValue);
  choice["index"] = 0;
  choice["finish_reason"] = aReason;
  if (chat) {
    choice["message"]["role"] = "assistant";
    choice["message"]["content"] = aText;
  } else {
    choice["text"] = aText;
  }
  frame["choices"].append(choice);
  frame["usage"] = Usage(aPromptTokens, aOutputTokens);
  return WriteJson(frame);
}

std::string
ModelListBody(const FleetText& aFleet)
{
  Json::Value body(Json::objectValue);
  body["object"] = "list";
  body["data"] = Json::Value(Json::arrayValue);
  for (const ModelEntry& model : aFleet.m_models) {
    Json::Value entry(Json::objectValue);
    entry["id"] = model.m_name;
    entry["object"] = "model";
    entry["created"] = 0;
    entry["owned_by"] = "operators";
    body["data"].append(entry);
  }
  return WriteJson(body);
}

} // namespace shallotford
