#include "daemon/server_registration.h"

#include <optional>
#include <string>

#include "base/event.h"
#include "daemon/control.h"

namespace ebonylift {
namespace {

bool IsLeaveNotice(const Announcement& announcement) {
  return announcement.leaving && announcement.address.empty();
}

}  // namespace

void ServerRegistration::Load(Time now) {
  for (const Announcement& announcement : snapshot_.Load()) {
    Register(announcement, Duration(0), now);
  }
}

void ServerRegistration::SaveIfDue(Time now) {
  if (!snapshot_.SaveDue(now)) return;
  std::vector<Announcement> servers;
  for (const BackendServer& server : LiveServers(registry_, SteadyNow())) {
    servers.push_back(server.announced);
  }
  for (const BackendServer& server : RecentlyLeft(registry_, kDepartureResendWindow, now)) {
    servers.push_back(server.announced);
  }
  snapshot_.Save(servers, now);
}

AnnounceResult ServerRegistration::Register(const Announcement& announcement, Duration age,
                                            Time now) {
  AnnounceResult result = IsLeaveNotice(announcement)
                              ? OnLeave(&registry_, announcement.id, announcement.incarnation, now)
                              : OnAnnouncement(&registry_, announcement, age, now);
  std::string server_id = announcement.id.value();
  switch (result) {
    case AnnounceResult::kNew:
    case AnnounceResult::kNewIncarnation:
      LogEvent(EventId::kServerAnnounced,
               {{"server", server_id},
                {"incarnation", std::to_string(announcement.incarnation)},
                {"kind", announcement.kind == ServerKind::kModel ? "model" : "service"},
                {"software", announcement.software_version}});
      snapshot_.MarkChanged(false);
      schedule_publish_(kPublishInterval);
      break;
    case AnnounceResult::kLeaving:
      LogEvent(EventId::kServerLeaving, {{"server", server_id}});
      snapshot_.MarkChanged(true);
      schedule_publish_(kPublishInterval);
      break;
    case AnnounceResult::kOldIncarnation:
      LogEvent(
          EventId::kServerStaleAnnouncement,
          {{"server", server_id},
           {"incarnation", std::to_string(announcement.incarnation)},
           {"current",
            std::to_string(registry_.entries.at(announcement.id).server.announced.incarnation)}});
      break;
    case AnnounceResult::kRefreshed:
      schedule_publish_(kLoadPublishInterval);
      break;
    default:
      break;
  }
  return result;
}

std::vector<uint64_t> ServerRegistration::RegisterRelayed(
    const HostId& from, Duration sent_at, const std::vector<RelayedAnnouncement>& announcements,
    const std::vector<ServerRefresh>& refreshes) {
  Time now = SteadyNow();
  // The time that the message waited on the way counts towards the age of the announcements.
  Duration waited = QueueingDelay(&transit_delay_meters_[from], sent_at, now);
  for (const RelayedAnnouncement& relayed : announcements) {
    Register(relayed.announcement, relayed.age + waited, now);
  }
  std::vector<uint64_t> unknown;
  for (const ServerRefresh& refresh : refreshes) {
    std::optional<Announcement> announcement = ExpandRefresh(registry_, refresh);
    if (announcement) {
      Register(*announcement, refresh.age + waited, now);
    } else {
      unknown.push_back(refresh.key);
    }
  }
  return unknown;
}

AliveReply ServerRegistration::RegisterAlive(const HostId& from, Duration sent_at,
                                             const std::string& bytes) {
  AliveReply reply;
  std::optional<AliveSet> set = ReadAliveSet(&alive_keys_[from], bytes);
  if (!set) {
    reply.gap = true;
    return reply;
  }
  Time now = SteadyNow();
  Duration age = set->age + QueueingDelay(&transit_delay_meters_[from], sent_at, now);
  for (uint64_t key : set->keys) {
    if (!OnAlive(&registry_, key, age, now)) reply.unknown.push_back(key);
  }
  schedule_publish_(kLoadPublishInterval);
  return reply;
}

void ServerRegistration::OnLogin(const HostId& host, uint64_t incarnation) {
  TransitDelayMeter& meter = transit_delay_meters_[host];
  if (meter.incarnation == incarnation) return;
  // The steady clock of a machine restarts when it boots, so earlier samples may not apply.
  meter = TransitDelayMeter();
  meter.incarnation = incarnation;
}

bool ServerRegistration::RemoveExpired(Time now) {
  std::vector<ServerId> expired = Expire(&registry_, now);
  for (const ServerId& id : expired) LogEvent(EventId::kServerExpired, {{"server", id.value()}});
  return !expired.empty();
}

bool ServerRegistration::OnlyLoadChanged(const Announcement& announcement) const {
  auto it = registry_.entries.find(announcement.id);
  return it != registry_.entries.end() && it->second.live &&
         it->second.key == AnnouncementKey(announcement);
}

}  // namespace ebonylift
