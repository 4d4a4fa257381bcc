#ifndef EBONYLIFT_TESTING_RUN_RECORD_H_
#define EBONYLIFT_TESTING_RUN_RECORD_H_

// What a stand-in ran, by its own account. Tests compare it with what callers were told.
//
// Memory is bounded by kCapacity entries, oldest dropped first. With a file, each start and each
// end is also appended to it as a JSON line with one write, so the record outlives SIGKILL.

#include <cstdint>
#include <deque>
#include <string>

#include "adapters/http_server.h"
#include "base/time.h"

namespace ebonylift::standin {

struct RunOwner {
  std::string server;
  uint64_t incarnation = 0;
  std::string region;
  std::string domain;
};

struct RunEntry {
  uint64_t seq = 0;  // 1, 2, ... in one process
  std::string request_id;
  std::string attempt;
  std::string idempotency_key;
  std::string team;
  std::string user;  // the field `user` of the body
  std::string method;
  std::string path;
  std::string body_sha256;
  WallMillis received = 0;
  WallMillis started = 0;   // 0: never started
  WallMillis finished = 0;  // 0: still running
  std::string outcome;      // waiting, running, completed, cancelled, detached, fault names
  uint64_t fencing = 0;     // of an order; written for POST /v1/orders only
  int64_t tokens = 0;       // generated
};

// Entry with the headers and the body hash of a request; `received` is now.
RunEntry EntryFromRequest(const HttpRequest& request);

class RunRecord {
 public:
  static constexpr size_t kCapacity = 200'000;

  // `file` may be empty. Throws Error(kStorageFailed) when it cannot be opened.
  RunRecord(RunOwner owner, const std::string& file);
  ~RunRecord();
  RunRecord(const RunRecord&) = delete;
  RunRecord& operator=(const RunRecord&) = delete;

  // Adds an entry and returns its seq.
  uint64_t Add(RunEntry entry);

  void Start(uint64_t seq);
  void Finish(uint64_t seq, const std::string& outcome, int64_t tokens = 0);

  // All entries, one JSON object on a line.
  std::string ToJsonLines() const;

 private:
  RunEntry* Find(uint64_t seq);
  std::string ToJson(const RunEntry& entry) const;
  void AppendToFile(const RunEntry& entry);

  RunOwner owner_;
  int fd_ = -1;
  uint64_t next_seq_ = 1;
  std::deque<RunEntry> entries_;
};

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_RUN_RECORD_H_
