/// Keeps the fleet text and the VM list up to date, from the platform and from
/// peers.

#include "config.h"
#include "daemon_control.h"

#include <charconv>

namespace shallotford {

namespace {

/// Returns the version of a VM list as a number, or 0 if it is not a number;
/// VMs don't pass such a list on to each other.
std::uint64_t
VersionNumber(const std::string& aVersion)
{
  std::uint64_t number = 0;
  const char* end = aVersion.data() + aVersion.size();
  auto [stop, error] = std::from_chars(aVersion.data(), end, number);
  return error == std::errc{} && stop == end ? number : 0;
}

} // namespace

ConfigSync::ConfigSync(ControlState& aState, RandomI& aRandom)
  : m_state(aState)
  , m_fleetSchedule(PlatformSchedule::Options{}, aRandom)
  , m_vmsSchedule(PlatformSchedule::Options{}, aRandom)
{
}

void
ConfigSync::Start()
{
  Tick();
}

void
ConfigSync::Tick()
{
  TimePoint now = m_state.Now();
  bool watches = m_duty.Watches(m_state.m_options.m_vm.m_address,
                                m_state.m_membership.Live(now),
                                m_state.m_membership.LastWatchAnswer(),
                                now,
                                std::chrono::system_clock::now());
  if (auto wait = m_vmsSchedule.Due(now, watches)) {
    RequestVms(*wait);
  }
  if (auto wait = m_fleetSchedule.Due(now, watches)) {
    RequestFleet(*wait);
  }
  m_state.m_loop.RunAfter(kPlatformTick, [this] { Tick(); });
}

void
ConfigSync::OnHint()
{
  m_vmsSchedule.OnHint(m_state.Now());
}

void
ConfigSync::RecordAnswer(PlatformSchedule& aSchedule,
                         std::chrono::milliseconds aWait,
                         PlatformAnswer aAnswer)
{
  TimePoint now = m_state.Now();
  aSchedule.OnAnswer(aAnswer, now);
  if (aWait.count() > 0 && aAnswer != PlatformAnswer::Failure) {
    m_state.m_membership.NoteWatchAnswer(now);
  }
}

void
ConfigSync::RequestFleet(std::chrono::milliseconds aWait)
{
  auto done = [this,
               aWait](std::variant<PlatformFleet, PlatformFailure> aResult) {
    auto* fleet = std::get_if<PlatformFleet>(&aResult);
    if (fleet == nullptr) {
      RecordAnswer(m_fleetSchedule, aWait, PlatformAnswer::Failure);
      return;
    }
    RecordAnswer(m_fleetSchedule,
                 aWait,
                 fleet->m_text ? PlatformAnswer::Changed
                               : PlatformAnswer::Unchanged);
    OnFleet(*fleet);
  };
  // The platform need not send a text again that a peer has passed on.
  const std::string& known = m_state.m_revisionStore.PlatformVersion();
  m_fleetCall = m_state.m_platform.WatchFleet(
    known.empty() ? m_fleetVersion : known, aWait, done);
}

void
ConfigSync::RequestVms(std::chrono::milliseconds aWait)
{
  auto done = [this,
               aWait](std::variant<PlatformVms, PlatformFailure> aResult) {
    auto* vms = std::get_if<PlatformVms>(&aResult);
    if (vms == nullptr) {
      RecordAnswer(m_vmsSchedule, aWait, PlatformAnswer::Failure);
      return;
    }
    RecordAnswer(m_vmsSchedule,
                 aWait,
                 vms->m_vms ? PlatformAnswer::Changed
                            : PlatformAnswer::Unchanged);
    if (vms->m_vms) {
      m_vmsVersion = vms->m_version;
      OnVms(*vms->m_vms);
    }
  };
  m_vmsCall = m_state.m_platform.WatchVms(m_vmsVersion, aWait, done);
}

void
ConfigSync::OnFleet(const PlatformFleet& aFleet)
{
  bool news =
    m_fleetAnswered && aFleet.m_text && aFleet.m_version != m_fleetVersion;
  m_fleetAnswered = true;
  m_state.m_gate.OnPlatformAnswer(m_state.Now(), news);
  if (aFleet.m_text) {
    m_fleetVersion = aFleet.m_version;
    RecordOutcome(m_state.m_revisionStore.Accept(
                    *aFleet.m_text, "platform", aFleet.m_version),
                  "platform");
  }
  CheckReady();
}

void
ConfigSync::OnVms(const std::vector<PlatformVm>& aVms)
{
  std::vector<ListedVm> entries;
  std::set<std::string> leaving;
  for (const PlatformVm& vm : aVms) {
    if (vm.m_kind == PlatformVmKind::Entry) {
      entries.push_back(
        { .m_address = vm.m_address, .m_leaving = vm.m_leaving });
    } else if (vm.m_leaving) {
      leaving.insert(vm.m_address);
    }
  }
  m_state.m_membership.SetListed(
    entries, m_state.Now(), VersionNumber(m_vmsVersion));
  UpdateReadinessPeers();
  SendListedLeaving(leaving);
  CheckReady();
}

void
ConfigSync::UpdateReadinessPeers()
{
  std::vector<std::string> others;
  for (const MemberView& member : m_state.m_membership.Members(m_state.Now())) {
    if (member.m_address != m_state.m_options.m_vm.m_address) {
      others.push_back(member.m_address);
    }
  }
  m_state.m_gate.SetListed(others);
}

/// Tells the worker which upstreams are leaving by the VM list, and spreads
/// those that are new, since not every VM watches the list.
void
ConfigSync::SendListedLeaving(const std::set<std::string>& aLeaving)
{
  LeavingUpstreams& known = m_state.m_leaving;
  std::set<std::string> before = known.All();
  known.SetListed(aLeaving);
  std::set<std::string> changed = known.All();
  changed.insert(before.begin(), before.end());
  WallTime now = std::chrono::system_clock::now();
  for (const std::string& upstream : changed) {
    bool leaving = known.IsLeaving(upstream);
    if (leaving && !before.contains(upstream)) {
      m_state.SpreadLeaving(upstream, true, now);
    }
    m_state.m_toWorker(UpstreamLeaving{ upstream, leaving });
  }
}

Json::Value
ConfigSync::OnVmList(const Json::Value& aParams) const
{
  return m_state.m_membership.ListFor(aParams["have"].asUInt64());
}

void
ConfigSync::FetchList(const std::string& aPeer, std::uint64_t aHave)
{
  Json::Value params(Json::objectValue);
  params["have"] = static_cast<Json::UInt64>(aHave);
  auto done = [this, aPeer, aHave](const PeerResult& aResult) {
    const auto* value = std::get_if<Json::Value>(&aResult);
    if (value == nullptr) {
      return;
    }
    try {
      bool fits = m_state.m_membership.AcceptList(*value, m_state.Now());
      if (!fits && aHave != 0) {
        FetchList(aPeer, 0);
        return;
      }
    } catch (const Error& error) {
      m_state.m_log.Write(LogEvent("vm_list_refused", LogLevel::Warning)
                            .Add("vm", aPeer)
                            .Add("reason", error.what()));
      return;
    }
    UpdateReadinessPeers();
    CheckReady();
  };
  m_state.m_peer.Call(aPeer, "vm_list", params, std::move(done));
}

void
ConfigSync::RecordOutcome(const AcceptOutcome& aOutcome,
                          const std::string& aSource)
{
  RevisionName name = m_state.m_revisionStore.CurrentName();
  if (aOutcome.m_result == AcceptResult::Accepted) {
    m_state.m_membership.SetRevision(name,
                                     m_state.m_revisionStore.PlatformVersion());
    m_state.m_toWorker(FleetInForce{ m_state.m_revisionStore.Current() });
    m_state.Audit(AuditKind::Configuration,
                  "fleet",
                  "revision " + std::to_string(name.m_revision) + " in force",
                  "from " + aSource);
    return;
  }
  bool alarming = aOutcome.m_result == AcceptResult::Conflict ||
                  aOutcome.m_result == AcceptResult::Invalid;
  if (alarming) {
    m_state.Audit(AuditKind::Configuration,
                  "fleet",
                  std::string(ToString(aOutcome.m_result)) + " text refused",
                  aOutcome.m_reason + " (from " + aSource + ")");
  }
}

void
ConfigSync::OnOffer(const RevisionOffer& aOffer)
{
  switch (m_state.m_revisionStore.CompareOffer(aOffer.m_name)) {
    case OfferStatus::Newer:
      FetchText(aOffer.m_peer, m_state.m_revisionStore.CurrentName());
      break;
    case OfferStatus::Conflict:
      m_state.m_revisionStore.RecordConflict(aOffer.m_name, aOffer.m_peer);
      break;
    case OfferStatus::Same:
    case OfferStatus::Older:
      break;
  }
  CheckReady();
}

void
ConfigSync::FetchText(const std::string& aPeer, const RevisionName& aHave)
{
  if (m_fetching) {
    return;
  }
  m_fetching = true;
  Json::Value params(Json::objectValue);
  params["revision"] = static_cast<Json::UInt64>(aHave.m_revision);
  params["fingerprint"] = aHave.m_fingerprint;
  auto done = [this, aPeer, whole = aHave.m_revision == 0](PeerResult aResult) {
    m_fetching = false;
    auto* value = std::get_if<Json::Value>(&aResult);
    if (value == nullptr) {
      return;
    }
    AcceptOutcome outcome;
    try {
      outcome =
        m_state.m_revisionStore.Accept(ParseTextTransfer(*value), aPeer);
    } catch (const Error& error) {
      outcome.m_reason = error.what();
    }
    if (outcome.m_result == AcceptResult::Invalid && !whole) {
      FetchText(aPeer, {});
      return;
    }
    RecordOutcome(outcome, aPeer);
    CheckReady();
  };
  m_state.m_peer.Call(aPeer, "fleet_text", params, std::move(done));
}

Json::Value
ConfigSync::OnFleetText(const Json::Value& aParams) const
{
  RevisionName have{ .m_revision = aParams["revision"].asUInt64(),
                     .m_fingerprint = aParams["fingerprint"].asString() };
  return ToJson(m_state.m_revisionStore.TransferFor(have));
}

void
ConfigSync::CheckReady()
{
  bool ready = m_state.m_gate.IsReady(m_state.Now(),
                                      m_state.m_revisionStore.CurrentName());
  if (ready == m_ready) {
    return;
  }
  m_ready = ready;
  m_state.m_log.Write(LogEvent(ready ? "ready" : "not_ready"));
  m_state.m_toWorker(PlatformReady{ ready });
}

} // namespace shallotford
