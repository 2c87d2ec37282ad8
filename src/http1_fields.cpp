/// Lookup of header fields, and writing of HTTP/1.1 message heads and chunks.

#include "shallotford/http1.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/status.hpp>

#include <array>

namespace shallotford {

namespace {

/// Bodies up to this size are copied to save a packet.
constexpr std::size_t kJoinedBodyBytes = 16u << 10;

/// Fields that concern one connection or the message's framing, whatever the
/// "connection" field names.
constexpr std::array<std::string_view, 9> kConnectionFields = {
  "connection", "keep-alive", "proxy-connection", "te",     "transfer-encoding",
  "upgrade",    "trailer",    "content-length",   "expect",
};

std::string_view
Trimmed(std::string_view aText)
{
  constexpr std::string_view kSpaces = " \t";
  aText.remove_prefix(std::min(aText.find_first_not_of(kSpaces), aText.size()));
  return aText.substr(0, aText.find_last_not_of(kSpaces) + 1);
}

/// Appends the fields and the empty line that ends the head.
void
AppendFields(std::string& aOut, const HttpHeaders& aFields)
{
  for (const HttpHeader& field : aFields) {
    aOut += field.m_name + ": " + field.m_value + "\r\n";
  }
  aOut += "\r\n";
}

} // namespace

std::string_view
ToString(BodyFraming aFraming)
{
  switch (aFraming) {
    case BodyFraming::None:
      return "none";
    case BodyFraming::Length:
      return "length";
    case BodyFraming::Chunked:
      return "chunked";
    case BodyFraming::UntilClose:
      return "until_close";
  }
  return "?";
}

bool
SameFieldName(std::string_view aLeft, std::string_view aRight)
{
  return boost::algorithm::iequals(aLeft, aRight);
}

const std::string*
FindField(const HttpHeaders& aFields, std::string_view aName)
{
  for (const HttpHeader& field : aFields) {
    if (SameFieldName(field.m_name, aName)) {
      return &field.m_value;
    }
  }
  return nullptr;
}

bool
IsConnectionField(const HttpHeaders& aFields, std::string_view aName)
{
  for (std::string_view name : kConnectionFields) {
    if (SameFieldName(name, aName)) {
      return true;
    }
  }
  for (const HttpHeader& field : aFields) {
    if (!SameFieldName(field.m_name, "connection")) {
      continue;
    }
    std::string_view rest = field.m_value;
    while (!rest.empty()) {
      std::string_view token = rest.substr(0, rest.find(','));
      rest.remove_prefix(std::min(token.size() + 1, rest.size()));
      if (SameFieldName(Trimmed(token), aName)) {
        return true;
      }
    }
  }
  return false;
}

void
WriteMessage(StreamI& aStream, std::string aHead, std::string_view aBody)
{
  if (aBody.size() <= kJoinedBodyBytes) {
    aHead.append(aBody);
    aBody = {};
  }
  aStream.Write(aHead);
  if (!aBody.empty()) {
    aStream.Write(aBody);
  }
}

std::string
WriteRequestHead(const std::string& aMethod,
                 const std::string& aTarget,
                 const HttpHeaders& aFields)
{
  std::string head = aMethod + " " + aTarget + " HTTP/1.1\r\n";
  AppendFields(head, aFields);
  return head;
}

std::string
WriteAnswerHead(int aStatus,
                const std::string& aReason,
                const HttpHeaders& aFields)
{
  std::string head =
    "HTTP/1.1 " + std::to_string(aStatus) + " " + aReason + "\r\n";
  AppendFields(head, aFields);
  return head;
}

std::string
WriteChunk(std::string_view aBytes)
{
  if (aBytes.empty()) {
    return {};
  }
  return Hex(aBytes.size()) + "\r\n" + std::string(aBytes) + "\r\n";
}

std::string
ReasonPhrase(int aStatus)
{
  namespace http = boost::beast::http;
  auto phrase =
    http::obsolete_reason(http::int_to_status(static_cast<unsigned>(aStatus)));
  return { phrase.data(), phrase.size() };
}

} // namespace shallotford
