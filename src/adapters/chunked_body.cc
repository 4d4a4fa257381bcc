#include "adapters/chunked_body.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

#include "adapters/http_response_head.h"

namespace ebonylift {
namespace {

constexpr size_t kMaxSizeLineBytes = 4 << 10;
constexpr size_t kMaxTrailerBytes = 256 << 10;

// Parses "1a;extension". Extensions are ignored.
const char* AddSizeLine(std::string_view line, ChunkedBody* body) {
  constexpr int kHexBase = 16;
  constexpr const char* kMalformed = "the size of a chunk is malformed";
  uint64_t size = 0;
  const char* end = line.data() + line.size();
  std::from_chars_result result = std::from_chars(line.data(), end, size, kHexBase);
  if (result.ec != std::errc() || size > std::numeric_limits<int64_t>::max()) return kMalformed;
  std::string_view rest = line.substr(static_cast<size_t>(result.ptr - line.data()));
  size_t extension = rest.find_first_not_of(" \t");
  if (!rest.empty() && (extension == std::string_view::npos || rest[extension] != ';'))
    return kMalformed;
  if (!IsHeaderText(rest)) return kMalformed;
  body->data_left = size;
  body->next = size == 0 ? ChunkedBodyPart::kTrailers : ChunkedBodyPart::kData;
  return nullptr;
}

const char* AddTrailerLine(std::string_view line, ChunkedBody* body) {
  if (line.empty()) {
    body->next = ChunkedBodyPart::kEnd;
  } else if (!IsFieldLine(line)) {
    return "a trailer line of the response is not a field";
  }
  return nullptr;
}

const char* AddLine(std::string_view line, ChunkedBody* body) {
  switch (body->next) {
    case ChunkedBodyPart::kSize:
      return AddSizeLine(line, body);
    case ChunkedBodyPart::kDataEnd:
      if (!line.empty()) return "a chunk is longer than its size";
      body->next = ChunkedBodyPart::kSize;
      return nullptr;
    case ChunkedBodyPart::kTrailers:
      return AddTrailerLine(line, body);
    case ChunkedBodyPart::kData:
    case ChunkedBodyPart::kEnd:
      break;
  }
  return nullptr;
}

// Takes the bytes up to the end of the line, or all. Adds the line when it is complete.
const char* TakeLine(std::string_view* data, ChunkedBody* body) {
  size_t line_feed = data->find('\n');
  size_t taken = line_feed == std::string_view::npos ? data->size() : line_feed + 1;
  if (body->next == ChunkedBodyPart::kTrailers) {
    body->trailer_bytes += taken;
    if (body->trailer_bytes > kMaxTrailerBytes) return "trailers exceed the size limit";
  } else if (body->line.size() + taken > kMaxSizeLineBytes) {
    return "the line with the size of a chunk exceeds its limit";
  }
  body->line.append(data->substr(0, taken));
  data->remove_prefix(taken);
  if (line_feed == std::string_view::npos) return nullptr;
  const std::string complete = std::exchange(body->line, std::string());
  std::string_view line = complete;
  if (!RemoveLineBreak(&line)) return "a line of a chunked body does not end with CR LF";
  return AddLine(line, body);
}

void TakeData(std::string_view* data, ChunkedBody* body, std::string* out) {
  size_t taken = static_cast<size_t>(std::min<uint64_t>(data->size(), body->data_left));
  out->append(data->substr(0, taken));
  data->remove_prefix(taken);
  body->data_left -= taken;
  if (body->data_left == 0) body->next = ChunkedBodyPart::kDataEnd;
}

}  // namespace

const char* DecodeChunks(std::string_view data, ChunkedBody* body, std::string* out) {
  while (!data.empty() && body->next != ChunkedBodyPart::kEnd) {
    if (body->next == ChunkedBodyPart::kData) {
      TakeData(&data, body, out);
    } else if (const char* error = TakeLine(&data, body)) {
      return error;
    }
  }
  return nullptr;
}

}  // namespace ebonylift
