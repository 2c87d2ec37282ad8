/// The queue of cancels, which are repeated until the engine confirms them.

#include "shallotford/ledger/sweep.h"

#include <algorithm>

namespace shallotford {

CancelQueue::CancelQueue(const CancelOptions& aOptions)
  : m_options(aOptions)
{
}

void
CancelQueue::Add(std::string_view aUpstream,
                 const AttemptId& aStream,
                 TimePoint aNow)
{
  Key key{ aUpstream, aStream };
  if (m_entries.contains(key)) {
    return;
  }
  std::size_t& count = m_perUpstream[key.first];
  if (count >= m_options.m_maxPerUpstream) {
    ++m_dropped;
    return;
  }
  ++count;
  m_entries.emplace(key,
                    Entry{ .m_added = aNow,
                           .m_due = aNow,
                           .m_interval = m_options.m_firstRepeat });
  m_order.emplace(aNow, std::move(key));
}

void
CancelQueue::Erase(std::map<Key, Entry>::iterator aEntry)
{
  auto count = m_perUpstream.find(aEntry->first.first);
  if (--count->second == 0) {
    m_perUpstream.erase(count);
  }
  m_order.erase({ aEntry->second.m_due, aEntry->first });
  m_entries.erase(aEntry);
}

std::vector<CancelCall>
CancelQueue::Due(TimePoint aNow, std::size_t aLimit)
{
  std::vector<CancelCall> calls;
  while (!m_order.empty() && m_order.begin()->first <= aNow &&
         calls.size() < aLimit) {
    auto found = m_entries.find(m_order.begin()->second);
    Entry& entry = found->second;
    if (aNow - entry.m_added >= m_options.m_lifetime) {
      ++m_dropped;
      Erase(found);
      continue;
    }
    calls.push_back({ found->first.first, found->first.second });
    m_order.erase(m_order.begin());
    entry.m_due = aNow + entry.m_interval;
    entry.m_interval =
      std::min<Duration>(entry.m_interval * 2, m_options.m_maxRepeat);
    m_order.emplace(entry.m_due, found->first);
  }
  return calls;
}

void
CancelQueue::OnConfirmed(std::string_view aUpstream, const AttemptId& aStream)
{
  auto found = m_entries.find(Key{ aUpstream, aStream });
  if (found != m_entries.end()) {
    Erase(found);
  }
}

void
CancelQueue::OnUpstreamReset(std::string_view aUpstream)
{
  auto entry = m_entries.lower_bound(Key{ aUpstream, AttemptId{} });
  while (entry != m_entries.end() && entry->first.first == aUpstream) {
    auto next = std::next(entry);
    Erase(entry);
    entry = next;
  }
}

std::optional<TimePoint>
CancelQueue::NextDue() const
{
  if (m_order.empty()) {
    return std::nullopt;
  }
  return m_order.begin()->first;
}

std::size_t
CancelQueue::Size() const
{
  return m_entries.size();
}

} // namespace shallotford
