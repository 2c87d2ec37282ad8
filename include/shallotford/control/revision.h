#ifndef SHALLOTFORD_CONTROL_REVISION_H
#define SHALLOTFORD_CONTROL_REVISION_H

/// Which fleet text is in force on this VM: the newest revision that any
/// source ever offered, for ever.

#include "shallotford/fleet.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shallotford {

/// Names one fleet text.
struct RevisionName
{
  std::uint64_t m_revision{ 0 }; ///< 0: none
  std::string m_fingerprint;

  auto operator<=>(const RevisionName&) const = default;
};

/// What to do with an offered revision.
enum class OfferStatus
{
  Newer,    ///< newer than ours
  Same,     ///< ours
  Older,    ///< the other side should fetch ours
  Conflict, ///< our revision with other content: refused
};

enum class AcceptResult
{
  Accepted, ///< now in force
  Same,
  Older,
  Conflict, ///< our revision with other content; ours stays
  Invalid,  ///< cut off or failing its checks; ours stays
};
std::string_view
ToString(AcceptResult aResult);

struct AcceptOutcome
{
  AcceptResult m_result{ AcceptResult::Invalid };
  std::string m_reason; ///< for operators; empty when accepted
};

/// Two contents under one revision. Routing goes on with ours; orders to
/// engines stop until an operator publishes a higher revision.
struct RevisionConflict
{
  RevisionName m_ours;
  RevisionName m_theirs;
  std::string m_source;
};

/// A text as one VM sends it to another: whole, or as the difference to a
/// text that the receiver has.
struct TextTransfer
{
  RevisionName m_name;
  std::string m_platformVersion; ///< where the sender knows it
  std::string m_base;            ///< fingerprint of the base; empty: whole
  Json::Value m_content;         ///< whole text, or see MakeTextDelta
};
/// JSON-RPC result of the "fleet_text" call, and back.
Json::Value
ToJson(const TextTransfer& aTransfer);
/// @throws Error (InvalidRequest) if aValue is malformed
TextTransfer
ParseTextTransfer(const Json::Value& aValue);

/// Returns the pieces that make aNew from aOld: [offset, length] copies from
/// aOld, a string is new text.
Json::Value
MakeTextDelta(const std::string& aOld, const std::string& aNew);
/// @throws Error (InvalidRequest) if aDelta doesn't fit aOld
std::string
ApplyTextDelta(const std::string& aOld, const Json::Value& aDelta);

/// Keeps the fleet text in force.
class RevisionStore
{
public:
  /// What to do with a revision that a peer's gossip names.
  OfferStatus CompareOffer(const RevisionName& aOffer) const;
  /// Notes a conflict that an offer showed.
  void RecordConflict(const RevisionName& aOffer, const std::string& aSource);

  /// Takes in a whole text.
  /// @param aSource          "platform" or a peer's address
  /// @param aPlatformVersion the platform's version of it, if known
  AcceptOutcome Accept(const std::string& aText,
                       const std::string& aSource,
                       const std::string& aPlatformVersion = "");
  /// Takes in a peer's answer. A difference to a text that we don't have, or
  /// one that doesn't give the named text, is Invalid: ask for the whole.
  AcceptOutcome Accept(const TextTransfer& aTransfer,
                       const std::string& aSource);
  /// Returns our text, as a difference if we know the asker's.
  /// @param aHave  what the asker has
  /// @throws Error (NotReady) if we have none
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

/// Decides when a booting VM may serve: once it has a text, and has compared
/// it with several listed peers or, where none answers, with a platform that
/// has proved fresh. Once ready it stays so.
class ReadinessGate
{
public:
  void SetListed(const std::vector<std::string>& aOtherVms);
  /// A listed peer answered, naming the revision that it has (0: none).
  void OnPeerAnswer(const std::string& aPeer, const RevisionName& aHas);
  /// The platform answered. @param aNews  it showed a version newer than
  /// another one that it showed since boot
  void OnPlatformAnswer(TimePoint aNow, bool aNews);
  bool IsReady(TimePoint aNow, const RevisionName& aCurrent);

private:
  bool m_ready{ false };
  bool m_listKnown{ false };
  std::set<std::string> m_others;
  std::map<std::string, std::uint64_t> m_answers; ///< revision by peer
  std::optional<TimePoint> m_freshAt;
};

} // namespace shallotford

#endif // SHALLOTFORD_CONTROL_REVISION_H
