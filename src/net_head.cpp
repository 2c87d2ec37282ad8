/// Checks the raw bytes of a request's head.

#include "net_head.h"

#include <libwebsockets.h>

#include <algorithm>

namespace shallotford {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::size_t kMaxMethodBytes = 16;

Error
Malformed(const std::string& aWhat, const std::string& aRemedy)
{
  return { ErrorKind::InvalidRequest, aWhat, aRemedy };
}

bool
IsTokenCharacter(char aChar)
{
  bool letter =
    (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z');
  bool digit = aChar >= '0' && aChar <= '9';
  return letter || digit ||
         std::string_view("!#$%&'*+-.^_`|~").find(aChar) !=
           std::string_view::npos;
}

bool
IsToken(std::string_view aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), IsTokenCharacter);
}

bool
HasControlCharacter(std::string_view aText)
{
  return std::any_of(aText.begin(), aText.end(), [](char aChar) {
    auto byte = static_cast<unsigned char>(aChar);
    return (byte < 0x20 && byte != '\t') || byte == 0x7f;
  });
}

/// Returns the header names that libwebsockets knows, with their colons.
const std::vector<std::string>&
KnownNames()
{
  static const std::vector<std::string> sNames = [] {
    std::vector<std::string> names;
    for (int i = 0; i < WSI_TOKEN_COUNT; ++i) {
      const auto* text = reinterpret_cast<const char*>(
        lws_token_to_string(static_cast<lws_token_indexes>(i)));
      if (text != nullptr && *text != '\0') {
        names.emplace_back(text);
      }
    }
    return names;
  }();
  return sNames;
}

/// Returns whether libwebsockets would take aName, which it does not know, for
/// the start of a name that it does.
bool
IsMisread(std::string_view aName)
{
  std::string key(aName);
  for (char& c : key) {
    c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  }
  bool known = false;
  bool prefix = false;
  for (const std::string& name : KnownNames()) {
    known = known || name == key + ":";
    prefix = prefix || name.starts_with(key);
  }
  return prefix && !known;
}

bool
IsHexDigit(char aChar)
{
  return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'f') ||
         (aChar >= 'A' && aChar <= 'F');
}

/// Returns whether each '%' starts an escape, and none stands for a NUL.
bool
HasValidEscapes(std::string_view aPath)
{
  for (std::size_t at = aPath.find('%'); at != std::string_view::npos;
       at = aPath.find('%', at + 1)) {
    std::string_view digits = aPath.substr(at + 1, 2);
    if (digits.size() < 2 || !IsHexDigit(digits[0]) || !IsHexDigit(digits[1]) ||
        digits == "00") {
      return false;
    }
  }
  return true;
}

void
CheckRequestLine(std::string_view aLine)
{
  std::size_t first = aLine.find(' ');
  std::size_t last = aLine.rfind(' ');
  if (first == std::string_view::npos || first == last) {
    throw Malformed("the request line is not METHOD PATH VERSION",
                    "Use HTTP/1.1.");
  }
  std::string_view path = aLine.substr(first + 1, last - first - 1);
  std::string_view version = aLine.substr(last + 1);
  if (path.front() != '/' || path.find(' ') != std::string_view::npos ||
      HasControlCharacter(path) || !HasValidEscapes(path) ||
      path.find('\t') != std::string_view::npos) {
    throw Malformed("the path is not a percent-encoded path",
                    "Send a path that starts with '/'.");
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0") {
    throw Malformed("the version is not served", "Use HTTP/1.1.");
  }
}

void
CheckHeaderLine(std::string_view aLine)
{
  std::size_t colon = aLine.find(':');
  std::string_view name = aLine.substr(0, colon);
  if (colon == std::string_view::npos || !IsToken(name)) {
    throw Malformed("a header line is not NAME: VALUE",
                    "Send each header as NAME: VALUE on one line.");
  }
  if (HasControlCharacter(aLine.substr(colon + 1))) {
    throw Malformed("header \"" + std::string(name) +
                      "\" holds a control character",
                    "Send printable header values.");
  }
  if (IsMisread(name)) {
    throw Malformed("header \"" + std::string(name) + "\" is not accepted",
                    "Rename or leave out the header.");
  }
}

/// Refuses at once what is no HTTP, such as a TLS handshake.
void
CheckMethod(std::string_view aBytes)
{
  std::size_t space = aBytes.find(' ');
  std::string_view method = aBytes.substr(0, std::min(space, kMaxMethodBytes));
  constexpr std::string_view kServed[] = { "GET", "POST", "PUT", "DELETE" };
  bool served = std::any_of(
    std::begin(kServed), std::end(kServed), [&](std::string_view aServed) {
      return space == std::string_view::npos ? aServed.starts_with(method)
                                             : aServed == method;
    });
  if (!served) {
    throw Malformed("the method is not served",
                    "Use GET, POST, PUT or DELETE over plain HTTP/1.1.");
  }
}

/// Returns the offset of the line end at or after aFrom, or nullopt if it has
/// not arrived.
std::optional<std::size_t>
FindLineEnd(std::string_view aBytes, std::size_t aFrom)
{
  std::size_t at = aBytes.find_first_of(kLineEnd, aFrom);
  if (at == std::string_view::npos || at + 1 == aBytes.size()) {
    return std::nullopt;
  }
  if (aBytes.substr(at, 2) != kLineEnd) {
    throw Malformed("a line does not end with CR LF",
                    "End each line with CR LF and send no other of the two.");
  }
  return at;
}

} // namespace

std::optional<std::size_t>
CheckHead(std::string_view aBytes, std::size_t aMaxBytes)
{
  CheckMethod(aBytes);
  std::size_t start = 0;
  while (std::optional<std::size_t> end = FindLineEnd(aBytes, start)) {
    std::string_view line = aBytes.substr(start, *end - start);
    if (start == 0) {
      CheckRequestLine(line);
    } else if (!line.empty()) {
      CheckHeaderLine(line);
    }
    start = *end + kLineEnd.size();
    if (start > aMaxBytes) {
      break;
    }
    if (line.empty()) {
      return start;
    }
  }
  if (aBytes.size() > aMaxBytes) {
    throw Error(ErrorKind::TooLarge,
                "the headers exceed " + std::to_string(aMaxBytes) + " bytes",
                "Send fewer or shorter headers.");
  }
  return std::nullopt;
}

} // namespace shallotford
