#ifndef EBONYLIFT_DAEMON_CONFIG_JOURNAL_H_
#define EBONYLIFT_DAEMON_CONFIG_JOURNAL_H_

// Writes to the journal of a configuration replica, with callbacks on the control thread.
//
// Threads: all methods are called on the control thread. Callbacks that arrive after the
// destruction of the object are dropped.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "daemon/callback_queue.h"
#include "ports/journal.h"

namespace ebonylift {

class ConfigJournal {
 public:
  // `ok` is false when the write failed. `superseded` is true when a later Rewrite() was started
  // before this call, so that the journal may no longer contain what was written.
  using Done = std::function<void(bool ok, bool superseded)>;
  // Runs `fn` on the control thread; thread safe.
  using Post = std::function<void(std::function<void()> fn)>;

  // `journal` may be null; then no write may be started. Callbacks run within a Scope of
  // `callbacks`, which outlives this object.
  ConfigJournal(std::shared_ptr<Journal> journal, Post post, CallbackQueue* callbacks);

  // Null on a host without a disk.
  Journal* journal() const { return journal_.get(); }

  // Appends a record.
  void Append(std::string record, Done done);

  // Replaces the contents of the journal by `snapshot`.
  void Rewrite(std::string snapshot, Done done);

  // The size of the records that were appended since the last Rewrite().
  size_t appended_bytes() const { return appended_bytes_; }

 private:
  Journal::Done OnControlThread(Done done);

  const std::shared_ptr<Journal> journal_;
  const Post post_;
  CallbackQueue* const callbacks_;
  size_t appended_bytes_ = 0;
  uint64_t rewrites_ = 0;  // started
  // Lets callbacks that arrive after destruction detect it and do nothing.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CONFIG_JOURNAL_H_
