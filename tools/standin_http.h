#ifndef SHALLOTFORD_TOOLS_STANDIN_HTTP_H
#define SHALLOTFORD_TOOLS_STANDIN_HTTP_H

/// What the stand-ins' servers share: paths, JSON answers, settings by name,
/// and running until a signal comes.

#include "shallotford/base.h"
#include "shallotford/net.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace shallotford::standin {

using Exchange = std::shared_ptr<HttpExchangeI>;

/// Splits a decoded path at '/'.
std::vector<std::string>
PathSegments(std::string_view aPath);

/// Returns a numeric query parameter, or aDefault.
std::uint64_t
QueryNumber(const HttpRequest& aRequest,
            std::string_view aName,
            std::uint64_t aDefault);

void
RespondJson(const Exchange& aExchange, int aStatus, const Json::Value& aBody);
/// Answers {"reason": aReason}.
void
RespondReason(const Exchange& aExchange, int aStatus, std::string_view aReason);

/// Settings that a JSON object sets by name.
class NamedSettings
{
public:
  using Setter = std::function<void(const Json::Value&)>;
  void Add(const std::string& aName, Setter aSetter);
  /// Adds a setting that is stored in aTarget; durations are numbers in their
  /// own unit.
  template<class Value>
  void Add(const std::string& aName, Value& aTarget)
  {
    Add(aName, Setter([&aTarget](const Json::Value& aValue) {
          if constexpr (requires { typename Value::period; }) {
            aTarget = Value(aValue.asUInt64());
          } else {
            aTarget = aValue.as<Value>();
          }
        }));
  }
  /// @throws Error (InvalidConfig) on an unknown name or a wrong type
  void Apply(const Json::Value& aObject) const;

private:
  std::map<std::string, Setter> m_setters;
};

/// Sends calls and owns them until they end.
class CallSet
{
public:
  explicit CallSet(LoopI& aLoop);
  void Send(HttpCall aCall, std::function<void(const HttpResult&)> aDone);

private:
  LoopI& m_loop;
  std::uint64_t m_next{ 0 };
  std::map<std::uint64_t, std::unique_ptr<HttpClientCallI>> m_calls;
};

/// Splits "IP:PORT" into server options; the port may be 0.
ServerOptions
ServerOptionsOf(const std::string& aListen);

/// Listens, prints "listening address=IP:PORT" on standard output and serves
/// until SIGTERM or SIGINT.
/// @param aListen  "IP:PORT"; port 0 takes a free one
void
ServeUntilSignal(LoopI& aLoop,
                 const std::string& aListen,
                 HttpHandlerI& aHandler);

/// @throws Error (InvalidConfig) if the file cannot be read
std::string
ReadFile(const std::string& aPath);

} // namespace shallotford::standin

#endif // SHALLOTFORD_TOOLS_STANDIN_HTTP_H
