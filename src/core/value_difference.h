#ifndef EBONYLIFT_CORE_VALUE_DIFFERENCE_H_
#define EBONYLIFT_CORE_VALUE_DIFFERENCE_H_

// Compact forms of large configuration values, for the consensus log, the history, transfers and
// snapshots.
//
// A difference is a Zstandard frame that uses the base as its prefix. It is about as large as what
// the value does not share with the base, and with an empty base it is the compressed value. The
// frame has a checksum of the value, so applying it to another base is detected.
//
// All functions are pure and thread safe. Memory while one runs: a few times the size of the base
// and the value.

#include <cstddef>
#include <string>
#include <string_view>

namespace ebonylift {

// Returns the difference between `base` and `value`. Throws Error(kInternal) if there is not enough
// memory.
std::string EncodeDifference(std::string_view base, std::string_view value);

// Returns the value of which EncodeDifference(base, value) returned `difference`. Throws
// Error(kBadRequest) if `difference` is malformed, belongs to another base, or is of a value of
// more than `max_bytes`.
std::string ApplyDifference(std::string_view base, std::string_view difference, size_t max_bytes);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_VALUE_DIFFERENCE_H_
