#include "core/attempt.h"

#include <algorithm>

namespace ebonylift {
namespace {

Attempt* FindMutable(RequestAttempts& request, uint32_t id) {
  for (Attempt& attempt : request.attempts) {
    if (attempt.id == id) return &attempt;
  }
  return nullptr;
}

// Sets the run status if it is not known yet; kRan and kNotRun are final. An attempt that produced
// bytes cannot become kNotRun.
void UpdateRun(Attempt& attempt, Run run) {
  if (attempt.has_output && run == Run::kNotRun) return;
  if (attempt.run == Run::kMayHaveRun) attempt.run = run;
}

// Bytes prove that the work started, even if the server reported that it did not. They do not prove
// that it completed, so the status becomes kMayHaveRun and not kRan.
void RecordOutput(Attempt& attempt) {
  attempt.has_output = true;
  if (attempt.run == Run::kNotRun) attempt.run = Run::kMayHaveRun;
}

}  // namespace

uint32_t OnDispatch(RequestAttempts& request, const ServerId& server, uint64_t incarnation,
                    Time now) {
  Attempt attempt;
  attempt.id = request.next_id++;
  attempt.server = server;
  attempt.incarnation = incarnation;
  attempt.dispatched_at = now;
  request.attempts.push_back(attempt);
  return attempt.id;
}

ChunkDecision OnChunk(RequestAttempts& request, uint32_t attempt, uint64_t offset, uint64_t size) {
  Attempt* found = FindMutable(request, attempt);
  if (found == nullptr) return {ChunkAction::kDrop, 0};
  if (size > 0) RecordOutput(*found);
  if (request.finished || found->state != AttemptState::kOpen) return {ChunkAction::kDrop, 0};
  if (request.relaying_id != 0 && request.relaying_id != attempt) return {ChunkAction::kDrop, 0};
  if (offset > found->relayed_bytes) return {ChunkAction::kGap, 0};
  uint64_t skip = found->relayed_bytes - offset;
  if (size <= skip) return {ChunkAction::kDrop, 0};
  request.relaying_id = attempt;
  found->relayed_bytes = offset + size;
  return {ChunkAction::kRelay, skip};
}

void OnFailure(RequestAttempts& request, uint32_t attempt, Run run) {
  Attempt* found = FindMutable(request, attempt);
  if (found == nullptr || found->state == AttemptState::kFinished) return;
  UpdateRun(*found, run);
  if (found->state == AttemptState::kOpen) found->state = AttemptState::kFailed;
}

void Abandon(RequestAttempts& request, uint32_t attempt) {
  Attempt* found = FindMutable(request, attempt);
  if (found != nullptr && found->state == AttemptState::kOpen) {
    found->state = AttemptState::kAbandoned;
  }
}

bool Finish(RequestAttempts& request, uint32_t attempt) {
  Attempt* found = FindMutable(request, attempt);
  if (found == nullptr) return false;
  // A complete answer proves that the attempt ran, even if it arrives too late to be relayed.
  found->run = Run::kRan;
  if (request.finished || found->state != AttemptState::kOpen) return false;
  if (request.relaying_id != 0 && request.relaying_id != attempt) return false;
  found->state = AttemptState::kFinished;
  request.finished = true;
  request.relaying_id = attempt;
  for (Attempt& other : request.attempts) {
    if (other.state == AttemptState::kOpen) other.state = AttemptState::kAbandoned;
  }
  return true;
}

Run RequestRun(const RequestAttempts& request) {
  Run run = Run::kNotRun;
  for (const Attempt& attempt : request.attempts) {
    if (attempt.run == Run::kRan) return Run::kRan;
    if (attempt.run == Run::kMayHaveRun) run = Run::kMayHaveRun;
  }
  return run;
}

uint64_t BytesRelayed(const RequestAttempts& request) {
  const Attempt* relayer = FindAttempt(request, request.relaying_id);
  return relayer == nullptr ? 0 : relayer->relayed_bytes;
}

const Attempt* FindAttempt(const RequestAttempts& request, uint32_t attempt) {
  for (const Attempt& candidate : request.attempts) {
    if (candidate.id == attempt) return &candidate;
  }
  return nullptr;
}

std::vector<uint32_t> UnresolvedAttempts(const RequestAttempts& request) {
  std::vector<uint32_t> unresolved;
  for (const Attempt& attempt : request.attempts) {
    bool abandoned = attempt.state == AttemptState::kAbandoned && attempt.run == Run::kMayHaveRun;
    if (attempt.state == AttemptState::kOpen || abandoned) unresolved.push_back(attempt.id);
  }
  return unresolved;
}

}  // namespace ebonylift
