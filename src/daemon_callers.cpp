/// Identifies callers by the bearer keys of their requests.

#include "daemon_callers.h"

#include "config.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace shallotford {

namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kCacheSaltBytes = 32;

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

Digest
Sha256(std::string_view aSalt, std::string_view aText)
{
  std::string input;
  input.reserve(aSalt.size() + aText.size());
  input += aSalt;
  input += aText;
  Digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(input.data()),
         input.size(),
         digest.data());
  return digest;
}

int
HexDigit(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  if (aDigit >= 'a' && aDigit <= 'f') {
    return aDigit - 'a' + 10;
  }
  if (aDigit >= 'A' && aDigit <= 'F') {
    return aDigit - 'A' + 10;
  }
  return 0;
}

std::string
BytesOfHex(std::string_view aHex)
{
  std::string bytes;
  for (std::size_t i = 0; i + 1 < aHex.size(); i += 2) {
    int value = HexDigit(aHex[i]) * 16 + HexDigit(aHex[i + 1]);
    bytes += static_cast<char>(value);
  }
  return bytes;
}

bool
SameInConstantTime(const Digest& aDigest, std::string_view aBytes)
{
  return aBytes.size() == aDigest.size() &&
         CRYPTO_memcmp(aDigest.data(), aBytes.data(), aDigest.size()) == 0;
}

[[noreturn]] void
ThrowUnauthenticated(const std::string& aWhat)
{
  throw Error(ErrorKind::Unauthenticated,
              aWhat,
              "Send the header \"Authorization: Bearer KEY\" with a key that "
              "the operators listed for you.");
}

} // namespace

CallerDirectory::CallerDirectory()
  : m_cacheSalt(kCacheSaltBytes, '\0')
{
  RAND_bytes(reinterpret_cast<unsigned char*>(m_cacheSalt.data()),
             static_cast<int>(m_cacheSalt.size()));
}

void
CallerDirectory::SetFleet(FleetPtr aFleet)
{
  m_fleet = std::move(aFleet);
  m_verified.clear();
}

const CallerEntry*
CallerDirectory::Identify(const std::string* aAuthorization)
{
  bool anonymous = m_fleet && m_fleet->m_anonymousCallers;
  if (aAuthorization == nullptr) {
    if (anonymous) {
      return nullptr;
    }
    ThrowUnauthenticated("the request carries no key");
  }
  std::string_view value = *aAuthorization;
  if (value.substr(0, kBearer.size()) != kBearer) {
    ThrowUnauthenticated("the Authorization header is not a bearer key");
  }
  const CallerEntry* caller = Verify(value.substr(kBearer.size()));
  if (caller == nullptr && !anonymous) {
    ThrowUnauthenticated("the key belongs to no caller");
  }
  return caller;
}

const CallerEntry*
CallerDirectory::Verify(std::string_view aKey)
{
  Digest cacheKey = CacheKey(aKey);
  auto known = m_verified.find(cacheKey);
  if (known != m_verified.end()) {
    return known->second;
  }
  const CallerEntry* found = nullptr;
  for (const CallerEntry& caller : m_fleet->m_callers) {
    Digest digest = Sha256(BytesOfHex(caller.m_keySalt), aKey);
    if (SameInConstantTime(digest, BytesOfHex(caller.m_keyHash))) {
      found = &caller;
    }
  }
  if (found != nullptr && m_verified.size() < kMaxVerifiedKeys) {
    m_verified.emplace(cacheKey, found);
  }
  return found;
}

CallerDirectory::Digest
CallerDirectory::CacheKey(std::string_view aKey) const
{
  return Sha256(m_cacheSalt, aKey);
}

} // namespace shallotford
