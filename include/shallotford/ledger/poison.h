#ifndef SHALLOTFORD_LEDGER_POISON_H
#define SHALLOTFORD_LEDGER_POISON_H

/// Finds the requests that crash engines.
///
/// When an engine crashes, all requests in its batch become suspects. A suspect
/// runs again only while it is the only suspect at its engine, so that a second
/// crash convicts exactly one request. Convicted fingerprints are refused by
/// every VM.
///
/// A batch is spread over many VMs, so one VM coordinates the suspects of each
/// service: SuspectCoordinator() chooses it by rendezvous hash. Every VM calls
/// it (SuspectCall, PoisonTracker::Serve(), ReadSuspectReply()) before it runs
/// a suspect, when such a run has ended, and when an engine crashed. A VM
/// retries no request of a crashed batch before the reply has arrived.
///
/// The coordinator sends its digest to all VMs when it convicts a request.
///
/// Guaranteed while VMs agree about the coordinator and reach it, and gossip
/// reaches every VM within PoisonOptions::m_gossipTime: a poison request costs
/// two engines in the whole fleet, or as many as it was running at when it
/// first crashed one, and no other request is convicted. Not guaranteed: if a
/// request is convicted within m_gossipTime of its first crash, a copy of it
/// that reaches a VM earlier than the conviction costs one more engine. VMs
/// that grant runs on their own, because they cannot reach the coordinator, may
/// put two suspects on one engine, convict both, and lose further engines. An
/// engine that crashes for another reason while a suspect runs there convicts
/// the suspect.
///
/// With PoisonOptions::m_convictingCrashes, nothing is isolated, and traits are
/// convicted from evidence that all VMs share. A fingerprint then stands for
/// one trait of a request, such as a part of its prompt or the whole of it, and
/// an engine's name for one incarnation, which crashes at most once. Every VM
/// sends its reports (SuspectCall::Crash(), RunEnded() and EngineAlive()) to
/// all others. A trait with many crashes explains each of them, so that traits
/// that merely ran there are not blamed. Traits with the same crashes are
/// convicted jointly: only a request that has all of them is refused. A trait
/// of a run that ended whole is sound and is cleared.
///
/// A run that had begun to answer when its engine crashed is weaker evidence
/// (BegunTrait): many such runs are at an engine that ends for another cause.
/// It takes more of these crashes to convict, those of one moment count once,
/// and a run elsewhere that has gone on for longer refutes them. What is
/// convicted only with their help lapses for requests that merely share it,
/// since it might never be cleared; the next crash convicts it again, for
/// longer.
///
/// Not guaranteed: a trait that is in more crashes than their cause is refused
/// instead of it while no request with the trait runs to its end. Late crashes
/// at enough moments convict a request though all its engines had other causes.

#include "shallotford/base.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace shallotford {

struct PoisonOptions
{
  std::chrono::milliseconds m_suspectLifetime{ 120'000 };
  std::chrono::milliseconds m_convictLifetime{ 3'600'000 };
  /// A suspect's run whose end is not reported within this time counts as over.
  std::chrono::milliseconds m_grantLifetime{ 120'000 };
  /// Time within which gossip reaches every VM. A suspect does not run again
  /// before it has passed, so that no VM still treats it as clear when it is
  /// convicted.
  std::chrono::milliseconds m_gossipTime{ 1'500 };
  /// Time within which all VMs notice the same crash. With m_convictingCrashes,
  /// a conviction that is withdrawn within this time is in no digest, since the
  /// other VMs have the same reports.
  std::chrono::milliseconds m_crashWindow{ 2'000 };
  std::size_t m_maxEntries{ 4'096 };
  /// Crashes that convict the traits which they share. 0: suspects are isolated
  /// instead.
  std::uint32_t m_convictingCrashes{ 0 };
  /// The same for crashes whose runs had begun (BegunTrait), at least 1. Where
  /// a trait has crashes of both kinds, their shares add up.
  std::uint32_t m_convictingLateCrashes{ 5 };
  /// A whole request is crashed as it starts if its run has an age below this.
  /// Chance seldom meets that, so it counts in full.
  std::chrono::milliseconds m_runStart{ 250 };
  /// Engines that crash within this time may have one cause outside, such as
  /// their host, so under runs that had begun they count as one.
  std::chrono::milliseconds m_crashMoment{ 100 };
  /// Time after which a conviction that needs late crashes lapses for requests
  /// that merely share the trait. It doubles each time that it is found again.
  std::chrono::milliseconds m_lateConvictLifetime{ 60'000 };
  /// A run refutes crashes under younger runs with the same trait once it has
  /// gone on for this much longer.
  std::chrono::milliseconds m_minSurvival{ 1'000 };
  /// Bounds of the evidence, used with m_convictingCrashes. The oldest crash
  /// records and sound traits are forgotten first.
  std::size_t m_maxCrashes{ 256 };
  std::size_t m_maxBatch{ 512 };     ///< traits in one crash record
  std::size_t m_maxSound{ 4'096 };   ///< traits known to be sound
  std::size_t m_maxJoint{ 32 };      ///< traits in one joint conviction
  std::size_t m_maxNameBytes{ 256 }; ///< of a fingerprint or an engine's name
};

enum class PoisonStatus
{
  Clear,
  Suspect,
  Convicted,
};
std::string_view
ToString(PoisonStatus aStatus);

/// Ages of runs that had begun to answer, by trait: the time from the first
/// event to the last one.
using TraitAges = std::map<std::string, std::chrono::milliseconds, std::less<>>;

/// A trait of runs that had begun to answer when their engine crashed.
struct BegunTrait
{
  std::chrono::milliseconds m_age{}; ///< of the oldest run
  bool m_isWhole{ false };           ///< it stands for a whole request
};
using BegunTraits = std::map<std::string, BegunTrait, std::less<>>;

/// What one crash changed.
struct CrashVerdict
{
  std::vector<std::string> m_suspects{}; ///< fingerprints, new suspects
  /// At most one fingerprint. With PoisonOptions::m_convictingCrashes, any
  /// number; fingerprints that are convicted jointly are joined by '+'.
  std::vector<std::string> m_convicted{};
  /// Members of the batch that are known to be sound here. The other VMs may
  /// not know it, so that SuspectCall::RunEnded() is sent for them.
  std::vector<std::string> m_sound{};
  /// Members of the batch that a run refutes which goes on elsewhere, with its
  /// age. SuspectCall::RunGoesOn() is sent for them.
  TraitAges m_outlived{};
};

/// Parameters of a call to the coordinator.
class SuspectCall
{
public:
  /// Asks to run a suspect at an engine.
  static Json::Value Grant(std::string_view aFingerprint,
                           std::string_view aEngine);
  /// Reports that a granted run ended without a crash.
  static Json::Value RunEnded(std::string_view aFingerprint,
                              std::string_view aEngine,
                              bool aComplete);
  /// Reports that a run goes on. An earlier program takes it for a whole one.
  static Json::Value RunGoesOn(std::string_view aFingerprint,
                               std::string_view aEngine,
                               std::chrono::milliseconds aAge);
  /// Reports a crash. @param aBatch  fingerprints that this VM had there
  /// @param aBegun  those of runs that had begun; an earlier program ignores
  ///   them
  static Json::Value Crash(std::string_view aEngine,
                           const std::vector<std::string>& aBatch,
                           const BegunTraits& aBegun = {});
  /// Reports that an engine answered after its supposed crash.
  static Json::Value EngineAlive(std::string_view aEngine);
};

/// The coordinator's reply.
struct SuspectReply
{
  bool m_granted{ false }; ///< of a Grant call
  /// Status of the call's fingerprint, for a Grant call.
  PoisonStatus m_status{ PoisonStatus::Clear };
  CrashVerdict m_verdict{}; ///< of a Crash call
  std::string m_digest{};   ///< for Merge(), before anything is retried
};
/// @throws Error (InvalidRequest) if it is malformed
SuspectReply
ReadSuspectReply(const Json::Value& aReply);

/// Suspects and convicted requests known to one VM. The same class serves as
/// the coordinator's table and as every VM's view.
class PoisonTracker
{
public:
  explicit PoisonTracker(const PoisonOptions& aOptions);

  PoisonStatus StatusOf(std::string_view aFingerprint, TimePoint aNow) const;
  /// Returns whether aFingerprint may run at aEngine now: always if it is
  /// clear, never if convicted; a suspect only if no other suspect runs there
  /// and it runs nowhere else. With PoisonOptions::m_convictingCrashes, only
  /// a conviction of aFingerprint alone forbids it.
  bool MayPlace(std::string_view aFingerprint,
                std::string_view aEngine,
                TimePoint aNow) const;
  /// Returns whether aFingerprint may run at aEngine now, and records the run
  /// if it is a suspect's.
  bool Grant(std::string_view aFingerprint,
             std::string_view aEngine,
             TimePoint aNow);
  /// A suspect's run ended without a crash.
  /// @param aComplete  it ran to its end, which clears it. With
  ///   PoisonOptions::m_convictingCrashes, this holds for any trait of a run,
  ///   also for one that is in no crash record yet.
  void OnRunEnded(std::string_view aFingerprint,
                  std::string_view aEngine,
                  bool aComplete,
                  TimePoint aNow);
  /// aEngine crashed while it ran aBatch, as far as the reporting VM knows.
  /// Reports by several VMs within PoisonOptions::m_crashWindow count as one
  /// crash, unless a suspect was granted a run there in between. With
  /// PoisonOptions::m_convictingCrashes, all reports about an engine count as
  /// one crash.
  /// @param aBegun  fingerprints of runs that had begun, used with
  ///   PoisonOptions::m_convictingCrashes
  CrashVerdict OnCrash(std::string_view aEngine,
                       const std::vector<std::string>& aBatch,
                       TimePoint aNow,
                       const BegunTraits& aBegun = {});
  /// A run with this trait goes on, aAge after its first event. Used with
  /// PoisonOptions::m_convictingCrashes.
  /// @return whether the other VMs must be told
  bool OnRunGoesOn(std::string_view aFingerprint,
                   std::chrono::milliseconds aAge,
                   TimePoint aNow);
  /// aEngine answered after its supposed crash, so it was only disconnected.
  /// Withdraws what is no longer supported.
  void OnEngineAlive(std::string_view aEngine, TimePoint aNow);
  /// Returns whether aEngine has a crash record, so that its being alive must
  /// be reported.
  bool HasCrashed(std::string_view aEngine) const;
  /// Returns whether a crash record or a conviction names aFingerprint, so that
  /// the whole end of a run with it must be reported to the other VMs.
  bool IsNamed(std::string_view aFingerprint) const;
  /// Returns whether a request with these traits is refused.
  /// @param aFingerprints  the first one stands for the whole request
  bool IsConvicted(const std::vector<std::string>& aFingerprints,
                   TimePoint aNow) const;
  /// Returns for how long a request with these traits is refused, or zero.
  Duration ConvictedFor(const std::vector<std::string>& aFingerprints,
                        TimePoint aNow) const;
  /// Takes in what a call reports, without an answer to its sender.
  /// @return what is known of a crash's batch
  /// @throws Error (InvalidRequest) if it is malformed; nothing is changed
  CrashVerdict Apply(const Json::Value& aCall, TimePoint aNow);
  /// Weighs what Apply() and other calls bring from now on only in
  /// EndReports(), once for all.
  void BeginReports() { m_isCollecting = true; }
  void EndReports(TimePoint aNow);
  /// Answers another VM's call, or the coordinator's own.
  /// @param aMaxDigest  maximum size of the digest in the reply, in bytes
  /// @throws Error (InvalidRequest) if it is malformed; nothing is changed
  Json::Value Serve(const Json::Value& aCall,
                    std::size_t aMaxDigest,
                    TimePoint aNow);
  /// Convicts a fingerprint that another VM has convicted.
  void Convict(std::string_view aFingerprint, TimePoint aNow);
  void Expire(TimePoint aNow);

  /// Returns the newest entries as JSON of at most aMaxBytes bytes.
  std::string Digest(std::size_t aMaxBytes, TimePoint aNow) const;
  /// Merges another VM's digest into this table.
  /// @throws Error (InvalidRequest) if it is malformed; nothing is changed
  void Merge(std::string_view aDigest, TimePoint aNow);

  std::size_t Size() const;
  /// Returns the convicted fingerprints; joint ones are joined by '+'.
  std::vector<std::string> Convicted(TimePoint aNow) const;

private:
  struct Entry
  {
    PoisonStatus m_status{ PoisonStatus::Clear };
    std::uint64_t m_version{ 0 }; ///< grows with every change
    TimePoint m_changed{};
    TimePoint m_expiry{};
    std::string m_engine{}; ///< where the suspect runs; empty if it does not
    TimePoint m_grantExpiry{};
    TimePoint m_runFrom{};  ///< no run is granted before
    TimePoint m_toldFrom{}; ///< in no digest before
    /// When the conviction lapses for requests that merely share its traits.
    TimePoint m_lapse{ TimePoint::max() };
    std::uint32_t m_lapses{ 0 }; ///< so far
  };
  struct Crash
  {
    TimePoint m_first{};
    bool m_resolved{ false }; ///< its cause was convicted
    /// New suspects of this crash. With PoisonOptions::m_convictingCrashes, all
    /// traits of runs that had not begun there, sorted, without the sound ones.
    std::vector<std::string> m_added{};
    BegunTraits m_begun{}; ///< traits of the other runs, without the sound ones
  };
  /// Whether a trait is sound, and since when that is known.
  struct Soundness
  {
    TimePoint m_at{};
    std::chrono::milliseconds m_age{}; ///< of its oldest run, or kWhole
  };
  /// Stands for the age of a run that ended whole.
  static constexpr std::chrono::milliseconds kWhole =
    std::chrono::milliseconds::max();
  /// The crashes that support a conviction.
  struct Evidence
  {
    std::size_t m_weight{ 0 };
    bool m_needsLate{ false }; ///< those that aren't late don't suffice
  };
  using Support = std::map<std::string, Evidence>; ///< by conviction

  const Entry* Find(std::string_view aFingerprint, TimePoint aNow) const;
  Entry& Change(std::string_view aFingerprint,
                PoisonStatus aStatus,
                TimePoint aNow);
  static bool IsRunning(const Entry& aEntry, TimePoint aNow);
  Crash& CrashOf(std::string_view aEngine, TimePoint aNow);
  /// Returns the members of aBatch that were suspects before this crash.
  std::vector<std::string> FormerSuspects(
    const std::vector<std::string>& aBatch,
    const Crash& aCrash,
    TimePoint aNow) const;
  /// Convicts the request that caused a crash and clears the suspects that the
  /// crash added.
  void Resolve(Crash& aCrash, const std::string& aCause, TimePoint aNow);
  void MergeOne(const std::string& aFingerprint,
                const Entry& aRemote,
                TimePoint aNow);

  bool UsesEvidence() const { return m_options.m_convictingCrashes > 0; }
  /// Returns the age of the oldest run with a trait that is known to go on,
  /// kWhole if one has ended whole, or a negative age if none is known.
  std::chrono::milliseconds OldestRun(std::string_view aFingerprint,
                                      TimePoint aNow) const;
  bool IsSound(std::string_view aFingerprint, TimePoint aNow) const;
  void RememberSound(std::string_view aFingerprint,
                     std::chrono::milliseconds aAge,
                     TimePoint aNow);
  /// Returns whether a run of age aAge refutes a crash under one of aCrashAge.
  bool Outlives(std::chrono::milliseconds aAge,
                std::chrono::milliseconds aCrashAge) const;
  /// Returns whether a known run refutes that a trait caused a crash, and notes
  /// that in aVerdict.
  bool IsRefuted(std::string_view aFingerprint,
                 std::chrono::milliseconds aCrashAge,
                 TimePoint aNow,
                 CrashVerdict& aVerdict) const;
  CrashVerdict AddEvidence(std::string_view aEngine,
                           const std::vector<std::string>& aBatch,
                           const BegunTraits& aBegun,
                           TimePoint aNow);
  void AddTraits(Crash& aCrash,
                 const std::vector<std::string>& aBatch,
                 const BegunTraits& aBegun) const;
  void ClearTrait(std::string_view aFingerprint, TimePoint aNow);
  /// Removes a trait from the crashes that a run of age aAge refutes.
  /// @return whether there was one
  bool Refute(std::string_view aFingerprint, std::chrono::milliseconds aAge);
  /// Drops evidence that is too old or too much. Convictions outlive it.
  /// @param aRoom  number of crash records that are about to be added
  void ForgetEvidence(TimePoint aNow, std::size_t aRoom = 0);
  /// Finds the convictions that the crash records support.
  Support Assess() const;
  /// Returns the number of each crash record's moment, in the records' order.
  std::vector<std::size_t> Moments() const;
  /// Convicts what aEvidence supports.
  void ConvictBy(const Evidence& aEvidence,
                 const std::string& aKey,
                 TimePoint aNow);
  /// Convicts and withdraws after the evidence changed.
  /// @return the new convictions
  std::vector<std::string> Reassess(TimePoint aNow);
  void MergeEvidence(const std::string& aKey,
                     const Entry& aRemote,
                     TimePoint aNow);
  /// Check what a peer sent. @throws Error (InvalidRequest) if it is malformed
  void CheckName(std::string_view aName) const;
  void CheckFingerprint(std::string_view aFingerprint) const;
  void CheckKey(std::string_view aKey) const;

  /// Removes the oldest entries above PoisonOptions::m_maxEntries, clear ones
  /// first and convicted ones last.
  void EvictExcess();

  PoisonOptions m_options;
  std::map<std::string, Entry, std::less<>> m_entries; ///< by fingerprint
  std::map<std::string, Crash, std::less<>> m_crashes; ///< by engine
  Support m_support; ///< of the crash records as last assessed
  std::map<std::string, Soundness, std::less<>> m_sound; ///< by trait
  std::set<std::pair<TimePoint, std::string>> m_soundByAge;
  bool m_isCollecting{ false }; ///< between BeginReports() and EndReports()
  bool m_isUnweighed{ false };  ///< evidence came in meanwhile
};

/// Returns the VM that coordinates the suspects of aService, or "" if there is
/// none. @param aVms  peer addresses of the live VMs
std::string
SuspectCoordinator(std::string_view aService,
                   const std::vector<std::string>& aVms);

} // namespace shallotford

#endif // SHALLOTFORD_LEDGER_POISON_H
