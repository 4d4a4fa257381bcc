#include "daemon/announcement_relay.h"

#include "daemon/server_registration.h"

namespace ebonylift {

void AnnouncementRelay::Add(const Announcement& announcement, Time received, bool refresh) {
  Duration delay = refresh ? kLoadRelayInterval : kRelayInterval;
  pending_.push_back({announcement, received, refresh});
  if (pending_.size() >= kMaxRelayBatch) return Flush();
  if (pending_.size() > 1 && delay >= flush_delay_) return;
  flush_delay_ = delay;
  options_.run_after(delay, [this]() { Flush(); });
}

void AnnouncementRelay::Flush() {
  if (pending_.empty()) return;
  Time now = options_.now();
  std::vector<RelayedAnnouncement> batch;
  for (PendingRelay& pending : pending_) {
    batch.push_back({std::move(pending.announcement), now - pending.received, pending.refresh});
  }
  pending_.clear();
  for (const auto& [id, host] : options_.membership->hosts) {
    if (id == options_.self.host) continue;
    Identity peer{id, host.entry.region, host.entry.domain};
    std::vector<RelayedAnnouncement> wanted;
    for (const RelayedAnnouncement& relayed : batch) {
      const Announcement& server = relayed.announcement;
      if (InScope(peer, options_.scope, server.domain, server.region)) {
        wanted.push_back(relayed);
      }
    }
    if (!wanted.empty()) SendBatch(id, wanted);
  }
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
