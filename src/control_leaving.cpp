/// LeavingUpstreams: which upstreams are leaving and get no new work.

#include "shallotford/control/membership.h"

namespace shallotford {

void
LeavingUpstreams::SetListed(const std::set<std::string>& aLeaving)
{
  m_listed = aLeaving;
}

bool
LeavingUpstreams::OnAnswer(const std::string& aUpstream,
                           bool aLeaving,
                           WallTime aAnsweredAt)
{
  auto found = m_answers.find(aUpstream);
  if (found == m_answers.end()) {
    // An upstream without an entry counts as staying.
    if (!aLeaving) {
      return false;
    }
    m_answers[aUpstream] = { aLeaving, aAnsweredAt };
    return true;
  }
  Answer& known = found->second;
  if (aAnsweredAt <= known.m_answeredAt) {
    return false;
  }
  bool changed = known.m_leaving != aLeaving;
  known = { aLeaving, aAnsweredAt };
  return changed;
}

void
LeavingUpstreams::KeepOnly(const std::set<std::string>& aUpstreams)
{
  std::erase_if(m_answers, [&](const auto& aItem) {
    return !aUpstreams.contains(aItem.first);
  });
}

bool
LeavingUpstreams::IsLeaving(const std::string& aUpstream) const
{
  if (m_listed.contains(aUpstream)) {
    return true;
  }
  auto found = m_answers.find(aUpstream);
  return found != m_answers.end() && found->second.m_leaving;
}

std::set<std::string>
LeavingUpstreams::All() const
{
  std::set<std::string> all = m_listed;
  for (const auto& [upstream, answer] : m_answers) {
    if (answer.m_leaving) {
      all.insert(upstream);
    }
  }
  return all;
}

} // namespace shallotford
