#include "daemon/stream_origin_table.h"

#include <utility>

namespace ebonylift {

void StreamOriginTable::Begin(const StreamRecord& record, Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  origins_.streams.Set(record.stream, record.origin, now);
  if (unsent_.size() < kMaxUnsentOrigins) unsent_.push_back(record);
}

void StreamOriginTable::Add(const std::vector<StreamRecord>& records, Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  for (const StreamRecord& record : records) {
    origins_.streams.Set(record.stream, record.origin, now);
  }
}

std::optional<StreamOrigin> StreamOriginTable::Find(uint64_t stream, Time now) const {
  std::lock_guard<std::mutex> lock(mutex_);
  const StreamOrigin* origin = origins_.streams.Find(stream, now);
  return origin == nullptr ? std::nullopt : std::optional<StreamOrigin>(*origin);
}

void StreamOriginTable::RecordVersions(const RoutingView& view, Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  ebonylift::RecordVersions(&versions_, view, now);
}

std::set<std::string> StreamOriginTable::FindVersions(const RoutingView& view,
                                                      const std::string& served, Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  ebonylift::RecordVersions(&versions_, view, now);
  std::set<std::string> versions;
  auto known = versions_.last_known.find(served);
  if (known == versions_.last_known.end()) return versions;
  for (const auto& [version, time] : known->second) versions.insert(version);
  return versions;
}

std::optional<StreamOrigin> StreamOriginTable::FindOnly(const RoutingView& view,
                                                        const RouteConfig& route, Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  ebonylift::RecordVersions(&versions_, view, now);
  return OnlyOrigin(versions_, route, now);
}

std::map<HostId, std::vector<StreamRecord>> StreamOriginTable::TakeUnsent(const RoutingView& view,
                                                                          Time now) {
  std::vector<StreamRecord> records;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (unsent_.empty() || now - last_sent_ < kOriginSendInterval) return {};
    last_sent_ = now;
    records = std::exchange(unsent_, {});
  }
  std::map<HostId, std::vector<StreamRecord>> by_holder;
  for (const StreamRecord& record : records) {
    for (const HostId& holder : HoldersToTell(view.hosts, view.self, record.stream)) {
      by_holder[holder].push_back(record);
    }
  }
  return by_holder;
}

}  // namespace ebonylift
