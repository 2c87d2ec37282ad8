/// The plan command of shallotfordctl: shows what a new fleet text would change
/// compared with the one in force.

#include "ctl_plan.h"

#include "ctl_table.h"
#include "ctl_view.h"

#include <algorithm>
#include <ostream>

namespace shallotford {

namespace {

constexpr std::string_view kEngineSubject = "engine ";

/// Returns the fleet text of an answer, or nullptr if the VM has none yet.
/// @throws Error (InvalidConfig) if this version can't parse it
FleetPtr
TextOf(const VmAnswer& aAnswer)
{
  const Json::Value& text = (*aAnswer.m_result)["text"];
  if (!text.isString() || text.asString().empty()) {
    return nullptr;
  }
  return ParseFleetText(text.asString(), aAnswer.m_vm);
}

void
KeepNewestText(const FleetPtr& aText, RunningFleet& aRunning)
{
  if (!aText) {
    return;
  }
  if (!aRunning.m_text) {
    aRunning.m_text = aText;
    return;
  }
  if (aRunning.m_text->m_revision != aText->m_revision) {
    aRunning.m_revisionsDiffer = true;
  }
  if (aRunning.m_text->m_revision < aText->m_revision) {
    aRunning.m_text = aText;
  }
}

void
ReadTexts(const std::vector<VmAnswer>& aAnswers, RunningFleet& aRunning)
{
  for (const VmAnswer& answer : aAnswers) {
    if (!answer.m_result) {
      aRunning.m_failed.push_back(answer);
      continue;
    }
    try {
      KeepNewestText(TextOf(answer), aRunning);
    } catch (const Error& error) {
      aRunning.m_failed.push_back(
        { .m_vm = answer.m_vm,
          .m_result = std::nullopt,
          .m_error =
            std::string("its fleet text can't be read: ") + error.what(),
          .m_remedy = "Use the shallotfordctl of the daemon's version." });
    }
  }
}

/// Returns the address of the engine that receives the order aChange, or "" if
/// aChange is not an order.
std::string
EngineOf(const PlannedChange& aChange)
{
  if (!aChange.m_subject.starts_with(kEngineSubject)) {
    return "";
  }
  return aChange.m_subject.substr(kEngineSubject.size());
}

bool
HasEngine(const ServiceEntry& aService, const std::string& aAddress)
{
  return std::any_of(
    aService.m_engines.begin(),
    aService.m_engines.end(),
    [&](const EngineEntry& aEngine) { return aEngine.m_address == aAddress; });
}

void
VisitService(const FleetText& aFleet,
             const std::string& aName,
             std::vector<std::string>& aOrder)
{
  const ServiceEntry* service = aFleet.FindService(aName);
  if (service == nullptr ||
      std::find(aOrder.begin(), aOrder.end(), aName) != aOrder.end()) {
    return;
  }
  // The recursion ends because a valid fleet text has no dependency cycles.
  for (const std::string& dependency : service->m_dependsOn) {
    VisitService(aFleet, dependency, aOrder);
  }
  aOrder.push_back(aName);
}

void
AddSteps(const FleetText& aNew,
         const std::vector<PlannedChange>& aChanges,
         OrderedPlan& aPlan)
{
  for (const std::string& name : ServicesInDependencyOrder(aNew)) {
    const ServiceEntry& service = *aNew.FindService(name);
    for (const PlannedChange& change : aChanges) {
      if (HasEngine(service, EngineOf(change))) {
        aPlan.m_steps.push_back(change);
      }
    }
  }
}

Json::Value
ToJson(const std::vector<PlannedChange>& aChanges)
{
  Json::Value list(Json::arrayValue);
  for (const PlannedChange& change : aChanges) {
    Json::Value entry(Json::objectValue);
    entry["subject"] = change.m_subject;
    entry["change"] = change.m_change;
    list.append(entry);
  }
  return list;
}

void
PrintSteps(const OrderedPlan& aPlan, std::ostream& aOut, bool aColour)
{
  Table table({ { "STEP", Alignment::Right }, { "ENGINE" }, { "ORDERS" } });
  for (std::size_t i = 0; i < aPlan.m_steps.size(); ++i) {
    const PlannedChange& step = aPlan.m_steps[i];
    table.AddRow(
      { { std::to_string(i + 1) }, { EngineOf(step) }, { step.m_change } });
  }
  aOut << '\n';
  table.Write(aOut, aColour);
  aOut << "At most " << aPlan.m_ordersAtOnce
       << " engines of one service change at the same time.\n";
}

} // namespace

void
AddReadbacks(const Json::Value& aUpstreams,
             const FleetText* aText,
             Readbacks& aReadbacks)
{
  for (const Json::Value& engine : ListOf(aUpstreams, "engines")) {
    if (!engine.isObject() || !engine["address"].isString() ||
        !engine["model"].isString()) {
      continue;
    }
    EngineReadback readback;
    readback.m_role = engine["role"] == Json::Value("prefill")
                        ? EngineRole::Prefill
                        : EngineRole::Decode;
    readback.m_model = engine["model"].asString();
    readback.m_version = CellOf(engine, "version").m_text;
    const ModelEntry* model =
      aText == nullptr ? nullptr : aText->FindModel(readback.m_model);
    if (model != nullptr) {
      readback.m_adapters.insert(model->m_adapters.begin(),
                                 model->m_adapters.end());
    }
    aReadbacks[engine["address"].asString()] = readback;
  }
}

RunningFleet
ReadRunningFleet(OperatorsI& aOperators)
{
  RunningFleet running;
  std::vector<VmAnswer> texts = aOperators.Call({ .m_method = "fleet" });
  ReadTexts(texts, running);
  if (running.m_failed.size() == texts.size()) {
    return running;
  }
  for (const VmAnswer& answer : aOperators.Call({ .m_method = "upstreams" })) {
    if (answer.m_result) {
      AddReadbacks(*answer.m_result, running.m_text.get(), running.m_readbacks);
    }
  }
  return running;
}

std::vector<std::string>
ServicesInDependencyOrder(const FleetText& aFleet)
{
  std::vector<std::string> order;
  order.reserve(aFleet.m_services.size());
  for (const ServiceEntry& service : aFleet.m_services) {
    VisitService(aFleet, service.m_name, order);
  }
  return order;
}

OrderedPlan
MakeOrderedPlan(const RunningFleet& aRunning, const FleetText& aNew)
{
  const FleetText* old = aRunning.m_text.get();
  Plan plan = PlanChanges(old, aNew, aRunning.m_readbacks);
  OrderedPlan ordered{ .m_from = old == nullptr ? 0 : old->m_revision,
                       .m_to = aNew.m_revision,
                       .m_changes = {},
                       .m_steps = {},
                       .m_ordersAtOnce = aNew.m_ordersAtOnce,
                       .m_modelLoads = plan.m_modelLoads,
                       .m_loadTime = plan.m_loadTime };
  for (const PlannedChange& change : plan.m_changes) {
    if (EngineOf(change).empty()) {
      ordered.m_changes.push_back(change);
    }
  }
  AddSteps(aNew, plan.m_changes, ordered);
  return ordered;
}

Json::Value
ToJson(const OrderedPlan& aPlan)
{
  Json::Value value(Json::objectValue);
  value["from"] = static_cast<Json::UInt64>(aPlan.m_from);
  value["to"] = static_cast<Json::UInt64>(aPlan.m_to);
  value["changes"] = ToJson(aPlan.m_changes);
  value["steps"] = ToJson(aPlan.m_steps);
  value["orders_at_once"] = aPlan.m_ordersAtOnce;
  value["model_loads"] = aPlan.m_modelLoads;
  value["load_time_s"] = static_cast<Json::Int64>(aPlan.m_loadTime.count());
  return value;
}

void
PrintPlan(const OrderedPlan& aPlan, std::ostream& aOut, bool aColour)
{
  aOut << "revision " << aPlan.m_from << " -> " << aPlan.m_to << '\n';
  if (aPlan.m_changes.empty() && aPlan.m_steps.empty()) {
    aOut << "nothing changes\n";
    return;
  }
  Table table({ { "SUBJECT" }, { "CHANGE" } });
  for (const PlannedChange& change : aPlan.m_changes) {
    table.AddRow({ { change.m_subject }, { change.m_change } });
  }
  if (table.RowCount() > 0) {
    aOut << '\n';
    table.Write(aOut, aColour);
  }
  if (!aPlan.m_steps.empty()) {
    PrintSteps(aPlan, aOut, aColour);
  }
  aOut << "Model loads: " << aPlan.m_modelLoads << ", at least "
       << aPlan.m_loadTime.count() << " s at the weight store's rate.\n";
}

} // namespace shallotford
