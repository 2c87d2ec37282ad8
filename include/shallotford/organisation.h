#ifndef SHALLOTFORD_ORGANISATION_H
#define SHALLOTFORD_ORGANISATION_H

/// Organisations that callers belong to: their keys, priorities and limits.
/// Pure: time is passed in, and there are no sockets, threads or logs.

#include "shallotford/base.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shallotford {

/// The limit of one organisation over all VMs, as a token bucket.
struct RateLimit
{
  double m_perSecond{ 0 }; ///< in units; 0: no limit
  double m_burst{ 0 };     ///< units that may be saved up
  /// A unit is a token of a request's prompt or output, else a request.
  bool m_countsTokens{ false };
  double m_plainTokens{ 0 }; ///< of a request that names no tokens

  bool operator==(const RateLimit&) const = default;
};

/// An organisation as operators publish it.
struct Organisation
{
  std::string m_name;
  std::vector<std::string> m_keys; ///< each allows its requests
  /// Takes precedence over a route's priority; 0 is the most urgent.
  std::optional<std::int32_t> m_priority;
  RateLimit m_limit;
};

// ------------------------------------------------------------------ keys

/// Finds the organisation of a key by the key's digest, so that the time of a
/// look-up tells nothing of a key.
class OrganisationTable
{
public:
  OrganisationTable() = default;
  /// @param aOrganisations  must outlive this
  explicit OrganisationTable(const std::vector<Organisation>& aOrganisations);

  /// @return nullptr if no organisation has aKey
  const Organisation* FindByKey(std::string_view aKey) const;
  /// @return nullptr if there is none of that name
  const Organisation* FindByName(std::string_view aName) const;
  bool IsEmpty() const { return m_byName.empty(); }
  std::size_t Organisations() const { return m_byName.size(); }
  std::size_t Keys() const { return m_byDigest.size(); }
  /// Returns whether the names and the keys of both are the same.
  bool HasSameKeys(const OrganisationTable& aOther) const;

private:
  using Digest = std::array<unsigned char, 32>; ///< SHA-256

  static Digest DigestOf(std::string_view aKey);

  std::map<Digest, const Organisation*> m_byDigest;
  std::map<std::string, const Organisation*, std::less<>> m_byName;
};

// ----------------------------------------------------------------- proof

/// Counts the time in which the machine is suspended, which the steady clock
/// leaves out.
struct BootClock
{
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<BootClock>;
};
/// Time since the machine's boot.
using BootTime = BootClock::time_point;

/// Knows the latest time up to which the configuration in force is proven to be
/// the newest one: all changes that were acknowledged before it are in force.
class ConfigProof
{
public:
  /// @param aRevoke  time after its acknowledgement at which a withdrawn key
  ///                 must not work at any VM; nothing if that isn't asked for
  /// @param aChangesWithin  time after its acknowledgement at which a change
  ///                        must be in force
  ConfigProof(std::optional<Duration> aRevoke, Duration aChangesWithin);

  /// The source has told all changes before a call to it.
  void OnSource(BootTime aCallBegan);
  /// The reply of a peer has brought this VM up to the peer's position.
  /// @param aCallBegan  begin of the call that it answers
  /// @param aPeerAge    age of the peer's own proof at its reply
  void OnPeer(BootTime aCallBegan, Duration aPeerAge);
  /// The source came back from an older copy, so it may have lost a
  /// configuration that peers have.
  void OnNewEra(BootTime aNow);

  /// @return nothing without a proof
  std::optional<Duration> Age(BootTime aNow) const;
  /// Returns whether requests with keys may be served.
  bool MayServe(BootTime aNow) const;
  /// Returns whether a key that the configuration doesn't have is surely no
  /// newer one.
  bool KnowsAllKeys(BootTime aNow) const;
  /// Returns whether further peers should be asked for a proof.
  bool WantsPeers(BootTime aNow) const;

private:
  void Advance(BootTime aProven);

  std::optional<Duration> m_revoke;
  Duration m_changesWithin;
  std::optional<BootTime> m_proven;
  BootTime m_heldUntil{};   ///< no request with a key is served before
  BootTime m_settledFrom{}; ///< peers are asked before
};

// ----------------------------------------------------------------- limits

/// Returns what a request takes from its organisation's limit, in its units.
/// @param aPromptTokens  0 in a request that names none
double
CostOf(const RateLimit& aLimit,
       std::uint32_t aPromptTokens,
       std::uint32_t aOutputTokens);

/// What a VM asks of the owner of a limit.
struct LimitAsk
{
  std::string m_vm;
  std::vector<double> m_needed; ///< costs of the requests that wait, in order
  double m_ahead{ 0 };          ///< units for requests that are expected soon
  double m_returned{ 0 };       ///< unused units of earlier leases
  double m_refused{ 0 };        ///< units refused since the last ask
  /// The VM's recent demand; 0 if it gives its share back.
  double m_perSecond{ 0 };
};

struct LimitReply
{
  double m_granted{ 0 };
  std::chrono::milliseconds m_lease{ 0 }; ///< time in which they may be used
  /// Part of the limit that the VM may use while the owner doesn't answer.
  double m_share{ 0 };
  /// Time until the bucket has the next units, if too few were granted.
  std::chrono::milliseconds m_pause{ 0 };
  std::chrono::milliseconds m_retryAfter{ 0 }; ///< for callers, after others
};

/// What a VM knows of the others.
struct FleetView
{
  std::size_t m_live{ 1 };  ///< VMs in touch, this one included
  std::size_t m_known{ 1 }; ///< VMs that may serve requests, at least m_live
};

/// Counts the VMs that may serve requests. One that is cut off can't tell
/// whether the others have gone, so it remembers for kGrantKnownTime.
class KnownVms
{
public:
  /// @return the most that were counted lately
  std::size_t Note(std::size_t aKnown, TimePoint aNow);

private:
  std::size_t m_most{ 0 };
  std::size_t m_mostBefore{ 0 }; ///< in the half before
  TimePoint m_halfBegan{};
};

/// The owner's side: one token bucket for each organisation, from which VMs get
/// leases.
class LimitIssuer
{
public:
  /// After a start other VMs may still take another one for the owner.
  /// @param aIssuesFrom  no units are issued before
  explicit LimitIssuer(TimePoint aIssuesFrom = {})
    : m_issuesFrom(aIssuesFrom)
  {
  }
  /// @return nothing if none are issued yet: the VM uses its own share
  std::optional<LimitReply> Issue(const std::string& aOrganisation,
                                  const RateLimit& aLimit,
                                  const LimitAsk& aAsk,
                                  const FleetView& aFleet,
                                  TimePoint aNow);
  /// Forgets all buckets after a pause, as another VM may have been the owner.
  void Reset(TimePoint aIssuesFrom)
  {
    m_buckets.clear();
    m_issuesFrom = aIssuesFrom;
  }
  /// Called each second or so: a bucket may hold less while VMs are out of
  /// touch, and is forgotten if it isn't asked for in kGrantBucketLifetime.
  void Expire(const FleetView& aFleet, TimePoint aNow);
  std::size_t Size() const { return m_buckets.size(); }

private:
  /// What the owner knows of a VM that asks.
  struct Vm
  {
    TimePoint m_heardAt{};
    Duration m_interval{}; ///< mean time between asks
    double m_perSecond{ 0 };
    double m_share{ 0 }; ///< as told
    // Units that it may still return: granted in the present period of
    // kGrantReturnTime, and in the one before.
    double m_leased{ 0 };
    double m_leasedBefore{ 0 };
    TimePoint m_periodBegan{};
  };
  struct Bucket
  {
    RateLimit m_limit;
    TimePoint m_askedAt{};
    TimePoint m_filledAt{};
    double m_level{ 0 };
    double m_saved{ 0 }; ///< level that a refused request waits for
    TimePoint m_savesUntil{};
    double m_backlog{ 0 }; ///< units refused whose callers come back
    std::map<std::string, Vm> m_vms;
  };

  void Refill(Bucket& aBucket,
              const RateLimit& aLimit,
              const FleetView& aFleet,
              TimePoint aNow);
  /// Returns the part of the limit that VMs use on their own which don't reach
  /// this one any more.
  static double LostShare(const Bucket& aBucket, TimePoint aNow);
  /// Returns the part of the limit that this part of a partition may use.
  static double PartShare(const FleetView& aFleet);
  /// Takes what a VM returns from what it was granted lately.
  /// @return the units that were really this bucket's
  static double TakeReturned(Vm& aVm, double aUnits, TimePoint aNow);
  static double ShareOf(const Bucket& aBucket, const Vm& aVm, TimePoint aNow);
  void Grant(Bucket& aBucket, const LimitAsk& aAsk, LimitReply& aReply) const;
  /// @return whether the request of this cost gets its units
  static bool TakeCost(Bucket& aBucket, double aCost);
  /// Lets the bucket fill until a refused request of aCost fits.
  static void SaveFor(Bucket& aBucket, double aCost);

  TimePoint m_issuesFrom;
  std::map<std::string, Bucket> m_buckets;
};

/// The side of a VM that serves requests, for one organisation.
class LimitLease
{
public:
  enum class Verdict
  {
    Granted,
    Refused,
    Ask, ///< the owner has to be asked
  };

  /// @param aSalt  differs between VMs and organisations
  explicit LimitLease(std::uint64_t aSalt)
    : m_salt(aSalt)
  {
  }

  /// Counts a request's cost as demand. Called once for each request.
  void OnDemand(double aCost, TimePoint aNow);
  /// Takes a request's cost from the lease, or from this VM's share of the
  /// limit if the owner doesn't answer.
  Verdict Take(double aCost,
               const RateLimit& aLimit,
               const FleetView& aFleet,
               TimePoint aNow);
  /// Counts a request that is refused.
  void OnRefused(double aCost) { m_refused += aCost; }
  /// A request whose cost was taken has not run.
  void GiveBack(double aCost, TimePoint aNow);
  /// Returns whether to ask the owner though no request waits: the lease runs
  /// short, or has ended with a rest.
  bool WantsToAsk(TimePoint aNow) const;
  /// Returns the next ask, and takes what it reports from this lease.
  LimitAsk MakeAsk(std::vector<double> aNeeded, TimePoint aNow);
  /// @param aNeeded  as asked
  /// @param aSentAt  when the owner was asked
  /// @return which of the requests that waited have got their units
  std::vector<bool> OnReply(const LimitReply& aReply,
                            const std::vector<double>& aNeeded,
                            TimePoint aSentAt,
                            TimePoint aNow);
  /// The owner gave no reply.
  void OnNoReply(TimePoint aNow);
  /// This process was paused: the lease may have ended meanwhile.
  void OnPause();

  /// Returns when a refused request should come back.
  std::chrono::milliseconds RetryAfter(TimePoint aNow) const;
  /// Returns whether this VM uses its own share, as the owner doesn't answer.
  bool IsAlone(TimePoint aNow) const { return aNow < m_aloneUntil; }
  /// Returns the share that the owner told last; 0 once it has lapsed.
  double Share(TimePoint aNow) const;
  /// Returns when the owner's last reply came.
  std::optional<TimePoint> RepliedAt() const { return m_repliedAt; }

private:
  bool TakeAlone(double aCost,
                 const RateLimit& aLimit,
                 const FleetView& aFleet,
                 TimePoint aNow);
  /// Returns what is left of a demand that fades with a time constant.
  double Faded(double aDemand, Duration aTime, TimePoint aNow) const;
  double Ahead(TimePoint aNow) const;
  bool HasLease(TimePoint aNow) const { return aNow < m_endsAt; }
  bool IsQuiet(TimePoint aNow) const;

  std::uint64_t m_salt;
  // The lease.
  double m_units{ 0 };
  TimePoint m_endsAt{};
  double m_refused{ 0 };
  double m_demanded{ 0 };     ///< fades with kGrantDemandTime
  double m_slowDemanded{ 0 }; ///< fades with kGrantShareDemandTime
  double m_meanCost{ 0 };
  TimePoint m_demandAt{};
  TimePoint m_askedAt{};
  // The owner's word.
  std::optional<TimePoint> m_repliedAt;
  double m_share{ 0 };
  TimePoint m_shareUntil{};
  double m_refusedCost{ 0 }; ///< smallest that the owner refused
  TimePoint m_refusedUntil{};
  TimePoint m_retryAt{};
  // Without the owner.
  TimePoint m_aloneUntil{};
  std::uint32_t m_failures{ 0 };
  bool m_aloneBegun{ false };
  double m_aloneLevel{ 0 };
  TimePoint m_aloneAt{};
};

} // namespace shallotford

#endif // SHALLOTFORD_ORGANISATION_H
