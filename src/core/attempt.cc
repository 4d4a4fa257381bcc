#include "core/attempt.h"

#include <algorithm>

namespace ebonylift {
namespace {

Attempt* Find(RequestAttempts& request, uint32_t id) {
  for (Attempt& attempt : request.attempts) {
    if (attempt.id == id) return &attempt;
  }
  return nullptr;
}

// kRan and kNotRun are known; kMayHaveRun is not and gives way to either.
void Learn(Attempt& attempt, Run run) {
  if (attempt.produced && run == Run::kNotRun) return;
  if (attempt.run == Run::kMayHaveRun) attempt.run = run;
}

// Bytes prove that the work started, also against a server that said it never did; they do not
// prove that it ended.
void LearnFromBytes(Attempt& attempt) {
  attempt.produced = true;
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

ChunkVerdict OnChunk(RequestAttempts& request, uint32_t attempt, uint64_t offset, uint64_t size) {
  Attempt* found = Find(request, attempt);
  if (found == nullptr) return {ChunkAction::kDrop, 0};
  if (size > 0) LearnFromBytes(*found);
  if (request.finished || found->state != AttemptState::kOpen) return {ChunkAction::kDrop, 0};
  if (request.relaying != 0 && request.relaying != attempt) return {ChunkAction::kDrop, 0};
  if (offset > found->bytes) return {ChunkAction::kGap, 0};
  uint64_t skip = found->bytes - offset;
  if (size <= skip) return {ChunkAction::kDrop, 0};
  request.relaying = attempt;
  found->bytes = offset + size;
  return {ChunkAction::kRelay, skip};
}

void OnFailure(RequestAttempts& request, uint32_t attempt, Run run) {
  Attempt* found = Find(request, attempt);
  if (found == nullptr || found->state == AttemptState::kFinished) return;
  Learn(*found, run);
  if (found->state == AttemptState::kOpen) found->state = AttemptState::kFailed;
}

void Abandon(RequestAttempts& request, uint32_t attempt) {
  Attempt* found = Find(request, attempt);
  if (found != nullptr && found->state == AttemptState::kOpen) {
    found->state = AttemptState::kAbandoned;
  }
}

bool Finish(RequestAttempts& request, uint32_t attempt) {
  Attempt* found = Find(request, attempt);
  if (found == nullptr) return false;
  // A complete answer proves a run, also one that is too late to be used.
  found->run = Run::kRan;
  if (request.finished || found->state != AttemptState::kOpen) return false;
  if (request.relaying != 0 && request.relaying != attempt) return false;
  found->state = AttemptState::kFinished;
  request.finished = true;
  request.relaying = attempt;
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
  const Attempt* relaying = FindAttempt(request, request.relaying);
  return relaying == nullptr ? 0 : relaying->bytes;
}

const Attempt* FindAttempt(const RequestAttempts& request, uint32_t attempt) {
  for (const Attempt& each : request.attempts) {
    if (each.id == attempt) return &each;
  }
  return nullptr;
}

std::vector<uint32_t> OpenAttempts(const RequestAttempts& request) {
  std::vector<uint32_t> open;
  for (const Attempt& attempt : request.attempts) {
    bool abandoned = attempt.state == AttemptState::kAbandoned && attempt.run == Run::kMayHaveRun;
    if (attempt.state == AttemptState::kOpen || abandoned) open.push_back(attempt.id);
  }
  return open;
}

}  // namespace ebonylift
