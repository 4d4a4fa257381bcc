#include "base/hlc.h"

#include <algorithm>

namespace ebonylift {
namespace {

constexpr WallMillis kMaxRemoteAheadMs = 10'000;  // see Receive()

HlcStamp FromWall(WallMillis wall) { return static_cast<HlcStamp>(wall) << 16; }

}  // namespace

HlcStamp HybridClock::Advance(HlcStamp at_least) {
  HlcStamp last = last_.load();
  HlcStamp next = 0;
  do {
    next = std::max(last + 1, at_least);
  } while (!last_.compare_exchange_weak(last, next));
  return next;
}

HlcStamp HybridClock::Now(WallMillis wall) { return Advance(FromWall(wall)); }

HlcStamp HybridClock::Receive(HlcStamp remote, WallMillis wall) {
  HlcStamp local = FromWall(wall);
  if (ToWall(remote) > wall + kMaxRemoteAheadMs) return Advance(local);
  return Advance(std::max(local, remote + 1));
}

HybridClock& ProcessClock() {
  static HybridClock clock;
  return clock;
}

}  // namespace ebonylift
