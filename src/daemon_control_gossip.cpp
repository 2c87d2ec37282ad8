/// Runs the gossip exchanges with other VMs and passes the changes that they
/// bring on to the worker and to the other parts of the control task.

#include "config.h"
#include "daemon_control.h"

#include <algorithm>

namespace shallotford {

namespace {

constexpr const char* kDemandPrefix = "demand:";

} // namespace

GossipTask::GossipTask(ControlState& aState, ConfigSync& aConfig)
  : m_state(aState)
  , m_config(aConfig)
{
}

void
GossipTask::Start()
{
  Tick();
}

void
GossipTask::Tick()
{
  for (const GossipMessage& message :
       m_state.m_membership.Tick(m_state.Now())) {
    auto done = [this, peer = message.m_to](PeerResult aResult) {
      TimePoint now = m_state.Now();
      auto* value = std::get_if<Json::Value>(&aResult);
      if (value == nullptr) {
        m_state.m_membership.OnFailure(peer, now);
        return;
      }
      try {
        m_state.m_membership.OnResult(peer, *value, now);
        m_state.m_gate.OnPeerAnswer(
          peer, { .m_revision = (*value)["rev"].asUInt64() });
      } catch (const Error& error) {
        m_state.m_log.Write(LogEvent("gossip_refused", LogLevel::Warning)
                              .Add("vm", peer)
                              .Add("reason", error.what()));
      }
      ProcessChanges();
    };
    m_state.m_peer.Call(
      message.m_to, "gossip", message.m_params, std::move(done));
  }
  ProcessChanges();
  m_config.CheckReady();
  m_state.m_loop.RunAfter(kGossipTick, [this] { Tick(); });
}

Json::Value
GossipTask::OnCall(const Json::Value& aParams)
{
  try {
    Json::Value result = m_state.m_membership.OnCall(aParams, m_state.Now());
    ProcessChanges();
    return result;
  } catch (const Error& error) {
    if (error.Kind() == ErrorKind::Unauthenticated) {
      // The calling VM may be on a newer VM list than the one known here.
      m_config.OnHint();
    }
    throw;
  }
}

void
GossipTask::ProcessChanges()
{
  Membership& membership = m_state.m_membership;
  TimePoint now = m_state.Now();
  for (const RevisionOffer& offer : membership.TakeOffers()) {
    m_config.OnOffer(offer);
  }
  if (auto peer = membership.TakeListOffer()) {
    m_config.FetchList(*peer, membership.ListVersion());
  }
  for (const MembershipEvent& event : membership.TakeEvents(now)) {
    m_state.Audit(AuditKind::Membership,
                  event.m_vm,
                  std::string(ToString(event.m_kind)),
                  "gossip");
  }
  for (const Rumor& rumor : membership.TakeRumors()) {
    HandleRumor(rumor);
  }
  for (const std::string& digest : membership.TakeDigests()) {
    PeerUpdate update;
    update.m_poisonDigest = digest;
    m_state.m_toWorker(std::move(update));
  }
  SendMembership();
}

void
GossipTask::HandleRumor(const Rumor& aRumor)
{
  if (aRumor.m_kind == kRumorLeaving) {
    WallTime seen{ std::chrono::milliseconds{ aRumor.m_version } };
    bool leaving = aRumor.m_body == "leaving";
    if (m_state.m_leaving.OnAnswer(aRumor.m_id, leaving, seen)) {
      m_state.m_toWorker(UpstreamLeaving{
        aRumor.m_id, m_state.m_leaving.IsLeaving(aRumor.m_id) });
    }
    return;
  }
  if (aRumor.m_kind == kRumorSuccession) {
    m_state.m_successions.push_back({ .m_from = ParseVmIncarnation(aRumor.m_id),
                                      .m_successor = aRumor.m_body });
    m_state.m_toWorker(TicketSuccessions{ m_state.m_successions });
  }
}

void
GossipTask::SendMembership()
{
  std::vector<std::string> live = m_state.m_membership.Live(m_state.Now());
  if (live == m_sentLive) {
    return;
  }
  m_sentLive = live;
  MembershipView view;
  view.m_live = live;
  for (const MemberView& member : m_state.m_membership.Members(m_state.Now())) {
    view.m_listed.push_back(member.m_address);
  }
  m_state.m_toWorker(std::move(view));
}

void
GossipTask::OnReport(const WorkerReport& aReport)
{
  Membership& membership = m_state.m_membership;
  membership.SetDigest(aReport.m_poisonDigest);
  FleetPtr fleet = m_state.m_revisionStore.Current();
  if (!fleet) {
    return;
  }
  std::map<std::string, double> own;
  for (const CallerDemand& demand : aReport.m_demand) {
    own[demand.m_caller] = demand.m_tokensPerSecond;
  }
  PeerUpdate update;
  for (const CallerEntry& caller : fleet->m_callers) {
    std::string key = kDemandPrefix + caller.m_name;
    double mine = own[caller.m_name];
    membership.Averages().SetOwn(key, mine);
    double others = membership.Total(key, m_state.Now()) - mine;
    update.m_othersDemand.push_back(
      { .m_caller = caller.m_name,
        .m_tokensPerSecond = std::max(others, 0.0) });
  }
  m_state.m_toWorker(std::move(update));
}

void
GossipTask::OnLeaving(const UpstreamLeavingReport& aSeen)
{
  WallTime now = std::chrono::system_clock::now();
  if (!m_state.m_leaving.OnAnswer(aSeen.m_address, aSeen.m_leaving, now)) {
    return;
  }
  m_state.SpreadLeaving(aSeen.m_address, aSeen.m_leaving, now);
  m_state.Audit(AuditKind::Membership,
                aSeen.m_address,
                aSeen.m_leaving ? "upstream leaving" : "upstream back",
                "its own answer");
}

} // namespace shallotford
