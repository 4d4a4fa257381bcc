#include "daemon/announce.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/json_parse.h"
#include "daemon/settings.h"

namespace ebonylift {
namespace {

using nlohmann::json;

[[noreturn]] void ThrowInvalidField(const std::string& key, const std::string& expected) {
  throw Error(ErrorKind::kBadRequest, "announcement: field \"" + key + "\" must be " + expected);
}

std::string ParseString(const json& body, const char* key, bool required) {
  if (!body.contains(key)) {
    if (required) ThrowInvalidField(key, "present");
    return "";
  }
  if (!body[key].is_string()) ThrowInvalidField(key, "a string");
  return body[key];
}

int64_t ParseInteger(const json& body, const char* key, int64_t fallback, int64_t minimum) {
  if (!body.contains(key)) return fallback;
  if (!body[key].is_number_integer() || body[key].get<int64_t>() < minimum) {
    ThrowInvalidField(key, "an integer of at least " + std::to_string(minimum));
  }
  return body[key];
}

bool ParseBool(const json& body, const char* key) {
  if (!body.contains(key)) return false;
  if (!body[key].is_boolean()) ThrowInvalidField(key, "true or false");
  return body[key];
}

std::vector<std::string> ParseStrings(const json& body, const char* key) {
  std::vector<std::string> strings;
  if (!body.contains(key)) return strings;
  if (!body[key].is_array()) ThrowInvalidField(key, "an array of strings");
  for (const json& text : body[key]) {
    if (!text.is_string()) ThrowInvalidField(key, "an array of strings");
    strings.push_back(text);
  }
  return strings;
}

std::vector<ServedModel> ParseModels(const json& body) {
  std::vector<ServedModel> models;
  if (!body.contains("models")) return models;
  if (!body["models"].is_array()) ThrowInvalidField("models", "an array");
  for (const json& entry : body["models"]) {
    if (!entry.is_object()) ThrowInvalidField("models", "an array of objects");
    ServedModel model;
    model.name = ModelId(ParseString(entry, "name", true));
    model.adapters = ParseStrings(entry, "adapters");
    model.version = ParseString(entry, "version", false);
    models.push_back(model);
  }
  return models;
}

ServerLoad ParseLoad(const json& body) {
  ServerLoad load;
  if (!body.contains("load")) return load;
  const json& from = body["load"];
  if (!from.is_object()) ThrowInvalidField("load", "an object");
  load.seq = static_cast<uint64_t>(ParseInteger(from, "seq", 0, 0));
  load.running = static_cast<int>(ParseInteger(from, "running", 0, 0));
  load.waiting = static_cast<int>(ParseInteger(from, "waiting", 0, 0));
  load.slots = static_cast<int>(ParseInteger(from, "slots", 1, 1));
  load.prefill_tokens_waiting = ParseInteger(from, "prefill_tokens_waiting", 0, 0);
  return load;
}

// Two consecutive announcements were not delayed relative to each other when the interval between
// their arrivals differs from the interval between their send times by less than this.
// Announcements that were held back arrive closer together than they were sent.
constexpr Duration kIntervalTolerance = milliseconds(300);

}  // namespace

Duration AnnouncementDelayEstimator::Delay(const ServerId& server, WallMillis sent_at, Time now,
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
    QueueingDelay(&entry.meter, sent, now);
    entry.last_sent = sent;
    entry.last_at = now;
    return std::max(Duration(milliseconds(wall_now - sent_at)), Duration(0));
  }
  Entry& entry = it->second;
  Duration delay = QueueingDelay(&entry.meter, sent, now);
  Duration sent_interval = sent - entry.last_sent;
  Duration interval_change = (now - entry.last_at) - sent_interval;
  bool same_interval = sent_interval > kIntervalTolerance &&
                       std::abs(interval_change.count()) < kIntervalTolerance.count();
  // The server's clock was set back: restart the measurement.
  if (same_interval && delay > kIntervalTolerance) {
    entry.meter = TransitDelayMeter();
    delay = QueueingDelay(&entry.meter, sent, now);
  }
  entry.last_sent = sent;
  entry.last_at = now;
  return delay;
}

ReceivedAnnouncement ParseAnnouncement(const std::string& text) {
  json body = ParseForeignJson(text);
  if (!body.is_object()) throw Error(ErrorKind::kBadRequest, "announcement: not a JSON object");
  ReceivedAnnouncement received;
  received.sent_at = ParseInteger(body, "sent_at", 0, 0);
  Announcement& out = received.announcement;
  out.id = ServerId(ParseString(body, "id", true));
  out.incarnation = static_cast<uint64_t>(ParseInteger(body, "incarnation", 0, 0));
  std::string kind = ParseString(body, "kind", true);
  if (kind != "model" && kind != "service") ThrowInvalidField("kind", "\"model\" or \"service\"");
  out.kind = kind == "model" ? ServerKind::kModel : ServerKind::kService;
  out.domain = DomainId(ParseString(body, "domain", true));
  out.region = RegionId(ParseString(body, "region", true));
  out.address = ParseString(body, "address", true);
  if (!IsAddress(out.address)) ThrowInvalidField("address", "ip:port");
  out.models = ParseModels(body);
  out.services = ParseStrings(body, "services");
  out.software_version = ParseString(body, "software_version", false);
  out.role = ParseString(body, "role", false);
  out.capabilities = ParseStrings(body, "capabilities");
  out.checks_fencing = ParseBool(body, "checks_fencing");
  out.leaving = ParseBool(body, "leaving");
  out.load = ParseLoad(body);
  out.seq = out.load.seq;
  Duration ttl = milliseconds(ParseInteger(body, "ttl_ms", ToMillis(kMaxAnnouncementTtl), 1));
  out.ttl = std::min(ttl, kMaxAnnouncementTtl);
  return received;
}

}  // namespace ebonylift
