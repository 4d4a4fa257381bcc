#ifndef EBONYLIFT_ADAPTERS_KJ_TYPES_H_
#define EBONYLIFT_ADAPTERS_KJ_TYPES_H_

// Conversions between the types of KJ and Cap'n Proto and those used elsewhere.
//
// Stateless and thread safe.

#include <capnp/blob.h>
#include <kj/time.h>

#include <string>

#include "base/time.h"

namespace ebonylift {

inline kj::Duration ToKjDuration(Duration duration) { return duration.count() * kj::MICROSECONDS; }

inline std::string ToStdString(capnp::Text::Reader text) {
  return std::string(text.cStr(), text.size());
}

inline std::string ToStdString(capnp::Data::Reader data) {
  return std::string(reinterpret_cast<const char*>(data.begin()), data.size());
}

// The result refers to `bytes`, which must outlive it.
inline capnp::Data::Reader ToData(const std::string& bytes) {
  return capnp::Data::Reader(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size());
}

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_KJ_TYPES_H_
