/// Membership: the view of the fleet's VMs, and with which peers a VM exchanges
/// gossip messages at which time.

#include "config.h"
#include "control_gossip.h"

#include <algorithm>
#include <cmath>

namespace shallotford {

namespace {

constexpr std::string_view kDigits =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr std::size_t kKeyChars = 4;
constexpr std::size_t kListHashChars = 8;

/// Returns the key of a VM in lists of ages: 24 bits of its address's hash.
std::string
ShortKey(const std::string& aAddress)
{
  std::uint64_t hash = StableHash(aAddress);
  std::string key;
  for (std::size_t i = 0; i < kKeyChars; ++i) {
    key += kDigits[hash % kDigits.size()];
    hash /= kDigits.size();
  }
  return key;
}

double
SecondsOf(Duration aElapsed)
{
  return std::chrono::duration<double>(aElapsed).count();
}

} // namespace

std::string_view
ToString(MembershipEventKind aKind)
{
  switch (aKind) {
    case MembershipEventKind::Reachable:
      return "heard";
    case MembershipEventKind::Unreachable:
      return "silent";
    case MembershipEventKind::Incarnation:
      return "incarnation";
    case MembershipEventKind::Leaving:
      break;
  }
  return "leaving";
}

Membership::Membership(MembershipOptions aOptions, RandomI& aRandom)
  : m_options(std::move(aOptions))
  , m_random(aRandom)
  , m_selfBootOrder(m_options.m_bootOrder)
  , m_urgentTokens(kMaxUrgentBurst)
{
}

// ------------------------------------------------------------------ list

void
Membership::SetListed(const std::vector<ListedVm>& aVms,
                      TimePoint aNow,
                      std::uint64_t aVersion)
{
  if (aVersion != 0 && aVersion <= m_listVersion) {
    return;
  }
  if (aVersion != 0) {
    StoreListText(aVms, aVersion);
  }
  std::vector<Member> members;
  for (const ListedVm& vm : aVms) {
    Member* known = Find(vm.m_address);
    Member member = known != nullptr ? *known : Member{};
    if (known == nullptr) {
      member.m_address = vm.m_address;
      member.m_key = ShortKey(vm.m_address);
    }
    if (vm.m_leaving && !member.m_listedLeaving) {
      m_events.push_back({ MembershipEventKind::Leaving, vm.m_address });
    }
    member.m_listedLeaving = vm.m_leaving;
    members.push_back(std::move(member));
  }
  std::sort(members.begin(),
            members.end(),
            [](const Member& aLeft, const Member& aRight) {
              return aLeft.m_address < aRight.m_address;
            });
  members.erase(std::unique(members.begin(),
                            members.end(),
                            [](const Member& aLeft, const Member& aRight) {
                              return aLeft.m_address == aRight.m_address;
                            }),
                members.end());
  m_members = std::move(members);
  RebuildIndex();
  if (Member* self = Find(m_options.m_self.m_address)) {
    self->m_incarnation = m_options.m_self.m_incarnation;
    self->m_bootOrder = m_selfBootOrder;
    self->m_wasReachable = true;
    NoteSeen(*self, aNow);
  }
}

void
Membership::RebuildIndex()
{
  std::string addresses;
  for (const Member& member : m_members) {
    addresses += member.m_address + ' ';
  }
  m_listHash = Fingerprint(addresses).substr(0, kListHashChars);
  m_byKey.clear();
  std::set<std::string> ambiguous;
  for (std::size_t i = 0; i < m_members.size(); ++i) {
    if (!m_byKey.emplace(m_members[i].m_key, i).second) {
      ambiguous.insert(m_members[i].m_key);
    }
  }
  for (const std::string& key : ambiguous) {
    m_byKey.erase(key);
  }
  m_ring.resize(m_members.size());
  for (std::size_t i = 0; i < m_ring.size(); ++i) {
    m_ring[i] = i;
  }
  std::sort(
    m_ring.begin(), m_ring.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return StableHash(m_members[aLeft].m_address) <
             StableHash(m_members[aRight].m_address);
    });
  for (std::size_t i = 0; i < m_ring.size(); ++i) {
    if (m_members[m_ring[i]].m_address == m_options.m_self.m_address) {
      m_selfInRing = i;
    }
  }
}

const Membership::Member*
Membership::Find(const std::string& aAddress) const
{
  auto found =
    std::lower_bound(m_members.begin(),
                     m_members.end(),
                     aAddress,
                     [](const Member& aMember, const std::string& aWanted) {
                       return aMember.m_address < aWanted;
                     });
  bool known = found != m_members.end() && found->m_address == aAddress;
  return known ? &*found : nullptr;
}

Membership::Member*
Membership::Find(const std::string& aAddress)
{
  return const_cast<Member*>(std::as_const(*this).Find(aAddress));
}

bool
Membership::IsListed(const std::string& aAddress) const
{
  return Find(aAddress) != nullptr;
}

std::uint64_t
Membership::IncarnationOf(const std::string& aAddress) const
{
  const Member* member = Find(aAddress);
  return member == nullptr ? 0 : member->m_incarnation;
}

// ------------------------------------------------------------- own state

void
Membership::SetRevision(const RevisionName& aName,
                        const std::string& aPlatformVersion)
{
  if (aName != m_revision) {
    m_urgent = true;
  }
  m_revision = aName;
  m_platformVersion = aPlatformVersion;
}

void
Membership::SetLeaving()
{
  m_urgent = m_urgent || !m_selfLeaving;
  m_selfLeaving = true;
}

void
Membership::SetDigest(const std::string& aDigest)
{
  if (aDigest == m_digest || aDigest.size() > kMaxDigestBytes) {
    return;
  }
  m_digest = aDigest;
  m_digestSends = kSendsPerChangedDigest;
  m_digestChanged = true;
}

void
Membership::Spread(const std::string& aKind,
                   const std::string& aId,
                   std::uint64_t aVersion,
                   const std::string& aBody,
                   Duration aLifetime,
                   TimePoint aNow)
{
  Rumor rumor{ aKind, aId, aVersion, aBody, aNow + aLifetime };
  if (m_rumors.Add(std::move(rumor), aNow)) {
    m_urgent = true;
  }
}

// --------------------------------------------------------------- liveness

void
Membership::NoteSeen(Member& aMember, TimePoint aAt)
{
  if (!aMember.m_lastSeen || *aMember.m_lastSeen < aAt) {
    aMember.m_lastSeen = aAt;
  }
}

bool
Membership::IsReachable(const Member& aMember, TimePoint aNow) const
{
  if (aMember.m_address == m_options.m_self.m_address) {
    return true;
  }
  return aMember.m_lastSeen && aNow - *aMember.m_lastSeen <= kMemberTimeout;
}

std::size_t
Membership::ReachableCount(TimePoint aNow) const
{
  return static_cast<std::size_t>(std::count_if(
    m_members.begin(), m_members.end(), [&](const Member& aMember) {
      return IsReachable(aMember, aNow);
    }));
}

std::vector<std::string>
Membership::Live(TimePoint aNow) const
{
  std::vector<std::string> live;
  for (const Member& member : m_members) {
    bool self = member.m_address == m_options.m_self.m_address;
    bool leaving = member.m_listedLeaving || member.m_reportedLeaving ||
                   (self && m_selfLeaving);
    if (!leaving && IsReachable(member, aNow)) {
      live.push_back(member.m_address);
    }
  }
  return live;
}

std::vector<MemberView>
Membership::Members(TimePoint aNow) const
{
  std::vector<MemberView> views;
  for (const Member& member : m_members) {
    bool self = member.m_address == m_options.m_self.m_address;
    views.push_back(
      { .m_address = member.m_address,
        .m_incarnation = member.m_incarnation,
        .m_revision = self ? m_revision.m_revision : member.m_revision,
        .m_reachable = IsReachable(member, aNow),
        .m_leaving = member.m_listedLeaving || member.m_reportedLeaving ||
                     (self && m_selfLeaving) });
  }
  return views;
}

double
Membership::Total(const std::string& aKey, TimePoint aNow) const
{
  auto vms =
    static_cast<double>(std::max<std::size_t>(ReachableCount(aNow), 1));
  return m_averages.Mean(aKey) * vms;
}

// -------------------------------------------------------------- schedule

bool
Membership::IsUsable(const Member& aMember, TimePoint aNow) const
{
  // Leaving VMs still finish requests, and need updates as long as they answer.
  return aMember.m_address != m_options.m_self.m_address &&
         aMember.m_skipUntil <= aNow;
}

/// Returns members at geometric distances on the ring, so that an update
/// reaches all n VMs in about kGossipFanout * n^(1/kGossipFanout) steps at
/// most. An unusable member is replaced by the next usable one on the ring.
std::vector<std::size_t>
Membership::Fingers(TimePoint aNow) const
{
  std::vector<std::size_t> fingers;
  std::size_t count = m_ring.size();
  if (!IsListed(m_options.m_self.m_address)) {
    return fingers;
  }
  std::size_t next = 1;
  for (std::size_t i = 0; i < kGossipFanout; ++i) {
    double exponent = static_cast<double>(i) / kGossipFanout;
    auto distance = static_cast<std::size_t>(
      std::llround(std::pow(static_cast<double>(count), exponent)));
    next = std::max(next, distance);
    while (next < count) {
      std::size_t member = m_ring[(m_selfInRing + next) % count];
      ++next;
      if (IsUsable(m_members[member], aNow)) {
        fingers.push_back(member);
        break;
      }
    }
  }
  return fingers;
}

std::optional<std::string>
Membership::NextPeer(TimePoint aNow)
{
  std::vector<std::size_t> fingers = Fingers(aNow);
  ++m_exchangeCount;
  if (!fingers.empty() && m_exchangeCount % kRandomExchangeEvery != 0) {
    return m_members[fingers[m_exchangeCount % fingers.size()]].m_address;
  }
  // A random peer may be one that failed before: after a network partition this
  // is how the two sides reach each other again.
  std::vector<const Member*> others;
  for (const Member& member : m_members) {
    if (member.m_address != m_options.m_self.m_address) {
      others.push_back(&member);
    }
  }
  if (others.empty()) {
    return std::nullopt;
  }
  return others[m_random.Below(others.size())]->m_address;
}

void
Membership::AddExchange(std::vector<GossipMessage>& aMessages, TimePoint aNow)
{
  Duration interval = m_options.m_interval;
  if (m_revision.m_revision == 0) {
    interval /= kBootExchangeFactor;
  }
  double jitter = 0.9 + 0.2 * m_random.Unit();
  m_nextExchange =
    aNow + std::chrono::duration_cast<Duration>(interval * jitter);
  std::optional<std::string> peer = NextPeer(aNow);
  if (!peer) {
    return;
  }
  Json::Value message = MakeMessage(MessageForm::Full, aNow);
  AddAges(message, *Find(*peer), aNow);
  FleetAverages::Sample sample = m_averages.Pick(kMaxAveragesPerMessage);
  message["avg"] = ToJson(sample);
  m_sentAverages[*peer] = std::move(sample);
  aMessages.push_back({ *peer, std::move(message) });
}

void
Membership::AddUrgent(std::vector<GossipMessage>& aMessages, TimePoint aNow)
{
  m_urgent = false;
  m_urgentTokens -= 1;
  Json::Value message = MakeMessage(MessageForm::Brief, aNow);
  for (std::size_t finger : Fingers(aNow)) {
    aMessages.push_back({ m_members[finger].m_address, message });
  }
}

std::vector<GossipMessage>
Membership::Tick(TimePoint aNow)
{
  Duration elapsed = m_lastTick ? aNow - *m_lastTick : Duration{ 0 };
  m_lastTick = aNow;
  m_averages.Leak(elapsed);
  m_rumors.Expire(aNow);
  m_urgentTokens =
    std::min(kMaxUrgentBurst,
             m_urgentTokens + kMaxUrgentRoundsPerSecond * SecondsOf(elapsed));
  std::vector<GossipMessage> messages;
  if (m_members.empty()) {
    return messages;
  }
  bool digestHeldBack =
    m_digestUrgentAt && aNow - *m_digestUrgentAt < kMinUrgentDigestInterval;
  if (m_digestChanged && !digestHeldBack) {
    m_digestChanged = false;
    m_digestUrgentAt = aNow;
    m_urgent = true;
  }
  if (m_urgent && m_urgentTokens >= 1) {
    AddUrgent(messages, aNow);
  }
  if (!m_nextExchange || aNow >= *m_nextExchange) {
    AddExchange(messages, aNow);
  }
  return messages;
}

void
Membership::OnFailure(const std::string& aPeer, TimePoint aNow)
{
  m_sentAverages.erase(aPeer);
  if (Member* member = Find(aPeer)) {
    member->m_skipUntil = aNow + kGossipFailedPeerPause;
  }
}

// --------------------------------------------------------------- changes

std::vector<RevisionOffer>
Membership::TakeOffers()
{
  return std::exchange(m_offers, {});
}

std::vector<MembershipEvent>
Membership::TakeEvents(TimePoint aNow)
{
  for (Member& member : m_members) {
    bool reachable = IsReachable(member, aNow);
    if (reachable != member.m_wasReachable) {
      m_events.push_back({ reachable ? MembershipEventKind::Reachable
                                     : MembershipEventKind::Unreachable,
                           member.m_address });
    }
    member.m_wasReachable = reachable;
  }
  return std::exchange(m_events, {});
}

std::vector<Rumor>
Membership::TakeRumors()
{
  return std::exchange(m_newRumors, {});
}

std::vector<std::string>
Membership::TakeDigests()
{
  return std::exchange(m_digests, {});
}

} // namespace shallotford
