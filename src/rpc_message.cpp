/// Serializes and parses JSON-RPC 2.0 requests and replies.

#include "shallotford/rpc.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>
#include <utility>

namespace shallotford {

namespace {

Json::Value
ParseStrictly(const std::string& aBody)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string problems;
  try {
    const char* end = aBody.data() + aBody.size();
    if (reader->parse(aBody.data(), end, &value, &problems)) {
      return value;
    }
  } catch (const Json::Exception& error) {
    problems = error.what(); // the text is nested too deeply
  }
  throw RpcError(kRpcParseError, "the reply is not JSON: " + problems);
}

std::string
Write(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

Json::Value
Envelope(const Json::Value& aId)
{
  Json::Value body(Json::objectValue);
  body["jsonrpc"] = "2.0";
  body["id"] = aId;
  return body;
}

[[noreturn]] void
ThrowInvalid(const std::string& aWhat)
{
  throw RpcError(kRpcInvalidRequest, aWhat);
}

[[noreturn]] void
ThrowReplyError(const Json::Value& aError)
{
  if (!aError.isObject() || !aError["code"].isInt() ||
      !aError["message"].isString()) {
    ThrowInvalid("the reply's error has no code and message");
  }
  throw RpcError(
    aError["code"].asInt(), aError["message"].asString(), aError["data"]);
}

} // namespace

RpcError::RpcError(int aCode, const std::string& aMessage, Json::Value aData)
  : std::runtime_error(aMessage)
  , m_code(aCode)
  , m_data(std::move(aData))
{
}

std::string
RpcStringParam(const Json::Value& aParams, const std::string& aName)
{
  if (!aParams.isObject() || !aParams[aName].isString()) {
    throw RpcError(kRpcInvalidParams,
                   "parameter \"" + aName + "\" is missing or not a string");
  }
  return aParams[aName].asString();
}

std::string
RpcRequestBody(const std::string& aMethod,
               const Json::Value& aParams,
               Json::Int64 aId)
{
  Json::Value request = Envelope(aId);
  request["method"] = aMethod;
  if (!aParams.isNull()) {
    request["params"] = aParams;
  }
  return Write(request);
}

RpcCall
ParseRpcCall(const std::string& aBody)
{
  RpcCall call;
  Json::Value body;
  try {
    body = ParseStrictly(aBody);
  } catch (const RpcError&) {
    return call;
  }
  if (!body.isObject() || !body["method"].isString()) {
    return call;
  }
  call.m_method = body["method"].asString();
  call.m_params = body["params"];
  call.m_id = body["id"];
  return call;
}

std::string
RpcResultBody(const Json::Value& aId, const Json::Value& aResult)
{
  Json::Value body = Envelope(aId);
  body["result"] = aResult;
  return Write(body);
}

std::string
RpcErrorBody(const Json::Value& aId, int aCode, const std::string& aMessage)
{
  Json::Value body = Envelope(aId);
  body["error"]["code"] = aCode;
  body["error"]["message"] = aMessage;
  return Write(body);
}

Json::Value
ParseRpcReply(const std::string& aBody, Json::Int64 aId)
{
  const Json::Value reply = ParseStrictly(aBody);
  if (!reply.isObject() || reply["jsonrpc"] != "2.0") {
    ThrowInvalid("the reply is not JSON-RPC 2.0");
  }
  if (reply.isMember("error") && reply["id"].isNull()) {
    ThrowReplyError(reply["error"]); // the request's id could not be read
  }
  if (!reply["id"].isInt64() || reply["id"].asInt64() != aId) {
    ThrowInvalid("the reply is to another request");
  }
  if (reply.isMember("error")) {
    ThrowReplyError(reply["error"]);
  }
  if (!reply.isMember("result")) {
    ThrowInvalid("the reply has neither result nor error");
  }
  return reply["result"];
}

} // namespace shallotford
