/// Parses and checks the settings file of a daemon.

#include "fleet_reader.h"
#include "shallotford/fleet.h"

#include <array>

namespace shallotford {

namespace {

// Accepted values of the fields, both bounds included.
constexpr Range<std::uint64_t> kBodyBytes{ 1u << 10, 256u << 20 };
constexpr Range<std::uint64_t> kHeaderBytes{ 1u << 10, 1u << 20 };
constexpr Range<std::uint64_t> kConnections{ 1, 1u << 20 };
constexpr Range<std::uint64_t> kDescriptors{ 0, 1u << 20 };
constexpr Range<double> kMemoryMegabytes{ 0, 1u << 20 };
constexpr Range<std::uint64_t> kSendBufferBytes{ 4u << 10, 64u << 20 };
constexpr Range<std::uint64_t> kAuditEntries{ 1, 1'000'000 };

constexpr std::array<std::pair<std::string_view, LogLevel>, 4> kLogLevels{ {
  { "debug", LogLevel::Debug },
  { "info", LogLevel::Info },
  { "warning", LogLevel::Warning },
  { "error", LogLevel::Error },
} };

void
ReadSize(ObjectReader& aReader,
         const char* aField,
         std::size_t& aOut,
         Range<std::uint64_t> aRange)
{
  std::uint64_t number = aOut;
  aReader.Read(aField, number, aRange);
  aOut = static_cast<std::size_t>(number);
}

/// @param aPeers  the listener is for peers, so the certificate authority of
///                their certificates is required
void
ReadTls(ObjectReader& aReader, TlsSettings& aTls, bool aPeers)
{
  aReader.ReadObject("tls", [&](ObjectReader& aFiles) {
    aFiles.Read("certificate", aTls.m_certificate, Presence::Required);
    aFiles.Read("key", aTls.m_key, Presence::Required);
    if (aPeers) {
      aFiles.Read("authority", aTls.m_peerAuthority, Presence::Required);
    }
  });
}

void
ReadLimits(ObjectReader& aReader, Settings& aSettings)
{
  ReadSize(aReader, "max_body", aSettings.m_maxBody, kBodyBytes);
  ReadSize(aReader, "max_headers", aSettings.m_maxHeaders, kHeaderBytes);
  ReadSize(
    aReader, "max_connections", aSettings.m_maxConnections, kConnections);
  aReader.Read("memory_mb", aSettings.m_memory, kMemoryMegabytes);
  ReadSize(
    aReader, "max_descriptors", aSettings.m_maxDescriptors, kDescriptors);
  ReadSize(aReader, "send_buffer", aSettings.m_sendBuffer, kSendBufferBytes);
  ReadSize(aReader, "audit_entries", aSettings.m_auditEntries, kAuditEntries);
}

// Accepted values of the fields of "routing".
constexpr Range<double> kRetryRatio{ 0.0, 10.0 };
constexpr Range<double> kRetrySlack{ 0.0, 1e6 }; // extra sends
constexpr Range<double> kSeconds{ 0.1, 3600.0 };
constexpr Range<double> kHistorySeconds{ 0.0, 86'400.0 };
/// Above the margin that VMs keep.
constexpr Range<double> kRevokeMilliseconds{ 1'000.0, 3'600'000.0 };
constexpr Range<double> kHeartbeatMilliseconds{ 1.0, 3'600'000.0 };
constexpr Range<double> kChangesWithinMilliseconds{ 100.0, 3'600'000.0 };
constexpr Range<double> kTypicalTokens{ 0.0, 1e7 };

constexpr std::array<std::pair<std::string_view, AdaptiveChoice>, 3>
  kAdaptiveChoices{ {
    { "told", AdaptiveChoice::Told },
    { "always", AdaptiveChoice::Always },
    { "never", AdaptiveChoice::Never },
  } };

void
ReadRouting(ObjectReader& aReader, Settings& aSettings)
{
  RoutingSettings& routing = aSettings.m_routing.emplace();
  constexpr double kMillisecondsPerSecond = 1'000;
  double heartbeatMs = routing.m_heartbeat * kMillisecondsPerSecond;
  double changesMs = routing.m_changesWithin * kMillisecondsPerSecond;
  aReader.Read("seeds", routing.m_seeds);
  aReader.Read("failure_domains", routing.m_failureDomains);
  aReader.Read("retry_ratio", routing.m_retryRatio, kRetryRatio);
  aReader.Read("retry_slack", routing.m_retrySlack, kRetrySlack);
  aReader.Read("retry_window_s", routing.m_retryWindow, kSeconds);
  aReader.Read("drain_s", routing.m_drainTime, kSeconds);
  aReader.Read("history_s", routing.m_history, kHistorySeconds);
  double revokeMs = routing.m_revoke * kMillisecondsPerSecond;
  aReader.Read("revoke_ms", revokeMs, kRevokeMilliseconds);
  routing.m_revoke = revokeMs / kMillisecondsPerSecond;
  aReader.Read("heartbeat_ms", heartbeatMs, kHeartbeatMilliseconds);
  routing.m_heartbeat = heartbeatMs / kMillisecondsPerSecond;
  aReader.Read("changes_within_ms", changesMs, kChangesWithinMilliseconds);
  routing.m_changesWithin = changesMs / kMillisecondsPerSecond;
  aReader.Read("first_start", routing.m_firstStart);
  aReader.ReadChoice("adaptive", routing.m_adaptive, kAdaptiveChoices);
  aReader.Read(
    "typical_prompt_tokens", routing.m_typicalPrompt, kTypicalTokens);
  aReader.Read(
    "typical_output_tokens", routing.m_typicalOutput, kTypicalTokens);
}

/// Reads {"listen": ADDRESS, "tls": {...}}. If the object is missing, its
/// "listen" field is reported as missing.
/// @param aTls  nullptr if the listener has no TLS settings
void
ReadListener(CheckedDocument& aDocument,
             ObjectReader& aRoot,
             const char* aField,
             std::string& aAddress,
             TlsSettings* aTls,
             bool aPeers)
{
  aRoot.ReadObject(aField, [&](ObjectReader& aListener) {
    aListener.ReadAddress("listen", aAddress, Presence::Required);
    if (aTls != nullptr) {
      ReadTls(aListener, *aTls, aPeers);
    }
  });
  if (!aDocument.Root().isObject() || aDocument.Root().isMember(aField)) {
    return;
  }
  aDocument.AddProblem(std::string(aField) + ".listen",
                       "is missing",
                       "Add \"" + std::string(aField) +
                         "\": {\"listen\": \"IP:PORT\"}.");
}

/// Reports addresses that several listeners have in common. Port 0 may occur
/// several times, since the kernel then chooses a free port for each listener.
void
CheckDistinctAddresses(CheckedDocument& aDocument, const Settings& aSettings)
{
  const std::array<std::pair<const char*, const std::string*>, 5> kListeners{ {
    { "callers.listen", &aSettings.m_callerAddress },
    { "peers.listen", &aSettings.m_peerAddress },
    { "operators.listen", &aSettings.m_operatorAddress },
    { "metrics.listen", &aSettings.m_metricsAddress },
    { "relays.listen", &aSettings.m_relayAddress },
  } };
  for (std::size_t i = 1; i < kListeners.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      const std::string& address = *kListeners[i].second;
      if (address.empty() || address != *kListeners[j].second ||
          address.ends_with(":0")) {
        continue;
      }
      aDocument.AddProblem(kListeners[i].first,
                           "\"" + address + "\" is also the address of " +
                             kListeners[j].first,
                           "Give each listener a port of its own.");
    }
  }
}

} // namespace

Settings
ParseSettings(const std::string& aText, const std::string& aName)
{
  CheckedDocument document(aText, aName, UnknownFields::Refuse);
  ObjectReader root(document, document.Root(), "");
  Settings settings;
  ReadListener(document,
               root,
               "callers",
               settings.m_callerAddress,
               &settings.m_callerTls,
               false);
  ReadListener(
    document, root, "peers", settings.m_peerAddress, &settings.m_peerTls, true);
  ReadListener(
    document, root, "operators", settings.m_operatorAddress, nullptr, false);
  root.ReadAddress("platform", settings.m_platformAddress, Presence::Required);
  root.Read("region", settings.m_region, Presence::Required);
  root.Read("failure_domain", settings.m_failureDomain, Presence::Required);
  root.ReadChoice("log_level", settings.m_logLevel, kLogLevels);
  root.ReadObject(
    "limits", [&](ObjectReader& aLimits) { ReadLimits(aLimits, settings); });
  root.ReadObject("metrics", [&](ObjectReader& aMetrics) {
    aMetrics.ReadAddress(
      "listen", settings.m_metricsAddress, Presence::Required);
  });
  root.ReadObject("relays", [&](ObjectReader& aRelays) {
    aRelays.ReadAddress("listen", settings.m_relayAddress, Presence::Required);
  });
  root.ReadObject("routing", [&](ObjectReader& aRouting) {
    ReadRouting(aRouting, settings);
  });
  root.Finish();
  CheckDistinctAddresses(document, settings);
  document.ThrowIfProblems();
  return settings;
}

} // namespace shallotford
