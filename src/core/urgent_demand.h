#ifndef EBONYLIFT_CORE_URGENT_DEMAND_H_
#define EBONYLIFT_CORE_URGENT_DEMAND_H_

// Keeps room at backend servers for the requests of more urgent ranks.
//
// A request is placed where the prompts ahead of it let it meet its first-byte target. If a less
// urgent route has the longer target, its requests fill the servers up to that target, and the more
// urgent ones, which could wait less, find no room anywhere. So while requests of a more urgent
// rank arrive, a less urgent request may only find prompts ahead that leave the urgent ones a share
// of the wait that they can bear. Every host decides by its own requests; the servers are shared,
// so what one host leaves free is there for the urgent requests of all.
//
// Deterministic, not thread safe. Memory: one entry for each rank that sent requests lately, at
// most kMaxUrgentRanks.

#include <cstdint>
#include <map>
#include <optional>

#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

// Requests of a rank count as arriving for this long after the last one.
constexpr Duration kUrgentDemandTime = seconds(2);
// The share of the wait that urgent requests can bear up to which less urgent ones fill a server.
constexpr double kLessUrgentShare = 0.5;
// In seconds. Less urgent requests may always wait this long, so that no server becomes idle.
constexpr double kMinLessUrgentWait = 0.1;
constexpr size_t kMaxUrgentRanks = 16;

// The requests of one rank, exponentially averaged.
struct RankDemand {
  double target_s = 0;  // first-byte target
  double prompt_tokens = 0;
  Time seen_at;
};

// Of the requests for one model or service, by rank.
using UrgentDemand = std::map<RequestRank, RankDemand>;

// Records a request with a first-byte target.
void OnDemand(UrgentDemand* demand, const RequestRank& rank, Duration target, int64_t prompt_tokens,
              Time now);

// Returns the longest wait for prompts ahead, in seconds, that a request of this rank may find, if
// servers read prompts at `tokens_per_s`; nullopt if no more urgent requests arrive.
std::optional<double> MaxWaitBehindUrgent(const UrgentDemand& demand, const RequestRank& rank,
                                          double tokens_per_s, Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_URGENT_DEMAND_H_
