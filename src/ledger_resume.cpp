/// Resume tokens: text form and the decision how to continue a stream.

#include "shallotford/ledger/resume.h"

#include "config.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace shallotford {

namespace {

constexpr std::string_view kVersion = "r1";
constexpr char kSeparator = '!';
constexpr std::size_t kParts = 7;

[[noreturn]] void
ThrowBadToken(const std::string& aWhy)
{
  throw Error(ErrorKind::InvalidRequest,
              "the Last-Event-ID is no resume token: " + aWhy,
              "Send the id of the last event as it came, or leave the header "
              "out to start again.");
}

/// Returns whether aText is a valid part of a token in a header.
bool
IsPlain(std::string_view aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return aCharacter > ' ' && aCharacter <= '~' &&
                  aCharacter != kSeparator;
         });
}

std::array<std::string_view, kParts>
Split(std::string_view aText)
{
  std::array<std::string_view, kParts> parts;
  for (std::size_t i = 0; i + 1 < kParts; ++i) {
    std::size_t at = aText.find(kSeparator);
    if (at == std::string_view::npos) {
      ThrowBadToken("a part is missing");
    }
    parts[i] = aText.substr(0, at);
    aText.remove_prefix(at + 1);
  }
  parts.back() = aText;
  return parts;
}

std::uint64_t
ParsePosition(std::string_view aText)
{
  std::uint64_t position = 0;
  const char* end = aText.data() + aText.size();
  auto [stop, error] = std::from_chars(aText.data(), end, position);
  if (aText.empty() || error != std::errc{} || stop != end) {
    ThrowBadToken("its position is no number");
  }
  if (position >= kMaxStreamPosition) {
    ThrowBadToken("its position is out of range");
  }
  return position;
}

} // namespace

std::string
ResumePrefix(const ResumeToken& aToken)
{
  std::string text(kVersion);
  RequestId entry{ aToken.m_entry, 0 };
  for (const std::string& part : { aToken.m_engine,
                                   ToString(aToken.m_stream),
                                   ToString(entry),
                                   aToken.m_service,
                                   aToken.m_prompt }) {
    text += kSeparator;
    text += part;
  }
  return text + kSeparator;
}

std::string
ToString(const ResumeToken& aToken)
{
  return ResumePrefix(aToken) + std::to_string(aToken.m_position);
}

ResumeToken
ParseResumeToken(std::string_view aText)
{
  if (aText.size() > kMaxResumeTokenBytes) {
    ThrowBadToken("it is too long");
  }
  std::array<std::string_view, kParts> parts = Split(aText);
  if (parts[0] != kVersion) {
    ThrowBadToken("its version is unknown");
  }
  if (!std::all_of(parts.begin(), parts.end(), IsPlain)) {
    ThrowBadToken("a part is empty or holds a forbidden character");
  }
  ResumeToken token;
  token.m_engine = std::string(parts[1]);
  token.m_stream = ParseAttemptId(parts[2]);
  token.m_entry = ParseRequestId(parts[3]).m_vm;
  token.m_service = std::string(parts[4]);
  token.m_prompt = std::string(parts[5]);
  token.m_position = ParsePosition(parts[6]);
  if (ToString(token) != aText) {
    ThrowBadToken("it is not in its canonical form");
  }
  return token;
}

ResumeDecision
DecideResume(const ResumeToken& aToken,
             std::string_view aService,
             std::string_view aPrompt,
             const std::vector<std::string>& aEngines)
{
  if (aToken.m_service != aService || aToken.m_prompt != aPrompt) {
    throw Error(ErrorKind::InvalidRequest,
                "the Last-Event-ID belongs to another request",
                "Send the same body as in the first request, or leave the "
                "header out to start again.");
  }
  bool known = std::find(aEngines.begin(), aEngines.end(), aToken.m_engine) !=
               aEngines.end();
  return { .m_step = known ? ResumeStep::Attach : ResumeStep::Regenerate,
           .m_from = aToken.m_position + 1 };
}

} // namespace shallotford
