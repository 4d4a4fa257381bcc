#include "core/domain_summary.h"

#include <algorithm>
#include <map>
#include <utility>

#include "core/request_rate.h"

namespace ebonylift {
namespace {

void AddSoftwareVersion(const std::string& version, std::vector<std::string>* versions) {
  if (version.empty()) return;
  auto place = std::lower_bound(versions->begin(), versions->end(), version);
  if (place == versions->end() || *place != version) versions->insert(place, version);
}

// Adds the server's capacity and load to a row.
void AddServer(const BackendServer& server, Time now, DomainSummary* row) {
  AddSoftwareVersion(server.announced.software_version, &row->software_versions);
  const ServerLoad& load = server.announced.load;
  ++row->servers;
  bool takes_work = !IsCold(server, now) && server.other_hosts_limit.per_s <= 0;
  if (takes_work) row->slots += load.slots;
  row->running += load.running + server.other_hosts_requests;
  row->waiting += load.waiting;
  row->prefill_tokens += load.prefill_tokens_waiting + server.other_hosts_prefill_tokens;
}

}  // namespace

std::vector<std::string> ServedNames(const Announcement& announcement) {
  std::vector<std::string> names = announcement.services;
  for (const ServedModel& model : announcement.models) names.push_back(model.name.value());
  return names;
}

std::vector<DomainSummary> SummarizeDomain(const Identity& self,
                                           const std::vector<BackendServer>& servers, Time now) {
  std::map<std::string, DomainSummary> rows;
  for (const BackendServer& server : servers) {
    if (server.announced.domain != self.domain) continue;
    for (const std::string& name : ServedNames(server.announced)) {
      AddServer(server, now, &rows[name]);
    }
  }
  std::vector<DomainSummary> list;
  for (auto& [name, row] : rows) {
    row.domain = self.domain;
    row.region = self.region;
    row.served = name;
    list.push_back(std::move(row));
  }
  return list;
}

}  // namespace ebonylift
