#include "core/work_rows.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <utility>

#include "core/registry.h"
#include "core/server_speed.h"
#include "core/varint.h"

namespace ebonylift {
namespace {

static_assert(kMaxWorkRows >= 2 * kMaxServers);

// Bits of the first number of a message.
constexpr uint64_t kComplete = 1;  // the receiver forgets all rows
constexpr uint64_t kDense = 2;     // has the requests of all servers

// Bits of the first number of a row, below the requests.
constexpr uint64_t kHasTokens = 1;
constexpr uint64_t kHasLimit = 2;
constexpr uint64_t kHasSpeed = 4;  // bytes with their length; later versions may append to them
constexpr int kRowFlagBits = 3;

constexpr size_t kServersInByte = 4;
constexpr int kDenseBits = 2;
constexpr int kInRow = 3;  // the row of the server is among the others
// Times of the same observation differ by the rounding of ages to milliseconds.
constexpr Duration kSameTime = milliseconds(5);

bool SameLimit(const std::optional<RequestLimit>& a, const std::optional<RequestLimit>& b) {
  if (!a || !b) return a.has_value() == b.has_value();
  return a->per_s == b->per_s && std::chrono::abs(a->seen_at - b->seen_at) <= kSameTime;
}

// The weight of a speed changes with each answer, so that small changes of it are not sent.
bool SameSpeed(const std::optional<ObservedSpeed>& a, const std::optional<ObservedSpeed>& b) {
  constexpr double kSameWeightShare = 0.25;
  if (!a || !b) return a.has_value() == b.has_value();
  return a->factor == b->factor && a->recent == b->recent && a->incarnation == b->incarnation &&
         std::abs(a->weight - b->weight) <= kSameWeightShare * a->weight;
}

bool SameRow(const WorkRow& a, const WorkRow& b) {
  return a.in_flight == b.in_flight && a.prefill_tokens == b.prefill_tokens &&
         SameLimit(a.limit, b.limit) && SameSpeed(a.speed, b.speed);
}

ObservedSpeed RoundSpeed(const ObservedSpeed& speed) {
  return {SpeedFromByte(SpeedToByte(speed.factor)),
          std::round(std::clamp(speed.weight, 1.0, 255.0)),
          SpeedFromByte(SpeedToByte(speed.recent)), speed.incarnation};
}

WorkRow MakeRow(const ServerWork& work, Time now) {
  WorkRow row{work.in_flight, work.prefill_tokens, std::nullopt, std::nullopt};
  if (work.speed) row.speed = RoundSpeed(*work.speed);
  if (work.limit) row.limit = RequestLimit{work.limit->per_s, now - work.limit->age};
  return row;
}

bool FitsDense(const WorkRow& row) {
  return row.in_flight >= 0 && row.in_flight < kInRow && row.prefill_tokens == 0 && !row.limit &&
         !row.speed;
}

void AppendSpeed(const ObservedSpeed& speed, std::string* out) {
  std::string bytes;
  bytes.push_back(static_cast<char>(SpeedToByte(speed.factor)));
  bytes.push_back(static_cast<char>(SpeedToByte(speed.recent)));
  bytes.push_back(static_cast<char>(static_cast<uint8_t>(speed.weight)));
  bytes.push_back(static_cast<char>(speed.incarnation));
  AppendText(bytes, out);
}

// Returns nullopt if `bytes` is too short. Speeds of 0 are not valid and count as the mean.
std::optional<ObservedSpeed> ParseSpeed(std::string_view bytes) {
  constexpr size_t kSpeedBytes = 4;
  if (bytes.size() < kSpeedBytes) return std::nullopt;
  auto factor = static_cast<uint8_t>(bytes[0]);
  auto recent = static_cast<uint8_t>(bytes[1]);
  auto weight = static_cast<uint8_t>(bytes[2]);
  if (factor == 0 || weight == 0) return std::nullopt;
  double recent_factor = recent == 0 ? 1 : SpeedFromByte(recent);
  return ObservedSpeed{SpeedFromByte(factor), static_cast<double>(weight), recent_factor,
                       static_cast<uint8_t>(bytes[3])};
}

void AppendDouble(double value, std::string* out) {
  char bytes[sizeof(value)];
  std::memcpy(bytes, &value, sizeof(value));
  out->append(bytes, sizeof(value));
}

std::optional<double> ConsumeDouble(std::string_view* bytes) {
  double value = 0;
  if (bytes->size() < sizeof(value)) return std::nullopt;
  std::memcpy(&value, bytes->data(), sizeof(value));
  bytes->remove_prefix(sizeof(value));
  return value;
}

using NumberedRow = std::pair<size_t, const WorkRow*>;

// `rows` are ordered by number.
std::string WriteRows(const std::vector<NumberedRow>& rows, Time now) {
  std::string out;
  size_t next = 0;
  for (const auto& [number, row] : rows) {
    AppendVarint(number - next, &out);
    next = number + 1;
    uint64_t flags = (row->prefill_tokens != 0 ? kHasTokens : 0) | (row->limit ? kHasLimit : 0) |
                     (row->speed ? kHasSpeed : 0);
    AppendVarint(ZigZag(row->in_flight) << kRowFlagBits | flags, &out);
    if (row->prefill_tokens != 0) AppendVarint(ZigZag(row->prefill_tokens), &out);
    if (row->limit) {
      AppendDouble(row->limit->per_s, &out);
      int64_t age = ToMillis(now - row->limit->seen_at);
      AppendVarint(static_cast<uint64_t>(std::max<int64_t>(0, age)), &out);
    }
    if (row->speed) AppendSpeed(*row->speed, &out);
  }
  return out;
}

bool ConsumeRow(std::string_view* bytes, Time now, WorkRow* row) {
  std::optional<uint64_t> first = ConsumeVarint(bytes);
  if (!first) return false;
  int64_t in_flight = UnZigZag(*first >> kRowFlagBits);
  *row = WorkRow();
  row->in_flight = static_cast<int>(std::clamp<int64_t>(in_flight, INT32_MIN, INT32_MAX));
  if ((*first & kHasTokens) != 0) {
    std::optional<uint64_t> tokens = ConsumeVarint(bytes);
    if (!tokens) return false;
    row->prefill_tokens = UnZigZag(*tokens);
  }
  if ((*first & kHasLimit) != 0) {
    std::optional<double> per_s = ConsumeDouble(bytes);
    std::optional<uint64_t> age = ConsumeVarint(bytes);
    if (!per_s || !age) return false;
    auto millis = static_cast<int64_t>(std::min<uint64_t>(*age, UINT32_MAX));
    if (std::isfinite(*per_s) && *per_s >= 0) {
      row->limit = RequestLimit{*per_s, now - milliseconds(millis)};
    }
  }
  if ((*first & kHasSpeed) == 0) return true;
  std::optional<std::string> speed = ConsumeText(bytes);
  if (speed) row->speed = ParseSpeed(*speed);
  return speed.has_value();
}

// Reads the ids of new servers. Returns false if the message is malformed.
bool ConsumeServers(std::string_view* bytes, WorkDecoder* decoder) {
  std::optional<uint64_t> count = ConsumeVarint(bytes);
  if (!count || *count > kMaxWorkRows - decoder->servers.size()) return false;
  for (uint64_t i = 0; i < *count; ++i) {
    std::optional<std::string> id = ConsumeText(bytes);
    if (!id) return false;
    decoder->servers.emplace_back(std::move(*id));
  }
  decoder->rows.resize(decoder->servers.size());
  return true;
}

bool ConsumeDense(std::string_view* bytes, WorkDecoder* decoder) {
  size_t size = (decoder->rows.size() + kServersInByte - 1) / kServersInByte;
  if (bytes->size() < size) return false;
  for (size_t i = 0; i < decoder->rows.size(); ++i) {
    auto byte = static_cast<unsigned char>((*bytes)[i / kServersInByte]);
    int value = byte >> (kDenseBits * (i % kServersInByte)) & kInRow;
    decoder->rows[i] = {value, 0, std::nullopt, std::nullopt};
  }
  bytes->remove_prefix(size);
  return true;
}

bool ConsumeMessage(std::string_view bytes, Time now, WorkDecoder* decoder) {
  std::optional<uint64_t> flags = ConsumeVarint(&bytes);
  std::optional<uint64_t> sequence = ConsumeVarint(&bytes);
  if (!flags || !sequence) return false;
  if ((*flags & kComplete) != 0) {
    *decoder = WorkDecoder();
  } else if (!decoder->in_sync || *sequence != decoder->sequence + 1) {
    return false;
  }
  decoder->sequence = *sequence;
  decoder->in_sync = true;
  if (!ConsumeServers(&bytes, decoder)) return false;
  if ((*flags & kDense) != 0 && !ConsumeDense(&bytes, decoder)) return false;
  size_t next = 0;
  while (!bytes.empty()) {
    std::optional<uint64_t> skipped = ConsumeVarint(&bytes);
    if (!skipped || *skipped >= decoder->rows.size() - next) return false;
    size_t number = next + *skipped;
    if (!ConsumeRow(&bytes, now, &decoder->rows[number])) return false;
    next = number + 1;
  }
  return true;
}

// The rows of an encoder after a change, and which of them changed.
struct Changes {
  std::string new_servers;
  size_t new_count = 0;
  std::vector<NumberedRow> rows;
};

// `work` is ordered by server.
Changes UpdateRows(const std::vector<ServerWork>& work, Time now, WorkEncoder* encoder) {
  Changes changes;
  auto update = [&changes](WorkEncoder::Row* known, const WorkRow& row) {
    if (SameRow(known->row, row)) return;
    known->row = row;
    changes.rows.emplace_back(known->number, &known->row);
  };
  auto known = encoder->rows.begin();
  for (const ServerWork& entry : work) {
    for (; known != encoder->rows.end() && known->first < entry.server; ++known) {
      update(&known->second, WorkRow());
    }
    if (known == encoder->rows.end() || known->first != entry.server) {
      size_t number = encoder->rows.size();
      known = encoder->rows.emplace_hint(known, entry.server, WorkEncoder::Row{number, {}});
      AppendText(entry.server.value(), &changes.new_servers);
      ++changes.new_count;
    }
    update(&known->second, MakeRow(entry, now));
    ++known;
  }
  for (; known != encoder->rows.end(); ++known) update(&known->second, WorkRow());
  std::sort(changes.rows.begin(), changes.rows.end());
  return changes;
}

// The dense form of all rows.
std::string WriteDense(const WorkEncoder& encoder, Time now) {
  std::string bits((encoder.rows.size() + kServersInByte - 1) / kServersInByte, '\0');
  std::vector<NumberedRow> others;
  for (const auto& [server, known] : encoder.rows) {
    int value = FitsDense(known.row) ? known.row.in_flight : kInRow;
    if (value == kInRow) others.emplace_back(known.number, &known.row);
    char& byte = bits[known.number / kServersInByte];
    byte = static_cast<char>(byte | value << (kDenseBits * (known.number % kServersInByte)));
  }
  std::sort(others.begin(), others.end());
  return bits + WriteRows(others, now);
}

}  // namespace

std::string EncodeWork(WorkEncoder* encoder, const std::vector<ServerWork>& work, Time now) {
  if (encoder->rows.size() + work.size() > kMaxWorkRows) encoder->in_sync = false;
  bool complete = !encoder->in_sync;
  if (complete) encoder->rows.clear();
  encoder->in_sync = true;
  auto by_server = [](const ServerWork& a, const ServerWork& b) { return a.server < b.server; };
  Changes changes;
  if (std::is_sorted(work.begin(), work.end(), by_server)) {
    changes = UpdateRows(work, now, encoder);
  } else {
    std::vector<ServerWork> sorted = work;
    std::sort(sorted.begin(), sorted.end(), by_server);
    changes = UpdateRows(sorted, now, encoder);
  }
  std::string rows = WriteRows(changes.rows, now);
  bool dense = false;
  if (rows.size() > encoder->rows.size() / kServersInByte) {
    std::string dense_rows = WriteDense(*encoder, now);
    dense = dense_rows.size() < rows.size();
    if (dense) rows = std::move(dense_rows);
  }
  std::string out;
  AppendVarint((complete ? kComplete : 0) | (dense ? kDense : 0), &out);
  AppendVarint(++encoder->sequence, &out);
  AppendVarint(changes.new_count, &out);
  return out + changes.new_servers + rows;
}

void ResetEncoder(WorkEncoder* encoder) {
  encoder->in_sync = false;
  encoder->rows.clear();
}

std::optional<std::vector<ServerWork>> DecodeWork(WorkDecoder* decoder, std::string_view bytes,
                                                  Time now) {
  if (!ConsumeMessage(bytes, now, decoder)) {
    *decoder = WorkDecoder();
    return std::nullopt;
  }
  std::vector<ServerWork> work;
  for (size_t i = 0; i < decoder->rows.size(); ++i) {
    const WorkRow& row = decoder->rows[i];
    if (row.in_flight == 0 && row.prefill_tokens == 0 && !row.limit && !row.speed) continue;
    ServerWork entry{decoder->servers[i], row.in_flight, row.prefill_tokens, std::nullopt,
                     row.speed};
    if (row.limit) entry.limit = ObservedLimit{row.limit->per_s, now - row.limit->seen_at};
    work.push_back(std::move(entry));
  }
  return work;
}

}  // namespace ebonylift
