/// Callers' keys, and their refusal while a withdrawal may not be known.

#include "router_keys.h"

#include "config.h"

#include <ctime>

namespace shallotford {

BootTime
BootNow()
{
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return BootTime(std::chrono::seconds(time.tv_sec) +
                  std::chrono::nanoseconds(time.tv_nsec));
}

KeyGate::KeyGate(const Parts& aParts,
                 std::chrono::milliseconds aRevoke,
                 std::chrono::milliseconds aChangesWithin)
  : m_parts(aParts)
  , m_proof(aRevoke.count() > 0 ? std::optional<Duration>(aRevoke)
                                : std::nullopt,
            aChangesWithin)
{
}

void
KeyGate::OnConfig(const RoutingPtr& aConfig)
{
  OrganisationTable table(aConfig->m_organisations);
  if (!table.HasSameKeys(m_table)) {
    m_parts.m_log.Write(
      LogEvent("organisations")
        .Add("version", static_cast<std::int64_t>(aConfig->m_version))
        .Add("organisations", static_cast<std::int64_t>(table.Organisations()))
        .Add("keys", static_cast<std::int64_t>(table.Keys()))
        .Add("organisations_before",
             static_cast<std::int64_t>(m_table.Organisations()))
        .Add("keys_before", static_cast<std::int64_t>(m_table.Keys())));
  }
  m_table = std::move(table);
  m_config = aConfig;
}

void
KeyGate::OnSource(BootTime aCallBegan)
{
  if (!m_unreadable) {
    m_proof.OnSource(aCallBegan);
  }
}

void
KeyGate::OnPeer(BootTime aCallBegan, Duration aPeerAge)
{
  if (!m_unreadable) {
    m_proof.OnPeer(aCallBegan, aPeerAge);
  }
}

const Organisation*
KeyGate::Judge(const RequestHead& aHead, const Route& aRoute) const
{
  if (!IsNeeded(aRoute)) {
    return nullptr;
  }
  BootTime now = BootNow();
  if (!m_proof.MayServe(now)) {
    Refuse(ErrorKind::NotReady,
           "no_proof",
           "this VM can't tell which keys have been withdrawn");
  }
  std::string key = m_parts.m_dialect.ReadKey(aHead);
  const Organisation* organisation =
    key.empty() ? nullptr : m_table.FindByKey(key);
  if (organisation != nullptr) {
    return organisation;
  }
  if (!m_proof.KnowsAllKeys(now)) {
    Refuse(ErrorKind::NotReady,
           "unproven_key",
           "this VM may not know the newest keys");
  }
  Refuse(ErrorKind::Unauthenticated,
         "unknown_key",
         "the request has no key that the configuration allows");
}

const Organisation*
KeyGate::FindRelayed(const RelayFacts& aFacts, const Route& aRoute) const
{
  if (!IsNeeded(aRoute)) {
    return nullptr;
  }
  const Organisation* organisation =
    aFacts.m_organisation ? m_table.FindByName(*aFacts.m_organisation)
                          : nullptr;
  if (organisation == nullptr) {
    Refuse(ErrorKind::NotReady,
           "relay",
           "the VM that passed the request on names no organisation that this "
           "VM knows");
  }
  return organisation;
}

void
KeyGate::Refuse(ErrorKind aKind,
                const std::string& aCause,
                const std::string& aWhat) const
{
  m_parts.m_metrics.Count("key_refusals_total", "cause=\"" + aCause + "\"");
  bool isUnknown = aKind == ErrorKind::Unauthenticated;
  Error error(aKind,
              aWhat,
              isUnknown ? "Send a key of an organisation."
                        : "Send the request again after the time given.");
  if (!isUnknown) {
    error.WithRetryAfter(kNoProofRetryAfter);
  }
  throw error;
}

bool
KeyGate::IsClosed() const
{
  return JudgesKeys() && !m_proof.MayServe(BootNow());
}

bool
KeyGate::WantsPeers() const
{
  return JudgesKeys() && m_proof.WantsPeers(BootNow());
}

void
KeyGate::AddProofAge(Json::Value& aMessage) const
{
  std::optional<Duration> age = m_proof.Age(BootNow());
  if (JudgesKeys() && age && !m_unreadable) {
    aMessage["proof_age_ms"] = static_cast<Json::Int64>(
      std::chrono::ceil<std::chrono::milliseconds>(*age).count());
  }
}

void
KeyGate::Tick()
{
  if (m_config == nullptr || (!JudgesKeys() && !m_closed)) {
    return;
  }
  std::optional<Duration> age = m_proof.Age(BootNow());
  if (age) {
    m_parts.m_metrics.Set("configuration_proof_age_seconds",
                          "",
                          std::chrono::duration<double>(*age).count());
  }
  bool closed = IsClosed();
  if (std::exchange(m_closed, closed) != closed) {
    LogEvent event(closed ? "keys_closed" : "keys_opened", LogLevel::Warning);
    event.Add("version", static_cast<std::int64_t>(m_config->m_version));
    if (age) {
      event.Add("proof_age", *age);
    }
    m_parts.m_log.Write(event);
  }
}

} // namespace shallotford
