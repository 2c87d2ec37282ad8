/// The sweeper: which of an engine's streams are held for nobody.

#include "shallotford/ledger/sweep.h"

#include <algorithm>

namespace shallotford {

namespace {

/// Rounds that may be missed before this process counts as having slept.
constexpr int kMissedRounds = 4;

} // namespace

Sweeper::Sweeper(const SweepOptions& aOptions)
  : m_options(aOptions)
{
}

void
Sweeper::NoticeOwnPause(TimePoint aNow)
{
  if (m_last && aNow - *m_last > m_options.m_period * kMissedRounds) {
    m_trustSilenceFrom = aNow + m_options.m_memberTimeout;
    m_suspects.clear();
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
  bool silent = member->m_unansweredFor > m_options.m_memberTimeout &&
                aNow >= m_trustSilenceFrom;
  if (silent) {
    return Owner::Silent;
  }
  return member->m_vm == vm ? Owner::Live : Owner::Replaced;
}

bool
Sweeper::IsGone(const HeldStream& aHeld,
                const Suspect& aSuspect,
                TimePoint aNow) const
{
  bool owned = std::any_of(aSuspect.m_answers.begin(),
                           aSuspect.m_answers.end(),
                           [](const auto& aAnswer) { return aAnswer.second; });
  if (owned) {
    return false;
  }
  Duration age = aNow - aSuspect.m_since;
  bool seenBefore = age > Duration{ 0 };
  bool allDisown =
    seenBefore && aSuspect.m_answers.size() == aSuspect.m_asked.size();
  const std::string& address = aHeld.m_stream.m_request.m_vm.m_address;
  bool ownerDisowns = aSuspect.m_answers.contains(address);

  switch (aSuspect.m_owner) {
    case Owner::Live:
      return ownerDisowns;
    case Owner::Replaced:
      if (!ownerDisowns) {
        return age >= m_options.m_memberTimeout;
      }
      return aHeld.m_attached ? allDisown || age >= m_options.m_memberTimeout
                              : age >= m_options.m_resumeGrace;
    case Owner::Silent:
      return !aHeld.m_attached || allDisown || age >= m_options.m_resumeGrace;
    case Owner::Unknown:
      break;
  }
  return age >= m_options.m_memberTimeout &&
         (!aHeld.m_attached || allDisown ||
          age >= m_options.m_memberTimeout + m_options.m_resumeGrace);
}

std::set<std::string>
Sweeper::WhomToAsk(const HeldStream& aHeld,
                   const Suspect& aSuspect,
                   const std::vector<SweepMember>& aMembers) const
{
  const std::string& owner = aHeld.m_stream.m_request.m_vm.m_address;
  if (aSuspect.m_owner == Owner::Live) {
    return { owner };
  }
  std::set<std::string> asked;
  if (aSuspect.m_owner == Owner::Replaced) {
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
  NoticeOwnPause(aNow);
  ++m_round;
  SweepPlan plan;
  std::map<AttemptId, Suspect> suspects;
  std::map<std::string, std::vector<AttemptId>> questions;
  for (const HeldStream& held : aStreams) {
    if (suspects.size() >= m_options.m_maxTracked) {
      break;
    }
    Owner owner = OwnerOf(held.m_stream, aMembers, aNow);
    if (owner == Owner::Live && held.m_attached) {
      continue;
    }
    Suspect suspect{ .m_owner = owner, .m_since = aNow };
    auto known = m_suspects.find(held.m_stream);
    bool seen = known != m_suspects.end() && known->second.m_owner == owner;
    if (seen) {
      suspect = std::move(known->second);
    }
    if (IsGone(held, suspect, aNow)) {
      plan.m_cancels.push_back(held.m_stream);
    }
    suspect.m_answers.clear();
    suspect.m_asked.clear();
    if (seen || owner != Owner::Live) {
      suspect.m_asked = WhomToAsk(held, suspect, aMembers);
    }
    for (const std::string& address : suspect.m_asked) {
      questions[address].push_back(held.m_stream);
    }
    suspects.emplace(held.m_stream, std::move(suspect));
  }
  m_suspects = std::move(suspects);
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
  for (auto& [stream, suspect] : m_suspects) {
    if (suspect.m_asked.contains(aAnswer.m_vm.m_address)) {
      suspect.m_answers[aAnswer.m_vm.m_address] =
        aAnswer.m_owned.contains(stream);
    }
  }
}

} // namespace shallotford
