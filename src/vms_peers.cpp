/// Keeps the list of other VMs to exchange gossip with.

#include "config.h"
#include "shallotford/vms.h"

#include <algorithm>

namespace shallotford {

PeerList::PeerList(std::string aSelf, const std::vector<std::string>& aSeeds)
  : m_self(std::move(aSelf))
{
  for (const std::string& seed : aSeeds) {
    AddSeed(seed);
  }
}

void
PeerList::AddSeed(const std::string& aAddress)
{
  if (aAddress != m_self) {
    m_peers[aAddress].m_seed = true;
  }
}

void
PeerList::OnContact(const std::string& aAddress, TimePoint aNow)
{
  OnContactReported(aAddress, Duration::zero(), aNow);
  if (auto peer = m_peers.find(aAddress); peer != m_peers.end()) {
    peer->second.m_skipUntil = {};
  }
}

void
PeerList::OnContactReported(const std::string& aAddress,
                            Duration aAge,
                            TimePoint aNow)
{
  if (aAddress == m_self || aAge > kPeerRetention) {
    return;
  }
  Peer& peer = m_peers[aAddress];
  TimePoint contact = aNow - aAge;
  if (!peer.m_lastContact || *peer.m_lastContact < contact) {
    peer.m_lastContact = contact;
  }
}

void
PeerList::OnUnreachable(const std::string& aAddress, TimePoint aNow)
{
  if (auto peer = m_peers.find(aAddress); peer != m_peers.end()) {
    peer->second.m_skipUntil = aNow + kFailedPeerPause;
  }
}

std::string
PeerList::Next(RandomI& aRandom, TimePoint aNow)
{
  std::vector<const std::string*> choices;
  for (auto peer = m_peers.begin(); peer != m_peers.end();) {
    const Peer& known = peer->second;
    bool expired =
      !known.m_seed &&
      (!known.m_lastContact || aNow - *known.m_lastContact > kPeerRetention);
    if (expired) {
      peer = m_peers.erase(peer);
      continue;
    }
    if (aNow >= known.m_skipUntil) {
      choices.push_back(&peer->first);
    }
    ++peer;
  }
  return choices.empty() ? std::string()
                         : *choices[aRandom.Below(choices.size())];
}

std::size_t
PeerList::LiveCount(TimePoint aNow) const
{
  return CountContacts(kPeerLiveTime, aNow);
}

std::size_t
PeerList::KnownCount(TimePoint aNow) const
{
  return CountContacts(kPeerRetention, aNow);
}

std::size_t
PeerList::CountContacts(Duration aMaxAge, TimePoint aNow) const
{
  std::size_t count = 1;
  for (const auto& [address, peer] : m_peers) {
    bool counts = peer.m_lastContact && aNow - *peer.m_lastContact < aMaxAge;
    count += counts ? 1 : 0;
  }
  return count;
}

std::string
PeerList::Owner(std::string_view aKey, TimePoint aNow) const
{
  std::uint64_t seed = StableHash(aKey);
  std::pair best(StableHash(m_self, seed), m_self);
  for (const auto& [address, peer] : m_peers) {
    bool live =
      peer.m_lastContact && aNow - *peer.m_lastContact < kPeerLiveTime;
    if (live) {
      best = std::min(best, std::pair(StableHash(address, seed), address));
    }
  }
  return best.second;
}

std::vector<std::string>
PeerList::Reachable(TimePoint aNow) const
{
  std::vector<std::string> reachable;
  for (const auto& [address, peer] : m_peers) {
    bool recent =
      peer.m_lastContact && aNow - *peer.m_lastContact < kPeerLiveTime;
    if (peer.m_seed || recent) {
      reachable.push_back(address);
    }
  }
  return reachable;
}

std::vector<std::string>
PeerList::Closest(std::string_view aKey,
                  std::size_t aCount,
                  TimePoint aNow) const
{
  std::uint64_t seed = StableHash(aKey);
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (std::string& address : Reachable(aNow)) {
    std::uint64_t rank = StableHash(address, seed);
    ranked.emplace_back(rank, std::move(address));
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> closest;
  for (std::size_t i = 0; i < std::min(aCount, ranked.size()); ++i) {
    closest.push_back(std::move(ranked[i].second));
  }
  return closest;
}

std::vector<std::pair<std::string, Duration>>
PeerList::ContactAges(TimePoint aNow) const
{
  std::vector<std::pair<std::string, Duration>> ages;
  for (const auto& [address, peer] : m_peers) {
    if (peer.m_lastContact && aNow - *peer.m_lastContact < kPeerLiveTime) {
      ages.emplace_back(address, aNow - *peer.m_lastContact);
    }
  }
  return ages;
}

} // namespace shallotford
