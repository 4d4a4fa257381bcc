#ifndef EBONYLIFT_DAEMON_CALLBACK_QUEUE_H_
#define EBONYLIFT_DAEMON_CALLBACK_QUEUE_H_

// Callbacks of a caller that run when the outermost method of an object ends.
//
// A callback may call the object again. If it ran at once, that call would see the object in the
// middle of a change, for example while a batch of committed entries is being applied.
//
// Threads: not thread safe; the callbacks run on the thread that ends the outermost scope.

#include <deque>
#include <functional>
#include <utility>

namespace ebonylift {

class CallbackQueue {
 public:
  CallbackQueue() = default;
  CallbackQueue(const CallbackQueue&) = delete;
  CallbackQueue& operator=(const CallbackQueue&) = delete;

  // Adds a callback, which runs when the outermost Scope ends.
  void Push(std::function<void()> fn) { callbacks_.push_back(std::move(fn)); }

  // Held by each public method of the object. The destructor of the outermost scope runs the
  // callbacks in the order of Push(), including those that are added meanwhile.
  class Scope {
   public:
    explicit Scope(CallbackQueue* queue) : queue_(queue) { ++queue_->depth_; }
    ~Scope() {
      while (queue_->depth_ == 1 && !queue_->callbacks_.empty()) {
        std::function<void()> fn = std::move(queue_->callbacks_.front());
        queue_->callbacks_.pop_front();
        fn();
      }
      --queue_->depth_;
    }
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

   private:
    CallbackQueue* queue_;
  };

 private:
  std::deque<std::function<void()>> callbacks_;
  int depth_ = 0;  // existing scopes
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_CALLBACK_QUEUE_H_
