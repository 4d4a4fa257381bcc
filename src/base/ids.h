#ifndef EBONYLIFT_BASE_IDS_H_
#define EBONYLIFT_BASE_IDS_H_

// Strongly typed string identifiers: a HostId cannot be passed where a TeamId is expected. Ids are
// immutable values with comparison operators and a std::hash specialization.

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace ebonylift {

template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend bool operator==(const Id& a, const Id& b) { return a.value_ == b.value_; }
  friend bool operator!=(const Id& a, const Id& b) { return a.value_ != b.value_; }
  friend bool operator<(const Id& a, const Id& b) { return a.value_ < b.value_; }
  friend std::ostream& operator<<(std::ostream& out, const Id& id) { return out << id.value_; }

 private:
  std::string value_;
};

using HostId = Id<struct HostTag>;            // a host that runs the daemon
using RegionId = Id<struct RegionTag>;        // a group of failure domains
using DomainId = Id<struct DomainTag>;        // a failure domain
using TeamId = Id<struct TeamTag>;            // a team, whose callers authenticate with keys
using WorkspaceId = Id<struct WorkspaceTag>;  // an organisation whose callers use common routes
using ServerId = Id<struct ServerTag>;        // a backend server
using ModelId = Id<struct ModelTag>;          // the name of a model, without adapter and version
using RouteId = Id<struct RouteTag>;          // a route, unique within its team
using RequestId = Id<struct RequestTag>;      // a request, unique across all hosts
using JobId = Id<struct JobTag>;              // a batch job, unique across all hosts

}  // namespace ebonylift

namespace std {
template <typename Tag>
struct hash<ebonylift::Id<Tag>> {
  size_t operator()(const ebonylift::Id<Tag>& id) const { return hash<string>()(id.value()); }
};
}  // namespace std

#endif  // EBONYLIFT_BASE_IDS_H_
