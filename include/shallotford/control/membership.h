#ifndef SHALLOTFORD_CONTROL_MEMBERSHIP_H
#define SHALLOTFORD_CONTROL_MEMBERSHIP_H

/// Which VMs are alive and what they know, by gossip with a fixed fan-out and
/// messages of bounded size. All of it is soft: wrong views cost speed only.

#include "shallotford/control/revision.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotford {

// ---------------------------------------------------------------- rumors

/// A small fact that spreads to every VM until it expires. Kinds that this
/// version doesn't know are kept and passed on.
struct Rumor
{
  std::string m_kind;        ///< "leaving", "settled", ...
  std::string m_id;          ///< subject, unique within the kind
  std::uint64_t m_version{}; ///< the higher one wins
  std::string m_body;        ///< opaque
  TimePoint m_expiry;
};

/// A bounded set of rumors and how often each is still to be sent.
class RumorStore
{
public:
  /// @returns whether it was news
  bool Add(Rumor aRumor, TimePoint aNow);
  /// Returns up to aMost rumors: those sent least first, the rest by turns.
  std::vector<Rumor> Pick(std::size_t aMost, TimePoint aNow);
  const Rumor* Find(const std::string& aKind, const std::string& aId) const;
  std::vector<Rumor> OfKind(const std::string& aKind, TimePoint aNow) const;
  void Expire(TimePoint aNow);
  std::size_t Size() const { return m_entries.size(); }

private:
  struct Entry
  {
    Rumor m_rumor;
    std::uint32_t m_sends{ 0 };
  };
  using Key = std::pair<std::string, std::string>;
  std::map<Key, Entry> m_entries;
};

// -------------------------------------------------------------- averages

/// Estimates the fleet's mean of figures that every VM has one of, such as a
/// caller's demand or the load sent to a failure domain, by averaging with one
/// peer at a time. The leak towards the own figure forgets lost messages and
/// VMs that are gone.
class FleetAverages
{
public:
  using Sample = std::map<std::string, double>; ///< by hashed key

  /// Sets this VM's own figure.
  void SetOwn(const std::string& aKey, double aValue);
  /// Forgets keys of which nobody has a figure any more.
  void Leak(Duration aElapsed);
  /// Returns the estimated mean over all VMs.
  double Mean(const std::string& aKey) const;
  /// Returns the figures to send: the largest, and a few others by turns.
  Sample Pick(std::size_t aMost);
  /// Averages with a peer's figures. @returns ours from before, for its side
  Sample Merge(const Sample& aTheirs);
  /// Completes an exchange that we began: aOurs was sent, aTheirs came back.
  void Finish(const Sample& aOurs, const Sample& aTheirs);

private:
  struct Entry
  {
    double m_own{ 0 };
    double m_estimate{ 0 };
  };
  std::map<std::string, Entry> m_entries;
  std::string m_cursor;
};

// ------------------------------------------------------------ membership

/// One entry VM on the platform's list.
struct ListedVm
{
  std::string m_address; ///< peer address
  bool m_leaving{ false };
};

struct MembershipOptions
{
  VmIncarnation m_self;
  /// Orders the incarnations of one address: wall time at boot, in seconds.
  std::uint64_t m_bootOrder{ 0 };
  /// Between exchanges.
  Duration m_interval{ std::chrono::milliseconds{ 2'500 } };
};

/// What is known of one listed VM.
struct MemberView
{
  std::string m_address;
  std::uint64_t m_incarnation{ 0 }; ///< 0: not known yet
  std::uint64_t m_revision{ 0 };    ///< as last heard
  bool m_reachable{ false };        ///< heard of recently
  bool m_leaving{ false };          ///< on the list, or by its own word
};

enum class MembershipEventKind
{
  Reachable,   ///< a listed VM is heard of (again)
  Unreachable, ///< not heard of any more
  Incarnation, ///< its former incarnation is gone
  Leaving,     ///< it takes no new work
};
std::string_view
ToString(MembershipEventKind aKind);
struct MembershipEvent
{
  MembershipEventKind m_kind{};
  std::string m_vm;
};

/// A revision named by a peer.
struct RevisionOffer
{
  std::string m_peer;
  RevisionName m_name;
  std::string m_platformVersion;
};

/// A message to be sent as params of the peer's JSON-RPC call "gossip".
struct GossipMessage
{
  std::string m_to; ///< peer address
  Json::Value m_params;
};

/// Gossip and the view that comes of it.
class Membership
{
public:
  Membership(MembershipOptions aOptions, RandomI& aRandom);

  // What this VM knows by itself.

  /// The platform's list of entry VMs, this one included. An older version
  /// than the known one is dropped.
  /// @param aVersion  the platform's; 0 if not to be passed on to peers
  void SetListed(const std::vector<ListedVm>& aVms,
                 TimePoint aNow,
                 std::uint64_t aVersion = 0);
  std::uint64_t ListVersion() const { return m_listVersion; }
  /// Returns the result of a peer's JSON-RPC call "vm_list": our list, as a
  /// difference to the version aHave if that is known here.
  Json::Value ListFor(std::uint64_t aHave) const;
  /// Takes in such a result.
  /// @returns false if it doesn't fit; ask again with 0, for the whole list
  /// @throws Error (InvalidRequest) if it is malformed
  bool AcceptList(const Json::Value& aResult, TimePoint aNow);
  void SetRevision(const RevisionName& aName,
                   const std::string& aPlatformVersion);
  /// This VM takes no new work any more.
  void SetLeaving();
  /// Quarantine digest of this VM's poison tracker; cut short, it is dropped.
  /// @param aDigest  at most kMaxDigestBytes
  void SetDigest(const std::string& aDigest);
  FleetAverages& Averages() { return m_averages; }
  /// A waiting watch of this VM was answered by the platform.
  void NoteWatchAnswer(TimePoint aNow) { m_watchAt = aNow; }
  /// Spreads a fact for aLifetime.
  void Spread(const std::string& aKind,
              const std::string& aId,
              std::uint64_t aVersion,
              const std::string& aBody,
              Duration aLifetime,
              TimePoint aNow);

  // Exchanges. Call Tick every 100 ms or so.

  /// Returns the messages that are due now.
  std::vector<GossipMessage> Tick(TimePoint aNow);
  /// Takes in a peer's call and returns the result to send back.
  /// @throws Error (Unauthenticated) if the sender is not listed,
  ///         (InvalidRequest) if the message is malformed
  Json::Value OnCall(const Json::Value& aParams, TimePoint aNow);
  /// Takes in the result of a message that Tick returned.
  /// @throws Error (InvalidRequest) if it is malformed
  void OnResult(const std::string& aPeer,
                const Json::Value& aResult,
                TimePoint aNow);
  /// No answer came. The peer is passed over for a while.
  void OnFailure(const std::string& aPeer, TimePoint aNow);

  // What came of it.

  std::vector<MemberView> Members(TimePoint aNow) const;
  /// Returns listed VMs that are heard of and not leaving, this one included,
  /// in order of address.
  std::vector<std::string> Live(TimePoint aNow) const;
  std::size_t ListedCount() const { return m_members.size(); }
  /// Returns how many listed VMs are heard of, this one included.
  std::size_t ReachableCount(TimePoint aNow) const;
  bool IsListed(const std::string& aAddress) const;
  /// Returns the newest incarnation known of a listed VM, or 0.
  std::uint64_t IncarnationOf(const std::string& aAddress) const;
  const RumorStore& Rumors() const { return m_rumors; }
  /// Returns when any VM's waiting watch was last answered, as far as known.
  std::optional<TimePoint> LastWatchAnswer() const { return m_watchAt; }
  /// Returns the estimated sum over all live VMs.
  double Total(const std::string& aKey, TimePoint aNow) const;

  // News since the last call of each.

  std::vector<RevisionOffer> TakeOffers();
  /// Returns a peer whose list is newer than ours.
  std::optional<std::string> TakeListOffer();
  std::vector<MembershipEvent> TakeEvents(TimePoint aNow);
  std::vector<Rumor> TakeRumors();
  /// Returns peers' quarantine digests.
  std::vector<std::string> TakeDigests();

private:
  struct Member
  {
    std::string m_address;
    std::string m_key; ///< short hash in messages
    bool m_listedLeaving{ false };
    bool m_saidLeaving{ false };
    bool m_wasHeard{ false };
    std::uint64_t m_incarnation{ 0 };
    std::uint64_t m_bootOrder{ 0 };
    std::uint64_t m_revision{ 0 };
    std::optional<TimePoint> m_heardAt;
    TimePoint m_skipUntil{};
    std::uint32_t m_sendsLeft{ 0 }; ///< of its record, since it changed
    std::string m_listHash;         ///< of its list of VMs, as it last said
  };
  enum class MessageForm
  {
    Full,
    Brief, ///< urgent news only
  };

  Member* Find(const std::string& aAddress);
  const Member* Find(const std::string& aAddress) const;
  Member& Self();
  bool IsHeard(const Member& aMember, TimePoint aNow) const;
  static void HearOf(Member& aMember, TimePoint aAt);
  void RebuildIndex();
  bool IsUsable(const Member& aMember, TimePoint aNow) const;
  std::vector<std::size_t> Fingers(TimePoint aNow) const;
  std::optional<std::string> NextPeer(TimePoint aNow);

  void KeepListText(const std::vector<ListedVm>& aVms, std::uint64_t aVersion);
  void ReadListOffer(const Json::Value& aMessage, const Member& aFrom);
  void AddExchange(std::vector<GossipMessage>& aMessages, TimePoint aNow);
  void AddUrgent(std::vector<GossipMessage>& aMessages, TimePoint aNow);
  Json::Value MakeMessage(MessageForm aForm, TimePoint aNow);
  void AddAges(Json::Value& aMessage, const Member& aTo, TimePoint aNow);
  std::string PickKeyedAges(TimePoint aNow);
  bool IsDigestDue();
  std::string PickAges(std::size_t aFirst, TimePoint aNow) const;
  char AgeOf(const Member& aMember, TimePoint aNow) const;
  Json::Value PickRecords();
  Json::Value PickRumors(TimePoint aNow);
  void Read(const Json::Value& aMessage, Member& aFrom, TimePoint aNow);
  void ReadSender(const Json::Value& aMessage, Member& aFrom);
  void ReadOffer(const Json::Value& aMessage, const Member& aFrom);
  void ReadAges(const Json::Value& aMessage, Member& aFrom, TimePoint aNow);
  void ReadKeyedAges(const std::string& aAges, TimePoint aNow);
  void ReadWatch(const Json::Value& aMessage, TimePoint aNow);
  void ReadRecords(const Json::Value& aRecords);
  void ReadRecord(const Json::Value& aRecord);
  void ReadRumors(const Json::Value& aRumors, TimePoint aNow);
  void ReadDigest(const std::string& aDigest);
  void TakeIncarnation(Member& aMember,
                       std::uint64_t aIncarnation,
                       std::uint64_t aBootOrder);
  void NoteLeaving(Member& aMember);

  MembershipOptions m_options;
  RandomI& m_random;
  std::vector<Member> m_members;                        ///< in order of address
  std::unordered_map<std::string, std::size_t> m_byKey; ///< unambiguous ones
  std::vector<std::size_t> m_ring;                      ///< by hash
  std::size_t m_selfInRing{ 0 };
  std::string m_listHash; ///< names the list in messages
  std::uint64_t m_listVersion{ 0 };
  std::map<std::uint64_t, std::string> m_listTexts; ///< the newest, by version
  std::optional<std::string> m_listOffer;
  std::optional<TimePoint> m_watchAt;
  std::uint64_t m_selfOrder{ 0 };
  bool m_selfLeaving{ false };

  RevisionName m_revision;
  std::string m_platformVersion;
  std::string m_digest;
  std::uint32_t m_digestSends{ 0 }; ///< left, since it changed
  std::optional<TimePoint> m_digestUrgentAt;
  bool m_digestChanged{ false };
  std::uint64_t m_messages{ 0 }; ///< made so far
  FleetAverages m_averages;
  RumorStore m_rumors;
  std::map<std::string, FleetAverages::Sample> m_sent; ///< by peer

  std::optional<TimePoint> m_nextExchange;
  std::optional<TimePoint> m_lastTick;
  std::uint64_t m_exchanges{ 0 };
  bool m_urgent{ false };
  double m_urgentTokens;

  std::vector<RevisionOffer> m_offers;
  std::vector<MembershipEvent> m_events;
  std::vector<Rumor> m_newRumors;
  std::vector<std::string> m_digests;
};

/// Rumor kinds of this version.
inline constexpr const char* kRumorLeaving = "leaving"; ///< upstream address
inline constexpr const char* kRumorSettled = "settled"; ///< service

/// Which upstreams get no new work: the platform's list, gossip and their own
/// answers, the newest of these first.
class LeavingUpstreams
{
public:
  /// The platform's list names these as leaving.
  void SetListed(const std::set<std::string>& aLeaving);
  /// An upstream's own answer, or gossip that reports one.
  /// @param aSeen  when it answered; an older answer than the known is dropped
  /// @returns whether this changed what is known, and is worth spreading
  bool OnAnswer(const std::string& aUpstream, bool aLeaving, WallTime aSeen);
  /// Forgets answers of all other upstreams than these.
  void KeepOnly(const std::set<std::string>& aUpstreams);
  bool IsLeaving(const std::string& aUpstream) const;
  std::set<std::string> All() const;

private:
  struct Answer
  {
    bool m_leaving{ false };
    WallTime m_seen;
  };
  std::set<std::string> m_listed;
  std::map<std::string, Answer> m_answers;
};

} // namespace shallotford

#endif // SHALLOTFORD_CONTROL_MEMBERSHIP_H
