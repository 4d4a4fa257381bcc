#ifndef EBONYLIFT_DAEMON_SERVER_SNAPSHOT_H_
#define EBONYLIFT_DAEMON_SERVER_SNAPSHOT_H_

// The backend servers of a host on its disk, so that after a loss of all hosts requests need not
// wait for the next heartbeats.
//
// The snapshot may be some seconds old. That is safe: a server that is gone refuses the connection
// or answers that it is another one, and a loaded entry lives no longer than one time to live
// without a new announcement. A server that leaves is written at once.
//
// Not thread safe. Memory: one encoded snapshot while it is written.

#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "ports/journal.h"
#include "ports/views.h"

namespace ebonylift {

constexpr Duration kServerSnapshotInterval = seconds(2);

class ServerSnapshot {
 public:
  // `journal` may be null: nothing is kept then.
  explicit ServerSnapshot(std::shared_ptr<Journal> journal) : journal_(std::move(journal)) {}

  // What was kept, leaving servers included. Call it once, first. A snapshot that cannot be read is
  // logged and counts as empty.
  std::vector<Announcement> Load();

  // A server changed; `urgent` when it leaves.
  void OnChange(bool urgent);

  // True when it is time to call Save().
  bool Due(Time now) const;

  // Starts to write; returns at once.
  void Save(const std::vector<Announcement>& servers, Time now);

 private:
  std::shared_ptr<Journal> journal_;
  bool changed_ = false;
  bool urgent_ = false;
  Time next_;
};

// The encoding of a snapshot. Decoding throws Error(kBadRequest) on malformed bytes.
std::string EncodeServers(const std::vector<Announcement>& servers);
std::vector<Announcement> DecodeServers(const std::string& bytes);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_SERVER_SNAPSHOT_H_
