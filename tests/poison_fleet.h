#ifndef SHALLOTFORD_TESTS_POISON_FLEET_H
#define SHALLOTFORD_TESTS_POISON_FLEET_H

/// A simulated fleet under sound traffic and requests that crash engines.

#include "config.h"
#include "shallotford/ledger.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace shallotford {

/// What one run of PoisonFleet counted.
struct FleetFigures
{
  int m_crashes{ 0 };
  int m_poisonSent{ 0 };
  /// From 3 s after the fifth crash, or after the last one if fewer happened.
  int m_poisonSentLate{ 0 };
  /// Sound requests with the poison's first part, from 6 s after that crash.
  int m_sharedPassed{ 0 };
  int m_sharedRefused{ 0 };
  int m_soundRefused{ 0 };
  int m_refusedAtEnd{ 0 }; ///< sound requests in the last 5 s

  void Worsen(const FleetFigures& aOther)
  {
    m_crashes = std::max(m_crashes, aOther.m_crashes);
    m_poisonSent = std::max(m_poisonSent, aOther.m_poisonSent);
    m_poisonSentLate = std::max(m_poisonSentLate, aOther.m_poisonSentLate);
    m_sharedPassed = m_sharedPassed == 0
                       ? aOther.m_sharedPassed
                       : std::min(m_sharedPassed, aOther.m_sharedPassed);
    m_sharedRefused = std::max(m_sharedRefused, aOther.m_sharedRefused);
    m_soundRefused = std::max(m_soundRefused, aOther.m_soundRefused);
    m_refusedAtEnd = std::max(m_refusedAtEnd, aOther.m_refusedAtEnd);
  }
  std::string Text() const
  {
    return "crashes=" + std::to_string(m_crashes) +
           " poison_sent=" + std::to_string(m_poisonSent) +
           " poison_sent_late=" + std::to_string(m_poisonSentLate) +
           " shared_passed_min=" + std::to_string(m_sharedPassed) +
           " shared_refused=" + std::to_string(m_sharedRefused) +
           " sound_refused=" + std::to_string(m_soundRefused) +
           " refused_at_end=" + std::to_string(m_refusedAtEnd);
  }
};

/// Nine VMs, each with its own tracker, before twelve engines. Messages between
/// VMs take 1 to 20 ms, and some are lost. Connections to several engines are
/// reset now and then. If crashes are late, runs bring events before, and
/// several engines are killed together now and then.
class PoisonFleet
{
public:
  explicit PoisonFleet(std::uint64_t aSeed, bool aCrashesAreLate = false)
    : m_random(MakeSeededRandom(aSeed))
    , m_crashesAreLate(aCrashesAreLate)
    // With odd seeds, no part is known to be sound when the poison arrives.
    , m_poisonFrom(aSeed % 2 == 0 ? 5s : 0s)
    , m_engines(kEngines)
  {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      m_vms.emplace_back(PoisonOptions{ .m_convictingCrashes = 3 });
    }
  }

  FleetFigures Run()
  {
    After(0ms, [this] { SendSound(); });
    After(m_poisonFrom, [this] { SendPoison(); });
    After(Between(1'000, 3'000), [this] { ResetConnections(); });
    if (m_crashesAreLate) {
      After(Between(1'000, 3'000), [this] { KillEngines(); });
    }
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      After(Between(1, 200), [this, vm] { CheckEngines(vm); });
      After(Between(1, 500), [this, vm] { Gossip(vm); });
    }
    while (!m_events.empty() && m_events.begin()->first < m_end) {
      auto next = m_events.begin();
      m_now = next->first;
      std::function<void()> event = std::move(next->second);
      m_events.erase(next);
      event();
    }
    CountLate();
    return m_figures;
  }

private:
  using Milliseconds = std::chrono::milliseconds;

  struct Request
  {
    std::vector<std::string> m_traits{};
    bool m_poison{ false };
    bool m_shares{ false }; ///< sound, with the poison's first part
    bool m_retried{ false };
    std::size_t m_vm{ 0 };
    std::optional<TimePoint> m_firstEventAt{};
  };
  struct Engine
  {
    int m_incarnation{ 0 };
    bool m_up{ true };
    std::map<std::uint64_t, Request> m_runs{};
  };

  static constexpr std::size_t kVms = 9;
  static constexpr std::size_t kEngines = 12;
  static constexpr std::uint64_t kLostPercent = 2;
  static constexpr Milliseconds kTimeToFirstEvent{ 40 };
  static constexpr int kFirstParts = 4;
  static constexpr int kCommonParts = 40;
  static constexpr Milliseconds kLength{ 40'000 };
  static constexpr Milliseconds kTail{ 5'000 };

  void After(Duration aDelay, std::function<void()> aEvent)
  {
    m_events.emplace(m_now + aDelay, std::move(aEvent));
  }
  Milliseconds Between(std::uint64_t aFrom, std::uint64_t aTo)
  {
    return Milliseconds(aFrom + m_random->Below(aTo - aFrom + 1));
  }
  bool Chance(std::uint64_t aPercent)
  {
    return m_random->Below(100) < aPercent;
  }
  std::string NameOf(std::size_t aEngine) const
  {
    return "10.1.0." + std::to_string(aEngine) + ":7~" +
           std::to_string(m_engines[aEngine].m_incarnation);
  }
  std::string UniqueId() { return "u" + std::to_string(++m_unique); }
  void AddOtherParts(Request& aRequest)
  {
    for (std::uint64_t left = 1 + m_random->Below(3); left > 0; --left) {
      aRequest.m_traits.push_back(
        Chance(50) ? "c" + std::to_string(m_random->Below(kCommonParts))
                   : UniqueId());
    }
    aRequest.m_traits.push_back(UniqueId()); // the whole request
  }

  void SendSound()
  {
    std::uint64_t first = m_random->Below(kFirstParts);
    Request request{ .m_traits = { "f" + std::to_string(first) },
                     .m_shares = first == 0 };
    AddOtherParts(request);
    Arrive(request);
    After(Between(1, 153), [this] { SendSound(); });
  }
  void SendPoison()
  {
    Request request{ .m_traits = { Chance(50) ? "f0" : UniqueId(), "poison" },
                     .m_poison = true };
    AddOtherParts(request);
    Arrive(request);
    After(Between(1, 399), [this] { SendPoison(); });
  }
  void Arrive(Request aRequest)
  {
    aRequest.m_vm = m_random->Below(kVms);
    Place(aRequest);
  }
  void Place(const Request& aRequest)
  {
    std::vector<std::string> traits = aRequest.m_traits;
    std::swap(traits.front(), traits.back()); // the whole request goes first
    bool refused = m_vms[aRequest.m_vm].IsConvicted(traits, m_now);
    std::vector<std::size_t> up;
    for (std::size_t engine = 0; engine < kEngines; ++engine) {
      if (m_engines[engine].m_up) {
        up.push_back(engine);
      }
    }
    if (refused || !up.empty()) {
      Count(aRequest, refused);
    }
    if (!refused && !up.empty()) {
      Start(aRequest, up[m_random->Below(up.size())]);
    }
  }
  void Count(const Request& aRequest, bool aRefused)
  {
    if (aRequest.m_poison) {
      if (!aRefused) {
        ++m_figures.m_poisonSent;
        m_poisonSent.push_back(m_now);
      }
      return;
    }
    m_figures.m_soundRefused += aRefused ? 1 : 0;
    m_figures.m_refusedAtEnd += aRefused && m_now >= m_end - kTail ? 1 : 0;
    if (aRequest.m_shares) {
      (aRefused ? m_sharedRefused : m_sharedPassed).push_back(m_now);
    }
  }
  static int CountFrom(const std::vector<TimePoint>& aTimes, TimePoint aFrom)
  {
    return static_cast<int>(
      std::count_if(aTimes.begin(), aTimes.end(), [aFrom](TimePoint aTime) {
        return aTime >= aFrom;
      }));
  }
  void CountLate()
  {
    if (m_crashes.empty()) {
      return;
    }
    TimePoint fifth = m_crashes[std::min<std::size_t>(m_crashes.size(), 5) - 1];
    m_figures.m_crashes = static_cast<int>(m_crashes.size());
    m_figures.m_poisonSentLate = CountFrom(m_poisonSent, fifth + 3s);
    m_figures.m_sharedPassed = CountFrom(m_sharedPassed, fifth + 6s);
    m_figures.m_sharedRefused = CountFrom(m_sharedRefused, fifth + 6s);
  }
  void Start(const Request& aRequest, std::size_t aEngine)
  {
    std::uint64_t run = ++m_runs;
    Request& started =
      m_engines[aEngine].m_runs.emplace(run, aRequest).first->second;
    started.m_firstEventAt.reset();
    Milliseconds left =
      aRequest.m_poison ? Between(20, 300) : Between(300, 4'000);
    if (m_crashesAreLate) {
      After(kTimeToFirstEvent,
            [this, run, aEngine] { BringEvents(run, aEngine); });
      left += kTimeToFirstEvent;
    }
    After(left, [this, run, aEngine] {
      auto& runs = m_engines[aEngine].m_runs;
      auto found = runs.find(run);
      if (found == runs.end()) {
        return;
      }
      if (found->second.m_poison) {
        Crash(aEngine);
      } else {
        Request ended = found->second;
        runs.erase(found);
        Complete(ended, aEngine);
      }
    });
  }
  /// Brings the first event of a run, then notes each second that it goes on.
  void BringEvents(std::uint64_t aRun, std::size_t aEngine)
  {
    auto& runs = m_engines[aEngine].m_runs;
    auto found = runs.find(aRun);
    if (found == runs.end()) {
      return;
    }
    Request& request = found->second;
    if (!request.m_firstEventAt) {
      request.m_firstEventAt = m_now;
    }
    Milliseconds age = AgeOf(request).value_or(Milliseconds{});
    for (const std::string& trait : request.m_traits) {
      if (age > Milliseconds{} &&
          m_vms[request.m_vm].OnRunGoesOn(trait, age, m_now)) {
        TellAll(request.m_vm,
                SuspectCall::RunGoesOn(trait, NameOf(aEngine), age));
      }
    }
    After(kSurvivalPeriod,
          [this, aRun, aEngine] { BringEvents(aRun, aEngine); });
  }
  std::optional<Milliseconds> AgeOf(const Request& aRequest) const
  {
    if (!aRequest.m_firstEventAt) {
      return {};
    }
    return std::chrono::duration_cast<Milliseconds>(m_now -
                                                    *aRequest.m_firstEventAt);
  }
  void Complete(const Request& aRequest, std::size_t aEngine)
  {
    for (const std::string& trait : aRequest.m_traits) {
      bool matters = m_vms[aRequest.m_vm].IsNamed(trait);
      m_vms[aRequest.m_vm].OnRunEnded(trait, NameOf(aEngine), true, m_now);
      if (matters) {
        TellAll(aRequest.m_vm,
                SuspectCall::RunEnded(trait, NameOf(aEngine), true));
      }
    }
  }

  void Crash(std::size_t aEngine)
  {
    m_crashes.push_back(m_now);
    End(aEngine);
  }
  void KillEngines()
  {
    for (std::uint64_t left = 1 + m_random->Below(kEngines / 2); left > 0;
         --left) {
      std::size_t engine = m_random->Below(kEngines);
      if (m_engines[engine].m_up) {
        End(engine);
      }
    }
    After(Between(2'000, 6'000), [this] { KillEngines(); });
  }
  void End(std::size_t aEngine)
  {
    BreakRuns(aEngine);
    m_engines[aEngine].m_up = false;
    After(Between(2'000, 4'000), [this, aEngine] {
      ++m_engines[aEngine].m_incarnation;
      m_engines[aEngine].m_up = true;
    });
  }
  void ResetConnections()
  {
    for (std::size_t engine = 0; engine < kEngines; ++engine) {
      if (m_engines[engine].m_up && Chance(60)) {
        BreakRuns(engine);
      }
    }
    After(Between(2'000, 6'000), [this] { ResetConnections(); });
  }
  /// Every VM that has runs at an engine takes it for crashed.
  void BreakRuns(std::size_t aEngine)
  {
    std::map<std::size_t, std::vector<Request>> batches;
    for (const auto& [run, request] : m_engines[aEngine].m_runs) {
      batches[request.m_vm].push_back(request);
    }
    TimePoint brokenAt = m_now;
    m_engines[aEngine].m_runs.clear();
    for (const auto& [vm, batch] : batches) {
      After(Between(0, 20),
            [this, brokenAt, vm = vm, batch = batch, engine = NameOf(aEngine)] {
              OnBroken(vm, engine, batch, brokenAt);
            });
    }
  }
  void OnBroken(std::size_t aVm,
                const std::string& aEngine,
                const std::vector<Request>& aBatch,
                TimePoint aBrokenAt)
  {
    std::vector<std::string> traits;
    BegunTraits begun;
    for (const Request& request : aBatch) {
      AddTraits(request, aBrokenAt, traits, begun);
    }
    CrashVerdict verdict = m_vms[aVm].OnCrash(aEngine, traits, m_now, begun);
    auto isSound = [&verdict](const std::string& aTrait) {
      return verdict.m_outlived.contains(aTrait) ||
             std::find(verdict.m_sound.begin(),
                       verdict.m_sound.end(),
                       aTrait) != verdict.m_sound.end();
    };
    std::erase_if(traits, isSound);
    std::erase_if(
      begun, [&isSound](const auto& aTrait) { return isSound(aTrait.first); });
    if (!traits.empty() || !begun.empty()) {
      TellAll(aVm, SuspectCall::Crash(aEngine, traits, begun));
    }
    for (Request request : aBatch) {
      if (!request.m_retried) {
        request.m_retried = true;
        After(Between(1, 10), [this, request] { Place(request); });
      }
    }
  }

  /// The last trait is the whole request.
  static void AddTraits(const Request& aRequest,
                        TimePoint aBrokenAt,
                        std::vector<std::string>& aTraits,
                        BegunTraits& aBegun)
  {
    for (const std::string& trait : aRequest.m_traits) {
      if (!aRequest.m_firstEventAt) {
        aTraits.push_back(trait);
        continue;
      }
      auto age = std::chrono::duration_cast<Milliseconds>(
        aBrokenAt - *aRequest.m_firstEventAt);
      BegunTrait& begun = aBegun[trait];
      begun.m_age = std::max(begun.m_age, age);
      begun.m_isWhole = &trait == &aRequest.m_traits.back();
    }
  }

  void CheckEngines(std::size_t aVm)
  {
    for (std::size_t engine = 0; engine < kEngines; ++engine) {
      std::string name = NameOf(engine);
      if (m_engines[engine].m_up && m_vms[aVm].HasCrashed(name)) {
        m_vms[aVm].OnEngineAlive(name, m_now);
        TellAll(aVm, SuspectCall::EngineAlive(name));
      }
    }
    After(200ms, [this, aVm] { CheckEngines(aVm); });
  }
  void Gossip(std::size_t aVm)
  {
    std::string digest = m_vms[aVm].Digest(kDigestBytes, m_now);
    std::size_t to = m_random->Below(kVms);
    Deliver([this, to, digest] { m_vms[to].Merge(digest, m_now); });
    After(500ms, [this, aVm] { Gossip(aVm); });
  }
  void Deliver(std::function<void()> aEvent)
  {
    if (!Chance(kLostPercent)) {
      After(Between(1, 20), std::move(aEvent));
    }
  }
  void TellAll(std::size_t aFrom, const Json::Value& aCall)
  {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      if (vm != aFrom) {
        Deliver([this, vm, aCall] { Serve(vm, aCall); });
      }
    }
  }
  void Serve(std::size_t aVm, const Json::Value& aCall)
  {
    SuspectReply reply =
      ReadSuspectReply(m_vms[aVm].Serve(aCall, kDigestBytes, m_now));
    for (const std::string& trait : reply.m_verdict.m_sound) {
      TellAll(aVm,
              SuspectCall::RunEnded(trait, aCall["engine"].asString(), true));
    }
    for (const auto& [trait, age] : reply.m_verdict.m_outlived) {
      TellAll(aVm,
              SuspectCall::RunGoesOn(trait, aCall["engine"].asString(), age));
    }
  }

  static constexpr std::size_t kDigestBytes = 8'192;

  std::unique_ptr<RandomI> m_random;
  bool m_crashesAreLate;
  TimePoint m_now{ 1000s };
  TimePoint m_end{ m_now + kLength };
  Duration m_poisonFrom;
  std::vector<TimePoint> m_crashes;
  std::vector<TimePoint> m_poisonSent;
  std::vector<TimePoint> m_sharedPassed;
  std::vector<TimePoint> m_sharedRefused;
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::vector<PoisonTracker> m_vms;
  std::vector<Engine> m_engines;
  std::uint64_t m_unique{ 0 };
  std::uint64_t m_runs{ 0 };
  FleetFigures m_figures;
};

} // namespace shallotford

#endif // SHALLOTFORD_TESTS_POISON_FLEET_H
