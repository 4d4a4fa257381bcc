#include "core/registry.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/hash.h"

namespace ebonylift {
namespace {

constexpr uint64_t kKeyMask = (uint64_t{1} << 48) - 1;

std::pair<uint64_t, uint64_t> Version(const Announcement& announcement) {
  return {announcement.incarnation, announcement.seq};
}

// Removes the entry's key from `by_key` unless another server has taken the key over.
void RemoveKey(Registry* registry, const RegistryEntry& entry) {
  auto it = registry->by_key.find(entry.key);
  if (it != registry->by_key.end() && it->second == entry.server.announced.id) {
    registry->by_key.erase(it);
  }
}

// Evicts the entry that ended first. Returns false if all entries are live.
bool EvictOldestEnded(Registry* registry) {
  auto oldest = registry->entries.end();
  for (auto it = registry->entries.begin(); it != registry->entries.end(); ++it) {
    if (it->second.live) continue;
    if (oldest == registry->entries.end() || it->second.ended_at < oldest->second.ended_at) {
      oldest = it;
    }
  }
  if (oldest == registry->entries.end()) return false;
  RemoveKey(registry, oldest->second);
  registry->entries.erase(oldest);
  return true;
}

void UpdateKey(Registry* registry, RegistryEntry* entry, const Announcement& announcement) {
  uint64_t key = AnnouncementKey(announcement);
  if (key != entry->key) RemoveKey(registry, *entry);
  entry->key = key;
  registry->by_key[key] = announcement.id;
}

void UpdateEntry(RegistryEntry* entry, const Announcement& announcement, bool same_key,
                 Duration max_ttl, Time sent, Time now) {
  bool same_incarnation =
      entry->live && entry->server.announced.incarnation == announcement.incarnation;
  if (!same_incarnation) entry->server.first_seen = now;
  // An alive set may have told of a later announcement than this one, which has a lower seq.
  if (same_incarnation && same_key) sent = std::max(sent, entry->server.reported_at);
  entry->server.announced = announcement;
  entry->server.reported_at = sent;
  entry->server.expires_at = sent + std::clamp(announcement.ttl, Duration(0), max_ttl);
  entry->live = !announcement.leaving && now < entry->server.expires_at;
  if (!entry->live) entry->ended_at = now;
}

}  // namespace

uint64_t AnnouncementKey(const Announcement& announcement) {
  // Each string is prefixed with its length, so that no two different announcements give the same
  // bytes.
  std::string bytes;
  auto add = [&bytes](const std::string& text) {
    bytes += std::to_string(text.size()) + ':' + text;
  };
  auto add_number = [&bytes](uint64_t value) { bytes += std::to_string(value) + ';'; };
  add(announcement.id.value());
  add_number(announcement.incarnation);
  add_number(static_cast<uint64_t>(announcement.kind));
  add(announcement.domain.value());
  add(announcement.region.value());
  add(announcement.address);
  add_number(announcement.models.size());
  for (const ServedModel& model : announcement.models) {
    add(model.name.value());
    add(model.version);
    add_number(model.adapters.size());
    for (const std::string& adapter : model.adapters) add(adapter);
  }
  add_number(announcement.services.size());
  for (const std::string& service : announcement.services) add(service);
  add(announcement.software_version);
  add(announcement.role);
  add_number(announcement.capabilities.size());
  for (const std::string& capability : announcement.capabilities) add(capability);
  add_number(announcement.checks_fencing ? 1 : 0);
  add_number(announcement.leaving ? 1 : 0);
  add_number(static_cast<uint64_t>(announcement.ttl.count()));
  // `cold_for` shrinks with every announcement of a cold server, so its announcements are relayed
  // in full until it is warm.
  add_number(static_cast<uint64_t>(announcement.cold_for.count()));
  return Hash64(bytes) & kKeyMask;
}

AnnounceResult OnLeave(Registry* registry, const ServerId& id, uint64_t incarnation, Time now) {
  auto it = registry->entries.find(id);
  if (it == registry->entries.end()) return AnnounceResult::kDuplicate;
  RegistryEntry& entry = it->second;
  if (incarnation != 0 && incarnation != entry.server.announced.incarnation) {
    return AnnounceResult::kDuplicate;
  }
  bool was_live = entry.live;
  entry.server.announced.leaving = true;
  UpdateKey(registry, &entry, entry.server.announced);
  entry.live = false;
  if (was_live) entry.ended_at = now;
  return was_live ? AnnounceResult::kLeaving : AnnounceResult::kLeavingNotLive;
}

std::optional<Announcement> ExpandRefresh(const Registry& registry, const ServerRefresh& refresh) {
  auto id = registry.by_key.find(refresh.key);
  if (id == registry.by_key.end()) return std::nullopt;
  auto entry = registry.entries.find(id->second);
  if (entry == registry.entries.end() || entry->second.key != refresh.key) return std::nullopt;
  Announcement announcement = entry->second.server.announced;
  announcement.seq = refresh.seq;
  announcement.load = refresh.load;
  return announcement;
}

AnnounceResult OnAnnouncement(Registry* registry, const Announcement& announcement, Duration age,
                              Time now) {
  bool by_region = registry->scope == ServerScope::kRegion;
  bool in_scope = by_region ? announcement.region == registry->self.region
                            : announcement.domain == registry->self.domain;
  if (!in_scope) return AnnounceResult::kOtherDomain;
  if (announcement.id.empty() || announcement.address.empty()) return AnnounceResult::kInvalid;
  auto it = registry->entries.find(announcement.id);
  bool known = it != registry->entries.end();
  if (known) {
    const Announcement& current = it->second.server.announced;
    if (announcement.incarnation < current.incarnation) return AnnounceResult::kOldIncarnation;
    bool final_change = registry->departure_is_final &&
                        announcement.incarnation == current.incarnation &&
                        announcement.leaving != current.leaving;
    // A departure holds whatever its number: another party may have announced a higher one.
    bool departs = final_change && announcement.leaving;
    if (!departs && Version(announcement) <= Version(current)) return AnnounceResult::kDuplicate;
    if (final_change && !departs) return AnnounceResult::kDuplicate;
  } else {
    if (registry->entries.size() >= kMaxServers && !EvictOldestEnded(registry)) {
      return AnnounceResult::kFull;
    }
    it = registry->entries.emplace(announcement.id, RegistryEntry()).first;
  }
  bool was_live = it->second.live;
  uint64_t old_incarnation = it->second.server.announced.incarnation;
  uint64_t old_key = it->second.key;
  UpdateKey(registry, &it->second, announcement);
  UpdateEntry(&it->second, announcement, it->second.key == old_key, registry->max_ttl,
              now - std::max(age, Duration(0)), now);
  if (it->second.live) registry->last_accepted_at = std::max(registry->last_accepted_at, now);
  if (announcement.leaving)
    return was_live ? AnnounceResult::kLeaving : AnnounceResult::kLeavingNotLive;
  if (!it->second.live) return AnnounceResult::kExpiredOnArrival;
  if (!was_live) return AnnounceResult::kNew;
  return announcement.incarnation == old_incarnation ? AnnounceResult::kRefreshed
                                                     : AnnounceResult::kNewIncarnation;
}

bool OnAlive(Registry* registry, uint64_t key, Duration age, Time now) {
  auto id = registry->by_key.find(key);
  if (id == registry->by_key.end()) return false;
  auto entry = registry->entries.find(id->second);
  if (entry == registry->entries.end() || entry->second.key != key || !entry->second.live) {
    return false;
  }
  BackendServer& server = entry->second.server;
  Time sent = now - std::max(age, Duration(0));
  if (sent <= server.reported_at) return true;
  server.reported_at = sent;
  server.expires_at = sent + std::clamp(server.announced.ttl, Duration(0), registry->max_ttl);
  if (now < server.expires_at) {
    registry->last_accepted_at = std::max(registry->last_accepted_at, now);
  }
  return true;
}

std::vector<ServerId> Expire(Registry* registry, Time now) {
  if (registry->pause_expiry_when_isolated) now = std::min(now, registry->last_accepted_at);
  std::vector<ServerId> expired;
  for (auto it = registry->entries.begin(); it != registry->entries.end();) {
    RegistryEntry& entry = it->second;
    if (entry.live && now >= entry.server.expires_at) {
      entry.live = false;
      entry.ended_at = now;
      expired.push_back(it->first);
    }
    bool purge = !entry.live && now - entry.ended_at >= kEndedEntryRetention;
    if (purge) RemoveKey(registry, entry);
    it = purge ? registry->entries.erase(it) : std::next(it);
  }
  return expired;
}

Duration QueueingDelay(TransitDelayMeter* meter, Duration sent_at, Time now) {
  Duration offset = now.time_since_epoch() - sent_at;
  if (meter->has_offset) {
    int64_t elapsed = std::chrono::duration_cast<seconds>(now - meter->updated_at).count();
    Duration min_offset = meter->min_offset + Duration(elapsed * kClockDriftMicrosPerSecond);
    if (offset >= min_offset) {
      if (elapsed == 0) return offset - min_offset;
      meter->min_offset = min_offset;
      meter->updated_at = now;
      return offset - min_offset;
    }
  }
  meter->has_offset = true;
  meter->min_offset = offset;
  meter->updated_at = now;
  return Duration(0);
}

std::vector<BackendServer> RecentlyLeft(const Registry& registry, Duration within, Time now) {
  std::vector<BackendServer> servers;
  for (const auto& [id, entry] : registry.entries) {
    bool left = !entry.live && entry.server.announced.leaving;
    if (left && now - entry.ended_at < within) servers.push_back(entry.server);
  }
  return servers;
}

std::vector<BackendServer> LiveServers(const Registry& registry, Time now) {
  std::vector<BackendServer> servers;
  for (const auto& [id, entry] : registry.entries) {
    if (!entry.live) continue;
    servers.push_back(entry.server);
    Time& expires_at = servers.back().expires_at;
    if (registry.pause_expiry_when_isolated)
      expires_at = std::max(expires_at, now + kIsolationGrace);
  }
  return servers;
}

}  // namespace ebonylift
