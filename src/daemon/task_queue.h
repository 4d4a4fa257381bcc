#ifndef EBONYLIFT_DAEMON_TASK_QUEUE_H_
#define EBONYLIFT_DAEMON_TASK_QUEUE_H_

// Queue of functions that other threads post to the control thread. A pipe wakes its event loop.
//
// Memory: the functions that are posted and not yet taken; there is no limit.

#include <functional>
#include <mutex>
#include <vector>

namespace ebonylift {

class TaskQueue {
 public:
  // Throws Error(kInternal) when the pipe cannot be created.
  TaskQueue();
  ~TaskQueue();
  TaskQueue(const TaskQueue&) = delete;
  TaskQueue& operator=(const TaskQueue&) = delete;

  // Becomes readable when functions are waiting. The reader reads all bytes and then calls Take().
  // The descriptor is non-blocking and is closed by the destructor.
  int read_fd() const { return fds_[0]; }

  // Adds a function. Thread safe. Does nothing after Close().
  void Post(std::function<void()> fn);

  // Removes and returns the waiting functions, oldest first. Thread safe.
  std::vector<std::function<void()>> Take();

  // Makes later calls of Post() do nothing. Thread safe.
  void Close();

 private:
  int fds_[2] = {-1, -1};
  std::mutex mutex_;
  std::vector<std::function<void()>> queue_;
  bool closed_ = false;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_TASK_QUEUE_H_
