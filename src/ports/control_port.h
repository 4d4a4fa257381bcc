#ifndef EBONYLIFT_PORTS_CONTROL_PORT_H_
#define EBONYLIFT_PORTS_CONTROL_PORT_H_

// The control thread as the traffic threads see it.
//
// Every method is thread safe and returns at once. `done` runs exactly once, on the control thread;
// a caller that needs its own thread posts from `done` to its own loop. After shutdown of the
// control thread, `done` runs with ErrorKind::kDraining or not at all.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/event.h"
#include "ports/views.h"

namespace ebonylift {

// A change of one path. `value` is JSON text; std::nullopt deletes the path.
struct ConfigPut {
  std::string path;
  std::optional<std::string> value;
  uint64_t base_revision = 0;  // revision of the path that the change was based on; 0: new path
  std::string request_id;      // names the change; a resend with the same id gets the first answer
  std::string operator_name;
};

struct PutAnswer {
  std::optional<ErrorKind> error;
  std::string message;                       // for people; empty on success
  uint64_t revision = 0;                     // the new revision, or the current one on a conflict
  std::optional<std::string> current_value;  // on a conflict
};

struct ConfigEntry {
  std::string path;
  std::string value;  // JSON text
  uint64_t revision = 0;
};

struct ConfigChange {
  uint64_t revision = 0;
  std::string path;
  std::optional<std::string> value;
  std::string operator_name;
  WallMillis accepted_at = 0;
};

struct ConfigRead {
  uint64_t revision = 0;  // of the local replica
  std::vector<ConfigEntry> entries;
};

// An answer of ReadNewest().
struct NewestRead {
  std::optional<ErrorKind> error;  // the newest configuration is not known here
  HostId ask;                      // with an error: a host that may know; empty: none is known
  ConfigRead read;
};

// The state of the daemon as `ebonylift status` shows it; JSON text.
using StatusJson = std::string;

class ControlPort {
 public:
  virtual ~ControlPort() = default;

  // Registers or refreshes a backend server and relays the announcement within the failure domain.
  // Fails with kForbidden for another failure domain and kBadRequest for an old incarnation.
  virtual void Announce(const Announcement& announcement,
                        std::function<void(std::optional<Error>)> done) = 0;

  // The server says that it leaves, and no more; see OnLeave() in core/registry.h. Told to all
  // hosts.
  virtual void Leave(const ServerId& server, uint64_t incarnation, std::function<void()> done) = 0;

  // Proposes a change; forwarded to the leader. `done` runs after the change is durable at a
  // majority, or with an error.
  virtual void Put(const ConfigPut& put, std::function<void(PutAnswer)> done) = 0;

  // Reads the local replica: all entries at or below `path`.
  virtual void Read(const std::string& path, std::function<void(ConfigRead)> done) = 0;

  // All entries at or below `path` with every change that was answered before the call.
  virtual void ReadNewest(const std::string& path, std::function<void(NewestRead)> done) = 0;

  // Changes at or below `path`, newest first, at most `limit`.
  virtual void History(const std::string& path, size_t limit,
                       std::function<void(std::vector<ConfigChange>)> done) = 0;

  // Answers when the local revision is above `from` or after `timeout`, with the changes since.
  virtual void Watch(uint64_t from, Duration timeout,
                     std::function<void(std::vector<ConfigChange>)> done) = 0;

  // Tells the hosts of the region that a server was lost while it ran this content, or that a
  // suspected content completed. `alone` is true when nothing else ran on the server.
  virtual void ReportSuspect(uint64_t content, const ServerId& server, bool alone) = 0;
  virtual void ClearSuspect(uint64_t content) = 0;

  // Events of all reachable daemons in one order, filtered as in EventRecord::Read.
  virtual void Timeline(HlcStamp since, const std::string& request_id, size_t limit,
                        std::function<void(std::vector<Event>)> done) = 0;

  virtual void Status(std::function<void(StatusJson)> done) = 0;

  // Tells the hosts that share backend servers with this one what it has there, now or soon. Call
  // it more often than every kPeerWorkInterval (core/peer_work.h); each call replaces the list
  // before.
  virtual void ShareWork(std::vector<ServerWork> work) = 0;

  // Marks this host as leaving in the membership; the entry lists of all hosts drop it.
  virtual void StartDrain() = 0;

  // Tells the membership whether this host is overloaded.
  virtual void SetOverloaded(bool overloaded) = 0;

  // The newest view. Never null.
  virtual std::shared_ptr<const RoutingView> View() const = 0;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_PORTS_CONTROL_PORT_H_
