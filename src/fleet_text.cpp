/// Parses the fleet text, in which operators describe regions, models, services
/// and callers for all VMs.

#include "config.h"
#include "fleet_check.h"
#include "fleet_reader.h"

#include <array>

namespace shallotford {

namespace {

// Accepted values of the fields, both bounds included.
constexpr Range<std::uint64_t> kBytesPerSecond{ 1, 1ull << 50 };
constexpr Range<std::uint64_t> kBytes{ 0, 1ull << 50 };
constexpr Range<std::uint64_t> kLinkLatencyUs{ 0, 10'000'000 };
constexpr Range<std::uint64_t> kDeadlineMs{ 1, 24ull * 3'600 * 1'000 };
constexpr Range<std::uint64_t> kLatencyTargetMs{ 1, 3'600'000 };
constexpr Range<std::uint64_t> kDecodeStepUs{ 1, 60'000'000 };
// Also used for tokens per second and for bytes per token.
constexpr Range<std::uint32_t> kTokens{ 1, 100'000'000 };
constexpr Range<std::uint32_t> kCount{ 1, 1'000'000 };
constexpr Range<double> kPlacementWeight{ 0, 1e6 };
constexpr Range<double> kCallerShare{ 1e-6, 1e6 };
constexpr Range<double> kRetryBudget{ 0, 1 };    // retries per success
constexpr Range<double> kNonNegative{ 0, 1e12 }; // rates, costs, bursts
constexpr Range<std::int32_t> kPriority{ -100, 100 };

constexpr std::array<std::pair<std::string_view, EngineRole>, 2> kRoles{ {
  { "prefill", EngineRole::Prefill },
  { "decode", EngineRole::Decode },
} };
constexpr std::array<std::pair<std::string_view, ServiceKind>, 2> kKinds{ {
  { "model", ServiceKind::Model },
  { "plain", ServiceKind::Plain },
} };
constexpr std::array<std::pair<std::string_view, ClaimPolicy>, 3> kClaims{ {
  { "prefill_first", ClaimPolicy::PrefillFirst },
  { "claim_first", ClaimPolicy::ClaimFirst },
  { "claim_at_predicted_end", ClaimPolicy::AtPredictedEnd },
} };

RegionEntry
ReadRegion(ObjectReader& aReader)
{
  RegionEntry region;
  aReader.Read("name", region.m_name, Presence::Required);
  aReader.Read("failure_domains", region.m_failureDomains);
  return region;
}

LinkEntry
ReadLink(ObjectReader& aReader)
{
  LinkEntry link;
  aReader.Read("from", link.m_from, Presence::Required);
  aReader.Read("to", link.m_to, Presence::Required);
  aReader.Read("bytes_per_second",
               link.m_bytesPerSecond,
               kBytesPerSecond,
               Presence::Required);
  aReader.Read("latency_us", link.m_latency, kLinkLatencyUs);
  aReader.Read("cost", link.m_cost, kNonNegative);
  return link;
}

ModelEntry
ReadModel(ObjectReader& aReader)
{
  ModelEntry model;
  aReader.Read("name", model.m_name, Presence::Required);
  aReader.Read("version", model.m_version, Presence::Required);
  aReader.Read(
    "prefill_tokens_per_second", model.m_prefillTokensPerSecond, kTokens);
  aReader.Read("decode_step_us", model.m_decodeStep, kDecodeStepUs);
  aReader.Read("kv_bytes_per_token", model.m_kvBytesPerToken, kTokens);
  aReader.Read("weight_bytes", model.m_weightBytes, kBytes);
  aReader.Read("max_prompt_tokens", model.m_maxPromptTokens, kTokens);
  aReader.Read("max_output_tokens", model.m_maxOutputTokens, kTokens);
  aReader.Read("adapters", model.m_adapters);
  return model;
}

EngineEntry
ReadEngine(ObjectReader& aReader)
{
  EngineEntry engine;
  aReader.ReadAddress("address", engine.m_address, Presence::Required);
  aReader.Read("server", engine.m_server, Presence::Required);
  aReader.Read("region", engine.m_region, Presence::Required);
  aReader.Read("failure_domain", engine.m_failureDomain, Presence::Required);
  aReader.ReadChoice("role", engine.m_role, kRoles, Presence::Required);
  aReader.Read("checks_fencing", engine.m_checksFencing);
  aReader.Read("batch_limit", engine.m_batchLimit, kCount);
  aReader.Read("kv_pieces", engine.m_kvPieces, kCount);
  return engine;
}

PlainServer
ReadServer(ObjectReader& aReader)
{
  PlainServer server;
  aReader.ReadAddress("address", server.m_address, Presence::Required);
  aReader.Read("region", server.m_region, Presence::Required);
  aReader.Read("failure_domain", server.m_failureDomain, Presence::Required);
  return server;
}

void
ReadModelService(ObjectReader& aReader, ServiceEntry& aService)
{
  aReader.Read("model", aService.m_model, Presence::Required);
  aReader.ReadList("engines", Presence::Required, [&](ObjectReader& aItem) {
    aService.m_engines.push_back(ReadEngine(aItem));
  });
  aReader.ReadObject("targets", [&](ObjectReader& aTargets) {
    aTargets.Read(
      "first_token_ms", aService.m_targets.m_firstToken, kLatencyTargetMs);
    aTargets.Read(
      "per_token_ms", aService.m_targets.m_perToken, kLatencyTargetMs);
  });
  aReader.ReadObject("weights", [&](ObjectReader& aWeights) {
    aWeights.Read("goodput", aService.m_weights.m_goodput, kPlacementWeight);
    aWeights.Read(
      "wasted_prefill", aService.m_weights.m_wastedPrefill, kPlacementWeight);
    aWeights.Read("cross_region_bytes",
                  aService.m_weights.m_crossRegionBytes,
                  kPlacementWeight);
  });
  aReader.ReadChoice("claim", aService.m_claim, kClaims);
  aReader.Read("min_prefill", aService.m_minPrefill, kCount);
  aReader.Read("min_decode", aService.m_minDecode, kCount);
}

void
ReadPlainService(ObjectReader& aReader, ServiceEntry& aService)
{
  aReader.ReadList("servers", Presence::Required, [&](ObjectReader& aItem) {
    aService.m_servers.push_back(ReadServer(aItem));
  });
  aReader.ReadList(
    "non_repeatable", Presence::Optional, [&](ObjectReader& aItem) {
      NonRepeatable call;
      aItem.Read("method", call.m_method, Presence::Required);
      aItem.Read("path", call.m_path, Presence::Required);
      aService.m_nonRepeatable.push_back(call);
    });
}

ServiceEntry
ReadService(ObjectReader& aReader)
{
  ServiceEntry service;
  aReader.Read("name", service.m_name, Presence::Required);
  std::optional<ServiceKind> kind;
  aReader.ReadChoice("kind", kind, kKinds, Presence::Required);
  aReader.Read("depends_on", service.m_dependsOn);
  aReader.Read("deadline_ms", service.m_deadline, kDeadlineMs);
  aReader.Read("retry_budget", service.m_retryBudget, kRetryBudget);
  if (!kind) {
    return service; // the further fields depend on the kind
  }
  service.m_kind = *kind;
  if (service.m_kind == ServiceKind::Model) {
    ReadModelService(aReader, service);
  } else {
    ReadPlainService(aReader, service);
  }
  return service;
}

CallerEntry
ReadCaller(ObjectReader& aReader)
{
  CallerEntry caller;
  aReader.Read("name", caller.m_name, Presence::Required);
  aReader.Read("key_salt", caller.m_keySalt, Presence::Required);
  aReader.Read("key_hash", caller.m_keyHash, Presence::Required);
  aReader.Read("tokens_per_second", caller.m_tokensPerSecond, kNonNegative);
  aReader.Read("burst_tokens", caller.m_burstTokens, kNonNegative);
  aReader.Read("share", caller.m_share, kCallerShare);
  aReader.Read("priority", caller.m_priority, kPriority);
  return caller;
}

void
ReadFleet(ObjectReader& aRoot, FleetText& aFleet)
{
  aRoot.Read("revision",
             aFleet.m_revision,
             Range<std::uint64_t>{ 1, kMaxRevision },
             Presence::Required);
  aRoot.ReadList("regions", Presence::Required, [&](ObjectReader& aItem) {
    aFleet.m_regions.push_back(ReadRegion(aItem));
  });
  aRoot.ReadList("links", Presence::Optional, [&](ObjectReader& aItem) {
    aFleet.m_links.push_back(ReadLink(aItem));
  });
  aRoot.ReadList("models", Presence::Optional, [&](ObjectReader& aItem) {
    aFleet.m_models.push_back(ReadModel(aItem));
  });
  aRoot.ReadList("services", Presence::Required, [&](ObjectReader& aItem) {
    aFleet.m_services.push_back(ReadService(aItem));
  });
  aRoot.ReadList("callers", Presence::Optional, [&](ObjectReader& aItem) {
    aFleet.m_callers.push_back(ReadCaller(aItem));
  });
  aRoot.Read("anonymous_callers", aFleet.m_anonymousCallers);
  aRoot.Read("weight_store_bytes_per_second",
             aFleet.m_weightStoreBytesPerSecond,
             kBytes);
  aRoot.Read("orders_at_once", aFleet.m_ordersAtOnce, kCount);
  aRoot.Finish();
}

} // namespace

FleetPtr
ParseFleetText(const std::string& aText, const std::string& aName)
{
  if (aText.size() > kMaxFleetTextBytes) {
    throw Error(ErrorKind::InvalidConfig,
                aName + ":1: the fleet text is too large: " +
                  std::to_string(aText.size()) + " bytes",
                "Keep it within " + std::to_string(kMaxFleetTextBytes) +
                  " bytes.");
  }
  CheckedDocument document(aText, aName, UnknownFields::Warn);
  ObjectReader root(document, document.Root(), "");
  auto fleet = std::make_shared<FleetText>();
  ReadFleet(root, *fleet);
  // References are checked only once all fields are valid: an invalid name
  // would make the references to it look unknown.
  document.ThrowIfProblems();
  CheckFleet(*fleet, document);
  document.ThrowIfProblems();
  fleet->m_warnings = document.Warnings();
  fleet->m_fingerprint = Fingerprint(aText);
  fleet->m_text = aText;
  return fleet;
}

} // namespace shallotford
