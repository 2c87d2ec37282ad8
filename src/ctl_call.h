#ifndef SHALLOTFORD_SRC_CTL_CALL_H
#define SHALLOTFORD_SRC_CTL_CALL_H

/// JSON-RPC client of shallotfordctl: calls the operators' methods of one or
/// more daemons over HTTP.

#include "shallotford/net.h"

#include <optional>
#include <string>
#include <vector>

namespace shallotford {

struct OperatorCall
{
  std::string m_method;
  Json::Value m_params{ Json::objectValue };
};

/// The answer of one VM to a call, or the reason why it failed.
struct VmAnswer
{
  std::string m_vm;                    ///< operators' address
  std::optional<Json::Value> m_result; ///< set if the call succeeded
  std::string m_error;                 ///< set if the call failed
  std::string m_remedy;                ///< of the error; may be empty
};

/// The daemons that a command queries.
class OperatorsI
{
public:
  virtual ~OperatorsI() = default;
  /// Calls all VMs in parallel and waits for every answer.
  /// @returns their answers, in the order of the addresses
  virtual std::vector<VmAnswer> Call(const OperatorCall& aCall) = 0;
};

/// @param aVms  operators' addresses, "IP:PORT"
/// @param aTls  client certificate, key and authority; empty for plain TCP
std::unique_ptr<OperatorsI>
MakeOperators(std::vector<std::string> aVms, TlsFiles aTls);

/// Reads a JSON-RPC 2.0 answer.
/// @param aReply  a complete HTTP response
VmAnswer
ReadRpcAnswer(const std::string& aVm, const HttpReply& aReply);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_CTL_CALL_H
