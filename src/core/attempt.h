#ifndef EBONYLIFT_CORE_ATTEMPT_H_
#define EBONYLIFT_CORE_ATTEMPT_H_

// The attempts of one request.
//
// Contract:
// - Attempt ids start at 1 and are never used twice within a request.
// - At most one attempt relays bytes to the caller: the first whose bytes are offered. Bytes of
//   every other attempt, and of one that failed, was abandoned or finished, are dropped.
// - Bytes are relayed without gap and without repetition, also after a resume at an offset.
// - RequestRun() never says kNotRun while any attempt may have run, and never says less than what
//   any attempt is known to have done.
//
// Not thread safe: a request belongs to one thread. No errors are thrown.
// Memory: one Attempt for each dispatch; retry.h limits these to kMaxAttempts, hedges to one more.

#include <cstdint>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"

namespace ebonylift {

enum class AttemptState {
  kOpen,       // dispatched, may still produce data
  kAbandoned,  // given up (hedge, timeout, cancel); its data is late
  kFailed,
  kFinished,  // complete answer
};

struct Attempt {
  uint32_t id = 0;
  ServerId server;
  uint64_t incarnation = 0;
  Time dispatched_at;
  AttemptState state = AttemptState::kOpen;
  Run run = Run::kMayHaveRun;  // as far as known; an open attempt may have run
  bool produced = false;       // bytes arrived, so it cannot be kNotRun
  uint64_t bytes = 0;          // relayed to the caller
};

struct RequestAttempts {
  RequestId id;
  std::vector<Attempt> attempts;
  uint32_t next_id = 1;
  uint32_t relaying = 0;  // id of the attempt whose bytes the caller gets; 0: none yet
  bool finished = false;
};

enum class ChunkAction {
  kRelay,  // send all but the first `skip` bytes
  kDrop,   // late data, or wholly repeated
  kGap,    // the offset is past what was relayed: end the stream with an error
};

struct ChunkVerdict {
  ChunkAction action = ChunkAction::kDrop;
  uint64_t skip = 0;
};

// Records a dispatch and returns the new attempt's id.
uint32_t OnDispatch(RequestAttempts& request, const ServerId& server, uint64_t incarnation,
                    Time now);

// `size` bytes of the answer starting at `offset` arrived from the attempt.
ChunkVerdict OnChunk(RequestAttempts& request, uint32_t attempt, uint64_t offset, uint64_t size);

// The attempt failed; `run` is what is known of it. Ignored for an attempt that is not open, except
// that a better statement replaces kMayHaveRun (an answer to a cancel that arrives late). kNotRun
// is ignored for an attempt that produced bytes.
void OnFailure(RequestAttempts& request, uint32_t attempt, Run run);

// The attempt is given up: its later data is dropped. It may have run.
void Abandon(RequestAttempts& request, uint32_t attempt);

// The attempt's answer is complete. True when it is the answer of the request: the attempt is open
// and no other one relayed bytes or finished. All other open attempts become abandoned; cancel
// these.
bool Finish(RequestAttempts& request, uint32_t attempt);

// The Run statement of the whole request: kRan if any attempt ran, else kMayHaveRun if any may
// have, else kNotRun.
Run RequestRun(const RequestAttempts& request);

// Bytes that the caller has got. Above 0, a new attempt cannot serve the request: its bytes are
// dropped. Only a resume of the relaying attempt can.
uint64_t BytesRelayed(const RequestAttempts& request);

// Null when there is no such attempt. The pointer is valid until the next OnDispatch().
const Attempt* FindAttempt(const RequestAttempts& request, uint32_t attempt);

// Ids of attempts that are open or abandoned without a known end.
std::vector<uint32_t> OpenAttempts(const RequestAttempts& request);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_ATTEMPT_H_
