#ifndef EBONYLIFT_TESTS_SUPPORT_PORTAL_DEPLOYMENT_H_
#define EBONYLIFT_TESTS_SUPPORT_PORTAL_DEPLOYMENT_H_

// A deployment on the simulated platform whose replicas all serve "portal", and its callers.

#include <atomic>
#include <string>
#include <vector>

#include "tests/support/platform_deployment.h"

namespace ebonylift::test {

// Serves() and NextRequestId() are thread safe.
class PortalDeployment {
 public:
  // Adds one replica for each entry of `replica_zones` and waits until all gateways serve requests.
  // Throws std::runtime_error when they do not in time.
  PortalDeployment(int gateways_per_zone, const std::vector<std::string>& replica_zones);

  // Sends a harmless GET request to a gateway of the zone.
  bool Serves(const std::string& zone);
  std::string NextRequestId() { return "request-" + std::to_string(++request_number_); }

  // Waits until all replicas run and the gateways of all zones serve requests. Returns whether they
  // do.
  bool WaitUntilAllServe();

  PlatformDeployment platform;
  std::vector<PlatformReplica*> replicas;

 private:
  std::atomic<int> request_number_{0};
};

}  // namespace ebonylift::test

#endif  // EBONYLIFT_TESTS_SUPPORT_PORTAL_DEPLOYMENT_H_
