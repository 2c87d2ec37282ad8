#ifndef SHALLOTFORD_SRC_CTL_CALL_H
#define SHALLOTFORD_SRC_CTL_CALL_H

/// Calls the operators' JSON-RPC methods of one or more daemons.

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

/// What one VM answered.
struct VmAnswer
{
  std::string m_vm;                    ///< operators' address
  std::optional<Json::Value> m_result; ///< set if the call succeeded
  std::string m_error;                 ///< set otherwise, with its remedy
  std::string m_remedy;
};

/// The daemons that a command asks. The interface that tests replace.
class OperatorsI
{
public:
  virtual ~OperatorsI() = default;
  /// Calls every VM at the same time and waits for all.
  /// @returns their answers, in the order of the addresses
  virtual std::vector<VmAnswer> Call(const OperatorCall& aCall) = 0;
};

/// @param aVms  operators' addresses, "IP:PORT"
/// @param aTls  client certificate, key and authority; empty for plain TCP
std::unique_ptr<OperatorsI>
MakeOperators(std::vector<std::string> aVms, TlsFiles aTls);

/// Reads a JSON-RPC 2.0 answer.
/// @param aReply  a whole HTTP answer
VmAnswer
ReadRpcAnswer(const std::string& aVm, const HttpReply& aReply);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_CTL_CALL_H
