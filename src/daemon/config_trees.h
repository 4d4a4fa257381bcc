#ifndef EBONYLIFT_DAEMON_CONFIG_TREES_H_
#define EBONYLIFT_DAEMON_CONFIG_TREES_H_

// The two configuration trees of a replica. Not thread safe.

#include "core/config_tree.h"

namespace ebonylift {

struct ConfigTrees {
  ConfigTree committed;  // the entries committed by the consensus
  // What was pulled from peers; empty, or the one in use while it is newer than `committed`.
  ConfigTree pulled;

  // The tree that the replica publishes and serves.
  const ConfigTree& Current() const {
    return pulled.revision > committed.revision ? pulled : committed;
  }
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONFIG_TREES_H_
