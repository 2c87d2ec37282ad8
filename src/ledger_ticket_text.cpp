/// The text form of tickets and their MAC.

#include "ledger_ticket.h"

#include "config.h"

#include <algorithm>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace shallotford {

namespace {

constexpr std::string_view kVersion = "t1.";
constexpr char kMacSeparator = '.';
/// Separates MACs of tickets from those of any other use of the key.
constexpr std::string_view kMacContext = "shallotford ticket 1";

std::string
Payload(const Ticket& aTicket)
{
  return ToString(RequestId{ aTicket.m_issuer, aTicket.m_sequence }) + "~" +
         std::to_string(aTicket.m_expiry.count());
}

[[noreturn]] void
ThrowNoTicket()
{
  throw Error(ErrorKind::TicketRequired,
              "the Idempotency-Key is not a ticket",
              "Get a ticket from POST /v1/tickets and send it as the "
              "Idempotency-Key, or leave the header out.");
}

} // namespace

std::string
Base64Url(std::string_view aBytes)
{
  std::string text(4 * ((aBytes.size() + 2) / 3) + 1, '\0');
  int size =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(aBytes.data()),
                    static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(size));
  text.resize(text.find_last_not_of('=') + 1);
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  return text;
}

std::optional<std::string>
FromBase64Url(std::string_view aText)
{
  std::string text(aText);
  std::replace(text.begin(), text.end(), '-', '+');
  std::replace(text.begin(), text.end(), '_', '/');
  std::size_t padding = (4 - text.size() % 4) % 4;
  text.append(padding, '=');
  std::string bytes(text.size() / 4 * 3, '\0');
  int size =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    reinterpret_cast<const unsigned char*>(text.data()),
                    static_cast<int>(text.size()));
  if (size < 0 || static_cast<std::size_t>(size) < padding) {
    return std::nullopt;
  }
  bytes.resize(static_cast<std::size_t>(size) - padding);
  // Refuses spaces, wrong padding and unused bits that are not zero.
  if (Base64Url(bytes) != aText) {
    return std::nullopt;
  }
  return bytes;
}

TicketKey
MakeTicketKey()
{
  TicketKey key{};
  if (RAND_bytes(key.data(), static_cast<int>(key.size())) != 1) {
    throw Error(ErrorKind::Internal,
                "the system's random generator failed",
                "Start the daemon again.");
  }
  return key;
}

std::array<std::uint8_t, kTicketMacBytes>
TicketMac(const Ticket& aTicket,
          std::string_view aCaller,
          const TicketKey& aKey)
{
  std::string text(kMacContext);
  text += '\0';
  text += Payload(aTicket);
  text += '\0';
  text += aCaller;
  std::array<std::uint8_t, kTicketMacBytes> mac{};
  unsigned int size = 0;
  const unsigned char* done =
    HMAC(EVP_sha256(),
         aKey.data(),
         static_cast<int>(aKey.size()),
         reinterpret_cast<const unsigned char*>(text.data()),
         text.size(),
         mac.data(),
         &size);
  if (done == nullptr || size != mac.size()) {
    throw Error(ErrorKind::Internal,
                "computing a ticket's MAC failed",
                "Start the daemon again.");
  }
  return mac;
}

std::string
ToString(const Ticket& aTicket)
{
  std::string_view mac(reinterpret_cast<const char*>(aTicket.m_mac.data()),
                       aTicket.m_mac.size());
  return std::string(kVersion) + Base64Url(Payload(aTicket)) + kMacSeparator +
         Base64Url(mac);
}

Ticket
ParseTicket(std::string_view aText)
{
  std::size_t at = aText.rfind(kMacSeparator);
  bool shaped = aText.size() <= kMaxTicketBytes &&
                aText.starts_with(kVersion) && at >= kVersion.size();
  if (!shaped) {
    ThrowNoTicket();
  }
  std::optional<std::string> payload =
    FromBase64Url(aText.substr(kVersion.size(), at - kVersion.size()));
  std::optional<std::string> mac = FromBase64Url(aText.substr(at + 1));
  if (!payload || !mac || mac->size() != kTicketMacBytes) {
    ThrowNoTicket();
  }
  Ticket ticket;
  try {
    // An attempt id has the same form, but its last part has only 32 bits.
    std::size_t last = payload->rfind('~');
    RequestId id = ParseRequestId(payload->substr(0, last));
    ticket.m_issuer = id.m_vm;
    ticket.m_sequence = id.m_sequence;
    ticket.m_expiry = std::chrono::milliseconds{ std::stoll(
      last == std::string::npos ? "" : payload->substr(last + 1)) };
  } catch (const std::exception&) {
    ThrowNoTicket();
  }
  std::copy(mac->begin(), mac->end(), ticket.m_mac.begin());
  if (ticket.m_expiry.count() < 0 || Payload(ticket) != *payload) {
    ThrowNoTicket();
  }
  return ticket;
}

} // namespace shallotford
