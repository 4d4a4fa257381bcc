#ifndef EBONYLIFT_DAEMON_ANNOUNCEMENT_RELAY_H_
#define EBONYLIFT_DAEMON_ANNOUNCEMENT_RELAY_H_

// Sends the announcements of backend servers that this host received to the other hosts that keep
// track of the same servers.
//
// Announcements are collected for a short time and sent in one message to each host. One that
// changes only the load of its server waits longer and is sent as a ServerRefresh. A host that
// lacks the full announcement answers with its key and is then sent the full one.
//
// An announcement that changes nothing at all, because its server names no load, is sent to hosts
// that understand alive sets (core/alive_sets.h) as a bit. If the host reports a gap or does not
// answer, its next set has all keys; after a gap it is sent the refreshes at once.
//
// Not thread safe: all methods and callbacks run on the control thread. Memory: at most
// kMaxRelayBatch announcements that wait to be sent, and what core/alive_sets.h states.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "adapters/rpc.h"
#include "base/ids.h"
#include "base/time.h"
#include "core/alive_sets.h"
#include "core/membership.h"
#include "core/registry.h"

namespace ebonylift {

constexpr Duration kRelayInterval = milliseconds(20);
// Longer than kRelayInterval, so that one message carries the load reports of more servers. The
// delay does not extend the time to live, because the age of each report is sent with it.
constexpr Duration kLoadRelayInterval = milliseconds(500);
// Announcements relayed in one message; keeps it far below the message size limit.
constexpr size_t kMaxRelayBatch = 256;

class AnnouncementRelay {
 public:
  using UnknownKeys = std::optional<std::vector<uint64_t>>;

  struct Options {
    Identity self;
    ServerScope scope = ServerScope::kDomain;
    // Both must outlive the relay.
    const Registry* registry = nullptr;
    const Membership* membership = nullptr;
    // Rpc::Announce(); `done` may be null.
    std::function<void(const HostId& to, const std::vector<RelayedAnnouncement>& batch,
                       std::function<void(UnknownKeys)> done)>
        send;
    // Calls `fn` on the control thread after `delay`.
    std::function<void(Duration delay, std::function<void()> fn)> run_after;
    std::function<Time()> now = SteadyNow;
    // Rpc::Understands() and Rpc::Alive(). Null: no host understands alive sets.
    std::function<bool(const HostId& host)> understands_alive_sets;
    std::function<void(const HostId& to, const std::string& set,
                       std::function<void(std::optional<AliveReply>)> done)>
        send_alive_set;
    // Of this process. The numbers of alive sets differ between processes.
    uint64_t incarnation = 0;
  };

  explicit AnnouncementRelay(Options options);
  AnnouncementRelay(const AnnouncementRelay&) = delete;
  AnnouncementRelay& operator=(const AnnouncementRelay&) = delete;

  // Relays an announcement that this host received at `received`. `refresh` is true if only the
  // order and the load changed; see ServerRegistration::OnlyLoadChanged().
  void Add(const Announcement& announcement, Time received, bool refresh);

  // Sends a notice of departure to all hosts at once.
  void SendLeaveNotice(const Announcement& notice);

  // Sends all live servers and recent departures to a host that connected, so that it does not have
  // to wait for the next announcements.
  void SendAll(const HostId& host, Time now);

  // A connection to the host was lost, so alive sets may have been lost.
  void OnDisconnected(const HostId& host) { known_keys_.erase(host); }

  // Returns whether the host keeps track of the same backend servers as this one.
  bool SharesServersWith(const Identity& host) const;

 private:
  struct PendingRelay {
    Announcement announcement;
    Time received;
    bool refresh = false;
  };

  void ScheduleFlush(Duration delay);
  void Flush();
  void SendAliveSet(const HostId& host, const std::vector<RelayedAnnouncement>& batch);
  void SendBatch(const HostId& host, const std::vector<RelayedAnnouncement>& batch);
  void SendUnknown(const HostId& host, const std::vector<uint64_t>& keys);
  void SendFull(const HostId& host, const std::vector<const BackendServer*>& servers, Time now);

  Options options_;
  std::vector<PendingRelay> pending_;
  Duration flush_delay_{0};   // delay of the scheduled flush, while `pending_` is not empty
  uint64_t flush_count_ = 0;  // a timer that was set before the last flush does nothing
  AliveNumbering numbering_;
  // How many keys of the numbering each host was sent, and of which generation.
  std::map<HostId, std::pair<uint64_t, size_t>> known_keys_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_ANNOUNCEMENT_RELAY_H_
