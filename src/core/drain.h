#ifndef EBONYLIFT_CORE_DRAIN_H_
#define EBONYLIFT_CORE_DRAIN_H_

// Which requests a host takes while it shuts down, and when it leaves the lists of entry hosts.
//
// Callers go on using open connections until the host has ended. A request that is still running at
// the end of the shutdown is cut, so one that comes late is refused as not run, and its caller can
// use another host while there is time.

#include "base/time.h"

namespace ebonylift {

// A shutdown of this host; both times are Time() before the host leaves the lists of entry hosts.
struct DrainTimes {
  Time began;  // when the shutdown was requested, whether or not the host then waited for others
  Time ends;   // open requests are ended then
};

// Returns how long a host whose shutdown takes `drain_timeout` at most may wait for other hosts
// before it leaves the lists. It leaves early enough to take requests for a while after that. Pure
// and thread safe.
Duration MaxDrainDelay(Duration drain_timeout);

// Returns until when the host takes requests that may outlast the shutdown: early in it, as callers
// use lists of hosts that are still valid. Pure and thread safe.
Time TakesLongRequestsUntil(const DrainTimes& drain);

// Returns whether the host takes a request that has arrived now and ends by `deadline`: one that
// comes early in the shutdown, or that ends before it. Pure and thread safe.
bool MayTakeRequest(const DrainTimes& drain, Time deadline, Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_DRAIN_H_
