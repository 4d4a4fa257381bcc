#ifndef EBONYLIFT_CORE_POISON_H_
#define EBONYLIFT_CORE_POISON_H_

// Detects poison requests, which crash the backend servers that run them. Requests are identified
// by the hash of their content, called `content` here. A content is a suspect after it was in
// flight on a server that was lost, and condemned after a further loss of a server that ran nothing
// else.
//
// Contract:
// - When a server is lost, every content in flight on it becomes a suspect.
// - A suspect runs only on a server without other work (RouteQuery::suspect).
// - When a server is lost while a suspect runs alone on it, the suspect is condemned: requests with
//   this content are refused until the entry expires. The first loss of a content never condemns
//   it, and neither does a loss with other work on the server.
// - A host learns of the work of other hosts only from load reports. If another content is reported
//   for the same server within kSameLossWindow of the loss, the content did not run alone, and its
//   condemnation by that loss is reverted to a suspicion.
// - A completed request clears the suspicion of its content. It does not clear a condemnation: a
//   condemned content is not run, so the completion can only be that of an earlier attempt.
//
// Not thread safe: the caller serialises all calls on one PoisonState. Throws nothing.
// Memory: kMaxSuspects contents, each kept for kSuspectTtl after its last loss; when full, the
// oldest content that is not condemned is evicted first. kMaxLosses recent losses, which tell
// whether a content ran alone.

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
constexpr Duration kSameLossWindow = seconds(5);
constexpr Duration kSetAsideDuration = seconds(60);

enum class PoisonVerdict {
  kClear,
  kSuspect,    // run it on a server without other work
  kCondemned,  // refuse it as kPoison, or kPoisonDetected if it was running
};

struct Suspect {
  bool condemned = false;
  ServerId condemned_on;  // the server whose loss condemned the content
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

struct PoisonState {
  std::unordered_map<uint64_t, Suspect> suspects;
  std::deque<ServerLoss> losses;  // oldest first
};

// Records that a server was lost while it ran `in_flight`, all contents that this host had in
// flight on it. `alone` is true when the one content ran as a suspect without other work on the
// server (see RanAlone() in routing.h); it is ignored unless exactly one request was in flight.
// `incarnation` distinguishes two losses of a server that restarts within kSameLossWindow; 0 means
// unknown. Returns the verdict of each content, in the same order. The caller reports each content
// to the other hosts with ControlPort::ReportSuspect.
std::vector<PoisonVerdict> OnServerLost(PoisonState& poison, const ServerId& server,
                                        const std::vector<uint64_t>& in_flight, bool alone,
                                        Time now, uint64_t incarnation = 0);

// Records that another host reported `content` as in flight on a lost server. `alone` has the same
// meaning as in OnServerLost(). Repeated reports of one loss have no further effect.
PoisonVerdict OnLossReported(PoisonState& poison, const ServerId& server, uint64_t content,
                             bool alone, Time now);

// Records that the content completed on this host or, by its report, on another. Returns true if
// the content was a suspect; after a completion on this host, the caller then reports it to the
// other hosts with ControlPort::ClearSuspect.
bool OnCompleted(PoisonState& poison, uint64_t content);

// Returns how to treat a content that is about to be dispatched.
PoisonVerdict Verdict(const PoisonState& poison, uint64_t content, Time now);

// Returns the time until which servers are kept free for suspects: kSetAsideDuration after the
// newest loss, or the default Time if there is no suspect. The caller copies it to
// RoutingState::set_aside_until (routing.h).
Time SetAsideUntil(const PoisonState& poison);

// Removes expired contents and old losses. Returns the number of contents removed.
size_t Expire(PoisonState& poison, Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_POISON_H_
