#ifndef EBONYLIFT_DAEMON_CONTROL_H_
#define EBONYLIFT_DAEMON_CONTROL_H_

// The control thread of a daemon.
//
// StartControl() starts one thread that owns membership, the registry of backend servers, the
// configuration replica and the connections to the other daemons, and returns the ControlPort of
// the traffic threads. Destroying the port stops the thread and waits for it.
//
// A change is published as a new RoutingView at most kPublishInterval later; changes that are only
// a newer load report at most kLoadPublishInterval later.
//
// Memory: what registry.h, membership.h, rpc.h and config_replica.h state, at most kMaxRecentNotes
// suspects for resending, and one entry per open call of the traffic threads.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "core/membership.h"
#include "core/registry.h"
#include "ports/control_port.h"
#include "ports/journal.h"
#include "ports/views.h"

namespace ebonylift {

constexpr Duration kPublishInterval = milliseconds(20);
constexpr Duration kLoadPublishInterval = milliseconds(100);
constexpr Duration kCountInterval = seconds(1);
constexpr size_t kMaxRecentNotes = 256;

// Another host, as this host reaches it.
struct ControlPeer {
  Identity identity;
  std::string rpc_address;   // host:port
  std::string http_address;  // host:port
  bool has_disk = false;
};

struct ControlOptions {
  Identity self;
  uint64_t incarnation = 0;  // larger after each start of the process; not 0
  std::string peer_address;  // listened on
  std::string http_address;  // as shown in the own row of the entry list
  bool has_disk = false;
  std::string caller_address;    // empty: callers do not use this host
  std::string operator_address;  // empty: operators do not use this host
  std::vector<ControlPeer> peers;
  // Hosts outside `peers` join with the cluster key. The peers then are the hosts to ask first;
  // their places may be empty, and they are learned with those of all others.
  bool find_hosts = false;
  std::vector<HostId> voters;  // of the first start
  // False: the deployment exists, so a voter whose disk is empty has lost it.
  bool may_found = true;
  ServerScope server_scope = ServerScope::kDomain;
  Duration max_server_ttl = kMaxServerTtl;
  bool leaving_is_final = false;  // see Registry
  bool expire_by_news = false;    // see Registry
  bool keep_servers = false;      // on disk, see daemon/server_snapshot.h
  bool share_work = false;        // ShareWork() is called; the servers do not report their load
  std::string cluster_key;
  std::string data_folder;  // empty: no disk
  MembershipParams membership;

  // A suspect that another host of the region reported, or cleared (`server` is then empty). Called
  // on the control thread.
  std::function<void(uint64_t content, const ServerId& server, bool alone, bool cleared)>
      on_suspect;

  // The bytes sent to and received from other daemons so far, every kCountInterval. Called on the
  // control thread.
  std::function<void(uint64_t sent, uint64_t received)> on_peer_bytes;
};

// Throws Error(kInternal) when the peer address cannot be used or an option is missing, and
// Error(kStorageFailed) when the data folder is damaged.
std::unique_ptr<ControlPort> StartControl(ControlOptions options);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONTROL_H_
