#ifndef EBONYLIFT_TESTS_SUPPORT_WAIT_FOR_H_
#define EBONYLIFT_TESTS_SUPPORT_WAIT_FOR_H_

#include <functional>

#include "base/time.h"

namespace ebonylift::test {

// Evaluates `condition` every 20 ms until it is true or `timeout` has passed; returns the last
// result. A std::exception from the condition counts as false, so that the condition may call a
// server that is still starting.
bool WaitFor(const std::function<bool()>& condition, Duration timeout);

}  // namespace ebonylift::test

#endif  // EBONYLIFT_TESTS_SUPPORT_WAIT_FOR_H_
