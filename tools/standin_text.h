#ifndef SHALLOTFORD_TOOLS_STANDIN_TEXT_H
#define SHALLOTFORD_TOOLS_STANDIN_TEXT_H

/// The stand-ins' tokens: white-space separated words, and generated text that
/// is a pure function of the prompt's fingerprint and the position.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace shallotford::standin {

/// Returns the number of white-space separated words of aText.
std::uint32_t
CountTokens(std::string_view aText);

/// Returns the fingerprint of each prefix of k × aPieceTokens whole words; a
/// prefix ends with its last word, without the space after it.
std::vector<std::string>
PrefixFingerprints(std::string_view aText, std::uint32_t aPieceTokens);

/// Returns the generated token at aPosition, one word and a space.
/// @param aSeed  fingerprint of the original prompt
std::string
TokenText(std::string_view aSeed, std::uint32_t aPosition);

/// Returns the whole text of aCount tokens from position 0.
std::string
GeneratedText(std::string_view aSeed, std::uint32_t aCount);

} // namespace shallotford::standin

#endif // SHALLOTFORD_TOOLS_STANDIN_TEXT_H
