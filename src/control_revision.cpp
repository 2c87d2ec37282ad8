/// Decides which fleet text (configuration revision) is in force on this VM,
/// and when a booting VM may serve.

#include "shallotford/control/revision.h"

#include "config.h"

#include <algorithm>

namespace shallotford {

namespace {

RevisionName
NameOf(const FleetText& aFleet)
{
  return { aFleet.m_revision, aFleet.m_fingerprint };
}

} // namespace

std::string_view
ToString(AcceptResult aResult)
{
  switch (aResult) {
    case AcceptResult::Accepted:
      return "accepted";
    case AcceptResult::Same:
      return "same";
    case AcceptResult::Older:
      return "older";
    case AcceptResult::Conflict:
      return "conflict";
    case AcceptResult::Invalid:
      break;
  }
  return "invalid";
}

RevisionName
RevisionStore::CurrentName() const
{
  return m_current ? NameOf(*m_current) : RevisionName{};
}

OfferStatus
RevisionStore::CompareOffer(const RevisionName& aOffer) const
{
  RevisionName ours = CurrentName();
  if (aOffer.m_revision > ours.m_revision) {
    return OfferStatus::Newer;
  }
  if (aOffer.m_revision < ours.m_revision) {
    return OfferStatus::Older;
  }
  return aOffer.m_fingerprint == ours.m_fingerprint ? OfferStatus::Same
                                                    : OfferStatus::Conflict;
}

void
RevisionStore::RecordConflict(const RevisionName& aOffer,
                              const std::string& aSource)
{
  if (CompareOffer(aOffer) != OfferStatus::Conflict ||
      m_conflicts.size() >= kMaxConflictsKept) {
    return;
  }
  bool known = std::any_of(m_conflicts.begin(),
                           m_conflicts.end(),
                           [&](const RevisionConflict& aConflict) {
                             return aConflict.m_theirs == aOffer;
                           });
  if (!known) {
    m_conflicts.push_back({ CurrentName(), aOffer, aSource });
  }
}

AcceptOutcome
RevisionStore::Accept(const std::string& aText,
                      const std::string& aSource,
                      const std::string& aPlatformVersion)
{
  if (m_current && aText == m_current->m_text) {
    // A platform may show the same text again under another version, for
    // example when its answers alternate between old and new data.
    if (!aPlatformVersion.empty()) {
      m_platformVersion = aPlatformVersion;
    }
    return { AcceptResult::Same, "" };
  }
  FleetPtr fleet;
  try {
    fleet = ParseFleetText(aText, "fleet text from " + aSource);
  } catch (const Error& error) {
    return { AcceptResult::Invalid,
             std::string(error.what()) + " " + error.Remedy() };
  }
  std::string revision = "revision " + std::to_string(fleet->m_revision);
  switch (CompareOffer(NameOf(*fleet))) {
    case OfferStatus::Older:
      return { AcceptResult::Older, revision + " is not newer than ours" };
    case OfferStatus::Conflict:
      RecordConflict(NameOf(*fleet), aSource);
      return { AcceptResult::Conflict,
               revision + " has other content than the text in force; "
                          "publish the wanted text under a higher revision" };
    case OfferStatus::Same:
      return { AcceptResult::Same, "" };
    case OfferStatus::Newer:
      break;
  }
  m_current = fleet;
  m_platformVersion = aPlatformVersion;
  m_conflicts.clear();
  m_kept.push_back({ fleet->m_fingerprint, fleet->m_text });
  if (m_kept.size() > kMaxKeptFleetTexts) {
    m_kept.pop_front();
  }
  return { AcceptResult::Accepted, "" };
}

AcceptOutcome
RevisionStore::Accept(const TextTransfer& aTransfer, const std::string& aSource)
{
  std::string text;
  if (aTransfer.m_base.empty()) {
    text = aTransfer.m_content.asString();
  } else {
    const KeptText* base = FindKept(aTransfer.m_base);
    if (base == nullptr) {
      return { AcceptResult::Invalid,
               "the base text of the difference isn't kept here" };
    }
    try {
      text = ApplyTextDelta(base->m_text, aTransfer.m_content);
    } catch (const Error& error) {
      return { AcceptResult::Invalid, error.what() };
    }
  }
  if (Fingerprint(text) != aTransfer.m_name.m_fingerprint) {
    return { AcceptResult::Invalid,
             "the text doesn't have the stated fingerprint" };
  }
  return Accept(text, aSource, aTransfer.m_platformVersion);
}

TextTransfer
RevisionStore::TransferFor(const RevisionName& aHave) const
{
  if (!m_current) {
    throw Error(
      ErrorKind::NotReady, "this VM has no fleet text yet", "Ask another VM.");
  }
  TextTransfer transfer;
  transfer.m_name = CurrentName();
  transfer.m_platformVersion = m_platformVersion;
  if (const KeptText* base = FindKept(aHave.m_fingerprint)) {
    transfer.m_base = base->m_fingerprint;
    transfer.m_content = MakeTextDelta(base->m_text, m_current->m_text);
  } else {
    transfer.m_content = m_current->m_text;
  }
  return transfer;
}

const RevisionStore::KeptText*
RevisionStore::FindKept(const std::string& aFingerprint) const
{
  for (const KeptText& kept : m_kept) {
    if (kept.m_fingerprint == aFingerprint) {
      return &kept;
    }
  }
  return nullptr;
}

void
ReadinessGate::SetListed(const std::vector<std::string>& aOtherVms)
{
  m_listKnown = true;
  m_listedPeers = { aOtherVms.begin(), aOtherVms.end() };
}

void
ReadinessGate::OnPeerAnswer(const std::string& aPeer, const RevisionName& aHas)
{
  m_answers[aPeer] = aHas.m_revision;
}

void
ReadinessGate::OnPlatformAnswer(TimePoint aNow, bool aProvenFresh)
{
  if (aProvenFresh) {
    m_freshAt = aNow;
  }
}

bool
ReadinessGate::IsReady(TimePoint aNow, const RevisionName& aCurrent)
{
  if (m_ready || !m_listKnown || aCurrent.m_revision == 0) {
    return m_ready;
  }
  std::size_t answers = 0;
  for (const auto& [peer, revision] : m_answers) {
    if (!m_listedPeers.contains(peer)) {
      continue;
    }
    if (revision > aCurrent.m_revision) {
      return false; // the newer text must be fetched first
    }
    ++answers;
  }
  bool platformFresh = m_freshAt && aNow - *m_freshAt <= kMaxPlatformFreshAge;
  m_ready = answers >= std::min(kMinPeersForReadiness, m_listedPeers.size()) ||
            platformFresh;
  return m_ready;
}

} // namespace shallotford
