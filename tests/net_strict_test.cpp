/// Malformed requests on raw sockets: each is refused and served no further.

#define BOOST_TEST_MODULE net_strict
#include <boost/test/unit_test.hpp>

#include "net_fixture.h"

using namespace shallotford;
using namespace shallotford::test;

namespace {

struct BadRequest
{
  std::string m_name;
  std::string m_bytes;
};

/// A request that must never be served, hidden behind another one.
const std::string kHidden = "GET /hidden HTTP/1.1\r\nhost: x\r\n\r\n";

std::string
Post(const std::string& aHeaders, const std::string& aBody = "")
{
  return "POST /a HTTP/1.1\r\nhost: x\r\n" + aHeaders + "\r\n" + aBody;
}

std::vector<BadRequest>
BadLengths()
{
  return {
    { "two content-lengths",
      Post("content-length: 5\r\ncontent-length: 0\r\n", "hello") },
    { "two equal content-lengths",
      Post("content-length: 5\r\ncontent-length: 5\r\n", "hello") },
    { "content-length list", Post("content-length: 5, 5\r\n", "hello") },
    { "negative content-length", Post("content-length: -5\r\n", "hello") },
    { "signed content-length", Post("content-length: +5\r\n", "hello") },
    { "hexadecimal content-length", Post("content-length: 0x5\r\n", "hello") },
    { "content-length beyond 64 bits",
      Post("content-length: 18446744073709551621\r\n", "hello") },
    { "empty content-length", Post("content-length: \r\n", kHidden) },
    { "space before content-length's colon",
      Post("content-length : 5\r\n", kHidden) },
    { "tab before content-length's colon",
      Post("content-length\t: 5\r\n", kHidden) },
    { "space before content-length",
      Post("x-a: b\r\n content-length: 5\r\n", kHidden) },
    { "body longer than the limit",
      Post("content-length: 100001\r\n", "hello") },
    { "body far longer than the limit",
      Post("content-length: 99999999999\r\n", "hello") },
  };
}

std::vector<BadRequest>
BadEncodings()
{
  return {
    { "length and chunked",
      Post("content-length: 4\r\ntransfer-encoding: chunked\r\n",
           "0\r\n\r\n" + kHidden) },
    { "chunked and length",
      Post("transfer-encoding: chunked\r\ncontent-length: 4\r\n",
           "0\r\n\r\n" + kHidden) },
    { "chunked",
      Post("transfer-encoding: chunked\r\n",
           "5\r\nhello\r\n0\r\n\r\n" + kHidden) },
    { "bad chunk size",
      Post("transfer-encoding: chunked\r\n",
           "zz\r\nhello\r\n0\r\n\r\n" + kHidden) },
    { "unknown transfer-encoding",
      Post("transfer-encoding: xchunked\r\n", kHidden) },
    { "space before transfer-encoding's colon",
      Post("transfer-encoding : chunked\r\n", "0\r\n\r\n" + kHidden) },
    { "folded transfer-encoding",
      Post("transfer-encoding:\r\n chunked\r\n", "0\r\n\r\n" + kHidden) },
    { "folded content-length",
      Post("content-length:\r\n 5\r\n", "hello" + kHidden) },
    { "folded header", Post("x-a: b\r\n c\r\n", kHidden) },
    { "line without a colon", Post("nonsense\r\n", kHidden) },
  };
}

std::vector<BadRequest>
BadHeads()
{
  return {
    { "bare line feeds",
      "POST /a HTTP/1.1\nhost: x\ncontent-length: 35\n\n" + kHidden },
    { "bare line feed in one line",
      Post("x-a: b\ncontent-length: 35\r\n", kHidden) },
    { "bare carriage return", Post("x-a: b\rcontent-length: 35\r\n", kHidden) },
    { "name that libwebsockets misreads",
      Post("x-a: b\r\ncontent-length: 35\r\n", kHidden) },
    { "empty header name", Post(": b\r\n", kHidden) },
    { "no host", "GET /a HTTP/1.1\r\n\r\n" },
    { "two hosts", "GET /a HTTP/1.1\r\nhost: x\r\nhost: y\r\n\r\n" },
    { "nul in the path", "GET /a%00b HTTP/1.1\r\nhost: x\r\n\r\n" },
    { "line feed in the path", "GET /a%0ab HTTP/1.1\r\nhost: x\r\n\r\n" },
    { "nul in a header", Post(std::string("x-request-id: a\0b\r\n", 19)) },
    { "unknown method", "BREW /a HTTP/1.1\r\nhost: x\r\n\r\n" },
    { "method that is not served", "OPTIONS /a HTTP/1.1\r\nhost: x\r\n\r\n" },
    { "unknown version", "GET /a HTTP/3.0\r\nhost: x\r\n\r\n" },
    { "no version", "GET /a\r\nhost: x\r\n\r\n" },
    { "upgrade to websocket",
      "GET /a HTTP/1.1\r\nhost: x\r\nupgrade: websocket\r\n"
      "connection: upgrade\r\nsec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n"
      "sec-websocket-version: 13\r\n\r\n" },
    { "upgrade to HTTP/2",
      "GET /a HTTP/1.1\r\nhost: x\r\nupgrade: h2c\r\n"
      "connection: upgrade, http2-settings\r\n"
      "http2-settings: AAMAAABk\r\n\r\n" },
    { "HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" },
    { "TLS hello on a plain port", "\x16\x03\x01\x02\x01\x01" },
    { "garbage", "\x01\x02\xff\xfe\r\n\r\n" },
    { "headers longer than the limit",
      Post("x-request-id: " + std::string(9'000, 'a') + "\r\n") },
    { "headers longer than the storage",
      Post("x-request-id: " + std::string(90'000, 'a') + "\r\n") },
  };
}

ServerOptions
StrictOptions()
{
  ServerOptions options;
  options.m_maxBody = 100'000;
  options.m_maxHeaders = 8'000;
  options.m_requestTimeout = 300ms;
  return options;
}

/// Returns the status line's code, or 0.
int
StatusOf(const std::string& aAnswer)
{
  return aAnswer.starts_with("HTTP/1.") ? std::stoi(aAnswer.substr(9)) : 0;
}

Json::Value
ErrorOf(const std::string& aAnswer)
{
  std::size_t body = aAnswer.find("\r\n\r\n");
  if (body == std::string::npos) {
    return {};
  }
  return ParseJson(aAnswer.substr(body + 4))["error"];
}

void
CheckRefused(const BadRequest& aBad, const std::string& aAnswer)
{
  int status = StatusOf(aAnswer);
  BOOST_TEST((status >= 400 && status < 500), aBad.m_name << ": " << aAnswer);
  Json::Value error = ErrorOf(aAnswer);
  BOOST_TEST(error["run"].asString() == "no", aBad.m_name);
  BOOST_TEST(!error["remedy"].asString().empty(), aBad.m_name);
}

void
CheckAllRefused(const std::vector<BadRequest>& aRequests)
{
  LoopThread loop;
  Inbox<std::string> served;
  auto handler = [&](const auto& aExchange, const auto& aRequest) {
    served.Put(aRequest.m_method + " " + aRequest.m_path);
    aExchange->Respond(200, {}, "served");
  };
  TestServer server(loop, handler, StrictOptions());
  for (const BadRequest& bad : aRequests) {
    RawSocket socket(server.Port());
    socket.Send(bad.m_bytes);
    std::string answer = socket.ReadToEnd();
    BOOST_TEST(socket.IsClosedByPeer(), bad.m_name << " stays open");
    BOOST_TEST(served.Size() == 0U, bad.m_name << " was served");
    CheckRefused(bad, answer);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(bad_lengths_are_refused)
{
  CheckAllRefused(BadLengths());
}

BOOST_AUTO_TEST_CASE(bad_encodings_are_refused)
{
  CheckAllRefused(BadEncodings());
}

BOOST_AUTO_TEST_CASE(bad_heads_are_refused)
{
  CheckAllRefused(BadHeads());
}

/// Bytes behind a request are never a second request: the connection ends
/// with the first one's answer.
BOOST_AUTO_TEST_CASE(bytes_behind_a_request_are_not_served)
{
  LoopThread loop;
  Inbox<std::string> served;
  TestServer server(
    loop,
    [&](const auto& aExchange, const auto& aRequest) {
      served.Put(aRequest.m_path);
      aExchange->Respond(200, {}, "served");
    },
    StrictOptions());
  for (const std::string& bytes :
       { Post("", kHidden),
         Post("content-length: 5\r\n", "hello" + kHidden),
         "GET /a HTTP/1.1\r\nhost: x\r\n\r\n" + kHidden,
         "GET /a HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n" +
           kHidden }) {
    RawSocket socket(server.Port());
    socket.Send(bytes);
    std::string answer = socket.ReadToEnd();
    BOOST_TEST(answer.ends_with("served"), answer);
    BOOST_TEST(socket.IsClosedByPeer());
    BOOST_TEST(served.Take().value_or("") == "/a");
    BOOST_TEST(served.Size() == 0U, bytes);
  }
}

BOOST_AUTO_TEST_CASE(slow_request_senders_are_cut)
{
  LoopThread loop;
  TestServer server(loop, Echo, StrictOptions());
  for (std::string start :
       { "",
         "GET /a HT",
         "POST /a HTTP/1.1\r\nhost: x\r\n",
         "POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nhel" }) {
    RawSocket socket(server.Port());
    socket.Send(start);
    std::string answer = socket.ReadToEnd();
    BOOST_TEST(socket.IsClosedByPeer(), start);
    BOOST_TEST(StatusOf(answer) == 408, start);
    BOOST_TEST(ErrorOf(answer)["run"].asString() == "no", start);
  }
}

BOOST_AUTO_TEST_CASE(connections_above_the_limit_are_refused)
{
  LoopThread loop;
  ServerOptions options;
  options.m_maxConnections = 3;
  TestServer server(loop, Echo, options);
  const std::string request = "GET /a HTTP/1.1\r\nhost: x\r\n\r\n";
  std::vector<std::unique_ptr<RawSocket>> sockets;
  for (int i = 0; i < 3; ++i) {
    sockets.push_back(std::make_unique<RawSocket>(server.Port()));
    sockets.back()->Send(request);
    BOOST_TEST(StatusOf(sockets.back()->ReadUntil("GET /a")) == 200);
  }
  RawSocket fourth(server.Port());
  fourth.Send(request);
  std::string answer = fourth.ReadToEnd();
  BOOST_TEST(StatusOf(answer) == 503);
  BOOST_TEST(ErrorOf(answer)["run"].asString() == "no");
  sockets.clear();
}
