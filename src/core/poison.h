#ifndef EBONYLIFT_CORE_POISON_H_
#define EBONYLIFT_CORE_POISON_H_

// Finds the requests that crash the backend servers that run them, by content hash.
//
// Contract:
// - When a server is lost, every content in flight on it becomes a suspect.
// - A suspect runs only alone on a server (RouteQuery::suspect).
// - A content that is already a suspect and whose server is lost while it runs alone is condemned:
//   it is refused until it expires.
//   A loss with other work on the server never condemns, and neither does a first loss.
// - A host sees the work of other hosts only through load reports. When another content is reported
//   for the same server within kSameLoss of the loss, the content was not alone, and a
//   condemnation by that loss is taken back to a suspicion.
// - A completed request clears its suspicion; it does not clear a condemnation, because a
//   condemned content is not run and a completion can only be of an earlier attempt.
//
// Not thread safe: the caller serialises all calls on one Poison. No errors are thrown.
// Memory: kMaxSuspects contents, for kSuspectTtl after their last loss; when full, the oldest that
// is not condemned is dropped first. kMaxLosses recent losses for the check of company.

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace ebonylift {

constexpr size_t kMaxSuspects = 4'096;
constexpr Duration kSuspectTtl = seconds(3600);
constexpr size_t kMaxLosses = 4'096;
constexpr Duration kSameLoss = seconds(5);
constexpr Duration kSetAside = seconds(60);

enum class PoisonVerdict {
  kClear,
  kSuspect,    // run it alone
  kCondemned,  // refuse it as kPoison, or kPoisonDetected if it was running
};

struct Suspect {
  bool condemned = false;
  ServerId condemned_on;  // the server whose loss condemned it
  uint64_t condemned_incarnation = 0;
  Time condemned_at;
  int losses = 0;
  Time last_loss;
};

struct ServerLoss {
  uint64_t content = 0;
  ServerId server;
  uint64_t incarnation = 0;  // 0: unknown, as in a report
  Time at;
};

struct Poison {
  std::unordered_map<uint64_t, Suspect> suspects;
  std::deque<ServerLoss> losses;  // oldest first
};

// A server was lost while it ran `in_flight` (all contents that this host had on it). `alone` is
// true when the one content ran as a suspect without company (RanAlone() of routing.h); it is
// ignored unless exactly one request was in flight. `incarnation` (0: unknown) tells two losses of
// a server that restarts within kSameLoss apart. Returns the verdict of each content, in order;
// report each to the other hosts with ControlPort::ReportSuspect.
std::vector<PoisonVerdict> OnServerLost(Poison& poison, const ServerId& server,
                                        const std::vector<uint64_t>& in_flight, bool alone,
                                        Time now, uint64_t incarnation = 0);

// Another host reported one content of a loss. `alone` condemns as above. Repeated reports of one
// loss have no further effect.
PoisonVerdict OnReport(Poison& poison, const ServerId& server, uint64_t content, bool alone,
                       Time now);

// The content completed here, or another host reported that it did. True when it was a suspect;
// report that with ControlPort::ClearSuspect.
bool OnCompleted(Poison& poison, uint64_t content);

// What to do with a content that is about to be dispatched.
PoisonVerdict Verdict(const Poison& poison, uint64_t content, Time now);

// Until when a server is kept free for suspects: kSetAside after the newest loss. A copy goes to
// LocalLoad::set_aside_until of routing.h.
Time SetAsideUntil(const Poison& poison);

// Drops what has expired. Returns how many contents.
size_t Expire(Poison& poison, Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_POISON_H_
