#ifndef EBONYLIFT_ADAPTERS_EVENT_LOOP_DELAY_H_
#define EBONYLIFT_ADAPTERS_EVENT_LOOP_DELAY_H_

// Measures how long an Asio event loop takes to handle what arrives at its sockets.
//
// The meter writes a byte to a pipe and waits until the loop reads it. The byte passes the queue of
// ready descriptors and that of handlers, like the data of a connection. A timer would show only
// the time of one turn of the loop, which handles a bounded number of descriptors.
//
// Not thread safe: used on the thread that runs `io`.

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <memory>
#include <optional>

#include "base/time.h"

namespace ebonylift {

class EventLoopDelay {
 public:
  // `io` must outlive the meter. Throws std::system_error if no pipe can be opened.
  explicit EventLoopDelay(asio::io_context& io);
  ~EventLoopDelay();
  EventLoopDelay(const EventLoopDelay&) = delete;
  EventLoopDelay& operator=(const EventLoopDelay&) = delete;

  // Starts a measurement, unless one is in progress.
  void Measure(Time now);

  // The delay that the newest measurement found, or the age of the one in progress if that is
  // longer.
  Duration Current(Time now) const;

 private:
  struct State;
  std::shared_ptr<State> state_;  // also held by the pending read
};

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_EVENT_LOOP_DELAY_H_
