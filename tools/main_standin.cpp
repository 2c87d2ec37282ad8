/// The command line of shallotford-standin, the test-only stand-ins.

#include "standin_engine.h"
#include "standin_load.h"
#include "standin_platform.h"
#include "standin_service.h"

#include <csignal>
#include <docopt/docopt.h>
#include <iostream>
#include <sstream>

using namespace shallotford;
using namespace shallotford::standin;

namespace {

constexpr int kUsageExitCode = 2;

constexpr const char* kUsage =
  R"(shallotford-standin: test-only stand-ins for engines, services, the platform
and callers.

Usage:
  shallotford-standin engine --config FILE
  shallotford-standin service [--listen ADDRESS] [--delay-ms N] [--seed N]
  shallotford-standin platform [--listen ADDRESS] [--fleet FILE] [--vms FILE]
  shallotford-standin load --daemons LIST [--seed N] [options]
  shallotford-standin --help
  shallotford-standin --version

Options:
  --config FILE           JSON settings of an engine.
  --listen ADDRESS        IP:PORT; port 0 takes a free one [default: 127.0.0.1:0].
  --delay-ms N            Time that a service call takes [default: 5].
  --fleet FILE            Fleet text published at start.
  --vms FILE              VM list published at start, {"vms":[...]}.
  --daemons LIST          Callers' addresses of the daemons, IP:PORT,IP:PORT.
  --requests N            Requests in all [default: 100].
  --rate R                Arrivals per second [default: 50].
  --seed N                Seed of everything random [default: 1].
  --model NAME            Model asked for [default: draft].
  --key KEY               Bearer key.
  --stream-share F        Share of streams among model requests [default: 0.7].
  --cancel-share F        Share of streams that are cancelled [default: 0].
  --prompt-tokens N       Most tokens of a prompt's own part [default: 500].
  --shared-tokens N       Tokens that prompts share at their start [default: 0].
  --documents N           Different shared starts [default: 8].
  --max-tokens N          Most tokens of an answer [default: 40].
  --service PATH          /services/NAME/path of repeatable calls.
  --service-share F       Their share of all requests [default: 0].
  --non-repeatable PATH   /services/NAME/path of calls that run at most once.
  --non-repeatable-share F  Their share of all requests [default: 0].
  --resubmits N           Times that a refused request comes again when told
                          [default: 0].
  --timeout-ms N          Longest time of one request [default: 60000].
  --first-token-ms N      First-token target [default: 1600].
  --per-token-ms N        Per-token target [default: 71].
  --executions LIST       Stand-in services to compare with at the end.
  --all-answered          Fail unless every request was answered.
)";

using Arguments = std::map<std::string, docopt::value>;

std::string
TextOf(const Arguments& aArguments, const std::string& aName)
{
  const docopt::value& value = aArguments.at(aName);
  return value ? value.asString() : "";
}

std::uint32_t
NumberOf(const Arguments& aArguments, const std::string& aName)
{
  return static_cast<std::uint32_t>(
    std::stoul(aArguments.at(aName).asString()));
}

double
ShareOf(const Arguments& aArguments, const std::string& aName)
{
  return std::stod(aArguments.at(aName).asString());
}

std::vector<std::string>
ListOf(const Arguments& aArguments, const std::string& aName)
{
  std::vector<std::string> list;
  std::istringstream text(TextOf(aArguments, aName));
  for (std::string entry; std::getline(text, entry, ',');) {
    list.push_back(entry);
  }
  return list;
}

LoadOptions
LoadOptionsOf(const Arguments& aArguments)
{
  using std::chrono::milliseconds;
  LoadOptions options;
  options.m_daemons = ListOf(aArguments, "--daemons");
  options.m_requests = NumberOf(aArguments, "--requests");
  options.m_rate = ShareOf(aArguments, "--rate");
  options.m_seed = NumberOf(aArguments, "--seed");
  options.m_model = TextOf(aArguments, "--model");
  options.m_key = TextOf(aArguments, "--key");
  options.m_streamShare = ShareOf(aArguments, "--stream-share");
  options.m_cancelShare = ShareOf(aArguments, "--cancel-share");
  options.m_promptTokens = NumberOf(aArguments, "--prompt-tokens");
  options.m_sharedPromptTokens = NumberOf(aArguments, "--shared-tokens");
  options.m_documents = NumberOf(aArguments, "--documents");
  options.m_maxTokens = NumberOf(aArguments, "--max-tokens");
  options.m_servicePath = TextOf(aArguments, "--service");
  options.m_serviceShare = ShareOf(aArguments, "--service-share");
  options.m_nonRepeatablePath = TextOf(aArguments, "--non-repeatable");
  options.m_nonRepeatableShare = ShareOf(aArguments, "--non-repeatable-share");
  options.m_resubmits = NumberOf(aArguments, "--resubmits");
  options.m_timeout = milliseconds(NumberOf(aArguments, "--timeout-ms"));
  options.m_firstTokenTarget =
    milliseconds(NumberOf(aArguments, "--first-token-ms"));
  options.m_perTokenTarget =
    milliseconds(NumberOf(aArguments, "--per-token-ms"));
  options.m_executions = ListOf(aArguments, "--executions");
  return options;
}

int
Run(const Arguments& aArguments)
{
  if (aArguments.at("engine").asBool()) {
    return RunEngine(TextOf(aArguments, "--config"));
  }
  if (aArguments.at("service").asBool()) {
    std::chrono::milliseconds delay{ NumberOf(aArguments, "--delay-ms") };
    return RunService(
      TextOf(aArguments, "--listen"), delay, NumberOf(aArguments, "--seed"));
  }
  if (aArguments.at("platform").asBool()) {
    return RunPlatform(TextOf(aArguments, "--listen"),
                       TextOf(aArguments, "--fleet"),
                       TextOf(aArguments, "--vms"));
  }
  return RunLoad(LoadOptionsOf(aArguments),
                 aArguments.at("--all-answered").asBool());
}

} // namespace

int
main(int aCount, char** aValues)
{
  std::signal(SIGPIPE, SIG_IGN);
  Arguments arguments;
  try {
    arguments = docopt::docopt_parse(kUsage, { aValues + 1, aValues + aCount });
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return 0;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << "shallotford-standin " << SHALLOTFORD_VERSION << "\n";
    return 0;
  } catch (const std::exception& exception) {
    std::cerr << exception.what() << "\n\n" << kUsage;
    return kUsageExitCode;
  }
  try {
    return Run(arguments);
  } catch (const std::exception& exception) {
    std::cerr << "shallotford-standin: " << exception.what() << "\n";
    return kUsageExitCode;
  }
}
