#ifndef EBONYLIFT_DAEMON_INGRESS_REQUEST_H_
#define EBONYLIFT_DAEMON_INGRESS_REQUEST_H_

// Builds the RequestSpec of a request that uses a Dialect and is routed by host name and path
// (ingress routing). The functions are thread safe.

#include <memory>
#include <string>
#include <vector>

#include "daemon/dialect.h"
#include "daemon/request.h"

namespace ebonylift {

// Parses a request received from a caller. The deadline is the earlier of the route's and the
// caller's. Throws Error(kBadRequest, kNotReady, kUnknownPath), and Error(kUnauthorized) if the
// route needs a key of a workspace that the request does not have.
RequestSpec ParseIngressRequest(HttpRequest request, std::shared_ptr<const RoutingView> view,
                                const Dialect& dialect, Time now);

// Parses a request forwarded by another host. Route, deadline and hop count come from the verified
// forwarding header. Throws Error(kBadRequest, kNotReady), Error(kNoServer) if this host does not
// know the route, Error(kUnauthorized) if it does not know the key, also Error(kNotReady) then if
// its configuration is older than the sender's, and Error(kForwardRefused, kHopLimit) as
// DecodeForward() does.
RequestSpec ParseForwardedIngress(HttpRequest request, std::shared_ptr<const RoutingView> view,
                                  const Dialect& dialect, const std::string& cluster_key, Time now);

// Returns true if the forwarding header names the ingress team, i.e. the request must be parsed by
// ParseForwardedIngress(). Does not verify the header.
bool IsForwardedIngress(const HttpHeaders& headers);

// Returns the workspaces of the configuration in the order of their names. `config` may be null.
std::vector<WorkspaceId> WorkspaceIds(const IngressConfig* config);

// Looks up the request's route in `view`, which may be newer than spec->view, and stores both in
// the spec. A forwarded request is matched by its route id, any other by host name and path.
// Returns false and leaves the spec unchanged if no route matches. Identifies the workspace of the
// caller again; throws Error(kUnauthorized, kNotReady) if the view does not have the key, and
// Error(kNotReady) if the request needs a key and this host may not rely on its configuration.
bool ResolveIngressRoute(RequestSpec* spec, std::shared_ptr<const RoutingView> view, Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_INGRESS_REQUEST_H_
