#ifndef EBONYLIFT_ADAPTERS_FILE_JOURNAL_H_
#define EBONYLIFT_ADAPTERS_FILE_JOURNAL_H_

// A Journal stored in one file and written by one thread.
//
// Files in the directory of a journal named N:
//   N.journal      the records; a snapshot, if any, is the first record
//   N.journal.new  a file being written to replace N.journal; removed at startup
//   N.initialised  marker: N.journal has been durable at least once
//   N.lock         locked while a process uses the journal
//
// A record is a header (payload length, type, durable offset, CRC32C of these three fields, CRC32C
// of the payload) followed by the payload. The durable offset is the file size that was known to be
// durable when the record was written.
//
// Corruption. Replay() stops at the first invalid record. If no later record has a durable offset
// beyond that position, the invalid record is a write that a crash interrupted: the file is
// truncated there and kJournalTornTail is logged. Otherwise the file is corrupt: kJournalCorrupt is
// logged, Replay() throws, and the file is left unchanged. Corruption of the last durable record
// cannot be distinguished from an interrupted write.
//
// Failed writes. The records of a failed write get done(false), and the file is truncated to its
// durable size. After a failed sync the kernel may have dropped the data, so every Append() fails
// until a Compact() has written a new file.
//
// Lost contents. A marker with a missing or empty journal file means that the journal was removed.
// LostContents() then returns true until the process ends. An owner that must remember the loss
// longer writes it into the new journal. If the whole directory is gone, so is the marker, and this
// class cannot tell the host from a new one. For configuration voters, the peers detect that case:
// they know the name of the lost disk (Hello in core/consensus.h), and ConfigReplica::DiskLost()
// reports it.
//
// Memory: the records not written yet. Callers limit the number of writes they have pending.

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "base/descriptor_claim.h"
#include "ports/journal.h"

namespace ebonylift {

// The file operations that modify storage, replaceable so that tests can make them fail. They
// return results and set errno as the POSIX functions do.
struct FileOps {
  std::function<ssize_t(int fd, const void* data, size_t size)> write;
  std::function<int(int fd)> sync;
  std::function<int(int fd, off_t size)> truncate;
  std::function<int(const char* from, const char* to)> rename;
};

// Returns the system calls.
FileOps PosixFileOps();

class FileJournal : public Journal {
 public:
  // Creates the directory if it does not exist. Throws Error(kStorageFailed) if that fails or if
  // another process uses the journal.
  FileJournal(std::string directory, std::string name, FileOps ops = PosixFileOps());

  // Writes everything appended so far, then stops the journal thread.
  ~FileJournal() override;
  FileJournal(const FileJournal&) = delete;
  FileJournal& operator=(const FileJournal&) = delete;

  void Replay(const std::function<void(std::string_view record, bool is_snapshot)>& fn) override;
  void Append(std::string record, Done done) override;
  void Compact(std::string snapshot, Done done) override;
  bool LostContents() const override { return lost_contents_; }
  uint64_t SizeBytes() const override { return size_; }

 private:
  struct PendingWrite {
    std::string data;
    bool is_snapshot = false;
    Done done;
  };

  // Opens the journal file, or creates it together with its marker. Sets `lost_contents_`.
  void OpenOrCreate();
  std::string ReadFile() const;
  // Calls `on_record` for each valid record and returns the offset at which they end.
  uint64_t ScanRecords(const std::string& content,
                       const std::function<void(std::string_view, bool)>& on_record);
  // The body of the journal thread.
  void RunWriter();
  void WriteRecords(std::deque<PendingWrite>* batch);
  void WriteSnapshot(PendingWrite* snapshot);
  // Atomically replaces the journal with a file of this content.
  bool ReplaceFile(const std::string& content);
  bool WriteAll(int fd, std::string_view data, const std::string& file);
  void CloseFile();
  bool SyncDirectory();
  void Enqueue(PendingWrite write);

  const std::string directory_;
  const std::string path_;
  const std::string marker_path_;
  const FileOps ops_;
  int lock_fd_ = -1;
  // Used only by the journal thread once Replay() has returned.
  int fd_ = -1;
  DescriptorClaim claim_;       // on fd_
  uint64_t durable_bytes_ = 0;  // size of the file up to which it is durable
  uint64_t record_count_ = 0;
  // A sync or a truncation failed: Append() fails until Compact() has written a new file.
  bool needs_new_file_ = false;
  bool lost_contents_ = false;
  std::atomic<uint64_t> size_{0};

  std::mutex mutex_;  // guards queue_ and stopping_
  std::condition_variable queue_changed_;
  std::deque<PendingWrite> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_FILE_JOURNAL_H_
