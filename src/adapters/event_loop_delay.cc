#include "adapters/event_loop_delay.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <cerrno>
#include <system_error>

namespace ebonylift {

struct EventLoopDelay::State {
  explicit State(asio::io_context& io) : reader(io), writer(io) {}

  asio::posix::stream_descriptor reader;
  asio::posix::stream_descriptor writer;
  std::array<char, 1> byte{};
  std::optional<Time> started;  // set while a measurement is in progress
  Duration newest{0};
};

EventLoopDelay::EventLoopDelay(asio::io_context& io) : state_(std::make_shared<State>(io)) {
  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0)
    throw std::system_error(errno, std::generic_category(), "cannot open a pipe");
  state_->reader.assign(ends[0]);
  state_->writer.assign(ends[1]);
}

EventLoopDelay::~EventLoopDelay() {
  asio::error_code ignored;
  state_->reader.close(ignored);
  state_->writer.close(ignored);
}

void EventLoopDelay::Measure(Time now) {
  if (state_->started) return;
  // The wait starts before the byte is there, so that it cannot end at once.
  state_->reader.async_wait(asio::posix::stream_descriptor::wait_read,
                            [state = state_](const asio::error_code& error) {
                              if (error || !state->started) return;
                              asio::error_code ignored;
                              state->reader.read_some(asio::buffer(state->byte), ignored);
                              state->newest = SteadyNow() - *state->started;
                              state->started.reset();
                            });
  asio::error_code error;
  state_->writer.write_some(asio::buffer(state_->byte), error);
  if (error) {
    state_->reader.cancel(error);
  } else {
    state_->started = now;
  }
}

Duration EventLoopDelay::Current(Time now) const {
  if (!state_->started) return state_->newest;
  return std::max(state_->newest, now - *state_->started);
}

}  // namespace ebonylift
