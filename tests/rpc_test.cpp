/// Tests the JSON-RPC server and parser: results and errors reach the caller,
/// malformed requests and replies are rejected, and a call over HTTP succeeds.

#define BOOST_TEST_MODULE rpc
#include <boost/test/unit_test.hpp>

#include "net_fixture.h"
#include "shallotford/rpc.h"

using namespace shallotford;
using namespace shallotford::test;

namespace {

void
AddMethods(RpcServer& aServer)
{
  aServer.AddMethod("echo", [](const Json::Value& aParams) { return aParams; });
  aServer.AddMethod("refuse", [](const Json::Value&) -> Json::Value {
    Json::Value data;
    data["remedy"] = "Wait.";
    throw RpcError(kRpcApplicationError, "not now", data);
  });
  aServer.AddMethod("break", [](const Json::Value&) -> Json::Value {
    throw std::runtime_error("a defect");
  });
  aServer.AddMethod("name", [](const Json::Value& aParams) -> Json::Value {
    return RpcStringParam(aParams, "name");
  });
}

/// Returns the error code of the reply to aBody, or 0 if it has none.
int
ReplyErrorCode(RpcServer& aServer, const std::string& aBody)
{
  return ParseJson(aServer.Handle(aBody))["error"]["code"].asInt();
}

/// Returns the error code with which parsing aReply as the reply to request 7
/// fails, or 0 if it succeeds.
int
ReplyParseErrorCode(const std::string& aReply)
{
  try {
    ParseRpcReply(aReply, 7);
  } catch (const RpcError& error) {
    return error.Code();
  }
  return 0;
}

} // namespace

BOOST_AUTO_TEST_CASE(params_and_results_pass_through)
{
  RpcServer server;
  AddMethods(server);
  for (const char* text : { "{\"a\":[1,{\"b\":null}]}", "[1,2]", "{}" }) {
    Json::Value params = ParseJson(text);
    std::string reply = server.Handle(RpcRequestBody("echo", params, 7));
    BOOST_TEST((ParseRpcReply(reply, 7) == params), reply);
  }
  std::string reply = server.Handle(RpcRequestBody("echo", {}, 7));
  BOOST_TEST(ParseRpcReply(reply, 7).isNull());
}

BOOST_AUTO_TEST_CASE(method_error_reaches_the_caller)
{
  RpcServer server;
  AddMethods(server);
  BOOST_CHECK_EXCEPTION(
    ParseRpcReply(server.Handle(RpcRequestBody("refuse", {}, 7)), 7),
    RpcError,
    [](const RpcError& aError) {
      return aError.Code() == kRpcApplicationError &&
             std::string(aError.what()) == "not now" &&
             aError.Data()["remedy"].asString() == "Wait.";
    });
  BOOST_TEST(ReplyErrorCode(server, RpcRequestBody("break", {}, 1)) ==
             kRpcInternalError);
  BOOST_TEST(ReplyErrorCode(server, RpcRequestBody("name", {}, 1)) ==
             kRpcInvalidParams);
}

BOOST_AUTO_TEST_CASE(malformed_requests_get_the_matching_error_code)
{
  RpcServer server;
  AddMethods(server);
  for (const std::string& body : { std::string(),
                                   std::string("garbage"),
                                   std::string("{\"jsonrpc\":\"2.0\""),
                                   std::string(100'000, '['),
                                   std::string("\0\1\2", 3) }) {
    BOOST_TEST(ReplyErrorCode(server, body) == kRpcParseError,
               body.substr(0, 40));
  }
  for (const char* body :
       { "1",
         "null",
         "\"x\"",
         "[]",
         "{}",
         "{\"jsonrpc\":\"2.0\",\"id\":1}",
         "{\"jsonrpc\":\"2.0\",\"method\":5,\"id\":1}",
         "{\"jsonrpc\":\"1.0\",\"method\":\"echo\",\"id\":1}",
         "{\"jsonrpc\":\"2.0\",\"method\":\"echo\",\"id\":{}}",
         "{\"jsonrpc\":\"2.0\",\"method\":\"echo\",\"id\":1,\"params\":5}" }) {
    BOOST_TEST(ReplyErrorCode(server, body) == kRpcInvalidRequest, body);
  }
  BOOST_TEST(ReplyErrorCode(server, RpcRequestBody("absent", {}, 1)) ==
             kRpcMethodNotFound);
}

BOOST_AUTO_TEST_CASE(duplicate_method_is_rejected)
{
  RpcServer server;
  AddMethods(server);
  BOOST_CHECK_THROW(
    server.AddMethod("echo",
                     [](const Json::Value& aParams) { return aParams; }),
    std::invalid_argument);
}

BOOST_AUTO_TEST_CASE(malformed_or_mismatched_replies_are_rejected)
{
  for (const char* reply : { "{\"jsonrpc\":\"2.0\",\"id\":8,\"result\":1}",
                             "{\"jsonrpc\":\"2.0\",\"id\":\"7\",\"result\":1}",
                             "{\"jsonrpc\":\"2.0\",\"result\":1}",
                             "{\"jsonrpc\":\"2.0\",\"id\":7}",
                             "{\"id\":7,\"result\":1}",
                             "{\"jsonrpc\":\"2.0\",\"id\":7,\"error\":5}",
                             "[]" }) {
    BOOST_TEST(ReplyParseErrorCode(reply) == kRpcInvalidRequest, reply);
  }
  BOOST_TEST(ReplyParseErrorCode("not JSON") == kRpcParseError);
  BOOST_TEST(ReplyParseErrorCode("5") == kRpcParseError);
  BOOST_TEST(ReplyParseErrorCode(std::string(100'000, '[')) == kRpcParseError);
}

BOOST_AUTO_TEST_CASE(call_over_http_returns_its_result)
{
  LoopThread loop;
  RpcServer rpc;
  AddMethods(rpc);
  TestServer server(loop, [&](const auto& aExchange, const auto& aRequest) {
    aExchange->Respond(200,
                       { { "content-type", "application/json" } },
                       rpc.Handle(aRequest.m_body));
  });
  Json::Value params;
  params["name"] = "mtl";
  HttpCall call;
  call.m_method = "POST";
  call.m_address = server.Address();
  call.m_path = "/rpc";
  call.m_body = RpcRequestBody("name", params, 3);
  HttpResult result = FetchAndWait(loop, call);
  BOOST_TEST_REQUIRE(result.m_reply.has_value());
  BOOST_TEST(ParseRpcReply(result.m_reply->m_body, 3).asString() == "mtl");
}
