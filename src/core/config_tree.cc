#include "core/config_tree.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "core/codec.h"
#include "core/value_difference.h"

namespace ebonylift {
namespace {

// Snapshots in which every value is stored as it is; earlier versions of the program read them.
constexpr uint8_t kPlainSnapshotFormat = 1;
// Values of kMinDifferenceBytes or more are compressed, and changes may be differences.
constexpr uint8_t kCompactSnapshotFormat = 2;

// How a change is encoded.
constexpr uint8_t kDeleted = 0;
constexpr uint8_t kWholeValue = 1;
constexpr uint8_t kDifference = 2;

size_t ChangeBytes(const StoredChange& change) {
  return sizeof(StoredChange) + change.path.size() + (change.data ? change.data->size() : 0) +
         change.operator_name.size();
}

size_t RequestBytes(const std::string& key, const RequestResult& request) {
  return sizeof(RequestResult) + 2 * key.size() +
         (request.result.current_value ? request.result.current_value->size() : 0);
}

// Combines the operator name and the request id, so that operators may use the same ids.
std::string RequestKey(const ConfigPut& put) {
  std::string key = put.operator_name;
  key.push_back('\0');
  key += put.request_id;
  return key;
}

void WriteOptionalText(ByteWriter* writer, const std::optional<SharedText>& text) {
  writer->Bool(text.has_value());
  if (text) writer->String(text->text());
}

uint64_t ContentHash(const ConfigPut& put) {
  ByteWriter writer;
  writer.String(put.path);
  WriteOptionalText(&writer, put.value);
  writer.U64(put.base_revision);
  return Hash64(writer.Take());
}

void AddHistory(ConfigTree* tree, StoredChange change) {
  tree->history_bytes += ChangeBytes(change);
  tree->history.push_back(std::move(change));
  while (tree->history.size() > kMaxHistory || tree->history_bytes > kMaxHistoryBytes) {
    tree->history_bytes -= ChangeBytes(tree->history.front());
    tree->history.pop_front();
  }
}

void RecordResult(ConfigTree* tree, std::string key, RequestResult request) {
  std::optional<SharedText>& current = request.result.current_value;
  if (current && current->size() > kMaxValueBytes) current.reset();
  tree->request_bytes += RequestBytes(key, request);
  tree->requests[key] = std::move(request);
  tree->request_order.push_back(std::move(key));
  while (tree->request_order.size() > kMaxRequests || tree->request_bytes > kMaxRequestBytes) {
    auto oldest = tree->requests.find(tree->request_order.front());
    tree->request_bytes -= RequestBytes(oldest->first, oldest->second);
    tree->requests.erase(oldest);
    tree->request_order.pop_front();
  }
}

void SetEntry(ConfigTree* tree, const std::string& path, const std::optional<SharedText>& value) {
  if (value) {
    tree->entries[path] = TreeEntry{*value, tree->revision};
  } else {
    tree->entries.erase(path);
  }
}

// Applies a put that was not processed before.
PutResult ApplyNew(ConfigTree* tree, const ConfigPut& put, WallMillis accepted_at,
                   const std::string* difference) {
  if (std::optional<PutResult> conflict = FindConflict(*tree, put)) return *conflict;
  PutResult result;
  bool too_large =
      put.path.size() > kMaxPathBytes || (put.value && put.value->size() > MaxValueBytes(put.path));
  bool deletes_missing_path = !put.value && put.base_revision == 0;
  if (too_large || deletes_missing_path) return result;
  ++tree->revision;
  SetEntry(tree, put.path, put.value);
  StoredChange change;
  change.revision = tree->revision;
  change.path = put.path;
  change.is_difference = difference != nullptr;
  if (put.value) change.data = change.is_difference ? *difference : put.value->text();
  change.operator_name = put.operator_name;
  change.accepted_at = accepted_at;
  AddHistory(tree, std::move(change));
  result.outcome = PutOutcome::kApplied;
  result.revision = tree->revision;
  return result;
}

uint8_t FormOf(const StoredChange& change) {
  if (!change.data) return kDeleted;
  return change.is_difference ? kDifference : kWholeValue;
}

void WriteChange(ByteWriter* writer, const StoredChange& change) {
  writer->U64(change.revision);
  writer->String(change.path);
  writer->U8(FormOf(change));
  if (change.data) writer->String(*change.data);
  writer->String(change.operator_name);
  writer->I64(change.accepted_at);
}

StoredChange ReadChange(ByteReader* reader) {
  StoredChange change;
  change.revision = reader->U64();
  change.path = reader->String();
  uint8_t form = reader->U8();
  if (form > kDifference) throw Error(ErrorKind::kBadRequest, "unknown form of a change");
  if (form != kDeleted) change.data = reader->String();
  change.is_difference = form == kDifference;
  change.operator_name = reader->String();
  change.accepted_at = reader->I64();
  return change;
}

void WriteResult(ByteWriter* writer, const PutResult& result) {
  writer->U8(static_cast<uint8_t>(result.outcome));
  writer->U8(static_cast<uint8_t>(result.original_outcome));
  writer->U64(result.revision);
  WriteOptionalText(writer, result.current_value);
}

bool IsDifference(const StoredChange& change) { return change.is_difference; }

bool NeedsCompactFormat(const ConfigTree& tree) {
  auto is_large = [](const auto& entry) {
    return entry.second.value.size() >= kMinDifferenceBytes;
  };
  return std::any_of(tree.entries.begin(), tree.entries.end(), is_large) ||
         std::any_of(tree.history.begin(), tree.history.end(), IsDifference);
}

void WriteSnapshotValue(ByteWriter* writer, uint8_t format, const std::string& value) {
  bool compressed = value.size() >= kMinDifferenceBytes;
  if (format == kCompactSnapshotFormat) writer->Bool(compressed);
  writer->String(compressed ? EncodeDifference("", value) : value);
}

std::string ReadSnapshotValue(ByteReader* reader, uint8_t format, const std::string& path) {
  bool compressed = format == kCompactSnapshotFormat && reader->Bool();
  std::string value = reader->String();
  return compressed ? ApplyDifference("", value, MaxValueBytes(path)) : value;
}

PutResult ReadResult(ByteReader* reader) {
  PutResult result;
  result.outcome = static_cast<PutOutcome>(reader->U8());
  result.original_outcome = static_cast<PutOutcome>(reader->U8());
  result.revision = reader->U64();
  result.current_value = reader->OptionalString();
  return result;
}

}  // namespace

size_t MaxValueBytes(std::string_view path) {
  return path == kIngressPath ? kMaxDocumentBytes : kMaxValueBytes;
}

bool IsAtOrBelow(std::string_view path, std::string_view prefix) {
  while (!prefix.empty() && prefix.back() == '/') prefix.remove_suffix(1);
  if (path.substr(0, prefix.size()) != prefix) return false;
  return path.size() == prefix.size() || path[prefix.size()] == '/';
}

std::optional<PutResult> FindConflict(const ConfigTree& tree, const ConfigPut& put) {
  PutResult result;
  auto current = tree.entries.find(put.path);
  if (current != tree.entries.end()) {
    result.revision = current->second.revision;
    result.current_value = current->second.value;
  }
  if (result.revision == put.base_revision) return std::nullopt;
  result.outcome = PutOutcome::kConflict;
  return result;
}

bool HasRecordedResult(const ConfigTree& tree, const ConfigPut& put) {
  return !put.request_id.empty() && tree.requests.count(RequestKey(put)) != 0;
}

std::optional<PutResult> FindRecordedResult(const ConfigTree& tree, const ConfigPut& put) {
  if (put.request_id.empty()) return std::nullopt;
  auto found = tree.requests.find(RequestKey(put));
  if (found == tree.requests.end()) return std::nullopt;
  PutResult result;
  if (found->second.content_hash != ContentHash(put)) {
    result.outcome = PutOutcome::kIdReused;
    return result;
  }
  result = found->second.result;
  result.original_outcome = result.outcome;
  result.outcome = PutOutcome::kDuplicate;
  return result;
}

PutResult ApplyPut(ConfigTree* tree, const ConfigPut& put, WallMillis accepted_at,
                   const std::string* difference) {
  if (std::optional<PutResult> repeated = FindRecordedResult(*tree, put)) return *repeated;
  PutResult result = ApplyNew(tree, put, accepted_at, difference);
  if (!put.request_id.empty()) RecordResult(tree, RequestKey(put), {ContentHash(put), result});
  return result;
}

std::string_view ValueAt(const ConfigTree& tree, const std::string& path) {
  auto found = tree.entries.find(path);
  return found == tree.entries.end() ? std::string_view() : found->second.value.text();
}

uint64_t PathRevision(const ConfigTree& tree, const std::string& path) {
  auto found = tree.entries.find(path);
  return found == tree.entries.end() ? 0 : found->second.revision;
}

std::vector<ConfigEntry> ReadTree(const ConfigTree& tree, const std::string& path) {
  std::vector<ConfigEntry> found;
  std::string prefix = path;
  while (!prefix.empty() && prefix.back() == '/') prefix.pop_back();
  // Paths below the prefix are not contiguous in the map: "/a-b" sorts between "/a" and "/a/c".
  // Therefore siblings are skipped, and the loop ends at the first path without the prefix.
  for (auto it = tree.entries.lower_bound(prefix); it != tree.entries.end(); ++it) {
    if (it->first.compare(0, prefix.size(), prefix) != 0) break;
    if (!IsAtOrBelow(it->first, prefix)) continue;
    found.push_back({it->first, it->second.value.text(), it->second.revision});
  }
  return found;
}

ConfigChange ToConfigChange(const ConfigTree& tree, const StoredChange& stored) {
  ConfigChange change;
  change.revision = stored.revision;
  change.path = stored.path;
  change.operator_name = stored.operator_name;
  change.accepted_at = stored.accepted_at;
  if (!stored.is_difference) {
    change.value = stored.data;
    return change;
  }
  auto entry = tree.entries.find(stored.path);
  change.value_omitted = entry == tree.entries.end() || entry->second.revision != stored.revision;
  if (!change.value_omitted) change.value = entry->second.value.text();
  return change;
}

std::vector<ConfigChange> ReadHistory(const ConfigTree& tree, const std::string& path,
                                      size_t limit) {
  std::vector<ConfigChange> found;
  for (auto it = tree.history.rbegin(); it != tree.history.rend() && found.size() < limit; ++it) {
    if (IsAtOrBelow(it->path, path)) found.push_back(ToConfigChange(tree, *it));
  }
  return found;
}

std::optional<std::vector<StoredChange>> DeltasSince(const ConfigTree& tree, uint64_t revision,
                                                     size_t max_bytes) {
  if (revision > tree.revision) return std::nullopt;
  uint64_t missing = tree.revision - revision;
  if (missing > tree.history.size()) return std::nullopt;
  std::vector<StoredChange> found;
  size_t bytes = 0;
  for (size_t i = tree.history.size() - missing; i < tree.history.size(); ++i) {
    bytes += ChangeBytes(tree.history[i]);
    if (bytes > max_bytes && !found.empty()) break;
    found.push_back(tree.history[i]);
  }
  return found;
}

bool ApplyChange(ConfigTree* tree, const StoredChange& change) {
  if (change.revision != tree->revision + 1) return false;
  std::optional<SharedText> value = change.data;
  if (change.is_difference) {
    value = ApplyDifference(ValueAt(*tree, change.path), *change.data, MaxValueBytes(change.path));
  }
  tree->revision = change.revision;
  SetEntry(tree, change.path, value);
  AddHistory(tree, change);
  return true;
}

std::string ToSnapshot(const ConfigTree& tree, bool with_requests) {
  ByteWriter writer;
  uint8_t format = NeedsCompactFormat(tree) ? kCompactSnapshotFormat : kPlainSnapshotFormat;
  writer.U8(format);
  writer.U64(tree.revision);
  writer.U64(tree.entries.size());
  for (const auto& [path, entry] : tree.entries) {
    writer.String(path);
    WriteSnapshotValue(&writer, format, entry.value.text());
    writer.U64(entry.revision);
  }
  writer.U64(tree.history.size());
  for (const StoredChange& change : tree.history) WriteChange(&writer, change);
  writer.U64(with_requests ? tree.request_order.size() : 0);
  if (!with_requests) return writer.Take();
  for (const std::string& key : tree.request_order) {
    const RequestResult& request = tree.requests.at(key);
    writer.String(key);
    writer.U64(request.content_hash);
    WriteResult(&writer, request.result);
  }
  return writer.Take();
}

ConfigTree FromSnapshot(std::string_view bytes) {
  ByteReader reader(bytes);
  uint8_t format = reader.U8();
  if (format != kPlainSnapshotFormat && format != kCompactSnapshotFormat) {
    throw Error(ErrorKind::kBadRequest, "unknown configuration snapshot format");
  }
  ConfigTree tree;
  tree.revision = reader.U64();
  for (uint64_t n = reader.U64(); n > 0; --n) {
    std::string path = reader.String();
    TreeEntry entry;
    entry.value = ReadSnapshotValue(&reader, format, path);
    entry.revision = reader.U64();
    tree.entries.emplace_hint(tree.entries.end(), std::move(path), std::move(entry));
  }
  for (uint64_t n = reader.U64(); n > 0; --n) AddHistory(&tree, ReadChange(&reader));
  for (uint64_t n = reader.U64(); n > 0; --n) {
    std::string key = reader.String();
    RequestResult request;
    request.content_hash = reader.U64();
    request.result = ReadResult(&reader);
    RecordResult(&tree, std::move(key), std::move(request));
  }
  if (!reader.AtEnd())
    throw Error(ErrorKind::kBadRequest, "trailing bytes after a configuration snapshot");
  return tree;
}

std::string EncodePut(const ConfigPut& put, WallMillis accepted_at) {
  ByteWriter writer;
  writer.String(put.path);
  WriteOptionalText(&writer, put.value);
  writer.U64(put.base_revision);
  writer.String(put.request_id);
  writer.String(put.operator_name);
  writer.I64(accepted_at);
  return writer.Take();
}

std::pair<ConfigPut, WallMillis> DecodePut(std::string_view bytes) {
  ByteReader reader(bytes);
  ConfigPut put;
  put.path = reader.String();
  put.value = reader.OptionalString();
  put.base_revision = reader.U64();
  put.request_id = reader.String();
  put.operator_name = reader.String();
  WallMillis accepted_at = reader.I64();
  return {std::move(put), accepted_at};
}

std::string EncodePutDifference(const ConfigPut& put, std::string_view base,
                                WallMillis accepted_at) {
  ConfigPut encoded;
  encoded.path = put.path;
  encoded.value = EncodeDifference(base, put.value->text());
  encoded.base_revision = put.base_revision;
  encoded.request_id = put.request_id;
  encoded.operator_name = put.operator_name;
  return EncodePut(encoded, accepted_at);
}

PutResult ApplyPutDifference(ConfigTree* tree, std::string_view bytes, ConfigPut* put) {
  auto [encoded, accepted_at] = DecodePut(bytes);
  if (!encoded.value) throw Error(ErrorKind::kBadRequest, "a difference is missing");
  SharedText difference = *std::exchange(encoded.value, std::nullopt);
  *put = std::move(encoded);
  put->value =
      ApplyDifference(ValueAt(*tree, put->path), difference.text(), MaxValueBytes(put->path));
  return ApplyPut(tree, *put, accepted_at, &difference.text());
}

std::string EncodeChanges(const std::vector<StoredChange>& changes) {
  ByteWriter writer;
  writer.U64(changes.size());
  for (const StoredChange& change : changes) WriteChange(&writer, change);
  return writer.Take();
}

std::vector<StoredChange> DecodeChanges(std::string_view bytes) {
  ByteReader reader(bytes);
  std::vector<StoredChange> changes;
  for (uint64_t n = reader.U64(); n > 0; --n) changes.push_back(ReadChange(&reader));
  return changes;
}

bool HasDifference(const std::vector<StoredChange>& changes) {
  return std::any_of(changes.begin(), changes.end(), IsDifference);
}

}  // namespace ebonylift
