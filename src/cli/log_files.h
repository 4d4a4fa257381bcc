#ifndef EBONYLIFT_CLI_LOG_FILES_H_
#define EBONYLIFT_CLI_LOG_FILES_H_

// Events in the log files of one or more daemons.
//
// All functions are thread safe. Memory: the events that are selected, at most kMaxLogEvents.

#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/hlc.h"

namespace ebonylift {

constexpr size_t kMaxLogEvents = 100'000;

struct EventFilter {
  std::string request_id;  // empty: any
  HlcStamp since = 0;
};

// Appends the selected events of a log. A line may have a prefix before the event; lines without an
// event, such as a torn last line, are passed over. Stops at kMaxLogEvents.
void ReadLogEvents(std::istream& log, const EventFilter& filter,
                   std::vector<nlohmann::json>* events);

// Orders the events of all daemons by their stamps, so that what a daemon did comes after what it
// knew of.
void SortByStamp(std::vector<nlohmann::json>* events);

}  // namespace ebonylift

#endif  // EBONYLIFT_CLI_LOG_FILES_H_
