#ifndef EBONYLIFT_ADAPTERS_FILE_JOURNAL_H_
#define EBONYLIFT_ADAPTERS_FILE_JOURNAL_H_

// A journal in one file, written by one thread.
//
// Files in the folder, for the name N:
//   N.journal      the records; a snapshot is the first record
//   N.journal.new  a snapshot that is being written; removed at start
//   N.initialised  marker: N.journal was durable once
//   N.lock         held while a process uses the journal
//
// A record is a header (length, type, the file offset that was durable when the record was written,
// CRC32C of the header, CRC32C of the payload) and the payload.
//
// Damage. A bad record is taken for a write that a crash cut off when no later record says that its
// place was durable: the file is cut there and kJournalTornTail is logged. Otherwise the file is
// damaged: kJournalCorrupt is logged, Replay() throws, and nothing is changed. Damage to the last
// durable record cannot be told from a write that was cut off.
//
// Failed writes. The records of a failed write get done(false) and the file is cut back to what is
// durable. After a failed sync the kernel may have dropped the data, so every Append() fails until
// a Compact() has written a new file.
//
// Lost contents. A marker without a readable journal means that the journal was removed:
// LostContents() is true until the process ends; an owner that must remember the loss writes that
// into the new journal. When the whole folder is gone, the marker is gone as well and this class
// sees a new host. For voters of the configuration the peers tell (Hello in core/consensus.h): they
// know the name of the lost disk, and ConfigReplica::DiskLost() reports it.
//
// Memory: the records that are not written yet; the callers bound their open requests.

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "ports/journal.h"

namespace ebonylift {

// The operations that write, so that tests can make them fail. Results and errno as in POSIX.
struct FileOps {
  std::function<ssize_t(int fd, const void* data, size_t size)> write;
  std::function<int(int fd)> sync;
  std::function<int(int fd, off_t size)> truncate;
  std::function<int(const char* from, const char* to)> rename;
};

// The system calls.
FileOps PosixFileOps();

class FileJournal : public Journal {
 public:
  // Creates the folder when it does not exist. Throws Error(kStorageFailed) when that fails or
  // another process uses the journal.
  FileJournal(std::string folder, std::string name, FileOps ops = PosixFileOps());

  // Writes what was appended, then stops the thread.
  ~FileJournal() override;
  FileJournal(const FileJournal&) = delete;
  FileJournal& operator=(const FileJournal&) = delete;

  void Replay(const std::function<void(std::string_view record, bool is_snapshot)>& fn) override;
  void Append(std::string record, Done done) override;
  void Compact(std::string snapshot, Done done) override;
  bool LostContents() const override { return lost_contents_; }
  uint64_t SizeBytes() const override { return size_; }

 private:
  struct Job {
    std::string data;
    bool is_snapshot = false;
    Done done;
  };

  void OpenOrCreate();
  std::string ReadFile() const;
  uint64_t FindEnd(const std::string& content,
                   const std::function<void(std::string_view, bool)>& fn);
  void Run();
  void WriteRecords(std::deque<Job>* jobs);
  void WriteSnapshot(Job* job);
  bool ReplaceFile(const std::string& content);
  bool WriteAll(int fd, std::string_view data, const std::string& file);
  bool SyncFolder();
  void Submit(Job job);

  const std::string folder_;
  const std::string path_;
  const std::string marker_path_;
  const FileOps ops_;
  int lock_fd_ = -1;
  int fd_ = -1;               // journal thread after Replay()
  uint64_t durable_ = 0;      // journal thread after Replay()
  uint64_t records_ = 0;      // journal thread after Replay()
  bool sync_failed_ = false;  // journal thread
  bool lost_contents_ = false;
  std::atomic<uint64_t> size_{0};

  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Job> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_FILE_JOURNAL_H_
