/// Entry point of shallotfordd, the router daemon on each entry VM: reads the
/// command line and the settings, then runs until a planned stop.

#include "daemon_run.h"
#include "daemon_signals.h"
#include "main_routing.h"

#include <docopt/docopt.h>
#include <iostream>

namespace {

constexpr const char* kUsage =
  R"(shallotfordd - routes requests to separate prefill and decode pools.

Usage:
  shallotfordd --config FILE [--check]
  shallotfordd --help
  shallotfordd --version

Options:
  --config FILE  Settings of this VM, in JSON (docs/CONFIG.md).
  --check        Check the settings and exit.
  -h --help      Show this text.
  --version      Show the version.

SIGTERM begins a planned stop: the VM turns unready, lets every request in
flight finish and exits with 0. SIGHUP re-reads the certificates, or the settings
file where it has "routing".

Exit codes: 0 stopped as planned, 1 failed, 2 wrong command line or settings.
)";

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

void
Report(const shallotford::Error& aError)
{
  std::cerr << aError.what() << "\n  remedy: " << aError.Remedy() << '\n';
}

} // namespace

int
main(int aCount, char** aValues)
{
  // A signal that arrives during the start is handled once the daemon runs.
  shallotford::BlockSignals();
  std::map<std::string, docopt::value> arguments;
  try {
    arguments = docopt::docopt_parse(
      kUsage, { aValues + 1, aValues + aCount }, true, true);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return 0;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << "shallotfordd " << SHALLOTFORD_VERSION << '\n';
    return 0;
  } catch (const std::exception&) {
    std::cerr << kUsage;
    return kExitUsage;
  }
  shallotford::Settings settings;
  try {
    std::string name = arguments["--config"].asString();
    settings = shallotford::ParseSettings(shallotford::ReadFile(name), name);
  } catch (const shallotford::Error& error) {
    Report(error);
    return kExitUsage;
  }
  if (arguments["--check"].asBool()) {
    std::cout << "settings are valid\n";
    return 0;
  }
  try {
    if (settings.m_routing) {
      shallotford::RunRouting(settings, arguments["--config"].asString());
    } else {
      shallotford::RunDaemon(settings);
    }
  } catch (const shallotford::Error& error) {
    Report(error);
    return error.Kind() == shallotford::ErrorKind::InvalidConfig ? kExitUsage
                                                                 : kExitFailed;
  } catch (const std::exception& exception) {
    std::cerr << "shallotfordd: " << exception.what() << '\n';
    return kExitFailed;
  }
  return 0;
}
