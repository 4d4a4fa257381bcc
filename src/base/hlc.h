#ifndef EBONYLIFT_BASE_HLC_H_
#define EBONYLIFT_BASE_HLC_H_

// Hybrid logical clock. A timestamp holds the wall-clock time in milliseconds in its upper 48 bits
// and a logical counter in its lower 16 bits.
//
// If event A happened before event B (in the sense of Lamport), the timestamp of A is smaller than
// that of B, even if the wall clocks of the two processes differ: every message between daemons
// carries the sender's timestamp, and Receive() advances the receiver's clock past it. The
// exception is a sender whose clock is too far ahead; see Receive().

#include <atomic>
#include <cstdint>

#include "base/time.h"

namespace ebonylift {

using HlcStamp = uint64_t;

class HybridClock {
 public:
  // Returns a timestamp larger than every earlier one of this clock. Thread-safe.
  HlcStamp Now(WallMillis wall = WallNow());

  // Advances the clock past `remote`, the timestamp of a received message, and returns the
  // timestamp of the receipt. A remote timestamp more than 10 s ahead of `wall` is ignored, so that
  // one wrong clock cannot advance the clocks of all other daemons. Thread-safe.
  HlcStamp Receive(HlcStamp remote, WallMillis wall = WallNow());

  // Returns the wall-clock part of a timestamp.
  static WallMillis ToWall(HlcStamp stamp) { return static_cast<WallMillis>(stamp >> 16); }

 private:
  // Returns a timestamp that is at least `at_least` and larger than every earlier one.
  HlcStamp Advance(HlcStamp at_least);

  std::atomic<HlcStamp> last_{0};  // the last timestamp that was returned
};

// Returns the clock that all components of this process share.
HybridClock& ProcessClock();

}  // namespace ebonylift

#endif  // EBONYLIFT_BASE_HLC_H_
