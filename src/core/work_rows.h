#ifndef EBONYLIFT_CORE_WORK_ROWS_H_
#define EBONYLIFT_CORE_WORK_ROWS_H_

// Encodes lists of work (ServerWork) for a receiver that has the list before.
//
// The id of a server is sent once; after that its row has a number. A message has the rows that
// changed, or, if that is shorter, the requests of all servers with two bits each and the rows that
// need more. Messages are numbered: a receiver that missed one reports a gap and keeps nothing, and
// is then sent a complete list.
//
// Not thread safe. Memory: at most kMaxWorkRows rows for each list that is sent or received.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

// Rows are numbered anew when they and those of the next list, which may all be new, could exceed
// this. At least twice the servers of a host, as otherwise each message could be a complete list.
constexpr size_t kMaxWorkRows = 8192;

// A row as both sides know it. Limits have the time at which they were seen, so that a row does not
// change because it ages.
struct WorkRow {
  int in_flight = 0;
  int64_t prefill_tokens = 0;
  std::optional<RequestLimit> limit;
  std::optional<ObservedSpeed> speed;  // rounded as it is sent
};

// What one receiver was sent of one kind of lists.
struct WorkEncoder {
  struct Row {
    size_t number = 0;
    WorkRow row;
  };
  bool in_sync = false;  // false: the next message is a complete list; see ResetEncoder()
  uint64_t sequence = 0;
  std::map<ServerId, Row> rows;
};

// Returns the message that makes the receiver's list equal to `work`.
std::string EncodeWork(WorkEncoder* encoder, const std::vector<ServerWork>& work, Time now);

// Makes the next message a complete list. Sequence numbers go on, so that a message from before
// cannot be taken for one from after.
void ResetEncoder(WorkEncoder* encoder);

// What one sender sent of one kind of lists.
struct WorkDecoder {
  bool in_sync = false;
  uint64_t sequence = 0;
  std::vector<ServerId> servers;  // by number
  std::vector<WorkRow> rows;
};

// Returns the list, or nullopt if a message is missing or malformed.
std::optional<std::vector<ServerWork>> DecodeWork(WorkDecoder* decoder, std::string_view bytes,
                                                  Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_WORK_ROWS_H_
