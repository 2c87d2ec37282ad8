/// Strict checks of a request's framing.

#include "net_strict.h"

#include "net_headers.h"

#include <charconv>

namespace shallotford {

namespace {

const char*
MethodName(int aMethod)
{
  switch (aMethod) {
    case LWSHUMETH_GET:
      return "GET";
    case LWSHUMETH_POST:
      return "POST";
    case LWSHUMETH_PUT:
      return "PUT";
    case LWSHUMETH_DELETE:
      return "DELETE";
    default:
      return nullptr;
  }
}

Error
Malformed(const std::string& aWhat, const std::string& aRemedy)
{
  return { ErrorKind::InvalidRequest, aWhat, aRemedy };
}

bool
HasControlCharacter(std::string_view aText)
{
  for (char c : aText) {
    auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || byte == 0x7f) {
      return true;
    }
  }
  return false;
}

std::string
ReadQuery(lws* aWsi)
{
  std::string query;
  for (int index = 0;; ++index) {
    auto argument = ReadFragment(aWsi, WSI_TOKEN_HTTP_URI_ARGS, index);
    if (!argument) {
      return query;
    }
    if (index > 0) {
      query += '&';
    }
    query += PercentEncode(*argument, "=/:~");
  }
}

void
CheckHeaders(const HttpRequest& aRequest, std::size_t aMaxBytes)
{
  std::size_t bytes = aRequest.m_path.size() + aRequest.m_query.size();
  for (const HttpHeader& header : aRequest.m_headers) {
    bytes += header.m_name.size() + header.m_value.size() + 4;
    if (HasControlCharacter(header.m_value)) {
      throw Malformed("header \"" + header.m_name +
                        "\" holds a control character",
                      "Send each header on one line.");
    }
  }
  if (bytes > aMaxBytes) {
    throw Error(ErrorKind::TooLarge,
                "the headers exceed " + std::to_string(aMaxBytes) + " bytes",
                "Send fewer or shorter headers.");
  }
}

/// Returns whether aName was sent with a stray character beside it, such as
/// "content-length : 5" or a folded line. libwebsockets takes that for an
/// unknown header, others may take it for aName.
bool
IsSentDisguised(lws* aWsi, const std::string& aName)
{
  for (char c : { ' ', '\t', '\v', '\f', '\r', '\0' }) {
    for (const std::string& key :
         { c + aName + ":", aName + c + ":", c + aName + c + ":" }) {
      int length = static_cast<int>(key.size());
      if (lws_hdr_custom_length(aWsi, key.c_str(), length) >= 0) {
        return true;
      }
    }
  }
  return false;
}

void
CheckVersionAndHost(lws* aWsi)
{
  std::string version = ReadFragment(aWsi, WSI_TOKEN_HTTP, 0).value_or("");
  if (version != "HTTP/1.1" && version != "HTTP/1.0") {
    throw Malformed("the version is not served", "Use HTTP/1.1.");
  }
  int hosts = CountFragments(aWsi, WSI_TOKEN_HOST);
  if (hosts > 1 || (hosts == 0 && version == "HTTP/1.1")) {
    throw Malformed("the request has " + std::to_string(hosts) +
                      " host headers",
                    "Send one host header.");
  }
}

void
CheckNoTransferEncoding(lws* aWsi)
{
  for (const char* name : { "content-length", "transfer-encoding" }) {
    if (IsSentDisguised(aWsi, name)) {
      throw Malformed(std::string("header \"") + name + "\" is malformed",
                      "Send the header as NAME: VALUE on one line.");
    }
  }
  if (CountFragments(aWsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0) {
    throw Malformed("transfer-encoding is not accepted in requests",
                    "Send the body with one content-length.");
  }
}

std::size_t
ParseLength(const std::string& aText)
{
  std::size_t length = 0;
  const char* end = aText.data() + aText.size();
  auto [stopped, error] = std::from_chars(aText.data(), end, length);
  if (aText.empty() || error != std::errc{} || stopped != end) {
    throw Malformed("content-length is not a number",
                    "Send one decimal content-length.");
  }
  return length;
}

} // namespace

HttpRequest
ReadRequest(lws* aWsi, const ServerOptions& aOptions)
{
  HttpRequest request;
  char* path = nullptr;
  int pathLength = 0;
  const char* method =
    MethodName(lws_http_get_uri_and_method(aWsi, &path, &pathLength));
  if (method == nullptr) {
    throw Malformed("the method is not served",
                    "Use GET, POST, PUT or DELETE.");
  }
  request.m_method = method;
  request.m_path.assign(path, static_cast<std::size_t>(pathLength));
  if (HasControlCharacter(request.m_path)) {
    throw Malformed("the path holds a control character",
                    "Send a path of printable characters.");
  }
  request.m_query = ReadQuery(aWsi);
  request.m_headers = ReadHeaders(aWsi);
  CheckHeaders(request, aOptions.m_maxHeaders);
  char peer[64] = "";
  lws_get_peer_simple(aWsi, peer, sizeof peer);
  request.m_peer = peer;
  return request;
}

RequestFraming
CheckFraming(lws* aWsi,
             const HttpRequest& aRequest,
             const ServerOptions& aOptions)
{
  RequestFraming framing;
  CheckVersionAndHost(aWsi);
  CheckNoTransferEncoding(aWsi);
  framing.m_oldVersion = ReadFragment(aWsi, WSI_TOKEN_HTTP, 0) == "HTTP/1.0";
  int lengths = CountFragments(aWsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
  if (lengths > 1) {
    throw Malformed("content-length is sent more than once",
                    "Send one content-length.");
  }
  if (lengths == 0) {
    framing.m_implicit =
      aRequest.m_method == "POST" || aRequest.m_method == "PUT";
    return framing;
  }
  framing.m_length =
    ParseLength(*ReadFragment(aWsi, WSI_TOKEN_HTTP_CONTENT_LENGTH, 0));
  if (framing.m_length > aOptions.m_maxBody) {
    throw Error(ErrorKind::TooLarge,
                "the body exceeds " + std::to_string(aOptions.m_maxBody) +
                  " bytes",
                "Send a shorter body.");
  }
  return framing;
}

} // namespace shallotford
