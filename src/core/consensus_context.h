#ifndef EBONYLIFT_CORE_CONSENSUS_CONTEXT_H_
#define EBONYLIFT_CORE_CONSENSUS_CONTEXT_H_

// What every function of the consensus works on: the state, the time, the random source and the
// Ready that the input function returns.
//
// Internal to the consensus (core/consensus.h). The functions do no I/O: they change only the
// state, the random source and the Ready of the Context that they get. Not thread safe.

#include <cstdint>
#include <random>
#include <string>
#include <utility>

#include "base/ids.h"
#include "base/time.h"
#include "core/consensus.h"

namespace ebonylift::consensus {

// The arguments of one input function and the Ready it builds.
struct Context {
  Consensus& s;
  Time now;
  std::mt19937_64& rng;
  Ready& ready;
};

// Adds a state change for the caller to report.
void AddNotice(Context& c, NoticeKind kind, std::string details);

// Returns a uniformly random time between `min_delay` and `min_delay + max_extra` from now.
Time RandomDeadline(Context& c, Duration min_delay, Duration max_extra);

// Adds a message with the given term.
template <typename Body>
void SendWithTerm(Context& c, const HostId& to, uint64_t term, Body body) {
  ConsensusMessage message;
  message.from = c.s.self;
  message.to = to;
  message.term = term;
  message.body = std::move(body);
  c.ready.send.push_back(std::move(message));
}

// Adds a message with the current term.
template <typename Body>
void Send(Context& c, const HostId& to, Body body) {
  SendWithTerm(c, to, c.s.hard_state.term, std::move(body));
}

}  // namespace ebonylift::consensus

#endif  // EBONYLIFT_CORE_CONSENSUS_CONTEXT_H_
