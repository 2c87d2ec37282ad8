#ifndef SHALLOTFORD_LEDGER_SWEEP_H
#define SHALLOTFORD_LEDGER_SWEEP_H

/// Frees engine memory that is held for ended requests: a queue of cancels that
/// are repeated until the engine confirms them, and a sweeper that cancels
/// streams whose own VM cannot.

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
  /// Maximum number of unconfirmed cancels per upstream. Further ones are
  /// dropped and left to the sweeper: this VM reports to it that it does not
  /// own the stream.
  std::size_t m_maxPerUpstream{ 1'024 };
  /// A cancel that is not confirmed within this time is left to the sweeper.
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
  /// Returns the calls that are due and schedules their repetition, with an
  /// interval that doubles each time.
  /// @param aLimit  maximum number of calls to return
  std::vector<CancelCall> Due(TimePoint aNow, std::size_t aLimit);
  /// The engine said that it holds nothing for aStream.
  void OnConfirmed(std::string_view aUpstream, const AttemptId& aStream);
  /// The engine restarted or left the fleet, so it holds no earlier stream.
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
  Duration m_unansweredFor{ 0 }; ///< time since its first unanswered question
};

struct SweepOptions
{
  std::string m_engine{};
  /// Time from one Decide() to the next.
  std::chrono::milliseconds m_period{ 500 };
  /// A VM that leaves questions unanswered for longer counts as unreachable.
  std::chrono::milliseconds m_memberTimeout{ 2'500 };
  /// Time for which a caller can resume a stream whose VM was replaced. An
  /// attached stream of an unreachable VM is cancelled after this time even if
  /// some VMs have not answered, since the reader may be the lost VM itself.
  std::chrono::milliseconds m_resumeGrace{ 1'500 };
  std::size_t m_maxTracked{ 4'096 }; ///< maximum streams tracked in a round
};

/// Asks one VM which of these streams it still needs.
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

/// Decides which streams of one engine no VM needs any more. It runs on the VM
/// that owns the engine by rendezvous hash; two owners at once do no harm.
class Sweeper
{
public:
  explicit Sweeper(const SweepOptions& aOptions);
  /// Compares the engine's list with the membership view.
  /// If a round comes much later than SweepOptions::m_period, this process was
  /// paused: no VM counts as unreachable for another m_memberTimeout.
  SweepPlan Decide(const std::vector<HeldStream>& aStreams,
                   const std::vector<SweepMember>& aMembers,
                   TimePoint aNow);
  /// Records an answer to a question of the last round and ignores answers of
  /// earlier rounds. The next Decide() returns the cancels that follow.
  void OnAnswer(const SweepAnswer& aAnswer);

private:
  enum class Owner
  {
    Live,        ///< this incarnation is reachable
    Replaced,    ///< its address belongs to another incarnation
    Unreachable, ///< questions are unanswered for more than m_memberTimeout
    Unknown,     ///< no VM of that address is known
  };
  /// A stream that may be needed by no VM.
  struct Candidate
  {
    Owner m_owner{ Owner::Live };
    TimePoint m_since{};             ///< seen with m_owner since
    std::set<std::string> m_asked{}; ///< VMs asked in the last round
    /// Of these VMs: whether they own the stream.
    std::map<std::string, bool> m_answers{};
  };

  void DetectOwnPause(TimePoint aNow);
  Owner OwnerOf(const AttemptId& aStream,
                const std::vector<SweepMember>& aMembers,
                TimePoint aNow) const;
  bool IsOrphaned(const HeldStream& aHeld,
                  const Candidate& aCandidate,
                  TimePoint aNow) const;
  std::set<std::string> VmsToAsk(
    const HeldStream& aHeld,
    const Candidate& aCandidate,
    const std::vector<SweepMember>& aMembers) const;

  SweepOptions m_options;
  std::map<AttemptId, Candidate> m_candidates;
  std::uint64_t m_round{ 0 };
  std::optional<TimePoint> m_last;
  TimePoint m_timeoutsValidFrom{}; ///< before it no VM counts as unreachable
};

} // namespace shallotford

#endif // SHALLOTFORD_LEDGER_SWEEP_H
