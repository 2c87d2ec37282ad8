/// Gossip messages: how they are made and read. Members that this version
/// doesn't know are passed over.

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
constexpr char kNoAge = '.';
/// Characters of an entry in the list of ages: four of the key, one age.
constexpr std::size_t kAgeEntryChars = 5;
/// Figures travel as whole tenths.
constexpr double kFigureScale = 10;

[[noreturn]] void
ThrowMalformed(const char* aWhat)
{
  throw Error(ErrorKind::InvalidRequest,
              std::string("gossip: ") + aWhat,
              "Send the message that docs/design-control.md describes.");
}

std::string
Hex(std::uint64_t aNumber)
{
  std::array<char, 16> digits{};
  auto [end, error] =
    std::to_chars(digits.data(), digits.data() + digits.size(), aNumber, 16);
  static_cast<void>(error);
  return { digits.data(), end };
}

/// @returns 0 if aValue is no hexadecimal number
std::uint64_t
ParseHex(const Json::Value& aValue)
{
  std::string text = aValue.isString() ? aValue.asString() : "";
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  auto [stop, error] = std::from_chars(text.data(), end, number, 16);
  return error == std::errc{} && stop == end ? number : 0;
}

std::uint64_t
NumberOr0(const Json::Value& aValue)
{
  return aValue.isUInt64() ? aValue.asUInt64() : 0;
}

std::string
TextOrEmpty(const Json::Value& aValue)
{
  return aValue.isString() ? aValue.asString() : "";
}

std::size_t
EntriesToRead(const Json::Value& aList)
{
  return aList.isArray() ? std::min<std::size_t>(aList.size(), kMaxEntriesRead)
                         : 0;
}

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
  for (const auto& [key, figure] : aSample) {
    value[key] = static_cast<Json::Int64>(std::llround(figure * kFigureScale));
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
    if (at->isUInt64() && sample.size() < kMaxEntriesRead) {
      sample[at.name()] = static_cast<double>(at->asUInt64()) / kFigureScale;
    }
  }
  return sample;
}

// ---------------------------------------------------------------- making

Json::Value
Membership::MakeMessage(MessageForm aForm, TimePoint aNow)
{
  ++m_messages;
  Json::Value message(Json::objectValue);
  message["v"] = kMessageVersion;
  message["from"] = m_options.m_self.m_address;
  message["inc"] = Hex(m_options.m_self.m_incarnation);
  message["ord"] = static_cast<Json::UInt64>(m_selfOrder);
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
  if (aForm == MessageForm::Full && m_watchAt) {
    message["watch"] = std::string(1, EncodeAge(aNow - *m_watchAt));
  }
  return message;
}

/// Adds when members were last heard of: by their place in the list if the
/// receiver has the same one, else by key.
void
Membership::AddAges(Json::Value& aMessage, const Member& aTo, TimePoint aNow)
{
  aMessage["list"] = m_listHash;
  if (!aTo.m_listHash.empty() && aTo.m_listHash != m_listHash) {
    aMessage["keyed"] = PickKeyedAges(aNow);
    return;
  }
  std::size_t first = 0;
  if (m_members.size() > kAgesPerMessage) {
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
  return m_messages % kDigestEvery == 0;
}

char
Membership::AgeOf(const Member& aMember, TimePoint aNow) const
{
  if (aMember.m_address == m_options.m_self.m_address) {
    return EncodeAge(Duration{ 0 });
  }
  return aMember.m_heardAt ? EncodeAge(aNow - *aMember.m_heardAt) : kNoAge;
}

std::string
Membership::PickAges(std::size_t aFirst, TimePoint aNow) const
{
  std::size_t count = std::min(m_members.size(), kAgesPerMessage);
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
       i < count && ages.size() < kKeyedAgesPerMessage * kAgeEntryChars;
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
    record.append(aMember.m_saidLeaving ? 1 : 0);
    record.append(static_cast<Json::UInt64>(aMember.m_revision));
    records.append(record);
  };
  std::vector<Member*> news;
  for (Member& member : m_members) {
    if (member.m_sendsLeft > 0) {
      news.push_back(&member);
    }
  }
  std::size_t count = std::min(kRecordsPerMessage, news.size());
  std::partial_sort(news.begin(),
                    news.begin() + static_cast<std::ptrdiff_t>(count),
                    news.end(),
                    [](const Member* aLeft, const Member* aRight) {
                      return aLeft->m_sendsLeft > aRight->m_sendsLeft;
                    });
  for (std::size_t i = 0; i < count; ++i) {
    --news[i]->m_sendsLeft;
    append(*news[i]);
  }
  // Old news go on by chance, so that every VM gets them in the end.
  for (std::size_t tries = 0;
       tries < kRecordsPerMessage && records.size() < kRecordsPerMessage;
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
  for (const Rumor& rumor : m_rumors.Pick(kRumorsPerMessage, aNow)) {
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

// --------------------------------------------------------------- reading

Json::Value
Membership::OnCall(const Json::Value& aParams, TimePoint aNow)
{
  if (!aParams.isObject() || !aParams["from"].isString()) {
    ThrowMalformed("the message names no sender");
  }
  std::string from = aParams["from"].asString();
  Member* sender = Find(from);
  if (sender == nullptr || from == m_options.m_self.m_address) {
    throw Error(ErrorKind::Unauthenticated,
                "gossip: " + from + " is not on the list of VMs",
                "Wait until the platform lists this VM.");
  }
  Read(aParams, *sender, aNow);
  bool full = aParams.isMember("avg");
  Json::Value reply =
    MakeMessage(full ? MessageForm::Full : MessageForm::Brief, aNow);
  if (full) {
    AddAges(reply, *sender, aNow);
    reply["avg"] = ToJson(m_averages.Merge(ParseSample(aParams["avg"])));
  }
  return reply;
}

void
Membership::OnResult(const std::string& aPeer,
                     const Json::Value& aResult,
                     TimePoint aNow)
{
  if (!aResult.isObject()) {
    ThrowMalformed("the result is not an object");
  }
  Member* peer = Find(aPeer);
  if (peer == nullptr) {
    return; // it left the list meanwhile
  }
  peer->m_skipUntil = TimePoint{};
  Read(aResult, *peer, aNow);
  auto sent = m_sent.find(aPeer);
  if (sent != m_sent.end() && aResult.isMember("avg")) {
    m_averages.Finish(sent->second, ParseSample(aResult["avg"]));
    m_sent.erase(sent);
  }
}

void
Membership::Read(const Json::Value& aMessage, Member& aFrom, TimePoint aNow)
{
  HearOf(aFrom, aNow);
  ReadSender(aMessage, aFrom);
  ReadOffer(aMessage, aFrom);
  ReadListOffer(aMessage, aFrom);
  ReadAges(aMessage, aFrom, aNow);
  ReadWatch(aMessage, aNow);
  ReadRecords(aMessage["m"]);
  ReadRumors(aMessage["r"], aNow);
  ReadDigest(TextOrEmpty(aMessage["q"]));
}

void
Membership::ReadSender(const Json::Value& aMessage, Member& aFrom)
{
  std::uint64_t incarnation = ParseHex(aMessage["inc"]);
  if (incarnation == 0) {
    ThrowMalformed("the sender names no incarnation");
  }
  TakeIncarnation(aFrom, incarnation, NumberOr0(aMessage["ord"]));
  if (aFrom.m_incarnation != incarnation) {
    // Its clock went back: our record makes it order itself higher.
    aFrom.m_sendsLeft = std::max(aFrom.m_sendsLeft, 1u);
    return;
  }
  if (aMessage["out"].isBool() && aMessage["out"].asBool()) {
    NoteLeaving(aFrom);
  }
  aFrom.m_revision = NumberOr0(aMessage["rev"]);
}

void
Membership::ReadOffer(const Json::Value& aMessage, const Member& aFrom)
{
  RevisionOffer offer{ aFrom.m_address,
                       { NumberOr0(aMessage["rev"]),
                         TextOrEmpty(aMessage["fp"]) },
                       TextOrEmpty(aMessage["pv"]) };
  bool ours = offer.m_name == m_revision;
  bool older = offer.m_name.m_revision < m_revision.m_revision;
  if (!ours && !older && m_offers.size() < kMaxPendingOffers) {
    m_offers.push_back(std::move(offer));
  }
}

void
Membership::ReadListOffer(const Json::Value& aMessage, const Member& aFrom)
{
  if (NumberOr0(aMessage["lv"]) > m_listVersion) {
    m_listOffer = aFrom.m_address;
  }
}

void
Membership::ReadAges(const Json::Value& aMessage, Member& aFrom, TimePoint aNow)
{
  std::string list = TextOrEmpty(aMessage["list"]);
  if (list.empty()) {
    return;
  }
  aFrom.m_listHash = list;
  ReadKeyedAges(TextOrEmpty(aMessage["keyed"]), aNow);
  if (list != m_listHash) {
    return;
  }
  std::string ages = TextOrEmpty(aMessage["ages"]);
  std::uint64_t first = NumberOr0(aMessage["first"]) % m_members.size();
  std::size_t count = std::min(ages.size(), m_members.size());
  for (std::size_t i = 0; i < count; ++i) {
    if (std::optional<Duration> age = DecodeAge(ages[i])) {
      HearOf(m_members[(first + i) % m_members.size()], aNow - *age);
    }
  }
}

void
Membership::ReadKeyedAges(const std::string& aAges, TimePoint aNow)
{
  std::size_t entries =
    std::min(aAges.size() / kAgeEntryChars, kAgesPerMessage);
  for (std::size_t i = 0; i < entries; ++i) {
    std::string entry = aAges.substr(i * kAgeEntryChars, kAgeEntryChars);
    auto member = m_byKey.find(entry.substr(0, kAgeEntryChars - 1));
    std::optional<Duration> age = DecodeAge(entry.back());
    if (member != m_byKey.end() && age) {
      HearOf(m_members[member->second], aNow - *age);
    }
  }
}

void
Membership::ReadWatch(const Json::Value& aMessage, TimePoint aNow)
{
  std::string text = TextOrEmpty(aMessage["watch"]);
  if (text.size() != 1) {
    return;
  }
  if (std::optional<Duration> age = DecodeAge(text[0])) {
    TimePoint at = aNow - *age;
    m_watchAt = m_watchAt ? std::max(*m_watchAt, at) : at;
  }
}

void
Membership::ReadRecords(const Json::Value& aRecords)
{
  std::size_t count = EntriesToRead(aRecords);
  for (std::size_t i = 0; i < count; ++i) {
    const Json::Value& record = aRecords[static_cast<Json::ArrayIndex>(i)];
    if (record.isArray() && record.size() >= 5) {
      ReadRecord(record);
    }
  }
}

void
Membership::ReadRecord(const Json::Value& aRecord)
{
  Member* member = Find(TextOrEmpty(aRecord[0]));
  std::uint64_t incarnation = ParseHex(aRecord[1]);
  std::uint64_t order = NumberOr0(aRecord[2]);
  if (member == nullptr || incarnation == 0) {
    return;
  }
  if (member->m_address == m_options.m_self.m_address) {
    bool former = incarnation != m_options.m_self.m_incarnation;
    if (former && order >= m_selfOrder) {
      m_selfOrder = order + 1;
      member->m_bootOrder = m_selfOrder;
      m_urgent = true;
    }
    return;
  }
  TakeIncarnation(*member, incarnation, order);
  if (member->m_incarnation != incarnation) {
    return;
  }
  if (NumberOr0(aRecord[3]) == 1) {
    NoteLeaving(*member);
  }
  member->m_revision = std::max(member->m_revision, NumberOr0(aRecord[4]));
}

void
Membership::TakeIncarnation(Member& aMember,
                            std::uint64_t aIncarnation,
                            std::uint64_t aBootOrder)
{
  if (aMember.m_incarnation == aIncarnation) {
    aMember.m_bootOrder = std::max(aMember.m_bootOrder, aBootOrder);
    return;
  }
  bool known = aMember.m_incarnation != 0;
  bool newer = std::pair(aBootOrder, aIncarnation) >
               std::pair(aMember.m_bootOrder, aMember.m_incarnation);
  if (known && !newer) {
    return;
  }
  if (known) {
    m_events.push_back({ MembershipEventKind::Incarnation, aMember.m_address });
  }
  aMember.m_incarnation = aIncarnation;
  aMember.m_bootOrder = aBootOrder;
  aMember.m_saidLeaving = false;
  aMember.m_revision = 0;
  // A first acquaintance is hardly news to the others.
  aMember.m_sendsLeft = known ? kRecordSends : 1;
  m_urgent = m_urgent || known;
}

void
Membership::NoteLeaving(Member& aMember)
{
  if (aMember.m_saidLeaving) {
    return;
  }
  aMember.m_saidLeaving = true;
  aMember.m_sendsLeft = kRecordSends;
  m_urgent = true;
  m_events.push_back({ MembershipEventKind::Leaving, aMember.m_address });
}

void
Membership::ReadRumors(const Json::Value& aRumors, TimePoint aNow)
{
  std::size_t count = EntriesToRead(aRumors);
  for (std::size_t i = 0; i < count; ++i) {
    const Json::Value& item = aRumors[static_cast<Json::ArrayIndex>(i)];
    if (!item.isArray() || item.size() < 5) {
      continue;
    }
    std::chrono::milliseconds left{ std::min<std::uint64_t>(
      NumberOr0(item[4]), kMaxRumorLifetime.count()) };
    Rumor rumor{ TextOrEmpty(item[0]),
                 TextOrEmpty(item[1]),
                 NumberOr0(item[2]),
                 TextOrEmpty(item[3]),
                 aNow + left };
    if (m_rumors.Add(rumor, aNow)) {
      m_newRumors.push_back(std::move(rumor));
      m_urgent = true;
    }
  }
}

void
Membership::ReadDigest(const std::string& aDigest)
{
  bool news = !aDigest.empty() && aDigest != m_digest &&
              aDigest.size() <= kMaxDigestBytes &&
              m_digests.size() < kMaxPendingDigests;
  if (news) {
    m_digests.push_back(aDigest);
  }
}

} // namespace shallotford
