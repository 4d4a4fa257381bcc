#ifndef EBONYLIFT_CORE_CONFIG_VIEW_H_
#define EBONYLIFT_CORE_CONFIG_VIEW_H_

// Turns the configuration tree into the typed view that the traffic threads read.
//
// A value that the schema of this version does not accept (written by a newer leader) is skipped:
// its route, key or operator does not exist for this host, and unknown keys of a value are ignored.
// A team without residency has no regions and therefore serves nothing.

#include <memory>
#include <string>
#include <vector>

#include "core/config_tree.h"
#include "ports/views.h"

namespace ebonylift {

ConfigView BuildConfigView(const ConfigTree& tree);

// The view of `tree`, from the view of an earlier revision and the paths changed since. Equal to
// BuildConfigView(tree), but parses only the parts that changed: with 28,000 teams a full build
// takes long enough to delay heartbeats.
ConfigView UpdateConfigView(const ConfigView& view, const ConfigTree& tree,
                            const std::vector<std::string>& changed_paths);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_CONFIG_VIEW_H_
