#ifndef EBONYLIFT_DAEMON_KEY_CLAIM_H_
#define EBONYLIFT_DAEMON_KEY_CLAIM_H_

// The claim of one request on its idempotency key, from the claim to the statement how it ended.
//
// Not thread safe: it belongs to the thread of its request. Without a claim, all methods but Hold()
// do nothing.

#include <functional>

#include "base/error.h"
#include "core/records.h"
#include "daemon/record_store.h"

namespace ebonylift {

class KeyClaim {
 public:
  // `records` outlives the claim.
  KeyClaim(RecordStore* records, RecordKey key);

  // Precondition: `result` is a new claim of the key.
  void Hold(const ClaimResult& result);

  bool held() const { return claim_ != 0; }
  // The work may have been dispatched under the claim.
  bool dispatched() const { return claim_ != 0 && dispatched_; }
  // 0 when the key was never claimed.
  WallMillis expires_at() const { return expires_at_; }

  // Call before each dispatch. False: the claim is no longer current, so do not dispatch.
  bool MarkDispatched();

  // Stores the answer and gives the claim up; `done` runs when the answer is durable or cannot be.
  void Complete(StoredAnswer answer, std::function<void(bool durable)> done);

  // The request ended without an answer to store; `run` covers all its attempts.
  void End(Run run);

 private:
  RecordStore* const records_;
  const RecordKey key_;
  uint64_t claim_ = 0;  // 0: none
  bool dispatched_ = false;
  WallMillis expires_at_ = 0;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_KEY_CLAIM_H_
