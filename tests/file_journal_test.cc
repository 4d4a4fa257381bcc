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

struct Folder {
  Folder() : path(std::filesystem::temp_directory_path() / ("ebonylift-" + RandomHex(8))) {}
  ~Folder() { std::filesystem::remove_all(path); }
  std::string File() const { return path / "config.journal"; }
  std::filesystem::path path;
};

using Records = std::vector<std::string>;

// Snapshots are marked by "S:".
Records ReplayAll(FileJournal* journal) {
  Records records;
  journal->Replay([&](std::string_view record, bool is_snapshot) {
    records.push_back((is_snapshot ? "S:" : "") + std::string(record));
  });
  return records;
}

Records ReadBack(const Folder& folder) {
  FileJournal journal(folder.path, "config");
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

// Which operation fails next, and with which errno. 0: none.
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

// Guards against records that are lost, reordered or repeated over a restart.
BOOST_AUTO_TEST_CASE(RecordsAndSnapshotsComeBack) {
  Folder folder;
  {
    FileJournal journal(folder.path, "config");
    BOOST_TEST(ReplayAll(&journal).empty());
    BOOST_TEST(!journal.LostContents());
    BOOST_TEST(AppendAndWait(&journal, "one"));
    BOOST_TEST(AppendAndWait(&journal, ""));
    BOOST_TEST(CompactAndWait(&journal, "state"));
    BOOST_TEST(AppendAndWait(&journal, "two"));
    BOOST_TEST(journal.SizeBytes() == std::filesystem::file_size(folder.File()));
  }
  BOOST_TEST(ReadBack(folder) == (Records{"S:state", "two"}), boost::test_tools::per_element());
}

// Guards against callbacks out of order and against records that a destructor drops.
BOOST_AUTO_TEST_CASE(ManyRecordsKeepTheirOrder) {
  Folder folder;
  std::vector<int> order;
  {
    FileJournal journal(folder.path, "config");
    ReplayAll(&journal);
    for (int i = 0; i < 2'000; ++i) {
      journal.Append(std::to_string(i), [&order, i](bool ok) { order.push_back(ok ? i : -1); });
    }
  }
  BOOST_REQUIRE(order.size() == 2'000u);
  Records records = ReadBack(folder);
  BOOST_REQUIRE(records.size() == 2'000u);
  for (int i = 0; i < 2'000; ++i) {
    BOOST_REQUIRE(order[i] == i);
    BOOST_REQUIRE(records[i] == std::to_string(i));
  }
}

// Guards against a start that fails, or invents records, after a write that a crash cut off: every
// length of the file must give a prefix of the records.
BOOST_AUTO_TEST_CASE(EveryTornTailIsRemoved) {
  Folder folder;
  {
    FileJournal journal(folder.path, "config");
    ReplayAll(&journal);
    for (const char* record : {"first", "second", "third"}) AppendAndWait(&journal, record);
  }
  std::string whole = ReadFile(folder.File());
  const Records all = {"first", "second", "third"};
  size_t torn_before = CountEvents(EventId::kJournalTornTail);
  for (size_t length = 8; length < whole.size(); ++length) {
    WriteFile(folder.File(), whole.substr(0, length));
    Records records = ReadBack(folder);
    BOOST_REQUIRE(records.size() < 3u);
    BOOST_REQUIRE(std::equal(records.begin(), records.end(), all.begin()));
    // The file was cut, so the next record follows a good one.
    FileJournal journal(folder.path, "config");
    ReplayAll(&journal);
    BOOST_REQUIRE(AppendAndWait(&journal, "next"));
    records.emplace_back("next");
  }
  BOOST_TEST(CountEvents(EventId::kJournalTornTail) > torn_before);
  // A machine that lost power may show zeros instead of a cut.
  WriteFile(folder.File(), whole + std::string(100, '\0'));
  BOOST_TEST(ReadBack(folder) == all, boost::test_tools::per_element());
}

// Guards against damage that is taken for a torn tail: every changed byte before the last record
// must be refused, and the file left as it is.
BOOST_AUTO_TEST_CASE(DamagedMiddleIsRefused) {
  Folder folder;
  {
    FileJournal journal(folder.path, "config");
    ReplayAll(&journal);
    CompactAndWait(&journal, "state");
    for (const char* record : {"first", "second", "third"}) AppendAndWait(&journal, record);
  }
  std::string whole = ReadFile(folder.File());
  size_t last_record = whole.size() - 21 - 5;
  size_t events_before = CountEvents(EventId::kJournalCorrupt);
  for (size_t i = 0; i < last_record; ++i) {
    std::string damaged = whole;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x40);
    WriteFile(folder.File(), damaged);
    BOOST_TEST_CONTEXT("byte " << i) { BOOST_CHECK_THROW(ReadBack(folder), Error); }
    BOOST_REQUIRE(ReadFile(folder.File()) == damaged);
  }
  BOOST_TEST(CountEvents(EventId::kJournalCorrupt) == events_before + last_record);
  // A damaged snapshot without later records is damage, too.
  std::string snapshot_only = whole.substr(0, 8 + 21 + 5);
  snapshot_only.back() ^= 1;
  WriteFile(folder.File(), snapshot_only);
  BOOST_CHECK_THROW(ReadBack(folder), Error);
}

// Guards against a record that is reported durable after a failed write, and against a full disk
// that makes the journal useless after space is free again.
BOOST_AUTO_TEST_CASE(FullDiskFailsOneRecordAndRecovers) {
  Folder folder;
  Faults faults;
  {
    FileJournal journal(folder.path, "config", FaultyOps(&faults));
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
    faults.partial_write = true;  // a short write alone is no error
    BOOST_TEST(AppendAndWait(&journal, "three"));
  }
  BOOST_TEST(ReadBack(folder) == (Records{"one", "two", "three"}),
             boost::test_tools::per_element());
}

// Guards against trust in a file whose sync failed: the kernel may have dropped the data and report
// success the next time.
BOOST_AUTO_TEST_CASE(FailedSyncNeedsANewFile) {
  Folder folder;
  Faults faults;
  {
    FileJournal journal(folder.path, "config", FaultyOps(&faults));
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
  BOOST_TEST(ReadBack(folder) == (Records{"S:state", "two"}), boost::test_tools::per_element());
}

// Guards against a failed compaction that loses the records it was to replace, and against a
// left-over file of an interrupted one.
BOOST_AUTO_TEST_CASE(FailedCompactionKeepsTheRecords) {
  Folder folder;
  Faults faults;
  {
    FileJournal journal(folder.path, "config", FaultyOps(&faults));
    ReplayAll(&journal);
    AppendAndWait(&journal, "one");
    faults.rename = EIO;
    BOOST_TEST(!CompactAndWait(&journal, "state"));
    faults.rename = 0;
    BOOST_TEST(AppendAndWait(&journal, "two"));
  }
  WriteFile(folder.File() + ".new", "half a snapshot");
  BOOST_TEST(ReadBack(folder) == (Records{"one", "two"}), boost::test_tools::per_element());
  BOOST_TEST(!std::filesystem::exists(folder.File() + ".new"));
}

// Guards against a removed journal that looks like the first start.
BOOST_AUTO_TEST_CASE(RemovedJournalIsReported) {
  Folder folder;
  {
    FileJournal journal(folder.path, "config");
    ReplayAll(&journal);
    AppendAndWait(&journal, "one");
  }
  std::filesystem::remove(folder.File());
  FileJournal journal(folder.path, "config");
  BOOST_TEST(ReplayAll(&journal).empty());
  BOOST_TEST(journal.LostContents());
}

// Guards against two processes that write one journal.
BOOST_AUTO_TEST_CASE(SecondUserIsRefused) {
  Folder folder;
  FileJournal journal(folder.path, "config");
  BOOST_CHECK_THROW(FileJournal(folder.path, "config"), Error);
  FileJournal other(folder.path, "records");
}

}  // namespace ebonylift
