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

// File headers. A file that begins with a snapshot has a header of its own, so that a corrupt
// snapshot is not mistaken for an interrupted write of the first record.
constexpr std::string_view kFileHeader = "EBLJRNL1";
constexpr std::string_view kSnapshotFileHeader = "EBLJSNP1";
constexpr size_t kHeaderBytes = 21;
constexpr size_t kCheckedHeaderBytes = 13;  // length, type, durable offset
constexpr size_t kMaxBatchBytes = 4 << 20;
constexpr uint8_t kRecordType = 0;
constexpr uint8_t kSnapshotType = 1;

void AppendLittleEndian(std::string* out, uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) out->push_back(static_cast<char>((value >> (8 * i)) & 0xff));
}

uint64_t ReadLittleEndian(std::string_view data, size_t offset, int bytes) {
  uint64_t value = 0;
  for (int i = 0; i < bytes; ++i) {
    value |= static_cast<uint64_t>(static_cast<unsigned char>(data[offset + i])) << (8 * i);
  }
  return value;
}

void AppendRecord(std::string* out, std::string_view payload, bool is_snapshot,
                  uint64_t durable_offset) {
  std::string header;
  AppendLittleEndian(&header, payload.size(), 4);
  AppendLittleEndian(&header, is_snapshot ? kSnapshotType : kRecordType, 1);
  AppendLittleEndian(&header, durable_offset, 8);
  AppendLittleEndian(&header, Crc32c(header), 4);
  AppendLittleEndian(&header, Crc32c(payload), 4);
  *out += header;
  out->append(payload);
}

struct RecordHeader {
  uint32_t length = 0;
  bool is_snapshot = false;
  uint64_t durable_offset = 0;
  uint32_t payload_crc = 0;
};

std::optional<RecordHeader> ParseHeader(std::string_view content, size_t offset) {
  if (content.size() - offset < kHeaderBytes) return std::nullopt;
  std::string_view checked = content.substr(offset, kCheckedHeaderBytes);
  if (Crc32c(checked) != ReadLittleEndian(content, offset + kCheckedHeaderBytes, 4))
    return std::nullopt;
  RecordHeader header;
  header.length = static_cast<uint32_t>(ReadLittleEndian(content, offset, 4));
  header.is_snapshot = ReadLittleEndian(content, offset + 4, 1) == kSnapshotType;
  header.durable_offset = ReadLittleEndian(content, offset + 5, 8);
  header.payload_crc = static_cast<uint32_t>(ReadLittleEndian(content, offset + 17, 4));
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

// Returns true if a record after `position` was written when the byte at `position` was already
// known to be on disk.
bool WasDurableAt(std::string_view content, size_t position) {
  for (size_t offset = position + 1; offset + kHeaderBytes <= content.size(); ++offset) {
    std::optional<RecordHeader> header = ParseHeader(content, offset);
    if (header && header->durable_offset > position && header->durable_offset <= offset)
      return true;
  }
  return false;
}

void LogWriteFailure(const std::string& file, const char* operation) {
  LogEvent(EventId::kJournalWriteFailed,
           {{"file", file}, {"error", std::string(operation) + ": " + strerror(errno)}});
}

[[noreturn]] void ThrowStorageError(const std::string& file, const char* operation) {
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

FileJournal::FileJournal(std::string directory, std::string name, FileOps ops)
    : directory_(std::move(directory)),
      path_(directory_ + "/" + name + ".journal"),
      marker_path_(directory_ + "/" + name + ".initialised"),
      ops_(std::move(ops)) {
  std::error_code error;
  std::filesystem::create_directories(directory_, error);
  if (error) throw Error(ErrorKind::kStorageFailed, directory_ + ": " + error.message());
  std::string lock_path = directory_ + "/" + name + ".lock";
  lock_fd_ = OpenFile(lock_path, O_RDWR | O_CREAT);
  if (lock_fd_ < 0) ThrowStorageError(lock_path, "open");
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
    queue_changed_.notify_one();
    thread_.join();
  }
  CloseFile();
  close(lock_fd_);
}

// ---- startup

std::string FileJournal::ReadFile() const {
  std::ifstream file(path_, std::ios::binary);
  if (!file) throw Error(ErrorKind::kStorageFailed, path_ + " cannot be opened");
  std::string content((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  if (file.bad()) throw Error(ErrorKind::kStorageFailed, path_ + " cannot be read");
  return content;
}

// The marker is written only after the journal is on disk, so a marker without a journal means that
// the journal was lost.
void FileJournal::OpenOrCreate() {
  unlink((path_ + ".new").c_str());
  bool marker_exists = std::filesystem::exists(marker_path_);
  std::error_code error;
  uint64_t size = std::filesystem::file_size(path_, error);
  bool journal_exists = !error && size > 0;
  if (!journal_exists) {
    lost_contents_ = marker_exists;
    if (lost_contents_) {
      LogEvent(EventId::kJournalCorrupt, {{"file", path_}, {"offset", "0 (the file is missing)"}});
    }
    if (!ReplaceFile(std::string(kFileHeader))) {
      throw Error(ErrorKind::kStorageFailed, path_ + " cannot be created");
    }
  } else {
    fd_ = OpenFile(path_, O_RDWR);
    if (fd_ < 0) ThrowStorageError(path_, "open");
    claim_ = DescriptorClaim(fd_, DescriptorUser::kJournalFile);
  }
  if (marker_exists) return;
  int marker = OpenFile(marker_path_, O_RDWR | O_CREAT);
  if (marker < 0) ThrowStorageError(marker_path_, "open");
  bool synced = ops_.sync(marker) == 0;
  close(marker);
  if (!synced || !SyncDirectory()) ThrowStorageError(marker_path_, "sync");
}

uint64_t FileJournal::ScanRecords(const std::string& content,
                                  const std::function<void(std::string_view, bool)>& on_record) {
  size_t offset = kFileHeader.size();
  while (offset < content.size()) {
    std::optional<RecordHeader> header = ParseHeader(content, offset);
    std::optional<std::string_view> payload;
    if (header) payload = ReadPayload(content, offset, *header);
    if (!payload) break;
    on_record(*payload, header->is_snapshot);
    ++record_count_;
    offset += kHeaderBytes + header->length;
  }
  return offset;
}

void FileJournal::Replay(const std::function<void(std::string_view, bool)>& fn) {
  OpenOrCreate();
  std::string content = ReadFile();
  bool has_snapshot = content.compare(0, kFileHeader.size(), kSnapshotFileHeader) == 0;
  bool has_header = has_snapshot || content.compare(0, kFileHeader.size(), kFileHeader) == 0;
  std::vector<std::pair<std::string_view, bool>> records;
  uint64_t end = 0;
  if (has_header) {
    end = ScanRecords(content, [&](std::string_view payload, bool is_snapshot) {
      records.emplace_back(payload, is_snapshot);
    });
  }
  // A snapshot file is synced before it is renamed to its final name, so an interrupted write
  // cannot explain an unreadable snapshot.
  bool snapshot_unreadable = has_snapshot && records.empty();
  bool corrupt = !has_header || snapshot_unreadable || WasDurableAt(content, end);
  if (corrupt) {
    LogEvent(EventId::kJournalCorrupt, {{"file", path_}, {"offset", std::to_string(end)}});
    throw Error(ErrorKind::kStorageFailed, path_ + " is corrupt at offset " + std::to_string(end) +
                                               " of " + std::to_string(content.size()));
  }
  if (end < content.size()) {
    LogEvent(EventId::kJournalTornTail,
             {{"file", path_}, {"bytes", std::to_string(content.size() - end)}});
    if (ops_.truncate(fd_, static_cast<off_t>(end)) != 0) ThrowStorageError(path_, "truncate");
  }
  // If only the process and not the machine stopped, the content read may still be only in the page
  // cache.
  if (ops_.sync(fd_) != 0) ThrowStorageError(path_, "sync");
  if (lseek(fd_, static_cast<off_t>(end), SEEK_SET) < 0) ThrowStorageError(path_, "seek");
  durable_bytes_ = end;
  size_ = end;
  for (const auto& [payload, is_snapshot] : records) fn(payload, is_snapshot);
  thread_ = std::thread([this] { RunWriter(); });
}

// ---- operations called from any thread

void FileJournal::Enqueue(PendingWrite write) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    queue_.push_back(std::move(write));
  }
  queue_changed_.notify_one();
}

void FileJournal::Append(std::string record, Done done) {
  Enqueue({std::move(record), false, std::move(done)});
}

void FileJournal::Compact(std::string snapshot, Done done) {
  Enqueue({std::move(snapshot), true, std::move(done)});
}

// ---- the journal thread

void FileJournal::RunWriter() {
  while (true) {
    std::deque<PendingWrite> batch;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      queue_changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
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

void FileJournal::WriteRecords(std::deque<PendingWrite>* batch) {
  std::string buffer;
  for (const PendingWrite& write : *batch) AppendRecord(&buffer, write.data, false, durable_bytes_);
  bool ok = !needs_new_file_ && WriteAll(fd_, buffer, path_);
  if (ok && ops_.sync(fd_) != 0) {
    LogWriteFailure(path_, "sync");
    needs_new_file_ = true;
    ok = false;
  }
  if (ok) {
    durable_bytes_ += buffer.size();
    record_count_ += batch->size();
    size_ = durable_bytes_;
  } else if (!needs_new_file_) {
    bool truncated = ops_.truncate(fd_, static_cast<off_t>(durable_bytes_)) == 0 &&
                     lseek(fd_, static_cast<off_t>(durable_bytes_), SEEK_SET) >= 0;
    // No record may be appended after an incomplete one.
    if (!truncated) needs_new_file_ = true;
  }
  for (PendingWrite& write : *batch) {
    if (write.done) write.done(ok);
  }
}

void FileJournal::CloseFile() {
  if (fd_ < 0) return;
  claim_.Release();
  close(fd_);
  fd_ = -1;
}

bool FileJournal::SyncDirectory() {
  int directory = OpenFile(directory_, O_RDONLY | O_DIRECTORY);
  if (directory < 0) return false;
  bool ok = ops_.sync(directory) == 0;
  close(directory);
  return ok;
}

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
  // The new file is now the journal, so records must no longer go to the old one.
  CloseFile();
  fd_ = fd;
  claim_ = DescriptorClaim(fd_, DescriptorUser::kJournalFile);
  durable_bytes_ = content.size();
  size_ = durable_bytes_;
  if (!SyncDirectory()) {
    LogWriteFailure(directory_, "sync");
    // A crash could bring back the old file, which would lack records appended from now on.
    needs_new_file_ = true;
    return false;
  }
  needs_new_file_ = false;
  return true;
}

void FileJournal::WriteSnapshot(PendingWrite* snapshot) {
  std::string content(kSnapshotFileHeader);
  AppendRecord(&content, snapshot->data, true, 0);
  uint64_t replaced_records = record_count_;
  bool ok = ReplaceFile(content);
  if (ok) {
    record_count_ = 1;
    LogEvent(EventId::kJournalTruncated,
             {{"file", path_}, {"records", std::to_string(replaced_records)}});
  }
  if (snapshot->done) snapshot->done(ok);
}

}  // namespace ebonylift
