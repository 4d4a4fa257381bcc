#ifndef EBONYLIFT_CLI_LOG_FILES_H_
#define EBONYLIFT_CLI_LOG_FILES_H_

// Reads events from the log files of one or more daemons.
//
// All functions are thread-safe. Memory is bounded by the selected events, at most kMaxLogEvents.

#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/hlc.h"

namespace ebonylift {

constexpr size_t kMaxLogEvents = 100'000;

struct EventFilter {
  // The gateway's or the caller's id of a request; empty: events of any request, or of none.
  std::string request_id;
  HlcStamp since = 0;  // only events with a greater timestamp
};

// Appends the events of `log` that match `filter` to `events`. Text before the event on a line is
// ignored. Lines without a complete event, such as a truncated last line, are skipped. Stops when
// `events` has kMaxLogEvents elements.
void ReadLogEvents(std::istream& log, const EventFilter& filter,
                   std::vector<nlohmann::json>* events);

// Sorts events by their HLC timestamps, so that an event of one daemon comes after the events of
// other daemons that happened before it.
void SortByTimestamp(std::vector<nlohmann::json>* events);

}  // namespace ebonylift

#endif  // EBONYLIFT_CLI_LOG_FILES_H_
