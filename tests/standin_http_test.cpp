/// Tests of the stand-ins over HTTP on loopback: engines, platform, service.

#define BOOST_TEST_MODULE standin_http
#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

#include "standin_engine.h"
#include "standin_platform.h"
#include "standin_service.h"
#include "standin_text.h"

using namespace shallotford;
using namespace shallotford::standin;
using namespace std::chrono_literals;

namespace {

/// Runs one stand-in on a thread of its own.
template<class Server>
class Running
{
public:
  template<class... Args>
  explicit Running(Args... aArgs)
    : m_loop(MakeLoop({ .m_name = "standin" }))
    , m_server(*m_loop, aArgs...)
    , m_listener(m_loop->Listen({}, m_server))
    , m_thread([this] { m_loop->Run(); })
  {
  }
  ~Running()
  {
    m_loop->Stop();
    m_thread.join();
  }
  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(m_listener->Port());
  }

  /// Only for settings made before the first call.
  Server& Get() { return m_server; }

private:
  std::unique_ptr<LoopI> m_loop;
  Server m_server;
  std::unique_ptr<HttpServerI> m_listener;
  std::thread m_thread;
};

/// Sends one call and waits for its whole answer.
HttpResult
Send(const std::string& aMethod,
     const std::string& aAddress,
     const std::string& aPath,
     const std::string& aBody = "")
{
  std::unique_ptr<LoopI> loop = MakeLoop({ .m_name = "client" });
  HttpResult result;
  std::unique_ptr<HttpClientCallI> call;
  loop->Post([&] {
    HttpCall request;
    request.m_method = aMethod;
    request.m_address = aAddress;
    request.m_path = aPath;
    request.m_body = aBody;
    call = loop->Client().FetchWhole(request, [&](const HttpResult& aResult) {
      result = aResult;
      loop->Stop();
    });
  });
  loop->Run();
  call.reset();
  return result;
}

int
StatusOf(const HttpResult& aResult)
{
  return aResult.m_reply ? aResult.m_reply->m_status : 0;
}

Json::Value
JsonOf(const HttpResult& aResult)
{
  BOOST_REQUIRE(aResult.m_reply.has_value());
  return ParseJson(aResult.m_reply->m_body);
}

EngineSettings
FastEngine(EngineRole aRole)
{
  EngineSettings settings;
  settings.m_model.m_role = aRole;
  settings.m_model.m_decodeStep = 1ms;
  settings.m_model.m_decodeStepPerStream = 0us;
  settings.m_model.m_prefillTokensPerSecond = 1'000'000;
  return settings;
}

/// Claims, prefills and pulls. @returns the import, or "" if the pull failed
std::string
Prepare(const std::string& aPrefill,
        const std::string& aDecode,
        const std::string& aStream,
        const std::string& aPrompt)
{
  Json::Value claim(Json::objectValue);
  claim["stream"] = aStream;
  claim["model"] = "draft";
  claim["prompt_tokens"] = 3;
  claim["max_tokens"] = 5;
  HttpResult claimed =
    Send("POST", aDecode, "/engine/v1/imports", WriteJson(claim));
  BOOST_TEST(StatusOf(claimed) == 201);
  std::string import = JsonOf(claimed)["import"].asString();

  claim["prompt"] = aPrompt;
  HttpResult prefilled =
    Send("POST", aPrefill, "/engine/v1/prefills", WriteJson(claim));
  BOOST_TEST(StatusOf(prefilled) == 200);

  Json::Value pull(Json::objectValue);
  pull["from"] = aPrefill;
  pull["export"] = JsonOf(prefilled)["export"];
  pull["kv_bytes"] = 1'000;
  HttpResult pulled = Send(
    "POST", aDecode, "/engine/v1/imports/" + import + "/pull", WriteJson(pull));
  return StatusOf(pulled) == 200 ? import : "";
}

/// Returns the text of a stream's events, and checks their positions.
std::string
TextOf(const HttpResult& aResult, std::uint32_t aFrom, bool& aDone)
{
  std::string text;
  std::uint32_t position = aFrom;
  EventStreamParser parser;
  parser.Feed(aResult.m_reply->m_body, [&](const ServerSentEvent& aEvent) {
    Json::Value data = ParseJson(aEvent.m_data);
    aDone = data["done"].asBool();
    if (!aDone) {
      BOOST_TEST(data["position"].asUInt() == position);
      BOOST_TEST(aEvent.m_id == std::to_string(position));
      ++position;
      text += data["text"].asString();
    }
  });
  return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_goes_through_both_engines)
{
  Running<EngineServer> prefill(FastEngine(EngineRole::Prefill));
  Running<EngineServer> decode(FastEngine(EngineRole::Decode));
  std::string prompt = "user: draft a summary\n";
  std::string stream = "127.0.0.1:7001~ab~1~1";
  std::string import =
    Prepare(prefill.Address(), decode.Address(), stream, prompt);
  BOOST_REQUIRE(!import.empty());
  BOOST_TEST(
    JsonOf(Send("GET", prefill.Address(), "/admin/stats"))["streams"].empty());

  Json::Value start(Json::objectValue);
  start["stream"] = stream;
  start["import"] = import;
  start["max_tokens"] = 5;
  start["start"] = 0;
  bool done = false;
  HttpResult streamed =
    Send("POST", decode.Address(), "/engine/v1/streams", WriteJson(start));
  std::string expected = GeneratedText(Fingerprint(prompt), 5);
  BOOST_TEST(TextOf(streamed, 0, done) == expected);
  BOOST_TEST(done);

  // Held for resume until it is cancelled.
  std::string path = "/engine/v1/streams/" + PercentEncode(stream);
  HttpResult resumed = Send("GET", decode.Address(), path + "?from=3");
  done = false;
  BOOST_TEST(GeneratedText(Fingerprint(prompt), 3) + TextOf(resumed, 3, done) ==
             expected);
  BOOST_TEST(StatusOf(Send("DELETE", decode.Address(), path)) == 200);
  BOOST_TEST(StatusOf(Send("DELETE", decode.Address(), path)) == 200);
  BOOST_TEST(StatusOf(Send("GET", decode.Address(), path)) == 404);
  Json::Value stats = JsonOf(Send("GET", decode.Address(), "/admin/stats"));
  BOOST_TEST(stats["pieces_held"].asUInt() == 0u);
  BOOST_TEST(stats["tokens_generated"].asUInt() == 5u);
}

BOOST_AUTO_TEST_CASE(faults_come_by_admin_call)
{
  Running<EngineServer> prefill(FastEngine(EngineRole::Prefill));
  Running<EngineServer> decode(FastEngine(EngineRole::Decode));
  std::string faults = "/admin/faults";
  BOOST_TEST(StatusOf(Send("POST",
                           decode.Address(),
                           faults,
                           R"({"stall_rate":1.0,"stall_ms":10})")) == 200);
  BOOST_TEST(Prepare(prefill.Address(), decode.Address(), "a", "one").empty());
  BOOST_TEST(
    JsonOf(
      Send("GET", prefill.Address(), "/admin/stats"))["prefill_tokens_wasted"]
      .asUInt() == 1u);

  Send("POST", decode.Address(), faults, R"({"leaving":true})");
  HttpResult refused =
    Send("POST",
         decode.Address(),
         "/engine/v1/imports",
         R"({"stream":"b","model":"draft","prompt_tokens":1,"max_tokens":1})");
  BOOST_TEST(StatusOf(refused) == 503);
  BOOST_TEST(JsonOf(refused)["reason"].asString() == "leaving");
  BOOST_TEST(StatusOf(Send(
               "POST", decode.Address(), faults, R"({"no_such":1})")) == 400);
}

BOOST_AUTO_TEST_CASE(readers_learn_why_a_stream_ends)
{
  Running<EngineServer> prefill(FastEngine(EngineRole::Prefill));
  EngineSettings slow = FastEngine(EngineRole::Decode);
  slow.m_model.m_decodeStep = 60s;
  Running<EngineServer> decode(slow);
  std::string import = Prepare(prefill.Address(), decode.Address(), "a", "one");
  std::string stream = "/engine/v1/streams/a";
  Json::Value start(Json::objectValue);
  start["stream"] = "a";
  start["import"] = import;
  start["max_tokens"] = 5;
  auto attached = [&] {
    Json::Value list = JsonOf(Send("GET", decode.Address(), "/admin/stats"));
    return list["streams"][0]["attached"].asBool();
  };
  HttpResult older;
  std::thread first([&] {
    older =
      Send("POST", decode.Address(), "/engine/v1/streams", WriteJson(start));
  });
  while (!attached()) {
  }
  HttpResult newer;
  std::thread second(
    [&] { newer = Send("GET", decode.Address(), stream + "?from=0"); });
  first.join();
  BOOST_TEST(older.m_reply->m_body == "event: superseded\ndata: {}\n\n");
  Send("DELETE", decode.Address(), stream);
  second.join();
  BOOST_TEST(newer.m_reply->m_body == "event: cancelled\ndata: {}\n\n");
}

BOOST_AUTO_TEST_CASE(a_marked_prompt_crashes_the_decode_engine)
{
  EngineSettings settings = FastEngine(EngineRole::Prefill);
  settings.m_poisonWord = "poison";
  Running<EngineServer> prefill(settings);
  Running<EngineServer> decode(FastEngine(EngineRole::Decode));
  std::promise<void> crashed;
  decode.Get().OnCrash([&] { crashed.set_value(); });
  std::string import =
    Prepare(prefill.Address(), decode.Address(), "a", "one poison two");
  Json::Value start(Json::objectValue);
  start["stream"] = "a";
  start["import"] = import;
  start["max_tokens"] = 5;
  std::thread caller([&] {
    Send("POST", decode.Address(), "/engine/v1/streams", WriteJson(start));
  });
  crashed.get_future().wait();
  Json::Value stats = JsonOf(Send("GET", decode.Address(), "/admin/stats"));
  BOOST_TEST(stats["pieces_held"].asUInt() == 0u);
  BOOST_TEST(stats["tokens_generated"].asUInt() == 0u);
  // The process would be gone; here the engine lives on and ends the call.
  Send("DELETE", decode.Address(), "/engine/v1/streams/a");
  caller.join();
}

BOOST_AUTO_TEST_CASE(orders_are_fenced_and_bad_calls_refused)
{
  EngineSettings settings = FastEngine(EngineRole::Decode);
  settings.m_model.m_checksFencing = true;
  Running<EngineServer> engine(settings);
  std::string orders = "/engine/v1/orders";
  std::string drain = R"({"fence":5,"order":"drain"})";
  BOOST_TEST(StatusOf(Send("POST", engine.Address(), orders, drain)) == 202);
  HttpResult old = Send("POST", engine.Address(), orders, drain);
  BOOST_TEST(StatusOf(old) == 409);
  BOOST_TEST(JsonOf(old)["accepted_fence"].asUInt() == 5u);
  Json::Value state = JsonOf(Send("GET", engine.Address(), "/engine/v1/state"));
  BOOST_TEST(state["draining"].asBool());
  BOOST_TEST(StatusOf(Send("POST", engine.Address(), orders, "{")) == 400);
  BOOST_TEST(StatusOf(Send("GET", engine.Address(), "/nothing")) == 404);
}

BOOST_AUTO_TEST_CASE(concurrent_transfers_share_the_link)
{
  SharedLink link(1'000);
  TimePoint start{ 1s };
  link.Add(start, 1'000);
  link.Add(start + 500ms, 1'000);
  BOOST_TEST((link.NextDoneAt() == start + 1'500ms));
  BOOST_TEST(link.Advance(start + 1'499ms).empty());
  BOOST_TEST(link.Advance(start + 1'500ms).size() == 1u);
  BOOST_TEST((link.NextDoneAt() == start + 2s));
  BOOST_TEST(link.Advance(start + 2s).size() == 1u);
  BOOST_TEST((link.NextDoneAt() == TimePoint::max()));
}

BOOST_AUTO_TEST_CASE(the_platform_serves_watches_and_its_faults)
{
  Running<PlatformServer> platform(
    PlatformOptions{ .m_fleetText = "{\"revision\":1}", .m_vms = {} });
  std::string address = platform.Address();
  HttpResult first = Send("GET", address, "/config/fleet");
  BOOST_TEST(first.m_reply->m_body == "{\"revision\":1}");
  BOOST_TEST(*FindHeader(first.m_reply->m_headers, "x-version") == "1");
  BOOST_TEST(
    StatusOf(Send("GET", address, "/config/fleet?after=1&wait_ms=20")) == 204);

  std::thread publisher([&] {
    while (
      JsonOf(Send("GET", address, "/admin/stats"))["config_watches"].asUInt() ==
      0) {
    }
    Send("PUT", address, "/admin/config", "{\"revision\":2}");
  });
  HttpResult second =
    Send("GET", address, "/config/fleet?after=1&wait_ms=60000");
  publisher.join();
  BOOST_TEST(second.m_reply->m_body == "{\"revision\":2}");

  Send("PUT", address, "/admin/mode", R"({"stale_version":1})");
  BOOST_TEST(Send("GET", address, "/config/fleet").m_reply->m_body ==
             "{\"revision\":1}");
  Send("PUT", address, "/admin/mode", R"({"stale_version":0,"cut":true})");
  BOOST_TEST(Send("GET", address, "/config/fleet").m_reply->m_body ==
             "{\"revis");
  Send("PUT", address, "/admin/mode", R"({"down":true})");
  BOOST_TEST(StatusOf(Send("GET", address, "/config/fleet")) == 0);
  BOOST_TEST(StatusOf(Send("PUT", address, "/config/fleet", "{}")) == 0);
  Send("PUT", address, "/admin/mode", R"({"down":false,"cut":false})");
  BOOST_TEST(StatusOf(Send("PUT", address, "/config/fleet", "{}")) == 405);
}

BOOST_AUTO_TEST_CASE(the_service_counts_what_it_ran)
{
  Running<ServiceServer> service(ServiceFaults{ .m_delay = 1ms, .m_fault = {} },
                                 std::uint64_t{ 1 });
  std::string address = service.Address();
  std::string hold = R"({"key":"k1"})";
  BOOST_TEST(StatusOf(Send("POST", address, "/holds", hold)) == 200);
  Send("POST", address, "/admin/faults", R"({"fault":"close_after"})");
  BOOST_TEST(StatusOf(Send("POST", address, "/holds", hold)) == 0);
  Send("POST", address, "/admin/faults", R"({"fault":"close_before"})");
  BOOST_TEST(StatusOf(Send("POST", address, "/holds", hold)) == 0);
  Send("POST", address, "/admin/faults", R"({"fault":"not_run"})");
  HttpResult notRun = Send("POST", address, "/holds", hold);
  BOOST_TEST(StatusOf(notRun) == 503);
  BOOST_TEST(*FindHeader(notRun.m_reply->m_headers, "x-run") == "no");
  BOOST_TEST(JsonOf(Send("GET", address, "/admin/executions"))["k1"].asUInt() ==
             2u);
}
