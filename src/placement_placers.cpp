/// The list of placers by name, and their creation.

#include "placement_placers.h"

#include "config.h"

#include <functional>

namespace shallotford {

namespace {

struct NamedPlacer
{
  std::string m_name;
  std::function<std::unique_ptr<PlacerI>()> m_make;
};

const std::vector<NamedPlacer>&
Placers()
{
  static const std::vector<NamedPlacer> sPlacers{
    { "joint", [] { return MakeJointPlacer({}); } },
    { "naive", [] { return MakeNaivePlacer(); } },
    { "joint_two_choices",
      [] { return MakeJointPlacer({ .m_twoChoices = true }); } },
    { "joint_no_affinity",
      [] { return MakeJointPlacer({ .m_affinity = false }); } },
    { "joint_hints_and_hash",
      [] { return MakeJointPlacer({ .m_rendezvous = true }); } },
    { "joint_hash_only",
      [] {
        return MakeJointPlacer({ .m_affinity = false, .m_rendezvous = true });
      } },
    { "joint_strict_best",
      [] { return MakeJointPlacer({ .m_spreadNearEqual = false }); } },
    { "joint_reports_only",
      [] { return MakeJointPlacer({ .m_estimateOtherVms = false }); } },
    { "joint_never_refuse",
      [] { return MakeJointPlacer({ .m_refuseLate = false }); } },
  };
  return sPlacers;
}

} // namespace

PlacementRefusal
NoEngine(EngineRole aRole)
{
  return { .m_kind = ErrorKind::NoUpstream,
           .m_reason = aRole == EngineRole::Prefill ? "no usable prefill engine"
                                                    : "no usable decode engine",
           .m_retryAfter = kNoEngineRetryAfter };
}

const std::vector<std::string>&
PlacerNames()
{
  static const std::vector<std::string> sNames = [] {
    std::vector<std::string> names;
    for (const NamedPlacer& placer : Placers())
      names.push_back(placer.m_name);
    return names;
  }();
  return sNames;
}

std::unique_ptr<PlacerI>
MakePlacer(std::string_view aName)
{
  for (const NamedPlacer& placer : Placers())
    if (placer.m_name == aName)
      return placer.m_make();
  std::string known;
  for (const std::string& name : PlacerNames())
    known += (known.empty() ? "" : ", ") + name;
  throw Error(ErrorKind::InvalidConfig,
              "unknown placement policy \"" + std::string(aName) + "\"",
              "choose one of: " + known);
}

} // namespace shallotford
