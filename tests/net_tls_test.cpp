/// Tests of TLS: who is trusted by whom, and the change of certificates.

#define BOOST_TEST_MODULE net_tls
#include <boost/test/unit_test.hpp>

#include "net_certificates.h"
#include "net_fixture.h"

#include <openssl/ssl.h>

using namespace shallotford;
using namespace shallotford::test;

namespace {

/// Answers with the name in the caller's certificate.
void
AnswerName(const std::shared_ptr<HttpExchangeI>& aExchange,
           const HttpRequest& aRequest)
{
  aExchange->Respond(200, {}, "name=" + aRequest.m_peerCertificate);
}

HttpResult
FetchBy(LoopThread& aLoop, const TestServer& aServer, const TlsFiles& aTls)
{
  HttpCall call;
  call.m_address = aServer.Address();
  call.m_path = "/";
  call.m_headersTimeout = 2s;
  call.m_tls = aTls;
  return FetchAndWait(aLoop, call);
}

std::string
BodyOf(const HttpResult& aResult)
{
  return aResult.m_reply ? aResult.m_reply->m_body : "failed";
}

/// Files of aIssued that trust aAuthority.
TlsFiles
Trusting(TlsFiles aIssued, const TestAuthority& aAuthority)
{
  aIssued.m_peerAuthority = aAuthority.File();
  return aIssued;
}

/// Answers a TLS client with a body that has neither a length nor chunks.
void
AnswerUnframed(RawSocket& aSocket, const TlsFiles& aFiles, bool aNotifyClose)
{
  SSL_CTX* context = SSL_CTX_new(TLS_server_method());
  SSL_CTX_use_certificate_chain_file(context, aFiles.m_certificate.c_str());
  SSL_CTX_use_PrivateKey_file(context, aFiles.m_key.c_str(), SSL_FILETYPE_PEM);
  SSL* ssl = SSL_new(context);
  SSL_set_fd(ssl, aSocket.Descriptor());
  SSL_accept(ssl);
  std::array<char, 4'096> request{};
  SSL_read(ssl, request.data(), static_cast<int>(request.size()));
  const std::string answer =
    "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello";
  SSL_write(ssl, answer.data(), static_cast<int>(answer.size()));
  if (aNotifyClose) {
    SSL_shutdown(ssl);
  }
  SSL_free(ssl);
  SSL_CTX_free(context);
}

} // namespace

BOOST_AUTO_TEST_CASE(clients_check_the_server_s_authority_and_address)
{
  LoopThread loop;
  TestAuthority authority("ours");
  TestAuthority stranger("strange");
  ServerOptions right;
  right.m_tls = authority.Issue("right", "127.0.0.1");
  TestServer server(loop, AnswerName, right);
  BOOST_TEST(BodyOf(FetchBy(loop, server, Trusting({}, authority))) == "name=");
  HttpResult distrusted = FetchBy(loop, server, Trusting({}, stranger));
  BOOST_TEST_REQUIRE(distrusted.m_failure.has_value());
  BOOST_TEST((distrusted.m_failure->m_progress == CallProgress::NotSent));

  for (std::string address : { "127.0.0.2", "" }) {
    ServerOptions wrong;
    wrong.m_tls = authority.Issue("wrong", address);
    TestServer other(loop, AnswerName, wrong);
    HttpResult result = FetchBy(loop, other, Trusting({}, authority));
    BOOST_TEST_REQUIRE(result.m_failure.has_value(), address);
    BOOST_TEST((result.m_failure->m_progress == CallProgress::NotSent));
  }
}

BOOST_AUTO_TEST_CASE(peers_must_show_a_certificate_of_the_authority)
{
  LoopThread loop;
  TestAuthority authority("ours");
  TestAuthority stranger("strange");
  ServerOptions options;
  options.m_tls = Trusting(authority.Issue("server", "127.0.0.1"), authority);
  Inbox<bool> served;
  TestServer server(
    loop,
    [&](const auto& aExchange, const auto& aRequest) {
      served.Put(true);
      AnswerName(aExchange, aRequest);
    },
    options);
  TlsFiles peer = Trusting(authority.Issue("vm7", "127.0.0.1"), authority);
  BOOST_TEST(BodyOf(FetchBy(loop, server, peer)) == "name=vm7");
  BOOST_TEST(served.Size() == 1U);
  for (const TlsFiles& bad :
       { Trusting({}, authority),
         Trusting(stranger.Issue("vm8", "127.0.0.1"), authority) }) {
    BOOST_TEST(FetchBy(loop, server, bad).m_failure.has_value());
  }
  BOOST_TEST(served.Size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_close_without_notification_does_not_end_an_answer)
{
  LoopThread loop;
  TestAuthority authority("ours");
  TlsFiles server = authority.Issue("server", "127.0.0.1");
  for (bool notify : { true, false }) {
    RawListener listener;
    Inbox<HttpResult> results;
    std::unique_ptr<HttpClientCallI> call = loop.Do([&] {
      HttpCall fetch{ .m_address = listener.Address(),
                      .m_path = "/",
                      .m_tls = Trusting({}, authority) };
      return loop->Client().FetchWhole(std::move(fetch), [&](HttpResult aOne) {
        results.Put(std::move(aOne));
      });
    });
    auto socket = listener.Accept();
    AnswerUnframed(*socket, server, notify);
    socket->Close();
    std::optional<HttpResult> result = results.Take();
    BOOST_TEST_REQUIRE(result.has_value());
    BOOST_TEST(BodyOf(*result) == (notify ? "hello" : "failed"));
    loop.Do([&] { call.reset(); });
  }
}

BOOST_AUTO_TEST_CASE(plain_and_encrypted_do_not_mix)
{
  LoopThread loop;
  TestAuthority authority("ours");
  ServerOptions options;
  options.m_tls = authority.Issue("server", "127.0.0.1");
  TestServer encrypted(loop, AnswerName, options);
  TestServer plain(loop, AnswerName);
  BOOST_TEST(FetchBy(loop, encrypted, {}).m_failure.has_value());
  HttpResult result = FetchBy(loop, plain, Trusting({}, authority));
  BOOST_TEST_REQUIRE(result.m_failure.has_value());
  BOOST_TEST((result.m_failure->m_progress == CallProgress::NotSent));
}

BOOST_AUTO_TEST_CASE(large_bodies_pass_through_tls)
{
  LoopThread loop;
  TestAuthority authority("ours");
  ServerOptions options;
  options.m_tls = authority.Issue("server", "127.0.0.1");
  TestServer server(loop, Echo, options);
  HttpCall call;
  call.m_method = "POST";
  call.m_address = server.Address();
  call.m_path = "/";
  call.m_body = std::string(2'000'000, 'x') + "end";
  call.m_tls = Trusting({}, authority);
  HttpResult result = FetchAndWait(loop, call);
  BOOST_TEST_REQUIRE(result.m_reply.has_value());
  BOOST_TEST((result.m_reply->m_body == "POST /? " + call.m_body));
}

BOOST_AUTO_TEST_CASE(early_disconnect_is_seen_through_tls)
{
  LoopThread loop;
  TestAuthority authority("ours");
  ServerOptions options;
  options.m_tls = authority.Issue("server", "127.0.0.1");
  Inbox<bool> arrived;
  Inbox<bool> closed;
  TestServer server(
    loop,
    [&](const auto& aExchange, const auto&) {
      aExchange->OnClosed([&closed, kept = aExchange] { closed.Put(true); });
      arrived.Put(true);
    },
    options);
  HttpCall call;
  call.m_address = server.Address();
  call.m_path = "/";
  call.m_tls = Trusting({}, authority);
  auto handle = loop.Do(
    [&] { return loop->Client().FetchWhole(call, [](const HttpResult&) {}); });
  BOOST_TEST(arrived.Take().has_value());
  loop.Do([&] { handle.reset(); });
  BOOST_TEST(closed.Take().has_value());
}

BOOST_AUTO_TEST_CASE(reloaded_certificates_serve_new_connections)
{
  LoopThread loop;
  TestAuthority authority("ours");
  TestAuthority successor("next");
  ServerOptions options;
  options.m_tls = authority.Issue("server", "127.0.0.1");
  Inbox<std::shared_ptr<HttpExchangeI>> exchanges;
  TestServer server(
    loop,
    [&](const auto& aExchange, const auto& aRequest) {
      if (aRequest.m_path == "/stream") {
        aExchange->Begin(200, {});
        exchanges.Put(aExchange);
        return;
      }
      AnswerName(aExchange, aRequest);
    },
    options);
  HttpCall call;
  call.m_address = server.Address();
  call.m_path = "/stream";
  call.m_tls = Trusting({}, authority);
  Inbox<HttpResult> streamed;
  auto handle = loop.Do([&] {
    return loop->Client().FetchWhole(
      call, [&](HttpResult aResult) { streamed.Put(std::move(aResult)); });
  });
  auto exchange = exchanges.Take();
  BOOST_TEST_REQUIRE(exchange.has_value());

  TlsFiles next = successor.Issue("server", "127.0.0.1");
  auto overwrite = std::filesystem::copy_options::overwrite_existing;
  std::filesystem::copy(
    next.m_certificate, options.m_tls.m_certificate, overwrite);
  // Half changed: certificate and key do not match.
  loop.Do([&] { BOOST_CHECK_THROW(loop->ReloadCertificates(), Error); });
  BOOST_TEST(BodyOf(FetchBy(loop, server, Trusting({}, authority))) == "name=");
  std::filesystem::copy(next.m_key, options.m_tls.m_key, overwrite);
  loop.Do([&] { loop->ReloadCertificates(); });
  BOOST_TEST(BodyOf(FetchBy(loop, server, Trusting({}, successor))) == "name=");
  BOOST_TEST(BodyOf(FetchBy(loop, server, Trusting({}, authority))) ==
             "failed");

  loop.Do([&] {
    (*exchange)->Write("still open");
    (*exchange)->End();
  });
  BOOST_TEST(BodyOf(streamed.Take().value_or(HttpResult{})) == "still open");
  loop.Do([&] { handle.reset(); });
}

BOOST_AUTO_TEST_CASE(missing_files_are_refused)
{
  LoopThread loop;
  FunctionHandler handler(AnswerName);
  ServerOptions options;
  options.m_tls = { "/nonexistent.pem", "/nonexistent.key", "" };
  loop.Do([&] { BOOST_CHECK_THROW(loop->Listen(options, handler), Error); });
  TestServer plain(loop, AnswerName);
  HttpResult result = FetchBy(loop, plain, { "", "", "/nonexistent.pem" });
  BOOST_TEST_REQUIRE(result.m_failure.has_value());
  BOOST_TEST((result.m_failure->m_progress == CallProgress::NotSent));
}
