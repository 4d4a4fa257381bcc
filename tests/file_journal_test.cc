#define BOOST_TEST_MODULE file_journal
#include "adapters/file_journal.h"

#include <unistd.h>

#include <boost/test/included/unit_test.hpp>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>
#include <random>
#include <vector>

#include "base/error.h"
#include "base/event.h"
#include "base/hash.h"

namespace ebonylift {
namespace {

struct TempDirectory {
  TempDirectory() : path(std::filesystem::temp_directory_path() / ("ebonylift-" + RandomHex(8))) {}
  ~TempDirectory() { std::filesystem::remove_all(path); }
  std::string JournalPath() const { return path / "config.journal"; }
  std::filesystem::path path;
};

using Records = std::vector<std::string>;

// Returns the replayed records; a snapshot has the prefix "S:".
Records ReplayAll(FileJournal* journal) {
  Records records;
  journal->Replay([&](std::string_view record, bool is_snapshot) {
    records.push_back((is_snapshot ? "S:" : "") + std::string(record));
  });
  return records;
}

Records ReopenAndReplay(const TempDirectory& directory) {
  FileJournal journal(directory.path, "config");
  return ReplayAll(&journal);
}

bool AppendAndWait(FileJournal* journal, const std::string& record) {
  std::promise<bool> done;
  journal->Append(record, [&](bool ok) { done.set_value(ok); });
  return done.get_future().get();
}

bool CompactAndWait(FileJournal* journal, const std::string& snapshot) {
  std::promise<bool> done;
  journal->Compact(snapshot, [&](bool ok) { done.set_value(ok); });
  return done.get_future().get();
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

void WriteFile(const std::string& path, const std::string& content) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << content;
}

size_t CountEvents(EventId id) {
  size_t count = 0;
  for (const Event& event : ProcessEvents().Read(0, "", 100'000)) count += event.id == id ? 1 : 0;
  return count;
}

// The errno with which each operation fails; 0 means that it succeeds. `partial_write` makes the
// next write a short one.
struct Faults {
  std::atomic<int> write{0};
  std::atomic<int> sync{0};
  std::atomic<int> rename{0};
  std::atomic<bool> partial_write{false};
};

FileOps FaultyOps(Faults* faults) {
  FileOps ops = PosixFileOps();
  FileOps real = ops;
  ops.write = [faults, real](int fd, const void* data, size_t size) -> ssize_t {
    if (faults->partial_write.exchange(false)) return real.write(fd, data, size / 2);
    if (faults->write == 0) return real.write(fd, data, size);
    errno = faults->write;
    return -1;
  };
  ops.sync = [faults, real](int fd) {
    if (faults->sync == 0) return real.sync(fd);
    errno = faults->sync;
    return -1;
  };
  ops.rename = [faults, real](const char* from, const char* to) {
    if (faults->rename == 0) return real.rename(from, to);
    errno = faults->rename;
    return -1;
  };
  return ops;
}

}  // namespace

// Guards against records that are lost, reordered or duplicated by a restart.
BOOST_AUTO_TEST_CASE(RecordsAndSnapshotsSurviveRestart) {
  TempDirectory directory;
  {
    FileJournal journal(directory.path, "config");
    BOOST_TEST(ReplayAll(&journal).empty());
    BOOST_TEST(!journal.LostContents());
    BOOST_TEST(AppendAndWait(&journal, "one"));
    BOOST_TEST(AppendAndWait(&journal, ""));
    BOOST_TEST(CompactAndWait(&journal, "state"));
    BOOST_TEST(AppendAndWait(&journal, "two"));
    BOOST_TEST(journal.SizeBytes() == std::filesystem::file_size(directory.JournalPath()));
  }
  BOOST_TEST(ReopenAndReplay(directory) == (Records{"S:state", "two"}),
             boost::test_tools::per_element());
}

// Guards against callbacks that run out of order and against a destructor that drops queued
// records.
BOOST_AUTO_TEST_CASE(ManyRecordsKeepTheirOrder) {
  TempDirectory directory;
  std::vector<int> order;
  {
    FileJournal journal(directory.path, "config");
    ReplayAll(&journal);
    for (int i = 0; i < 2'000; ++i) {
      journal.Append(std::to_string(i), [&order, i](bool ok) { order.push_back(ok ? i : -1); });
    }
  }
  BOOST_REQUIRE(order.size() == 2'000u);
  Records records = ReopenAndReplay(directory);
  BOOST_REQUIRE(records.size() == 2'000u);
  for (int i = 0; i < 2'000; ++i) {
    BOOST_REQUIRE(order[i] == i);
    BOOST_REQUIRE(records[i] == std::to_string(i));
  }
}

// Guards against a startup that fails or returns records never written after a crash interrupted a
// write: a file truncated at any length must replay a prefix of the records.
BOOST_AUTO_TEST_CASE(TornTailOfAnyLengthIsRemoved) {
  TempDirectory directory;
  {
    FileJournal journal(directory.path, "config");
    ReplayAll(&journal);
    for (const char* record : {"first", "second", "third"}) AppendAndWait(&journal, record);
  }
  std::string whole = ReadFile(directory.JournalPath());
  const Records all = {"first", "second", "third"};
  size_t torn_events_before = CountEvents(EventId::kJournalTornTail);
  for (size_t length = 8; length < whole.size(); ++length) {
    WriteFile(directory.JournalPath(), whole.substr(0, length));
    Records records = ReopenAndReplay(directory);
    BOOST_REQUIRE(records.size() < 3u);
    BOOST_REQUIRE(std::equal(records.begin(), records.end(), all.begin()));
    // Replay truncated the file, so the next record follows a valid one.
    FileJournal journal(directory.path, "config");
    ReplayAll(&journal);
    BOOST_REQUIRE(AppendAndWait(&journal, "next"));
    records.emplace_back("next");
  }
  BOOST_TEST(CountEvents(EventId::kJournalTornTail) > torn_events_before);
  // After a power loss the file may end in zeros instead of being shorter.
  WriteFile(directory.JournalPath(), whole + std::string(100, '\0'));
  BOOST_TEST(ReopenAndReplay(directory) == all, boost::test_tools::per_element());
}

// Guards against treating corruption as a torn tail: a change to any byte before the last record
// must be rejected and must leave the file unchanged.
BOOST_AUTO_TEST_CASE(CorruptionBeforeTheLastRecordIsRejected) {
  TempDirectory directory;
  {
    FileJournal journal(directory.path, "config");
    ReplayAll(&journal);
    CompactAndWait(&journal, "state");
    for (const char* record : {"first", "second", "third"}) AppendAndWait(&journal, record);
  }
  std::string whole = ReadFile(directory.JournalPath());
  size_t last_record = whole.size() - 21 - 5;
  size_t events_before = CountEvents(EventId::kJournalCorrupt);
  for (size_t i = 0; i < last_record; ++i) {
    std::string corrupt = whole;
    corrupt[i] = static_cast<char>(corrupt[i] ^ 0x40);
    WriteFile(directory.JournalPath(), corrupt);
    BOOST_TEST_CONTEXT("byte " << i) { BOOST_CHECK_THROW(ReopenAndReplay(directory), Error); }
    BOOST_REQUIRE(ReadFile(directory.JournalPath()) == corrupt);
  }
  BOOST_TEST(CountEvents(EventId::kJournalCorrupt) == events_before + last_record);
  // A corrupt snapshot must be rejected even without later records.
  std::string snapshot_only = whole.substr(0, 8 + 21 + 5);
  snapshot_only.back() ^= 1;
  WriteFile(directory.JournalPath(), snapshot_only);
  BOOST_CHECK_THROW(ReopenAndReplay(directory), Error);
}

// Guards against reporting a record as durable after a failed write, and against a journal that
// stays unusable once a full disk has free space again.
BOOST_AUTO_TEST_CASE(FullDiskFailsWritesUntilSpaceIsFree) {
  TempDirectory directory;
  Faults faults;
  {
    FileJournal journal(directory.path, "config", FaultyOps(&faults));
    ReplayAll(&journal);
    BOOST_TEST(AppendAndWait(&journal, "one"));
    size_t events_before = CountEvents(EventId::kJournalWriteFailed);
    faults.partial_write = true;
    faults.write = ENOSPC;
    BOOST_TEST(!AppendAndWait(&journal, "lost"));
    BOOST_TEST(CountEvents(EventId::kJournalWriteFailed) == events_before + 1);
    BOOST_TEST(!CompactAndWait(&journal, "state"));
    faults.write = 0;
    BOOST_TEST(AppendAndWait(&journal, "two"));
    faults.partial_write = true;  // a short write alone is not an error
    BOOST_TEST(AppendAndWait(&journal, "three"));
  }
  BOOST_TEST(ReopenAndReplay(directory) == (Records{"one", "two", "three"}),
             boost::test_tools::per_element());
}

// Guards against relying on a file after a failed sync: the kernel may have dropped the data and
// report success for the next sync.
BOOST_AUTO_TEST_CASE(FailedSyncRequiresANewFile) {
  TempDirectory directory;
  Faults faults;
  {
    FileJournal journal(directory.path, "config", FaultyOps(&faults));
    ReplayAll(&journal);
    BOOST_TEST(AppendAndWait(&journal, "one"));
    faults.sync = EIO;
    BOOST_TEST(!AppendAndWait(&journal, "lost"));
    BOOST_TEST(!CompactAndWait(&journal, "state"));
    faults.sync = 0;
    BOOST_TEST(!AppendAndWait(&journal, "still refused"));
    BOOST_TEST(CompactAndWait(&journal, "state"));
    BOOST_TEST(AppendAndWait(&journal, "two"));
  }
  BOOST_TEST(ReopenAndReplay(directory) == (Records{"S:state", "two"}),
             boost::test_tools::per_element());
}

// Guards against a failed compaction losing the records it was meant to replace, and against
// reading the leftover file of an interrupted compaction.
BOOST_AUTO_TEST_CASE(FailedCompactionKeepsTheRecords) {
  TempDirectory directory;
  Faults faults;
  {
    FileJournal journal(directory.path, "config", FaultyOps(&faults));
    ReplayAll(&journal);
    AppendAndWait(&journal, "one");
    faults.rename = EIO;
    BOOST_TEST(!CompactAndWait(&journal, "state"));
    faults.rename = 0;
    BOOST_TEST(AppendAndWait(&journal, "two"));
  }
  WriteFile(directory.JournalPath() + ".new", "half a snapshot");
  BOOST_TEST(ReopenAndReplay(directory) == (Records{"one", "two"}),
             boost::test_tools::per_element());
  BOOST_TEST(!std::filesystem::exists(directory.JournalPath() + ".new"));
}

// Guards against mistaking a removed journal for a first start.
BOOST_AUTO_TEST_CASE(RemovedJournalIsReportedAsLost) {
  TempDirectory directory;
  {
    FileJournal journal(directory.path, "config");
    ReplayAll(&journal);
    AppendAndWait(&journal, "one");
  }
  std::filesystem::remove(directory.JournalPath());
  FileJournal journal(directory.path, "config");
  BOOST_TEST(ReplayAll(&journal).empty());
  BOOST_TEST(journal.LostContents());
}

// Guards against two processes writing to one journal. The lock also excludes a second object in
// the same process, which is what this test opens.
BOOST_AUTO_TEST_CASE(SecondOpenOfOneJournalIsRejected) {
  TempDirectory directory;
  FileJournal journal(directory.path, "config");
  BOOST_CHECK_THROW(FileJournal(directory.path, "config"), Error);
  FileJournal other(directory.path, "records");
}

}  // namespace ebonylift
