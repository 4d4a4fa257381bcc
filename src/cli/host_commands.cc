#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>

#include "base/hlc.h"
#include "cli/command.h"
#include "cli/log_files.h"
#include "daemon/settings.h"

DECLARE_string(request_id);
DEFINE_int32(since_s, 0,
             "timeline: show only the events of the last seconds; 0: all available events");

namespace ebonylift {
namespace {

using nlohmann::json;

// Prints arrays of objects as tables and members that are not arrays as `key: value` lines.
void PrintStatus(const json& status) {
  for (const auto& [key, value] : status.items()) {
    if (!value.is_array()) printf("%s: %s\n", key.c_str(), JsonToText(value).c_str());
  }
  for (const auto& [key, value] : status.items()) {
    if (!value.is_array() || value.empty() || !value[0].is_object()) continue;
    std::vector<std::string> columns;
    for (const auto& [column, unused] : value[0].items()) columns.push_back(column);
    std::vector<std::vector<std::string>> rows;
    for (const json& object : value) {
      std::vector<std::string> row;
      row.reserve(columns.size());
      for (const std::string& column : columns) {
        row.push_back(object.contains(column) ? JsonToText(object[column]) : "");
      }
      rows.push_back(row);
    }
    printf("\n%s\n", key.c_str());
    PrintTable(columns, rows);
  }
}

// Formats a timestamp as UTC time of day and logical counter: "HH:MM:SS.mmm/counter".
std::string FormatTimestamp(HlcStamp timestamp) {
  WallMillis wall = HybridClock::ToWall(timestamp);
  time_t whole_seconds = wall / 1000;
  tm parts{};
  gmtime_r(&whole_seconds, &parts);
  char text[32];
  strftime(text, sizeof(text), "%H:%M:%S", &parts);
  char out[48];
  snprintf(out, sizeof(out), "%s.%03d/%u", text, static_cast<int>(wall % 1000),
           static_cast<unsigned>(timestamp & 0xffff));
  return out;
}

void PrintEventTable(const std::vector<json>& events) {
  std::vector<std::vector<std::string>> rows;
  for (const json& event : events) {
    std::string fields;
    for (const auto& [key, value] : event.items()) {
      if (key == "hlc" || key == "daemon" || key == "name" || key == "event" || key == "time") {
        continue;
      }
      fields += (fields.empty() ? "" : " ") + key + "=" + JsonToText(value);
    }
    rows.push_back({FormatTimestamp(event["hlc"].get<HlcStamp>()), JsonToText(event["daemon"]),
                    JsonToText(event["event"]), JsonToText(event["name"]), fields});
  }
  PrintTable({"TIME", "DAEMON", "EVENT", "NAME", "FIELDS"}, rows);
}

int PrintUsage(const char* text) {
  std::cerr << text;
  return kExitUsage;
}

}  // namespace

int RunStatus(const std::vector<std::string>& args) {
  if (!args.empty()) return PrintUsage("usage: ebonylift status --server=ADDRESS --token=TOKEN\n");
  AdminResponse response = CallAdmin("GET", "/admin/v1/status", "");
  if (int code = ReportError(response)) return code;
  if (JsonRequested()) {
    std::cout << response.body.dump() << "\n";
  } else {
    PrintStatus(response.body);
  }
  return kExitOk;
}

int RunDrain(const std::vector<std::string>& args) {
  if (!args.empty()) return PrintUsage("usage: ebonylift drain --server=ADDRESS --token=TOKEN\n");
  AdminResponse response = CallAdmin("POST", "/admin/v1/drain", "{}");
  if (int code = ReportError(response)) return code;
  printf("the daemon is draining and will exit\n");
  return kExitOk;
}

int RunAcceptClaims(const std::vector<std::string>& args) {
  if (!args.empty()) {
    return PrintUsage("usage: ebonylift accept-claims --server=ADDRESS --token=TOKEN\n");
  }
  AdminResponse response = CallAdmin("POST", "/admin/v1/accept-claims", "{}");
  if (int code = ReportError(response)) return code;
  printf("the host accepts idempotency keys again\n");
  return kExitOk;
}

namespace {

void PrintEvents(const std::vector<json>& events) {
  if (JsonRequested()) {
    for (const json& event : events) std::cout << event.dump() << "\n";
  } else {
    PrintEventTable(events);
  }
}

// Returns the lower bound that --since_s sets, counted back from `newest`; 0 if it is not set.
HlcStamp SinceTimestamp(WallMillis newest) {
  if (FLAGS_since_s <= 0) return 0;
  WallMillis since = newest - static_cast<WallMillis>(FLAGS_since_s) * 1000;
  return static_cast<HlcStamp>(since) << 16;
}

// Shows the events of log files. Here --since_s counts back from the newest event in the files
// instead of the current time, because the files may be old.
int PrintTimelineOfFiles(const std::vector<std::string>& files) {
  std::vector<json> events;
  for (const std::string& file : files) {
    std::ifstream log(file);
    if (!log) {
      std::cerr << file << ": cannot read the file\n";
      return kExitUsage;
    }
    ReadLogEvents(log, EventFilter{FLAGS_request_id, 0}, &events);
  }
  SortByTimestamp(&events);
  if (!events.empty()) {
    HlcStamp since = SinceTimestamp(HybridClock::ToWall(events.back()["hlc"].get<HlcStamp>()));
    auto too_old = [since](const json& event) { return event["hlc"].get<HlcStamp>() <= since; };
    events.erase(std::remove_if(events.begin(), events.end(), too_old), events.end());
  }
  PrintEvents(events);
  return kExitOk;
}

}  // namespace

int RunTimeline(const std::vector<std::string>& args) {
  if (!args.empty()) return PrintTimelineOfFiles(args);
  std::string path = "/admin/v1/timeline?request_id=" + EncodeQuery(FLAGS_request_id);
  if (FLAGS_since_s > 0) path += "&since=" + std::to_string(SinceTimestamp(WallNow()));
  AdminResponse response = CallAdmin("GET", path, "");
  if (int code = ReportError(response)) return code;
  PrintEvents(response.body["events"].get<std::vector<json>>());
  return kExitOk;
}

}  // namespace ebonylift
