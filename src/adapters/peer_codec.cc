#include "adapters/peer_codec.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>

#include "adapters/kj_types.h"
#include "core/registry.h"
#include "core/server_speed.h"
#include "core/varint.h"

namespace ebonylift {
namespace {

wire::HostStatus ToWire(HostStatus status) {
  switch (status) {
    case HostStatus::kAlive:
      return wire::HostStatus::ALIVE;
    case HostStatus::kSuspect:
      return wire::HostStatus::SUSPECT;
    case HostStatus::kFailed:
      return wire::HostStatus::FAILED;
    case HostStatus::kLeaving:
      return wire::HostStatus::LEAVING;
  }
  return wire::HostStatus::SUSPECT;
}

HostStatus FromWire(wire::HostStatus status) {
  switch (status) {
    case wire::HostStatus::ALIVE:
      return HostStatus::kAlive;
    case wire::HostStatus::SUSPECT:
      return HostStatus::kSuspect;
    case wire::HostStatus::FAILED:
      return HostStatus::kFailed;
    case wire::HostStatus::LEAVING:
      return HostStatus::kLeaving;
  }
  // A status added by a newer version: treat the host as suspect, so that it is not relied on for
  // work.
  return HostStatus::kSuspect;
}

void WriteTextList(const std::vector<std::string>& texts, capnp::List<capnp::Text>::Builder out) {
  for (uint32_t i = 0; i < out.size(); ++i) out.set(i, texts[i]);
}

std::vector<std::string> ReadTextList(capnp::List<capnp::Text>::Reader in) {
  std::vector<std::string> texts;
  texts.reserve(in.size());
  for (capnp::Text::Reader text : in) texts.push_back(ToStdString(text));
  return texts;
}

constexpr size_t kAnnouncementKeyBytes = 6;
// Ages received from a peer are clamped to one hour.
constexpr uint64_t kMaxAgeMillis = 3'600'000;

uint64_t ClampToUnsigned(int64_t value) { return value < 0 ? 0 : static_cast<uint64_t>(value); }

int ClampToInt(uint64_t value) { return static_cast<int>(std::min<uint64_t>(value, INT32_MAX)); }

uint32_t ListSize(size_t size) { return static_cast<uint32_t>(size); }

void WriteHostPlace(const HostEntry& place, wire::HostPlace::Builder out) {
  out.setDomain(place.domain.value());
  out.setRegion(place.region.value());
  out.setRpcAddress(place.rpc_address);
  out.setHttpAddress(place.http_address);
  out.setCallerAddress(place.caller_address);
  out.setOperatorAddress(place.operator_address);
  out.setHasDisk(place.has_disk);
}

HostEntry ReadHostPlace(const HostId& id, wire::HostPlace::Reader in) {
  HostEntry place;
  place.id = id;
  place.domain = DomainId(ToStdString(in.getDomain()));
  place.region = RegionId(ToStdString(in.getRegion()));
  place.rpc_address = ToStdString(in.getRpcAddress());
  place.http_address = ToStdString(in.getHttpAddress());
  place.caller_address = ToStdString(in.getCallerAddress());
  place.operator_address = ToStdString(in.getOperatorAddress());
  place.has_disk = in.getHasDisk();
  return place;
}

void WriteHostRow(const HostRow& row, wire::HostRow::Builder out) {
  out.setHost(row.id.value());
  out.setIncarnation(row.incarnation);
  out.setVersion(row.version);
  out.setStatus(ToWire(row.status));
  out.setOverloaded(row.overloaded);
  if (row.host_entry) WriteHostPlace(*row.host_entry, out.initPlace());
}

HostRow ReadHostRow(wire::HostRow::Reader in) {
  HostRow row;
  row.id = HostId(ToStdString(in.getHost()));
  row.incarnation = in.getIncarnation();
  row.version = in.getVersion();
  row.status = FromWire(in.getStatus());
  row.overloaded = in.getOverloaded();
  if (in.hasPlace()) row.host_entry = ReadHostPlace(row.id, in.getPlace());
  return row;
}

// Reads a row of Digest.summaries, which only earlier versions send.
SummaryRow ReadSummaryRow(wire::SummaryRow::Reader in, Time now) {
  SummaryRow row;
  row.summary.domain = DomainId(ToStdString(in.getDomain()));
  row.summary.region = RegionId(ToStdString(in.getRegion()));
  row.summary.served = ToStdString(in.getServed());
  row.summary.version = in.getVersion();
  row.summary.servers = in.getServers();
  row.summary.slots = in.getSlots();
  row.summary.running = in.getRunning();
  row.summary.waiting = in.getWaiting();
  row.summary.reported_at = now - milliseconds(in.getAgeMillis());
  row.reporter = HostId(ToStdString(in.getReporter()));
  return row;
}

// Domain, region and reporter.
using GroupKey = std::tuple<std::string, std::string, std::string>;

std::map<GroupKey, std::vector<const SummaryRow*>> GroupSummaries(
    const std::vector<SummaryRow>& rows) {
  std::map<GroupKey, std::vector<const SummaryRow*>> groups;
  for (const SummaryRow& row : rows) {
    groups[{row.summary.domain.value(), row.summary.region.value(), row.reporter.value()}]
        .push_back(&row);
  }
  return groups;
}

void WriteSummaryGroup(const GroupKey& key, const std::vector<const SummaryRow*>& rows, Time now,
                       wire::SummaryGroup::Builder out) {
  uint64_t newest = 0;
  for (const SummaryRow* row : rows) newest = std::max(newest, row->summary.version);
  std::string bytes;
  std::string software;
  for (const SummaryRow* row : rows) {
    const DomainSummary& summary = row->summary;
    AppendVarint(summary.software_versions.size(), &software);
    for (const std::string& version : summary.software_versions) AppendText(version, &software);
    AppendText(summary.served, &bytes);
    AppendVarint(newest - summary.version, &bytes);
    AppendVarint(ClampToUnsigned(summary.servers), &bytes);
    AppendVarint(ClampToUnsigned(summary.slots), &bytes);
    AppendVarint(ClampToUnsigned(summary.running), &bytes);
    AppendVarint(ClampToUnsigned(summary.waiting), &bytes);
    AppendVarint(ClampToUnsigned(summary.prefill_tokens), &bytes);
    AppendVarint(ClampToUnsigned(ToMillis(now - summary.reported_at)), &bytes);
  }
  out.setDomain(std::get<0>(key));
  out.setRegion(std::get<1>(key));
  out.setReporter(std::get<2>(key));
  out.setNewestVersion(newest);
  out.setRows(ToData(bytes));
  out.setSoftwareVersions(ToData(software));
}

// Reads and removes the software versions of one row. Returns none if they are malformed, or
// missing as in the messages of earlier versions.
std::vector<std::string> ConsumeSoftwareVersions(std::string_view* bytes) {
  std::vector<std::string> versions;
  std::optional<uint64_t> count = ConsumeVarint(bytes);
  for (uint64_t i = 0; count && i < *count; ++i) {
    std::optional<std::string> version = ConsumeText(bytes);
    if (!version) {
      *bytes = {};
      return {};
    }
    versions.push_back(std::move(*version));
  }
  return versions;
}

// Stops at the first malformed row. Each row holds the name and the numbers in the order in which
// WriteSummaryGroup() writes them.
void ReadSummaryGroup(wire::SummaryGroup::Reader in, Time now, std::vector<SummaryRow>* out) {
  constexpr size_t kVarintCount = 7;
  auto rows = in.getRows();
  std::string_view bytes(reinterpret_cast<const char*>(rows.begin()), rows.size());
  auto versions = in.getSoftwareVersions();
  std::string_view software(reinterpret_cast<const char*>(versions.begin()), versions.size());
  while (!bytes.empty()) {
    std::optional<std::string> served = ConsumeText(&bytes);
    if (!served) return;
    SummaryRow row;
    row.summary.served = std::move(*served);
    row.summary.software_versions = ConsumeSoftwareVersions(&software);
    uint64_t numbers[kVarintCount];
    for (uint64_t& number : numbers) {
      std::optional<uint64_t> value = ConsumeVarint(&bytes);
      if (!value) return;
      number = *value;
    }
    row.summary.domain = DomainId(ToStdString(in.getDomain()));
    row.summary.region = RegionId(ToStdString(in.getRegion()));
    row.reporter = HostId(ToStdString(in.getReporter()));
    row.summary.version = in.getNewestVersion() - numbers[0];
    row.summary.servers = ClampToInt(numbers[1]);
    row.summary.slots = ClampToInt(numbers[2]);
    row.summary.running = ClampToInt(numbers[3]);
    row.summary.waiting = ClampToInt(numbers[4]);
    row.summary.prefill_tokens = static_cast<int64_t>(std::min<uint64_t>(numbers[5], INT64_MAX));
    row.summary.reported_at = now - milliseconds(std::min<uint64_t>(numbers[6], kMaxAgeMillis));
    out->push_back(std::move(row));
  }
}

}  // namespace

void WriteDigest(const GossipMessage& message, Time now, wire::Digest::Builder out) {
  out.setHostsHash(message.hosts_hash);
  out.setRevision(message.revision);
  out.setNewestRevision(message.newest_revision);
  out.setNewestHolder(message.newest_holder.value());
  auto hosts = out.initHosts(ListSize(message.hosts.size()));
  for (uint32_t i = 0; i < hosts.size(); ++i) WriteHostRow(message.hosts[i], hosts[i]);
  auto summaries = GroupSummaries(message.summaries);
  auto groups = out.initGroups(ListSize(summaries.size()));
  uint32_t next = 0;
  for (const auto& [key, rows] : summaries) WriteSummaryGroup(key, rows, now, groups[next++]);
}

GossipMessage ReadDigest(wire::Digest::Reader in, Time now) {
  GossipMessage message;
  message.hosts_hash = in.getHostsHash();
  message.revision = in.getRevision();
  message.newest_revision = in.getNewestRevision();
  message.newest_holder = HostId(ToStdString(in.getNewestHolder()));
  for (wire::HostRow::Reader row : in.getHosts()) message.hosts.push_back(ReadHostRow(row));
  for (wire::SummaryRow::Reader row : in.getSummaries()) {
    message.summaries.push_back(ReadSummaryRow(row, now));
  }
  for (wire::SummaryGroup::Reader group : in.getGroups()) {
    ReadSummaryGroup(group, now, &message.summaries);
  }
  return message;
}

void WriteAnnouncement(const Announcement& announcement, wire::Announcement::Builder out) {
  out.setId(announcement.id.value());
  out.setIncarnation(announcement.incarnation);
  out.setSeq(announcement.seq);
  out.setIsService(announcement.kind == ServerKind::kService);
  out.setDomain(announcement.domain.value());
  out.setRegion(announcement.region.value());
  out.setAddress(announcement.address);
  auto models = out.initModels(ListSize(announcement.models.size()));
  for (uint32_t i = 0; i < models.size(); ++i) {
    const ServedModel& model = announcement.models[i];
    models[i].setName(model.name.value());
    WriteTextList(model.adapters, models[i].initAdapters(ListSize(model.adapters.size())));
    models[i].setVersion(model.version);
  }
  WriteTextList(announcement.services, out.initServices(ListSize(announcement.services.size())));
  out.setSoftwareVersion(announcement.software_version);
  out.setRole(announcement.role);
  WriteTextList(announcement.capabilities,
                out.initCapabilities(ListSize(announcement.capabilities.size())));
  out.setChecksFencing(announcement.checks_fencing);
  out.setTtlMicros(static_cast<uint64_t>(std::max(announcement.ttl, Duration(0)).count()));
  out.setLeaving(announcement.leaving);
  out.setLoadSeq(announcement.load.seq);
  out.setRunning(announcement.load.running);
  out.setWaiting(announcement.load.waiting);
  out.setSlots(announcement.load.slots);
  out.setPrefillTokensWaiting(announcement.load.prefill_tokens_waiting);
  out.setColdMicros(ClampToUnsigned(announcement.cold_for.count()));
}

Announcement ReadAnnouncement(wire::Announcement::Reader in) {
  Announcement announcement;
  announcement.id = ServerId(ToStdString(in.getId()));
  announcement.incarnation = in.getIncarnation();
  announcement.seq = in.getSeq();
  announcement.kind = in.getIsService() ? ServerKind::kService : ServerKind::kModel;
  announcement.domain = DomainId(ToStdString(in.getDomain()));
  announcement.region = RegionId(ToStdString(in.getRegion()));
  announcement.address = ToStdString(in.getAddress());
  for (wire::ServedModel::Reader row : in.getModels()) {
    ServedModel model;
    model.name = ModelId(ToStdString(row.getName()));
    model.adapters = ReadTextList(row.getAdapters());
    model.version = ToStdString(row.getVersion());
    announcement.models.push_back(model);
  }
  announcement.services = ReadTextList(in.getServices());
  announcement.software_version = ToStdString(in.getSoftwareVersion());
  announcement.role = ToStdString(in.getRole());
  announcement.capabilities = ReadTextList(in.getCapabilities());
  announcement.checks_fencing = in.getChecksFencing();
  announcement.ttl = Duration(static_cast<int64_t>(
      std::min<uint64_t>(in.getTtlMicros(), static_cast<uint64_t>(kMaxRelayedTtl.count()))));
  announcement.leaving = in.getLeaving();
  announcement.load.seq = in.getLoadSeq();
  announcement.load.running = in.getRunning();
  announcement.load.waiting = in.getWaiting();
  announcement.load.slots = in.getSlots();
  announcement.load.prefill_tokens_waiting = in.getPrefillTokensWaiting();
  announcement.cold_for = Duration(static_cast<int64_t>(
      std::min<uint64_t>(in.getColdMicros(), static_cast<uint64_t>(kMaxRelayedColdTime.count()))));
  return announcement;
}

std::string WriteRefreshes(const std::vector<ServerRefresh>& refreshes) {
  std::string out;
  for (const ServerRefresh& refresh : refreshes) {
    for (size_t i = 0; i < kAnnouncementKeyBytes; ++i)
      out.push_back(static_cast<char>(refresh.key >> (8 * i)));
    AppendVarint(refresh.seq, &out);
    // Unsigned subtraction wraps around, so any pair of values round-trips.
    AppendVarint(refresh.load.seq - refresh.seq, &out);
    AppendVarint(ClampToUnsigned(refresh.load.running), &out);
    AppendVarint(ClampToUnsigned(refresh.load.waiting), &out);
    AppendVarint(ClampToUnsigned(refresh.load.slots), &out);
    AppendVarint(ClampToUnsigned(refresh.load.prefill_tokens_waiting), &out);
    AppendVarint(ClampToUnsigned(ToMillis(refresh.age)), &out);
  }
  return out;
}

std::vector<ServerRefresh> ReadRefreshes(std::string_view bytes) {
  constexpr size_t kVarintCount = 7;
  std::vector<ServerRefresh> refreshes;
  while (bytes.size() > kAnnouncementKeyBytes) {
    ServerRefresh refresh;
    for (size_t i = 0; i < kAnnouncementKeyBytes; ++i) {
      refresh.key |= static_cast<uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    }
    bytes.remove_prefix(kAnnouncementKeyBytes);
    uint64_t numbers[kVarintCount];
    for (uint64_t& number : numbers) {
      std::optional<uint64_t> value = ConsumeVarint(&bytes);
      if (!value) return refreshes;
      number = *value;
    }
    refresh.seq = numbers[0];
    refresh.load.seq = numbers[0] + numbers[1];
    refresh.load.running = ClampToInt(numbers[2]);
    refresh.load.waiting = ClampToInt(numbers[3]);
    refresh.load.slots = ClampToInt(numbers[4]);
    refresh.load.prefill_tokens_waiting =
        static_cast<int64_t>(std::min<uint64_t>(numbers[5], INT64_MAX));
    refresh.age = milliseconds(std::min<uint64_t>(numbers[6], kMaxAgeMillis));
    refreshes.push_back(refresh);
  }
  return refreshes;
}

void WritePut(const ConfigPut& put, wire::Put::Builder out) {
  out.setPath(put.path);
  out.setHasValue(put.value.has_value());
  if (put.value) out.setValue(put.value->text());
  out.setBaseRevision(put.base_revision);
  out.setRequestId(put.request_id);
  out.setOperatorName(put.operator_name);
}

ConfigPut ReadPut(wire::Put::Reader in) {
  ConfigPut put;
  put.path = ToStdString(in.getPath());
  if (in.getHasValue()) put.value = ToStdString(in.getValue());
  put.base_revision = in.getBaseRevision();
  put.request_id = ToStdString(in.getRequestId());
  put.operator_name = ToStdString(in.getOperatorName());
  return put;
}

void WritePutAnswer(const PutAnswer& answer, wire::PutAnswer::Builder out) {
  if (answer.error) out.setErrorCode(LookupError(*answer.error).code);
  out.setMessage(answer.message);
  out.setRevision(answer.revision);
  out.setHasCurrent(answer.current_value.has_value());
  if (answer.current_value) out.setCurrent(answer.current_value->text());
}

PutAnswer ReadPutAnswer(wire::PutAnswer::Reader in) {
  PutAnswer answer;
  std::string code = ToStdString(in.getErrorCode());
  if (!code.empty()) answer.error = ErrorKindFromCode(code);
  answer.message = ToStdString(in.getMessage());
  answer.revision = in.getRevision();
  if (in.getHasCurrent()) answer.current_value = ToStdString(in.getCurrent());
  return answer;
}

wire::WorkListKind WriteWorkListKind(WorkListKind kind) {
  switch (kind) {
    case WorkListKind::kOwn:
      return wire::WorkListKind::OWN;
    case WorkListKind::kForCollector:
      return wire::WorkListKind::FOR_COLLECTOR;
    case WorkListKind::kCollected:
      return wire::WorkListKind::COLLECTED;
    case WorkListKind::kOfOthers:
      return wire::WorkListKind::OF_OTHERS;
  }
  return wire::WorkListKind::OWN;
}

std::optional<WorkListKind> ReadWorkListKind(wire::WorkListKind kind) {
  switch (kind) {
    case wire::WorkListKind::OWN:
      return WorkListKind::kOwn;
    case wire::WorkListKind::FOR_COLLECTOR:
      return WorkListKind::kForCollector;
    case wire::WorkListKind::COLLECTED:
      return WorkListKind::kCollected;
    case wire::WorkListKind::OF_OTHERS:
      return WorkListKind::kOfOthers;
  }
  return std::nullopt;
}

void WriteServerWork(const ServerWork& work, wire::ServerWork::Builder out) {
  out.setServer(work.server.value());
  out.setInFlight(work.in_flight);
  out.setPrefillTokens(work.prefill_tokens);
  if (work.speed) {
    out.setSpeed(SpeedToByte(work.speed->factor));
    out.setRecentSpeed(SpeedToByte(work.speed->recent));
    out.setSpeedWeight(static_cast<uint8_t>(std::clamp(work.speed->weight, 1.0, 255.0)));
    out.setSpeedIncarnation(work.speed->incarnation);
  }
  if (!work.limit) return;
  auto limit = out.initLimit();
  limit.setPerSecond(work.limit->per_s);
  limit.setAgeMillis(ClampToUnsigned(ToMillis(work.limit->age)));
}

ServerWork ReadServerWork(wire::ServerWork::Reader in) {
  ServerWork work;
  work.server = ServerId(ToStdString(in.getServer()));
  work.in_flight = in.getInFlight();
  work.prefill_tokens = in.getPrefillTokens();
  if (in.getSpeed() != 0 && in.getSpeedWeight() != 0) {
    double recent = in.getRecentSpeed() == 0 ? 1 : SpeedFromByte(in.getRecentSpeed());
    work.speed =
        ObservedSpeed{SpeedFromByte(in.getSpeed()), static_cast<double>(in.getSpeedWeight()),
                      recent, in.getSpeedIncarnation()};
  }
  if (!in.hasLimit()) return work;
  double per_s = in.getLimit().getPerSecond();
  if (std::isfinite(per_s) && per_s >= 0)
    work.limit = ObservedLimit{per_s, milliseconds(int64_t{in.getLimit().getAgeMillis()})};
  return work;
}

void WriteWorkCall(WorkListKind kind, const std::vector<ServerWork>& work,
                   wire::Peer::WorkParams::Builder out) {
  out.setKind(WriteWorkListKind(kind));
  auto rows = out.initRows(static_cast<uint32_t>(work.size()));
  for (uint32_t i = 0; i < rows.size(); ++i) WriteServerWork(work[i], rows[i]);
}

void WriteWorkChangesCall(WorkListKind kind, const std::string& changes,
                          wire::Peer::WorkParams::Builder out) {
  out.setKind(WriteWorkListKind(kind));
  out.setChanges(ToData(changes));
}

void WriteAliveCall(const std::string& set, Time now, wire::Peer::AnnounceParams::Builder out) {
  out.setSentAtMicros(now.time_since_epoch().count());
  out.setAlive(ToData(set));
}

void WriteAnnounceCall(const std::vector<RelayedAnnouncement>& announcements, Time now,
                       wire::Peer::AnnounceParams::Builder out) {
  std::vector<const RelayedAnnouncement*> full;
  std::vector<ServerRefresh> refreshes;
  for (const RelayedAnnouncement& relayed : announcements) {
    if (!relayed.refresh) {
      full.push_back(&relayed);
      continue;
    }
    ServerRefresh refresh;
    refresh.key = AnnouncementKey(relayed.announcement);
    refresh.seq = relayed.announcement.seq;
    refresh.load = relayed.announcement.load;
    refresh.age = relayed.age;
    refreshes.push_back(refresh);
  }
  out.setSentAtMicros(now.time_since_epoch().count());
  auto rows = out.initAnnouncements(static_cast<uint32_t>(full.size()));
  for (uint32_t i = 0; i < rows.size(); ++i) {
    WriteAnnouncement(full[i]->announcement, rows[i].initAnnouncement());
    rows[i].setAgeMicros(static_cast<uint64_t>(std::max<int64_t>(0, full[i]->age.count())));
  }
  out.setRefreshes(ToData(WriteRefreshes(refreshes)));
}

void WriteRoomReport(const RoomReport& report, wire::RoomReport::Builder out) {
  out.setServer(report.server.value());
  out.setIncarnation(report.incarnation);
  out.setBrittle(report.max_rejections_per_s.has_value());
  out.setMaxRejectionsPerSecond(report.max_rejections_per_s.value_or(0));
  switch (report.room) {
    case RoomState::kUnknown:
      return out.setState(wire::RoomState::UNKNOWN);
    case RoomState::kFull:
      return out.setState(wire::RoomState::FULL);
    case RoomState::kHasRoom:
      return out.setState(wire::RoomState::HAS_ROOM);
  }
}

RoomReport ReadRoomReport(wire::RoomReport::Reader in) {
  RoomReport report;
  report.server = ServerId(ToStdString(in.getServer()));
  report.incarnation = in.getIncarnation();
  double rejections = in.getMaxRejectionsPerSecond();
  bool valid = std::isfinite(rejections) && rejections >= 0;
  if (in.getBrittle() && valid) report.max_rejections_per_s = rejections;
  if (in.getState() == wire::RoomState::FULL) report.room = RoomState::kFull;
  if (in.getState() == wire::RoomState::HAS_ROOM) report.room = RoomState::kHasRoom;
  return report;
}

void WriteSuspectNote(const SuspectReport& report, wire::SuspectNote::Builder out) {
  out.setContent(report.content);
  out.setServer(report.server.value());
  out.setAlone(report.alone);
  out.setCleared(report.cleared);
  out.setLosses(report.losses);
  out.setAgeMillis(ClampToUnsigned(ToMillis(report.age)));
  out.setIsPart(report.is_part);
}

SuspectReport ReadSuspectNote(wire::SuspectNote::Reader in) {
  SuspectReport report;
  report.content = in.getContent();
  report.server = ServerId(ToStdString(in.getServer()));
  report.alone = in.getAlone();
  report.cleared = in.getCleared();
  report.losses = in.getLosses();
  report.age = milliseconds(static_cast<int64_t>(in.getAgeMillis()));
  report.is_part = in.getIsPart();
  return report;
}

void WriteStream(const StreamRecord& record, wire::Stream::Builder out) {
  out.setStream(record.stream);
  out.setService(record.origin.service);
  out.setSoftwareVersion(record.origin.software_version);
}

std::optional<StreamRecord> ReadStream(wire::Stream::Reader in) {
  StreamRecord record;
  record.stream = in.getStream();
  record.origin.service = ToStdString(in.getService());
  record.origin.software_version = ToStdString(in.getSoftwareVersion());
  if (record.origin.software_version.empty()) return std::nullopt;
  return record;
}

void WriteEvent(const Event& event, wire::EventEntry::Builder out) {
  out.setHlc(event.hlc);
  out.setEvent(static_cast<int32_t>(event.id));
  out.setHost(event.host);
  auto fields = out.initFields(ListSize(event.fields.size()));
  for (uint32_t i = 0; i < fields.size(); ++i) {
    fields[i].setName(event.fields[i].name);
    fields[i].setValue(event.fields[i].value);
  }
}

Event ReadEvent(wire::EventEntry::Reader in) {
  Event event;
  event.hlc = in.getHlc();
  event.id = static_cast<EventId>(in.getEvent());
  event.host = ToStdString(in.getHost());
  for (wire::EventField::Reader field : in.getFields()) {
    event.fields.push_back({ToStdString(field.getName()), ToStdString(field.getValue())});
  }
  return event;
}

bool IsKnownEvent(EventId id) {
  const std::vector<EventInfo>& all = AllEvents();
  return std::any_of(all.begin(), all.end(), [&](const EventInfo& info) { return info.id == id; });
}

}  // namespace ebonylift
