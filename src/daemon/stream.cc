#include "daemon/stream.h"

#include <algorithm>
#include <cstdlib>

namespace ebonylift {
namespace {

// Returns the position after the opening quote of the string value of the first `key` in the event,
// or npos if `key` is missing or its value is not a string.
size_t FindStringValue(std::string_view event, std::string_view key) {
  size_t at = event.find(key);
  if (at == std::string_view::npos) return at;
  at += key.size();
  while (at < event.size() && (event[at] == ':' || event[at] == ' ')) ++at;
  return at < event.size() && event[at] == '"' ? at + 1 : std::string_view::npos;
}

uint32_t ParseHex(std::string_view digits) {
  return static_cast<uint32_t>(std::strtoul(std::string(digits).c_str(), nullptr, 16));
}

// Returns the UTF-8 length of a \uXXXX escape. Each half of a surrogate pair counts as 2 bytes, so
// that the pair adds up to 4.
uint64_t EscapedUtf8Length(uint32_t code) {
  bool surrogate = code >= 0xd800 && code <= 0xdfff;
  if (surrogate) return 2;
  return code < 0x80 ? 1 : code < 0x800 ? 2 : 3;
}

}  // namespace

uint64_t EventTextBytes(std::string_view event) {
  size_t at = FindStringValue(event, "\"content\"");
  if (at == std::string_view::npos) at = FindStringValue(event, "\"text\"");
  if (at == std::string_view::npos) return 0;
  uint64_t bytes = 0;
  while (at < event.size() && event[at] != '"') {
    if (event[at] != '\\') {
      ++bytes;
      ++at;
    } else if (at + 1 < event.size() && event[at + 1] == 'u') {
      bytes += EscapedUtf8Length(ParseHex(event.substr(at + 2, 4)));
      at += 6;
    } else {
      ++bytes;
      at += 2;
    }
  }
  return bytes;
}

void StreamTracker::ProcessEvent(std::string_view event, std::string* out) {
  if (event.rfind("data: [DONE]", 0) == 0) {
    done_ = true;
    end_marker_ = std::string(event);
    return;
  }
  if (event.rfind("data: {\"error\"", 0) == 0) error_ = true;
  generated_text_bytes_ += EventTextBytes(event);
  out->append(event);
}

std::string StreamTracker::Feed(std::string_view data) {
  std::string out;
  partial_event_.append(data);
  size_t start = 0;
  size_t end = 0;
  while ((end = partial_event_.find("\n\n", start)) != std::string::npos) {
    ProcessEvent(std::string_view(partial_event_).substr(start, end + 2 - start), &out);
    start = end + 2;
  }
  partial_event_.erase(0, start);
  if (partial_event_.size() > kMaxEventBytes) {
    error_ = true;
    too_large_ = true;
    partial_event_.clear();
  }
  return out;
}

}  // namespace ebonylift
