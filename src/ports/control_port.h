#ifndef EBONYLIFT_PORTS_CONTROL_PORT_H_
#define EBONYLIFT_PORTS_CONTROL_PORT_H_

// The interface through which the traffic threads use the control thread, which owns membership,
// the registry of backend servers and the configuration replica.
//
// Every method is thread safe and returns without blocking. `done` runs exactly once, on the
// control thread; a caller that needs its own thread posts from `done` to its own event loop. Once
// the control thread has shut down, `done` runs with ErrorKind::kDraining or not at all.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/event.h"
#include "base/shared_text.h"
#include "ports/views.h"

namespace ebonylift {

// A proposed change of one path of the configuration. `value` is JSON text; std::nullopt deletes
// the path.
struct ConfigPut {
  std::string path;
  std::optional<SharedText> value;
  uint64_t base_revision = 0;  // revision of the path that the change is based on; 0: new path
  std::string request_id;  // identifies the change; a retry with the same id gets the first result
  std::string operator_name;
};

// The result of a proposed change.
struct PutAnswer {
  std::optional<ErrorKind> error;
  std::string message;                      // human-readable; empty on success
  uint64_t revision = 0;                    // the new revision, or the current one on a conflict
  std::optional<SharedText> current_value;  // set on a conflict
};

// The value of one path.
struct ConfigEntry {
  std::string path;
  std::string value;  // JSON text
  uint64_t revision = 0;
};

// An accepted change of one path.
struct ConfigChange {
  uint64_t revision = 0;
  std::string path;
  // JSON text; std::nullopt: the path was deleted, or the value is omitted.
  std::optional<std::string> value;
  // The value is a large one that a later change has replaced; hosts keep only its difference from
  // the one before.
  bool value_omitted = false;
  std::string operator_name;
  WallMillis accepted_at = 0;
};

// The result of a read.
struct ConfigRead {
  uint64_t revision = 0;  // of the replica that was read
  std::vector<ConfigEntry> entries;
};

// The result of ReadLinearizable().
struct LinearizableRead {
  std::optional<ErrorKind> error;  // set when this host cannot provide the newest configuration
  HostId redirect_host;            // with an error: a host that may provide it; empty: unknown
  ConfigRead read;
};

// Says that a backend server was lost while it ran a request with this content, or that such a
// request completed, or what a host knows of a content; see core/poison.h.
struct SuspectReport {
  uint64_t content = 0;  // content hash
  ServerId server;       // the lost server; empty if `cleared` or if it reports no single loss
  bool alone = false;    // the content was the only work on the server
  bool cleared = false;  // the content completed and is no longer suspected
  int losses = 0;        // in succession, with this one; 0 if `cleared`
  Duration age{0};       // since the last loss
  bool is_part = false;  // `content` is the hash of a part of a prompt
};

// The state of the daemon as JSON text, as shown by `ebonylift status`.
using StatusJson = std::string;

class ControlPort {
 public:
  virtual ~ControlPort() = default;

  // Registers or refreshes a backend server and relays the announcement to the other hosts of the
  // failure domain. Fails with kForbidden for a server of another failure domain and with
  // kBadRequest for an old incarnation.
  virtual void Announce(const Announcement& announcement,
                        std::function<void(std::optional<Error>)> done) = 0;

  // Marks a backend server as leaving, without an announcement from it, and tells all hosts; see
  // OnLeave() in core/registry.h.
  virtual void Leave(const ServerId& server, uint64_t incarnation, std::function<void()> done) = 0;

  // Proposes a change, which is forwarded to the leader. `done` runs when the change is durable at
  // a majority of the voters, or with an error.
  virtual void Put(const ConfigPut& put, std::function<void(PutAnswer)> done) = 0;

  // Reads all entries at or below `path` from the local replica, which may lag behind the leader.
  virtual void Read(const std::string& path, std::function<void(ConfigRead)> done) = 0;

  // Reads all entries at or below `path`. The result contains every change that was acknowledged
  // before the call.
  virtual void ReadLinearizable(const std::string& path,
                                std::function<void(LinearizableRead)> done) = 0;

  // Returns the changes at or below `path`, newest first, at most `limit`.
  virtual void History(const std::string& path, size_t limit,
                       std::function<void(std::vector<ConfigChange>)> done) = 0;

  // Long poll: returns the changes after revision `from` as soon as there are any, or an empty list
  // after `timeout`.
  virtual void Watch(uint64_t from, Duration timeout,
                     std::function<void(std::vector<ConfigChange>)> done) = 0;

  // Tells the other hosts of suspects.
  virtual void ReportSuspects(std::vector<SuspectReport> reports) = 0;

  // Returns the events of all reachable daemons in one total order, filtered as in
  // EventRecord::Read() in base/event.h.
  virtual void Timeline(HlcStamp since, const std::string& request_id, size_t limit,
                        std::function<void(std::vector<Event>)> done) = 0;

  virtual void Status(std::function<void(StatusJson)> done) = 0;

  // Sets the work that this host has at backend servers, which is sent to the hosts that use the
  // same servers, either at once or with the next regular message. Call it at shorter intervals
  // than kPeerWorkInterval (core/peer_work.h); each call replaces the previous list.
  virtual void ShareWork(std::vector<ServerWork> work) = 0;

  // Tells the other hosts that send to the server.
  virtual void ReportRoom(RoomReport report) = 0;

  // Asks for shares of limits of workspaces without waiting for the next regular time; see
  // ControlOptions::take_limit_ask.
  virtual void AskForLimits() = 0;

  // Sends streams that began at this host to the hosts that keep their origins.
  virtual void ShareStreams(std::map<HostId, std::vector<StreamRecord>> by_holder) = 0;

  // Asks the hosts where a stream began. `done` gets the first origin that one of them knows, or
  // none when all have answered or have had the time to.
  virtual void FindStream(std::vector<HostId> hosts, uint64_t stream,
                          std::function<void(const StreamSearch&)> done) = 0;

  // Asks the hosts for the software versions of a service or model. `done` runs when all have
  // answered or have had the time to.
  virtual void FindVersions(std::vector<HostId> hosts, std::string served,
                            std::function<void(const VersionSearch&)> done) = 0;

  // Marks this host as leaving in the membership, so that all hosts remove it from their lists of
  // entry hosts.
  virtual void StartDrain() = 0;

  // Publishes in the membership whether this host is overloaded, or has no path to its servers.
  // Other hosts then forward nothing to it and send callers elsewhere, if they can.
  virtual void SetOverloaded(bool overloaded) = 0;

  // Returns the newest published view. Never null.
  virtual std::shared_ptr<const RoutingView> View() const = 0;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_PORTS_CONTROL_PORT_H_
