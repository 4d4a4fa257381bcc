#define BOOST_TEST_MODULE event_loop_delay
#include "adapters/event_loop_delay.h"

#include <asio/post.hpp>
#include <boost/test/included/unit_test.hpp>
#include <thread>

namespace ebonylift {
namespace {

constexpr Duration kBusyTime = milliseconds(60);

}  // namespace

// Guards against a loop that is late and reports no delay: while it has not handled the measurement
// yet, and afterwards.
BOOST_AUTO_TEST_CASE(DelayCoversTheWorkAheadOfTheMeasurement) {
  asio::io_context io;
  EventLoopDelay delay(io);
  BOOST_TEST(delay.Current(SteadyNow()).count() == 0);
  Time start = SteadyNow();
  delay.Measure(start);
  asio::post(io, [] { std::this_thread::sleep_for(kBusyTime); });
  BOOST_TEST(delay.Current(start + kBusyTime).count() == kBusyTime.count());
  io.run();
  BOOST_TEST(delay.Current(start).count() >= kBusyTime.count());

  io.restart();
  delay.Measure(SteadyNow());
  io.run();
  BOOST_TEST(delay.Current(SteadyNow()).count() < kBusyTime.count());
}

// Guards against a pending measurement that is used after its meter.
BOOST_AUTO_TEST_CASE(MeterMayEndDuringAMeasurement) {
  asio::io_context io;
  {
    EventLoopDelay delay(io);
    delay.Measure(SteadyNow());
  }
  BOOST_TEST(io.run() == 1u);
}

}  // namespace ebonylift
