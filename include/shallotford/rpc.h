#ifndef SHALLOTFORD_RPC_H
#define SHALLOTFORD_RPC_H

/// JSON-RPC 2.0 messages between daemons, and between daemons and operators:
/// builds and parses requests and replies, and dispatches requests to methods.
/// Messages are passed as text, and the caller transports them.
/// The server side is implemented with libjsonrpccpp.
///
/// This header is valid in C++14 and C++20 and includes nothing of
/// libjsonrpccpp, whose headers don't compile from C++17 on.

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

#include <json/value.h>

namespace shallotford {

/// The error codes of JSON-RPC 2.0 and one of this project. libjsonrpccpp puts
/// its own text before the message of an error whose code is negative.
constexpr int kRpcParseError = -32700;     ///< the text is not JSON
constexpr int kRpcInvalidRequest = -32600; ///< neither request nor reply
constexpr int kRpcMethodNotFound = -32601;
constexpr int kRpcInvalidParams = -32602;
constexpr int kRpcInternalError = -32603;
constexpr int kRpcApplicationError = 1; ///< the method refused; see the data

/// An error that a method throws, or that a reply carries.
class RpcError : public std::runtime_error
{
public:
  /// @param aCode     one of the codes above, or one of the method's own
  /// @param aMessage  what is wrong, in one sentence
  /// @param aData     further fields, such as the remedy
  RpcError(int aCode, const std::string& aMessage, Json::Value aData = {});

  int Code() const { return m_code; }
  const Json::Value& Data() const { return m_data; }

private:
  int m_code;
  Json::Value m_data;
};

/// Returns parameter aName of aParams as a string.
/// @throws RpcError (kRpcInvalidParams) if it is missing or not a string
std::string
RpcStringParam(const Json::Value& aParams, const std::string& aName);

/// Dispatches requests to registered methods. Not safe for concurrent use: only
/// the loop or task that owns the object may call it.
class RpcServer
{
public:
  /// Gets "params" (an object, an array or null) and returns "result".
  /// What it throws becomes the reply's error: an RpcError as it is, any
  /// other exception as kRpcInternalError.
  using Method = std::function<Json::Value(const Json::Value& aParams)>;

  RpcServer();
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  /// @throws std::invalid_argument if aName is empty or already registered
  void AddMethod(const std::string& aName, Method aMethod);

  /// Returns the reply to the request, or the batch of requests, in aBody.
  /// Never throws for a malformed request: the reply says what is wrong.
  std::string Handle(const std::string& aBody);

private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

/// Returns the text of a request.
/// @param aId  comes back in the reply
std::string
RpcRequestBody(const std::string& aMethod,
               const Json::Value& aParams,
               Json::Int64 aId);

/// Returns the result in the reply aBody to request aId.
/// @throws RpcError  the reply's error; kRpcParseError or kRpcInvalidRequest
///                   if aBody is not the reply to that request
Json::Value
ParseRpcReply(const std::string& aBody, Json::Int64 aId);

/// The fields of a request that dispatching needs. All members are empty if
/// the text is not a request.
struct RpcCall
{
  std::string m_method;
  Json::Value m_params;
  Json::Value m_id;
};

/// Parses a request whose reply is sent asynchronously, which Handle() does
/// not support. Never throws.
RpcCall
ParseRpcCall(const std::string& aBody);
/// Returns the text of the reply to request aId.
std::string
RpcResultBody(const Json::Value& aId, const Json::Value& aResult);
std::string
RpcErrorBody(const Json::Value& aId, int aCode, const std::string& aMessage);

} // namespace shallotford

#endif // SHALLOTFORD_RPC_H
