#include "adapters/file_journal.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/event.h"
#include "base/hash.h"

namespace ebonylift {
namespace {

// The two headers tell a file whose snapshot is damaged from one that has only a torn first record.
constexpr std::string_view kFileHeader = "EBLJRNL1";
constexpr std::string_view kSnapshotFileHeader = "EBLJSNP1";
constexpr size_t kHeaderBytes = 21;
constexpr size_t kCheckedHeaderBytes = 13;  // length, type and durable offset
constexpr size_t kMaxBatchBytes = 4 << 20;
constexpr uint8_t kRecordType = 0;
constexpr uint8_t kSnapshotType = 1;

void AppendNumber(std::string* out, uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) out->push_back(static_cast<char>((value >> (8 * i)) & 0xff));
}

uint64_t ReadNumber(std::string_view data, size_t offset, int bytes) {
  uint64_t value = 0;
  for (int i = 0; i < bytes; ++i) {
    value |= static_cast<uint64_t>(static_cast<unsigned char>(data[offset + i])) << (8 * i);
  }
  return value;
}

void AppendRecord(std::string* out, std::string_view payload, bool is_snapshot, uint64_t durable) {
  std::string header;
  AppendNumber(&header, payload.size(), 4);
  AppendNumber(&header, is_snapshot ? kSnapshotType : kRecordType, 1);
  AppendNumber(&header, durable, 8);
  AppendNumber(&header, Crc32c(header), 4);
  AppendNumber(&header, Crc32c(payload), 4);
  *out += header;
  out->append(payload);
}

struct RecordHeader {
  uint32_t length = 0;
  bool is_snapshot = false;
  uint64_t durable = 0;
  uint32_t payload_crc = 0;
};

std::optional<RecordHeader> ParseHeader(std::string_view content, size_t offset) {
  if (content.size() - offset < kHeaderBytes) return std::nullopt;
  std::string_view checked = content.substr(offset, kCheckedHeaderBytes);
  if (Crc32c(checked) != ReadNumber(content, offset + kCheckedHeaderBytes, 4)) return std::nullopt;
  RecordHeader header;
  header.length = static_cast<uint32_t>(ReadNumber(content, offset, 4));
  header.is_snapshot = ReadNumber(content, offset + 4, 1) == kSnapshotType;
  header.durable = ReadNumber(content, offset + 5, 8);
  header.payload_crc = static_cast<uint32_t>(ReadNumber(content, offset + 17, 4));
  return header;
}

std::optional<std::string_view> ReadPayload(std::string_view content, size_t offset,
                                            const RecordHeader& header) {
  size_t start = offset + kHeaderBytes;
  if (content.size() - start < header.length) return std::nullopt;
  std::string_view payload = content.substr(start, header.length);
  if (Crc32c(payload) != header.payload_crc) return std::nullopt;
  return payload;
}

// Whether a record after `bad` was written when the bytes at `bad` were durable already.
bool WasDurable(std::string_view content, size_t bad) {
  for (size_t offset = bad + 1; offset + kHeaderBytes <= content.size(); ++offset) {
    std::optional<RecordHeader> header = ParseHeader(content, offset);
    if (header && header->durable > bad && header->durable <= offset) return true;
  }
  return false;
}

void LogWriteFailure(const std::string& file, const char* operation) {
  LogEvent(EventId::kJournalWriteFailed,
           {{"file", file}, {"error", std::string(operation) + ": " + strerror(errno)}});
}

[[noreturn]] void ThrowStorage(const std::string& file, const char* operation) {
  std::string reason = strerror(errno);
  LogWriteFailure(file, operation);
  throw Error(ErrorKind::kStorageFailed, file + ": " + operation + ": " + reason);
}

int OpenFile(const std::string& path, int flags) {
  return open(path.c_str(), flags | O_CLOEXEC, 0640);
}

}  // namespace

FileOps PosixFileOps() {
  FileOps ops;
  ops.write = [](int fd, const void* data, size_t size) { return ::write(fd, data, size); };
  ops.sync = [](int fd) { return ::fsync(fd); };
  ops.truncate = [](int fd, off_t size) { return ::ftruncate(fd, size); };
  ops.rename = [](const char* from, const char* to) { return ::rename(from, to); };
  return ops;
}

FileJournal::FileJournal(std::string folder, std::string name, FileOps ops)
    : folder_(std::move(folder)),
      path_(folder_ + "/" + name + ".journal"),
      marker_path_(folder_ + "/" + name + ".initialised"),
      ops_(std::move(ops)) {
  std::error_code error;
  std::filesystem::create_directories(folder_, error);
  if (error) throw Error(ErrorKind::kStorageFailed, folder_ + ": " + error.message());
  std::string lock_path = folder_ + "/" + name + ".lock";
  lock_fd_ = OpenFile(lock_path, O_RDWR | O_CREAT);
  if (lock_fd_ < 0) ThrowStorage(lock_path, "open");
  if (flock(lock_fd_, LOCK_EX | LOCK_NB) != 0) {
    close(lock_fd_);
    throw Error(ErrorKind::kStorageFailed, path_ + " is in use by another process");
  }
}

FileJournal::~FileJournal() {
  if (thread_.joinable()) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
  }
  if (fd_ >= 0) close(fd_);
  close(lock_fd_);
}

// ---- start

std::string FileJournal::ReadFile() const {
  std::ifstream file(path_, std::ios::binary);
  if (!file) throw Error(ErrorKind::kStorageFailed, path_ + " cannot be read");
  std::string content((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  if (file.bad()) throw Error(ErrorKind::kStorageFailed, path_ + " cannot be read");
  return content;
}

// The marker is written after the journal is durable, so a marker without a journal means a loss.
void FileJournal::OpenOrCreate() {
  unlink((path_ + ".new").c_str());
  bool marked = std::filesystem::exists(marker_path_);
  std::error_code error;
  uint64_t size = std::filesystem::file_size(path_, error);
  bool present = !error && size > 0;
  if (!present) {
    lost_contents_ = marked;
    if (lost_contents_) {
      LogEvent(EventId::kJournalCorrupt, {{"file", path_}, {"offset", "0 (the file is missing)"}});
    }
    if (!ReplaceFile(std::string(kFileHeader))) {
      throw Error(ErrorKind::kStorageFailed, path_ + " cannot be created");
    }
  } else {
    fd_ = OpenFile(path_, O_RDWR);
    if (fd_ < 0) ThrowStorage(path_, "open");
  }
  if (marked) return;
  int marker = OpenFile(marker_path_, O_RDWR | O_CREAT);
  if (marker < 0) ThrowStorage(marker_path_, "open");
  bool synced = ops_.sync(marker) == 0;
  close(marker);
  if (!synced || !SyncFolder()) ThrowStorage(marker_path_, "sync");
}

// Calls `fn` for each record and returns where the good records end.
uint64_t FileJournal::FindEnd(const std::string& content,
                              const std::function<void(std::string_view, bool)>& fn) {
  size_t offset = kFileHeader.size();
  while (offset < content.size()) {
    std::optional<RecordHeader> header = ParseHeader(content, offset);
    std::optional<std::string_view> payload;
    if (header) payload = ReadPayload(content, offset, *header);
    if (!payload) break;
    fn(*payload, header->is_snapshot);
    ++records_;
    offset += kHeaderBytes + header->length;
  }
  return offset;
}

void FileJournal::Replay(const std::function<void(std::string_view, bool)>& fn) {
  OpenOrCreate();
  std::string content = ReadFile();
  bool has_snapshot = content.compare(0, kFileHeader.size(), kSnapshotFileHeader) == 0;
  bool has_header = has_snapshot || content.compare(0, kFileHeader.size(), kFileHeader) == 0;
  std::vector<std::pair<std::string_view, bool>> found;
  uint64_t end = 0;
  if (has_header) {
    end = FindEnd(content, [&](std::string_view payload, bool is_snapshot) {
      found.emplace_back(payload, is_snapshot);
    });
  }
  // A snapshot is durable before its file gets the name, so it is never torn.
  bool lacks_snapshot = has_snapshot && found.empty();
  bool damaged = !has_header || lacks_snapshot || WasDurable(content, end);
  if (damaged) {
    LogEvent(EventId::kJournalCorrupt, {{"file", path_}, {"offset", std::to_string(end)}});
    throw Error(ErrorKind::kStorageFailed, path_ + " is damaged at offset " + std::to_string(end) +
                                               " of " + std::to_string(content.size()));
  }
  if (end < content.size()) {
    LogEvent(EventId::kJournalTornTail,
             {{"file", path_}, {"bytes", std::to_string(content.size() - end)}});
    if (ops_.truncate(fd_, static_cast<off_t>(end)) != 0) ThrowStorage(path_, "truncate");
  }
  // What was read may still be in the page cache only, when the process but not the machine
  // stopped.
  if (ops_.sync(fd_) != 0) ThrowStorage(path_, "sync");
  if (lseek(fd_, static_cast<off_t>(end), SEEK_SET) < 0) ThrowStorage(path_, "seek");
  durable_ = end;
  size_ = end;
  for (const auto& [payload, is_snapshot] : found) fn(payload, is_snapshot);
  thread_ = std::thread([this] { Run(); });
}

// ---- requests

void FileJournal::Submit(Job job) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    queue_.push_back(std::move(job));
  }
  wake_.notify_one();
}

void FileJournal::Append(std::string record, Done done) {
  Submit({std::move(record), false, std::move(done)});
}

void FileJournal::Compact(std::string snapshot, Done done) {
  Submit({std::move(snapshot), true, std::move(done)});
}

// ---- the journal thread

void FileJournal::Run() {
  while (true) {
    std::deque<Job> batch;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
      if (queue_.empty()) return;
      size_t bytes = 0;
      while (!queue_.empty() && bytes < kMaxBatchBytes) {
        if (queue_.front().is_snapshot && !batch.empty()) break;
        bytes += queue_.front().data.size();
        batch.push_back(std::move(queue_.front()));
        queue_.pop_front();
        if (batch.back().is_snapshot) break;
      }
    }
    if (batch.front().is_snapshot) {
      WriteSnapshot(&batch.front());
    } else {
      WriteRecords(&batch);
    }
  }
}

bool FileJournal::WriteAll(int fd, std::string_view data, const std::string& file) {
  while (!data.empty()) {
    ssize_t written = ops_.write(fd, data.data(), data.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) {
      if (written == 0) errno = ENOSPC;
      LogWriteFailure(file, "write");
      return false;
    }
    data.remove_prefix(static_cast<size_t>(written));
  }
  return true;
}

void FileJournal::WriteRecords(std::deque<Job>* jobs) {
  std::string buffer;
  for (const Job& job : *jobs) AppendRecord(&buffer, job.data, false, durable_);
  bool ok = !sync_failed_ && WriteAll(fd_, buffer, path_);
  if (ok && ops_.sync(fd_) != 0) {
    LogWriteFailure(path_, "sync");
    sync_failed_ = true;
    ok = false;
  }
  if (ok) {
    durable_ += buffer.size();
    records_ += jobs->size();
    size_ = durable_;
  } else if (!sync_failed_) {
    bool cut = ops_.truncate(fd_, static_cast<off_t>(durable_)) == 0 &&
               lseek(fd_, static_cast<off_t>(durable_), SEEK_SET) >= 0;
    // Later records must not follow a part of a record.
    if (!cut) sync_failed_ = true;
  }
  for (Job& job : *jobs) {
    if (job.done) job.done(ok);
  }
}

bool FileJournal::SyncFolder() {
  int folder = OpenFile(folder_, O_RDONLY | O_DIRECTORY);
  if (folder < 0) return false;
  bool ok = ops_.sync(folder) == 0;
  close(folder);
  return ok;
}

// Puts a file with this content in place of the journal.
bool FileJournal::ReplaceFile(const std::string& content) {
  std::string new_path = path_ + ".new";
  int fd = OpenFile(new_path, O_RDWR | O_CREAT | O_TRUNC);
  if (fd < 0) {
    LogWriteFailure(new_path, "open");
    return false;
  }
  bool written = WriteAll(fd, content, new_path);
  if (written && ops_.sync(fd) != 0) {
    LogWriteFailure(new_path, "sync");
    written = false;
  }
  if (written && ops_.rename(new_path.c_str(), path_.c_str()) != 0) {
    LogWriteFailure(new_path, "rename");
    written = false;
  }
  if (!written) {
    close(fd);
    unlink(new_path.c_str());
    return false;
  }
  // From here on the new file has the name; records must not go to the old one any more.
  if (fd_ >= 0) close(fd_);
  fd_ = fd;
  durable_ = content.size();
  size_ = durable_;
  if (!SyncFolder()) {
    LogWriteFailure(folder_, "sync");
    sync_failed_ = true;  // a crash could bring the old file back, without the records to come
    return false;
  }
  sync_failed_ = false;
  return true;
}

void FileJournal::WriteSnapshot(Job* job) {
  std::string content(kSnapshotFileHeader);
  AppendRecord(&content, job->data, true, 0);
  uint64_t records = records_;
  bool ok = ReplaceFile(content);
  if (ok) {
    records_ = 1;
    LogEvent(EventId::kJournalTruncated, {{"file", path_}, {"records", std::to_string(records)}});
  }
  if (job->done) job->done(ok);
}

}  // namespace ebonylift
