/// Hand-over of used tickets to another VM at a planned stop.

#include "ledger_ticket.h"

#include "config.h"

#include <algorithm>
#include <charconv>

namespace shallotford {

namespace {

constexpr int kHexBase = 16;

[[noreturn]] void
ThrowBadHandOver(const std::string& aWhy)
{
  throw Error(ErrorKind::InvalidRequest,
              "malformed ticket hand-over: " + aWhy,
              "Run the same version of the daemon on both VMs.");
}

std::uint64_t
FromHex(const std::string& aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  auto [stop, error] = std::from_chars(aText.data(), end, number, kHexBase);
  if (aText.empty() || error != std::errc{} || stop != end) {
    ThrowBadHandOver("\"" + aText + "\" is no hexadecimal number");
  }
  return number;
}

std::string
FromBase64(const std::string& aText)
{
  std::optional<std::string> bytes = FromBase64Url(aText);
  if (!bytes) {
    ThrowBadHandOver("a field is not base64url");
  }
  return *bytes;
}

std::string_view
ToString(TicketUse aUse)
{
  return aUse == TicketUse::Answered ? "answered" : "unknown";
}

TicketUse
UseFrom(const std::string& aText)
{
  for (TicketUse use : { TicketUse::Answered, TicketUse::Unknown }) {
    if (aText == ToString(use)) {
      return use;
    }
  }
  ThrowBadHandOver("unknown state \"" + aText + "\"");
}

Json::Value
ToJson(const VmIncarnation& aVm)
{
  Json::Value json(Json::objectValue);
  json["address"] = aVm.m_address;
  json["incarnation"] = Hex(aVm.m_incarnation);
  return json;
}

/// Returns a text with issuers and used tickets.
/// @param aUsed  the list's items, separated by commas
std::string
Wrap(const Json::Value& aIssuers, const std::string& aUsed)
{
  return "{\"issuers\":" + WriteJson(aIssuers) + ",\"used\":[" + aUsed + "]}";
}

} // namespace

Json::Value
TicketRegistry::State::ExportEntry(const TicketSlot& aSlot,
                                   const TicketEntry& aEntry,
                                   TimePoint aNow) const
{
  auto left =
    std::chrono::ceil<std::chrono::milliseconds>(aEntry.m_expiry - aNow);
  std::string_view tag(reinterpret_cast<const char*>(aEntry.m_tag.data()),
                       aEntry.m_tag.size());
  Json::Value json(Json::objectValue);
  json["issuer"] = ToJson(m_issuers.at(aSlot.m_issuer).m_vm);
  json["sequence"] = Hex(aSlot.m_sequence);
  json["left_ms"] = static_cast<Json::Int64>(left.count());
  json["tag"] = Base64Url(tag);
  json["request"].append(Hex(aEntry.m_request[0]));
  json["request"].append(Hex(aEntry.m_request[1]));
  json["use"] = std::string(ToString(aEntry.m_use));
  if (aEntry.m_answer != nullptr) {
    json["answer"]["status"] = aEntry.m_answer->m_status;
    json["answer"]["type"] = Base64Url(aEntry.m_answer->m_contentType);
    json["answer"]["body"] = Base64Url(aEntry.m_answer->m_body);
  }
  return json;
}

std::vector<std::string>
TicketRegistry::State::Export(TimePoint aNow) const
{
  Json::Value issuers(Json::arrayValue);
  for (const auto& [number, issuer] : m_issuers) {
    issuers.append(ToJson(issuer.m_vm));
  }
  std::vector<std::string> texts;
  std::string used;
  for (const auto& [slot, entry] : m_used) {
    if (entry.m_use == TicketUse::Unused || entry.m_expiry <= aNow) {
      continue;
    }
    std::string item = WriteJson(ExportEntry(slot, entry, aNow));
    bool full = used.size() + item.size() > m_options.m_handOverChunk;
    if (full && !used.empty()) {
      texts.push_back(Wrap(issuers, used));
      used.clear();
    }
    used += (used.empty() ? "" : ",") + item;
  }
  texts.push_back(Wrap(issuers, used));
  return texts;
}

TicketEntry
TicketRegistry::State::ImportEntry(const Json::Value& aJson,
                                   TimePoint aNow) const
{
  TicketEntry entry;
  entry.m_use = UseFrom(aJson["use"].asString());
  std::string tag = FromBase64(aJson["tag"].asString());
  if (tag.size() != entry.m_tag.size()) {
    ThrowBadHandOver("a tag of the wrong length");
  }
  std::copy(tag.begin(), tag.end(), entry.m_tag.begin());
  const Json::Value& request = aJson["request"];
  if (!request.isArray() || request.size() != entry.m_request.size()) {
    ThrowBadHandOver("a request's hash of the wrong length");
  }
  entry.m_request = { FromHex(request[0].asString()),
                      FromHex(request[1].asString()) };
  std::chrono::milliseconds left{ aJson["left_ms"].asInt64() };
  entry.m_expiry =
    aNow + std::min<std::chrono::milliseconds>(left, kMaxTicketLifetime);
  const Json::Value& answer = aJson["answer"];
  if (!answer.isNull() && entry.m_use == TicketUse::Answered) {
    KeptAnswer kept{ .m_status = answer["status"].asInt(),
                     .m_contentType = FromBase64(answer["type"].asString()),
                     .m_body = FromBase64(answer["body"].asString()) };
    entry.m_answer = std::make_shared<const KeptAnswer>(std::move(kept));
  }
  return entry;
}

std::vector<VmIncarnation>
TicketRegistry::State::Import(std::string_view aText, TimePoint aNow)
{
  struct Row
  {
    VmIncarnation m_issuer;
    std::uint64_t m_sequence{};
    TicketEntry m_entry{};
  };
  auto issuerFrom = [this](const Json::Value& aJson) {
    VmIncarnation vm{ aJson["address"].asString(),
                      FromHex(aJson["incarnation"].asString()) };
    if (vm == m_options.m_vm || vm.m_address.empty()) {
      ThrowBadHandOver("tickets of an impossible issuer");
    }
    return vm;
  };
  std::vector<VmIncarnation> issuers;
  std::vector<Row> rows;
  try {
    Json::Value json = ParseJson(aText);
    if (!json.isObject() || !json["issuers"].isArray() ||
        !json["used"].isArray()) {
      ThrowBadHandOver("issuers or used tickets are missing");
    }
    for (const Json::Value& issuer : json["issuers"]) {
      issuers.push_back(issuerFrom(issuer));
    }
    for (const Json::Value& item : json["used"]) {
      rows.push_back({ .m_issuer = issuerFrom(item["issuer"]),
                       .m_sequence = FromHex(item["sequence"].asString()),
                       .m_entry = ImportEntry(item, aNow) });
    }
  } catch (const Json::Exception& exception) {
    ThrowBadHandOver(exception.what());
  }
  if (m_used.size() + rows.size() > m_options.m_maxUsed) {
    throw Error(ErrorKind::Overloaded,
                "no room for the tickets of a stopping VM",
                "Hand them over to another VM.");
  }
  for (const VmIncarnation& issuer : issuers) {
    m_issuers.at(AddIssuer(issuer)).m_until = aNow + m_options.m_lifetime;
  }
  for (Row& row : rows) {
    TicketSlot slot{ AddIssuer(row.m_issuer), row.m_sequence };
    if (m_used.contains(slot) || row.m_entry.m_expiry <= aNow) {
      continue;
    }
    auto answer = std::exchange(row.m_entry.m_answer, nullptr);
    AddEntry(slot, std::move(row.m_entry));
    if (answer != nullptr) {
      KeepAnswer(slot, m_used.at(slot), *answer, aNow);
    }
  }
  return issuers;
}

std::vector<std::string>
TicketRegistry::ExportUsed(TimePoint aNow) const
{
  return m_state->Export(aNow);
}

std::vector<VmIncarnation>
TicketRegistry::ImportUsed(std::string_view aText, TimePoint aNow)
{
  return m_state->Import(aText, aNow);
}

} // namespace shallotford
