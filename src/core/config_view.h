#ifndef EBONYLIFT_CORE_CONFIG_VIEW_H_
#define EBONYLIFT_CORE_CONFIG_VIEW_H_

// Converts the configuration tree into the typed view that the traffic threads read.
//
// A value that this version does not accept, for example one written by a newer leader, is skipped:
// its route, key or operator does not exist on this host. Unknown keys within a value are ignored.
// A team without a residency has no regions, so none of its requests are served.

#include <memory>
#include <string>
#include <vector>

#include "core/config_tree.h"
#include "ports/views.h"

namespace ebonylift {

// Builds the view of the whole tree.
ConfigView BuildConfigView(const ConfigTree& tree);

// Builds the view of `tree` from the view of an earlier revision and the paths changed since then.
// The result equals BuildConfigView(tree), but only the changed parts are parsed: with 28,000 teams
// a full build takes long enough to delay heartbeats.
ConfigView UpdateConfigView(const ConfigView& view, const ConfigTree& tree,
                            const std::vector<std::string>& changed_paths);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_CONFIG_VIEW_H_
