#include "daemon/status_json.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "core/domain_summary.h"

namespace ebonylift {
namespace {

using nlohmann::json;

json HostRows(const Membership& membership, const Rpc& rpc) {
  json rows = json::array();
  for (const HostEntry& host : HostEntries(membership)) {
    rows.push_back({{"host", host.id.value()},
                    {"region", host.region.value()},
                    {"domain", host.domain.value()},
                    {"address", host.http_address},
                    {"incarnation", host.incarnation},
                    {"status", HostStatusName(host.status)},
                    {"overloaded", host.overloaded},
                    {"revision", membership.hosts.at(host.id).revision},
                    {"connected", rpc.IsConnected(host.id)}});
  }
  return rows;
}

json ServerRows(const Registry& registry, Time now) {
  json rows = json::array();
  for (const BackendServer& server : LiveServers(registry, SteadyNow())) {
    const Announcement& announced = server.announced;
    rows.push_back({{"server", announced.id.value()},
                    {"incarnation", announced.incarnation},
                    {"address", announced.address},
                    {"served", ServedNames(announced)},
                    {"age_ms", ToMillis(now - server.reported_at)},
                    {"running", announced.load.running},
                    {"waiting", announced.load.waiting},
                    {"slots", announced.load.slots}});
  }
  return rows;
}

json SummaryRows(const Membership& membership, Time now) {
  json rows = json::array();
  for (const DomainSummary& row : Summaries(membership)) {
    rows.push_back({{"domain", row.domain.value()},
                    {"region", row.region.value()},
                    {"served", row.served},
                    {"servers", row.servers},
                    {"slots", row.slots},
                    {"running", row.running},
                    {"waiting", row.waiting},
                    {"age_ms", ToMillis(now - row.reported_at)}});
  }
  return rows;
}

}  // namespace

StatusJson MakeStatusJson(const ControlOptions& options, const ConfigReplica& replica,
                          const Membership& membership, const Registry& registry, const Rpc& rpc) {
  json status = {{"host", options.self.host.value()},
                 {"region", options.self.region.value()},
                 {"domain", options.self.domain.value()},
                 {"incarnation", options.incarnation},
                 {"revision", replica.revision()},
                 {"newest_revision", membership.newest_revision},
                 {"term", replica.term()},
                 {"is_leader", replica.IsLeader()},
                 {"is_voter", replica.IsVoter()},
                 {"disk_lost", replica.DiskLost()},
                 {"storage_ok", replica.StorageOk()},
                 {"peer_sent_bytes", rpc.sent_bytes()},
                 {"peer_received_bytes", rpc.received_bytes()}};
  std::optional<HostId> leader = replica.Leader();
  status["leader"] = leader ? json(leader->value()) : json(nullptr);
  status["voters"] = json::array();
  for (const HostId& voter : replica.Voters()) status["voters"].push_back(voter.value());
  status["hosts"] = HostRows(membership, rpc);
  Time now = SteadyNow();
  status["servers"] = ServerRows(registry, now);
  status["summaries"] = SummaryRows(membership, now);
  // Ids come from outside and may contain invalid UTF-8.
  return status.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace ebonylift
