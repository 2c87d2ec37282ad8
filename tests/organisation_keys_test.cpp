/// Tests of keys of organisations and of the proof that a configuration is the
/// newest: no request passes after the time that is promised for a withdrawal.

#define BOOST_TEST_MODULE organisation_keys
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "shallotford/organisation.h"

#include <rapidcheck.h>

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds kRevoke = 5'000ms;
constexpr std::chrono::milliseconds kChangesWithin = 4'000ms;

BootTime
At(std::chrono::milliseconds aTime)
{
  return BootTime(1h + aTime);
}

/// A VM that learns versions of the configuration from the source and peers.
/// Calls may take any time, also since the VM is suspended meanwhile.
struct Vm
{
  struct Call
  {
    BootTime m_began;
    std::uint64_t m_version{ 0 };
    std::optional<Duration> m_age; ///< of the peer's proof
    bool m_answered{ false };
  };

  void Begin(std::optional<Call>& aCall, BootTime aNow) const
  {
    aCall = Call{ .m_began = aNow };
  }
  void EndSource()
  {
    m_version = std::max(m_version, m_source->m_version);
    m_proof.OnSource(m_source->m_began);
    m_source.reset();
  }
  void EndPeer()
  {
    m_version = std::max(m_version, m_peer->m_version);
    if (m_peer->m_age) {
      m_proof.OnPeer(m_peer->m_began, *m_peer->m_age);
    }
    m_peer.reset();
  }

  ConfigProof m_proof{ kRevoke, kChangesWithin };
  std::uint64_t m_version{ 0 };
  std::optional<Call> m_source;
  std::optional<Call> m_peer;
};

/// One drawn event of the fleet.
struct Fleet
{
  void Step(int aEvent, std::size_t aVm, std::size_t aOther)
  {
    Vm& vm = m_vms[aVm];
    switch (aEvent) {
      case 0:
        m_acknowledged.push_back(m_now);
        break;
      case 1:
        vm.Begin(vm.m_source, m_now);
        break;
      case 2:
        if (vm.m_source && !vm.m_source->m_answered) {
          vm.m_source->m_version = m_acknowledged.size();
          vm.m_source->m_answered = true;
        }
        break;
      case 3:
        if (vm.m_source && vm.m_source->m_answered) {
          vm.EndSource();
        }
        break;
      case 4:
        vm.Begin(vm.m_peer, m_now);
        break;
      case 5:
        if (vm.m_peer && !vm.m_peer->m_answered && aOther != aVm) {
          vm.m_peer->m_version = m_vms[aOther].m_version;
          vm.m_peer->m_age = m_vms[aOther].m_proof.Age(m_now);
          vm.m_peer->m_answered = true;
        }
        break;
      case 6:
        if (vm.m_peer && vm.m_peer->m_answered) {
          vm.EndPeer();
        }
        break;
      default:
        vm = Vm(); // it restarts
        break;
    }
  }

  /// Returns whether no VM serves by a configuration that has been replaced for
  /// longer than kRevoke.
  bool IsSafe() const
  {
    return std::all_of(m_vms.begin(), m_vms.end(), [this](const Vm& aVm) {
      bool isReplaced = aVm.m_version < m_acknowledged.size() &&
                        m_now > m_acknowledged[aVm.m_version] + kRevoke;
      return !isReplaced || !aVm.m_proof.MayServe(m_now);
    });
  }

  BootTime m_now{ At(0ms) };
  std::vector<BootTime> m_acknowledged; ///< of each version
  std::array<Vm, 4> m_vms;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_key_leads_to_its_organisation_only)
{
  std::vector<Organisation> organisations{
    { .m_name = "a", .m_keys = { "key-1", "key-2" } },
    { .m_name = "b", .m_keys = { "key-3" } },
    { .m_name = "c", .m_keys = {} }
  };
  OrganisationTable table(organisations);
  BOOST_TEST(table.FindByKey("key-2") == &organisations[0]);
  BOOST_TEST(table.FindByKey("key-3") == &organisations[1]);
  for (const char* key : { "", "key-", "key-11", "KEY-1", "a", "key-4" }) {
    BOOST_TEST(table.FindByKey(key) == nullptr, key);
  }
  BOOST_TEST(table.FindByName("c") == &organisations[2]);
  BOOST_TEST(table.FindByName("key-1") == nullptr);
  BOOST_TEST(table.Keys() == 3U);
  BOOST_TEST(OrganisationTable().IsEmpty());
  BOOST_TEST(!table.IsEmpty());
}

BOOST_AUTO_TEST_CASE(a_change_of_keys_is_told_from_other_changes)
{
  std::vector<Organisation> before{ { .m_name = "a", .m_keys = { "1", "2" } } };
  std::vector<Organisation> same{ { .m_name = "a", .m_keys = { "2", "1" } } };
  same[0].m_limit.m_perSecond = 7;
  std::vector<Organisation> less{ { .m_name = "a", .m_keys = { "1" } } };
  std::vector<Organisation> moved{ { .m_name = "a", .m_keys = { "1" } },
                                   { .m_name = "b", .m_keys = { "2" } } };
  OrganisationTable table(before);
  BOOST_TEST(table.HasSameKeys(OrganisationTable(same)));
  BOOST_TEST(!table.HasSameKeys(OrganisationTable(less)));
  BOOST_TEST(!table.HasSameKeys(OrganisationTable(moved)));
}

BOOST_AUTO_TEST_CASE(no_drawn_sequence_passes_a_request_after_the_bound)
{
  BOOST_TEST(rc::check("a withdrawn key ends in time", [] {
    Fleet fleet;
    auto steps = *rc::gen::inRange(50, 400);
    for (int i = 0; i < steps; ++i) {
      // Most steps are short, some are suspensions or outages.
      int longest = *rc::gen::element(50, 400, 400, 9'000);
      fleet.m_now += std::chrono::milliseconds(*rc::gen::inRange(0, longest));
      // Also a VM to which nothing happens must have closed in time.
      RC_ASSERT(fleet.IsSafe());
      int event = *rc::gen::weightedOneOf<int>(
        { { 20, rc::gen::inRange(0, 7) }, { 1, rc::gen::just(7) } });
      fleet.Step(event,
                 *rc::gen::inRange<std::size_t>(0, fleet.m_vms.size()),
                 *rc::gen::inRange<std::size_t>(0, fleet.m_vms.size()));
      RC_ASSERT(fleet.IsSafe());
    }
  }));
}

BOOST_AUTO_TEST_CASE(a_vm_in_touch_serves_and_one_out_of_touch_closes)
{
  ConfigProof proof(kRevoke, kChangesWithin);
  BOOST_TEST(!proof.MayServe(At(0ms)));
  BOOST_TEST(proof.WantsPeers(At(0ms)));
  // Watches that nothing ends, as in an idle fleet.
  for (auto began = 0ms; began < 60'000ms; began += 2'300ms) {
    proof.OnSource(At(began));
    BOOST_TEST(proof.MayServe(At(began + 2'300ms + 1'500ms)));
  }
  ConfigProof silent(kRevoke, kChangesWithin);
  silent.OnSource(At(0ms));
  BOOST_TEST(silent.MayServe(At(kRevoke - kRevokeMargin)));
  BOOST_TEST(!silent.MayServe(At(kRevoke - kRevokeMargin + 1ms)));
  // A peer's proof is as old as the peer says, from the begin of the call.
  silent.OnPeer(At(9'000ms), 1'000ms);
  BOOST_TEST(silent.MayServe(At(8'000ms + kRevoke - kRevokeMargin)));
  BOOST_TEST(!silent.MayServe(At(8'000ms + kRevoke - kRevokeMargin + 1ms)));
  silent.OnPeer(At(9'500ms), -1'000'000ms);
  BOOST_TEST(!silent.MayServe(At(8'000ms + kRevoke)));
}

BOOST_AUTO_TEST_CASE(an_unknown_key_is_refused_only_with_a_recent_proof)
{
  for (auto revoke :
       { std::optional<Duration>(), std::optional<Duration>(5s) }) {
    for (auto [within, most] :
         { std::pair(4'000ms, 3'000ms), std::pair(2'000ms, 1'500ms) }) {
      ConfigProof proof(revoke, within);
      BOOST_TEST(!proof.KnowsAllKeys(At(0ms)));
      proof.OnSource(At(0ms));
      BOOST_TEST(proof.KnowsAllKeys(At(most)));
      BOOST_TEST(!proof.KnowsAllKeys(At(most + 1ms)));
    }
  }
  ConfigProof open{ std::nullopt, kChangesWithin };
  BOOST_TEST(open.MayServe(At(0ms)));
  BOOST_TEST(!open.WantsPeers(At(0ms)));
}

BOOST_AUTO_TEST_CASE(a_vm_that_was_closed_waits_for_peers_in_a_new_era)
{
  ConfigProof proof(kRevoke, kChangesWithin);
  proof.OnSource(At(0ms));
  proof.OnSource(At(3'000ms));
  BOOST_TEST(!proof.WantsPeers(At(3'000ms)));
  proof.OnNewEra(At(3'000ms));
  BOOST_TEST(proof.MayServe(At(3'000ms)));
  BOOST_TEST(proof.WantsPeers(At(3'000ms)));
  // The source came back older while this VM was cut off.
  proof.OnNewEra(At(20'000ms));
  proof.OnSource(At(20'000ms));
  BOOST_TEST(!proof.MayServe(At(20'000ms)));
  BOOST_TEST(proof.MayServe(At(20'000ms + kEraSettleTime)));
}
