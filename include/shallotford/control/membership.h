#ifndef SHALLOTFORD_CONTROL_MEMBERSHIP_H
#define SHALLOTFORD_CONTROL_MEMBERSHIP_H

/// Membership of the entry VMs: which of them are reachable, and which
/// revision, list of VMs and other state they have. VMs exchange this by gossip
/// with a fixed fan-out and messages of bounded size. All of it is soft state:
/// a wrong view costs speed only.

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

/// A small fact that is passed from VM to VM until it expires. Kinds that this
/// version doesn't know are stored and passed on too.
struct Rumor
{
  std::string m_kind;        ///< "leaving", "settled", ...
  std::string m_id;          ///< subject, unique within the kind
  std::uint64_t m_version{}; ///< the higher one wins
  std::string m_body;        ///< opaque
  TimePoint m_expiry;
};

/// A bounded set of rumors, with how often each has been sent.
class RumorStore
{
public:
  /// @returns whether aRumor was stored: not if it has expired, is too long or
  ///          not newer than the stored version, or if the store is full
  bool Add(Rumor aRumor, TimePoint aNow);
  /// Returns up to aMaxCount rumors that have not expired, those that were sent
  /// least often first.
  std::vector<Rumor> Pick(std::size_t aMaxCount, TimePoint aNow);
  const Rumor* Find(const std::string& aKind, const std::string& aId) const;
  std::vector<Rumor> OfKind(const std::string& aKind, TimePoint aNow) const;
  void Expire(TimePoint aNow);
  std::size_t Size() const { return m_entries.size(); }

private:
  struct Entry
  {
    Rumor m_rumor;
    std::uint32_t m_sendCount{ 0 };
  };
  using Key = std::pair<std::string, std::string>;
  std::map<Key, Entry> m_entries;
};

// -------------------------------------------------------------- averages

/// Estimates the mean over the fleet of values that each VM has one of, such as
/// a caller's demand or the load sent to a failure domain, by averaging with
/// one peer at a time. Each estimate drifts towards this VM's own value, which
/// corrects the errors that lost messages and removed VMs leave.
class FleetAverages
{
public:
  using Sample = std::map<std::string, double>; ///< by hashed key

  /// Sets this VM's own value.
  void SetOwn(const std::string& aKey, double aValue);
  /// Moves the estimates towards this VM's own values, and removes keys whose
  /// own value is 0 and whose estimate is negligible.
  void Leak(Duration aElapsed);
  /// Returns the estimated mean over all VMs.
  double Mean(const std::string& aKey) const;
  /// Returns the estimates to send: the largest, and a few others in turn.
  Sample Pick(std::size_t aMaxCount);
  /// Averages the estimates with a peer's. @returns this VM's estimates from
  /// before, with which the peer completes the exchange
  Sample Merge(const Sample& aTheirs);
  /// Completes an exchange that this VM began: aOurs was sent, aTheirs
  /// received.
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
  /// Mean time between two exchanges.
  Duration m_interval{ std::chrono::milliseconds{ 2'500 } };
};

/// What is known of one listed VM.
struct MemberView
{
  std::string m_address;
  std::uint64_t m_incarnation{ 0 }; ///< 0: not known yet
  std::uint64_t m_revision{ 0 };    ///< as last reported
  bool m_reachable{ false };        ///< seen recently, by this VM or a peer
  bool m_leaving{ false };          ///< as listed, or as the VM reported
};

enum class MembershipEventKind
{
  Reachable,   ///< a listed VM became reachable
  Unreachable, ///< a listed VM became unreachable
  Incarnation, ///< a new incarnation replaced the known one
  Leaving,     ///< the VM takes no new work
};
std::string_view
ToString(MembershipEventKind aKind);
struct MembershipEvent
{
  MembershipEventKind m_kind{};
  std::string m_vm;
};

/// A revision that a peer reports, if it differs from this VM's and isn't
/// older.
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

/// Gossip of one VM with its peers, and the resulting view of the fleet.
class Membership
{
public:
  Membership(MembershipOptions aOptions, RandomI& aRandom);

  // State of this VM.

  /// Sets the platform's list of entry VMs, this one included. A version that
  /// isn't newer than the stored one is ignored.
  /// @param aVersion  the platform's version of the list; 0 if the list isn't
  ///                  to be passed on to peers
  void SetListed(const std::vector<ListedVm>& aVms,
                 TimePoint aNow,
                 std::uint64_t aVersion = 0);
  std::uint64_t ListVersion() const { return m_listVersion; }
  /// Returns the result of a peer's JSON-RPC call "vm_list": this VM's list, as
  /// a difference to version aBaseVersion if that is stored here.
  /// @throws Error (NotReady) if this VM has no list to pass on
  Json::Value ListFor(std::uint64_t aBaseVersion) const;
  /// Applies the result of such a call.
  /// @returns false if its base version isn't stored here or its fingerprint
  ///          doesn't match; call again with version 0, for the whole list
  /// @throws Error (InvalidRequest) if it is malformed
  bool AcceptList(const Json::Value& aResult, TimePoint aNow);
  void SetRevision(const RevisionName& aName,
                   const std::string& aPlatformVersion);
  /// Announces that this VM takes no new work.
  void SetLeaving();
  /// Sets the quarantine digest of this VM's poison tracker, to be sent to
  /// peers.
  /// @param aDigest  at most kMaxDigestBytes; a longer one is ignored, since
  ///                 peers can't read a truncated one
  void SetDigest(const std::string& aDigest);
  FleetAverages& Averages() { return m_averages; }
  /// Records that the platform answered a watch (long poll) of this VM.
  void NoteWatchAnswer(TimePoint aNow) { m_lastWatchAnswer = aNow; }
  /// Adds a rumor, which is passed on until aLifetime has elapsed.
  void Spread(const std::string& aKind,
              const std::string& aId,
              std::uint64_t aVersion,
              const std::string& aBody,
              Duration aLifetime,
              TimePoint aNow);

  // Exchanges. Call Tick every 100 ms or so.

  /// Returns the messages that are due now.
  std::vector<GossipMessage> Tick(TimePoint aNow);
  /// Processes a peer's call and returns the result to send back.
  /// @throws Error (Unauthenticated) if the sender is not listed,
  ///         (InvalidRequest) if the message is malformed
  Json::Value OnCall(const Json::Value& aParams, TimePoint aNow);
  /// Processes the result of a message that Tick returned.
  /// @throws Error (InvalidRequest) if it is malformed
  void OnResult(const std::string& aPeer,
                const Json::Value& aResult,
                TimePoint aNow);
  /// Records that a peer didn't answer. Except at random, it is not chosen for
  /// exchanges for a while.
  void OnFailure(const std::string& aPeer, TimePoint aNow);

  // The resulting view.

  std::vector<MemberView> Members(TimePoint aNow) const;
  /// Returns listed VMs that are reachable and not leaving, this one included,
  /// in order of address.
  std::vector<std::string> Live(TimePoint aNow) const;
  std::size_t ListedCount() const { return m_members.size(); }
  /// Returns how many listed VMs are reachable, this one included.
  std::size_t ReachableCount(TimePoint aNow) const;
  bool IsListed(const std::string& aAddress) const;
  /// Returns the newest incarnation known of a listed VM, or 0.
  std::uint64_t IncarnationOf(const std::string& aAddress) const;
  const RumorStore& Rumors() const { return m_rumors; }
  /// Returns when any VM's watch was last answered, as far as known.
  std::optional<TimePoint> LastWatchAnswer() const { return m_lastWatchAnswer; }
  /// Returns the estimated sum over all reachable VMs.
  double Total(const std::string& aKey, TimePoint aNow) const;

  // Changes since the last call of the same function.

  std::vector<RevisionOffer> TakeOffers();
  /// Returns a peer whose list of VMs is newer than this VM's.
  std::optional<std::string> TakeListOffer();
  std::vector<MembershipEvent> TakeEvents(TimePoint aNow);
  std::vector<Rumor> TakeRumors();
  /// Returns peers' quarantine digests.
  std::vector<std::string> TakeDigests();

private:
  struct Member
  {
    std::string m_address;
    std::string m_key; ///< short hash that names it in messages
    bool m_listedLeaving{ false };
    bool m_reportedLeaving{ false };
    bool m_wasReachable{ false };
    std::uint64_t m_incarnation{ 0 };
    std::uint64_t m_bootOrder{ 0 };
    std::uint64_t m_revision{ 0 };
    std::optional<TimePoint> m_lastSeen;
    TimePoint m_skipUntil{};
    std::uint32_t m_sendsLeft{ 0 }; ///< of its record, after a change
    std::string m_listHash;         ///< of its list of VMs, as last reported
  };
  enum class MessageForm
  {
    Full,
    Brief, ///< urgent changes only
  };

  Member* Find(const std::string& aAddress);
  const Member* Find(const std::string& aAddress) const;
  Member& Self();
  bool IsReachable(const Member& aMember, TimePoint aNow) const;
  static void NoteSeen(Member& aMember, TimePoint aAt);
  void RebuildIndex();
  bool IsUsable(const Member& aMember, TimePoint aNow) const;
  std::vector<std::size_t> Fingers(TimePoint aNow) const;
  std::optional<std::string> NextPeer(TimePoint aNow);

  void StoreListText(const std::vector<ListedVm>& aVms, std::uint64_t aVersion);
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
  void ReadRevisionOffer(const Json::Value& aMessage, const Member& aFrom);
  void ReadAges(const Json::Value& aMessage, Member& aFrom, TimePoint aNow);
  void ReadKeyedAges(const std::string& aAges, TimePoint aNow);
  void ReadWatch(const Json::Value& aMessage, TimePoint aNow);
  void ReadRecords(const Json::Value& aRecords);
  void ReadRecord(const Json::Value& aRecord);
  void ReadRumors(const Json::Value& aRumors, TimePoint aNow);
  void ReadDigest(const std::string& aDigest);
  void UpdateIncarnation(Member& aMember,
                         std::uint64_t aIncarnation,
                         std::uint64_t aBootOrder);
  void MarkLeaving(Member& aMember);

  MembershipOptions m_options;
  RandomI& m_random;
  std::vector<Member> m_members;                        ///< in order of address
  std::unordered_map<std::string, std::size_t> m_byKey; ///< if unique
  std::vector<std::size_t> m_ring;                      ///< by address hash
  std::size_t m_selfInRing{ 0 };
  std::string m_listHash; ///< names the list in messages
  std::uint64_t m_listVersion{ 0 };
  std::map<std::uint64_t, std::string> m_listTexts; ///< newest ones
  std::optional<std::string> m_listOffer;
  std::optional<TimePoint> m_lastWatchAnswer;
  std::uint64_t m_selfBootOrder{ 0 };
  bool m_selfLeaving{ false };

  RevisionName m_revision;
  std::string m_platformVersion;
  std::string m_digest;
  std::uint32_t m_digestSends{ 0 }; ///< left after a change
  std::optional<TimePoint> m_digestUrgentAt;
  bool m_digestChanged{ false };
  std::uint64_t m_messageCount{ 0 }; ///< made so far
  FleetAverages m_averages;
  RumorStore m_rumors;
  std::map<std::string, FleetAverages::Sample> m_sentAverages; ///< by peer

  std::optional<TimePoint> m_nextExchange;
  std::optional<TimePoint> m_lastTick;
  std::uint64_t m_exchangeCount{ 0 };
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

/// Tracks which upstreams get no new work: those that the platform lists as
/// leaving, and those whose newest answer says so. Answers come from the
/// upstreams themselves or by gossip.
class LeavingUpstreams
{
public:
  /// Sets the upstreams that the platform lists as leaving.
  void SetListed(const std::set<std::string>& aLeaving);
  /// Records an upstream's own answer, or one that gossip reports.
  /// @param aAnsweredAt  when it answered; ignored if not newer than the known
  ///                     answer
  /// @returns whether the known state changed, so that peers should be told
  bool OnAnswer(const std::string& aUpstream,
                bool aLeaving,
                WallTime aAnsweredAt);
  /// Removes the answers of all upstreams but these.
  void KeepOnly(const std::set<std::string>& aUpstreams);
  bool IsLeaving(const std::string& aUpstream) const;
  std::set<std::string> All() const;

private:
  struct Answer
  {
    bool m_leaving{ false };
    WallTime m_answeredAt;
  };
  std::set<std::string> m_listed;
  std::map<std::string, Answer> m_answers;
};

} // namespace shallotford

#endif // SHALLOTFORD_CONTROL_MEMBERSHIP_H
