#include "core/alive_sets.h"

#include <algorithm>

#include "core/varint.h"

namespace ebonylift {
namespace {

constexpr size_t kKeyBytes = 6;
constexpr size_t kBitsInByte = 8;
// Ages received from a peer are clamped to one hour.
constexpr uint64_t kMaxAgeMillis = 3'600'000;

bool ConsumeKeys(uint64_t count, std::string_view* bytes, std::vector<uint64_t>* keys) {
  if (count > bytes->size() / kKeyBytes) return false;
  for (uint64_t i = 0; i < count; ++i) {
    uint64_t key = 0;
    for (size_t byte = 0; byte < kKeyBytes; ++byte) {
      key |= uint64_t{static_cast<unsigned char>((*bytes)[byte])} << (kBitsInByte * byte);
    }
    bytes->remove_prefix(kKeyBytes);
    keys->push_back(key);
  }
  return true;
}

// Reads the header and the keys of a message into `known`. Returns the age, or nullopt if keys are
// missing or the message is malformed.
std::optional<uint64_t> ConsumeHeader(AliveKeys* known, std::string_view* bytes) {
  std::optional<uint64_t> generation = ConsumeVarint(bytes);
  std::optional<uint64_t> first = ConsumeVarint(bytes);
  std::optional<uint64_t> count = ConsumeVarint(bytes);
  std::optional<uint64_t> age = ConsumeVarint(bytes);
  if (!generation || !first || !count || !age) return std::nullopt;
  if (*generation != known->generation && *first > 0) return std::nullopt;
  if (*first > known->keys.size() || *count > kMaxNumberedServers - *first) return std::nullopt;
  known->generation = *generation;
  known->keys.resize(*first);
  if (!ConsumeKeys(*count, bytes, &known->keys)) return std::nullopt;
  return age;
}

}  // namespace

size_t NumberOfKey(AliveNumbering* numbering, uint64_t key) {
  auto found = numbering->numbers.find(key);
  if (found != numbering->numbers.end()) return found->second;
  if (numbering->keys.size() >= kMaxNumberedServers) {
    ++numbering->generation;
    numbering->keys.clear();
    numbering->numbers.clear();
  }
  size_t number = numbering->keys.size();
  numbering->keys.push_back(key);
  numbering->numbers[key] = number;
  return number;
}

std::string WriteAliveSet(const AliveNumbering& numbering, size_t known,
                          const std::vector<size_t>& numbers, Duration age) {
  std::string out;
  AppendVarint(numbering.generation, &out);
  AppendVarint(known, &out);
  AppendVarint(numbering.keys.size() - known, &out);
  AppendVarint(static_cast<uint64_t>(std::max<int64_t>(0, ToMillis(age))), &out);
  for (size_t i = known; i < numbering.keys.size(); ++i) {
    for (size_t byte = 0; byte < kKeyBytes; ++byte) {
      out.push_back(static_cast<char>(numbering.keys[i] >> (kBitsInByte * byte)));
    }
  }
  std::string bits;
  for (size_t number : numbers) {
    size_t byte = number / kBitsInByte;
    if (byte >= bits.size()) bits.resize(byte + 1);
    bits[byte] = static_cast<char>(bits[byte] | (1 << (number % kBitsInByte)));
  }
  return out + bits;
}

std::optional<AliveSet> ReadAliveSet(AliveKeys* known, std::string_view bytes) {
  std::optional<uint64_t> age = ConsumeHeader(known, &bytes);
  if (!age || bytes.size() > known->keys.size() / kBitsInByte + 1) {
    *known = AliveKeys();
    return std::nullopt;
  }
  AliveSet set;
  set.age = milliseconds(static_cast<int64_t>(std::min(*age, kMaxAgeMillis)));
  for (size_t number = 0; number < known->keys.size(); ++number) {
    size_t byte = number / kBitsInByte;
    if (byte >= bytes.size()) break;
    if ((bytes[byte] >> (number % kBitsInByte) & 1) != 0) set.keys.push_back(known->keys[number]);
  }
  return set;
}

}  // namespace ebonylift
