/// Requests that a method answers later than RpcServer::Handle() can.

#include "shallotford/rpc.h"

#include <json/reader.h>
#include <json/writer.h>

namespace shallotford {

namespace {

std::string
Write(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, aValue);
}

/// Returns null if aBody is not JSON.
Json::Value
Read(const std::string& aBody)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string problems;
  try {
    bool whole = reader->parse(
      aBody.data(), aBody.data() + aBody.size(), &value, &problems);
    return whole ? value : Json::Value();
  } catch (const Json::Exception&) {
    return Json::Value();
  }
}

Json::Value
Envelope(const Json::Value& aId)
{
  Json::Value body(Json::objectValue);
  body["jsonrpc"] = "2.0";
  body["id"] = aId;
  return body;
}

} // namespace

RpcCall
ParseRpcCall(const std::string& aBody)
{
  RpcCall call;
  Json::Value body = Read(aBody);
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

} // namespace shallotford
