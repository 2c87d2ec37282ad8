#ifndef SHALLOTFORD_TESTS_PERMIT_FLEET_H
#define SHALLOTFORD_TESTS_PERMIT_FLEET_H

/// A simulated fleet in front of one upstream that names a limit.

#include "config.h"
#include "shallotford/vms.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace shallotford {

struct PermitFleetOptions
{
  std::size_t m_vms{ 9 };
  double m_requestsPerSecond{ 30 }; ///< of all VMs
  /// Share of the requests that come to the first VM; the others come to all.
  double m_shareOfFirst{ 0 };
  double m_perSecond{ 3 }; ///< the limit at the start
  double m_lostShare{ 0 }; ///< of messages between VMs
  std::uint64_t m_seed{ 1 };
};

/// VMs with their own peers, limits and permits. Messages take 1 to 20 ms;
/// time passes in steps of 10 ms.
class PermitFleet
{
public:
  explicit PermitFleet(const PermitFleetOptions& aOptions)
    : m_options(aOptions)
    , m_limit(aOptions.m_perSecond)
    , m_random(MakeSeededRandom(aOptions.m_seed))
  {
    for (std::size_t i = 0; i < aOptions.m_vms; ++i) {
      Join();
    }
  }

  void Join()
  {
    m_vms.push_back(std::make_unique<Vm>(AddressOf(m_vms.size()), m_now));
  }
  /// The process ends and another starts in its place.
  void Restart(std::size_t aVm)
  {
    m_vms[aVm] = std::make_unique<Vm>(AddressOf(aVm), m_now);
  }
  void Leave(std::size_t aVm) { m_vms[aVm]->m_gone = true; }
  void Freeze(std::size_t aVm) { m_vms[aVm]->m_frozen = true; }
  void Thaw(std::size_t aVm)
  {
    m_vms[aVm]->m_frozen = false;
    m_vms[aVm]->m_issuer.Reset(m_now);
  }
  /// VMs below aVm don't reach the others.
  void Partition(std::size_t aVm) { m_partition = aVm; }
  void SetLimit(double aPerSecond) { m_limit = aPerSecond; }
  /// Returns the VM that issues the permits, as the first one sees it.
  std::size_t Owner()
  {
    std::string owner = m_vms[0]->m_peers.Owner(m_upstream.m_id, m_now);
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
      if (AddressOf(i) == owner) {
        return i;
      }
    }
    return 0;
  }

  void Run(Duration aTime)
  {
    constexpr auto kStep = 10ms;
    for (TimePoint end = m_now + aTime; m_now < end; m_now += kStep) {
      Deliver();
      for (std::size_t i = 0; i < m_vms.size(); ++i) {
        Turn(i);
      }
      using Seconds = std::chrono::duration<double>;
      m_due += m_options.m_requestsPerSecond * Seconds(kStep).count();
      for (; m_due >= 1; --m_due) {
        bool toFirst = m_random->Unit() < m_options.m_shareOfFirst;
        OnRequest(toFirst ? 0 : m_random->Below(m_vms.size()));
      }
    }
  }

  TimePoint Now() const { return m_now; }
  /// Returns the most requests that the upstream got in a window that begins
  /// and ends in a span.
  std::size_t MostIn(Duration aWindow, TimePoint aFrom, TimePoint aTo) const
  {
    std::size_t most = 0;
    for (auto first = m_sends.begin(); first != m_sends.end(); ++first) {
      if (*first < aFrom) {
        continue;
      }
      auto last =
        std::lower_bound(first, m_sends.end(), std::min(*first + aWindow, aTo));
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
  }
  std::size_t Sent(TimePoint aFrom, TimePoint aTo) const
  {
    return static_cast<std::size_t>(
      std::lower_bound(m_sends.begin(), m_sends.end(), aTo) -
      std::lower_bound(m_sends.begin(), m_sends.end(), aFrom));
  }
  /// Returns the calls for permits so far.
  std::size_t Calls() const { return m_calls; }

private:
  struct Vm
  {
    Vm(const std::string& aAddress, TimePoint aNow)
      : m_peers(aAddress, { AddressOf(0), AddressOf(1), AddressOf(2) })
      , m_issuer(aNow)
      , m_nextGossip(aNow)
    {
    }
    PeerList m_peers;
    LimitTable m_limits;
    PermitIssuer m_issuer;
    PermitPauses m_pauses;
    TimePoint m_nextGossip;
    bool m_asking{ false };
    std::uint32_t m_waiting{ 0 };
    bool m_frozen{ false };
    bool m_gone{ false };
  };
  struct Message
  {
    TimePoint m_at;
    std::function<void()> m_action;
  };

  static std::string AddressOf(std::size_t aVm)
  {
    return "10.0.0." + std::to_string(aVm) + ":1";
  }

  bool Reaches(std::size_t aFrom, std::size_t aTo)
  {
    bool isCut = (aFrom < m_partition) != (aTo < m_partition);
    return !isCut && !m_vms[aTo]->m_gone && !m_vms[aTo]->m_frozen &&
           m_random->Unit() >= m_options.m_lostShare;
  }
  Duration Latency() { return 1ms + 1ms * m_random->Below(20); }
  void Later(Duration aAfter, std::function<void()> aAction)
  {
    m_messages.push_back({ m_now + aAfter, std::move(aAction) });
  }
  void Deliver()
  {
    std::vector<Message> due;
    std::erase_if(m_messages, [&](const Message& aMessage) {
      if (aMessage.m_at > m_now) {
        return false;
      }
      due.push_back(aMessage);
      return true;
    });
    for (const Message& message : due) {
      message.m_action();
    }
  }

  std::size_t IndexOf(const std::string& aAddress) const
  {
    std::size_t index = 0;
    while (index < m_vms.size() && AddressOf(index) != aAddress) {
      ++index;
    }
    return index;
  }

  void Turn(std::size_t aVm)
  {
    Vm& vm = *m_vms[aVm];
    if (vm.m_gone || vm.m_frozen || m_now < vm.m_nextGossip) {
      return;
    }
    vm.m_nextGossip = m_now + kGossipPeriod;
    std::string address = vm.m_peers.Next(*m_random, m_now);
    std::size_t peer = IndexOf(address);
    if (peer == m_vms.size()) {
      return;
    }
    if (!Reaches(aVm, peer) || !Reaches(peer, aVm)) {
      vm.m_peers.OnUnreachable(address, m_now);
      return;
    }
    Later(Latency(), [this, aVm, peer] {
      Exchange(aVm, peer);
      Exchange(peer, aVm);
    });
  }
  void Exchange(std::size_t aFrom, std::size_t aTo)
  {
    Vm& from = *m_vms[aFrom];
    Vm& to = *m_vms[aTo];
    to.m_peers.OnContact(AddressOf(aFrom), m_now);
    for (const auto& [address, age] : from.m_peers.ContactAges(m_now)) {
      to.m_peers.OnContactReported(address, age, m_now);
    }
    for (const auto& [upstream, limit] :
         from.m_limits.Newest(kMaxGossipedLimits)) {
      to.m_limits.Merge(upstream, limit);
    }
  }

  /// A request that the VM would rather send to the upstream than elsewhere.
  void OnRequest(std::size_t aVm)
  {
    Vm& vm = *m_vms[aVm];
    if (vm.m_gone || vm.m_frozen) {
      return;
    }
    if (!vm.m_limits.Find(m_upstream)) {
      Send(aVm);
      return;
    }
    if (!vm.m_pauses.MayAsk(m_upstream, m_now)) {
      return;
    }
    ++vm.m_waiting;
    if (!vm.m_asking) {
      Ask(aVm);
    }
  }
  void Send(std::size_t aVm)
  {
    m_sends.push_back(m_now);
    Vm& vm = *m_vms[aVm];
    if (m_limit > 0) {
      vm.m_limits.OnNamed(m_upstream, m_limit, m_now);
    } else {
      vm.m_limits.OnNoneNamed(m_upstream, m_now);
    }
  }

  PermitReply Issue(std::size_t aOwner,
                    const std::string& aVm,
                    std::uint32_t aWanted)
  {
    Vm& owner = *m_vms[aOwner];
    std::optional<double> limit = owner.m_limits.Find(m_upstream);
    if (!limit) {
      return { .m_granted = aWanted };
    }
    double share = static_cast<double>(owner.m_peers.LiveCount(m_now)) /
                   static_cast<double>(owner.m_peers.KnownCount(m_now));
    return owner.m_issuer.Issue(
      m_upstream, *limit * share, { .m_vm = aVm, .m_wanted = aWanted }, m_now);
  }
  void Ask(std::size_t aVm)
  {
    Vm& vm = *m_vms[aVm];
    std::uint32_t wanted = std::exchange(vm.m_waiting, 0);
    vm.m_asking = true;
    AskAt(aVm, IndexOf(vm.m_peers.Owner(m_upstream.m_id, m_now)), wanted, true);
  }
  void AskAt(std::size_t aVm,
             std::size_t aOwner,
             std::uint32_t aWanted,
             bool aMayRedirect)
  {
    if (aOwner == aVm) {
      OnReply(aVm, aWanted, Issue(aVm, AddressOf(aVm), aWanted));
      return;
    }
    ++m_calls;
    if (aOwner == m_vms.size() || !Reaches(aVm, aOwner)) {
      Later(kPermitTimeout, [this, aVm] { OnNoReply(aVm); });
      return;
    }
    Later(Latency(), [=, this] {
      Vm& owner = *m_vms[aOwner];
      if (std::optional<NamedLimit> limit =
            m_vms[aVm]->m_limits.Get(m_upstream)) {
        owner.m_limits.Merge(m_upstream, *limit);
      }
      std::size_t other = IndexOf(owner.m_peers.Owner(m_upstream.m_id, m_now));
      bool isLost = !Reaches(aOwner, aVm);
      if (other != aOwner && (!aMayRedirect || other == aVm || isLost)) {
        OnNoReply(aVm);
      } else if (other != aOwner) {
        AskAt(aVm, other, aWanted, false);
      } else {
        PermitReply reply = Issue(aOwner, AddressOf(aVm), aWanted);
        if (isLost) {
          Later(kPermitTimeout, [this, aVm] { OnNoReply(aVm); });
          return;
        }
        Later(Latency(),
              [this, aVm, aWanted, reply] { OnReply(aVm, aWanted, reply); });
      }
    });
  }
  void OnReply(std::size_t aVm,
               std::uint32_t aWanted,
               const PermitReply& aReply)
  {
    Vm& vm = *m_vms[aVm];
    if (!vm.m_gone && !vm.m_frozen) {
      vm.m_pauses.OnReply(m_upstream, aReply, aWanted, m_now);
      for (std::uint32_t i = 0; i < std::min(aWanted, aReply.m_granted); ++i) {
        Send(aVm);
      }
    }
    EndAsk(aVm);
  }
  void OnNoReply(std::size_t aVm)
  {
    m_vms[aVm]->m_pauses.OnNoReply(m_upstream, m_now);
    EndAsk(aVm);
  }
  void EndAsk(std::size_t aVm)
  {
    Vm& vm = *m_vms[aVm];
    vm.m_asking = false;
    if (vm.m_gone || vm.m_frozen || !vm.m_pauses.MayAsk(m_upstream, m_now)) {
      vm.m_waiting = 0;
    } else if (vm.m_waiting > 0) {
      Ask(aVm);
    }
  }

  PermitFleetOptions m_options;
  double m_limit;
  std::unique_ptr<RandomI> m_random;
  TimePoint m_now{ 1000s };
  const UpstreamKey m_upstream{ .m_id = "i-limited", .m_startedMs = 1 };
  std::vector<std::unique_ptr<Vm>> m_vms;
  std::vector<Message> m_messages;
  std::vector<TimePoint> m_sends;
  std::size_t m_partition{ 0 };
  std::size_t m_calls{ 0 };
  double m_due{ 0 };
};

} // namespace shallotford

#endif // SHALLOTFORD_TESTS_PERMIT_FLEET_H
