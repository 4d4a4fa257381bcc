#include "core/lateness.h"

namespace ebonylift {

const char* LateCauseName(LateCause cause) {
  switch (cause) {
    case LateCause::kNone:
      return "none";
    case LateCause::kWait:
      return "wait";
    case LateCause::kRead:
      return "read";
    case LateCause::kPause:
      return "pause";
    case LateCause::kPace:
      return "pace";
  }
  return "none";
}

LateCause FindLateCause(const AnswerTimes& times, const RouteConfig& route) {
  Duration target = route.first_byte_target;
  if (target > Duration(0) && times.first_byte > target) {
    bool waited = times.dispatched > times.first_byte - times.dispatched;
    return waited ? LateCause::kWait : LateCause::kRead;
  }
  Duration max_gap = route.max_event_gap;
  if (max_gap > Duration(0) && times.longest_gap > max_gap) return LateCause::kPause;
  return times.end >= times.deadline ? LateCause::kPace : LateCause::kNone;
}

}  // namespace ebonylift
