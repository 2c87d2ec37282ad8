/// Parses the command line of shallotfordctl, and holds its help text.

#include "ctl_command.h"

#include "config.h"
#include "shallotford/fleet.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <sstream>

namespace shallotford {

const char* const kCtlUsage =
  R"(shallotfordctl - checks, plans and watches a fleet of shallotford daemons.

Usage:
  shallotfordctl check FILE [options]
  shallotfordctl plan FILE [options]
  shallotfordctl status [options]
  shallotfordctl upstreams [options]
  shallotfordctl requests [options]
  shallotfordctl audit [options]
  shallotfordctl explain REQUEST [options]
  shallotfordctl drain [options]
  shallotfordctl --help
  shallotfordctl --version

Commands:
  check      Check a fleet text or a daemon's settings; needs no daemon.
  plan       Show what a fleet text would change against the one in force.
  status     Show readiness, revision, requests and the listed VMs.
  upstreams  Show the engines and their state as each VM sees them.
  requests   Show the requests that the VM holds.
  audit      Show the audit trail: changes with their causes.
  explain    Show where a request was routed and the alternatives considered.
  drain      Begin a planned stop: requests in flight finish first.

Options:
  --vm ADDRESS      Ask one daemon at its operators' address, IP:PORT.
  --fleet LIST      Ask all daemons of a list: ADDRESS,ADDRESS,... or a file
                    with one address a line.
  --json            Print JSON, for programs.
  --watch SECONDS   Repeat until Ctrl-C, which exits with 0.
  --kind KIND       audit: configuration, role, order, quarantine, membership.
  --subject TEXT    audit: only this address or service.
  --limit N         audit: the newest N changes of each VM; 100 by default.
  --cert FILE       Client certificate, PEM; with --key and --authority.
  --key FILE        Its private key, PEM.
  --authority FILE  Authority that daemons' certificates chain to, PEM.
  -h --help         Show this text.
  --version         Show the version.

Examples:
  shallotfordctl check examples/01-noces-liaison/fleet.json
  shallotfordctl plan new.json --fleet 10.0.0.1:18002,10.0.0.2:18002
  shallotfordctl status --fleet vms.txt --watch 2
  shallotfordctl audit --vm 10.0.0.1:18002 --kind order --limit 20
  shallotfordctl explain 10.0.0.1:18001~1f~42 --vm 10.0.0.1:18002 --json

Exit codes:
  0  done
  1  the VM, or every VM, failed or can't be reached
  2  invalid command line, or a fleet text or settings that would be refused
  3  with --fleet: some VMs answered and others failed

Colours are used on a terminal only, and never if NO_COLOR is set.
)";

namespace {

using Arguments = std::map<std::string, docopt::value>;

constexpr std::array<std::pair<const char*, CtlVerb>, 8> kVerbs{ {
  { "check", CtlVerb::Check },
  { "plan", CtlVerb::Plan },
  { "status", CtlVerb::Status },
  { "upstreams", CtlVerb::Upstreams },
  { "requests", CtlVerb::Requests },
  { "audit", CtlVerb::Audit },
  { "explain", CtlVerb::Explain },
  { "drain", CtlVerb::Drain },
} };

[[noreturn]] void
ThrowUsage(const std::string& aWhat, const std::string& aRemedy)
{
  throw Error(ErrorKind::InvalidRequest, aWhat, aRemedy);
}

bool
IsFlagSet(const Arguments& aArguments, const char* aName)
{
  auto found = aArguments.find(aName);
  return found != aArguments.end() && found->second.isBool() &&
         found->second.asBool();
}

std::optional<std::string>
TextOf(const Arguments& aArguments, const char* aName)
{
  auto found = aArguments.find(aName);
  if (found == aArguments.end() || !found->second.isString()) {
    return std::nullopt;
  }
  return found->second.asString();
}

std::optional<std::uint64_t>
NumberOf(const Arguments& aArguments,
         const char* aName,
         std::uint64_t aMin,
         std::uint64_t aMax)
{
  std::optional<std::string> text = TextOf(aArguments, aName);
  if (!text) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* end = text->data() + text->size();
  auto [stop, status] = std::from_chars(text->data(), end, number);
  if (status != std::errc() || stop != end || number < aMin || number > aMax) {
    ThrowUsage(std::string(aName) + " " + *text +
                 " is out of range or not a whole number",
               "Give a whole number from " + std::to_string(aMin) + " to " +
                 std::to_string(aMax) + ".");
  }
  return number;
}

CtlVerb
VerbOf(const Arguments& aArguments)
{
  for (const auto& [name, verb] : kVerbs) {
    if (IsFlagSet(aArguments, name)) {
      return verb;
    }
  }
  return CtlVerb::Help;
}

std::string
CheckedAddress(const std::string& aText)
{
  try {
    ParseAddress(aText);
  } catch (const Error&) {
    ThrowUsage("\"" + aText + "\" is not an address",
               "Give IP:PORT, such as 10.0.0.1:18002.");
  }
  return aText;
}

void
ReadVms(const Arguments& aArguments, CtlCommand& aCommand)
{
  std::optional<std::string> vm = TextOf(aArguments, "--vm");
  std::optional<std::string> fleet = TextOf(aArguments, "--fleet");
  if (vm && fleet) {
    ThrowUsage("--vm and --fleet can't be combined", "Give one of them.");
  }
  if (!vm && !fleet) {
    ThrowUsage("no daemon is given",
               "Give --vm ADDRESS, or --fleet LIST for all daemons.");
  }
  aCommand.m_fleet = fleet.has_value();
  if (fleet) {
    aCommand.m_vms = ReadFleetAddresses(*fleet);
  } else {
    aCommand.m_vms = { CheckedAddress(*vm) };
  }
}

void
ReadTls(const Arguments& aArguments, CtlCommand& aCommand)
{
  std::optional<std::string> certificate = TextOf(aArguments, "--cert");
  std::optional<std::string> key = TextOf(aArguments, "--key");
  std::optional<std::string> authority = TextOf(aArguments, "--authority");
  if (!certificate && !key && !authority) {
    return;
  }
  if (!certificate || !key || !authority) {
    ThrowUsage("--cert, --key and --authority must be given together",
               "Give all three.");
  }
  aCommand.m_tls = { .m_certificate = *certificate,
                     .m_key = *key,
                     .m_peerAuthority = *authority };
}

void
ReadAuditFilter(const Arguments& aArguments, CtlCommand& aCommand)
{
  std::optional<std::string> kind = TextOf(aArguments, "--kind");
  std::optional<std::string> subject = TextOf(aArguments, "--subject");
  std::optional<std::uint64_t> limit =
    NumberOf(aArguments, "--limit", 1, kMaxAuditLimit);
  if (aCommand.m_verb != CtlVerb::Audit && (kind || subject || limit)) {
    ThrowUsage("--kind, --subject and --limit apply to audit only",
               "Leave them out, or use shallotfordctl audit.");
  }
  constexpr std::array<std::string_view, 5> kKinds{
    "configuration", "role", "order", "quarantine", "membership"
  };
  if (kind && std::find(kKinds.begin(), kKinds.end(), *kind) == kKinds.end()) {
    ThrowUsage("--kind " + *kind + " is unknown",
               "Use configuration, role, order, quarantine or membership.");
  }
  aCommand.m_audit = { .m_kind = kind.value_or(""),
                       .m_subject = subject.value_or(""),
                       .m_limit = limit.value_or(aCommand.m_audit.m_limit) };
}

void
ReadWatch(const Arguments& aArguments, CtlCommand& aCommand)
{
  std::optional<std::uint64_t> seconds =
    NumberOf(aArguments, "--watch", 1, kMaxWatchIntervalSeconds);
  if (!seconds) {
    return;
  }
  if (aCommand.m_verb == CtlVerb::Drain) {
    ThrowUsage("drain can't be repeated",
               "Leave out --watch; follow the drain with status --watch.");
  }
  aCommand.m_watch = std::chrono::seconds(*seconds);
}

void
RefuseDaemonOptions(const Arguments& aArguments)
{
  constexpr std::array kOptions{ "--vm",   "--fleet", "--watch",
                                 "--kind", "--limit", "--subject",
                                 "--cert", "--key",   "--authority" };
  for (const char* option : kOptions) {
    if (TextOf(aArguments, option)) {
      ThrowUsage(std::string("check contacts no daemon, so ") + option +
                   " has no effect",
                 "Leave it out, or use shallotfordctl plan.");
    }
  }
}

Arguments
ParseArguments(const std::vector<std::string>& aArguments)
{
  try {
    return docopt::docopt_parse(kCtlUsage, aArguments, true, true);
  } catch (const docopt::DocoptExitHelp&) {
    return { { "--help", docopt::value(true) } };
  } catch (const docopt::DocoptExitVersion&) {
    return { { "--version", docopt::value(true) } };
  } catch (const std::exception& exception) {
    ThrowUsage(std::string("invalid command line: ") + exception.what(),
               "See shallotfordctl --help.");
  }
}

} // namespace

std::string
ReadWholeFile(const std::string& aName)
{
  std::ifstream file(aName, std::ios::binary);
  std::ostringstream text;
  if (file) {
    text << file.rdbuf();
  }
  if (!file) {
    throw Error(ErrorKind::InvalidConfig,
                aName + ": cannot be read",
                "Name a file that exists and that you may read.");
  }
  return text.str();
}

std::vector<std::string>
ReadFleetAddresses(const std::string& aFleet)
{
  bool isList = aFleet.find(',') != std::string::npos;
  if (!isList) {
    try {
      ParseAddress(aFleet);
      isList = true;
    } catch (const Error&) {
      isList = false;
    }
  }
  std::istringstream items(isList ? aFleet : ReadWholeFile(aFleet));
  std::vector<std::string> addresses;
  for (std::string item; std::getline(items, item, isList ? ',' : '\n');) {
    item.erase(0, item.find_first_not_of(" \t\r"));
    item.erase(item.find_last_not_of(" \t\r") + 1);
    if (item.empty() || item.front() == '#') {
      continue;
    }
    addresses.push_back(CheckedAddress(item));
  }
  if (addresses.empty()) {
    ThrowUsage("--fleet " + aFleet + " lists no daemon",
               "List the operators' addresses, one a line.");
  }
  return addresses;
}

CtlCommand
ParseCommand(const std::vector<std::string>& aArguments)
{
  Arguments arguments = ParseArguments(aArguments);
  CtlCommand command;
  command.m_verb = VerbOf(arguments);
  if (IsFlagSet(arguments, "--version")) {
    command.m_verb = CtlVerb::Version;
  }
  if (IsFlagSet(arguments, "--help")) {
    command.m_verb = CtlVerb::Help;
  }
  command.m_json = IsFlagSet(arguments, "--json");
  command.m_file = TextOf(arguments, "FILE").value_or("");
  command.m_request = TextOf(arguments, "REQUEST").value_or("");
  if (command.m_verb == CtlVerb::Help || command.m_verb == CtlVerb::Version) {
    return command;
  }
  if (command.m_verb == CtlVerb::Check) {
    RefuseDaemonOptions(arguments);
    return command;
  }
  ReadVms(arguments, command);
  ReadTls(arguments, command);
  ReadAuditFilter(arguments, command);
  ReadWatch(arguments, command);
  return command;
}

} // namespace shallotford
