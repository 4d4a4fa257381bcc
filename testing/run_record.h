#ifndef EBONYLIFT_TESTING_RUN_RECORD_H_
#define EBONYLIFT_TESTING_RUN_RECORD_H_

// The run record: a log of the requests that a stand-in received and executed. Tests compare it
// with the responses that clients received.
//
// Memory is bounded by kCapacity entries; the oldest is dropped first. With a file, each start and
// each end is also appended to it as a JSON line with a single write, so the record survives
// SIGKILL.

#include <cstdint>
#include <deque>
#include <string>

#include "adapters/http_server.h"
#include "base/time.h"

namespace ebonylift::standin {

// The stand-in that writes the record; part of each JSON line.
struct ServerIdentity {
  std::string server;
  uint64_t incarnation = 0;
  std::string region;
  std::string domain;
};

// One request.
struct RunEntry {
  uint64_t seq = 0;  // 1, 2, ... in each process
  std::string request_id;
  std::string attempt;
  std::string idempotency_key;
  std::string team;
  std::string user;  // the field `user` of the request body
  std::string method;
  std::string path;
  std::string body_sha256;
  WallMillis received = 0;
  WallMillis started = 0;   // 0: never started
  WallMillis finished = 0;  // 0: not finished
  // waiting, running, completed, cancelled, caller_gone, an order outcome or the reason of a
  // refusal or of an injected fault
  std::string outcome;
  uint64_t fencing = 0;  // fencing token of an order; written only for /v1/orders
  int64_t tokens = 0;    // number of generated tokens
};

// Creates an entry from the headers and the body hash of a request; `received` is the current time.
RunEntry EntryFromRequest(const HttpRequest& request);

class RunRecord {
 public:
  static constexpr size_t kCapacity = 200'000;

  // `file` may be empty. Throws Error(kStorageFailed) when it cannot be opened.
  RunRecord(ServerIdentity identity, const std::string& file);
  ~RunRecord();
  RunRecord(const RunRecord&) = delete;
  RunRecord& operator=(const RunRecord&) = delete;

  // Adds an entry with the outcome `waiting` and returns its sequence number.
  uint64_t Add(RunEntry entry);

  // Record the start and the end of a request. A sequence number that was dropped is ignored.
  void Start(uint64_t seq);
  void Finish(uint64_t seq, const std::string& outcome, int64_t tokens = 0);

  // Returns all entries, one JSON object per line.
  std::string ToJsonLines() const;

 private:
  RunEntry* Find(uint64_t seq);
  std::string ToJson(const RunEntry& entry) const;
  void AppendToFile(const RunEntry& entry);

  ServerIdentity identity_;
  int fd_ = -1;
  uint64_t next_seq_ = 1;
  std::deque<RunEntry> entries_;
};

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_RUN_RECORD_H_
