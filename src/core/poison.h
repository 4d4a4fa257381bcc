#ifndef EBONYLIFT_CORE_POISON_H_
#define EBONYLIFT_CORE_POISON_H_

// Detects poison requests, which crash the backend servers that run them. Requests are identified
// by the hash of their content, called `content` here. A part of the prompt may crash servers
// whatever else a request holds; the hashes of parts are contents in a PoisonState of their own. A
// content is a suspect after it was in
// flight on a server that was lost, and condemned after a further loss of a server that ran nothing
// else, or after kLossesToCondemn losses in succession.
//
// Contract:
// - When a server is lost, every content in flight on it becomes a suspect. A content that is
//   condemned is refused until the entry expires.
// - A suspect that is placed alone (RouteQuery::suspect) and loses its server is condemned. The
//   first loss of a content never condemns it in this way, and neither does a loss with other work
//   on the server.
// - A host learns of the work of other hosts only from load reports. If another content is reported
//   for the same server within kSameLossWindow of the loss, the content did not run alone, and this
//   condemnation is reverted to a suspicion.
// - Losses are in succession when each follows a dispatch by a host that knew of those before it.
//   Servers that are lost at the same time, as with their failure domain, therefore count as one
//   loss of the contents that they ran. kLossesToCondemn of them condemn a content whatever else
//   the servers ran, and nothing reverts that.
// - Reports of losses may arrive in any order and more than once: the number of losses in
//   succession is the highest that any host has reported.
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

constexpr int kLossesToCondemn = 3;
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

// What a request may be refused for.
struct RequestContent {
  uint64_t content = 0;         // hash of the whole request
  std::vector<uint64_t> parts;  // hashes of the parts of the prompt that other requests may share
};

struct Suspect {
  bool condemned_alone = false;  // by a loss while it ran alone, which is described by:
  ServerId condemned_on;         // the lost server
  uint64_t condemned_incarnation = 0;
  Time condemned_at;
  int losses = 0;  // in succession
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

// A content in flight on a server.
struct RunningContent {
  uint64_t content = 0;
  int losses_known = 0;  // KnownLosses() when it was dispatched
};

// What the loss of a server means for one content.
struct LossFinding {
  uint64_t content = 0;
  PoisonVerdict verdict = PoisonVerdict::kSuspect;
  int losses = 0;        // in succession
  bool is_news = false;  // this observation changed what the state says of the content
};

// Returns the losses in succession of the content; 0 if it is not a suspect.
int KnownLosses(const PoisonState& poison, uint64_t content, Time now);

// Records that a server was lost while it ran `in_flight`, all contents that this host had in
// flight on it. `alone` is true when the one content ran as a suspect without other work on the
// server (see RanAlone() in routing.h); it is ignored unless exactly one request was in flight.
// `incarnation` distinguishes two losses of a server that restarts within kSameLossWindow; 0 means
// unknown. Returns one finding for each content, in the same order. The caller reports those with
// `is_news` to the other hosts with ControlPort::ReportSuspects.
std::vector<LossFinding> OnServerLost(PoisonState& poison, const ServerId& server,
                                      const std::vector<RunningContent>& in_flight, bool alone,
                                      Time now, uint64_t incarnation = 0);

// Records that another host reported `content` as in flight on a lost server. `alone` has the same
// meaning as in OnServerLost(), `losses` is that of the other host's finding.
LossFinding OnLossReported(PoisonState& poison, const ServerId& server, uint64_t content,
                           bool alone, int losses, Time now);

// What a host tells another that may have missed reports.
struct KnownSuspect {
  uint64_t content = 0;
  int losses = 0;   // in succession; at least kLossesToCondemn if it is condemned
  Duration age{0};  // since the last loss
};

// Returns at most `limit` suspects: those that are condemned first, then those with newer losses. A
// condemnation that may still be reverted is not returned as one.
std::vector<KnownSuspect> KnownSuspects(const PoisonState& poison, size_t limit, Time now);

// Records what another host knows. Returns true if this condemns the content.
bool OnSuspectKnown(PoisonState& poison, const KnownSuspect& known, Time now);

// Records that the content completed on this host or, by its report, on another. Returns true if
// the content was a suspect; after a completion on this host, the caller then reports it to the
// other hosts with ControlPort::ClearSuspect.
bool OnCompleted(PoisonState& poison, uint64_t content);

// Removes a content that a server has answered, also if it is condemned. For parts of prompts: a
// part that crashes servers does so whenever an answer on it begins, so an answer disproves it.
// Returns true if the content was a suspect.
bool OnDisproved(PoisonState& poison, uint64_t content);

// Returns the time until the content expires; 0 if it is not a suspect.
Duration TimeToExpiry(const PoisonState& poison, uint64_t content, Time now);

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
