/// Transfer of the list of entry VMs from VM to VM. Only a few VMs fetch it
/// from the platform, because the platform's answer also holds every upstream.

#include "shallotford/control/membership.h"

#include "config.h"

#include <sstream>

namespace shallotford {

namespace {

constexpr const char* kLeavingMark = "leaving";

std::string
ToText(const std::vector<ListedVm>& aVms)
{
  std::map<std::string, bool> ordered;
  for (const ListedVm& vm : aVms) {
    ordered[vm.m_address] = vm.m_leaving;
  }
  std::string text;
  for (const auto& [address, leaving] : ordered) {
    text += address + (leaving ? std::string(" ") + kLeavingMark : "") + '\n';
  }
  return text;
}

std::vector<ListedVm>
ParseText(const std::string& aText)
{
  std::vector<ListedVm> vms;
  std::istringstream lines(aText);
  std::string line;
  while (std::getline(lines, line)) {
    std::size_t space = line.find(' ');
    bool leaving =
      space != std::string::npos && line.substr(space + 1) == kLeavingMark;
    vms.push_back({ line.substr(0, space), leaving });
  }
  return vms;
}

} // namespace

void
Membership::StoreListText(const std::vector<ListedVm>& aVms,
                          std::uint64_t aVersion)
{
  m_listVersion = aVersion;
  m_listTexts[aVersion] = ToText(aVms);
  while (m_listTexts.size() > kMaxStoredLists) {
    m_listTexts.erase(m_listTexts.begin());
  }
  m_listOffer.reset();
  m_urgent = true;
}

std::optional<std::string>
Membership::TakeListOffer()
{
  return std::exchange(m_listOffer, std::nullopt);
}

Json::Value
Membership::ListFor(std::uint64_t aBaseVersion) const
{
  Json::Value result(Json::objectValue);
  if (m_listVersion == 0) {
    throw Error(ErrorKind::NotReady,
                "this VM has no list of VMs to pass on",
                "Ask another VM.");
  }
  const std::string& text = m_listTexts.at(m_listVersion);
  result["version"] = static_cast<Json::UInt64>(m_listVersion);
  result["fingerprint"] = Fingerprint(text);
  auto base = m_listTexts.find(aBaseVersion);
  if (base == m_listTexts.end()) {
    result["content"] = text;
    return result;
  }
  result["base"] = static_cast<Json::UInt64>(aBaseVersion);
  result["content"] = MakeTextDelta(base->second, text);
  return result;
}

bool
Membership::AcceptList(const Json::Value& aResult, TimePoint aNow)
{
  if (!aResult.isObject() || !aResult["version"].isUInt64() ||
      !aResult["fingerprint"].isString()) {
    throw Error(ErrorKind::InvalidRequest,
                "vm_list: the result names no version",
                "Ask another VM.");
  }
  const Json::Value& content = aResult["content"];
  std::string text;
  if (aResult.isMember("base")) {
    const Json::Value& version = aResult["base"];
    auto base = m_listTexts.find(version.isUInt64() ? version.asUInt64() : 0);
    if (base == m_listTexts.end()) {
      return false;
    }
    text = ApplyTextDelta(base->second, content);
  } else if (content.isString()) {
    text = content.asString();
  }
  bool valid = !text.empty() && text.size() <= kMaxListBytes &&
               Fingerprint(text) == aResult["fingerprint"].asString();
  if (valid) {
    SetListed(ParseText(text), aNow, aResult["version"].asUInt64());
  }
  return valid;
}

} // namespace shallotford
