#include "daemon/key_claim.h"

#include <utility>

namespace ebonylift {

KeyClaim::KeyClaim(RecordStore* records, RecordKey key) : records_(records), key_(std::move(key)) {}

void KeyClaim::TakeOver(const ClaimResult& result) {
  claim_id_ = result.claim_id;
  expires_at_ = result.expires_at;
}

bool KeyClaim::MarkDispatched() {
  if (claim_id_ == 0 || dispatched_) return true;
  dispatched_ = records_->MarkDispatched(key_, claim_id_);
  return dispatched_;
}

void KeyClaim::Complete(StoredAnswer answer, std::function<void(bool durable)> done) {
  if (claim_id_ == 0) return;
  records_->Complete(key_, std::exchange(claim_id_, 0), std::move(answer), std::move(done));
}

void KeyClaim::Resolve(Run run) {
  if (claim_id_ == 0) return;
  uint64_t claim_id = std::exchange(claim_id_, 0);
  if (run == Run::kNotRun) {
    records_->Release(key_, claim_id, dispatched_);
  } else {
    records_->MarkUnknown(key_, claim_id);
  }
}

}  // namespace ebonylift
