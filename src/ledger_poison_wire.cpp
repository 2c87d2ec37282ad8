/// JSON messages about suspects: gossip digests and calls to the coordinator.

#include "ledger_poison_key.h"
#include "shallotford/ledger/poison.h"

#include <algorithm>

namespace shallotford {

namespace {

constexpr const char* kGrant = "grant";
constexpr const char* kRunEnded = "run_ended";
constexpr const char* kCrash = "crash";
constexpr const char* kEngineAlive = "engine_alive";
constexpr const char* kBegun = "begun";            // parts, of a kCrash call
constexpr const char* kBegunWhole = "begun_whole"; // requests, of a kCrash call
constexpr const char* kAge = "age_ms";             // of a kRunEnded call
constexpr const char* kOutlived = "outlived";      // of a reply
constexpr const char* kLapse = "lapse_ms";         // of an entry
constexpr const char* kLapses = "lapses";          // of an entry

std::chrono::milliseconds
TimeUntil(TimePoint aUntil, TimePoint aNow)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aUntil - aNow);
}

[[noreturn]] void
ThrowBadMessage(const std::string& aWhy)
{
  throw Error(ErrorKind::InvalidRequest,
              "malformed quarantine message: " + aWhy,
              "Run the same version of the daemon on both VMs.");
}

PoisonStatus
StatusFrom(const std::string& aText)
{
  for (PoisonStatus status : { PoisonStatus::Clear,
                               PoisonStatus::Suspect,
                               PoisonStatus::Convicted }) {
    if (aText == ToString(status)) {
      return status;
    }
  }
  ThrowBadMessage("unknown status");
}

Json::Value
ToJson(const std::vector<std::string>& aNames)
{
  Json::Value list(Json::arrayValue);
  for (const std::string& name : aNames) {
    list.append(name);
  }
  return list;
}

std::vector<std::string>
NamesFrom(const Json::Value& aList)
{
  if (!aList.isArray()) {
    ThrowBadMessage("a list is missing");
  }
  std::vector<std::string> names;
  names.reserve(aList.size());
  for (const Json::Value& name : aList) {
    names.push_back(name.asString());
  }
  return names;
}

Json::Value
ToJson(const TraitAges& aAges)
{
  Json::Value ages(Json::objectValue);
  for (const auto& [fingerprint, age] : aAges) {
    ages[fingerprint] = static_cast<Json::Int64>(age.count());
  }
  return ages;
}

std::chrono::milliseconds
AgeFrom(const Json::Value& aAge)
{
  // Longer than any run, so that sums of ages stay in range.
  constexpr std::chrono::milliseconds kMaxAge = std::chrono::hours(24);
  std::chrono::milliseconds age{ aAge.asInt64() };
  if (age < std::chrono::milliseconds::zero() || age > kMaxAge) {
    ThrowBadMessage("an age is out of range");
  }
  return age;
}

Json::Value
ToJson(const BegunTraits& aTraits, bool aIsWhole)
{
  TraitAges ages;
  for (const auto& [fingerprint, trait] : aTraits) {
    if (trait.m_isWhole == aIsWhole) {
      ages.emplace(fingerprint, trait.m_age);
    }
  }
  return ToJson(ages);
}

TraitAges
AgesFrom(const Json::Value& aAges)
{
  if (!aAges.isObject()) {
    ThrowBadMessage("ages are no object");
  }
  TraitAges ages;
  for (const std::string& fingerprint : aAges.getMemberNames()) {
    ages.emplace(fingerprint, AgeFrom(aAges[fingerprint]));
  }
  return ages;
}

Json::Value
CallAbout(const char* aCall,
          std::string_view aFingerprint,
          std::string_view aEngine)
{
  Json::Value call(Json::objectValue);
  call["call"] = aCall;
  call["request"] = std::string(aFingerprint);
  call["engine"] = std::string(aEngine);
  return call;
}

std::string
TextFrom(const Json::Value& aCall, const char* aField)
{
  const Json::Value& text = aCall[aField];
  if (!text.isString() || text.empty()) {
    ThrowBadMessage(std::string("\"") + aField + "\" is missing");
  }
  return text.asString();
}

std::chrono::milliseconds
ReadAge(const Json::Value& aCall)
{
  try {
    return AgeFrom(aCall[kAge]);
  } catch (const Json::Exception& exception) {
    ThrowBadMessage(exception.what());
  }
}

} // namespace

Json::Value
SuspectCall::Grant(std::string_view aFingerprint, std::string_view aEngine)
{
  return CallAbout(kGrant, aFingerprint, aEngine);
}

Json::Value
SuspectCall::RunEnded(std::string_view aFingerprint,
                      std::string_view aEngine,
                      bool aComplete)
{
  Json::Value call = CallAbout(kRunEnded, aFingerprint, aEngine);
  call["complete"] = aComplete;
  return call;
}

Json::Value
SuspectCall::RunGoesOn(std::string_view aFingerprint,
                       std::string_view aEngine,
                       std::chrono::milliseconds aAge)
{
  Json::Value call = RunEnded(aFingerprint, aEngine, true);
  call[kAge] = static_cast<Json::Int64>(aAge.count());
  return call;
}

Json::Value
SuspectCall::Crash(std::string_view aEngine,
                   const std::vector<std::string>& aBatch,
                   const BegunTraits& aBegun)
{
  Json::Value call(Json::objectValue);
  call["call"] = kCrash;
  call["engine"] = std::string(aEngine);
  call["batch"] = ToJson(aBatch);
  if (!aBegun.empty()) {
    call[kBegun] = ToJson(aBegun, false);
    call[kBegunWhole] = ToJson(aBegun, true);
  }
  return call;
}

Json::Value
SuspectCall::EngineAlive(std::string_view aEngine)
{
  Json::Value call(Json::objectValue);
  call["call"] = kEngineAlive;
  call["engine"] = std::string(aEngine);
  return call;
}

SuspectReply
ReadSuspectReply(const Json::Value& aReply)
{
  try {
    if (!aReply.isObject()) {
      ThrowBadMessage("the reply is no object");
    }
    SuspectReply reply;
    reply.m_granted = aReply.get("granted", false).asBool();
    reply.m_status = StatusFrom(aReply.get("status", "clear").asString());
    reply.m_verdict.m_suspects =
      NamesFrom(aReply.get("suspects", Json::arrayValue));
    reply.m_verdict.m_convicted =
      NamesFrom(aReply.get("convicted", Json::arrayValue));
    reply.m_verdict.m_sound = NamesFrom(aReply.get("sound", Json::arrayValue));
    reply.m_verdict.m_outlived =
      AgesFrom(aReply.get(kOutlived, Json::objectValue));
    reply.m_digest = TextFrom(aReply, "digest");
    return reply;
  } catch (const Json::Exception& exception) {
    ThrowBadMessage(exception.what());
  }
}

CrashVerdict
PoisonTracker::Apply(const Json::Value& aCall, TimePoint aNow)
{
  if (!aCall.isObject()) {
    ThrowBadMessage("the call is no object");
  }
  std::string name = TextFrom(aCall, "call");
  std::string engine = TextFrom(aCall, "engine");
  CheckName(engine);
  CrashVerdict verdict;
  if (name == kCrash) {
    try {
      std::vector<std::string> batch = NamesFrom(aCall["batch"]);
      for (const std::string& fingerprint : batch) {
        CheckFingerprint(fingerprint);
      }
      BegunTraits begun;
      for (bool isWhole : { false, true }) {
        const char* field = isWhole ? kBegunWhole : kBegun;
        for (const auto& [fingerprint, age] :
             AgesFrom(aCall.get(field, Json::objectValue))) {
          CheckFingerprint(fingerprint);
          begun[fingerprint] = { .m_age = age, .m_isWhole = isWhole };
        }
      }
      verdict = OnCrash(engine, batch, aNow, begun);
    } catch (const Json::Exception& exception) {
      ThrowBadMessage(exception.what());
    }
  } else if (name == kRunEnded) {
    if (!aCall["complete"].isBool()) {
      ThrowBadMessage("\"complete\" is missing");
    }
    std::string fingerprint = TextFrom(aCall, "request");
    CheckFingerprint(fingerprint);
    if (aCall.isMember(kAge)) {
      OnRunGoesOn(fingerprint, ReadAge(aCall), aNow);
    } else {
      OnRunEnded(fingerprint, engine, aCall["complete"].asBool(), aNow);
    }
  } else if (name == kEngineAlive) {
    OnEngineAlive(engine, aNow);
  } else {
    ThrowBadMessage("unknown call \"" + name + "\"");
  }
  EvictExcess();
  return verdict;
}

Json::Value
PoisonTracker::Serve(const Json::Value& aCall,
                     std::size_t aMaxDigest,
                     TimePoint aNow)
{
  Json::Value reply(Json::objectValue);
  if (aCall.isObject() && aCall["call"] == kGrant) {
    std::string engine = TextFrom(aCall, "engine");
    CheckName(engine);
    std::string fingerprint = TextFrom(aCall, "request");
    if (Find(fingerprint, aNow) == nullptr && !UsesEvidence()) {
      // The calling VM knows of a crash that was not reported to this one.
      Change(fingerprint, PoisonStatus::Suspect, aNow);
    }
    reply["granted"] = Grant(fingerprint, engine, aNow);
    reply["status"] = std::string(ToString(StatusOf(fingerprint, aNow)));
    EvictExcess();
  } else {
    CrashVerdict verdict = Apply(aCall, aNow);
    reply["suspects"] = ToJson(verdict.m_suspects);
    reply["convicted"] = ToJson(verdict.m_convicted);
    reply["sound"] = ToJson(verdict.m_sound);
    if (!verdict.m_outlived.empty()) {
      reply[kOutlived] = ToJson(verdict.m_outlived);
    }
  }
  reply["digest"] = Digest(aMaxDigest, aNow);
  return reply;
}

std::string
PoisonTracker::Digest(std::size_t aMaxBytes, TimePoint aNow) const
{
  using Row = std::pair<const std::string, Entry>;
  std::vector<const Row*> rows;
  for (const Row& row : m_entries) {
    if (row.second.m_expiry > aNow && row.second.m_toldFrom <= aNow) {
      rows.push_back(&row);
    }
  }
  std::sort(rows.begin(), rows.end(), [](const Row* aA, const Row* aB) {
    return aA->second.m_changed > aB->second.m_changed;
  });
  std::string text = "{\"entries\":[";
  const std::string end = "]}";
  for (const Row* row : rows) {
    const Entry& entry = row->second;
    Json::Value json(Json::objectValue);
    json["request"] = row->first;
    json["status"] = std::string(ToString(entry.m_status));
    json["version"] = static_cast<Json::UInt64>(entry.m_version);
    json["left_ms"] =
      static_cast<Json::Int64>(TimeUntil(entry.m_expiry, aNow).count());
    if (entry.m_runFrom > aNow) {
      json["wait_ms"] =
        static_cast<Json::Int64>(TimeUntil(entry.m_runFrom, aNow).count());
    }
    if (entry.m_lapse != TimePoint::max()) {
      TimePoint lapse = std::max(entry.m_lapse, aNow);
      json[kLapse] = static_cast<Json::Int64>(TimeUntil(lapse, aNow).count());
      json[kLapses] = entry.m_lapses;
    }
    if (IsRunning(entry, aNow)) {
      json["engine"] = entry.m_engine;
      json["run_ms"] =
        static_cast<Json::Int64>(TimeUntil(entry.m_grantExpiry, aNow).count());
    }
    std::string item = (row == rows.front() ? "" : ",") + WriteJson(json);
    if (text.size() + item.size() + end.size() > aMaxBytes) {
      break;
    }
    text += item;
  }
  return text + end;
}

void
PoisonTracker::Merge(std::string_view aDigest, TimePoint aNow)
{
  std::vector<std::pair<std::string, Entry>> rows;
  try {
    Json::Value json = ParseJson(aDigest);
    if (!json.isObject() || !json["entries"].isArray()) {
      ThrowBadMessage("no list of entries");
    }
    for (const Json::Value& item : json["entries"]) {
      Entry entry;
      entry.m_status = StatusFrom(item["status"].asString());
      entry.m_version = item["version"].asUInt64();
      entry.m_changed = aNow;
      std::chrono::milliseconds left{ item["left_ms"].asInt64() };
      entry.m_expiry = aNow + std::min(left, m_options.m_convictLifetime);
      entry.m_engine = item.get("engine", "").asString();
      std::chrono::milliseconds run{ item.get("run_ms", 0).asInt64() };
      entry.m_grantExpiry = aNow + std::min(run, m_options.m_grantLifetime);
      std::chrono::milliseconds wait{ item.get("wait_ms", 0).asInt64() };
      entry.m_runFrom = aNow + std::min(wait, m_options.m_gossipTime);
      if (item.isMember(kLapse)) {
        std::chrono::milliseconds lapse{ item[kLapse].asInt64() };
        entry.m_lapse = aNow + std::min(lapse, m_options.m_convictLifetime);
        entry.m_lapses =
          std::min(item.get(kLapses, 0).asUInt(), kMaxConvictionLapses);
      }
      std::string key = item["request"].asString();
      CheckKey(key);
      rows.emplace_back(std::move(key), std::move(entry));
    }
  } catch (const Json::Exception& exception) {
    ThrowBadMessage(exception.what());
  }
  for (const auto& [fingerprint, entry] : rows) {
    if (!fingerprint.empty() && entry.m_expiry > aNow) {
      MergeOne(fingerprint, entry, aNow);
    }
  }
  EvictExcess();
}

void
PoisonTracker::CheckName(std::string_view aName) const
{
  if (UsesEvidence() && aName.size() > m_options.m_maxNameBytes) {
    ThrowBadMessage("a name is too long");
  }
}

void
PoisonTracker::CheckFingerprint(std::string_view aFingerprint) const
{
  CheckName(aFingerprint);
  bool bad =
    UsesEvidence() && (aFingerprint.empty() ||
                       aFingerprint.find(kJoint) != std::string_view::npos);
  if (bad) {
    ThrowBadMessage("a fingerprint is empty or joint");
  }
}

void
PoisonTracker::CheckKey(std::string_view aKey) const
{
  if (!UsesEvidence()) {
    return;
  }
  std::vector<std::string_view> members = MembersOf(aKey);
  if (members.size() > m_options.m_maxJoint) {
    ThrowBadMessage("a conviction has too many fingerprints");
  }
  for (std::string_view member : members) {
    CheckFingerprint(member);
  }
}

void
PoisonTracker::MergeOne(const std::string& aFingerprint,
                        const Entry& aRemote,
                        TimePoint aNow)
{
  if (UsesEvidence()) {
    MergeEvidence(aFingerprint, aRemote, aNow);
    return;
  }
  auto [found, isNew] = m_entries.emplace(aFingerprint, aRemote);
  if (isNew) {
    return;
  }
  Entry& local = found->second;
  bool convicts = aRemote.m_status == PoisonStatus::Convicted;
  bool convicted = local.m_status == PoisonStatus::Convicted;
  if (convicts != convicted) {
    local = convicts ? aRemote : local;
    return;
  }
  if (std::pair(aRemote.m_version, aRemote.m_status) >
      std::pair(local.m_version, local.m_status)) {
    local = aRemote;
  }
}

} // namespace shallotford
