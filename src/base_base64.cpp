/// Encoding and decoding of standard base64 with OpenSSL.

#include "shallotford/base.h"

#include <openssl/evp.h>

namespace shallotford {

namespace {

// Base64 writes each group of 3 bytes as 4 characters.
constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupChars = 4;

} // namespace

std::string
EncodeBase64(std::string_view aBytes)
{
  std::size_t groups = (aBytes.size() + kGroupBytes - 1) / kGroupBytes;
  std::string text(groups * kGroupChars + 1, '\0'); // for the final zero byte
  int size =
    ::EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(aBytes.data()),
                      static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::string
DecodeBase64(std::string_view aText)
{
  std::string bytes(aText.size() / kGroupChars * kGroupBytes + 1, '\0');
  int size = -1;
  if (aText.size() % kGroupChars == 0) {
    size =
      ::EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<const unsigned char*>(aText.data()),
                        static_cast<int>(aText.size()));
  }
  if (size < 0) {
    throw Error(ErrorKind::InvalidRequest,
                "a value is not valid base64",
                "Use standard base64 with padding.");
  }
  std::size_t padding = aText.size() - std::min(aText.find('='), aText.size());
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return bytes;
}

} // namespace shallotford
