#ifndef SHALLOTFORD_LEDGER_POISON_H
#define SHALLOTFORD_LEDGER_POISON_H

/// Finds the requests that crash engines.
///
/// A crash makes suspects of all requests in the engine's batch. A suspect
/// runs again only while it is the one suspect at its engine, so that a second
/// crash convicts exactly one. Convicted fingerprints are refused everywhere.
///
/// A batch is spread over many VMs, so one VM coordinates the suspects of each
/// service: SuspectCoordinator() names it by rendezvous hash, crashes are
/// reported to it (OnCrash) and it grants every run of a suspect (Grant). With
/// one coordinator reachable, a poison request costs at most two engines in the
/// whole fleet. While VMs disagree about the coordinator, or it is gone, only
/// what gossip has spread (Digest, Merge) holds: best effort.

#include "shallotford/base.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shallotford {

struct PoisonOptions
{
  std::chrono::milliseconds m_suspectLifetime{ 120'000 };
  std::chrono::milliseconds m_convictLifetime{ 3'600'000 };
  /// A run of a suspect is taken for dead after this time without an end.
  std::chrono::milliseconds m_grantLifetime{ 120'000 };
  /// Time in which all VMs notice the same crash.
  std::chrono::milliseconds m_crashWindow{ 2'000 };
  std::size_t m_maxEntries{ 4'096 };
};

enum class PoisonStatus
{
  Clear,
  Suspect,
  Convicted,
};
std::string_view
ToString(PoisonStatus aStatus);

/// What one crash changed.
struct CrashVerdict
{
  std::vector<std::string> m_suspects{};  ///< fingerprints, new suspects
  std::vector<std::string> m_convicted{}; ///< at most one fingerprint
};

/// Suspects and convicts known to one VM. The same class serves as the
/// coordinator's table and as every VM's view.
class PoisonTracker
{
public:
  explicit PoisonTracker(const PoisonOptions& aOptions);

  PoisonStatus StatusOf(std::string_view aFingerprint, TimePoint aNow) const;
  /// Returns whether aFingerprint may run at aEngine now: always if it is
  /// clear, never if convicted; a suspect only if no other suspect runs there
  /// and it runs nowhere else.
  bool MayPlace(std::string_view aFingerprint,
                std::string_view aEngine,
                TimePoint aNow) const;
  /// Grants a suspect's run at aEngine and notes it. True for a clear one too,
  /// of which nothing is noted.
  bool Grant(std::string_view aFingerprint,
             std::string_view aEngine,
             TimePoint aNow);
  /// A suspect's run ended without a crash.
  /// @param aComplete  it ran to its end, which clears it
  void OnRunEnded(std::string_view aFingerprint,
                  std::string_view aEngine,
                  bool aComplete,
                  TimePoint aNow);
  /// aEngine crashed with aBatch on board, as far as the reporting VM knows.
  /// Reports by several VMs within PoisonOptions::m_crashWindow are of one
  /// crash, unless a suspect was granted the engine in between.
  CrashVerdict OnCrash(std::string_view aEngine,
                       const std::vector<std::string>& aBatch,
                       TimePoint aNow);
  /// Convicts what another VM found guilty.
  void Convict(std::string_view aFingerprint, TimePoint aNow);
  void Expire(TimePoint aNow);

  /// Returns the newest entries as JSON of at most aMaxBytes bytes.
  std::string Digest(std::size_t aMaxBytes, TimePoint aNow) const;
  /// Takes in another VM's digest.
  /// @throws Error (InvalidRequest) if it is malformed; nothing is changed
  void Merge(std::string_view aDigest, TimePoint aNow);

  std::size_t Size() const;
  std::vector<std::string> Convicted(TimePoint aNow) const;

private:
  struct Entry
  {
    PoisonStatus m_status{ PoisonStatus::Clear };
    std::uint64_t m_version{ 0 }; ///< grows with every change
    TimePoint m_changed{};
    TimePoint m_expiry{};
    std::string m_engine{}; ///< where the suspect runs; empty if nowhere
    TimePoint m_grantExpiry{};
  };
  struct Crash
  {
    TimePoint m_first{};
    bool m_solved{ false };             ///< its guilty request was convicted
    std::vector<std::string> m_added{}; ///< made suspects by it
  };

  const Entry* Find(std::string_view aFingerprint, TimePoint aNow) const;
  Entry& Change(std::string_view aFingerprint,
                PoisonStatus aStatus,
                TimePoint aNow);
  static bool Runs(const Entry& aEntry, TimePoint aNow);
  Crash& CrashOf(std::string_view aEngine, TimePoint aNow);
  /// Returns the members of aBatch that are suspects already, less those that
  /// this same crash made suspects.
  std::vector<std::string> FormerSuspects(
    const std::vector<std::string>& aBatch,
    const Crash& aCrash,
    TimePoint aNow) const;
  void Solve(Crash& aCrash, const std::string& aGuilty, TimePoint aNow);
  void MergeOne(const std::string& aFingerprint, const Entry& aTheirs);
  void Bound();

  PoisonOptions m_options;
  std::map<std::string, Entry, std::less<>> m_entries; ///< by fingerprint
  std::map<std::string, Crash, std::less<>> m_crashes; ///< by engine
};

/// Returns the VM that coordinates the suspects of aService, or "" if there is
/// none. @param aVms  peer addresses of the live VMs
std::string
SuspectCoordinator(std::string_view aService,
                   const std::vector<std::string>& aVms);

} // namespace shallotford

#endif // SHALLOTFORD_LEDGER_POISON_H
