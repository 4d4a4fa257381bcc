#ifndef EBONYLIFT_CORE_ATTEMPT_H_
#define EBONYLIFT_CORE_ATTEMPT_H_

// Tracks the attempts of one request: which attempt's answer the caller receives, and whether the
// request may have run.
//
// Contract:
// - Attempt ids start at 1 and are unique within a request.
// - Only one attempt relays bytes to the caller: the first that produces any. Bytes of any other
//   attempt are dropped, as are bytes of an attempt that failed, was abandoned or has finished.
// - The caller receives each byte exactly once and in order, also after a stream was resumed at an
//   offset.
// - RequestRun() returns kNotRun only if no attempt can have run, and kRan if any attempt is known
//   to have run.
//
// Not thread safe: a request belongs to one thread. Throws nothing.
// Memory: one Attempt for each dispatch. retry.h limits a request to kMaxAttempts attempts; hedging
// adds at most one.

#include <cstdint>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"

namespace ebonylift {

enum class AttemptState {
  kOpen,       // dispatched; its bytes may be relayed
  kAbandoned,  // given up after a hedge, timeout or cancel; its bytes are dropped
  kFailed,
  kFinished,  // its answer is complete and is the answer of the request
};

struct Attempt {
  uint32_t id = 0;
  ServerId server;
  uint64_t incarnation = 0;
  Time dispatched_at;
  AttemptState state = AttemptState::kOpen;
  Run run = Run::kMayHaveRun;  // kMayHaveRun until the outcome is known
  bool has_output = false;     // bytes arrived, so `run` cannot be kNotRun
  uint64_t relayed_bytes = 0;  // number of bytes of its answer that were relayed to the caller
};

struct RequestAttempts {
  RequestId id;
  std::vector<Attempt> attempts;
  uint32_t next_id = 1;
  uint32_t relaying_id = 0;  // id of the attempt whose bytes are relayed; 0: none yet
  bool finished = false;
};

enum class ChunkAction {
  kRelay,  // relay all but the first `skip` bytes
  kDrop,   // bytes of an attempt that is not relayed, or bytes that were relayed before
  kGap,    // bytes are missing before the offset: end the stream with an error
};

struct ChunkDecision {
  ChunkAction action = ChunkAction::kDrop;
  uint64_t skip = 0;
};

// Records a dispatch and returns the new attempt's id.
uint32_t OnDispatch(RequestAttempts& request, const ServerId& server, uint64_t incarnation,
                    Time now);

// Handles the arrival of `size` bytes of the attempt's answer, starting at `offset`.
ChunkDecision OnChunk(RequestAttempts& request, uint32_t attempt, uint64_t offset, uint64_t size);

// Records that the attempt failed. `run` says whether it ran and replaces kMayHaveRun, also for an
// abandoned or failed attempt: the reply to a cancel may arrive after the attempt was given up.
// kNotRun is ignored for an attempt that produced bytes. Has no effect on a finished attempt.
void OnFailure(RequestAttempts& request, uint32_t attempt, Run run);

// Gives up an open attempt: its later bytes are dropped. Whether it ran stays unknown.
void Abandon(RequestAttempts& request, uint32_t attempt);

// Records that the attempt's answer is complete. Returns true if it is the answer of the request,
// that is, if the attempt is open and no other attempt relayed bytes or finished. All other open
// attempts then become abandoned, and the caller of this function cancels them.
bool Finish(RequestAttempts& request, uint32_t attempt);

// Returns whether the request ran: kRan if any attempt ran, else kMayHaveRun if any attempt may
// have run, else kNotRun.
Run RequestRun(const RequestAttempts& request);

// Returns the number of bytes that the caller has received. If it is above 0, the bytes of a new
// attempt are dropped, so the request can only continue by resuming the relaying attempt.
uint64_t BytesRelayed(const RequestAttempts& request);

// Returns null if there is no such attempt. The pointer is valid until the next OnDispatch().
const Attempt* FindAttempt(const RequestAttempts& request, uint32_t attempt);

// Returns the ids of attempts that are open, or abandoned without knowing whether they ran.
std::vector<uint32_t> UnresolvedAttempts(const RequestAttempts& request);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_ATTEMPT_H_
