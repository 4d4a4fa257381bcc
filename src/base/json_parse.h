#ifndef EBONYLIFT_BASE_JSON_PARSE_H_
#define EBONYLIFT_BASE_JSON_PARSE_H_

// Parses JSON that another process wrote. Pure and thread safe.

#include <nlohmann/json.hpp>
#include <string_view>

namespace ebonylift {

// Deeper than any message of this program or of its users. nlohmann::json copies and serializes a
// value recursively, so a value of a million levels would overflow the stack.
constexpr int kMaxJsonDepth = 128;

// Returns the value, or a discarded one if the text is not JSON or nested deeper than
// kMaxJsonDepth. Throws nothing.
nlohmann::json ParseForeignJson(std::string_view text);

}  // namespace ebonylift

#endif  // EBONYLIFT_BASE_JSON_PARSE_H_
