#ifndef SHALLOTFORD_TESTS_CONTROL_FIXTURE_H
#define SHALLOTFORD_TESTS_CONTROL_FIXTURE_H

/// Small fleet texts for the tests of the control library.

#include "shallotford/fleet.h"

#include <string>
#include <vector>

namespace shallotford::test {

struct TextOptions
{
  std::uint64_t m_revision{ 1 };
  std::string m_version{ "1" }; ///< of the model
  std::uint32_t m_prefill{ 2 }; ///< engines 0 to m_prefill - 1
  std::uint32_t m_engines{ 6 };
  std::uint32_t m_minPrefill{ 1 };
  std::uint32_t m_minDecode{ 1 };
  std::uint32_t m_ordersAtOnce{ 2 };
  std::uint64_t m_weightBytes{ 0 };
  std::uint64_t m_weightRate{ 0 };
  std::vector<std::string> m_adapters{};
  std::string m_note{}; ///< varies the content under one revision
};

inline std::string
EngineAddress(std::uint32_t aIndex)
{
  return "10.1.0." + std::to_string(aIndex) + ":7000";
}

inline std::string
MakeText(const TextOptions& aOptions)
{
  auto number = [](auto aValue) { return std::to_string(aValue); };
  std::string adapters;
  for (const std::string& adapter : aOptions.m_adapters) {
    adapters += (adapters.empty() ? "\"" : ", \"") + adapter + "\"";
  }
  std::string engines;
  for (std::uint32_t i = 0; i < aOptions.m_engines; ++i) {
    const char* role = i < aOptions.m_prefill ? "prefill" : "decode";
    engines += (i == 0 ? "\n" : ",\n") +
               ("{\"address\": \"" + EngineAddress(i)) +
               "\", \"server\": \"s\", \"region\": \"north\", "
               "\"failure_domain\": \"n1\", \"role\": \"" +
               role + "\"}";
  }
  return "{\"revision\": " + number(aOptions.m_revision) +
         ",\n\"regions\": [{\"name\": \"north\", \"failure_domains\": "
         "[\"n1\"]}],\n\"models\": [{\"name\": \"draft\", \"version\": \"" +
         aOptions.m_version +
         "\", \"weight_bytes\": " + number(aOptions.m_weightBytes) +
         ", \"adapters\": [" + adapters + "]}],\n\"note\": \"" +
         aOptions.m_note + "\",\n\"weight_store_bytes_per_second\": " +
         number(aOptions.m_weightRate) +
         ",\n\"orders_at_once\": " + number(aOptions.m_ordersAtOnce) +
         ",\n\"services\": [{\"name\": \"drafting\", \"kind\": \"model\", "
         "\"model\": \"draft\", \"min_prefill\": " +
         number(aOptions.m_minPrefill) +
         ", \"min_decode\": " + number(aOptions.m_minDecode) +
         ", \"engines\": [" + engines + "]}]}\n";
}

inline FleetPtr
MakeFleet(const TextOptions& aOptions)
{
  return ParseFleetText(MakeText(aOptions), "test");
}

} // namespace shallotford::test

#endif // SHALLOTFORD_TESTS_CONTROL_FIXTURE_H
