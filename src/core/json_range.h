#ifndef EBONYLIFT_CORE_JSON_RANGE_H_
#define EBONYLIFT_CORE_JSON_RANGE_H_

// Checks of numbers in JSON documents of operators. Pure and thread safe.

#include <cstdint>
#include <nlohmann/json.hpp>

namespace ebonylift {

// Whether the value is an integer from `min` to `max`. Precondition: `max` is not negative.
inline bool IsIntegerInRange(const nlohmann::json& value, int64_t min, int64_t max) {
  if (!value.is_number_integer()) return false;
  if (value.is_number_unsigned() && value.get<uint64_t>() > static_cast<uint64_t>(max)) {
    return false;
  }
  return value.get<int64_t>() >= min && value.get<int64_t>() <= max;
}

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_JSON_RANGE_H_
