#ifndef EBONYLIFT_DAEMON_INGRESS_REQUEST_H_
#define EBONYLIFT_DAEMON_INGRESS_REQUEST_H_

// From a request that is routed by host name and path to its RequestSpec. Thread safe.

#include <memory>
#include <string>

#include "daemon/dialect.h"
#include "daemon/request.h"

namespace ebonylift {

// A request of a caller. Throws Error(kBadRequest, kNotReady, kUnknownPath).
RequestSpec ParseIngressRequest(HttpRequest request, std::shared_ptr<const RoutingView> view,
                                const Dialect& dialect, Time now);

// A request that another host forwarded; the mark decides route, deadline and hops. Throws
// Error(kForwardRefused, kHopLimit) as DecodeForward(), and the errors above.
RequestSpec ParseForwardedIngress(HttpRequest request, std::shared_ptr<const RoutingView> view,
                                  const Dialect& dialect, const std::string& cluster_key, Time now);

// Whether the forwarding header says that the request is one of these. The header is not verified.
bool IsForwardedIngress(const HttpHeaders& headers);

// Finds the route of the request in `view`, which may be newer than that of the spec. False when no
// route fits; the spec is then unchanged.
bool ResolveIngress(RequestSpec* spec, std::shared_ptr<const RoutingView> view);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_INGRESS_REQUEST_H_
