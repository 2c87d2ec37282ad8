/// Parts of fleet.h beside the parsers of the two configuration texts: names of
/// enumeration values, lookups by name, and parsing of "IP:PORT".

#include "shallotford/fleet.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace shallotford {

namespace {

[[noreturn]] void
ThrowBadAddress(const std::string& aText)
{
  throw Error(ErrorKind::InvalidConfig,
              "\"" + aText + "\" is not an address",
              "Write IP:PORT, such as 10.0.0.1:8080 or [fd00::1]:8080.");
}

bool
IsIp(int aFamily, const std::string& aIp)
{
  in6_addr parsed{}; // large enough for both families
  return inet_pton(aFamily, aIp.c_str(), &parsed) == 1;
}

template<class Entry>
const Entry*
FindByName(const std::vector<Entry>& aEntries, std::string_view aName)
{
  auto found =
    std::find_if(aEntries.begin(), aEntries.end(), [&](const Entry& aEntry) {
      return aEntry.m_name == aName;
    });
  return found == aEntries.end() ? nullptr : &*found;
}

} // namespace

std::string_view
ToString(EngineRole aRole)
{
  return aRole == EngineRole::Prefill ? "prefill" : "decode";
}

std::string_view
ToString(ClaimPolicy aPolicy)
{
  switch (aPolicy) {
    case ClaimPolicy::PrefillFirst:
      return "prefill_first";
    case ClaimPolicy::ClaimFirst:
      return "claim_first";
    case ClaimPolicy::AtPredictedEnd:
      break;
  }
  return "claim_at_predicted_end";
}

const ServiceEntry*
FleetText::FindService(std::string_view aName) const
{
  return FindByName(m_services, aName);
}

const ServiceEntry*
FleetText::FindModelService(std::string_view aModel) const
{
  auto found = std::find_if(
    m_services.begin(), m_services.end(), [&](const ServiceEntry& aService) {
      return aService.m_kind == ServiceKind::Model &&
             aService.m_model == aModel;
    });
  return found == m_services.end() ? nullptr : &*found;
}

const ModelEntry*
FleetText::FindModel(std::string_view aName) const
{
  return FindByName(m_models, aName);
}

SocketAddress
ParseAddress(const std::string& aText)
{
  std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    ThrowBadAddress(aText);
  }
  SocketAddress address;
  const char* end = aText.data() + aText.size();
  auto [stop, error] =
    std::from_chars(aText.data() + colon + 1, end, address.m_port);
  if (error != std::errc{} || stop != end) {
    ThrowBadAddress(aText);
  }
  address.m_ip = aText.substr(0, colon);
  std::size_t length = address.m_ip.size();
  bool bracketed =
    length > 2 && address.m_ip.front() == '[' && address.m_ip.back() == ']';
  if (bracketed) {
    address.m_ip = address.m_ip.substr(1, length - 2);
  }
  if (!IsIp(bracketed ? AF_INET6 : AF_INET, address.m_ip)) {
    ThrowBadAddress(aText);
  }
  return address;
}

} // namespace shallotford
