/// Keys of organisations, and how far the configuration that holds them is
/// proven to be the newest.

#include "config.h"
#include "shallotford/organisation.h"

#include <algorithm>
#include <openssl/sha.h>

namespace shallotford {

OrganisationTable::OrganisationTable(
  const std::vector<Organisation>& aOrganisations)
{
  for (const Organisation& organisation : aOrganisations) {
    m_byName.emplace(organisation.m_name, &organisation);
    for (const std::string& key : organisation.m_keys) {
      m_byDigest.emplace(DigestOf(key), &organisation);
    }
  }
}

OrganisationTable::Digest
OrganisationTable::DigestOf(std::string_view aKey)
{
  Digest digest{};
  ::SHA256(reinterpret_cast<const unsigned char*>(aKey.data()),
           aKey.size(),
           digest.data());
  return digest;
}

const Organisation*
OrganisationTable::FindByKey(std::string_view aKey) const
{
  auto found = m_byDigest.find(DigestOf(aKey));
  return found == m_byDigest.end() ? nullptr : found->second;
}

const Organisation*
OrganisationTable::FindByName(std::string_view aName) const
{
  auto found = m_byName.find(aName);
  return found == m_byName.end() ? nullptr : found->second;
}

bool
OrganisationTable::HasSameKeys(const OrganisationTable& aOther) const
{
  return std::equal(m_byName.begin(),
                    m_byName.end(),
                    aOther.m_byName.begin(),
                    aOther.m_byName.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.first == aRight.first;
                    }) &&
         std::equal(m_byDigest.begin(),
                    m_byDigest.end(),
                    aOther.m_byDigest.begin(),
                    aOther.m_byDigest.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.first == aRight.first &&
                             aLeft.second->m_name == aRight.second->m_name;
                    });
}

// ----------------------------------------------------------------- proof

ConfigProof::ConfigProof(std::optional<Duration> aRevoke,
                         Duration aChangesWithin)
  : m_revoke(aRevoke)
  , m_changesWithin(aChangesWithin)
{
}

void
ConfigProof::Advance(BootTime aProven)
{
  if (!m_proven) {
    m_settledFrom = aProven + kEraSettleTime;
  }
  m_proven = std::max(m_proven.value_or(aProven), aProven);
}

void
ConfigProof::OnSource(BootTime aCallBegan)
{
  Advance(aCallBegan);
}

void
ConfigProof::OnPeer(BootTime aCallBegan, Duration aPeerAge)
{
  if (aPeerAge >= Duration::zero()) {
    Advance(aCallBegan - aPeerAge);
  }
}

void
ConfigProof::OnNewEra(BootTime aNow)
{
  m_settledFrom = aNow + kEraSettleTime;
  if (!MayServe(aNow)) {
    m_heldUntil = m_settledFrom;
  }
}

std::optional<Duration>
ConfigProof::Age(BootTime aNow) const
{
  return m_proven ? std::optional(aNow - *m_proven) : std::nullopt;
}

bool
ConfigProof::MayServe(BootTime aNow) const
{
  if (!m_revoke) {
    return true;
  }
  std::optional<Duration> age = Age(aNow);
  return age && *age <= *m_revoke - kRevokeMargin && aNow >= m_heldUntil;
}

bool
ConfigProof::KnowsAllKeys(BootTime aNow) const
{
  std::optional<Duration> age = Age(aNow);
  return age && *age <= kKeyListAgeShare * m_changesWithin;
}

bool
ConfigProof::WantsPeers(BootTime aNow) const
{
  std::optional<Duration> age = Age(aNow);
  return m_revoke &&
         (!age || *age > *m_revoke / kPeerProofShare || aNow < m_settledFrom);
}

} // namespace shallotford
