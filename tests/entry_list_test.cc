#define BOOST_TEST_MODULE entry_list
#include "core/entry_list.h"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <set>

#include "core/ingress.h"

namespace ebonylift {
namespace {

HostEntry Host(const std::string& id, const std::string& region, HostStatus status,
               bool overloaded = false) {
  HostEntry host;
  host.id = HostId(id);
  host.region = RegionId(region);
  host.domain = DomainId(region + "-a");
  host.http_address = id + ":80";
  host.status = status;
  host.overloaded = overloaded;
  return host;
}

RoutingView View() {
  RoutingView view;
  view.self.region = RegionId("r1");
  view.hosts = {Host("a", "r1", HostStatus::kAlive),   Host("b", "r1", HostStatus::kAlive),
                Host("c", "r1", HostStatus::kSuspect), Host("d", "r1", HostStatus::kFailed),
                Host("e", "r1", HostStatus::kLeaving), Host("f", "r1", HostStatus::kAlive, true),
                Host("g", "r2", HostStatus::kAlive),   Host("h", "r3", HostStatus::kAlive)};
  return view;
}

std::vector<RegionId> Regions(const std::vector<std::string>& names) {
  std::vector<RegionId> regions;
  for (const std::string& name : names) regions.emplace_back(name);
  return regions;
}

// Formats the ids of the list: ids of equal weight form a block, sorted by id; '|' separates
// blocks.
std::string Blocks(const EntryList& list) {
  std::string out;
  for (size_t i = 0; i < list.hosts.size();) {
    size_t end = i;
    std::set<std::string> block;
    while (end < list.hosts.size() && list.hosts[end].weight == list.hosts[i].weight) {
      block.insert(list.hosts[end++].host.value());
    }
    if (i > 0) out += '|';
    for (const std::string& id : block) out += id;
    i = end;
  }
  return out;
}

struct Case {
  const char* description;
  std::vector<std::string> allowed;
  std::string caller_region;
  std::string expected;
};

}  // namespace

// Guards against a list that sends a caller outside the regions of its team, or to a host that does
// not take requests.
BOOST_AUTO_TEST_CASE(ListsUsableHostsOfAllowedRegions) {
  const std::vector<Case> cases = {
      {"home region only", {"r1"}, "r1", "ab"},
      {"own region if the caller's is unknown", {"r1", "r2"}, "", "ab|g"},
      {"caller's region first", {"r1", "r2"}, "r2", "g|ab"},
      {"caller in a region that is not allowed", {"r1", "r3"}, "r2", "abh"},
      {"nothing allowed", {}, "r1", ""},
      {"unknown region", {"r9"}, "r1", ""},
  };
  for (const Case& row : cases) {
    BOOST_TEST_CONTEXT(row.description) {
      EntryList list = EntryHosts(View(), Regions(row.allowed), RegionId(row.caller_region));
      BOOST_TEST(Blocks(list) == row.expected);
      BOOST_TEST((list.ttl == kEntryListTtl));
    }
  }
}

// Guards against all callers starting at the same host, and against a list that changes from call
// to call for one caller.
BOOST_AUTO_TEST_CASE(SpreadsCallersOverEqualHosts) {
  std::map<std::string, int> first;
  for (uint64_t caller = 0; caller < 1000; ++caller) {
    EntryList list = EntryHosts(View(), Regions({"r1"}), RegionId("r1"), caller);
    EntryList again = EntryHosts(View(), Regions({"r1"}), RegionId("r1"), caller);
    BOOST_TEST((list.hosts == again.hosts));
    ++first[list.hosts.at(0).host.value()];
  }
  BOOST_TEST(first["a"] > 400);
  BOOST_TEST(first["b"] > 400);
}

// Guards against directing callers to a region where the data of a route may not go, which happens
// while the hosts of a zone restart one after another, and against returning no host although a
// suspected one may be alive.
BOOST_AUTO_TEST_CASE(NearestHostsAreFromTheBestGroup) {
  struct Case {
    const char* description;
    std::vector<std::pair<std::string, HostStatus>> own_region;  // id and status in region r1
    std::string expected;
  };
  const std::vector<Case> cases = {
      {"alive", {{"a", HostStatus::kAlive}, {"b", HostStatus::kSuspect}}, "a"},
      {"suspected", {{"a", HostStatus::kLeaving}, {"b", HostStatus::kSuspect}}, "b"},
      {"all leaving or failed", {{"a", HostStatus::kLeaving}, {"b", HostStatus::kFailed}}, "h"},
  };
  for (const Case& row : cases) {
    RoutingView view;
    for (const auto& [id, status] : row.own_region) view.hosts.push_back(Host(id, "r1", status));
    view.hosts.push_back(Host("g", "r2", HostStatus::kAlive));
    view.hosts.push_back(Host("h", "r3", HostStatus::kAlive));
    for (HostEntry& host : view.hosts) host.caller_address = host.id.value() + ":81";
    view.hosts.push_back(Host("control", "r1", HostStatus::kAlive));  // has no caller address
    auto ingress = std::make_shared<IngressConfig>();
    ingress->route_configs[RouteId("r")].regions = Regions({"r1", "r3"});
    ingress->route_configs[RouteId("s")].regions = Regions({"r1"});
    auto config = std::make_shared<ConfigView>();
    config->ingress = ingress;
    view.config = config;
    std::string found;
    for (const EntryHost& host : NearestEntryHosts(view, DomainId("r1-a"), RegionId("r1"), 64)) {
      BOOST_TEST(host.address == host.host.value() + ":81");
      found += host.host.value();
    }
    BOOST_TEST(found == row.expected, row.description);
  }
}

// Guards against a region without a host that takes requests while its hosts are restarted one
// after the other, and against a stop that waits for hosts that are gone or that is not needed.
BOOST_AUTO_TEST_CASE(HostWaitsForTheOthersOfItsRegion) {
  struct Case {
    const char* description;
    std::vector<std::pair<std::string, HostStatus>> others;  // id and status in region r1
    bool waits;
  };
  const std::vector<Case> cases = {
      {"alone", {}, false},
      {"another is alive", {{"b", HostStatus::kAlive}, {"c", HostStatus::kLeaving}}, false},
      {"all are stopping", {{"b", HostStatus::kLeaving}, {"c", HostStatus::kLeaving}}, true},
      {"one has just ended", {{"b", HostStatus::kSuspect}, {"c", HostStatus::kFailed}}, true},
      {"all have failed", {{"b", HostStatus::kFailed}}, false},
  };
  for (const Case& row : cases) {
    RoutingView view;
    view.self.host = HostId("self");
    view.self.region = RegionId("r1");
    view.hosts = {Host("self", "r1", HostStatus::kAlive), Host("g", "r2", HostStatus::kAlive)};
    for (const auto& [id, status] : row.others) view.hosts.push_back(Host(id, "r1", status));
    for (HostEntry& host : view.hosts) host.caller_address = host.id.value() + ":81";
    view.hosts.push_back(Host("control", "r1", HostStatus::kAlive));  // takes no requests
    BOOST_TEST(IsAwaitingReplacement(view) == row.waits, row.description);
  }
}

}  // namespace ebonylift
