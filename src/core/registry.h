#ifndef EBONYLIFT_CORE_REGISTRY_H_
#define EBONYLIFT_CORE_REGISTRY_H_

// Registry of the backend servers in this host's failure domain or region.
//
// Announcements of a server are ordered by (incarnation, seq). Only a newer announcement changes an
// entry, so one that is relayed twice or late does not extend the server's lifetime. An entry
// expires at `sent + ttl`, where `sent` is the time of receipt minus the age that came with the
// announcement, regardless of how often the announcement was relayed.
//
// The registry keeps the (incarnation, seq) of a server that expired or left for
// kEndedEntryRetention; during that time only a newer announcement brings the server back. Memory:
// at most kMaxServers entries, including those of servers that expired or left.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

constexpr size_t kMaxServers = 4096;
constexpr Duration kMaxServerTtl = seconds(2);  // default of Registry::max_ttl
// Limits on ttl and cold_for in relayed announcements.
constexpr Duration kMaxRelayedTtl = seconds(30);
constexpr Duration kMaxRelayedColdTime = seconds(3600);
// See LiveServers(). Longer than a host is usually suspended, so that it can serve when it wakes,
// before it has published a view.
constexpr Duration kIsolationGrace = seconds(10);
constexpr Duration kEndedEntryRetention = seconds(600);

enum class AnnounceResult {
  kNew,             // an unknown server, or one that had expired or left
  kNewIncarnation,  // a live server restarted
  kRefreshed,       // a newer announcement of a live server
  kLeaving,         // a live server announced that it is leaving; it gets no new work
  kLeavingNotLive,  // a server that was not live announced that it is leaving; recorded
  // Ignored: not newer than the known one of this incarnation, or excluded by departure_is_final.
  kDuplicate,
  kOldIncarnation,    // rejected: a newer incarnation is known
  kExpiredOnArrival,  // its ttl passed before it arrived; recorded, but the server is not live
  kOtherDomain,       // rejected: outside this host's failure domain or region
  kInvalid,           // rejected: no id or no address
  kFull,              // rejected: kMaxServers live servers are known
};

// A newer announcement in which only `seq` and `load` differ from the last full one. Relaying it
// takes a tenth of the bytes of the full announcement.
struct ServerRefresh {
  uint64_t key = 0;  // AnnouncementKey() of the full announcement
  uint64_t seq = 0;
  ServerLoad load;
  Duration age{0};
};

// Returns 48 bits of a hash over all fields of an announcement except `seq` and `load`.
uint64_t AnnouncementKey(const Announcement& announcement);

struct RegistryEntry {
  BackendServer server;
  uint64_t key = 0;  // AnnouncementKey() of `server.announced`
  bool live = false;
  Time ended_at;  // when the server expired or left; unspecified while it is live
};

struct Registry {
  Identity self;
  ServerScope scope = ServerScope::kDomain;
  Duration max_ttl = kMaxServerTtl;  // longer ttls in announcements are reduced to this
  // If true, a server that announced its departure never returns in the same incarnation. An
  // announcement that arrives later was either sent before the departure or repeated by another
  // party. Its departure is recorded even if a higher `seq` is known.
  bool departure_is_final = false;
  // If true, a server expires only if other announcements arrived after the end of its ttl. A host
  // that receives no announcements at all is isolated, and the servers are probably still running.
  bool pause_expiry_when_isolated = false;
  Time last_accepted_at;  // when a live server's announcement was last accepted
  std::map<ServerId, RegistryEntry> entries;
  std::map<uint64_t, ServerId> by_key;  // by RegistryEntry::key
};

// Records an announcement. `age` is the time since the server sent it; negative values count as 0.
AnnounceResult OnAnnouncement(Registry* registry, const Announcement& announcement, Duration age,
                              Time now);

// Records that a server is leaving, from a message without an announcement. `incarnation` 0 matches
// any known incarnation. Returns kLeaving or kLeavingNotLive, or kDuplicate if no such server is
// known.
AnnounceResult OnLeave(Registry* registry, const ServerId& id, uint64_t incarnation, Time now);

// Returns the full announcement that the refresh stands for, or nullopt if no known server has the
// key. Does not change the registry.
std::optional<Announcement> ExpandRefresh(const Registry& registry, const ServerRefresh& refresh);

// Records that the live server with this key announced itself again, without any change, `age` ago.
// Its seq stays as it is. Returns false if no live server has the key.
bool OnAlive(Registry* registry, uint64_t key, Duration age, Time now);

// Marks the servers whose ttl has passed as expired and returns them; see
// `pause_expiry_when_isolated`. Erases entries that ended at least kEndedEntryRetention ago.
std::vector<ServerId> Expire(Registry* registry, Time now);

// Returns the live servers, ordered by id. A server is live until it expires or leaves. With
// `pause_expiry_when_isolated`, the returned expiry time is at least kIsolationGrace after `now`,
// so a server whose ttl has passed stays usable while it is live. Call it again before that.
std::vector<BackendServer> LiveServers(const Registry& registry, Time now);

// Returns the servers that left less than `within` ago, to tell hosts that may have missed the
// departure.
std::vector<BackendServer> RecentlyLeft(const Registry& registry, Duration within, Time now);

// Measures how long announcements relayed by one host are queued in transit. The difference between
// the local clock at receipt and the sender's clock at sending is a constant offset plus the
// transit time. Whatever exceeds the smallest difference seen is queueing delay, for example in the
// buffers of a process that was stopped. Both clocks are steady clocks, so steps of the wall clock
// have no effect.
struct TransitDelayMeter {
  uint64_t incarnation = 0;  // of the sender, whose steady clock restarts when its machine boots
  bool has_offset = false;
  Duration min_offset{0};
  Time updated_at;  // when `min_offset` was last set
};

// The assumed maximum drift between the clocks of two machines. The smallest difference seen is
// raised at this rate, so that drift does not count as queueing delay.
constexpr int64_t kClockDriftMicrosPerSecond = 200;

// Returns the queueing delay of a message that was sent at `sent_at` by the sender's steady clock.
// The first message of a sender is assumed to have none.
Duration QueueingDelay(TransitDelayMeter* meter, Duration sent_at, Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_REGISTRY_H_
