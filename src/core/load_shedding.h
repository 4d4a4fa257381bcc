#ifndef EBONYLIFT_CORE_LOAD_SHEDDING_H_
#define EBONYLIFT_CORE_LOAD_SHEDDING_H_

// Refuses a part of the new requests of a thread that is short of processor time.
//
// Such a thread handles each event late. Its callers give up while their requests wait, and the
// time spent on these is lost to the others. The share that is refused grows with the delay of the
// event loop, so that the delay stays below kMaxLoopDelay while as many requests as possible are
// served. Requests that are less urgent are refused first, and those that another host has already
// worked on last.
//
// Deterministic, not thread safe. Memory: constant.

#include "base/time.h"

namespace ebonylift {

// No request is refused below the first delay, and all urgent ones at the second. Callers that are
// not read give up after a second, and an event waits several times on the way of a request.
constexpr Duration kMinSheddingDelay = milliseconds(50);
constexpr Duration kMaxLoopDelay = milliseconds(200);
// The delays for requests that are less urgent, in relation to these.
constexpr double kLessUrgentDelayRatio = 0.5;
// The delay at which forwarded requests are refused.
constexpr Duration kMaxLoopDelayOfForwarded = milliseconds(400);
// A host counts as overloaded from kMaxLoopDelay on and until its delay has been below
// kMinSheddingDelay for this long.
constexpr Duration kOverloadEndTime = seconds(2);

struct LoadShedding {
  Duration delay{0};  // of the event loop
  double due = 0;     // refusals that are due, as a fraction of one request
  bool overloaded = false;
  Time busy_at;  // when `delay` was last at kMinSheddingDelay or above
};

// What decides about one request.
struct SheddingQuery {
  bool urgent = true;      // its route has the first rank
  bool forwarded = false;  // received from another host
};

void OnLoopDelay(LoadShedding& state, Duration delay, Time now);

// Returns whether the request is to be refused.
bool MustShed(LoadShedding& state, const SheddingQuery& query);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_LOAD_SHEDDING_H_
