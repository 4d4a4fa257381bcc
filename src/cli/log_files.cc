#include "cli/log_files.h"

#include <algorithm>

namespace ebonylift {
namespace {

using nlohmann::json;

constexpr char kEventPrefix[] = "{\"event\":";

bool IsEvent(const json& event) {
  return event.is_object() && event.contains("hlc") && event["hlc"].is_number_unsigned() &&
         event.contains("name") && event.contains("daemon");
}

bool Matches(const json& event, const EventFilter& filter) {
  if (event["hlc"].get<HlcStamp>() <= filter.since) return false;
  return filter.request_id.empty() || event.value("request_id", "") == filter.request_id ||
         event.value("caller_request_id", "") == filter.request_id;
}

}  // namespace

void ReadLogEvents(std::istream& log, const EventFilter& filter, std::vector<json>* events) {
  std::string line;
  while (events->size() < kMaxLogEvents && std::getline(log, line)) {
    size_t start = line.find(kEventPrefix);
    if (start == std::string::npos) continue;
    if (line.find(filter.request_id, start) == std::string::npos) continue;
    json event = json::parse(line.begin() + static_cast<ptrdiff_t>(start), line.end(), nullptr,
                             /*allow_exceptions=*/false);
    if (IsEvent(event) && Matches(event, filter)) events->push_back(std::move(event));
  }
}

void SortByTimestamp(std::vector<json>* events) {
  std::stable_sort(events->begin(), events->end(), [](const json& a, const json& b) {
    return a["hlc"].get<HlcStamp>() < b["hlc"].get<HlcStamp>();
  });
}

}  // namespace ebonylift
