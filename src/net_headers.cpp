/// Reads headers and encodes paths and queries.

#include "net_headers.h"

#include "config.h"

namespace shallotford {

namespace {

/// Returns whether aName is a header's token, such as "host:"; methods,
/// versions and HTTP/2 pseudo headers are tokens too.
bool
IsHeaderToken(std::string_view aName)
{
  return aName.size() > 1 && aName.back() == ':' && aName.front() != ':';
}

void
AddCustomHeader(HttpHeaders& aHeaders, lws* aWsi, std::string_view aName)
{
  std::string key = std::string(aName) + ":";
  int keyLength = static_cast<int>(key.size());
  int length = lws_hdr_custom_length(aWsi, key.c_str(), keyLength);
  if (length < 0) {
    return;
  }
  std::string value(static_cast<std::size_t>(length) + 1, '\0');
  int copied =
    lws_hdr_custom_copy(aWsi, value.data(), length + 1, key.c_str(), keyLength);
  if (copied < 0) {
    return;
  }
  value.resize(static_cast<std::size_t>(copied));
  aHeaders.push_back({ std::string(aName), std::move(value) });
}

int
HexDigit(char aChar)
{
  if (aChar >= '0' && aChar <= '9') {
    return aChar - '0';
  }
  if (aChar >= 'a' && aChar <= 'f') {
    return aChar - 'a' + 10;
  }
  if (aChar >= 'A' && aChar <= 'F') {
    return aChar - 'A' + 10;
  }
  return -1;
}

std::string
PercentDecode(std::string_view aText)
{
  std::string result;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    bool escape = aText[i] == '%' && i + 2 < aText.size() &&
                  HexDigit(aText[i + 1]) >= 0 && HexDigit(aText[i + 2]) >= 0;
    if (!escape) {
      result += aText[i];
      continue;
    }
    result +=
      static_cast<char>(HexDigit(aText[i + 1]) * 16 + HexDigit(aText[i + 2]));
    i += 2;
  }
  return result;
}

bool
IsUnreserved(char aChar)
{
  return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'z') ||
         (aChar >= 'A' && aChar <= 'Z') ||
         std::string_view("-._~").find(aChar) != std::string_view::npos;
}

} // namespace

std::optional<std::string>
ReadFragment(lws* aWsi, lws_token_indexes aToken, int aIndex)
{
  int length = lws_hdr_fragment_length(aWsi, aToken, aIndex);
  std::string value(static_cast<std::size_t>(std::max(length, 0)) + 1, '\0');
  int copied =
    lws_hdr_copy_fragment(aWsi, value.data(), length + 1, aToken, aIndex);
  if (copied < 0) {
    return std::nullopt;
  }
  value.resize(static_cast<std::size_t>(copied));
  return value;
}

int
CountFragments(lws* aWsi, lws_token_indexes aToken)
{
  int count = 0;
  while (ReadFragment(aWsi, aToken, count)) {
    ++count;
  }
  return count;
}

HttpHeaders
ReadHeaders(lws* aWsi, const std::vector<std::string>& aNames)
{
  HttpHeaders headers;
  for (int i = 0; i < WSI_TOKEN_COUNT; ++i) {
    auto token = static_cast<lws_token_indexes>(i);
    const auto* text =
      reinterpret_cast<const char*>(lws_token_to_string(token));
    if (text == nullptr || !IsHeaderToken(text) ||
        lws_hdr_fragment_length(aWsi, token, 0) == 0) {
      continue;
    }
    std::string name(text);
    name.pop_back();
    for (int index = 0;; ++index) {
      std::optional<std::string> value = ReadFragment(aWsi, token, index);
      if (!value) {
        break;
      }
      headers.push_back({ name, std::move(*value) });
    }
  }
  for (std::string_view name : kCustomHeaders) {
    AddCustomHeader(headers, aWsi, name);
  }
  for (const std::string& name : aNames) {
    AddCustomHeader(headers, aWsi, name);
  }
  return headers;
}

const std::string*
FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (header.m_name == aName) {
      return &header.m_value;
    }
  }
  return nullptr;
}

std::string
PercentEncode(std::string_view aText, std::string_view aKeep)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string result;
  for (char c : aText) {
    if (IsUnreserved(c) || aKeep.find(c) != std::string_view::npos) {
      result += c;
      continue;
    }
    auto byte = static_cast<unsigned char>(c);
    result += '%';
    result += kDigits[byte >> 4];
    result += kDigits[byte & 15];
  }
  return result;
}

std::optional<std::string>
QueryParameter(const HttpRequest& aRequest, std::string_view aName)
{
  std::string_view rest = aRequest.m_query;
  while (!rest.empty()) {
    std::size_t end = rest.find('&');
    std::string_view item = rest.substr(0, end);
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    std::size_t equals = item.find('=');
    if (PercentDecode(item.substr(0, equals)) == aName) {
      return equals == std::string_view::npos
               ? std::string()
               : PercentDecode(item.substr(equals + 1));
    }
  }
  return std::nullopt;
}

void
AddRetryAfter(HttpHeaders& aHeaders, const Error& aError)
{
  std::chrono::milliseconds delay = aError.RetryAfter();
  if (delay.count() <= 0) {
    return;
  }
  auto seconds = std::chrono::ceil<std::chrono::seconds>(delay).count();
  aHeaders.push_back({ "retry-after", std::to_string(seconds) });
  aHeaders.push_back({ "retry-after-ms", std::to_string(delay.count()) });
}

} // namespace shallotford
