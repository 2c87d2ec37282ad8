/// Tests shallotfordctl: command-line parsing, tables, the check command, and
/// the plan and view commands against fake daemons.

#define BOOST_TEST_MODULE ctl
#include <boost/test/unit_test.hpp>

#include "ctl_check.h"
#include "ctl_command.h"
#include "ctl_plan.h"
#include "ctl_table.h"
#include "net_certificates.h"
#include "net_fixture.h"
#include "shallotford/ctl.h"

#include <fstream>
#include <sstream>

using namespace shallotford;
using namespace shallotford::test;

namespace {

const std::string kDataDir = TEST_DATA_DIR;

std::string
ReadData(const std::string& aName)
{
  return ReadWholeFile(kDataDir + "/" + aName);
}

/// Ends a watch after a given number of further rounds.
class CountedPace : public CtlPaceI
{
public:
  explicit CountedPace(int aFurtherRounds)
    : m_left(aFurtherRounds)
  {
  }
  void Start() override { ++m_starts; }
  bool WaitNext(std::chrono::seconds aInterval) override
  {
    m_interval = aInterval;
    return m_left-- > 0;
  }

  int m_starts{ 0 };
  int m_left;
  std::chrono::seconds m_interval{ 0 };
};

struct RunResult
{
  CtlExit m_exit{};
  std::string m_out;
  std::string m_err;
};

RunResult
Run(const std::vector<std::string>& aArguments,
    bool aColour = false,
    int aFurtherRounds = 0)
{
  CountedPace pace(aFurtherRounds);
  std::ostringstream out;
  std::ostringstream err;
  CtlIo io{ .m_out = out, .m_err = err, .m_colour = aColour, .m_pace = pace };
  CtlExit exit = RunCtl(aArguments, io);
  return { exit, out.str(), err.str() };
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

Json::Value
RpcReply(const char* aMember, const Json::Value& aValue)
{
  Json::Value reply(Json::objectValue);
  reply["jsonrpc"] = "2.0";
  reply["id"] = 1;
  reply[aMember] = aValue;
  return reply;
}

/// The operators' port of a daemon with a prepared answer for each method.
class FakeOperators
{
public:
  explicit FakeOperators(const ServerOptions& aOptions = {})
    : m_server(
        m_loop,
        [this](const auto& aExchange, const auto& aRequest) {
          Answer(*aExchange, aRequest);
        },
        aOptions)
  {
  }

  std::string Address() const { return m_server.Address(); }

  void Set(const std::string& aMethod, const std::string& aResult)
  {
    m_results[aMethod] = RpcReply("result", ParseJson(aResult));
  }
  void SetText(const std::string& aText)
  {
    Json::Value result(Json::objectValue);
    result["text"] = aText;
    m_results["fleet"] = RpcReply("result", result);
  }

  /// Parameters of the last call.
  Json::Value m_params;
  int m_calls{ 0 };

private:
  void Answer(HttpExchangeI& aExchange, const HttpRequest& aRequest)
  {
    ++m_calls;
    Json::Value call = ParseJson(aRequest.m_body);
    m_params = call["params"];
    auto found = m_results.find(call["method"].asString());
    Json::Value error(Json::objectValue);
    error["code"] = -32000;
    error["message"] = "this VM knows no such request";
    error["data"]["remedy"] = "Ask the VM that the id names.";
    Json::Value reply =
      found == m_results.end() ? RpcReply("error", error) : found->second;
    aExchange.Respond(aRequest.m_path == "/rpc" ? 200 : 404,
                      { { "content-type", "application/json" } },
                      WriteJson(reply));
  }

  std::map<std::string, Json::Value> m_results;
  LoopThread m_loop;
  TestServer m_server;
};

const char* const kStatus = R"({"vm":"10.0.0.1:1","region":"mtl",
  "failure_domain":"mtl-1","version":"0.1.0","ready":true,"draining":false,
  "revision":7,"conflicts":0,"requests_live":2,"requests_opened":12,
  "requests_ended":{"answered":8,"refused":1,"failed":1,"cancelled":0},
  "retries":3,"continued":1,"goodput":7,"prefill_tokens":1000,
  "wasted_prefill_tokens":5,"used_tickets":4,"pending_cancels":0,
  "vms":[{"address":"10.0.0.2:1","heard":false,"leaving":false,
  "revision":6}]})";

/// Returns fleet-good.json with aChange applied, as text.
std::string
ChangedText(const std::function<void(Json::Value&)>& aChange)
{
  Json::Value text = ParseJson(ReadData("fleet-good.json"));
  aChange(text);
  return WriteJson(text);
}

/// A file that is removed at the end of the test.
class TemporaryFile
{
public:
  explicit TemporaryFile(const std::string& aText)
    : m_name("/tmp/ctl_test_XXXXXX")
  {
    ::close(::mkstemp(m_name.data()));
    std::ofstream(m_name) << aText;
  }
  ~TemporaryFile() { ::unlink(m_name.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  std::string m_name;
};

} // namespace

BOOST_AUTO_TEST_CASE(TablesAlignWithoutTrailingSpaces)
{
  Table table({ { "NAME" }, { "COUNT", Alignment::Right }, { "NOTE" } });
  table.AddRow({ { "Montréal" }, { "7" }, { "" } });
  table.AddRow({ { "a" }, { "1234567" }, { "x\x1b[31my" } });
  std::ostringstream out;
  table.Write(out, false);
  BOOST_TEST(out.str() == "NAME        COUNT  NOTE\n"
                          "Montréal        7\n"
                          "a         1234567  x?[31my\n");
}

BOOST_AUTO_TEST_CASE(ColoursOnlyIfRequested)
{
  FakeOperators vm;
  vm.Set("status", kStatus);
  RunResult plain = Run({ "status", "--vm", vm.Address() });
  RunResult coloured = Run({ "status", "--vm", vm.Address() }, true);
  BOOST_TEST(!Contains(plain.m_out, "\x1b["));
  BOOST_TEST(Contains(coloured.m_out, "\x1b[32myes\x1b[0m"));
}

BOOST_AUTO_TEST_CASE(CheckDistinguishesSettingsFromFleetText)
{
  BOOST_TEST((KindOfText(ReadData("fleet-good.json")) == TextKind::Fleet));
  BOOST_TEST((KindOfText(ReadData("broken/settings-region.json")) ==
              TextKind::Settings));
  BOOST_TEST((KindOfText("[]") == TextKind::Fleet));
  BOOST_TEST((KindOfText("{") == TextKind::Fleet));
}

BOOST_AUTO_TEST_CASE(CheckWarnsOfUnknownFields)
{
  std::string text =
    ChangedText([](Json::Value& aText) { aText["later"] = 1; });
  CheckReport report = CheckText(text, "new.json");
  BOOST_TEST(report.IsValid());
  BOOST_TEST(report.m_revision == 7u);
  BOOST_REQUIRE(report.m_warnings.size() == 1u);
  BOOST_TEST(Contains(report.m_warnings[0], "later"));
}

BOOST_AUTO_TEST_CASE(CheckListsEveryErrorInJson)
{
  std::string text = ChangedText([](Json::Value& aText) {
    aText["revision"] = 0;
    aText["services"][0]["deadline_ms"] = 0;
  });
  TemporaryFile file(text);
  RunResult result = Run({ "check", file.m_name, "--json" });
  BOOST_TEST((result.m_exit == CtlExit::Invalid));
  Json::Value report = ParseJson(result.m_out);
  BOOST_TEST(!report["valid"].asBool());
  BOOST_TEST(report["errors"].size() == 2u);
  BOOST_TEST(!report["remedy"].asString().empty());
}

BOOST_AUTO_TEST_CASE(InvalidCommandLinesPrintARemedy)
{
  const std::vector<std::vector<std::string>> kWrong{
    {},
    { "status" },
    { "frobnicate" },
    { "status", "--vm", "nowhere" },
    { "status", "--vm", "127.0.0.1:1", "--fleet", "127.0.0.1:2" },
    { "status", "--vm", "127.0.0.1:1", "--watch", "0" },
    { "status", "--vm", "127.0.0.1:1", "--kind", "order" },
    { "audit", "--vm", "127.0.0.1:1", "--kind", "weather" },
    { "drain", "--vm", "127.0.0.1:1", "--watch", "1" },
    { "status", "--vm", "127.0.0.1:1", "--cert", "x.pem" },
    { "check", "no-such-file.json" },
    { "check", "x.json", "--vm", "127.0.0.1:1" },
  };
  for (const auto& arguments : kWrong) {
    RunResult result = Run(arguments);
    BOOST_TEST((result.m_exit == CtlExit::Invalid));
    BOOST_TEST(Contains(result.m_err, "remedy: "));
    BOOST_TEST(result.m_out.empty());
  }
}

BOOST_AUTO_TEST_CASE(HelpListsExamplesAndExitCodes)
{
  RunResult result = Run({ "--help" });
  BOOST_TEST((result.m_exit == CtlExit::Ok));
  BOOST_TEST(Contains(result.m_out, "Examples:"));
  BOOST_TEST(Contains(result.m_out, "Exit codes:"));
  BOOST_TEST((Run({ "status", "--help" }).m_out == result.m_out));
  BOOST_TEST(Contains(Run({ "--version" }).m_out, "shallotfordctl "));
}

BOOST_AUTO_TEST_CASE(StatusShowsVmRequestsAndMembers)
{
  FakeOperators vm;
  vm.Set("status", kStatus);
  RunResult result = Run({ "status", "--vm", vm.Address() });
  BOOST_TEST((result.m_exit == CtlExit::Ok));
  BOOST_TEST(Contains(result.m_out,
                      vm.Address() +
                        "  10.0.0.1:1    mtl     mtl-1   0.1.0    yes    "
                        "no               7          0"));
  BOOST_TEST(Contains(result.m_out, "0.50 %"));
  BOOST_TEST(Contains(result.m_out, "10.0.0.2:1  no"));
}

BOOST_AUTO_TEST_CASE(JsonPrintsTheDaemonsResultUnchanged)
{
  FakeOperators vm;
  vm.Set("status", kStatus);
  RunResult result = Run({ "status", "--vm", vm.Address(), "--json" });
  BOOST_TEST((ParseJson(result.m_out) == ParseJson(kStatus)));
}

BOOST_AUTO_TEST_CASE(FleetExitCodesDistinguishSomeFromAllFailed)
{
  FakeOperators good;
  FakeOperators bad;
  good.Set("status", kStatus);
  RunResult some =
    Run({ "status", "--fleet", good.Address() + "," + bad.Address() });
  BOOST_TEST((some.m_exit == CtlExit::SomeFailed));
  BOOST_TEST(Contains(some.m_out, "10.0.0.1:1"));
  BOOST_TEST(Contains(some.m_err, bad.Address()));
  BOOST_TEST(Contains(some.m_err, "remedy: Ask the VM that the id names."));
  RunResult all = Run({ "status", "--fleet", bad.Address() + "," });
  BOOST_TEST((all.m_exit == CtlExit::Failed));
  RunResult json = Run(
    { "status", "--json", "--fleet", good.Address() + "," + bad.Address() });
  Json::Value list = ParseJson(json.m_out);
  BOOST_REQUIRE(list.size() == 2u);
  BOOST_TEST(list[0]["result"]["revision"].asInt() == 7);
  BOOST_TEST(list[1]["error"].isMember("remedy"));
}

BOOST_AUTO_TEST_CASE(FleetFileListsAddresses)
{
  TemporaryFile file("# north\n10.0.0.1:1\n\n 10.0.0.2:1 \r\n");
  std::vector<std::string> addresses = ReadFleetAddresses(file.m_name);
  BOOST_TEST(
    (addresses == std::vector<std::string>{ "10.0.0.1:1", "10.0.0.2:1" }));
  TemporaryFile empty("# none\n");
  BOOST_CHECK_THROW(ReadFleetAddresses(empty.m_name), Error);
}

BOOST_AUTO_TEST_CASE(UnreachableVmsPrintARemedy)
{
  std::string address = RawListener().Address(); // already closed
  RunResult result = Run({ "status", "--vm", address });
  BOOST_TEST((result.m_exit == CtlExit::Failed));
  BOOST_TEST(Contains(result.m_err, address + ": no answer"));
  BOOST_TEST(Contains(result.m_err, "operators.listen"));
}

BOOST_AUTO_TEST_CASE(MutualTlsRefusesOtherAuthorities)
{
  TestAuthority authority("fleet");
  TestAuthority stranger("stranger");
  TlsFiles ours = authority.Issue("operator", "127.0.0.1");
  TlsFiles theirs = stranger.Issue("operator", "127.0.0.1");
  ServerOptions options;
  options.m_tls = authority.Issue("vm", "127.0.0.1");
  options.m_tls.m_peerAuthority = authority.File();
  FakeOperators vm(options);
  vm.Set("status", kStatus);
  auto status = [&](const TlsFiles& aFiles) {
    return Run({ "status",
                 "--vm",
                 vm.Address(),
                 "--cert",
                 aFiles.m_certificate,
                 "--key",
                 aFiles.m_key,
                 "--authority",
                 authority.File() });
  };
  BOOST_TEST((status(ours).m_exit == CtlExit::Ok));
  BOOST_TEST((status(theirs).m_exit == CtlExit::Failed));
  RunResult plain = Run({ "status", "--vm", vm.Address() });
  BOOST_TEST((plain.m_exit == CtlExit::Failed));
  BOOST_TEST(Contains(plain.m_err, "give --cert, --key and --authority"));
  BOOST_TEST(vm.m_calls == 1);
}

BOOST_AUTO_TEST_CASE(InvalidRpcAnswersFail)
{
  for (const char* body : { "",
                            "null",
                            "[]",
                            "{\"jsonrpc\":\"2.0\"}",
                            "{\"jsonrpc\":\"2.0\",\"error\":{}}",
                            "{\"jsonrpc\":\"2.0\",\"result\":7}" }) {
    VmAnswer answer =
      ReadRpcAnswer("vm", { .m_status = 200, .m_headers = {}, .m_body = body });
    BOOST_TEST(!answer.m_result.has_value());
    BOOST_TEST(!answer.m_error.empty());
  }
  VmAnswer refused = ReadRpcAnswer(
    "vm", { .m_status = 404, .m_headers = {}, .m_body = "/rpc\n" });
  BOOST_TEST(Contains(refused.m_error, "404"));
}

BOOST_AUTO_TEST_CASE(AuditPassesFilterToTheDaemon)
{
  FakeOperators vm;
  vm.Set("audit", R"({"dropped":3,"entries":[{"sequence":9,"kind":"order",
    "subject":"10.0.1.1:80","change":"load draft 2","cause":"revision 8",
    "revision":8,"line":""}]})");
  RunResult result = Run({ "audit",
                           "--vm",
                           vm.Address(),
                           "--kind",
                           "order",
                           "--subject",
                           "10.0.1.1:80",
                           "--limit",
                           "20" });
  BOOST_TEST((result.m_exit == CtlExit::Ok));
  BOOST_TEST(vm.m_params["kind"].asString() == "order");
  BOOST_TEST(vm.m_params["subject"].asString() == "10.0.1.1:80");
  BOOST_TEST(vm.m_params["limit"].asUInt() == 20u);
  BOOST_TEST(Contains(result.m_out, "load draft 2"));
  BOOST_TEST(Contains(result.m_out, "3 older changes were dropped"));
}

BOOST_AUTO_TEST_CASE(ExplainSucceedsIfOneVmKnowsTheRequest)
{
  FakeOperators knows;
  FakeOperators other;
  knows.Set("explain", R"({"request":"10.0.0.1:1~1f~42","service":"drafting",
    "caller":"planners","state":"ended","outcome":"answered","reason":"",
    "tokens":12,"age_ms":900,"attempts":[{"attempt":1,"prefill":"10.0.1.1:80",
    "upstream":"10.0.1.2:80","end":"answered"}],"alternatives":[
    {"prefill":"10.0.1.1:80","decode":"10.0.1.2:80","cost_s":0.00068145},
    {"prefill":"10.0.1.1:80","decode":"10.0.1.3:80","cost_s":2.0}]})");
  RunResult result = Run({ "explain",
                           "10.0.0.1:1~1f~42",
                           "--fleet",
                           other.Address() + "," + knows.Address() });
  BOOST_TEST((result.m_exit == CtlExit::Ok));
  BOOST_TEST(knows.m_params["request"].asString() == "10.0.0.1:1~1f~42");
  BOOST_TEST(Contains(result.m_out, "10.0.1.1:80  10.0.1.2:80"));
  BOOST_TEST(Contains(result.m_out, "10.0.1.2:80   0.0007"));
  BOOST_TEST(Contains(result.m_out, "10.0.1.3:80        2\n"));
  RunResult unknown =
    Run({ "explain", "10.0.0.1:1~1f~42", "--vm", other.Address() });
  BOOST_TEST((unknown.m_exit == CtlExit::Failed));
}

BOOST_AUTO_TEST_CASE(ViewsPrintDashForMissingMembers)
{
  FakeOperators vm;
  vm.Set("upstreams", R"({"engines":[{"address":"10.0.1.1:80",
    "report_age_ms":null},7]})");
  vm.Set("requests", R"({"requests":[{"age_ms":1500,"attempts":[{},{}]}]})");
  vm.Set("drain", R"({"draining":true})");
  RunResult upstreams = Run({ "upstreams", "--vm", vm.Address() });
  BOOST_TEST(Contains(upstreams.m_out, "10.0.1.1:80  -"));
  RunResult requests = Run({ "requests", "--vm", vm.Address() });
  BOOST_TEST(Contains(requests.m_out, "1.5 s"));
  RunResult drain = Run({ "drain", "--vm", vm.Address() });
  BOOST_TEST(Contains(drain.m_out, vm.Address() + "  yes"));
}

BOOST_AUTO_TEST_CASE(WatchRepeatsUntilItsPaceEnds)
{
  FakeOperators vm;
  vm.Set("status", kStatus);
  RunResult result =
    Run({ "status", "--vm", vm.Address(), "--watch", "5" }, false, 2);
  BOOST_TEST((result.m_exit == CtlExit::Ok));
  BOOST_TEST(vm.m_calls == 3);
}

BOOST_AUTO_TEST_CASE(PlanShowsChangesAndStepsInOrder)
{
  FakeOperators vm;
  vm.SetText(ReadData("fleet-good.json"));
  vm.Set("upstreams", R"({"engines":[{"address":"127.0.0.1:7002",
    "role":"decode","model":"draft","version":"1"}]})");
  TemporaryFile file(ChangedText([](Json::Value& aText) {
    aText["revision"] = 8;
    aText["services"][0]["deadline_ms"] = 5000;
    aText["models"][0]["version"] = "2";
    aText["models"][0]["weight_bytes"] = 1000;
    aText["weight_store_bytes_per_second"] = 100;
  }));
  RunResult result = Run({ "plan", file.m_name, "--vm", vm.Address() });
  BOOST_TEST((result.m_exit == CtlExit::Ok));
  BOOST_TEST(Contains(result.m_out, "revision 7 -> 8"));
  BOOST_TEST(Contains(result.m_out, "deadline_ms 60000 -> 5000"));
  BOOST_TEST(Contains(result.m_out, "127.0.0.1:7002  drain, load draft 2"));
  BOOST_TEST(Contains(result.m_out, "Model loads: 2, at least 20 s"));
  RunResult json = Run({ "plan", file.m_name, "--vm", vm.Address(), "--json" });
  BOOST_TEST(ParseJson(json.m_out)["model_loads"].asInt() == 2);
}

BOOST_AUTO_TEST_CASE(PlanRefusesWhatDaemonsWouldRefuse)
{
  FakeOperators vm;
  vm.SetText(ReadData("fleet-good.json"));
  vm.Set("upstreams", R"({"engines":[]})");
  TemporaryFile older(
    ChangedText([](Json::Value& aText) { aText["revision"] = 6; }));
  RunResult stale = Run({ "plan", older.m_name, "--vm", vm.Address() });
  BOOST_TEST((stale.m_exit == CtlExit::Invalid));
  BOOST_TEST(Contains(stale.m_err, "remedy: Set \"revision\" to 8"));
  TemporaryFile broken("{}");
  RunResult invalid = Run({ "plan", broken.m_name, "--vm", vm.Address() });
  BOOST_TEST((invalid.m_exit == CtlExit::Invalid));
}

BOOST_AUTO_TEST_CASE(PlanUsesReadRolesAndTheNewestText)
{
  FakeOperators older;
  FakeOperators newer;
  std::string text =
    ChangedText([](Json::Value& aText) { aText["revision"] = 8; });
  older.SetText(ReadData("fleet-good.json"));
  newer.SetText(text);
  older.Set("upstreams", R"({"engines":[]})");
  newer.Set("upstreams", R"({"engines":[{"address":"127.0.0.1:7002",
    "role":"prefill","model":"draft","version":"1"}]})");
  TemporaryFile file(text);
  RunResult result = Run({ "plan",
                           file.m_name,
                           "--fleet",
                           older.Address() + "," + newer.Address() });
  BOOST_TEST((result.m_exit == CtlExit::Ok));
  BOOST_TEST(Contains(result.m_err, "different revisions"));
  BOOST_TEST(Contains(result.m_out, "revision 8 -> 8"));
  BOOST_TEST(Contains(result.m_out, "role prefill -> decode"));
}

BOOST_AUTO_TEST_CASE(ServicesComeAfterTheirDependencies)
{
  FleetPtr fleet = ParseFleetText(ReadData("fleet-good.json"), "good");
  BOOST_TEST((ServicesInDependencyOrder(*fleet) ==
              std::vector<std::string>{ "booking", "drafting" }));
}
