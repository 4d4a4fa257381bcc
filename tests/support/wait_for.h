#ifndef EBONYLIFT_TESTS_SUPPORT_WAIT_FOR_H_
#define EBONYLIFT_TESTS_SUPPORT_WAIT_FOR_H_

#include <functional>

#include "base/time.h"

namespace ebonylift::test {

// Evaluates `condition` until it is true or `timeout` has passed; returns the last result. An
// exception of the condition counts as false, so a condition may ask a server that is starting.
bool WaitFor(const std::function<bool()>& condition, Duration timeout);

}  // namespace ebonylift::test

#endif  // EBONYLIFT_TESTS_SUPPORT_WAIT_FOR_H_
