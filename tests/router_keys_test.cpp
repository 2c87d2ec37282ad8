/// Tests of a router whose configuration has organisations: which requests run,
/// and that a withdrawn key ends in time, also without the store.

#define BOOST_TEST_MODULE router_keys
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "router_fixture.h"

using namespace shallotford;
using namespace shallotford::test;

namespace {

const std::string kKey = "key-of-a-39f02c";
const std::string kOtherKey = "key-of-b-71d5aa";

/// ConfigText() with a public route "/open/" and organisations "a" and "b".
std::string
KeysConfig(std::uint64_t aVersion, bool aWithKey = true)
{
  std::string text = ConfigText(aVersion,
                                R"(,{"name":"open","host":"h",)"
                                R"("prefix":"/open/","kind":"safe",)"
                                R"("public":true,"service":"plain"})");
  text.pop_back();
  return text + R"(,"tenants":[{"name":"a","priority":1,"api-keys":[)" +
         (aWithKey ? "\"" + kKey + "\"" : "") +
         R"(]},{"name":"b","api-keys":[")" + kOtherKey + R"("]}]})";
}

std::string
KeyField(const std::string& aKey = kKey)
{
  return "Authorization: Bearer " + aKey + "\r\n";
}

RouterOptions
Revoking()
{
  RouterOptions options = RouterFixture::Options();
  options.m_revoke = 5'000ms;
  options.m_changesWithin = 4'000ms;
  return options;
}

/// A VM with the configuration of KeysConfig().
struct Keys : Plain
{
  explicit Keys(const RouterOptions& aOptions = Revoking())
    : Plain(aOptions)
  {
    Publish(KeysConfig(2));
    WaitFor([this] { return CountLogLines("event=organisations") == 1; });
  }
  ~Keys() { CheckLog(); }
  Keys(const Keys&) = delete;
  Keys& operator=(const Keys&) = delete;

  void CheckLog()
  {
    for (const std::string& key : { kKey, kOtherKey }) {
      BOOST_TEST(CountLogLines(key) == 0U);
    }
  }
  void Withdraw()
  {
    Publish(KeysConfig(3, false));
    BOOST_TEST(WaitFor(
      [this] { return CountLogLines("event=configuration version=3") >= 1; }));
  }
  bool Answers(const std::string& aStatus, const std::string& aFields)
  {
    return Ask("/safe/", "s" + std::to_string(++m_asked), aFields)
      .starts_with("HTTP/1.1 " + aStatus + " ");
  }
  /// Returns a field of the request aId at the server that ran it.
  std::string FieldAtServer(const std::string& aId, const std::string& aName)
  {
    return m_loop.Do([&]() -> std::string {
      for (const auto& server : m_servers) {
        for (const CallerRequest& request : server->Received()) {
          const HttpHeaders& fields = request.m_head.m_fields;
          const std::string* id = FindField(fields, "X-Shallotford-Request-Id");
          if (id != nullptr && *id == aId) {
            const std::string* value = FindField(fields, aName);
            return value == nullptr ? "(none)" : *value;
          }
        }
      }
      return "(not received)";
    });
  }
  /// Asks the router as another VM does.
  Json::Value Gossip()
  {
    HttpCall call{ .m_method = "POST",
                   .m_address =
                     "127.0.0.1:" + std::to_string(m_router->PeerPort()),
                   .m_path = "/rpc",
                   .m_body = R"({"jsonrpc":"2.0","id":1,"method":"directory",)"
                             R"("params":{"from":"127.0.0.1:9"}})" };
    HttpResult result = FetchAndWait(m_loop, call);
    BOOST_REQUIRE(result.m_reply.has_value());
    return ParseJson(result.m_reply->m_body)["result"];
  }
  int m_asked{ 0 };
};

struct WithoutRevocation : Keys
{
  WithoutRevocation()
    : Keys(Options())
  {
  }
};

/// A second VM with its own store, which tells no reachable server.
struct CutOffVm : Keys
{
  CutOffVm()
  {
    m_loop.Do([this] {
      m_cutStore = std::make_unique<PublishedStore>(*m_loop);
      PublishedServer closed(*m_loop, "i-closed");
      for (const char* id : { "i-a", "i-b", "i-c" }) {
        m_cutStore->Put("servers/" + std::string(id),
                        closed.Entry("plain", ""));
      }
      m_cutStore->Put("op/config", KeysConfig(2));
    });
    m_cutVm.emplace(*this, Revoking(), m_cutStore->Address());
    WaitFor([this] { return CountLogLines("event=organisations") == 2; });
    RouterOptions options = Revoking();
    options.m_seeds = { "127.0.0.1:" + std::to_string(m_router->PeerPort()) };
    m_cutVm->Reload(options);
  }
  ~CutOffVm()
  {
    m_cutVm.reset();
    m_loop.Do([this] { m_cutStore.reset(); });
  }
  CutOffVm(const CutOffVm&) = delete;
  CutOffVm& operator=(const CutOffVm&) = delete;

  std::string AskCutVm(const std::string& aPath,
                       const std::string& aId,
                       const std::string& aFields)
  {
    RawSocket socket(m_cutVm->Port());
    socket.Send(Request(aPath, aId, "body", "Connection: close\r\n" + aFields));
    return socket.ReadToEnd();
  }

  std::unique_ptr<PublishedStore> m_cutStore;
  std::optional<OtherVm> m_cutVm;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(only_a_valid_key_or_a_public_route_runs, Keys)
{
  const std::vector<std::string> kWrong{
    "",
    KeyField("other"),
    KeyField(kKey + "0"),
    KeyField(kKey + " " + kKey),
    KeyField() + KeyField(),
    KeyField() + KeyField("other"),
    "Authorization: Basic " + kKey + "\r\n",
    "Authorization: " + kKey + "\r\n",
    "Authorization: Bearer\r\n",
    KeyField(std::string(1'000, 'k')),
    "X-Shallotford-Tenant: a\r\n",
    "Shallotford-Relay-Organisation: a\r\n",
  };
  for (std::size_t i = 0; i < kWrong.size(); ++i) {
    std::string id = "wrong" + std::to_string(i);
    std::string answer = Ask("/safe/", id, kWrong[i]);
    BOOST_TEST(answer.starts_with("HTTP/1.1 401 "), id << " " << answer);
    BOOST_TEST(AllRuns(id) == 0);
  }
  BOOST_TEST(Ask("/none/", "r1", KeyField()).starts_with("HTTP/1.1 404 "));
  BOOST_TEST(Ask("/none/", "r2").starts_with("HTTP/1.1 404 "));
  BOOST_TEST(Has(Metrics(),
                 "shallotford_key_refusals_total{cause=\"unknown_key\"} 12\n"));
}

BOOST_FIXTURE_TEST_CASE(an_empty_list_of_organisations_allows_no_key, Keys)
{
  std::string text = KeysConfig(3);
  text.replace(
    text.find(R"("tenants":)"), std::string::npos, R"("tenants":[]})");
  Publish(text);
  BOOST_TEST(WaitFor([this] { return Answers("401", KeyField()); }));
  BOOST_TEST(Answers("401", ""));
  BOOST_TEST(Ask("/open/x", "o1").starts_with("HTTP/1.1 200 "));
}

BOOST_FIXTURE_TEST_CASE(a_refused_key_is_found_by_the_id_of_its_request, Keys)
{
  BOOST_TEST(
    Ask("/safe/", "r401", KeyField("other")).starts_with("HTTP/1.1 4"));
  BOOST_TEST(WaitFor([this] {
    return CountLogLines("event=request_rejected request=r401") == 1;
  }));
  BOOST_TEST(Ask("/safe/", "r200", KeyField()).starts_with("HTTP/1.1 200 "));
  BOOST_TEST(WaitFor([this] {
    return CountLogLines("request=r200") == 1 &&
           CountLogLines("organisation=a") == 1;
  }));
}

BOOST_FIXTURE_TEST_CASE(servers_get_the_organisation_and_no_key, Keys)
{
  const std::string kForged = "x-shallotford-tenant: b\r\n";
  BOOST_TEST(
    Ask("/safe/", "r1", KeyField() + kForged).starts_with("HTTP/1.1 200 "));
  BOOST_TEST(FieldAtServer("r1", "X-Shallotford-Tenant") == "a");
  BOOST_TEST(FieldAtServer("r1", "Authorization") == "(none)");
  BOOST_TEST(Ask("/open/", "r2", kForged).starts_with("HTTP/1.1 200 "));
  BOOST_TEST(FieldAtServer("r2", "X-Shallotford-Tenant") == "(none)");
}

BOOST_FIXTURE_TEST_CASE(a_wrong_key_is_refused_before_the_body_is_read, Keys)
{
  RawSocket socket(Port());
  socket.Send("POST /safe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n"
              "Expect: 100-continue\r\n\r\n");
  std::string answer = socket.ReadToEnd();
  BOOST_TEST(answer.starts_with("HTTP/1.1 401 "), answer);
}

BOOST_FIXTURE_TEST_CASE(a_withdrawn_key_ends_on_a_kept_connection, Keys)
{
  RawSocket kept(Port());
  kept.Send(Request("/safe/", "r1", "body", KeyField()));
  kept.ReadUntil("mark-r1");
  RawSocket inBody(Port());
  std::string late = Request("/safe/", "late", "body", KeyField());
  inBody.Send(late.substr(0, late.size() - 1));
  Withdraw();
  kept.Send(Request("/safe/", "r2", "body", KeyField()) +
            Request("/safe/", "r3", "body", KeyField()));
  std::string answers = kept.ReadToEnd();
  BOOST_TEST(Has(answers, "HTTP/1.1 401 "));
  inBody.Send(late.substr(late.size() - 1));
  BOOST_TEST(AllRuns("r2") + AllRuns("r3") + AllRuns("late") == 0);
  BOOST_TEST(Answers("200", KeyField(kOtherKey)));
  BOOST_TEST(
    CountLogLines("event=organisations version=3 organisations=2 keys=1 "
                  "organisations_before=2 keys_before=2") == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_key_ends_in_time_while_the_store_is_silent, Keys)
{
  BOOST_TEST(Answers("200", KeyField()));
  for (StoreFault fault : { StoreFault::NoAnswer, StoreFault::Unavailable }) {
    m_loop.Do([&] {
      m_store->SetFault(fault);
      m_store->Put("op/config", KeysConfig(9, false));
    });
    std::this_thread::sleep_for(5'000ms);
    std::string answer = Ask("/safe/", "after", KeyField());
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "), answer);
    BOOST_TEST(Has(answer, "Retry-After: "));
    BOOST_TEST(Has(answer, "\"run\":\"no\""));
    BOOST_TEST(AllRuns("after") == 0);
    BOOST_TEST(Ask("/open/", "o").starts_with("HTTP/1.1 200 "));
    m_loop.Do([&] { m_store->SetFault(StoreFault::None); });
    BOOST_TEST(WaitFor([&] { return Answers("200", KeyField(kOtherKey)); }));
    BOOST_TEST(Answers("401", KeyField()));
  }
  BOOST_TEST(CountLogLines("event=keys_closed") == 2U);
  BOOST_TEST(
    WaitFor([this] { return CountLogLines("event=keys_opened") == 2U; }));
}

BOOST_FIXTURE_TEST_CASE(a_key_ends_in_time_if_its_withdrawal_is_malformed, Keys)
{
  BOOST_TEST(Gossip()["proof_age_ms"].isInt64());
  std::string malformed = KeysConfig(3, false);
  malformed.replace(malformed.find(R"("priority":1)"), 12, R"("priority":"")");
  Publish(malformed);
  BOOST_TEST(
    WaitFor([this] { return CountLogLines("event=item_ignored") == 1; }));
  BOOST_TEST(!Gossip().isMember("proof_age_ms"));
  std::this_thread::sleep_for(5'000ms);
  std::string answer = Ask("/safe/", "after", KeyField());
  BOOST_TEST(answer.starts_with("HTTP/1.1 503 "), answer);
  BOOST_TEST(AllRuns("after") == 0);
  BOOST_TEST(Ask("/open/", "o").starts_with("HTTP/1.1 200 "));
  Publish(KeysConfig(4, false));
  BOOST_TEST(WaitFor([&] { return Answers("200", KeyField(kOtherKey)); }));
  BOOST_TEST(Answers("401", KeyField()));
  BOOST_TEST(Gossip()["proof_age_ms"].isInt64());
}

BOOST_FIXTURE_TEST_CASE(a_key_ends_in_time_if_its_withdrawal_is_unreadable,
                        Keys)
{
  m_loop.Do([&] {
    m_store->SetFault(StoreFault::Garbled);
    m_store->Put("op/config", KeysConfig(3, false));
  });
  std::this_thread::sleep_for(5'000ms);
  BOOST_TEST(CountLogLines("event=store_item_unreadable") >= 1U);
  std::string answer = Ask("/safe/", "after", KeyField());
  BOOST_TEST(answer.starts_with("HTTP/1.1 503 "), answer);
  BOOST_TEST(AllRuns("after") == 0);
  m_loop.Do([&] { m_store->SetFault(StoreFault::None); });
  BOOST_TEST(WaitFor([&] { return Answers("200", KeyField(kOtherKey)); }));
  BOOST_TEST(Answers("401", KeyField()));
}

BOOST_FIXTURE_TEST_CASE(a_closed_vm_opens_by_a_store_that_answers_late, Keys)
{
  m_loop.Do([&] { m_store->SetFault(StoreFault::NoAnswer); });
  BOOST_TEST(
    WaitFor([this] { return CountLogLines("event=keys_closed") == 1; }));
  m_loop.Do([&] { m_store->SetFault(StoreFault::Late); });
  BOOST_TEST(WaitFor([&] { return Answers("200", KeyField()); }));
}

BOOST_FIXTURE_TEST_CASE(without_a_bound_a_vm_serves_the_keys_it_knows,
                        WithoutRevocation)
{
  m_loop.Do([this] { m_store->SetFault(StoreFault::NoAnswer); });
  std::this_thread::sleep_for(6'000ms);
  BOOST_TEST(Answers("200", KeyField()));
  // It may be a new one.
  BOOST_TEST(Answers("503", KeyField("new")));
}

BOOST_FIXTURE_TEST_CASE(peers_prove_the_configuration_without_the_store,
                        CutOffVm)
{
  m_loop.Do([this] {
    m_cutStore->SetEra(1);
    m_cutStore->SetFault(StoreFault::NoAnswer);
  });
  std::string before = AskCutVm("/safe/", "before", KeyField());
  // Its own proof is over by then.
  std::this_thread::sleep_for(6'000ms);
  BOOST_TEST(WaitFor([this] {
    return AskCutVm("/safe/", "n" + std::to_string(++m_asked), KeyField())
      .starts_with("HTTP/1.1 200 ");
  }));
  Withdraw();
  std::this_thread::sleep_for(5'000ms);
  BOOST_TEST(
    !AskCutVm("/safe/", "after", KeyField()).starts_with("HTTP/1.1 2"));
  BOOST_TEST(AllRuns("after") == 0);
  BOOST_TEST(WaitFor([this] {
    return AskCutVm("/safe/", "b" + std::to_string(++m_asked), KeyField())
      .starts_with("HTTP/1.1 401 ");
  }));
}

BOOST_FIXTURE_TEST_CASE(a_relayed_request_brings_its_organisation_and_no_key,
                        CutOffVm)
{
  std::string id;
  BOOST_TEST(WaitFor([&] {
    id = "r" + std::to_string(++m_asked);
    return AskCutVm("/safe/", id, KeyField()).starts_with("HTTP/1.1 200 ");
  }));
  BOOST_TEST(FieldAtServer(id, "X-Shallotford-Tenant") == "a");
  BOOST_TEST(FieldAtServer(id, "Authorization") == "(none)");
  BOOST_TEST(AskCutVm("/safe/", "wrong", KeyField("wrong"))
               .starts_with("HTTP/1.1 401 "));
  BOOST_TEST(AllRuns("wrong") == 0);
  // On the port for VMs, a key counts nothing.
  std::string address = Gossip()["relay"]["address"].asString();
  auto port = static_cast<std::uint16_t>(
    std::stoi(address.substr(address.find(':') + 1)));
  const std::string kRelay =
    "Connection: close\r\nShallotford-Relay-Config: 2\r\n";
  for (const std::string& fields :
       { KeyField(),
         std::string("Shallotford-Relay-Organisation: gone\r\n") }) {
    RawSocket socket(port);
    socket.Send(Request("/safe/", "relayed", "body", kRelay + fields));
    std::string answer = socket.ReadToEnd();
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "), answer);
    BOOST_TEST(AllRuns("relayed") == 0);
  }
}

BOOST_FIXTURE_TEST_CASE(only_organisations_add_to_the_gossip, Keys)
{
  BOOST_TEST(Gossip()["proof_age_ms"].isInt64());
  Publish(ConfigText(3));
  BOOST_TEST(WaitFor(
    [this] { return CountLogLines("event=configuration version=3") == 1; }));
  BOOST_TEST(!Gossip().isMember("proof_age_ms"));
  BOOST_TEST(Answers("200", ""));
}

BOOST_FIXTURE_TEST_CASE(a_vm_serves_no_key_before_it_has_read, Keys)
{
  auto store =
    m_loop.Do([this] { return std::make_unique<PublishedStore>(*m_loop); });
  m_loop.Do([&] { store->SetFault(StoreFault::NoAnswer); });
  {
    RouterOptions options = Revoking();
    OtherVm other(*this, options, store->Address()); // that knows no peer yet
    RawSocket early(other.Port());
    early.Send(
      Request("/safe/", "early", "body", "Connection: close\r\n" + KeyField()));
    BOOST_TEST(early.ReadToEnd().starts_with("HTTP/1.1 503 "));
    // Then its peer proves it.
    options.m_seeds = { "127.0.0.1:" + std::to_string(m_router->PeerPort()) };
    other.Reload(options);
    BOOST_TEST(WaitFor([&] {
      RawSocket socket(other.Port());
      socket.Send(Request(
        "/safe/", "then", "body", "Connection: close\r\n" + KeyField()));
      return socket.ReadToEnd().starts_with("HTTP/1.1 200 ");
    }));
  }
  m_loop.Do([&] { store.reset(); });
}
