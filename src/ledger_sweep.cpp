/// The sweeper: decides which of an engine's streams no VM needs any more.

#include "shallotford/ledger/sweep.h"

#include <algorithm>

namespace shallotford {

namespace {

/// Rounds that may be missed before this process counts as having been paused.
constexpr int kMaxMissedRounds = 4;

} // namespace

Sweeper::Sweeper(const SweepOptions& aOptions)
  : m_options(aOptions)
{
}

void
Sweeper::DetectOwnPause(TimePoint aNow)
{
  if (m_last && aNow - *m_last > m_options.m_period * kMaxMissedRounds) {
    m_timeoutsValidFrom = aNow + m_options.m_memberTimeout;
    m_candidates.clear();
  }
  m_last = aNow;
}

Sweeper::Owner
Sweeper::OwnerOf(const AttemptId& aStream,
                 const std::vector<SweepMember>& aMembers,
                 TimePoint aNow) const
{
  const VmIncarnation& vm = aStream.m_request.m_vm;
  auto member = std::find_if(
    aMembers.begin(), aMembers.end(), [&vm](const SweepMember& aMember) {
      return aMember.m_vm.m_address == vm.m_address;
    });
  if (member == aMembers.end()) {
    return Owner::Unknown;
  }
  bool unreachable = member->m_unansweredFor > m_options.m_memberTimeout &&
                     aNow >= m_timeoutsValidFrom;
  if (unreachable) {
    return Owner::Unreachable;
  }
  return member->m_vm == vm ? Owner::Live : Owner::Replaced;
}

bool
Sweeper::IsOrphaned(const HeldStream& aHeld,
                    const Candidate& aCandidate,
                    TimePoint aNow) const
{
  bool owned = std::any_of(aCandidate.m_answers.begin(),
                           aCandidate.m_answers.end(),
                           [](const auto& aAnswer) { return aAnswer.second; });
  if (owned) {
    return false;
  }
  Duration age = aNow - aCandidate.m_since;
  bool seenBefore = age > Duration{ 0 };
  bool allDisown =
    seenBefore && aCandidate.m_answers.size() == aCandidate.m_asked.size();
  const std::string& address = aHeld.m_stream.m_request.m_vm.m_address;
  bool ownerDisowns = aCandidate.m_answers.contains(address);

  switch (aCandidate.m_owner) {
    case Owner::Live:
      return ownerDisowns;
    case Owner::Replaced:
      if (!ownerDisowns) {
        return age >= m_options.m_memberTimeout;
      }
      return aHeld.m_attached ? allDisown || age >= m_options.m_memberTimeout
                              : age >= m_options.m_resumeGrace;
    case Owner::Unreachable:
      return !aHeld.m_attached || allDisown || age >= m_options.m_resumeGrace;
    case Owner::Unknown:
      break;
  }
  return age >= m_options.m_memberTimeout &&
         (!aHeld.m_attached || allDisown ||
          age >= m_options.m_memberTimeout + m_options.m_resumeGrace);
}

std::set<std::string>
Sweeper::VmsToAsk(const HeldStream& aHeld,
                  const Candidate& aCandidate,
                  const std::vector<SweepMember>& aMembers) const
{
  const std::string& owner = aHeld.m_stream.m_request.m_vm.m_address;
  if (aCandidate.m_owner == Owner::Live) {
    return { owner };
  }
  std::set<std::string> asked;
  if (aCandidate.m_owner == Owner::Replaced) {
    asked.insert(owner);
  }
  if (!aHeld.m_attached) {
    return asked;
  }
  for (const SweepMember& member : aMembers) {
    if (member.m_unansweredFor <= m_options.m_memberTimeout) {
      asked.insert(member.m_vm.m_address);
    }
  }
  return asked;
}

SweepPlan
Sweeper::Decide(const std::vector<HeldStream>& aStreams,
                const std::vector<SweepMember>& aMembers,
                TimePoint aNow)
{
  DetectOwnPause(aNow);
  ++m_round;
  SweepPlan plan;
  std::map<AttemptId, Candidate> candidates;
  std::map<std::string, std::vector<AttemptId>> questions;
  for (const HeldStream& held : aStreams) {
    if (candidates.size() >= m_options.m_maxTracked) {
      break;
    }
    Owner owner = OwnerOf(held.m_stream, aMembers, aNow);
    if (owner == Owner::Live && held.m_attached) {
      continue;
    }
    Candidate candidate{ .m_owner = owner, .m_since = aNow };
    auto known = m_candidates.find(held.m_stream);
    bool seen = known != m_candidates.end() && known->second.m_owner == owner;
    if (seen) {
      candidate = std::move(known->second);
    }
    if (IsOrphaned(held, candidate, aNow)) {
      plan.m_cancels.push_back(held.m_stream);
    }
    candidate.m_answers.clear();
    candidate.m_asked.clear();
    if (seen || owner != Owner::Live) {
      candidate.m_asked = VmsToAsk(held, candidate, aMembers);
    }
    for (const std::string& address : candidate.m_asked) {
      questions[address].push_back(held.m_stream);
    }
    candidates.emplace(held.m_stream, std::move(candidate));
  }
  m_candidates = std::move(candidates);
  for (auto& [address, streams] : questions) {
    plan.m_questions.push_back({ .m_address = address,
                                 .m_round = m_round,
                                 .m_streams = std::move(streams) });
  }
  return plan;
}

void
Sweeper::OnAnswer(const SweepAnswer& aAnswer)
{
  if (aAnswer.m_round != m_round) {
    return;
  }
  for (auto& [stream, candidate] : m_candidates) {
    if (candidate.m_asked.contains(aAnswer.m_vm.m_address)) {
      candidate.m_answers[aAnswer.m_vm.m_address] =
        aAnswer.m_owned.contains(stream);
    }
  }
}

} // namespace shallotford
