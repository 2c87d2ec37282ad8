#ifndef SHALLOTFORD_CONTROL_REVISION_H
#define SHALLOTFORD_CONTROL_REVISION_H

/// Configuration revisions: decides which fleet text, the configuration of the
/// fleet, is in force on this VM, sends it to other VMs, and decides when a
/// booting VM may serve. The text in force is the highest revision ever
/// received from the platform or a peer; a lower one never replaces it.

#include "shallotford/fleet.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shallotford {

/// Identifies one fleet text.
struct RevisionName
{
  std::uint64_t m_revision{ 0 }; ///< 0: none
  std::string m_fingerprint;

  auto operator<=>(const RevisionName&) const = default;
};

/// How an offered revision compares with the one in force.
enum class OfferStatus
{
  Newer,    ///< should be fetched
  Same,     ///< already in force
  Older,    ///< the sender should fetch ours
  Conflict, ///< our revision number with other content: refused
};

enum class AcceptResult
{
  Accepted, ///< now in force
  Same,
  Older,
  Conflict, ///< our revision number with other content; ours stays
  Invalid,  ///< truncated or failed its checks; ours stays
};
std::string_view
ToString(AcceptResult aResult);

struct AcceptOutcome
{
  AcceptResult m_result{ AcceptResult::Invalid };
  std::string m_reason; ///< for operators; empty when accepted
};

/// Two different contents under one revision number. Routing continues with
/// ours; orders to engines stop until an operator publishes a higher revision.
struct RevisionConflict
{
  RevisionName m_ours;
  RevisionName m_theirs;
  std::string m_source;
};

/// A fleet text as one VM sends it to another: whole, or as the difference from
/// a text that the receiver has.
struct TextTransfer
{
  RevisionName m_name;
  std::string m_platformVersion; ///< empty if the sender doesn't know it
  std::string m_base;            ///< fingerprint of the base; empty: whole
  Json::Value m_content;         ///< whole text, or result of MakeTextDelta
};
/// Converts to the JSON-RPC result of the "fleet_text" call.
Json::Value
ToJson(const TextTransfer& aTransfer);
/// @throws Error (InvalidRequest) if aValue is malformed
TextTransfer
ParseTextTransfer(const Json::Value& aValue);

/// Returns the array of pieces that make aNew from aOld: [offset, length]
/// copies that many bytes of aOld, a string is new text.
Json::Value
MakeTextDelta(const std::string& aOld, const std::string& aNew);
/// Returns the text that aDelta makes from aOld.
/// @throws Error (InvalidRequest) if aDelta doesn't fit aOld
std::string
ApplyTextDelta(const std::string& aOld, const Json::Value& aDelta);

/// Holds the fleet text in force and its predecessors, as bases of differences.
class RevisionStore
{
public:
  /// Compares a revision that a peer's gossip names with the one in force.
  OfferStatus CompareOffer(const RevisionName& aOffer) const;
  /// Records the conflict if aOffer conflicts with the text in force.
  void RecordConflict(const RevisionName& aOffer, const std::string& aSource);

  /// Puts a whole text in force if it is valid and newer.
  /// @param aSource          "platform" or a peer's address
  /// @param aPlatformVersion the platform's version of the text, if known
  AcceptOutcome Accept(const std::string& aText,
                       const std::string& aSource,
                       const std::string& aPlatformVersion = "");
  /// Puts a text from a peer in force if it is valid and newer. The result is
  /// Invalid if this VM doesn't have the base of a difference, or if the text
  /// doesn't have the stated fingerprint; the caller should then request the
  /// whole text.
  AcceptOutcome Accept(const TextTransfer& aTransfer,
                       const std::string& aSource);
  /// Returns the text in force, as a difference if the requester's text is kept
  /// here.
  /// @param aHave  the text that the requester has
  /// @throws Error (NotReady) if no text is in force
  TextTransfer TransferFor(const RevisionName& aHave) const;

  /// Returns the text in force, or nullptr.
  FleetPtr Current() const { return m_current; }
  RevisionName CurrentName() const;
  /// Returns the platform's version of the text in force, or "".
  const std::string& PlatformVersion() const { return m_platformVersion; }
  /// Returns conflicts with the revision in force.
  const std::vector<RevisionConflict>& Conflicts() const { return m_conflicts; }

private:
  struct KeptText
  {
    std::string m_fingerprint;
    std::string m_text;
  };

  const KeptText* FindKept(const std::string& aFingerprint) const;

  FleetPtr m_current;
  std::string m_platformVersion;
  std::deque<KeptText> m_kept; ///< newest last; bases of differences
  std::vector<RevisionConflict> m_conflicts;
};

/// Decides when a booting VM may serve: once it has a fleet text, no listed
/// peer has named a higher revision, and either enough listed peers have
/// answered or the platform has proved not to serve stale data. Once ready it
/// stays ready.
class ReadinessGate
{
public:
  void SetListed(const std::vector<std::string>& aOtherVms);
  /// Records the revision that a peer has (0: none).
  void OnPeerAnswer(const std::string& aPeer, const RevisionName& aHas);
  /// Records an answer of the platform.
  /// @param aProvenFresh  it showed a newer version than an earlier answer did
  ///                      since boot
  void OnPlatformAnswer(TimePoint aNow, bool aProvenFresh);
  bool IsReady(TimePoint aNow, const RevisionName& aCurrent);

private:
  bool m_ready{ false };
  bool m_listKnown{ false };
  std::set<std::string> m_listedPeers;
  std::map<std::string, std::uint64_t> m_answers; ///< revision by peer
  std::optional<TimePoint> m_freshAt;
};

} // namespace shallotford

#endif // SHALLOTFORD_CONTROL_REVISION_H
