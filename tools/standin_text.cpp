/// Token counting and the pure token function of the stand-ins.

#include "standin_text.h"

#include "shallotford/base.h"

#include <array>

namespace shallotford::standin {

namespace {

constexpr std::string_view kSpaces = " \t\r\n\v\f";

constexpr std::array<std::string_view, 16> kSyllables = {
  "ba", "ce", "di", "fo", "gu", "ha", "je", "ki",
  "lo", "mu", "na", "pe", "ri", "so", "tu", "ve"
};
constexpr int kSyllablesPerToken = 4;

} // namespace

std::uint32_t
CountTokens(std::string_view aText)
{
  std::uint32_t count = 0;
  std::size_t begin = aText.find_first_not_of(kSpaces);
  while (begin != std::string_view::npos) {
    ++count;
    std::size_t end = aText.find_first_of(kSpaces, begin);
    begin = aText.find_first_not_of(kSpaces, end);
  }
  return count;
}

std::vector<std::string>
PrefixFingerprints(std::string_view aText, std::uint32_t aPieceTokens)
{
  std::vector<std::string> prefixes;
  std::uint32_t count = 0;
  std::size_t begin = aText.find_first_not_of(kSpaces);
  while (begin != std::string_view::npos) {
    std::size_t end = aText.find_first_of(kSpaces, begin);
    if (++count % aPieceTokens == 0) {
      prefixes.push_back(Fingerprint(aText.substr(0, end)));
    }
    begin = aText.find_first_not_of(kSpaces, end);
  }
  return prefixes;
}

std::string
TokenText(std::string_view aSeed, std::uint32_t aPosition)
{
  std::uint64_t hash = StableHash(aSeed, aPosition);
  std::string token;
  for (int i = 0; i < kSyllablesPerToken; ++i) {
    token += kSyllables[hash % kSyllables.size()];
    hash /= kSyllables.size();
  }
  token += ' ';
  return token;
}

std::string
GeneratedText(std::string_view aSeed, std::uint32_t aCount)
{
  std::string text;
  for (std::uint32_t i = 0; i < aCount; ++i) {
    text += TokenText(aSeed, i);
  }
  return text;
}

} // namespace shallotford::standin
