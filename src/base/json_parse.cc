#include "base/json_parse.h"

namespace ebonylift {
namespace {

// Counts the brackets outside of strings, without regard to the rest of the syntax.
bool IsTooDeep(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      if (c == '"') in_string = false;
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxJsonDepth) return true;
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

}  // namespace

nlohmann::json ParseForeignJson(std::string_view text) {
  if (IsTooDeep(text)) return nlohmann::json(nlohmann::json::value_t::discarded);
  return nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
}

}  // namespace ebonylift
