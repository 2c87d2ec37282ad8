#ifndef SHALLOTFORD_SRC_DAEMON_PLATFORM_H
#define SHALLOTFORD_SRC_DAEMON_PLATFORM_H

/// Reads the fleet text and the VM list from the platform. docs/ENGINE.md
/// describes the calls.

#include "shallotford/net.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace shallotford {

/// One answer to a watch of the fleet text.
struct PlatformFleet
{
  std::string m_version;
  std::optional<std::string> m_text; ///< nullopt if there is no newer one
};

enum class PlatformVmKind
{
  Entry,
  Engine,
  Service,
};

struct PlatformVm
{
  std::string m_address;
  PlatformVmKind m_kind{ PlatformVmKind::Entry };
  bool m_leaving{ false };
};

/// One answer to a watch of the VM list.
struct PlatformVms
{
  std::string m_version;
  std::optional<std::vector<PlatformVm>> m_vms; ///< nullopt if none is newer
};

/// Why the platform gave no answer.
struct PlatformFailure
{
  std::string m_reason;
};

template<class Value>
using PlatformDone = std::function<void(std::variant<Value, PlatformFailure>)>;

/// Reads and watches the platform's configuration and VM list. The platform
/// counts each call as one, however long it waits.
class PlatformI
{
public:
  virtual ~PlatformI() = default;
  /// Calls aDone with the fleet text, or without one if none is newer.
  /// @param aAfter  version that is known already; empty for any
  /// @param aWait   longest time to wait for a newer version; 0 for an answer
  ///                at once
  virtual std::unique_ptr<HttpClientCallI> WatchFleet(
    const std::string& aAfter,
    std::chrono::milliseconds aWait,
    PlatformDone<PlatformFleet> aDone) = 0;
  /// Calls aDone with the VM list, or without one if none is newer.
  virtual std::unique_ptr<HttpClientCallI> WatchVms(
    const std::string& aAfter,
    std::chrono::milliseconds aWait,
    PlatformDone<PlatformVms> aDone) = 0;
};

/// @param aClient   must outlive the result
/// @param aAddress  the platform's "IP:PORT"
std::unique_ptr<PlatformI>
MakeHttpPlatform(HttpClientI& aClient, const std::string& aAddress);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_PLATFORM_H
