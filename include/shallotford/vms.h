#ifndef SHALLOTFORD_VMS_H
#define SHALLOTFORD_VMS_H

/// Other VMs and what they do for this one: the list of them, those that pass
/// requests on, and the permits for upstreams that name limits. Pure: time is
/// passed in, and there are no sockets, threads or logs.

#include "shallotford/route.h"

namespace shallotford {

// ------------------------------------------------------------------ peers

/// Other VMs that this VM knows, by peer address.
class PeerList
{
public:
  /// @param aSelf   this VM's peer address
  /// @param aSeeds  initial addresses; they may be out of date
  PeerList(std::string aSelf, const std::vector<std::string>& aSeeds);

  void AddSeed(const std::string& aAddress);
  /// A peer answered this VM or called it.
  void OnContact(const std::string& aAddress, TimePoint aNow);
  /// Another VM reported that it had contact with aAddress aAge ago.
  void OnContactReported(const std::string& aAddress,
                         Duration aAge,
                         TimePoint aNow);
  /// A call to a peer failed: it isn't chosen again for a while.
  void OnUnreachable(const std::string& aAddress, TimePoint aNow);
  /// Returns a random peer to call next; empty if there is none.
  std::string Next(RandomI& aRandom, TimePoint aNow);
  /// Returns the number of VMs with a recent contact, this one included.
  std::size_t LiveCount(TimePoint aNow) const;
  /// Returns the number of VMs with a contact in the last minute, this one
  /// included.
  std::size_t KnownCount(TimePoint aNow) const;
  /// Returns the VM that a rendezvous hash of aKey chooses among this VM and
  /// the peers with a recent contact.
  std::string Owner(std::string_view aKey, TimePoint aNow) const;
  /// Sets this VM's address once its port is known.
  void SetSelf(const std::string& aSelf) { m_self = aSelf; }
  const std::string& Self() const { return m_self; }
  /// Returns the seeds and the peers with a recent contact.
  std::vector<std::string> Reachable(TimePoint aNow) const;
  /// Returns up to aCount peers in the order of a rendezvous hash of aKey, so
  /// that all VMs that know the same peers choose the same ones. Those that
  /// Reachable() returns are eligible.
  std::vector<std::string> Closest(std::string_view aKey,
                                   std::size_t aCount,
                                   TimePoint aNow) const;
  /// Returns the peers with a recent contact and the age of each contact.
  std::vector<std::pair<std::string, Duration>> ContactAges(
    TimePoint aNow) const;

private:
  struct Peer
  {
    std::optional<TimePoint> m_lastContact;
    TimePoint m_skipUntil{}; ///< not called before
    bool m_seed{ false };
  };

  /// Returns the number of VMs with a contact since aMaxAge, this one included.
  std::size_t CountContacts(Duration aMaxAge, TimePoint aNow) const;

  std::string m_self;
  std::map<std::string, Peer> m_peers;
};

// ----------------------------------------------------------------- relays

/// Tells whether this VM's own links to a set of upstreams are cut: attempts at
/// several of them were left without an answer, and none was answered since.
class LinkState
{
public:
  /// An upstream answered.
  /// @return whether the links were cut until now
  bool OnAnswer(TimePoint aNow);
  /// An attempt at an upstream ended, or goes on, without an answer.
  /// @param aUpstreams  known ones of the set that requests try
  /// @return whether the links are cut from now on
  bool OnNoAnswer(const UpstreamKey& aUpstream,
                  std::size_t aUpstreams,
                  TimePoint aNow);
  bool IsCut(TimePoint aNow) const { return aNow < m_cutUntil; }
  /// This process paused, so that attempts ended for want of its own time.
  void Forget() { *this = {}; }
  /// Returns whether a request may try an upstream while the links are cut, and
  /// counts it.
  bool TakeTrial(TimePoint aNow);

private:
  std::map<UpstreamKey, TimePoint> m_unanswered; ///< time of the last attempt
  TimePoint m_cutUntil{};
  TimePoint m_nextTrial{};
};

/// What a VM offers to others: it passes their requests on to upstreams.
struct RelayOffer
{
  std::string m_vm;      ///< its peer address
  std::string m_address; ///< "IP:PORT" that takes the requests
  std::string m_failureDomain;
  std::set<std::string> m_services; ///< of which upstreams answered it lately
};

/// The VMs that pass requests on for others.
class RelayTable
{
public:
  explicit RelayTable(Location aLocation)
    : m_location(std::move(aLocation))
  {
  }
  void Put(const RelayOffer& aOffer, TimePoint aNow);
  /// The VM offers nothing any more.
  void Remove(const std::string& aVm) { m_relays.erase(aVm); }
  /// Chooses a VM by distance and by the requests that this VM has there.
  /// @param aRequest      of it, the service, the excluded VMs and the salt
  /// @param aAnyService   also VMs that haven't said that they reach the
  ///                      service, if no other is left
  /// @return nullptr if there is none
  UpstreamPtr Pick(const PickRequest& aRequest,
                   bool aAnyService,
                   TimePoint aNow) const;
  bool IsEmpty() const { return m_relays.empty(); }
  void Expire(TimePoint aNow);

private:
  struct Relay
  {
    UpstreamPtr m_upstream;
    std::set<std::string> m_services;
    TimePoint m_offeredAt{};
  };

  Location m_location;
  std::map<std::string, Relay> m_relays; ///< by peer address
};

// ---------------------------------------------------- limits of upstreams

/// What an upstream said of the rate of requests that it takes.
struct NamedLimit
{
  double m_perSecond{ 0 }; ///< from all VMs together; 0: no limit
  TimePoint m_at{};        ///< when it held; a later one replaces it
};

/// The limits that upstreams named, to this VM or to another one.
class LimitTable
{
public:
  /// An answer named a limit. @param aPerSecond  at least 0
  void OnNamed(const UpstreamKey& aUpstream, double aPerSecond, TimePoint aNow);
  /// An answer to a request sent at aSentAt named no limit.
  void OnNoneNamed(const UpstreamKey& aUpstream, TimePoint aSentAt);
  /// Another VM reported a limit, or its end.
  void Merge(const UpstreamKey& aUpstream, const NamedLimit& aLimit);
  /// Returns the limit in force, in requests a second.
  std::optional<double> Find(const UpstreamKey& aUpstream) const;
  /// Returns what is known of the upstream's limit, also that it ended.
  std::optional<NamedLimit> Get(const UpstreamKey& aUpstream) const;
  /// Returns all limits and recent ends of limits, at most aMost, newest first.
  std::vector<std::pair<UpstreamKey, NamedLimit>> Newest(
    std::size_t aMost) const;
  void Expire(TimePoint aNow);

private:
  std::map<UpstreamKey, NamedLimit> m_limits;
};

/// A VM's call for permits to send requests to an upstream.
struct PermitAsk
{
  std::string m_vm;
  std::uint32_t m_wanted{ 0 }; ///< requests that wait
  /// Sends of one request: its permits are granted together or not at all.
  std::uint32_t m_sends{ 1 };
  std::uint32_t m_debt{ 0 }; ///< sends that went without a permit
};

struct PermitReply
{
  std::uint32_t m_granted{ 0 }; ///< requests that may be sent
  /// Time for which the VM doesn't ask again, if fewer are granted than wait.
  std::chrono::milliseconds m_pause{ 0 };
  /// Time after which a caller is likely to get a permit at that VM.
  std::chrono::milliseconds m_retryAfter{ 0 };
};

/// Issues the permits of the upstreams that this VM owns: one token bucket for
/// each, which all VMs draw on. Permits are used at once or lost.
class PermitIssuer
{
public:
  /// @param aStart  of this process; its predecessor, or another VM, may have
  ///                issued permits until then
  explicit PermitIssuer(TimePoint aStart) { Reset(aStart); }
  /// Forgets all buckets, after a start or a pause of this process. Another VM
  /// may have issued permits meanwhile, so none are issued for a while.
  void Reset(TimePoint aNow);
  /// @param aPerSecond  rate at which permits become available
  PermitReply Issue(const UpstreamKey& aUpstream,
                    double aPerSecond,
                    const PermitAsk& aAsk,
                    TimePoint aNow);
  void Expire(TimePoint aNow);

private:
  struct Bucket
  {
    double m_level{ 0 };
    TimePoint m_filledAt{};
    /// VMs that got fewer permits than they wanted, with the time of that.
    std::map<std::string, TimePoint> m_waiting;
  };

  TimePoint m_issuesFrom{};
  std::map<UpstreamKey, Bucket> m_buckets;
};

/// When this VM may ask for permits again, by upstream.
class PermitPauses
{
public:
  /// The owner answered. @param aWanted  requests that waited
  void OnReply(const UpstreamKey& aUpstream,
               const PermitReply& aReply,
               std::uint32_t aWanted,
               TimePoint aNow);
  /// The owner didn't answer. The pause doubles with each time in a row.
  void OnNoReply(const UpstreamKey& aUpstream, TimePoint aNow);
  bool MayAsk(const UpstreamKey& aUpstream, TimePoint aNow) const;
  /// Returns how long a caller should wait, or zero if this VM may ask now.
  std::chrono::milliseconds RetryAfter(const UpstreamKey& aUpstream,
                                       TimePoint aNow) const;
  void Expire(TimePoint aNow);

private:
  struct Pause
  {
    TimePoint m_until{};
    TimePoint m_retryAt{};
    std::uint32_t m_failures{ 0 }; ///< calls without an answer, in a row
  };
  std::map<UpstreamKey, Pause> m_pauses;
};

} // namespace shallotford

#endif // SHALLOTFORD_VMS_H
