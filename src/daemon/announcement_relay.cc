#include "daemon/announcement_relay.h"

#include <algorithm>

#include "daemon/server_registration.h"

namespace ebonylift {

namespace {

// Generations of two processes differ if they are fewer than this.
constexpr int kGenerationBits = 16;

// Whether the announcement says only that the server lives.
bool SaysNothingNew(const RelayedAnnouncement& relayed) {
  const std::vector<std::string>& capabilities = relayed.announcement.capabilities;
  return relayed.refresh &&
         std::find(capabilities.begin(), capabilities.end(), kNoLoadReports) != capabilities.end();
}

}  // namespace

AnnouncementRelay::AnnouncementRelay(Options options) : options_(std::move(options)) {
  numbering_.generation = options_.incarnation << kGenerationBits;
}

void AnnouncementRelay::Add(const Announcement& announcement, Time received, bool refresh) {
  Duration delay = refresh ? kLoadRelayInterval : kRelayInterval;
  pending_.push_back({announcement, received, refresh});
  if (pending_.size() >= kMaxRelayBatch) return Flush();
  if (pending_.size() > 1 && delay >= flush_delay_) return;
  ScheduleFlush(delay);
}

// Without the check of the count, each timer that is left over by an earlier flush would flush, and
// the next announcement would set another one, so that batches would become ever smaller.
void AnnouncementRelay::ScheduleFlush(Duration delay) {
  flush_delay_ = delay;
  options_.run_after(delay, [this, count = flush_count_]() {
    if (count == flush_count_) Flush();
  });
}

void AnnouncementRelay::Flush() {
  if (pending_.empty()) return;
  ++flush_count_;
  Time now = options_.now();
  std::vector<RelayedAnnouncement> batch;
  for (PendingRelay& pending : pending_) {
    batch.push_back({std::move(pending.announcement), now - pending.received, pending.refresh});
  }
  pending_.clear();
  for (const auto& [id, host] : options_.membership->hosts) {
    if (id == options_.self.host) continue;
    Identity peer{id, host.entry.region, host.entry.domain};
    bool sends_alive = options_.understands_alive_sets && options_.understands_alive_sets(id);
    std::vector<RelayedAnnouncement> wanted;
    std::vector<RelayedAnnouncement> alive;
    for (const RelayedAnnouncement& relayed : batch) {
      const Announcement& server = relayed.announcement;
      if (!InScope(peer, options_.scope, server.domain, server.region)) continue;
      (sends_alive && SaysNothingNew(relayed) ? alive : wanted).push_back(relayed);
    }
    if (!wanted.empty()) SendBatch(id, wanted);
    if (!alive.empty()) SendAliveSet(id, alive);
  }
}

void AnnouncementRelay::SendAliveSet(const HostId& host,
                                     const std::vector<RelayedAnnouncement>& batch) {
  std::vector<size_t> numbers;
  Duration age{0};
  uint64_t generation = numbering_.generation;
  for (const RelayedAnnouncement& relayed : batch) {
    numbers.push_back(NumberOfKey(&numbering_, AnnouncementKey(relayed.announcement)));
    age = std::max(age, relayed.age);
  }
  // The numbers before are of the earlier generation.
  if (numbering_.generation != generation) return SendBatch(host, batch);
  auto& [known_generation, known] = known_keys_[host];
  if (known_generation != generation) known = 0;
  std::string set = WriteAliveSet(numbering_, known, numbers, age);
  known_generation = generation;
  known = numbering_.keys.size();
  options_.send_alive_set(host, set, [this, host, batch](const std::optional<AliveReply>& reply) {
    if (!reply || reply->gap) known_keys_.erase(host);
    if (reply && reply->gap) SendBatch(host, batch);
    if (reply) SendUnknown(host, reply->unknown);
  });
}

void AnnouncementRelay::SendBatch(const HostId& host,
                                  const std::vector<RelayedAnnouncement>& batch) {
  options_.send(host, batch, [this, host](const UnknownKeys& unknown) {
    if (unknown) SendUnknown(host, *unknown);
  });
}

void AnnouncementRelay::SendLeaveNotice(const Announcement& notice) {
  std::vector<RelayedAnnouncement> batch = {{notice, Duration(0), false}};
  for (const auto& [id, host] : options_.membership->hosts) {
    if (id != options_.self.host) options_.send(id, batch, nullptr);
  }
}

bool AnnouncementRelay::SharesServersWith(const Identity& host) const {
  return InScope(options_.self, options_.scope, host.domain, host.region);
}

// Sends full announcements of the servers whose refreshes the host did not know. An earlier full
// announcement may have been dropped, or the host may have restarted.
void AnnouncementRelay::SendUnknown(const HostId& host, const std::vector<uint64_t>& keys) {
  const Registry& registry = *options_.registry;
  std::vector<const BackendServer*> servers;
  for (uint64_t key : keys) {
    auto id = registry.by_key.find(key);
    if (id == registry.by_key.end()) continue;
    auto entry = registry.entries.find(id->second);
    if (entry != registry.entries.end() && entry->second.live) {
      servers.push_back(&entry->second.server);
    }
  }
  SendFull(host, servers, options_.now());
}

void AnnouncementRelay::SendAll(const HostId& host, Time now) {
  std::vector<const BackendServer*> servers;
  for (const auto& [id, entry] : options_.registry->entries) {
    if (entry.live) servers.push_back(&entry.server);
  }
  std::vector<BackendServer> departed =
      RecentlyLeft(*options_.registry, kDepartureResendWindow, now);
  for (const BackendServer& server : departed) servers.push_back(&server);
  SendFull(host, servers, now);
}

void AnnouncementRelay::SendFull(const HostId& host,
                                 const std::vector<const BackendServer*>& servers, Time now) {
  std::vector<RelayedAnnouncement> batch;
  for (const BackendServer* server : servers) {
    batch.push_back({server->announced, now - server->reported_at, false});
    if (batch.size() < kMaxRelayBatch) continue;
    options_.send(host, batch, nullptr);
    batch.clear();
  }
  if (!batch.empty()) options_.send(host, batch, nullptr);
}

}  // namespace ebonylift
