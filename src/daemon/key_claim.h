#ifndef EBONYLIFT_DAEMON_KEY_CLAIM_H_
#define EBONYLIFT_DAEMON_KEY_CLAIM_H_

// The claim of one request on its idempotency key, until the outcome of the request is recorded.
//
// Not thread safe: it belongs to the thread of its request. While no claim is held, all methods but
// TakeOver() do nothing.

#include <functional>

#include "base/error.h"
#include "core/records.h"
#include "daemon/record_store.h"

namespace ebonylift {

class KeyClaim {
 public:
  // `records` must outlive this object.
  KeyClaim(RecordStore* records, RecordKey key);

  // Takes over a claim. Precondition: `result` is a new claim (kNew) on the key.
  void TakeOver(const ClaimResult& result);

  bool held() const { return claim_id_ != 0; }
  // True when the work may have been dispatched under the claim.
  bool dispatched() const { return claim_id_ != 0 && dispatched_; }
  // When the record of the key expires; 0 when the key was never claimed.
  WallMillis expires_at() const { return expires_at_; }

  // Call before each dispatch. Returns false when the claim is no longer current; the request must
  // not be dispatched then.
  bool MarkDispatched();

  // Stores the response and ends the claim. `done` runs when the response is durable, or when it
  // could not be made durable.
  void Complete(StoredAnswer answer, std::function<void(bool durable)> done);

  // Ends the claim of a request that has no response to store. `run` covers all its attempts: the
  // key is released for kNotRun, else its outcome is recorded as unknown.
  void Resolve(Run run);

 private:
  RecordStore* const records_;
  const RecordKey key_;
  uint64_t claim_id_ = 0;  // 0: none
  bool dispatched_ = false;
  WallMillis expires_at_ = 0;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_KEY_CLAIM_H_
