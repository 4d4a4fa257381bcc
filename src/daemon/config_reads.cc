#include "daemon/config_reads.h"

#include <utility>

namespace ebonylift {
namespace {

constexpr Duration kReadTimeout = seconds(2);

}  // namespace

void ConfigReads::Add(const Consensus& leader, const std::string& path, Done done) {
  Time now = clock_->Update();
  pending_.push_back({path, std::move(done), ReadIndex(leader), now + kReadTimeout});
}

void ConfigReads::Answer(const Consensus* leader, const ConfigTree& committed) {
  auto waiting = std::move(pending_);
  pending_.clear();
  for (PendingRead& read : waiting) {
    if (leader == nullptr || clock_->now() >= read.deadline) {
      AnswerNoQuorum(std::move(read.done));
    } else if (leader->delivered_index >= read.index && LeaseValid(*leader, clock_->Update())) {
      Queue(std::move(read.done), std::nullopt,
            {committed.revision, ReadTree(committed, read.path)});
    } else {
      pending_.push_back(std::move(read));
    }
  }
}

void ConfigReads::AnswerNoQuorum(Done done) {
  Queue(std::move(done), Error(ErrorKind::kNoQuorum, "the voters have no leader"), ConfigRead());
}

void ConfigReads::Queue(Done done, std::optional<Error> error, ConfigRead read) {
  callbacks_->Push([done = std::move(done), error = std::move(error), read = std::move(read)] {
    done(error, read);
  });
}

}  // namespace ebonylift
