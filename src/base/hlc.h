#ifndef EBONYLIFT_BASE_HLC_H_
#define EBONYLIFT_BASE_HLC_H_

// Hybrid logical clock: 48 bits of wall milliseconds and 16 bits of counter in one number.
//
// If event A was known to the process that recorded event B, the stamp of A is smaller than the
// stamp of B, also when the wall clocks of the two processes disagree: every message between
// daemons carries the sender's stamp and Receive() moves the receiver past it.

#include <atomic>
#include <cstdint>

#include "base/time.h"

namespace ebonylift {

using HlcStamp = uint64_t;

class HybridClock {
 public:
  // Returns a stamp larger than every earlier one of this clock. Thread safe.
  HlcStamp Now(WallMillis wall = WallNow());

  // Moves the clock past `remote` and returns a stamp for the receipt. A remote stamp more than
  // 10 s ahead of `wall` is ignored, so that one wrong clock cannot push all others ahead.
  // Thread safe.
  HlcStamp Receive(HlcStamp remote, WallMillis wall = WallNow());

  // Wall milliseconds of a stamp.
  static WallMillis ToWall(HlcStamp stamp) { return static_cast<WallMillis>(stamp >> 16); }

 private:
  HlcStamp Advance(HlcStamp at_least);

  std::atomic<HlcStamp> last_{0};
};

// The clock of this process.
HybridClock& ProcessClock();

}  // namespace ebonylift

#endif  // EBONYLIFT_BASE_HLC_H_
