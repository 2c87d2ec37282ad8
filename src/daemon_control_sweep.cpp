/// Cancels streams that engines hold but that belong to no live request, which
/// frees the engines' memory. Each engine is swept by the VM that owns it,
/// which asks the VMs that started the streams whether they still need them.

#include "config.h"
#include "daemon_control.h"

#include <algorithm>

namespace shallotford {

namespace {

Json::Value
ToJsonList(const std::vector<AttemptId>& aStreams)
{
  Json::Value list(Json::arrayValue);
  for (const AttemptId& stream : aStreams) {
    list.append(ToString(stream));
  }
  return list;
}

std::vector<AttemptId>
ReadStreams(const Json::Value& aList)
{
  std::vector<AttemptId> streams;
  for (const Json::Value& text : aList) {
    streams.push_back(ParseAttemptId(text.asString()));
  }
  return streams;
}

} // namespace

SweepTask::SweepTask(ControlState& aState)
  : m_state(aState)
{
}

void
SweepTask::Start()
{
  Tick();
}

std::vector<std::string>
SweepTask::OwnedEngines() const
{
  std::vector<std::string> owned;
  FleetPtr fleet = m_state.m_revisionStore.Current();
  if (!fleet) {
    return owned;
  }
  std::vector<std::string> live = m_state.m_membership.Live(m_state.Now());
  const std::string& self = m_state.m_options.m_vm.m_address;
  for (const ServiceEntry& service : fleet->m_services) {
    for (const EngineEntry& engine : service.m_engines) {
      if (EngineOwner(engine.m_address, live) == self) {
        owned.push_back(engine.m_address);
      }
    }
  }
  return owned;
}

void
SweepTask::Tick()
{
  m_state.m_loop.RunAfter(kSweepTick, [this] { Tick(); });
  std::vector<std::string> owned = OwnedEngines();
  if (owned.empty()) {
    return;
  }
  // Up to kMaxSweepsPerTick engines are all swept in every turn; more are swept
  // in rotation.
  std::size_t count = std::min(owned.size(), kMaxSweepsPerTick);
  for (std::size_t i = 0; i < count; ++i) {
    m_next = (m_next + 1) % owned.size();
    Sweep(owned[m_next]);
  }
}

void
SweepTask::Sweep(const std::string& aEngine)
{
  EngineSweep& sweep = m_sweeps[aEngine];
  if (!sweep.m_sweeper) {
    sweep.m_sweeper = std::make_unique<Sweeper>(
      SweepOptions{ .m_engine = aEngine, .m_period = kSweepTick });
  }
  sweep.m_cancels.clear();
  sweep.m_list = m_state.m_engine.List(
    aEngine,
    [this, aEngine](const EngineResult<std::vector<EngineHolding>>& aResult) {
      OnList(aEngine, aResult);
    });
}

void
SweepTask::OnList(const std::string& aEngine,
                  const EngineResult<std::vector<EngineHolding>>& aResult)
{
  const auto* holdings = std::get_if<std::vector<EngineHolding>>(&aResult);
  if (holdings == nullptr) {
    return;
  }
  std::vector<HeldStream> streams;
  for (const EngineHolding& holding : *holdings) {
    try {
      streams.push_back({ .m_stream = ParseAttemptId(holding.m_stream),
                          .m_attached = holding.m_attached });
    } catch (const Error&) {
      // The stream was not started by this program and must not be cancelled.
    }
  }
  SweepPlan plan = m_sweeps[aEngine].m_sweeper->Decide(
    streams, Members(streams), m_state.Now());
  for (const AttemptId& stream : plan.m_cancels) {
    CancelStream(aEngine, stream);
  }
  for (const SweepQuestion& question : plan.m_questions) {
    SendQuestion(aEngine, question);
  }
}

void
SweepTask::CancelStream(const std::string& aEngine, const AttemptId& aStream)
{
  m_state.m_log.Write(LogEvent("stream_swept", LogLevel::Warning)
                        .Add("engine", aEngine)
                        .Add("stream", ToString(aStream)));
  m_sweeps[aEngine].m_cancels.push_back(m_state.m_engine.Cancel(
    aEngine, ToString(aStream), [](const EngineResult<std::monostate>&) {}));
}

/// Describes the VMs that started aStreams: their incarnations as known by
/// gossip and by their answers, and for how long they have not answered.
std::vector<SweepMember>
SweepTask::Members(const std::vector<HeldStream>& aStreams)
{
  const VmIncarnation& self = m_state.m_options.m_vm;
  std::vector<SweepMember> members{ { .m_vm = self, .m_unansweredFor = {} } };
  std::set<std::string> seen{ self.m_address };
  for (const HeldStream& held : aStreams) {
    const VmIncarnation& vm = held.m_stream.m_request.m_vm;
    if (!seen.insert(vm.m_address).second) {
      continue;
    }
    Contact& contact = m_contacts.try_emplace(vm.m_address, vm).first->second;
    std::uint64_t known = m_state.m_membership.IncarnationOf(vm.m_address);
    if (known != 0) {
      contact.m_vm = { vm.m_address, known };
    }
    Ping(contact);
    Duration unansweredFor{ 0 };
    if (contact.m_unansweredSince) {
      unansweredFor = m_state.Now() - *contact.m_unansweredSince;
    }
    members.push_back(
      { .m_vm = contact.m_vm, .m_unansweredFor = unansweredFor });
  }
  return members;
}

/// Calls a VM with an empty list of streams, to learn whether it answers.
void
SweepTask::Ping(const Contact& aContact)
{
  bool due = m_state.Now() - aContact.m_askedAt >= kSweepPingPeriod;
  if (due && m_state.m_membership.IsListed(aContact.m_vm.m_address)) {
    SendQuestion("", { .m_address = aContact.m_vm.m_address });
  }
}

void
SweepTask::RecordQuestion(const std::string& aAddress)
{
  auto contact = m_contacts.find(aAddress);
  if (contact == m_contacts.end()) {
    return;
  }
  contact->second.m_askedAt = m_state.Now();
  if (!contact->second.m_unansweredSince) {
    contact->second.m_unansweredSince = m_state.Now();
  }
}

/// Asks a VM which of its streams it still needs.
/// @param aEngine  engine that holds the streams; empty for a ping
void
SweepTask::SendQuestion(const std::string& aEngine,
                        const SweepQuestion& aQuestion)
{
  RecordQuestion(aQuestion.m_address);
  Json::Value params(Json::objectValue);
  params["streams"] = ToJsonList(aQuestion.m_streams);
  std::uint64_t round = aQuestion.m_round;
  std::string address = aQuestion.m_address;
  auto handle = [this, aEngine, round, address](const Json::Value& aResult) {
    SweepAnswer answer;
    answer.m_round = round;
    try {
      answer.m_vm = ParseVmIncarnation(aResult["vm"].asString());
      for (const AttemptId& stream : ReadStreams(aResult["owned"])) {
        answer.m_owned.insert(stream);
      }
    } catch (const std::exception&) {
      return;
    }
    if (answer.m_vm.m_address == address) {
      OnAnswer(aEngine, answer);
    }
  };
  if (address == m_state.m_options.m_vm.m_address) {
    OnOwns(params, handle);
    return;
  }
  m_state.m_peer.Call(address, "owns", params, [handle](PeerResult aResult) {
    if (auto* value = std::get_if<Json::Value>(&aResult)) {
      handle(*value);
    }
  });
}

void
SweepTask::OnAnswer(const std::string& aEngine, const SweepAnswer& aAnswer)
{
  auto contact = m_contacts.find(aAnswer.m_vm.m_address);
  if (contact != m_contacts.end()) {
    contact->second.m_vm = aAnswer.m_vm;
    contact->second.m_unansweredSince.reset();
  }
  if (!aEngine.empty()) {
    m_sweeps[aEngine].m_sweeper->OnAnswer(aAnswer);
  }
}

void
SweepTask::OnOwns(const Json::Value& aParams,
                  std::function<void(Json::Value)> aReply)
{
  OwnershipQuery query;
  query.m_streams = ReadStreams(aParams["streams"]);
  LoopI& loop = m_state.m_loop;
  std::string name = ToString(m_state.m_options.m_vm);
  query.m_reply = [&loop, name, reply = std::move(aReply)](
                    const std::vector<AttemptId>& aOwned) {
    Json::Value result(Json::objectValue);
    result["vm"] = name;
    result["owned"] = ToJsonList(aOwned);
    loop.Post([reply, result] { reply(result); });
  };
  m_state.m_toWorker(std::move(query));
}

} // namespace shallotford
