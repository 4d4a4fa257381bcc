#ifndef EBONYLIFT_DAEMON_STREAM_ORIGIN_TABLE_H_
#define EBONYLIFT_DAEMON_STREAM_ORIGIN_TABLE_H_

// The origins of streams (core/stream_origins.h) that this host knows, and those that it has still
// to send to their holders.
//
// Thread safe: one mutex protects the state, and each call takes microseconds. Memory: that of
// StreamOrigins, and at most kMaxUnsentOrigins origins; further ones are not sent.

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "core/stream_origins.h"
#include "ports/views.h"

namespace ebonylift {

constexpr size_t kMaxUnsentOrigins = 4'096;
// Origins are sent to their holders at once, but in one message if more streams begin within this
// time. If a host ends meanwhile, these are lost.
constexpr Duration kOriginSendInterval = milliseconds(20);

class StreamOriginTable {
 public:
  // Records a stream whose first event this host relays to the caller.
  void Begin(const StreamRecord& record, Time now);
  // Records streams that other hosts began.
  void Add(const std::vector<StreamRecord>& records, Time now);
  std::optional<StreamOrigin> Find(uint64_t stream, Time now) const;
  // Records the software versions of the view. Call it at least every second.
  void RecordVersions(const RoutingView& view, Time now);
  // The software versions of a service or model that were lately recorded, and those in the view.
  std::set<std::string> FindVersions(const RoutingView& view, const std::string& served, Time now);
  // OnlyOrigin() of what was recorded and of the view.
  std::optional<StreamOrigin> FindOnly(const RoutingView& view, const RouteConfig& route, Time now);
  // Returns the streams that began here since the last call, by holder. Returns none if the last
  // call that returned some was less than kOriginSendInterval ago.
  std::map<HostId, std::vector<StreamRecord>> TakeUnsent(const RoutingView& view, Time now);

 private:
  mutable std::mutex mutex_;
  StreamOrigins origins_;
  RecentVersions versions_;
  std::vector<StreamRecord> unsent_;
  Time last_sent_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_STREAM_ORIGIN_TABLE_H_
