#ifndef SHALLOTFORD_SRC_ROUTER_KEYS_H
#define SHALLOTFORD_SRC_ROUTER_KEYS_H

/// Judges callers' keys by the configuration in force, and refuses requests
/// with keys while a withdrawal may not be known here.

#include "router_request.h"

namespace shallotford {

class KeyGate
{
public:
  struct Parts
  {
    const DialectI& m_dialect;
    LogI& m_log;
    Metrics& m_metrics;
  };

  /// @param aRevoke  see RouterOptions::m_revoke
  /// @param aChangesWithin  see RouterOptions::m_changesWithin
  KeyGate(const Parts& aParts,
          std::chrono::milliseconds aRevoke,
          std::chrono::milliseconds aChangesWithin);

  /// A configuration comes into force.
  void OnConfig(const RoutingPtr& aConfig);
  /// @return nullptr if a request on aRoute needs no key
  /// @throws Error (Unauthenticated) if the configuration doesn't allow the
  ///         caller's key, (NotReady) if that isn't certain
  const Organisation* Judge(const RequestHead& aHead,
                            const Route& aRoute) const;
  /// Finds the organisation that another VM has found by the caller's key.
  /// @return nullptr if a request on aRoute needs no key
  /// @throws Error (NotReady) if there is none of its name
  const Organisation* FindRelayed(const RelayFacts& aFacts,
                                  const Route& aRoute) const;

  /// The newest published configuration can't be read here: it may withdraw
  /// keys, so nothing proves the one in force until OnReadable().
  void OnUnreadable() { m_unreadable = true; }
  /// The newest published configuration is in force.
  void OnReadable() { m_unreadable = false; }
  /// See ConfigProof.
  void OnSource(BootTime aCallBegan);
  void OnPeer(BootTime aCallBegan, Duration aPeerAge);
  void OnNewEra() { m_proof.OnNewEra(BootNow()); }
  /// Returns whether keys are judged here and none is served for now.
  bool IsClosed() const;
  /// Returns whether keys are judged here and peers should be asked.
  bool WantsPeers() const;
  /// Adds the age of the proof to a message, if keys are judged here and the
  /// newest configuration is known.
  void AddProofAge(Json::Value& aMessage) const;
  /// Logs when requests with keys are refused for want of a proof, and when
  /// they are served again; sets the gauges.
  void Tick();

private:
  /// Returns whether the configuration in force asks for keys.
  bool JudgesKeys() const
  {
    return m_config != nullptr && m_config->NeedsKeys();
  }
  bool IsNeeded(const Route& aRoute) const
  {
    return JudgesKeys() && !aRoute.m_public;
  }
  [[noreturn]] void Refuse(ErrorKind aKind,
                           const std::string& aCause,
                           const std::string& aWhat) const;

  Parts m_parts;
  RoutingPtr m_config; ///< keeps the organisations of m_table alive
  OrganisationTable m_table;
  ConfigProof m_proof;
  bool m_unreadable{ false };
  bool m_closed{ false }; ///< as last logged
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_ROUTER_KEYS_H
