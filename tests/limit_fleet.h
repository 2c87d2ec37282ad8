#ifndef SHALLOTFORD_TESTS_LIMIT_FLEET_H
#define SHALLOTFORD_TESTS_LIMIT_FLEET_H

/// A simulated fleet that serves one organisation with a limit, in virtual
/// time, beside one bucket that sees all requests at once.

#include "config.h"
#include "shallotford/organisation.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

namespace shallotford::test {

enum class LimitPolicy
{
  Leases,   ///< the product's
  Equal,    ///< each VM a bucket with an equal part of the limit
  Gossiped, ///< each VM a bucket with its part of the demand of 3 s ago
};

struct LimitFleetOptions
{
  std::size_t m_vms{ 76 };
  double m_perSecond{ 100'000 }; ///< units that callers ask for
  RateLimit m_limit;
  std::size_t m_busyVms{ 3 };   ///< at which most callers ask
  double m_shareOfBusy{ 0.95 }; ///< of the requests
  double m_streamShare{ 0.5 };  ///< of the requests, 6,000 tokens; others 200
  double m_lostShare{ 0 };      ///< of messages
  LimitPolicy m_policy{ LimitPolicy::Leases };
  std::uint64_t m_seed{ 1 };
};

/// Messages take 1 to 20 ms; time passes in steps of 5 ms.
class LimitFleet
{
public:
  struct Vm
  {
    std::unique_ptr<LimitIssuer> m_issuer;
    std::unique_ptr<LimitLease> m_lease;
    KnownVms m_known;
    std::vector<TimePoint> m_contacts; ///< by VM
    FleetView m_view;
    bool m_gone{ false };
    bool m_frozen{ false };
    std::size_t m_part{ 0 }; ///< of a partition
    std::vector<double> m_waiting;
    bool m_asking{ false };
    TimePoint m_nextGossip{};
    double m_bucket{ 0 }; ///< of the naive policies
    double m_demand{ 0 }, m_demandBefore{ 0 };
  };

  explicit LimitFleet(const LimitFleetOptions& aOptions)
    : m_options(aOptions)
    , m_limit(aOptions.m_limit)
    , m_random(MakeSeededRandom(aOptions.m_seed))
    , m_vms(aOptions.m_vms)
    , m_ideal(aOptions.m_limit.m_burst * kNewOwnerBurstShare)
  {
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
      m_ranks.push_back(i);
      Restart(i);
      m_vms[i].m_issuer = std::make_unique<LimitIssuer>();
      m_vms[i].m_contacts.assign(m_vms.size(), m_now);
      m_vms[i].m_bucket = m_limit.m_burst / static_cast<double>(m_vms.size());
      m_vms[i].m_nextGossip = m_now + Draw(1'000ms);
      m_vms[i].m_view = { .m_live = m_vms.size(), .m_known = m_vms.size() };
    }
    for (std::size_t i = m_ranks.size(); i > 1; --i) {
      std::swap(m_ranks[i - 1], m_ranks[m_random->Below(i)]);
    }
    MoveCallers();
  }

  // ------------------------------------------------------------- failures

  void Restart(std::size_t aVm)
  {
    Vm& vm = m_vms[aVm];
    vm.m_gone = false;
    vm.m_issuer = std::make_unique<LimitIssuer>(m_now + kGrantHoldOff);
    vm.m_lease = std::make_unique<LimitLease>(m_random->Next());
    vm.m_contacts.assign(m_vms.size(), TimePoint{});
    vm.m_known = {};
    vm.m_waiting.clear();
    vm.m_asking = false;
    vm.m_view = { .m_live = 1, .m_known = 18 }; // three in each domain
  }
  void Kill(std::size_t aVm) { m_vms[aVm].m_gone = true; }
  void Freeze(std::size_t aVm) { m_vms[aVm].m_frozen = true; }
  void Thaw(std::size_t aVm)
  {
    m_vms[aVm].m_frozen = false;
    m_vms[aVm].m_issuer->Reset(m_now + kGrantHoldOff);
    m_vms[aVm].m_lease->OnPause();
    m_vms[aVm].m_waiting.clear();
    m_vms[aVm].m_asking = false;
  }
  void Separate(std::size_t aVm, std::size_t aPart)
  {
    m_vms[aVm].m_part = aPart;
  }
  void SetLimit(const RateLimit& aLimit)
  {
    m_limit = aLimit;
    m_ideal = std::min(m_ideal, aLimit.m_burst);
  }
  void SetDemand(double aFactor, double aShareOfBusy)
  {
    m_factor = aFactor;
    m_options.m_shareOfBusy = aShareOfBusy;
  }
  /// The callers ask at other VMs from now on.
  void MoveCallers()
  {
    m_busy.clear();
    for (std::size_t i = 0; i < m_options.m_busyVms; ++i) {
      m_busy.push_back(m_random->Below(m_vms.size()));
    }
  }
  std::size_t Owner() const { return OwnerOf(0); }
  std::size_t Busy(std::size_t aIndex) const
  {
    return m_busy[aIndex % m_busy.size()];
  }

  // -------------------------------------------------------------- running

  void Run(Duration aTime)
  {
    for (TimePoint end = m_now + aTime; m_now < end; m_now += kStep) {
      Deliver();
      for (Vm& vm : m_vms) {
        Gossip(vm);
      }
      Arrive();
    }
  }

  /// Returns the most units in a window of aLength that ends after aFrom.
  double MostIn(Duration aLength, TimePoint aFrom, TimePoint aTo) const
  {
    double sum = 0, most = 0;
    auto first = m_ran.begin();
    for (auto last = m_ran.begin(); last != m_ran.end(); ++last) {
      sum += last->second;
      while (last->first - first->first > aLength) {
        sum -= first++->second;
      }
      bool counts = first->first >= aFrom && last->first <= aTo;
      most = counts ? std::max(most, sum) : most;
    }
    return most;
  }
  /// Returns the units that ran, of those that one bucket would have granted.
  double ServedShare() const
  {
    return m_owed == 0 ? 1 : std::min(m_served / m_owed, 9.0);
  }
  TimePoint Now() const { return m_now; }
  /// Returns the calls to other VMs.
  std::size_t Calls() const { return m_calls; }
  std::size_t Requests() const { return m_requests; }
  /// Served and owed count from now on.
  void StartCounting() { m_served = m_owed = 0; }
  double Served() const { return m_served; }
  double Owed() const { return m_owed; }

private:
  static constexpr auto kStep = 5ms;

  struct Message
  {
    TimePoint m_at;
    std::size_t m_to;
    std::function<void()> m_deliver;
  };

  Duration Draw(Duration aMost)
  {
    return std::chrono::duration_cast<Duration>(aMost * m_random->Unit());
  }
  bool Runs(std::size_t aVm) const
  {
    return !m_vms[aVm].m_gone && !m_vms[aVm].m_frozen;
  }
  bool Reaches(std::size_t aFrom, std::size_t aTo) const
  {
    return Runs(aTo) && m_vms[aFrom].m_part == m_vms[aTo].m_part;
  }

  void Send(std::size_t aFrom, std::size_t aTo, std::function<void()> aDeliver)
  {
    if (!Reaches(aFrom, aTo) || m_random->Unit() < m_options.m_lostShare) {
      return;
    }
    m_messages.push_back(
      { m_now + 1ms + Draw(19ms), aTo, std::move(aDeliver) });
  }

  void Deliver()
  {
    for (std::size_t i = 0; i < m_messages.size();) {
      if (m_messages[i].m_at > m_now) {
        ++i;
        continue;
      }
      Message message = std::move(m_messages[i]);
      m_messages[i] = std::move(m_messages.back());
      m_messages.pop_back();
      if (Runs(message.m_to)) {
        message.m_deliver();
      }
    }
  }

  void Gossip(Vm& aVm)
  {
    auto self = static_cast<std::size_t>(&aVm - m_vms.data());
    if (!Runs(self) || m_now < aVm.m_nextGossip) {
      return;
    }
    aVm.m_nextGossip = m_now + 800ms + Draw(400ms);
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
      if (Reaches(self, i)) {
        aVm.m_contacts[i] = m_now - Draw(1'000ms);
      }
    }
    LookAround(aVm);
    aVm.m_issuer->Expire(aVm.m_view, m_now);
    if (aVm.m_lease->WantsToAsk(m_now)) {
      Ask(self);
    }
    aVm.m_demandBefore = aVm.m_demand;
    aVm.m_demand *= 0.6;
  }
  void LookAround(Vm& aVm)
  {
    std::size_t live = 0;
    std::size_t known = 0;
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
      live += IsLive(aVm, i) ? 1 : 0;
      known += aVm.m_contacts[i] > m_now - 60s ? 1 : 0;
    }
    aVm.m_view = { .m_live = live, .m_known = aVm.m_known.Note(known, m_now) };
  }
  bool IsLive(const Vm& aVm, std::size_t aOther) const
  {
    return &aVm == &m_vms[aOther] ||
           m_now - aVm.m_contacts[aOther] < kPeerLiveTime;
  }
  std::size_t OwnerOf(std::size_t aVm) const
  {
    for (std::size_t other : m_ranks) {
      if (IsLive(m_vms[aVm], other)) {
        return other;
      }
    }
    return aVm;
  }

  // ------------------------------------------------------------- requests

  void Arrive()
  {
    double mean =
      m_options.m_streamShare * 6'000 + (1 - m_options.m_streamShare) * 200;
    double expected = m_options.m_perSecond * m_factor / mean * 0.005;
    for (; m_random->Unit() < expected; expected -= 1) {
      bool isBusy = m_random->Unit() < m_options.m_shareOfBusy;
      std::size_t vm = isBusy ? Busy(m_random->Below(m_busy.size()))
                              : m_random->Below(m_vms.size());
      for (std::size_t i = 0; i < 9 && !Runs(vm); ++i) {
        vm = m_random->Below(m_vms.size()); // its caller asks elsewhere
      }
      bool isStream = m_random->Unit() < m_options.m_streamShare;
      Request(vm, isStream ? 3'000 + 6'000 * m_random->Unit() : 200);
    }
  }

  void Request(std::size_t aVm, double aCost)
  {
    if (!Runs(aVm)) {
      return;
    }
    ++m_requests;
    Owe(aCost);
    Vm& vm = m_vms[aVm];
    vm.m_demand += aCost;
    if (m_options.m_policy != LimitPolicy::Leases) {
      RequestNaive(vm, aCost);
      return;
    }
    vm.m_lease->OnDemand(aCost, m_now);
    switch (vm.m_lease->Take(aCost, m_limit, vm.m_view, m_now)) {
      case LimitLease::Verdict::Granted:
        Ran(aCost);
        break;
      case LimitLease::Verdict::Refused:
        vm.m_lease->OnRefused(aCost);
        break;
      case LimitLease::Verdict::Ask:
        vm.m_waiting.push_back(aCost);
        break;
    }
    if (!vm.m_waiting.empty() || vm.m_lease->WantsToAsk(m_now)) {
      Ask(aVm);
    }
  }

  void Owe(double aCost)
  {
    std::chrono::duration<double> passed = m_now - m_idealAt;
    m_idealAt = m_now;
    m_ideal =
      std::min(m_limit.m_burst, m_ideal + m_limit.m_perSecond * passed.count());
    bool fits = m_ideal >= std::min(aCost, m_limit.m_burst);
    m_ideal -= fits ? aCost : 0;
    m_owed += fits ? aCost : 0;
  }

  void RequestNaive(Vm& aVm, double aCost)
  {
    double share = 1 / static_cast<double>(m_vms.size());
    if (m_options.m_policy == LimitPolicy::Gossiped) {
      double all = 1;
      for (const Vm& vm : m_vms) {
        all += vm.m_demandBefore;
      }
      share = aVm.m_demandBefore / all;
    }
    std::chrono::duration<double> passed = m_now - aVm.m_contacts[0];
    aVm.m_contacts[0] = m_now;
    aVm.m_bucket =
      std::min(m_limit.m_burst * share,
               aVm.m_bucket + m_limit.m_perSecond * share * passed.count());
    if (aVm.m_bucket >= std::min(aCost, m_limit.m_burst * share)) {
      aVm.m_bucket -= aCost;
      Ran(aCost);
    }
  }

  void Ran(double aCost)
  {
    m_served += aCost;
    m_ran.emplace_back(m_now, aCost);
  }

  // --------------------------------------------------------------- grants

  void Ask(std::size_t aVm, std::uint32_t aTry = 1)
  {
    Vm& vm = m_vms[aVm];
    if (vm.m_asking && aTry == 1) {
      return;
    }
    vm.m_asking = true;
    std::vector<double> needed = std::exchange(vm.m_waiting, {});
    LimitAsk ask = vm.m_lease->MakeAsk(needed, m_now);
    ask.m_vm = std::to_string(aVm);
    std::size_t owner = OwnerOf(aVm);
    TimePoint sentAt = m_now;
    auto done = std::make_shared<bool>(false);
    auto end = [this, aVm, needed, sentAt, done, lease = vm.m_lease.get()](
                 const LimitReply& aReply) {
      if (std::exchange(*done, true) || lease != m_vms[aVm].m_lease.get()) {
        return;
      }
      End(aVm, needed, lease->OnReply(aReply, needed, sentAt, m_now));
    };
    m_messages.push_back(
      { m_now + kGrantTimeout,
        aVm,
        [this, aVm, aTry, needed, done, lease = vm.m_lease.get()] {
          if (std::exchange(*done, true) || lease != m_vms[aVm].m_lease.get()) {
            return;
          }
          Vm& vm = m_vms[aVm];
          vm.m_waiting.insert(
            vm.m_waiting.begin(), needed.begin(), needed.end());
          if (aTry < kMaxGrantTries) {
            Ask(aVm, aTry + 1);
            return;
          }
          vm.m_lease->OnNoReply(m_now);
          EndAlone(aVm);
        } });
    if (owner == aVm) {
      LookAround(vm);
      std::optional<LimitReply> reply =
        vm.m_issuer->Issue("o", m_limit, ask, vm.m_view, m_now);
      if (reply) {
        end(*reply);
      } else {
        *done = true;
        vm.m_waiting = needed;
        vm.m_lease->OnNoReply(m_now);
        EndAlone(aVm);
      }
      return;
    }
    ++m_calls;
    Send(aVm, owner, [this, aVm, owner, ask, end] {
      std::size_t actual = OwnerOf(owner);
      if (actual != owner) {
        Send(owner, actual, [this, aVm, actual, ask, end] {
          Serve(aVm, actual, ask, end);
        });
        return;
      }
      Serve(aVm, owner, ask, end);
    });
  }

  void Serve(std::size_t aVm,
             std::size_t aOwner,
             const LimitAsk& aAsk,
             const std::function<void(const LimitReply&)>& aEnd)
  {
    Vm& owner = m_vms[aOwner];
    if (OwnerOf(aOwner) != aOwner) {
      return;
    }
    LookAround(owner);
    std::optional<LimitReply> reply =
      owner.m_issuer->Issue("o", m_limit, aAsk, owner.m_view, m_now);
    if (reply) {
      Send(aOwner, aVm, [aEnd, reply] { aEnd(*reply); });
    }
  }

  void End(std::size_t aVm,
           const std::vector<double>& aNeeded,
           const std::vector<bool>& aGranted)
  {
    for (std::size_t i = 0; i < aNeeded.size(); ++i) {
      if (aGranted[i]) {
        Ran(aNeeded[i]);
      } else {
        m_vms[aVm].m_lease->OnRefused(aNeeded[i]);
      }
    }
    m_vms[aVm].m_asking = false;
    Retry(aVm);
  }

  /// Requests that came during a call.
  void Retry(std::size_t aVm)
  {
    Vm& vm = m_vms[aVm];
    std::vector<double> rest;
    for (double cost : std::exchange(vm.m_waiting, {})) {
      auto verdict = vm.m_lease->Take(cost, m_limit, vm.m_view, m_now);
      if (verdict == LimitLease::Verdict::Granted) {
        Ran(cost);
      } else if (verdict == LimitLease::Verdict::Ask) {
        rest.push_back(cost);
      } else {
        vm.m_lease->OnRefused(cost);
      }
    }
    vm.m_waiting = rest;
    if (!rest.empty()) {
      Ask(aVm);
    }
  }

  void EndAlone(std::size_t aVm)
  {
    m_vms[aVm].m_asking = false;
    Retry(aVm);
  }

  LimitFleetOptions m_options;
  RateLimit m_limit;
  std::unique_ptr<RandomI> m_random;
  TimePoint m_now{ 1'000s };
  std::vector<Vm> m_vms;
  std::vector<std::size_t> m_ranks; ///< VMs as a rendezvous hash orders them
  std::vector<std::size_t> m_busy;
  std::vector<Message> m_messages;
  std::vector<std::pair<TimePoint, double>> m_ran;
  double m_factor{ 1 };
  double m_ideal;
  TimePoint m_idealAt{ 1'000s };
  double m_served{ 0 };
  double m_owed{ 0 };
  std::size_t m_calls{ 0 };
  std::size_t m_requests{ 0 };
};

} // namespace shallotford::test

#endif // SHALLOTFORD_TESTS_LIMIT_FLEET_H
