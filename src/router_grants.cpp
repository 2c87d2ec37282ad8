/// OrganisationGrants: limits in force, and admission from leases.

#include "router_grants.h"

#include "config.h"

#include <array>

namespace shallotford {

namespace {

/// Returns a name that may stand in a metric's label.
std::string
LabelOf(std::string aName)
{
  for (char& character : aName) {
    bool isPlain = character != '"' && character != '\\' && character != '\n';
    character = isPlain ? character : '_';
  }
  return "organisation=\"" + aName + "\"";
}

} // namespace

OrganisationGrants::OrganisationGrants(const OrganisationGrantsParts& aParts)
  : m_parts(aParts)
  , m_issuer(aParts.m_loop.Now() + kGrantHoldOff)
{
}

OrganisationGrants::~OrganisationGrants()
{
  m_parts.m_loop.CancelTimer(m_startTimer);
}

// ---------------------------------------------------------- configuration

void
OrganisationGrants::SetLimits(const std::vector<Organisation>& aOrganisations)
{
  std::map<std::string, RateLimit> limits;
  for (const Organisation& organisation : aOrganisations) {
    if (organisation.m_limit.m_perSecond > 0) {
      limits[organisation.m_name] = organisation.m_limit;
    }
  }
  bool isFirst = !std::exchange(m_configured, true);
  auto log = [&](const std::string& aName, double aPerSecond, double aBurst) {
    if (!isFirst) {
      m_parts.m_log.Write(LogEvent("organisation_limit")
                            .Add("organisation", aName)
                            .Add("per_second", std::to_string(aPerSecond))
                            .Add("burst", std::to_string(aBurst)));
    }
  };
  for (auto state = m_states.begin(); state != m_states.end();) {
    if (limits.contains(state->first)) {
      ++state;
      continue;
    }
    log(state->first, 0, 0);
    std::vector<Waiting> waiting = std::move(state->second.m_waiting);
    m_wanting.erase(state->first);
    state = m_states.erase(state);
    for (const Waiting& request : waiting) {
      request.m_done({ .m_granted = true });
    }
  }
  for (const auto& [name, limit] : limits) {
    std::uint64_t salt = StableHash(m_parts.m_peers.Self(), StableHash(name));
    State& state =
      m_states
        .try_emplace(name, State{ .m_limit = {}, .m_lease = LimitLease(salt) })
        .first->second;
    if (state.m_limit != limit) {
      state.m_limit = limit;
      log(name, limit.m_perSecond, limit.m_burst);
    }
  }
}

OrganisationGrants::State*
OrganisationGrants::Find(const std::string& aOrganisation)
{
  auto found = m_states.find(aOrganisation);
  return found == m_states.end() ? nullptr : &found->second;
}

std::string
OrganisationGrants::OwnerOf(const std::string& aOrganisation) const
{
  return m_parts.m_peers.Owner("limit of " + aOrganisation,
                               m_parts.m_loop.Now());
}

FleetView
OrganisationGrants::View()
{
  TimePoint now = m_parts.m_loop.Now();
  return { .m_live = m_parts.m_peers.LiveCount(now),
           .m_known = m_known.Note(m_parts.m_peers.KnownCount(now), now) };
}

// -------------------------------------------------------------- admission

void
OrganisationGrants::CheckPause()
{
  if (m_parts.m_wasPaused && m_parts.m_wasPaused()) {
    OnPause();
  }
}

void
OrganisationGrants::OnPause()
{
  m_issuer.Reset(m_parts.m_loop.Now() + kGrantHoldOff);
  for (auto& [name, state] : m_states) {
    state.m_lease.OnPause();
  }
}

void
OrganisationGrants::Acquire(const std::string& aOrganisation,
                            double aCost,
                            Done aDone)
{
  State* state = Find(aOrganisation);
  if (state == nullptr) {
    aDone({ .m_granted = true });
    return;
  }
  CheckPause();
  TimePoint now = m_parts.m_loop.Now();
  state->m_asked += aCost;
  state->m_lease.OnDemand(aCost, now);
  FleetView view = View();
  view.m_known = std::max(view.m_known, m_parts.m_minVms);
  auto verdict = state->m_lease.Take(aCost, state->m_limit, view, now);
  if (verdict == LimitLease::Verdict::Ask) {
    state->m_waiting.push_back({ aCost, std::move(aDone) });
    m_wanting.insert(aOrganisation);
  } else {
    if (state->m_lease.WantsToAsk(now)) {
      m_wanting.insert(aOrganisation);
    }
    Answer(aOrganisation,
           { aCost, std::move(aDone) },
           verdict == LimitLease::Verdict::Granted);
  }
  StartCalls();
}

void
OrganisationGrants::Answer(const std::string& aOrganisation,
                           const Waiting& aWaiting,
                           bool aGranted)
{
  Result result{ .m_granted = aGranted };
  if (State* state = Find(aOrganisation)) {
    if (aGranted) {
      state->m_granted += aWaiting.m_cost;
    } else {
      result.m_retryAfter = state->m_lease.RetryAfter(m_parts.m_loop.Now());
      NoteRefusal(aOrganisation, *state);
      state->m_refused += aWaiting.m_cost;
      state->m_lease.OnRefused(aWaiting.m_cost);
    }
  }
  // The request's own events may change m_states.
  if (!aWaiting.m_done(result) && aGranted) {
    GiveBack(aOrganisation, aWaiting.m_cost);
  }
}

void
OrganisationGrants::GiveBack(const std::string& aOrganisation, double aCost)
{
  if (State* state = Find(aOrganisation)) {
    state->m_granted -= aCost;
    state->m_lease.GiveBack(aCost, m_parts.m_loop.Now());
  }
}

void
OrganisationGrants::NoteRefusal(const std::string& aOrganisation, State& aState)
{
  TimePoint now = m_parts.m_loop.Now();
  aState.m_refusedAt = now;
  if (aState.m_refusing || now - aState.m_loggedAt < kGrantLogPeriod) {
    return;
  }
  aState.m_refusing = true;
  aState.m_loggedAt = now;
  m_parts.m_log.Write(
    LogEvent("organisation_limited")
      .Add("organisation", aOrganisation)
      .Add("owner", OwnerOf(aOrganisation))
      .Add("alone", aState.m_lease.IsAlone(now) ? "yes" : "no"));
}

void
OrganisationGrants::CheckRefusalsEnd(const std::string& aOrganisation,
                                     State& aState)
{
  TimePoint now = m_parts.m_loop.Now();
  if (!aState.m_refusing || now - aState.m_refusedAt < kGrantLogPeriod) {
    return;
  }
  aState.m_refusing = false;
  aState.m_loggedAt = now;
  m_parts.m_log.Write(
    LogEvent("organisation_limited_ends").Add("organisation", aOrganisation));
}

void
OrganisationGrants::Expire()
{
  if (m_states.empty()) {
    return;
  }
  TimePoint now = m_parts.m_loop.Now();
  m_issuer.Expire(View(), now);
  std::erase_if(m_nextCallAt,
                [now](const auto& aNext) { return aNext.second <= now; });
  for (auto& [name, state] : m_states) {
    CheckRefusalsEnd(name, state);
    if (!state.m_asking && state.m_lease.WantsToAsk(now)) {
      m_wanting.insert(name);
    }
  }
  StartCalls();
}

void
OrganisationGrants::SetGauges()
{
  constexpr std::array<const char*, 5> kNames = {
    "organisation_asked_units",       "organisation_granted_units",
    "organisation_refused_units",     "organisation_share",
    "organisation_owner_age_seconds",
  };
  for (const char* name : kNames) {
    m_parts.m_metrics.Clear(name);
  }
  TimePoint now = m_parts.m_loop.Now();
  std::size_t shown = 0;
  for (const auto& [name, state] : m_states) {
    if (++shown > kMaxGrantMetrics) {
      break;
    }
    std::string label = LabelOf(name);
    auto set = [&](const char* aName, double aValue) {
      m_parts.m_metrics.Set(aName, label, aValue);
    };
    set("organisation_asked_units", state.m_asked);
    set("organisation_granted_units", state.m_granted);
    set("organisation_refused_units", state.m_refused);
    set("organisation_share", state.m_lease.Share(now));
    if (auto repliedAt = state.m_lease.RepliedAt()) {
      std::chrono::duration<double> age = now - *repliedAt;
      set("organisation_owner_age_seconds", age.count());
    }
  }
}

} // namespace shallotford
