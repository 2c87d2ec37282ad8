/// Text forms of the identifiers, and hashes that are the same on every VM.

#include "shallotford/base.h"

#include <array>
#include <charconv>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace shallotford {

namespace {

constexpr char kSeparator = '~';

[[noreturn]] void
ThrowBadId(std::string_view aText)
{
  throw Error(ErrorKind::InvalidRequest,
              "\"" + std::string(aText) + "\" is not a request id",
              "Pass an id as the daemon printed it: "
              "IP:PORT~INCARNATION~SEQUENCE.");
}

template<class Number>
Number
ParseNumber(std::string_view aPart, int aBase, std::string_view aWhole)
{
  Number number{};
  const char* end = aPart.data() + aPart.size();
  auto [stop, error] = std::from_chars(aPart.data(), end, number, aBase);
  if (error != std::errc{} || stop != end || aPart.empty()) {
    ThrowBadId(aWhole);
  }
  return number;
}

std::string
PaddedHex(std::uint64_t aNumber)
{
  std::string digits = Hex(aNumber);
  return std::string(16 - digits.size(), '0') + digits;
}

/// Removes the last separator and the part after it from aText.
/// @param aWhole  the complete text, for the error message
/// @return the part after the separator
std::string_view
CutLastPart(std::string_view& aText, std::string_view aWhole)
{
  std::size_t at = aText.rfind(kSeparator);
  if (at == std::string_view::npos) {
    ThrowBadId(aWhole);
  }
  std::string_view part = aText.substr(at + 1);
  aText = aText.substr(0, at);
  return part;
}

} // namespace

std::string
Hex(std::uint64_t aNumber)
{
  std::array<char, 16> digits{};
  auto [end, error] =
    std::to_chars(digits.data(), digits.data() + digits.size(), aNumber, 16);
  static_cast<void>(error);
  return { digits.data(), end };
}

std::string
ToString(const VmIncarnation& aVm)
{
  return aVm.m_address + kSeparator + Hex(aVm.m_incarnation);
}

std::string
ToString(const RequestId& aId)
{
  return ToString(aId.m_vm) + kSeparator + std::to_string(aId.m_sequence);
}

std::string
ToString(const AttemptId& aId)
{
  return ToString(aId.m_request) + kSeparator + std::to_string(aId.m_attempt);
}

VmIncarnation
ParseVmIncarnation(std::string_view aText)
{
  std::string_view rest = aText;
  VmIncarnation vm;
  vm.m_incarnation =
    ParseNumber<std::uint64_t>(CutLastPart(rest, aText), 16, aText);
  if (rest.empty() || rest.find(kSeparator) != std::string_view::npos) {
    ThrowBadId(aText);
  }
  vm.m_address = std::string(rest);
  return vm;
}

RequestId
ParseRequestId(std::string_view aText)
{
  std::string_view rest = aText;
  RequestId id;
  id.m_sequence =
    ParseNumber<std::uint64_t>(CutLastPart(rest, aText), 10, aText);
  id.m_vm = ParseVmIncarnation(rest);
  return id;
}

AttemptId
ParseAttemptId(std::string_view aText)
{
  std::string_view rest = aText;
  AttemptId id;
  id.m_attempt =
    ParseNumber<std::uint32_t>(CutLastPart(rest, aText), 10, aText);
  id.m_request = ParseRequestId(rest);
  return id;
}

std::uint64_t
StableHash(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

std::string
Fingerprint(std::string_view aText)
{
  XXH128_hash_t hash = XXH3_128bits(aText.data(), aText.size());
  return PaddedHex(hash.high64) + PaddedHex(hash.low64);
}

} // namespace shallotford
