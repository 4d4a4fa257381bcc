#ifndef EBONYLIFT_CORE_UNSEEN_WORK_H_
#define EBONYLIFT_CORE_UNSEEN_WORK_H_

// Estimates the work that other hosts have placed at shared backend servers since they last told
// this host of it.
//
// All hosts see the same lists, of the same age. If each sent its requests to the servers that are
// least busy by the lists, all would pick the same few, more of them the more hosts there are.
// Instead each host assumes that the others have filled up the least busy servers evenly since:
// below the level to which the unseen work would fill them, servers count as equally busy, and the
// choice among them is random. Where the unseen work needs more room than there is, each request
// gets a place with the probability that makes all requests together fit.
//
// The functions are pure and thread-safe, except for OnPlacement().

#include <cstdint>
#include <vector>

#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

// The time over which the placements of this host are averaged.
constexpr Duration kPlacementRateTime = seconds(1);

// What this host places for one model or service, exponentially averaged.
struct PlacementRate {
  double requests_per_s = 0;
  double tokens_per_s = 0;  // prompt tokens to prefill
  Time updated_at;
};

void OnPlacement(PlacementRate* rate, int64_t prefill_tokens, Time now);

// What this host was told of the requests of the other hosts.
struct KnownWork {
  size_t hosts = 0;      // other hosts
  double requests = 0;   // of theirs that were running
  double age_s = 0;      // of the list
  double service_s = 0;  // the time that a request runs; 0: unknown
};

struct UnseenWork {
  double requests = 0;        // that still run
  double prefill_tokens = 0;  // of all that were placed
  double placed = 0;          // requests
};

// Returns the work that the other hosts have placed since. By Little's law they place as many
// requests as they have running, each time that a request runs; if that time is not known, each
// places as many as this host. Their prompts are as long as those of this host.
UnseenWork EstimateUnseenWork(const PlacementRate& rate, const KnownWork& known, Time now);

// Returns the standard deviation of the unseen tokens at one of `servers` servers, if each request
// goes to a random one.
double TokenDeviation(const UnseenWork& unseen, size_t servers);

// Returns the number of other hosts of the region that send work to the servers of this one.
size_t CountPlacingHosts(const RoutingView& view);

// Returns the level to which `volume` fills vessels that are filled to `levels` already, the
// emptiest first. 0 if there is none.
double FillLevel(std::vector<double> levels, double volume);

// Returns the probability with which a request may take a place, if the unseen requests and this
// one compete for `room`.
double ShareOfRoom(double room, double unseen);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_UNSEEN_WORK_H_
