#include "core/value_difference.h"

#include <zstd.h>

#include <algorithm>
#include <memory>

#include "base/error.h"

namespace ebonylift {
namespace {

constexpr int kCompressionLevel = 3;
// Bounds of the window, as the base-2 logarithm of its bytes. Decoders accept up to the larger one.
constexpr int kMinWindowLog = 10;
constexpr int kMaxWindowLog = 27;

using CompressContext = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using DecompressContext = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

// The window must cover the base and the value, or matches in the base are out of reach.
int WindowLog(size_t bytes) {
  int log = kMinWindowLog;
  while (log < kMaxWindowLog && (size_t{1} << log) < bytes) ++log;
  return log;
}

void CheckCompressed(size_t result) {
  if (ZSTD_isError(result) != 0) {
    throw Error(ErrorKind::kInternal,
                std::string("cannot compress a value: ") + ZSTD_getErrorName(result));
  }
}

void CheckDecompressed(size_t result) {
  if (ZSTD_isError(result) != 0) {
    throw Error(ErrorKind::kBadRequest,
                std::string("cannot apply the difference: ") + ZSTD_getErrorName(result));
  }
}

}  // namespace

std::string EncodeDifference(std::string_view base, std::string_view value) {
  CompressContext context(ZSTD_createCCtx(), ZSTD_freeCCtx);
  if (!context) throw Error(ErrorKind::kInternal, "no memory to compress a value");
  ZSTD_CCtx* c = context.get();
  CheckCompressed(ZSTD_CCtx_setParameter(c, ZSTD_c_compressionLevel, kCompressionLevel));
  CheckCompressed(ZSTD_CCtx_setParameter(c, ZSTD_c_checksumFlag, 1));
  CheckCompressed(ZSTD_CCtx_setParameter(c, ZSTD_c_enableLongDistanceMatching, 1));
  CheckCompressed(
      ZSTD_CCtx_setParameter(c, ZSTD_c_windowLog, WindowLog(base.size() + value.size())));
  CheckCompressed(ZSTD_CCtx_refPrefix(c, base.data(), base.size()));
  std::string difference(ZSTD_compressBound(value.size()), '\0');
  size_t size = ZSTD_compress2(c, difference.data(), difference.size(), value.data(), value.size());
  CheckCompressed(size);
  difference.resize(size);
  difference.shrink_to_fit();
  return difference;
}

std::string ApplyDifference(std::string_view base, std::string_view difference, size_t max_bytes) {
  unsigned long long size = ZSTD_getFrameContentSize(difference.data(), difference.size());
  bool known = size != ZSTD_CONTENTSIZE_UNKNOWN && size != ZSTD_CONTENTSIZE_ERROR;
  if (!known || size > max_bytes) {
    throw Error(ErrorKind::kBadRequest, "malformed difference, or its value is too large");
  }
  DecompressContext context(ZSTD_createDCtx(), ZSTD_freeDCtx);
  if (!context) throw Error(ErrorKind::kInternal, "no memory to decompress a value");
  CheckDecompressed(ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size()));
  std::string value(static_cast<size_t>(size), '\0');
  size_t written = ZSTD_decompressDCtx(context.get(), value.data(), value.size(), difference.data(),
                                       difference.size());
  CheckDecompressed(written);
  if (written != value.size()) throw Error(ErrorKind::kBadRequest, "malformed difference");
  return value;
}

}  // namespace ebonylift
