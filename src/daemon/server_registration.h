#ifndef EBONYLIFT_DAEMON_SERVER_REGISTRATION_H_
#define EBONYLIFT_DAEMON_SERVER_REGISTRATION_H_

// Registers the backend servers that announce themselves to this host or whose announcements other
// hosts relay, logs their changes, and stores them on disk (see daemon/server_snapshot.h).
//
// Not thread safe: all methods run on the control thread. Memory: what core/registry.h and
// daemon/server_snapshot.h state, and one TransitDelayMeter for each host that logged in or sent
// announcements.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "adapters/rpc.h"
#include "base/ids.h"
#include "base/time.h"
#include "core/alive_sets.h"
#include "core/registry.h"
#include "daemon/server_snapshot.h"
#include "ports/journal.h"

namespace ebonylift {

// Departures within this time are stored, and sent to a host that reconnects, which may have missed
// them.
constexpr Duration kDepartureResendWindow = seconds(60);

class ServerRegistration {
 public:
  // Requests that the routing view be published, at least `interval` after the last time.
  using SchedulePublish = std::function<void(Duration interval)>;

  // `registry` is empty and has its options set. `journal` may be null; nothing is stored then.
  ServerRegistration(Registry registry, std::shared_ptr<Journal> journal,
                     SchedulePublish schedule_publish)
      : registry_(std::move(registry)),
        snapshot_(std::move(journal)),
        schedule_publish_(std::move(schedule_publish)) {}
  ServerRegistration(const ServerRegistration&) = delete;
  ServerRegistration& operator=(const ServerRegistration&) = delete;

  const Registry& registry() const { return registry_; }

  // Registers the servers that are stored on disk. Precondition: called before every other method.
  void Load(Time now);

  // Stores the servers on disk if they changed and it is time to.
  void SaveIfDue(Time now);

  // Registers an announcement or a notice of departure without an address; see OnAnnouncement() and
  // OnLeave() in core/registry.h. `age` is the time since the server sent it.
  AnnounceResult Register(const Announcement& announcement, Duration age, Time now);

  // Registers announcements that `from` relayed, sent at `sent_at` by the steady clock of that
  // host. Returns the keys of the refreshes for which the whole announcement is not known.
  std::vector<uint64_t> RegisterRelayed(const HostId& from, Duration sent_at,
                                        const std::vector<RelayedAnnouncement>& announcements,
                                        const std::vector<ServerRefresh>& refreshes);

  // Registers an alive set of `from`; see RpcHandler::OnPeerAlive().
  AliveReply RegisterAlive(const HostId& from, Duration sent_at, const std::string& set);

  // Records that a host logged in, which relays announcements from then on.
  void OnLogin(const HostId& host, uint64_t incarnation);

  // Removes the servers whose time to live has passed. Returns whether there were any.
  bool RemoveExpired(Time now);

  // Returns whether the announcement differs from the registered one only in its order and load.
  bool OnlyLoadChanged(const Announcement& announcement) const;

 private:
  Registry registry_;
  ServerSnapshot snapshot_;
  SchedulePublish schedule_publish_;
  std::map<HostId, TransitDelayMeter> transit_delay_meters_;
  std::map<HostId, AliveKeys> alive_keys_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_SERVER_REGISTRATION_H_
