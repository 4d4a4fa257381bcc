#ifndef EBONYLIFT_CORE_STREAM_ORIGINS_H_
#define EBONYLIFT_CORE_STREAM_ORIGINS_H_

// Remembers which service and software version began the streams of callers. Only servers of that
// version may continue a stream, and a caller may take a broken one up at any host.
//
// The host that relays the first event of a stream keeps its origin and sends it to two holders:
// one host of its own region and one of another region, so that the origin outlives the loss of a
// host and of a region. Hosts that callers do not use come first, so that it also outlives the loss
// of all hosts that callers use. Among equals, hosts select the holders by rendezvous hashing, so
// that the host at which the caller takes the stream up asks the same ones, without messages in
// between. That host does not know the region in which the stream began, so it asks in all regions.
//
// Not thread safe. Memory of StreamOrigins: see base/recent_map.h; an entry has about 150 bytes.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/recent_map.h"
#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

// Longer than callers try a request.
constexpr Duration kStreamOriginInterval = seconds(30);
constexpr size_t kMaxStreamOrigins = 65'536;  // in one interval
// Hosts that are asked in each region. More than one, because the host that relayed a stream sends
// its origin to the second one if it is the first one itself, and because hosts may briefly differ
// in which hosts they believe alive.
constexpr size_t kHoldersToAsk = 2;

struct StreamOrigins {
  RecentMap<StreamOrigin> streams{kStreamOriginInterval, kMaxStreamOrigins};
};

// A host that did not look at its view for this long may have missed a version.
constexpr Duration kMaxVersionsGap = seconds(3);

// The software versions that this host has lately known.
struct RecentVersions {
  // Of each service or model, and when the host last knew it. Empty: the version of a server that
  // names none.
  std::map<std::string, std::map<std::string, Time>> last_known;
  Time recorded_at;
  // The host has heard of all regions without interruption since then; Time(): it does not now.
  Time complete_since;
};

// Adds the versions of the servers in the view, those that leave included, and drops those that
// were last known before kStreamOriginInterval.
void RecordVersions(RecentVersions* versions, const RoutingView& view, Time now);

// Identifies a stream by the caller's id of the request that brought its first event.
uint64_t StreamKey(std::string_view caller_request_id);

// Returns the hosts, other than `self`, to which `self` sends the origin of a stream.
std::vector<HostId> HoldersToTell(const std::vector<HostEntry>& hosts, const Identity& self,
                                  uint64_t stream);

// Returns the hosts, other than `self`, that may have the origin of a stream.
std::vector<HostId> HoldersToAsk(const std::vector<HostEntry>& hosts, const Identity& self,
                                 uint64_t stream);

// Returns whether the hosts that were asked confirm that `origin` is that of any stream: in each
// region, `self` included, a host has answered, and none knows another version. A host that was cut
// off or stopped for a few seconds does not notice that a version has joined meanwhile.
bool IsConfirmed(const StreamOrigin& origin, const std::vector<HostEntry>& hosts,
                 const Identity& self, const VersionSearch& search);

// Returns the origin of any stream of the route, if all its servers have had the same software
// version for kStreamOriginInterval and this host has heard of all regions for as long; nullopt
// otherwise. For callers that do not say which stream they take up.
std::optional<StreamOrigin> OnlyOrigin(const RecentVersions& versions, const RouteConfig& route,
                                       Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_STREAM_ORIGINS_H_
