/// Reads the JSON messages that VMs exchange by gossip. Message members that
/// this version doesn't know are ignored.

#include "control_gossip.h"

#include "config.h"

#include <algorithm>
#include <charconv>

namespace shallotford {

namespace {

[[noreturn]] void
ThrowMalformed(const char* aWhat)
{
  throw Error(ErrorKind::InvalidRequest,
              std::string("gossip: ") + aWhat,
              "Send the message that docs/design-control.md describes.");
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
  return aList.isArray()
           ? std::min<std::size_t>(aList.size(), kMaxEntriesReadPerMessage)
           : 0;
}

} // namespace

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
    return; // it was removed from the list meanwhile
  }
  peer->m_skipUntil = TimePoint{};
  Read(aResult, *peer, aNow);
  auto sent = m_sentAverages.find(aPeer);
  if (sent != m_sentAverages.end() && aResult.isMember("avg")) {
    m_averages.Finish(sent->second, ParseSample(aResult["avg"]));
    m_sentAverages.erase(sent);
  }
}

void
Membership::Read(const Json::Value& aMessage, Member& aFrom, TimePoint aNow)
{
  NoteSeen(aFrom, aNow);
  ReadSender(aMessage, aFrom);
  ReadRevisionOffer(aMessage, aFrom);
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
  UpdateIncarnation(aFrom, incarnation, NumberOr0(aMessage["ord"]));
  if (aFrom.m_incarnation != incarnation) {
    // The sender restarted with an earlier clock. The record of its former
    // incarnation is sent again, upon which it raises its boot order.
    aFrom.m_sendsLeft = std::max(aFrom.m_sendsLeft, 1u);
    return;
  }
  if (aMessage["out"].isBool() && aMessage["out"].asBool()) {
    MarkLeaving(aFrom);
  }
  aFrom.m_revision = NumberOr0(aMessage["rev"]);
}

void
Membership::ReadRevisionOffer(const Json::Value& aMessage, const Member& aFrom)
{
  RevisionOffer offer{ aFrom.m_address,
                       { NumberOr0(aMessage["rev"]),
                         TextOrEmpty(aMessage["fp"]) },
                       TextOrEmpty(aMessage["pv"]) };
  bool same = offer.m_name == m_revision;
  bool older = offer.m_name.m_revision < m_revision.m_revision;
  if (!same && !older && m_offers.size() < kMaxPendingOffers) {
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
      NoteSeen(m_members[(first + i) % m_members.size()], aNow - *age);
    }
  }
}

void
Membership::ReadKeyedAges(const std::string& aAges, TimePoint aNow)
{
  std::size_t entries =
    std::min(aAges.size() / kAgeEntryChars, kMaxAgesPerMessage);
  for (std::size_t i = 0; i < entries; ++i) {
    std::string entry = aAges.substr(i * kAgeEntryChars, kAgeEntryChars);
    auto member = m_byKey.find(entry.substr(0, kAgeEntryChars - 1));
    std::optional<Duration> age = DecodeAge(entry.back());
    if (member != m_byKey.end() && age) {
      NoteSeen(m_members[member->second], aNow - *age);
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
    m_lastWatchAnswer =
      m_lastWatchAnswer ? std::max(*m_lastWatchAnswer, at) : at;
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
    if (former && order >= m_selfBootOrder) {
      m_selfBootOrder = order + 1;
      member->m_bootOrder = m_selfBootOrder;
      m_urgent = true;
    }
    return;
  }
  UpdateIncarnation(*member, incarnation, order);
  if (member->m_incarnation != incarnation) {
    return;
  }
  if (NumberOr0(aRecord[3]) == 1) {
    MarkLeaving(*member);
  }
  member->m_revision = std::max(member->m_revision, NumberOr0(aRecord[4]));
}

void
Membership::UpdateIncarnation(Member& aMember,
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
  aMember.m_reportedLeaving = false;
  aMember.m_revision = 0;
  // A VM that is new to this one is usually known to the others, so its record
  // is sent once only.
  aMember.m_sendsLeft = known ? kSendsPerChangedRecord : 1;
  m_urgent = m_urgent || known;
}

void
Membership::MarkLeaving(Member& aMember)
{
  if (aMember.m_reportedLeaving) {
    return;
  }
  aMember.m_reportedLeaving = true;
  aMember.m_sendsLeft = kSendsPerChangedRecord;
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
  bool isNew = !aDigest.empty() && aDigest != m_digest &&
               aDigest.size() <= kMaxDigestBytes &&
               m_digests.size() < kMaxPendingDigests;
  if (isNew) {
    m_digests.push_back(aDigest);
  }
}

} // namespace shallotford
