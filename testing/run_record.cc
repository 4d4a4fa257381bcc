#include "testing/run_record.h"

#include <fcntl.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/hash.h"

namespace ebonylift::standin {

RunEntry EntryFromRequest(const HttpRequest& request) {
  RunEntry entry;
  entry.request_id = FindHeader(request.headers, "x-ebonylift-request-id");
  entry.attempt = FindHeader(request.headers, "x-ebonylift-attempt");
  entry.idempotency_key = FindHeader(request.headers, "idempotency-key");
  entry.team = FindHeader(request.headers, "x-ebonylift-team");
  entry.method = request.method;
  entry.path = request.path;
  entry.body_sha256 = Sha256Hex(request.body);
  entry.received = WallNow();
  return entry;
}

RunRecord::RunRecord(ServerIdentity identity, const std::string& file)
    : identity_(std::move(identity)) {
  if (file.empty()) return;
  fd_ = open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (fd_ < 0) throw Error(ErrorKind::kStorageFailed, "cannot open the record file " + file);
}

RunRecord::~RunRecord() {
  if (fd_ >= 0) close(fd_);
}

uint64_t RunRecord::Add(RunEntry entry) {
  entry.seq = next_seq_++;
  entry.outcome = "waiting";
  entries_.push_back(std::move(entry));
  if (entries_.size() > kCapacity) entries_.pop_front();
  return next_seq_ - 1;
}

RunEntry* RunRecord::Find(uint64_t seq) {
  if (entries_.empty() || seq < entries_.front().seq || seq >= next_seq_) return nullptr;
  return &entries_[seq - entries_.front().seq];
}

void RunRecord::Start(uint64_t seq) {
  RunEntry* entry = Find(seq);
  if (entry == nullptr) return;
  entry->started = WallNow();
  entry->outcome = "running";
  AppendToFile(*entry);
}

void RunRecord::Finish(uint64_t seq, const std::string& outcome, int64_t tokens) {
  RunEntry* entry = Find(seq);
  if (entry == nullptr) return;
  entry->finished = WallNow();
  entry->outcome = outcome;
  entry->tokens = tokens;
  AppendToFile(*entry);
}

std::string RunRecord::ToJson(const RunEntry& entry) const {
  nlohmann::json line = {{"server", identity_.server},
                         {"incarnation", identity_.incarnation},
                         {"region", identity_.region},
                         {"domain", identity_.domain},
                         {"seq", entry.seq},
                         {"request_id", entry.request_id},
                         {"attempt", entry.attempt},
                         {"idempotency_key", entry.idempotency_key},
                         {"team", entry.team},
                         {"user", entry.user},
                         {"method", entry.method},
                         {"path", entry.path},
                         {"body_sha256", entry.body_sha256},
                         {"received", entry.received},
                         {"started", entry.started},
                         {"finished", entry.finished},
                         {"outcome", entry.outcome},
                         {"tokens", entry.tokens}};
  if (entry.path == "/v1/orders") line["fencing"] = entry.fencing;
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

void RunRecord::AppendToFile(const RunEntry& entry) {
  if (fd_ < 0) return;
  std::string line = ToJson(entry);
  if (write(fd_, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
    throw Error(ErrorKind::kStorageFailed, "cannot append to the record file");
  }
}

std::string RunRecord::ToJsonLines() const {
  std::string lines;
  for (const RunEntry& entry : entries_) lines += ToJson(entry);
  return lines;
}

}  // namespace ebonylift::standin
