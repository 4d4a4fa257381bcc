#include "tests/support/wait_for.h"

#include <exception>
#include <thread>

namespace ebonylift::test {
namespace {

constexpr Duration kPollInterval = milliseconds(20);

bool IsTrue(const std::function<bool()>& condition) {
  try {
    return condition();
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace

bool WaitFor(const std::function<bool()>& condition, Duration timeout) {
  Time deadline = SteadyNow() + timeout;
  while (!IsTrue(condition)) {
    if (SteadyNow() >= deadline) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace ebonylift::test
