/// RouterTask: what VMs that pass requests on for others tell each other, and
/// which of these requests they take.

#include "config.h"
#include "router_task.h"

namespace shallotford {

void
RouterTask::AddRelayOffer(Json::Value& aMessage) const
{
  TimePoint now = m_loop.Now();
  if (m_relayListener == nullptr || m_leaving || m_shared.IsCutOff()) {
    return;
  }
  std::string address = m_options.m_relayAddress;
  address.replace(address.rfind(':') + 1,
                  std::string::npos,
                  std::to_string(m_relayListener->Port()));
  Json::Value offer(Json::objectValue);
  offer["address"] = address;
  offer["domain"] = m_options.m_location.m_failureDomain;
  offer["services"] = Json::Value(Json::arrayValue);
  for (const auto& [service, at] : m_shared.m_reachedAt) {
    bool isReached =
      now - at < kServiceReachTime && !m_shared.AreLinksCut(service);
    if (isReached && offer["services"].size() < kMaxReachedServices) {
      offer["services"].append(service);
    }
  }
  aMessage["relay"] = offer;
}

void
RouterTask::MergeRelayOffer(const std::string& aVm, const Json::Value& aOffer)
{
  bool isOffer = aOffer.isObject() && aOffer["address"].isString() &&
                 aOffer["domain"].isString() && aOffer["services"].isArray();
  if (!isOffer) {
    m_relays.Remove(aVm);
    return;
  }
  RelayOffer offer{ .m_vm = aVm,
                    .m_address = aOffer["address"].asString(),
                    .m_failureDomain = aOffer["domain"].asString(),
                    .m_services = {} };
  for (const Json::Value& service : aOffer["services"]) {
    if (service.isString()) {
      offer.m_services.insert(service.asString());
    }
  }
  m_relays.Put(offer, m_loop.Now());
}

void
RouterTask::CheckRelayed(const RelayFacts& aFacts) const
{
  bool isOlder = m_routes.Config() == nullptr ||
                 m_routes.Config()->m_version < aFacts.m_configVersion;
  if (isOlder || m_shared.IsCutOff()) {
    throw Error(ErrorKind::NotReady,
                isOlder ? "this VM has an older configuration"
                        : "this VM is cut off from upstreams, too",
                "Pass the request on to another VM.")
      .WithRetryAfter(kNoUpstreamRetryAfter);
  }
}

CallerLimits
RouterTask::RelayHandler::Limits() const
{
  CallerLimits limits = m_task.Limits();
  limits.m_maxHead += kRelayHeadMargin;
  limits.m_idleTimeout = kRelayIdleTimeout;
  return limits;
}

} // namespace shallotford
