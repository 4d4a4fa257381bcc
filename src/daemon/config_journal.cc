#include "daemon/config_journal.h"

#include <utility>

namespace ebonylift {

ConfigJournal::ConfigJournal(std::shared_ptr<Journal> journal, Post post, CallbackQueue* callbacks)
    : journal_(std::move(journal)), post_(std::move(post)), callbacks_(callbacks) {}

void ConfigJournal::Append(std::string record, Done done) {
  appended_bytes_ += record.size();
  journal_->Append(std::move(record), OnControlThread(std::move(done)));
}

void ConfigJournal::Rewrite(std::string snapshot, Done done) {
  appended_bytes_ = 0;
  ++rewrites_;
  journal_->Compact(std::move(snapshot), OnControlThread(std::move(done)));
}

// The returned function may be called on any thread.
Journal::Done ConfigJournal::OnControlThread(Done done) {
  std::weak_ptr<bool> weak = alive_;
  return [this, weak, post = post_, done = std::move(done), started = rewrites_](bool ok) {
    post([this, weak, done, started, ok] {
      if (!weak.lock()) return;
      CallbackQueue::Scope scope(callbacks_);
      done(ok, rewrites_ != started);
    });
  };
}

}  // namespace ebonylift
