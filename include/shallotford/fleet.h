#ifndef SHALLOTFORD_FLEET_H
#define SHALLOTFORD_FLEET_H

/// The two configuration texts of a daemon: its settings file (one for each VM)
/// and the fleet text, in which operators describe regions, models, services
/// and callers for all VMs. Data types, and strict parsers whose errors name
/// line, field and remedy.

#include "shallotford/base.h"
#include "shallotford/capacity.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace shallotford {

/// Paths of a listener's TLS files, as written in the settings. All are empty
/// if the listener does not use TLS.
struct TlsSettings
{
  std::string m_certificate;
  std::string m_key;
  std::string m_peerAuthority; ///< CA that signs peers' certificates
};

/// Settings of a daemon that routes by host and path to published upstreams.
struct RoutingSettings
{
  std::vector<std::string> m_seeds; ///< peer addresses contacted first
  /// Region of each failure domain.
  std::map<std::string, std::string> m_failureDomains;
  double m_retryRatio{ 0.2 };   ///< extra sends per request of a service
  double m_retrySlack{ 10.0 };  ///< further extra sends, over all VMs
  double m_retryWindow{ 10.0 }; ///< seconds
  /// Longest time from the stop signal to the process's exit, in seconds.
  double m_drainTime{ 8.0 };
  /// Time for which the platform keeps the changes of what it publishes, in
  /// seconds; 0 if that isn't known.
  double m_history{ 0 };
  /// Seconds after which a withdrawn key of an organisation must not work at
  /// any VM, in touch or not; 0 if that isn't asked for.
  double m_revoke{ 0 };
  double m_heartbeat{ 1.2 }; ///< seconds between upstreams' heartbeats
  /// Time until a change that the platform publishes must be in force, in
  /// seconds. How often the platform is read follows from it.
  double m_changesWithin{ 2.5 };
  /// True when the whole system starts for the first time and has no requests
  /// yet.
  bool m_firstStart{ false };
  /// Mean tokens of a request's prompt and output. The engines' roles are set
  /// from them at the first start; if either is 0, the roles stay as they are.
  double m_typicalPrompt{ 0 };
  double m_typicalOutput{ 0 };
  /// For which services the choice of upstreams weighs their pace.
  AdaptiveChoice m_adaptive{ AdaptiveChoice::Told };
};

/// Settings of one daemon. Addresses are "IP:PORT".
struct Settings
{
  std::string m_callerAddress;   ///< "callers.listen"
  std::string m_peerAddress;     ///< "peers.listen"; identifies this VM
  std::string m_operatorAddress; ///< "operators.listen"
  std::string m_platformAddress; ///< "platform"
  std::string m_region;          ///< "region"
  std::string m_failureDomain;   ///< "failure_domain"
  LogLevel m_logLevel{ LogLevel::Info };
  std::size_t m_maxBody{ 4u << 20 };     ///< bytes
  std::size_t m_maxHeaders{ 16u << 10 }; ///< bytes
  std::size_t m_maxConnections{ 4096 };
  double m_memory{ 0 };              ///< of this VM, megabytes; 0 if not stated
  std::size_t m_maxDescriptors{ 0 }; ///< of this VM; 0 if not stated
  std::size_t m_sendBuffer{ 256u << 10 }; ///< bytes
  std::size_t m_auditEntries{ 10'000 };
  TlsSettings m_callerTls;
  TlsSettings m_peerTls;
  /// "metrics.listen"; if empty, only the operators' listener serves metrics.
  std::string m_metricsAddress;
  /// "relays.listen"; if empty, this VM takes no requests from other VMs.
  std::string m_relayAddress;
  std::optional<RoutingSettings> m_routing; ///< "routing"
};

/// Parses and checks the text of a settings file.
/// @param aName  file name for error messages
/// @throws Error (InvalidConfig) "FILE:LINE: field "X" ..." with remedy
Settings
ParseSettings(const std::string& aText, const std::string& aName);

/// The phase of inference that an engine runs.
enum class EngineRole
{
  Prefill,
  Decode,
};
std::string_view
ToString(EngineRole aRole);

/// One engine. It serves one model at a time in one role.
struct EngineEntry
{
  std::string m_address; ///< "IP:PORT", unique
  std::string m_server;  ///< server name; engines of one server fail together
  std::string m_region;
  std::string m_failureDomain;
  EngineRole m_role{ EngineRole::Decode }; ///< role set in the fleet text
  /// The engine refuses orders with an outdated fencing number.
  bool m_checksFencing{ false };
  std::uint32_t m_batchLimit{ 20 }; ///< requests decoded together
  std::uint32_t m_kvPieces{ 200 };  ///< KV memory, in units of kKvPieceTokens
};

/// A model: its speed on one engine, its sizes and its limits, as stated by the
/// operators.
struct ModelEntry
{
  std::string m_name;
  std::string m_version;
  std::uint32_t m_prefillTokensPerSecond{ 20'000 };
  /// Time per token in an empty batch.
  std::chrono::microseconds m_decodeStep{ 30'000 };
  std::uint32_t m_kvBytesPerToken{ 131'072 };
  std::uint64_t m_weightBytes{ 0 };
  std::uint32_t m_maxPromptTokens{ 65'536 };
  std::uint32_t m_maxOutputTokens{ 4'096 };
  std::vector<std::string> m_adapters;
};

/// Latency targets of a model service; goodput counts requests that meet both.
struct LatencyTargets
{
  std::chrono::milliseconds m_firstToken{ 1'600 };
  std::chrono::milliseconds m_perToken{ 71 };
};

/// Weights of the goals of placement, without unit and relative to each other.
struct PlacementWeights
{
  double m_goodput{ 1.0 };
  double m_wastedPrefill{ 1.0 };
  double m_crossRegionBytes{ 1.0 };
};

/// When memory of a decode engine is claimed, relative to the prefill.
enum class ClaimPolicy
{
  PrefillFirst,   ///< "prefill_first"
  ClaimFirst,     ///< "claim_first"
  AtPredictedEnd, ///< "claim_at_predicted_end"
};
std::string_view
ToString(ClaimPolicy aPolicy);

enum class ServiceKind
{
  Model, ///< served by prefill and decode engines
  Plain, ///< served by HTTP servers
};

/// An HTTP server of a plain service.
struct PlainServer
{
  std::string m_address;
  std::string m_region;
  std::string m_failureDomain;
};

/// A call of a plain service that must not be repeated.
struct NonRepeatable
{
  std::string m_method; ///< "POST"
  std::string m_path;   ///< prefix below /services/NAME, such as "/holds"
};

/// A service that callers reach under its name, with the fields of its kind.
struct ServiceEntry
{
  std::string m_name;
  ServiceKind m_kind{ ServiceKind::Plain };
  std::vector<std::string> m_dependsOn; ///< names of services
  std::chrono::milliseconds m_deadline{ 60'000 };
  double m_retryBudget{ 0.1 }; ///< retries per recent success
  // Model services.
  std::string m_model;
  std::vector<EngineEntry> m_engines;
  LatencyTargets m_targets;
  PlacementWeights m_weights;
  ClaimPolicy m_claim{ ClaimPolicy::AtPredictedEnd };
  /// Minimum number of engines in each role, whatever the measured load.
  std::uint32_t m_minPrefill{ 1 };
  std::uint32_t m_minDecode{ 1 };
  // Plain services.
  std::vector<PlainServer> m_servers;
  std::vector<NonRepeatable> m_nonRepeatable;
};

/// A caller: one organisation with its keys and limits.
struct CallerEntry
{
  std::string m_name;
  std::string m_keySalt; ///< hexadecimal
  std::string m_keyHash; ///< SHA-256 of salt bytes then key, hexadecimal
  /// Token cost per second over the whole fleet; 0 means no limit.
  double m_tokensPerSecond{ 0 };
  double m_burstTokens{ 0 };    ///< token cost allowed at once
  double m_share{ 1.0 };        ///< weight in fair queueing
  std::int32_t m_priority{ 0 }; ///< higher goes first
};

/// A region and its failure domains.
struct RegionEntry
{
  std::string m_name;
  std::vector<std::string> m_failureDomains;
};

/// The network link from one region to another, or inside one region.
struct LinkEntry
{
  std::string m_from; ///< region
  std::string m_to;   ///< region; equals m_from for the link inside it
  std::uint64_t m_bytesPerSecond{ 0 };
  std::chrono::microseconds m_latency{ 0 };
  double m_cost{ 0 }; ///< billed price per gigabyte
};

/// The parsed fleet text: regions, links, models, services and callers. It is
/// immutable once parsed.
struct FleetText
{
  std::uint64_t m_revision{ 0 };
  std::string m_fingerprint; ///< Fingerprint() of m_text
  std::string m_text;        ///< the unchanged text, passed on to peers
  std::vector<RegionEntry> m_regions;
  std::vector<LinkEntry> m_links;
  std::vector<ModelEntry> m_models;
  std::vector<ServiceEntry> m_services;
  std::vector<CallerEntry> m_callers;
  bool m_anonymousCallers{ false }; ///< accept requests without a key
  /// Rate of the store that engines load weights from; 0 means no limit.
  std::uint64_t m_weightStoreBytesPerSecond{ 0 };
  std::uint32_t m_ordersAtOnce{ 2 };   ///< engines changed together per service
  std::vector<std::string> m_warnings; ///< one for each unknown field

  const ServiceEntry* FindService(std::string_view aName) const;
  /// Returns the model service that serves model aModel, or nullptr.
  const ServiceEntry* FindModelService(std::string_view aModel) const;
  const ModelEntry* FindModel(std::string_view aName) const;
};
using FleetPtr = std::shared_ptr<const FleetText>;

/// Parses and checks a fleet text. Unknown fields are kept in m_text and named
/// in m_warnings.
/// @param aName  file name for error messages
/// @throws Error (InvalidConfig) "FILE:LINE: field "X" ..." with remedy
FleetPtr
ParseFleetText(const std::string& aText, const std::string& aName);

/// An IP address without brackets, and a port.
struct SocketAddress
{
  std::string m_ip;
  std::uint16_t m_port{};
};

/// Splits "IP:PORT" (IPv4, or IPv6 in brackets).
/// @throws Error (InvalidConfig) if aText is not of this form
SocketAddress
ParseAddress(const std::string& aText);

} // namespace shallotford

#endif // SHALLOTFORD_FLEET_H
