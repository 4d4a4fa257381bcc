#include "daemon/key_claim.h"

#include <utility>

namespace ebonylift {

KeyClaim::KeyClaim(RecordStore* records, RecordKey key) : records_(records), key_(std::move(key)) {}

void KeyClaim::Hold(const ClaimResult& result) {
  claim_ = result.claim;
  expires_at_ = result.expires_at;
}

bool KeyClaim::MarkDispatched() {
  if (claim_ == 0 || dispatched_) return true;
  dispatched_ = records_->MarkDispatched(key_, claim_);
  return dispatched_;
}

void KeyClaim::Complete(StoredAnswer answer, std::function<void(bool durable)> done) {
  if (claim_ == 0) return;
  records_->Complete(key_, std::exchange(claim_, 0), std::move(answer), std::move(done));
}

void KeyClaim::End(Run run) {
  if (claim_ == 0) return;
  uint64_t claim = std::exchange(claim_, 0);
  if (run == Run::kNotRun) {
    records_->Release(key_, claim, dispatched_);
  } else {
    records_->MarkUnknown(key_, claim);
  }
}

}  // namespace ebonylift
