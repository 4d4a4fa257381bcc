#include "base/log_limit.h"

#include <algorithm>

namespace ebonylift {

bool TakeLine(LogBudget& budget, Time now) {
  if (budget.refilled == Time()) budget.lines = budget.lines_per_second;
  double elapsed = std::chrono::duration<double>(now - budget.refilled).count();
  budget.lines = std::min(budget.lines + std::max(elapsed, 0.0) * budget.lines_per_second,
                          budget.lines_per_second);
  budget.refilled = now;
  if (budget.lines < 1) {
    ++budget.dropped;
    return false;
  }
  budget.lines -= 1;
  return true;
}

}  // namespace ebonylift
