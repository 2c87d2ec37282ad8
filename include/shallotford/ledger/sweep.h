#ifndef SHALLOTFORD_LEDGER_SWEEP_H
#define SHALLOTFORD_LEDGER_SWEEP_H

/// Frees engine memory held by requests that are gone: cancels that repeat
/// until the engine confirms, and a sweeper for what its own VM cannot cancel.

#include "shallotford/base.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace shallotford {

/// One cancel call to make now.
struct CancelCall
{
  std::string m_upstream{};
  AttemptId m_stream{};
};

struct CancelOptions
{
  std::chrono::milliseconds m_firstRepeat{ 200 };
  std::chrono::milliseconds m_maxRepeat{ 2'000 };
  /// Unconfirmed cancels kept per upstream; above it the newest are left to
  /// the sweeper, to whom this VM disowns them.
  std::size_t m_maxPerUpstream{ 1'024 };
  /// A cancel that was not confirmed for so long is left to the sweeper.
  std::chrono::milliseconds m_lifetime{ 600'000 };
};

/// The cancels of this VM that no engine has confirmed yet.
class CancelQueue
{
public:
  explicit CancelQueue(const CancelOptions& aOptions);
  void Add(std::string_view aUpstream,
           const AttemptId& aStream,
           TimePoint aNow);
  /// Returns the calls that are due and schedules their repetition, twice as
  /// far off each time. @param aLimit  most calls to return
  std::vector<CancelCall> Due(TimePoint aNow, std::size_t aLimit);
  /// The engine said that it holds nothing for aStream.
  void OnConfirmed(std::string_view aUpstream, const AttemptId& aStream);
  /// The engine restarted or left the fleet: it holds nothing of before.
  void OnUpstreamReset(std::string_view aUpstream);
  std::optional<TimePoint> NextDue() const;
  std::size_t Size() const;
  std::uint64_t Dropped() const { return m_dropped; }

private:
  struct Entry
  {
    TimePoint m_added{};
    TimePoint m_due{};
    Duration m_interval{ 0 };
  };
  using Key = std::pair<std::string, AttemptId>;

  void Erase(std::map<Key, Entry>::iterator aEntry);

  CancelOptions m_options;
  std::map<Key, Entry> m_entries;
  std::set<std::pair<TimePoint, Key>> m_order;
  std::map<std::string, std::size_t, std::less<>> m_perUpstream;
  std::uint64_t m_dropped{ 0 };
};

/// One stream as an engine lists it.
struct HeldStream
{
  AttemptId m_stream{};
  bool m_attached{ false };
};

/// One VM as membership sees it.
struct SweepMember
{
  VmIncarnation m_vm{};
  Duration m_unansweredFor{ 0 }; ///< since it was last heard of
};

struct SweepOptions
{
  std::string m_engine{};
  /// Time from one Decide() to the next.
  std::chrono::milliseconds m_period{ 500 };
  /// A VM that was silent for longer is taken for gone.
  std::chrono::milliseconds m_memberTimeout{ 2'500 };
  /// Time that a caller has to resume a stream whose VM is gone.
  std::chrono::milliseconds m_resumeGrace{ 1'500 };
  std::size_t m_maxTracked{ 4'096 }; ///< streams looked at in one round
};

/// Question to one VM: which of these do you still need?
struct SweepQuestion
{
  std::string m_address{};
  std::uint64_t m_round{}; ///< repeated in the answer
  std::vector<AttemptId> m_streams{};
};

/// A VM's answer, from Ledger::Owns().
struct SweepAnswer
{
  VmIncarnation m_vm{};
  std::uint64_t m_round{};
  std::set<AttemptId> m_owned{}; ///< of those asked for
};

struct SweepPlan
{
  std::vector<AttemptId> m_cancels{};
  std::vector<SweepQuestion> m_questions{};
};

/// Decides, for one engine, which streams are held for nobody. Run by the VM
/// that owns the engine by rendezvous hash; two owners at once do no harm.
class Sweeper
{
public:
  explicit Sweeper(const SweepOptions& aOptions);
  /// Compares the engine's list with the membership view.
  /// A round that comes much later than SweepOptions::m_period trusts nobody's
  /// silence, since it was this process that slept.
  SweepPlan Decide(const std::vector<HeldStream>& aStreams,
                   const std::vector<SweepMember>& aMembers,
                   TimePoint aNow);
  /// Takes in an answer to a question of the last round; older ones are
  /// dropped. Cancels follow from the next Decide().
  void OnAnswer(const SweepAnswer& aAnswer);

private:
  enum class Owner
  {
    Live,     ///< this incarnation was heard of
    Replaced, ///< its address belongs to another incarnation
    Silent,   ///< not heard of for longer than the grace time
    Unknown,  ///< no VM of that address is known
  };
  /// A stream that nobody seems to need.
  struct Suspect
  {
    Owner m_owner{ Owner::Live };
    TimePoint m_since{};                     ///< seen with m_owner since
    std::set<std::string> m_asked{};         ///< VMs, in the last round
    std::map<std::string, bool> m_answers{}; ///< of these: is it owned?
  };

  void NoticeOwnPause(TimePoint aNow);
  Owner OwnerOf(const AttemptId& aStream,
                const std::vector<SweepMember>& aMembers,
                TimePoint aNow) const;
  bool IsGone(const HeldStream& aHeld,
              const Suspect& aSuspect,
              TimePoint aNow) const;
  std::set<std::string> WhomToAsk(
    const HeldStream& aHeld,
    const Suspect& aSuspect,
    const std::vector<SweepMember>& aMembers) const;

  SweepOptions m_options;
  std::map<AttemptId, Suspect> m_suspects;
  std::uint64_t m_round{ 0 };
  std::optional<TimePoint> m_last;
  TimePoint m_trustSilenceFrom{}; ///< before it nobody counts as silent
};

} // namespace shallotford

#endif // SHALLOTFORD_LEDGER_SWEEP_H
