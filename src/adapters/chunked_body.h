#ifndef EBONYLIFT_ADAPTERS_CHUNKED_BODY_H_
#define EBONYLIFT_ADAPTERS_CHUNKED_BODY_H_

// Decodes the chunked transfer coding of HTTP/1.1 (RFC 9112, section 7.1).
//
// The decoder is strict, for the same reason as that of response heads: a chunk whose size is
// damaged could end the body too early, and the part would look complete.
//
// Stateless and thread safe.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace ebonylift {

enum class ChunkedBodyPart { kSize, kData, kDataEnd, kTrailers, kEnd };

// How far a body was decoded.
struct ChunkedBody {
  ChunkedBodyPart next = ChunkedBodyPart::kSize;
  std::string line;          // an incomplete line: of a size, the end of a chunk or a trailer field
  uint64_t data_left = 0;    // bytes of the chunk that are still to come
  size_t trailer_bytes = 0;  // received so far
};

// Decodes the next received bytes and appends those of the body to `out`. Ignores bytes after the
// end of the body, which belong to no response. Returns nullptr, or why the body is invalid, for
// logs.
const char* DecodeChunks(std::string_view data, ChunkedBody* body, std::string* out);

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_CHUNKED_BODY_H_
