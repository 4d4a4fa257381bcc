#ifndef EBONYLIFT_CORE_REGISTRY_H_
#define EBONYLIFT_CORE_REGISTRY_H_

// The backend servers of the own failure domain or region.
//
// An announcement is newer than another of the same server if its (incarnation, seq) is larger.
// Only a newer announcement changes an entry, so an announcement that is relayed twice or late
// extends nothing. An entry expires at `sent + ttl`, where `sent` is the time of receipt minus the
// age that came with the announcement, wherever relaying stops.
//
// The registry keeps the (incarnation, seq) of a server that expired or left for kForgetAfter;
// until then only a newer announcement brings the server back. Memory: at most kMaxServers entries,
// remembered ones included.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

constexpr size_t kMaxServers = 4096;
constexpr Duration kMaxServerTtl = seconds(2);  // unless the registry allows more
constexpr Duration kMaxAnyServerTtl = seconds(30);
constexpr Duration kMaxColdTime = seconds(3600);
constexpr Duration kNewsGrace = seconds(2);
constexpr Duration kForgetAfter = seconds(600);

enum class AnnounceResult {
  kNew,             // an unknown server, or one that came back
  kNewIncarnation,  // a restarted server
  kRefreshed,       // newer announcement of a live server
  kLeft,            // the server announced that it leaves and gets no new work
  kGone,            // leaves or left before; newer, so it is remembered
  kDuplicate,       // not newer than the known one of this incarnation; nothing changed
  kOldIncarnation,  // refused
  kTooOld,          // older than its time to live on arrival; remembered, not live
  kOtherDomain,     // refused
  kInvalid,         // refused: no id or no address
  kFull,            // refused: kMaxServers live servers are known
};

// A newer announcement of a server of which only the order and the load changed. Relaying it takes
// a tenth of the bytes of the whole announcement.
struct ServerRefresh {
  uint64_t key = 0;  // AnnouncementKey() of the whole announcement
  uint64_t seq = 0;
  ServerLoad load;
  Duration age{0};
};

// 48 bits of a hash over everything in an announcement except its order and load.
uint64_t AnnouncementKey(const Announcement& announcement);

struct RegistryEntry {
  BackendServer server;
  uint64_t key = 0;
  bool live = false;
  Time ended_at;  // when it expired or left; meaningless while live
};

struct Registry {
  Identity self;
  ServerScope scope = ServerScope::kDomain;
  Duration max_ttl = kMaxServerTtl;
  // A server that said that it leaves never comes back in the same incarnation: a later
  // announcement of it was sent before or is repeated by somebody else.
  bool leaving_is_final = false;
  // A host that hears of no server at all is cut off, and the servers are probably still there:
  // time counts against a server only while others are heard of.
  bool expire_by_news = false;
  Time last_news;  // of the newest announcement of any server
  std::map<ServerId, RegistryEntry> entries;
  std::map<uint64_t, ServerId> by_key;
};

// `age`: time since the server sent the announcement; negative values count as 0.
AnnounceResult OnAnnouncement(Registry* registry, const Announcement& announcement, Duration age,
                              Time now);

// The server says that it leaves, in a message without an announcement. `incarnation` 0 stands for
// the one that is known. Returns kLeft, kGone, or kDuplicate when no such server is known.
AnnounceResult OnLeave(Registry* registry, const ServerId& id, uint64_t incarnation, Time now);

// The whole announcement, or nullopt when no known server has the key.
std::optional<Announcement> ApplyRefresh(const Registry& registry, const ServerRefresh& refresh);

// Ends the servers whose time to live is over and returns them; see `expire_by_news`.
std::vector<ServerId> Expire(Registry* registry, Time now);

// By id. A server is live until it expires or leaves.
// With `expire_by_news`, one whose time is over is shown as live for kNewsGrace more.
std::vector<BackendServer> LiveServers(const Registry& registry, Time now);

// Servers that left less than `within` ago, for hosts that may have missed it.
std::vector<BackendServer> RecentlyLeft(const Registry& registry, Duration within, Time now);

// How long relayed announcements of one host wait on the way. The difference between the own clock
// at receipt and the sender's clock at sending is a constant plus the time on the way; what exceeds
// the smallest difference seen is waiting time, for example in the buffers of a process that was
// stopped. Both clocks are steady clocks, so steps of the wall clock do not matter.
struct TransitMeter {
  uint64_t incarnation = 0;  // of the sender; its clock starts again when its machine boots
  bool known = false;
  Duration smallest{0};
  Time at;  // when `smallest` was last set
};

// By how much the clocks of two machines may drift apart.
constexpr int64_t kClockDriftMicrosPerSecond = 200;

// The waiting time of a message that was sent at `sent_at` by the sender's steady clock. The first
// message counts as not waiting.
Duration TransitExcess(TransitMeter* meter, Duration sent_at, Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_REGISTRY_H_
