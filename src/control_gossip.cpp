/// Builds the JSON messages that VMs exchange by gossip.

#include "control_gossip.h"

#include "config.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace shallotford {

namespace {

constexpr int kMessageVersion = 1;
constexpr std::string_view kAgeDigits =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
/// Averages are sent as whole tenths.
constexpr double kValueScale = 10;

} // namespace

char
EncodeAge(Duration aAge)
{
  auto units = static_cast<std::size_t>((aAge + kAgeUnit - Duration{ 1 }) /
                                        Duration{ kAgeUnit });
  return units < kAgeDigits.size() ? kAgeDigits[units] : kNoAge;
}

std::optional<Duration>
DecodeAge(char aChar)
{
  std::size_t units = kAgeDigits.find(aChar);
  if (units == std::string_view::npos) {
    return std::nullopt;
  }
  return kAgeUnit * units;
}

Json::Value
ToJson(const FleetAverages::Sample& aSample)
{
  Json::Value value(Json::objectValue);
  for (const auto& [key, mean] : aSample) {
    value[key] = static_cast<Json::Int64>(std::llround(mean * kValueScale));
  }
  return value;
}

FleetAverages::Sample
ParseSample(const Json::Value& aValue)
{
  FleetAverages::Sample sample;
  if (!aValue.isObject()) {
    return sample;
  }
  for (auto at = aValue.begin(); at != aValue.end(); ++at) {
    if (at->isUInt64() && sample.size() < kMaxEntriesReadPerMessage) {
      sample[at.name()] = static_cast<double>(at->asUInt64()) / kValueScale;
    }
  }
  return sample;
}

Json::Value
Membership::MakeMessage(MessageForm aForm, TimePoint aNow)
{
  ++m_messageCount;
  Json::Value message(Json::objectValue);
  message["v"] = kMessageVersion;
  message["from"] = m_options.m_self.m_address;
  message["inc"] = Hex(m_options.m_self.m_incarnation);
  message["ord"] = static_cast<Json::UInt64>(m_selfBootOrder);
  if (m_selfLeaving) {
    message["out"] = true;
  }
  if (m_revision.m_revision != 0) {
    message["rev"] = static_cast<Json::UInt64>(m_revision.m_revision);
    message["fp"] = m_revision.m_fingerprint;
    if (!m_platformVersion.empty()) {
      message["pv"] = m_platformVersion;
    }
  }
  if (m_listVersion != 0) {
    message["lv"] = static_cast<Json::UInt64>(m_listVersion);
  }
  message["m"] = PickRecords();
  message["r"] = PickRumors(aNow);
  if (IsDigestDue()) {
    message["q"] = m_digest;
  }
  if (aForm == MessageForm::Full && m_lastWatchAnswer) {
    message["watch"] = std::string(1, EncodeAge(aNow - *m_lastWatchAnswer));
  }
  return message;
}

/// Adds how long ago members were last seen: by key if the receiver is known to
/// have another list of VMs, else by position in the list.
void
Membership::AddAges(Json::Value& aMessage, const Member& aTo, TimePoint aNow)
{
  aMessage["list"] = m_listHash;
  if (!aTo.m_listHash.empty() && aTo.m_listHash != m_listHash) {
    aMessage["keyed"] = PickKeyedAges(aNow);
    return;
  }
  std::size_t first = 0;
  if (m_members.size() > kMaxAgesPerMessage) {
    first = m_random.Below(m_members.size());
    aMessage["first"] = static_cast<Json::UInt64>(first);
  }
  aMessage["ages"] = PickAges(first, aNow);
}

bool
Membership::IsDigestDue()
{
  if (m_digest.empty()) {
    return false;
  }
  if (m_digestSends > 0) {
    --m_digestSends;
    return true;
  }
  return m_messageCount % kDigestMessageInterval == 0;
}

char
Membership::AgeOf(const Member& aMember, TimePoint aNow) const
{
  if (aMember.m_address == m_options.m_self.m_address) {
    return EncodeAge(Duration{ 0 });
  }
  return aMember.m_lastSeen ? EncodeAge(aNow - *aMember.m_lastSeen) : kNoAge;
}

std::string
Membership::PickAges(std::size_t aFirst, TimePoint aNow) const
{
  std::size_t count = std::min(m_members.size(), kMaxAgesPerMessage);
  std::string ages;
  for (std::size_t i = 0; i < count; ++i) {
    ages += AgeOf(m_members[(aFirst + i) % m_members.size()], aNow);
  }
  return ages;
}

std::string
Membership::PickKeyedAges(TimePoint aNow)
{
  std::string ages;
  std::size_t count = m_members.size();
  std::size_t start = m_random.Below(count);
  for (std::size_t i = 0;
       i < count && ages.size() < kMaxKeyedAgesPerMessage * kAgeEntryChars;
       ++i) {
    const Member& member = m_members[(start + i) % count];
    char age = AgeOf(member, aNow);
    if (age != kNoAge) {
      ages += member.m_key + age;
    }
  }
  return ages;
}

Json::Value
Membership::PickRecords()
{
  Json::Value records(Json::arrayValue);
  auto append = [&](const Member& aMember) {
    Json::Value record(Json::arrayValue);
    record.append(aMember.m_address);
    record.append(Hex(aMember.m_incarnation));
    record.append(static_cast<Json::UInt64>(aMember.m_bootOrder));
    record.append(aMember.m_reportedLeaving ? 1 : 0);
    record.append(static_cast<Json::UInt64>(aMember.m_revision));
    records.append(record);
  };
  std::vector<Member*> changed;
  for (Member& member : m_members) {
    if (member.m_sendsLeft > 0) {
      changed.push_back(&member);
    }
  }
  std::size_t count = std::min(kMaxRecordsPerMessage, changed.size());
  std::partial_sort(changed.begin(),
                    changed.begin() + static_cast<std::ptrdiff_t>(count),
                    changed.end(),
                    [](const Member* aLeft, const Member* aRight) {
                      return aLeft->m_sendsLeft > aRight->m_sendsLeft;
                    });
  for (std::size_t i = 0; i < count; ++i) {
    --changed[i]->m_sendsLeft;
    append(*changed[i]);
  }
  // Other records are added at random, so that every VM receives them
  // eventually.
  for (std::size_t tries = 0;
       tries < kMaxRecordsPerMessage && records.size() < kMaxRecordsPerMessage;
       ++tries) {
    const Member& member = m_members[m_random.Below(m_members.size())];
    bool self = member.m_address == m_options.m_self.m_address;
    if (!self && member.m_incarnation != 0) {
      append(member);
    }
  }
  return records;
}

Json::Value
Membership::PickRumors(TimePoint aNow)
{
  Json::Value rumors(Json::arrayValue);
  for (const Rumor& rumor : m_rumors.Pick(kMaxRumorsPerMessage, aNow)) {
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      rumor.m_expiry - aNow);
    Json::Value item(Json::arrayValue);
    item.append(rumor.m_kind);
    item.append(rumor.m_id);
    item.append(static_cast<Json::UInt64>(rumor.m_version));
    item.append(rumor.m_body);
    item.append(static_cast<Json::Int64>(left.count()));
    rumors.append(item);
  }
  return rumors;
}

} // namespace shallotford
