#include "daemon/task_queue.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "base/error.h"

namespace ebonylift {

TaskQueue::TaskQueue() {
  if (pipe2(fds_, O_CLOEXEC | O_NONBLOCK) != 0) {
    throw Error(ErrorKind::kInternal, "cannot create the wake-up pipe of the control thread");
  }
}

TaskQueue::~TaskQueue() {
  close(fds_[0]);
  close(fds_[1]);
}

void TaskQueue::Post(std::function<void()> fn) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (closed_) return;
  queue_.push_back(std::move(fn));
  if (queue_.size() > 1) return;  // a wake-up byte is already in the pipe
  char byte = 0;
  ssize_t written = 0;
  do {
    written = write(fds_[1], &byte, 1);
  } while (written < 0 && errno == EINTR);
}

std::vector<std::function<void()>> TaskQueue::Take() {
  std::lock_guard<std::mutex> lock(mutex_);
  return std::exchange(queue_, {});
}

void TaskQueue::Close() {
  std::lock_guard<std::mutex> lock(mutex_);
  closed_ = true;
}

}  // namespace ebonylift
