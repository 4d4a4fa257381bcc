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
DEFINE_int32(since_s, 0, "timeline: show only the last seconds; 0: all that is kept");

namespace ebonylift {
namespace {

using nlohmann::json;

// Prints each array of objects of the status as a table and the rest as `key: value` lines.
void PrintStatus(const json& status) {
  for (const auto& [key, value] : status.items()) {
    if (!value.is_array()) printf("%s: %s\n", key.c_str(), ToText(value).c_str());
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
        row.push_back(object.contains(column) ? ToText(object[column]) : "");
      }
      rows.push_back(row);
    }
    printf("\n%s\n", key.c_str());
    PrintTable(columns, rows);
  }
}

std::string FormatStamp(HlcStamp stamp) {
  WallMillis wall = HybridClock::ToWall(stamp);
  time_t whole = wall / 1000;
  tm parts{};
  gmtime_r(&whole, &parts);
  char text[32];
  strftime(text, sizeof(text), "%H:%M:%S", &parts);
  char out[48];
  snprintf(out, sizeof(out), "%s.%03d/%u", text, static_cast<int>(wall % 1000),
           static_cast<unsigned>(stamp & 0xffff));
  return out;
}

void PrintTimeline(const std::vector<json>& events) {
  std::vector<std::vector<std::string>> rows;
  for (const json& event : events) {
    std::string fields;
    for (const auto& [key, value] : event.items()) {
      if (key == "hlc" || key == "daemon" || key == "name" || key == "event" || key == "time") {
        continue;
      }
      fields += (fields.empty() ? "" : " ") + key + "=" + ToText(value);
    }
    rows.push_back({FormatStamp(event["hlc"].get<HlcStamp>()), ToText(event["daemon"]),
                    ToText(event["event"]), ToText(event["name"]), fields});
  }
  PrintTable({"TIME", "DAEMON", "EVENT", "NAME", "FIELDS"}, rows);
}

int Usage(const char* text) {
  std::cerr << text;
  return kExitUsage;
}

}  // namespace

int RunStatus(const std::vector<std::string>& args) {
  if (!args.empty()) return Usage("usage: ebonylift status --server=ADDRESS --token=TOKEN\n");
  AdminReply reply = CallAdmin("GET", "/admin/v1/status", "");
  if (int code = ReportFailure(reply)) return code;
  if (WantsJson()) {
    std::cout << reply.body.dump() << "\n";
  } else {
    PrintStatus(reply.body);
  }
  return kExitOk;
}

int RunDrain(const std::vector<std::string>& args) {
  if (!args.empty()) return Usage("usage: ebonylift drain --server=ADDRESS --token=TOKEN\n");
  AdminReply reply = CallAdmin("POST", "/admin/v1/drain", "{}");
  if (int code = ReportFailure(reply)) return code;
  printf("the daemon drains and will exit\n");
  return kExitOk;
}

int RunAcceptClaims(const std::vector<std::string>& args) {
  if (!args.empty()) {
    return Usage("usage: ebonylift accept-claims --server=ADDRESS --token=TOKEN\n");
  }
  AdminReply reply = CallAdmin("POST", "/admin/v1/accept-claims", "{}");
  if (int code = ReportFailure(reply)) return code;
  printf("the host takes idempotency keys again\n");
  return kExitOk;
}

namespace {

void ShowTimeline(const std::vector<json>& events) {
  if (WantsJson()) {
    for (const json& event : events) std::cout << event.dump() << "\n";
  } else {
    PrintTimeline(events);
  }
}

HlcStamp Since(WallMillis newest) {
  if (FLAGS_since_s <= 0) return 0;
  WallMillis since = newest - static_cast<WallMillis>(FLAGS_since_s) * 1000;
  return static_cast<HlcStamp>(since) << 16;
}

// The last seconds of a log are counted from its newest event.
int TimelineOfFiles(const std::vector<std::string>& files) {
  std::vector<json> events;
  for (const std::string& file : files) {
    std::ifstream log(file);
    if (!log) {
      std::cerr << file << ": cannot be read\n";
      return kExitUsage;
    }
    ReadLogEvents(log, EventFilter{FLAGS_request_id, 0}, &events);
  }
  SortByStamp(&events);
  if (!events.empty()) {
    HlcStamp since = Since(HybridClock::ToWall(events.back()["hlc"].get<HlcStamp>()));
    auto old = [since](const json& event) { return event["hlc"].get<HlcStamp>() <= since; };
    events.erase(std::remove_if(events.begin(), events.end(), old), events.end());
  }
  ShowTimeline(events);
  return kExitOk;
}

}  // namespace

int RunTimeline(const std::vector<std::string>& args) {
  if (!args.empty()) return TimelineOfFiles(args);
  std::string path = "/admin/v1/timeline?request_id=" + EncodeQuery(FLAGS_request_id);
  if (FLAGS_since_s > 0) path += "&since=" + std::to_string(Since(WallNow()));
  AdminReply reply = CallAdmin("GET", path, "");
  if (int code = ReportFailure(reply)) return code;
  ShowTimeline(reply.body["events"].get<std::vector<json>>());
  return kExitOk;
}

}  // namespace ebonylift
