#ifndef EBONYLIFT_DAEMON_SERVER_SNAPSHOT_H_
#define EBONYLIFT_DAEMON_SERVER_SNAPSHOT_H_

// Stores the backend servers that a host knows on its disk. After a restart of all hosts, requests
// can then be sent to these servers without waiting for their next heartbeats.
//
// The snapshot may be a few seconds old, which is safe: at the address of a server that is gone,
// the connection is refused or another server answers and says so, and a loaded entry expires after
// one time to live unless a new announcement arrives. When a server leaves, the snapshot is written
// at once.
//
// Not thread safe. Memory: one encoded snapshot while it is being written.

#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "ports/journal.h"
#include "ports/views.h"

namespace ebonylift {

// Minimum time between two snapshots, unless a server leaves.
constexpr Duration kServerSnapshotInterval = seconds(2);

class ServerSnapshot {
 public:
  // `journal` may be null; nothing is stored then.
  explicit ServerSnapshot(std::shared_ptr<Journal> journal) : journal_(std::move(journal)) {}

  // Returns the stored servers, including those that are leaving. Call it once, before any other
  // method. A snapshot that cannot be read is logged and counts as empty; nothing is stored from
  // then on.
  std::vector<Announcement> Load();

  // Records that a server changed. `urgent` makes the next Save() due at once; set it when a server
  // leaves.
  void MarkChanged(bool urgent);

  // True when it is time to call Save().
  bool SaveDue(Time now) const;

  // Starts writing the snapshot and returns without waiting for it.
  void Save(const std::vector<Announcement>& servers, Time now);

 private:
  std::shared_ptr<Journal> journal_;
  bool changed_ = false;
  bool urgent_ = false;
  Time next_save_;
};

// Encode and decode a snapshot (a packed Cap'n Proto ServerList). DecodeServers() throws
// Error(kBadRequest) on malformed bytes.
std::string EncodeServers(const std::vector<Announcement>& servers);
std::vector<Announcement> DecodeServers(const std::string& bytes);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_SERVER_SNAPSHOT_H_
