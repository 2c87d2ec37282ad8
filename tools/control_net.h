#ifndef SHALLOTFORD_TOOLS_CONTROL_NET_H
#define SHALLOTFORD_TOOLS_CONTROL_NET_H

/// Many VMs' control decisions in one process, over an in-memory network in
/// virtual time. Messages pass through their JSON text, and their bytes are
/// counted. Used by tests and by the control bench.

#include "shallotford/control.h"

#include <functional>
#include <memory>
#include <queue>

namespace shallotford::standin {

/// Bytes that HTTP adds to a JSON-RPC call or answer on a kept connection.
constexpr std::size_t kHttpOverheadBytes = 160;
/// JSON-RPC's own members around params or result.
constexpr std::size_t kRpcOverheadBytes = 60;

/// The platform as one VM sees it: it may be down or stale for that VM.
struct PlatformView
{
  bool m_up{ true };
  std::uint64_t m_fleetVersion{ 0 };
  std::string m_fleetText;
  std::uint64_t m_listVersion{ 0 };
  std::vector<ListedVm> m_list;
  std::size_t m_listBytes{ 0 }; ///< of the whole answer, upstreams included
};

/// One VM's control task.
struct ControlVm
{
  std::string m_address;
  std::uint64_t m_incarnation{ 0 };
  bool m_up{ true };
  bool m_paused{ false };
  std::unique_ptr<RandomI> m_random;
  RevisionStore m_keeper;
  ReadinessGate m_gate;
  OrderGuard m_guard;
  LeavingUpstreams m_leaving;
  WatchDuty m_duty;
  std::unique_ptr<Membership> m_membership;
  std::unique_ptr<PlatformSchedule> m_fleetCalls;
  std::unique_ptr<PlatformSchedule> m_listCalls;
  PlatformView m_platform;
  std::uint64_t m_seenFleetVersion{ 0 };
  std::uint64_t m_seenListVersion{ 0 };
  bool m_fetching{ false };
  bool m_fetchingList{ false };
  std::uint64_t m_bytesOut{ 0 };
  std::uint64_t m_bytesIn{ 0 };
  std::uint64_t m_platformCalls{ 0 };
  std::uint64_t m_highestRevision{ 0 };
  bool m_reverted{ false }; ///< a revision gave way to a lower one
  std::optional<TimePoint> m_inForceAt;
};

class ControlNet
{
public:
  /// @param aSeed    of every random choice
  /// @param aLatency one way between any two VMs
  explicit ControlNet(std::uint64_t aSeed,
                      Duration aLatency = std::chrono::milliseconds{ 5 })
    : m_seed(aSeed)
    , m_latency(aLatency)
  {
  }

  TimePoint Now() const { return m_now; }
  std::vector<std::unique_ptr<ControlVm>>& Vms() { return m_vms; }
  ControlVm& Vm(std::size_t aIndex) { return *m_vms.at(aIndex); }
  /// Which messages arrive; all by default.
  std::function<bool(const ControlVm&, const ControlVm&)> m_reaches =
    [](const ControlVm&, const ControlVm&) { return true; };

  /// Adds a VM that boots now. Its platform view is to be set by the caller.
  ControlVm& AddVm(const std::string& aAddress)
  {
    m_vms.push_back(std::make_unique<ControlVm>());
    m_byAddress[aAddress] = m_vms.size() - 1;
    ControlVm& vm = *m_vms.back();
    vm.m_address = aAddress;
    Boot(vm);
    StartTicks(m_vms.size() - 1);
    return vm;
  }

  /// Replaces the process of a VM: all that it knew is gone.
  void Boot(ControlVm& aVm)
  {
    ControlVm fresh;
    fresh.m_address = aVm.m_address;
    fresh.m_platform = aVm.m_platform;
    fresh.m_bytesIn = aVm.m_bytesIn;
    fresh.m_bytesOut = aVm.m_bytesOut;
    fresh.m_platformCalls = aVm.m_platformCalls;
    fresh.m_random = MakeSeededRandom(m_seed + ++m_boots * 7919);
    fresh.m_incarnation = fresh.m_random->Next() | 1;
    auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
      m_now.time_since_epoch());
    fresh.m_membership = std::make_unique<Membership>(
      MembershipOptions{ .m_self = { aVm.m_address, fresh.m_incarnation },
                         .m_bootOrder =
                           static_cast<std::uint64_t>(seconds.count()) },
      *fresh.m_random);
    fresh.m_fleetCalls = std::make_unique<PlatformSchedule>(
      PlatformSchedule::Options{ .m_pollEvery = std::chrono::seconds{ 120 } },
      *fresh.m_random);
    fresh.m_listCalls = std::make_unique<PlatformSchedule>(
      PlatformSchedule::Options{ .m_pollEvery = std::chrono::seconds{ 120 } },
      *fresh.m_random);
    aVm = std::move(fresh);
  }

  /// Shows a text to every VM's view of the platform, or to some.
  void Publish(
    const std::string& aText,
    const std::function<bool(const ControlVm&)>& aTo = [](const ControlVm&) {
      return true;
    })
  {
    ++m_fleetVersion;
    for (auto& vm : m_vms) {
      if (aTo(*vm)) {
        vm->m_platform.m_fleetText = aText;
        vm->m_platform.m_fleetVersion = m_fleetVersion;
      }
    }
  }

  /// Lists all VMs at every VM's view of the platform.
  void ListAll(std::size_t aUpstreamBytes = 0)
  {
    std::vector<ListedVm> list;
    for (auto& vm : m_vms) {
      list.push_back({ vm->m_address, false });
    }
    SetList(list, aUpstreamBytes);
  }
  void SetList(
    const std::vector<ListedVm>& aList,
    std::size_t aUpstreamBytes = 0,
    const std::function<bool(const ControlVm&)>& aTo = [](const ControlVm&) {
      return true;
    })
  {
    ++m_listVersion;
    for (auto& vm : m_vms) {
      if (!aTo(*vm)) {
        continue;
      }
      vm->m_platform.m_list = aList;
      vm->m_platform.m_listVersion = m_listVersion;
      vm->m_platform.m_listBytes =
        aList.size() * kListEntryBytes + aUpstreamBytes;
    }
  }

  void RunFor(Duration aTime)
  {
    TimePoint end = m_now + aTime;
    while (!m_events.empty() && m_events.top().m_at <= end) {
      Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      event.m_run();
    }
    m_now = end;
  }

  /// Runs until aDone, at most aMost. @returns the time it took, or nothing
  std::optional<Duration> RunUntil(const std::function<bool()>& aDone,
                                   Duration aMost)
  {
    TimePoint start = m_now;
    while (!aDone()) {
      if (m_now - start >= aMost) {
        return std::nullopt;
      }
      RunFor(kTick);
    }
    return m_now - start;
  }

  bool AllAt(std::uint64_t aRevision) const
  {
    for (const auto& vm : m_vms) {
      if (vm->m_up && !vm->m_paused &&
          vm->m_keeper.CurrentName().m_revision != aRevision) {
        return false;
      }
    }
    return true;
  }

private:
  static constexpr std::size_t kListEntryBytes = 62;
  static constexpr std::chrono::milliseconds kTick{ 100 };
  static constexpr std::chrono::milliseconds kTimeout{ 1'000 };
  static constexpr std::chrono::milliseconds kPlatformLatency{ 50 };

  struct Event
  {
    TimePoint m_at;
    std::uint64_t m_order;
    std::function<void()> m_run;
    bool operator<(const Event& aOther) const
    {
      return std::pair(m_at, m_order) > std::pair(aOther.m_at, aOther.m_order);
    }
  };

  void At(TimePoint aTime, std::function<void()> aRun)
  {
    m_events.push({ aTime, ++m_order, std::move(aRun) });
  }

  void StartTicks(std::size_t aIndex)
  {
    auto offset = std::chrono::milliseconds{ (aIndex * 37) % kTick.count() };
    At(m_now + offset, [this, aIndex] { TickOf(aIndex); });
  }

  static bool Runs(const ControlVm& aVm) { return aVm.m_up && !aVm.m_paused; }

  void TickOf(std::size_t aIndex)
  {
    At(m_now + kTick, [this, aIndex] { TickOf(aIndex); });
    ControlVm& vm = Vm(aIndex);
    if (!Runs(vm)) {
      return;
    }
    vm.m_guard.Heartbeat(m_now);
    CallPlatform(vm);
    for (GossipMessage& message : vm.m_membership->Tick(m_now)) {
      SendGossip(vm, message);
    }
    TakeNews(vm);
  }

  // -------------------------------------------------------------- platform

  WallTime Wall() const
  {
    return WallTime{ std::chrono::duration_cast<WallTime::duration>(
      m_now.time_since_epoch()) };
  }

  void CallPlatform(ControlVm& aVm)
  {
    bool watches = aVm.m_duty.Watches(aVm.m_address,
                                      aVm.m_membership->Live(m_now),
                                      aVm.m_membership->LastWatchAnswer(),
                                      m_now,
                                      Wall());
    if (auto wait = aVm.m_fleetCalls->Due(m_now, watches)) {
      ++aVm.m_platformCalls;
      Poll(aVm, true, watches, m_now + *wait);
    }
    if (auto wait = aVm.m_listCalls->Due(m_now, watches)) {
      ++aVm.m_platformCalls;
      Poll(aVm, false, watches, m_now + *wait);
    }
  }

  /// One look of a waiting call; looks again until its wait time is over.
  void Poll(ControlVm& aVm, bool aFleet, bool aWatch, TimePoint aUntil)
  {
    std::uint64_t incarnation = aVm.m_incarnation;
    At(m_now + kPlatformLatency, [=, this, &aVm] {
      if (aVm.m_incarnation != incarnation || !Runs(aVm)) {
        return;
      }
      bool news = aFleet
                    ? aVm.m_platform.m_fleetVersion != KnownFleetVersion(aVm)
                    : aVm.m_platform.m_listVersion != KnownListVersion(aVm);
      if (aVm.m_platform.m_up && !news && m_now < aUntil) {
        Poll(aVm, aFleet, aWatch, aUntil);
        return;
      }
      if (aVm.m_platform.m_up && aWatch) {
        aVm.m_membership->NoteWatchAnswer(m_now);
      }
      AnswerPlatform(aVm, aFleet, news);
    });
  }

  static std::uint64_t KnownFleetVersion(const ControlVm& aVm)
  {
    const std::string& known = aVm.m_keeper.PlatformVersion();
    return std::max<std::uint64_t>(aVm.m_seenFleetVersion,
                                   known.empty() ? 0 : std::stoull(known));
  }

  static std::uint64_t KnownListVersion(const ControlVm& aVm)
  {
    return std::max(aVm.m_seenListVersion, aVm.m_membership->ListVersion());
  }

  void AnswerPlatform(ControlVm& aVm, bool aFleet, bool aNews)
  {
    auto& calls = aFleet ? *aVm.m_fleetCalls : *aVm.m_listCalls;
    aVm.m_bytesOut += kHttpOverheadBytes;
    if (!aVm.m_platform.m_up) {
      calls.OnAnswer(PlatformAnswer::Failure, m_now);
      return;
    }
    aVm.m_bytesIn += kHttpOverheadBytes;
    std::uint64_t& seen =
      aFleet ? aVm.m_seenFleetVersion : aVm.m_seenListVersion;
    aVm.m_gate.OnPlatformAnswer(m_now, aNews && seen != 0);
    calls.OnAnswer(aNews ? PlatformAnswer::Changed : PlatformAnswer::Unchanged,
                   m_now);
    if (!aNews) {
      return;
    }
    if (aFleet) {
      seen = aVm.m_platform.m_fleetVersion;
      aVm.m_bytesIn += aVm.m_platform.m_fleetText.size();
      aVm.m_keeper.Accept(
        aVm.m_platform.m_fleetText, "platform", std::to_string(seen));
      NoteRevision(aVm);
      return;
    }
    seen = aVm.m_platform.m_listVersion;
    aVm.m_bytesIn += aVm.m_platform.m_listBytes;
    aVm.m_membership->SetListed(aVm.m_platform.m_list, m_now, seen);
    ListToGate(aVm);
  }

  void ListToGate(ControlVm& aVm)
  {
    std::vector<std::string> others;
    for (const MemberView& member : aVm.m_membership->Members(m_now)) {
      if (member.m_address != aVm.m_address) {
        others.push_back(member.m_address);
      }
    }
    aVm.m_gate.SetListed(others);
  }

  // ---------------------------------------------------------------- peers

  using ServeCall = std::function<Json::Value(ControlVm&, const Json::Value&)>;
  using EndCall = std::function<void(const Json::Value&)>;

  /// Calls aTo with aRequest. aServe makes the answer there, aDone takes it
  /// here; it gets null if none came.
  void Call(ControlVm& aFrom,
            const std::string& aTo,
            const std::string& aRequest,
            const ServeCall& aServe,
            const EndCall& aDone)
  {
    std::size_t overhead = kHttpOverheadBytes + kRpcOverheadBytes;
    aFrom.m_bytesOut += aRequest.size() + overhead;
    auto found = m_byAddress.find(aTo);
    std::uint64_t incarnation = aFrom.m_incarnation;
    auto finish = [this, &aFrom, incarnation, aDone](
                    Duration aAfter, const std::string& aAnswer) {
      At(m_now + aAfter, [&aFrom, incarnation, aDone, aAnswer] {
        if (Runs(aFrom) && aFrom.m_incarnation == incarnation) {
          aDone(aAnswer.empty() ? Json::Value() : ParseJson(aAnswer));
        }
      });
    };
    if (found == m_byAddress.end() || !m_reaches(aFrom, Vm(found->second)) ||
        !Runs(Vm(found->second))) {
      finish(kTimeout, "");
      return;
    }
    ControlVm& to = Vm(found->second);
    At(m_now + m_latency, [=, this, &aFrom, &to] {
      if (!Runs(to)) {
        finish(kTimeout, "");
        return;
      }
      to.m_bytesIn += aRequest.size() + overhead;
      std::string answer;
      try {
        answer = WriteJson(aServe(to, ParseJson(aRequest)));
      } catch (const Error&) {
        answer.clear();
      }
      to.m_bytesOut += answer.size() + overhead;
      if (!m_reaches(to, aFrom)) {
        finish(kTimeout, "");
        return;
      }
      aFrom.m_bytesIn += answer.size() + overhead;
      finish(m_latency, answer);
    });
  }

  void SendGossip(ControlVm& aVm, const GossipMessage& aMessage)
  {
    std::string peer = aMessage.m_to;
    Call(
      aVm,
      peer,
      WriteJson(aMessage.m_params),
      [this](ControlVm& aTo, const Json::Value& aParams) {
        try {
          return aTo.m_membership->OnCall(aParams, m_now);
        } catch (const Error& error) {
          if (error.Kind() == ErrorKind::Unauthenticated) {
            aTo.m_listCalls->OnHint(m_now);
          }
          throw;
        }
      },
      [this, &aVm, peer](const Json::Value& aResult) {
        if (aResult.isNull()) {
          aVm.m_membership->OnFailure(peer, m_now);
          return;
        }
        aVm.m_membership->OnResult(peer, aResult, m_now);
        aVm.m_gate.OnPeerAnswer(
          peer, { aResult["rev"].asUInt64(), aResult["fp"].asString() });
        TakeNews(aVm);
      });
  }

  void TakeNews(ControlVm& aVm)
  {
    for (const RevisionOffer& offer : aVm.m_membership->TakeOffers()) {
      OfferStatus verdict = aVm.m_keeper.CompareOffer(offer.m_name);
      if (verdict == OfferStatus::Conflict) {
        aVm.m_keeper.RecordConflict(offer.m_name, offer.m_peer);
      } else if (verdict == OfferStatus::Newer && !aVm.m_fetching) {
        Fetch(aVm, offer);
      }
    }
    std::optional<std::string> listOffer = aVm.m_membership->TakeListOffer();
    if (listOffer && !aVm.m_fetchingList) {
      FetchList(aVm, *listOffer);
    }
    for (const Rumor& rumor : aVm.m_membership->TakeRumors()) {
      if (rumor.m_kind == kRumorLeaving) {
        WallTime seen{ std::chrono::milliseconds{ rumor.m_version } };
        aVm.m_leaving.OnAnswer(rumor.m_id, rumor.m_body == "1", seen);
      }
    }
  }

  void Fetch(ControlVm& aVm, const RevisionOffer& aOffer)
  {
    aVm.m_fetching = true;
    RevisionName have = aVm.m_keeper.CurrentName();
    Json::Value request(Json::objectValue);
    request["revision"] = static_cast<Json::UInt64>(have.m_revision);
    request["fingerprint"] = have.m_fingerprint;
    std::string peer = aOffer.m_peer;
    Call(
      aVm,
      peer,
      WriteJson(request),
      [](ControlVm& aTo, const Json::Value& aParams) {
        return ToJson(
          aTo.m_keeper.TransferFor({ aParams["revision"].asUInt64(),
                                     aParams["fingerprint"].asString() }));
      },
      [this, &aVm, peer](const Json::Value& aResult) {
        aVm.m_fetching = false;
        if (!aResult.isNull()) {
          aVm.m_keeper.Accept(ParseTextTransfer(aResult), peer);
          NoteRevision(aVm);
        }
      });
  }

  void FetchList(ControlVm& aVm, const std::string& aPeer)
  {
    aVm.m_fetchingList = true;
    Json::Value request(Json::objectValue);
    request["have"] =
      static_cast<Json::UInt64>(aVm.m_membership->ListVersion());
    Call(
      aVm,
      aPeer,
      WriteJson(request),
      [](ControlVm& aTo, const Json::Value& aParams) {
        return aTo.m_membership->ListFor(aParams["have"].asUInt64());
      },
      [this, &aVm](const Json::Value& aResult) {
        aVm.m_fetchingList = false;
        if (!aResult.isNull()) {
          aVm.m_membership->AcceptList(aResult, m_now);
          ListToGate(aVm);
        }
      });
  }

  void NoteRevision(ControlVm& aVm)
  {
    RevisionName name = aVm.m_keeper.CurrentName();
    aVm.m_reverted = aVm.m_reverted || name.m_revision < aVm.m_highestRevision;
    if (name.m_revision > aVm.m_highestRevision) {
      aVm.m_highestRevision = name.m_revision;
      aVm.m_inForceAt = m_now;
    }
    aVm.m_membership->SetRevision(name, aVm.m_keeper.PlatformVersion());
  }

  std::uint64_t m_seed;
  Duration m_latency;
  TimePoint m_now{ std::chrono::hours{ 1'000 } };
  std::uint64_t m_order{ 0 };
  std::uint64_t m_boots{ 0 };
  std::uint64_t m_fleetVersion{ 0 };
  std::uint64_t m_listVersion{ 0 };
  std::vector<std::unique_ptr<ControlVm>> m_vms;
  std::map<std::string, std::size_t> m_byAddress;
  std::priority_queue<Event> m_events;
};

} // namespace shallotford::standin

#endif // SHALLOTFORD_TOOLS_CONTROL_NET_H
