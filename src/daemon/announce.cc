#include "daemon/announce.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "daemon/settings.h"

namespace ebonylift {
namespace {

using nlohmann::json;

[[noreturn]] void Refuse(const std::string& key, const std::string& allowed) {
  throw Error(ErrorKind::kBadRequest, "announcement: \"" + key + "\" must be " + allowed);
}

std::string Text(const json& body, const char* key, bool required) {
  if (!body.contains(key)) {
    if (required) Refuse(key, "present");
    return "";
  }
  if (!body[key].is_string()) Refuse(key, "a string");
  return body[key];
}

int64_t Number(const json& body, const char* key, int64_t fallback, int64_t low) {
  if (!body.contains(key)) return fallback;
  if (!body[key].is_number_integer() || body[key].get<int64_t>() < low) {
    Refuse(key, "an integer of at least " + std::to_string(low));
  }
  return body[key];
}

bool Flag(const json& body, const char* key) {
  if (!body.contains(key)) return false;
  if (!body[key].is_boolean()) Refuse(key, "true or false");
  return body[key];
}

std::vector<std::string> Texts(const json& body, const char* key) {
  std::vector<std::string> texts;
  if (!body.contains(key)) return texts;
  if (!body[key].is_array()) Refuse(key, "an array of strings");
  for (const json& text : body[key]) {
    if (!text.is_string()) Refuse(key, "an array of strings");
    texts.push_back(text);
  }
  return texts;
}

std::vector<ServedModel> Models(const json& body) {
  std::vector<ServedModel> models;
  if (!body.contains("models")) return models;
  if (!body["models"].is_array()) Refuse("models", "an array");
  for (const json& entry : body["models"]) {
    if (!entry.is_object()) Refuse("models", "an array of objects");
    ServedModel model;
    model.name = ModelId(Text(entry, "name", true));
    model.adapters = Texts(entry, "adapters");
    model.version = Text(entry, "version", false);
    models.push_back(model);
  }
  return models;
}

ServerLoad Load(const json& body) {
  ServerLoad load;
  if (!body.contains("load")) return load;
  const json& from = body["load"];
  if (!from.is_object()) Refuse("load", "an object");
  load.seq = static_cast<uint64_t>(Number(from, "seq", 0, 0));
  load.running = static_cast<int>(Number(from, "running", 0, 0));
  load.waiting = static_cast<int>(Number(from, "waiting", 0, 0));
  load.slots = static_cast<int>(Number(from, "slots", 1, 1));
  load.prefill_tokens_waiting = Number(from, "prefill_tokens_waiting", 0, 0);
  return load;
}

// An announcement is on pace when the time since the previous one differs from the time between
// their sending by less than this; a held-up batch arrives faster than it was sent.
constexpr Duration kPaceTolerance = milliseconds(300);

}  // namespace

Duration AnnouncementAges::Age(const ServerId& server, WallMillis sent_at, Time now,
                               WallMillis wall_now) {
  if (sent_at <= 0) return Duration(0);
  Duration sent = milliseconds(sent_at);
  std::lock_guard<std::mutex> lock(mutex_);
  auto it = entries_.find(server);
  if (it == entries_.end()) {
    if (entries_.size() >= kMaxServers) {
      entries_.erase(std::min_element(entries_.begin(), entries_.end(), [](auto& a, auto& b) {
        return a.second.last_at < b.second.last_at;
      }));
    }
    Entry& entry = entries_[server];
    TransitExcess(&entry.meter, sent, now);
    entry.last_sent = sent;
    entry.last_at = now;
    return std::max(Duration(milliseconds(wall_now - sent_at)), Duration(0));
  }
  Entry& entry = it->second;
  Duration excess = TransitExcess(&entry.meter, sent, now);
  Duration sent_gap = sent - entry.last_sent;
  Duration pace = (now - entry.last_at) - sent_gap;
  bool on_pace = sent_gap > kPaceTolerance && std::abs(pace.count()) < kPaceTolerance.count();
  if (on_pace && excess > kPaceTolerance) {
    entry.meter = TransitMeter();
    excess = TransitExcess(&entry.meter, sent, now);
  }
  entry.last_sent = sent;
  entry.last_at = now;
  return excess;
}

ReceivedAnnouncement ParseAnnouncement(const std::string& text) {
  json body = json::parse(text, nullptr, false);
  if (!body.is_object()) throw Error(ErrorKind::kBadRequest, "announcement: not a JSON object");
  ReceivedAnnouncement received;
  received.sent_at = Number(body, "sent_at", 0, 0);
  Announcement& out = received.announcement;
  out.id = ServerId(Text(body, "id", true));
  out.incarnation = static_cast<uint64_t>(Number(body, "incarnation", 0, 0));
  std::string kind = Text(body, "kind", true);
  if (kind != "model" && kind != "service") Refuse("kind", "model or service");
  out.kind = kind == "model" ? ServerKind::kModel : ServerKind::kService;
  out.domain = DomainId(Text(body, "domain", true));
  out.region = RegionId(Text(body, "region", true));
  out.address = Text(body, "address", true);
  if (!IsAddress(out.address)) Refuse("address", "ip:port");
  out.models = Models(body);
  out.services = Texts(body, "services");
  out.role = Text(body, "role", false);
  out.capabilities = Texts(body, "capabilities");
  out.checks_fencing = Flag(body, "checks_fencing");
  out.leaving = Flag(body, "leaving");
  out.load = Load(body);
  out.seq = out.load.seq;
  Duration ttl = milliseconds(Number(body, "ttl_ms", ToMillis(kMaxAnnouncementTtl), 1));
  out.ttl = std::min(ttl, kMaxAnnouncementTtl);
  return received;
}

}  // namespace ebonylift
