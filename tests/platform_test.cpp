/// Tests the adapter to the users' platform: decoding of its configuration and
/// server entries, and translation of its header fields.

#define BOOST_TEST_MODULE platform
#include <boost/test/unit_test.hpp>

#include "platform.h"

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

DirectoryItem
Item(const std::string& aKey, const std::string& aValue)
{
  return { .m_key = aKey, .m_value = aValue, .m_revision = 1 };
}

std::string
ErrorOf(const std::string& aKey, const std::string& aValue)
{
  try {
    platform::MakeDecoder()->Decode(Item(aKey, aValue));
  } catch (const Error& error) {
    return error.what();
  }
  return "";
}

const std::string kServer =
  R"({"service":"s","address":"10.0.0.9:80","zone":"z1","version":"v1",)"
  R"("slots":128,"state":"ready","cold-ms":0,"stage":"decode","seq":4,)"
  R"("born":1700000000000})";

std::string
ReplaceFirst(std::string aText,
             const std::string& aOld,
             const std::string& aNew)
{
  return aText.replace(aText.find(aOld), aOld.size(), aNew);
}

std::string
FieldValue(const HttpHeaders& aFields, const std::string& aName)
{
  const std::string* value = FindField(aFields, aName);
  return value == nullptr ? "(none)" : *value;
}

RequestFacts
FactsOfPrompt(const std::string& aParts)
{
  return platform::MakeDialect()->ReadRequest(
    { .m_fields = { { "X-Shallotford-Prompt-Prefix", aParts } } });
}

RequestHead
MakeCallerHead()
{
  return { .m_method = "POST",
           .m_target = "/p/x",
           .m_fields = { { "Host", "h.example" },
                         { "X-Shallotford-Request-Id", "r1" },
                         { "X-Shallotford-Deadline-Ms", "1200" },
                         { "X-Shallotford-Token-Count", "5000,781" },
                         { "X-Shallotford-Kv-Hold", "forged" },
                         { "x-shallotford-stage", "prefill" },
                         { "Last-Event-Id", "3" },
                         { "Connection", "close" },
                         { "Content-Length", "5" } } };
}

} // namespace

BOOST_AUTO_TEST_CASE(server_entry_decoded_to_upstream)
{
  auto decoded = platform::MakeDecoder()->Decode(Item("servers/i-1", kServer));
  BOOST_REQUIRE(decoded.m_upstream.has_value());
  BOOST_TEST(decoded.m_upstreamId == "i-1");
  BOOST_TEST(decoded.m_upstream->m_key.m_startedMs == 1700000000000U);
  BOOST_TEST(decoded.m_upstream->m_failureDomain == "z1");
  BOOST_TEST((decoded.m_upstream->m_stage == EngineStage::Decode));
  BOOST_TEST(!decoded.m_upstream->m_draining);
}

BOOST_AUTO_TEST_CASE(malformed_server_entry_rejected_with_field_name)
{
  BOOST_TEST(ErrorOf("servers/i", "\xff\x01").find("not valid JSON") !=
             std::string::npos);
  BOOST_TEST(
    ErrorOf("servers/i", ReplaceFirst(kServer, "\"ready\"", "\"asleep\""))
      .find("\"state\"") != std::string::npos);
  BOOST_TEST(ErrorOf("servers/i", ReplaceFirst(kServer, "128", "\"128\""))
               .find("\"slots\"") != std::string::npos);
  BOOST_TEST(ErrorOf("servers/i", ReplaceFirst(kServer, "\"decode\"", "7"))
               .find("\"stage\"") != std::string::npos);
  BOOST_TEST(ErrorOf("servers/i",
                     ReplaceFirst(kServer, "1700000000000", "\"yesterday\""))
               .find("\"born\"") != std::string::npos);
  BOOST_TEST(ErrorOf("servers/i", "[]").find("an object") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(server_entry_with_invalid_address_rejected)
{
  std::string wrong = ReplaceFirst(kServer, "10.0.0.9:80", "somewhere");
  BOOST_TEST(ErrorOf("servers/i", wrong).find("\"address\"") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(organisations_and_public_routes_decoded)
{
  const std::string kConfig =
    R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/a/",)"
    R"("kind":"safe","public":true,"service":"n"},{"name":"s","host":"h",)"
    R"("prefix":"/b/","kind":"safe","public":false,"service":"n"},)"
    R"({"name":"t","host":"h","prefix":"/c/","kind":"safe","service":"n"}],)"
    R"("tenants":[{"name":"o","api-keys":["k1","k2"],"priority":3,)"
    R"("unit":"tokens","plain-tokens":200.5,"rate-per-s":64.25,)"
    R"("burst":90},{"name":"p","api-keys":[]}]})";
  RoutingPtr config =
    platform::MakeDecoder()->Decode(Item("op/config", kConfig)).m_routing;
  BOOST_TEST(config->m_routes[0].m_public);
  BOOST_TEST(!config->m_routes[1].m_public);
  BOOST_TEST(!config->m_routes[2].m_public);
  BOOST_REQUIRE(config->m_organisations.size() == 2U);
  const Organisation& first = config->m_organisations[0];
  BOOST_TEST(first.m_name == "o");
  BOOST_TEST((first.m_keys == std::vector<std::string>{ "k1", "k2" }));
  BOOST_TEST((first.m_priority == 3));
  BOOST_TEST((first.m_limit == RateLimit{ .m_perSecond = 64.25,
                                          .m_burst = 90,
                                          .m_countsTokens = true,
                                          .m_plainTokens = 200.5 }));
  const Organisation& second = config->m_organisations[1];
  BOOST_TEST(second.m_keys.empty());
  BOOST_TEST(!second.m_priority.has_value());
  BOOST_TEST((second.m_limit == RateLimit{}));
  const std::vector<std::array<std::string, 3>> kWrong{
    { "\"public\":true", "\"public\":1", "\"public\"" },
    { R"("name":"o")", R"("name":7)", "\"name\"" },
    { R"(["k1","k2"])", R"("k1")", "\"api-keys\"" },
    { R"("k2")", "2", "\"api-keys\"" },
    { R"("k2")", R"("")", "\"api-keys\"" },
    { "3", "-3", "\"priority\"" },
    { R"("unit":"tokens")", R"("unit":"bytes")", "\"unit\"" },
    { "64.25", "-1", "\"rate-per-s\"" },
    { "90", "\"90\"", "\"burst\"" },
    { "200.5", "[]", "\"plain-tokens\"" },
  };
  for (const auto& [part, wrong, field] : kWrong) {
    std::string error =
      ErrorOf("op/config", ReplaceFirst(kConfig, part, wrong));
    BOOST_TEST(error.find(field) != std::string::npos, field << ": " << error);
    BOOST_TEST(error.find("k1") == std::string::npos);
  }
  BOOST_TEST(
    ErrorOf("op/config", R"({"version":1,"tenants":{}})").find("\"tenants\"") !=
    std::string::npos);
}

BOOST_AUTO_TEST_CASE(removed_server_entry_keeps_upstream_id)
{
  DirectoryItem item{
    .m_key = "servers/i-1", .m_value = {}, .m_revision = 2, .m_removed = true
  };
  auto decoded = platform::MakeDecoder()->Decode(item);
  BOOST_TEST(decoded.m_upstreamId == "i-1");
  BOOST_TEST(!decoded.m_upstream.has_value());
}

BOOST_AUTO_TEST_CASE(configuration_decoded_to_routes_services_and_limits)
{
  auto decoded = platform::MakeDecoder()->Decode(Item(
    "op/config",
    R"({"version":7,"routes":[)"
    R"({"name":"r1","host":"h","prefix":"/a/","kind":"streaming",)"
    R"("timeout-ms":14000,"target-latency-ms":900,"priority":1,)"
    R"("traffic-split":[{"service":"m","weight":90},)"
    R"({"service":"n","weight":10}],"max-attempts":2,"resumable":true,)"
    R"("gap-aim-ms":300},)"
    R"({"name":"r2","host":"h","prefix":"/b/","kind":"unsafe",)"
    R"("service":"n"}],)"
    R"("services":[{"name":"m","max-connections":630,"engine":{)"
    R"("kv-tokens":59729,"stride":11,"handle-ttl-s":0.5,"hold-ms":2000.0}},)"
    R"({"name":"n","max-connections":110}],)"
    R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
    R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})"));
  BOOST_REQUIRE(decoded.m_routing != nullptr);
  const RoutingConfig& config = *decoded.m_routing;
  BOOST_TEST(config.m_version == 7U);
  BOOST_TEST(config.m_routes[0].MayRepeat());
  BOOST_TEST(config.m_routes[0].m_targets.size() == 2U);
  BOOST_TEST((config.m_routes[0].m_callerTimeout == 3'600ms));
  BOOST_TEST((config.m_routes[1].m_kind == RouteKind::RunOnce));
  BOOST_TEST(!config.m_routes[1].MayRepeat());
  BOOST_TEST(config.m_services.at("m").m_engines);
  BOOST_TEST((config.m_services.at("m").m_reservationLifetime == 2'000ms));
  BOOST_TEST(config.m_services.at("m").m_tokensPerEvent == 11U);
  BOOST_TEST(!config.m_services.at("n").m_engines);
  BOOST_TEST((config.m_limits.m_idleTimeout == 15'000ms));
}

BOOST_AUTO_TEST_CASE(malformed_configuration_rejected_with_field_name)
{
  BOOST_TEST(ErrorOf("op/config", R"({"routes":[]})").find("\"version\"") !=
             std::string::npos);
  BOOST_TEST(ErrorOf("op/config",
                     R"({"version":1,"routes":[{"name":"r","host":"h",)"
                     R"("prefix":"/","kind":"safe","timeout-ms":"soon"}]})")
               .find("\"timeout-ms\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(request_fields_parsed)
{
  RequestFacts facts = platform::MakeDialect()->ReadRequest(MakeCallerHead());
  BOOST_TEST(facts.m_id == "r1");
  BOOST_TEST((*facts.m_deadline == 1'200ms));
  BOOST_TEST(facts.m_promptTokens == 5'000U);
  BOOST_TEST(facts.m_outputTokens == 781U);
  RequestHead wrong = MakeCallerHead();
  wrong.m_fields[2].m_value = "soon";
  BOOST_CHECK_THROW(platform::MakeDialect()->ReadRequest(wrong), Error);
}

BOOST_AUTO_TEST_CASE(reserved_fields_of_callers_not_forwarded)
{
  auto dialect = platform::MakeDialect();
  HttpHeaders fields = dialect->FieldsForUpstream(
    MakeCallerHead(), { .m_timeLeft = 800ms, .m_upstreamId = "i-1" });
  BOOST_TEST(FieldValue(fields, "X-Shallotford-Request-Id") == "r1");
  BOOST_TEST(FieldValue(fields, "X-Shallotford-Deadline-Ms") == "800");
  BOOST_TEST(FieldValue(fields, "X-Shallotford-Expect-Instance") == "i-1");
  BOOST_TEST(FieldValue(fields, "Last-Event-Id") == "3");
  for (const char* name : { "X-Shallotford-Kv-Hold",
                            "X-Shallotford-Stage",
                            "X-Shallotford-Kv-Source",
                            "Connection",
                            "Content-Length" }) {
    BOOST_TEST(FieldValue(fields, name) == "(none)", name);
  }
}

BOOST_AUTO_TEST_CASE(dispatch_fields_added_to_forwarded_request)
{
  auto dialect = platform::MakeDialect();
  HttpHeaders prefill = dialect->FieldsForUpstream(
    MakeCallerHead(), { .m_upstreamId = "i-1", .m_prefillOnly = true });
  BOOST_TEST(FieldValue(prefill, "X-Shallotford-Stage") == "prefill");
  HttpHeaders run =
    dialect->FieldsForUpstream(MakeCallerHead(),
                               { .m_upstreamId = "i-2",
                                 .m_prefillAddress = "10.0.0.9:80",
                                 .m_prefillHandle = "abc",
                                 .m_reservation = "h1",
                                 .m_lastEventId = "17" });
  BOOST_TEST(FieldValue(run, "X-Shallotford-Kv-Source") == "10.0.0.9:80/abc");
  BOOST_TEST(FieldValue(run, "X-Shallotford-Kv-Hold") == "h1");
  BOOST_TEST(FieldValue(run, "Last-Event-Id") == "17");
}

BOOST_AUTO_TEST_CASE(answer_fields_parsed)
{
  auto dialect = platform::MakeDialect();
  AnswerFacts good = dialect->ReadAnswer(
    { .m_status = 200,
      .m_fields = { { "X-Shallotford-Request-Id", "r1" },
                    { "X-Shallotford-Response-Signature", "s" },
                    { "X-Shallotford-Server-Load", "3,1,8" } } });
  BOOST_TEST(good.m_isSigned);
  BOOST_TEST(!good.m_notExecuted);
  BOOST_TEST(good.m_load->m_waiting == 1U);
  AnswerFacts shed = dialect->ReadAnswer(
    { .m_status = 503,
      .m_fields = { { "X-Shallotford-Not-Executed", "1" },
                    { "X-Shallotford-Server-Load", "3,x" } } });
  BOOST_TEST(shed.m_notExecuted);
  BOOST_TEST(!shed.m_load.has_value());
  BOOST_TEST(dialect->ReadAnswer({ .m_status = 421 }).m_replaced);
  BOOST_TEST(dialect->ReadPrefill(R"({"handle":"abc","tokens":1})") == "abc");
  BOOST_CHECK_THROW(dialect->ReadPrefill(R"({"tokens":1})"), Error);
  BOOST_CHECK_THROW(dialect->ReadPrefill("no json"), Error);
}

BOOST_AUTO_TEST_CASE(load_with_the_time_that_work_takes_is_read)
{
  auto loadOf = [](const std::string& aText) {
    return platform::MakeDialect()
      ->ReadAnswer({ .m_status = 200,
                     .m_fields = { { "X-Shallotford-Server-Load", aText } } })
      .m_load;
  };
  BOOST_REQUIRE(loadOf("1,2,6,250").has_value());
  BOOST_TEST(loadOf("1,2,6,250")->m_running == 1U);
  BOOST_TEST(loadOf("1,2,6,250")->m_waiting == 2U);
  BOOST_TEST(loadOf("1,2,6,250")->m_slowness == 2.5);
  BOOST_TEST(loadOf("1,2,6,250")->m_tellsSlowness);
  BOOST_TEST(!loadOf("1,2,6")->m_tellsSlowness);
  BOOST_TEST(loadOf("1,2,6")->m_slowness == 1.0);
  BOOST_TEST(loadOf("1,2,6,0")->m_slowness == 1.0);
  BOOST_TEST(!loadOf("1,2,6,x").has_value());
  BOOST_TEST(!loadOf("1,2,6,100,3").has_value());
}

BOOST_AUTO_TEST_CASE(organisation_and_urgency_are_set_for_the_upstream)
{
  auto dialect = platform::MakeDialect();
  RequestHead head = MakeCallerHead();
  head.m_fields.push_back({ "authorization", "Bearer secret" });
  head.m_fields.push_back({ "X-Shallotford-Tenant", "forged" });
  head.m_fields.push_back({ "X-Shallotford-Request-Priority", "0" });
  HttpHeaders known = dialect->FieldsForUpstream(
    head, { .m_organisation = "shop", .m_urgency = 12 });
  BOOST_TEST(FieldValue(known, "Authorization") == "(none)");
  BOOST_TEST(FieldValue(known, "X-Shallotford-Tenant") == "shop");
  BOOST_TEST(FieldValue(known, "X-Shallotford-Request-Priority") == "9");
  HttpHeaders open = dialect->FieldsForUpstream(head, { .m_organisation = "" });
  BOOST_TEST(FieldValue(open, "Authorization") == "(none)");
  BOOST_TEST(FieldValue(open, "X-Shallotford-Tenant") == "(none)");
  BOOST_TEST(FieldValue(open, "X-Shallotford-Request-Priority") == "(none)");
  HttpHeaders without = dialect->FieldsForUpstream(head, {});
  BOOST_TEST(FieldValue(without, "Authorization") == "Bearer secret");
}

BOOST_AUTO_TEST_CASE(length_hint_is_read)
{
  auto hintOf = [](const std::string& aText) {
    return platform::MakeDialect()
      ->ReadRequest({ .m_fields = { { "X-Shallotford-Length-Hint", aText } } })
      .m_outputHint;
  };
  BOOST_TEST(hintOf("781").value_or(0) == 781U);
  BOOST_TEST(!hintOf("many").has_value());
}

BOOST_AUTO_TEST_CASE(the_parts_of_a_prompt_are_read_in_order)
{
  std::vector<std::string> expected{ "5c1e07a2", "91bd3f06", "e4402b7d" };
  RequestFacts facts = FactsOfPrompt("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  BOOST_TEST(facts.m_promptParts == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_malformed_list_of_prompt_parts_names_none)
{
  std::string tooMany = "a:1";
  for (int i = 0; i < 64; ++i) {
    tooMany += ",a:1";
  }
  for (const std::string& text : { std::string("x:1"),
                                   std::string("5c,,7a:1"),
                                   std::string(65, 'a') + ":1",
                                   tooMany }) {
    BOOST_TEST(FactsOfPrompt(text).m_promptParts.empty(), text);
  }
}
