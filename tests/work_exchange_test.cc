#define BOOST_TEST_MODULE work_exchange
#include "core/work_exchange.h"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <map>
#include <set>

namespace ebonylift {
namespace {

const Time kNow(seconds(1'000'000));
constexpr Duration kStep = milliseconds(20);
constexpr Duration kTransit = milliseconds(1);

struct Message {
  Time at;
  HostId from;
  WorkMessage message;
};

// Hosts of one region in two failure domains, each of which has one host that callers do not use,
// and what they send each other.
struct Region {
  explicit Region(int hosts_per_domain) {
    for (const char* domain : {"a", "b"}) {
      for (int i = 0; i < hosts_per_domain; ++i) {
        HostEntry host;
        host.id = HostId(std::string(domain) + "-" + std::to_string(i));
        host.region = RegionId("r");
        host.domain = DomainId(domain);
        if (i > 0) host.caller_address = "address";
        entries.push_back(host);
      }
    }
    UpdateRosters();
  }

  void UpdateRosters() {
    for (const HostEntry& host : entries) {
      exchanges[host.id].self = host.id;
      exchanges[host.id].roster =
          MakeWorkRoster(entries, {host.id, host.region, host.domain}, ServerScope::kRegion);
    }
  }

  // Runs all hosts but those that are down.
  void Run(Duration duration) {
    for (Time end = now + duration; now < end; now += kStep) {
      for (auto& [id, exchange] : exchanges) {
        if (down.count(id) != 0) continue;
        for (WorkMessage& message : TakeWorkMessages(&exchange, now)) {
          ++sent[id];
          messages.push_back({now + kTransit, id, std::move(message)});
        }
      }
      for (Message& message : messages) {
        if (down.count(message.message.to) != 0) continue;
        OnWorkList(&exchanges[message.message.to], message.from, message.message.kind,
                   message.message.work, message.at);
      }
      messages.clear();
    }
  }

  void SetWork(const HostId& host, int in_flight) {
    SetOwnWork(&exchanges[host], {{ServerId("s"), in_flight, in_flight * 100, std::nullopt}});
  }

  // The requests of other hosts at the server, as the host knows them.
  int Others(const HostId& host) {
    std::vector<BackendServer> servers(1);
    servers[0].announced.id = ServerId("s");
    ApplyOthersWork(exchanges[host], now, &servers);
    BOOST_TEST(servers[0].other_hosts_prefill_tokens == servers[0].other_hosts_requests * 100);
    return servers[0].other_hosts_requests;
  }

  // The last host of the failure domain "a" that does not collect.
  HostId MemberOfA() {
    HostId member;
    for (const HostEntry& host : entries) {
      const std::vector<HostId>& collectors = exchanges[host.id].roster.collectors;
      if (host.domain == DomainId("a") && collectors.front() != host.id) member = host.id;
    }
    return member;
  }

  // True if each running host knows all requests that the other running hosts have.
  bool AllKnow(int per_host) {
    int running = static_cast<int>(exchanges.size() - down.size());
    return std::all_of(exchanges.begin(), exchanges.end(), [&](const auto& entry) {
      return down.count(entry.first) != 0 || Others(entry.first) == (running - 1) * per_host;
    });
  }

  std::vector<HostEntry> entries;
  std::map<HostId, WorkExchange> exchanges;
  std::set<HostId> down;
  std::vector<Message> messages;
  std::map<HostId, int> sent;
  Time now = kNow;
};

}  // namespace

// Guards against hosts of a large region that learn of each other's work late, not at all, or
// twice.
BOOST_AUTO_TEST_CASE(AllHostsKnowAllWorkSoon) {
  for (int per_domain : {2, 4, 5, 33, 65}) {
    Region region(per_domain);
    for (int work : {1, 4, 2}) {
      for (const HostEntry& host : region.entries) region.SetWork(host.id, work);
      region.Run(4 * kWorkInterval);
      BOOST_TEST(region.AllKnow(work), per_domain << " hosts in a domain");
    }
  }
}

// Guards against a list that has expired before the next one is sent, so that a busy server looks
// idle in between.
BOOST_AUTO_TEST_CASE(UnchangedWorkStaysKnown) {
  for (int per_domain : {4, 65}) {
    Region region(per_domain);
    for (const HostEntry& host : region.entries) region.SetWork(host.id, 1);
    region.Run(seconds(1));
    for (int i = 0; i < 100; ++i) {
      region.Run(kStep);
      BOOST_TEST(region.AllKnow(1), per_domain << " hosts in a domain, step " << i);
    }
  }
}

// Guards against messages of a host that grow with the number of hosts, and of a collector that
// grow with its square.
BOOST_AUTO_TEST_CASE(MessagesAreBounded) {
  for (int per_domain : {5, 33, 100}) {
    Region region(per_domain);
    constexpr int kSeconds = 4;
    for (int i = 0; i < kSeconds * 50; ++i) {
      for (const HostEntry& host : region.entries) region.SetWork(host.id, 1 + i % 7);
      region.Run(kStep);
    }
    for (const auto& [host, sent] : region.sent) {
      bool collects = region.exchanges[host].collector == host;
      int hosts = collects ? per_domain : 1;
      BOOST_TEST(sent <= hosts * kSeconds * (seconds(1) / kWorkInterval) + 2 * hosts,
                 host << " of " << per_domain);
    }
  }
}

// Guards against hosts that lose sight of each other when their collector ends without notice, and
// that never use it again.
BOOST_AUTO_TEST_CASE(NextHostCollectsWhenTheCollectorIsSilent) {
  for (int per_domain : {9, 33, 65}) {
    Region region(per_domain);
    for (const HostEntry& host : region.entries) region.SetWork(host.id, 1);
    region.Run(seconds(1));
    HostId member = region.MemberOfA();
    HostId collector = region.exchanges[member].roster.collectors.front();
    if (per_domain == 9) BOOST_TEST(collector == HostId("a-0"));
    BOOST_TEST((region.exchanges[member].collector == collector));
    region.down.insert(collector);
    region.Run(kCollectorTimeout + kPeerWorkTtl + 5 * kWorkInterval);
    BOOST_TEST((region.exchanges[member].collector != collector));
    BOOST_TEST(region.AllKnow(1));
    region.down.clear();
    region.Run(kCollectorRetryInterval + kCollectorTimeout + kPeerWorkTtl);
    BOOST_TEST((region.exchanges[member].collector == collector));
    BOOST_TEST(region.AllKnow(1));
  }
}

// Guards against a collector whose cost grows with the square of the hosts, and against hosts that
// all choose another collector when one is lost.
BOOST_AUTO_TEST_CASE(CollectorsShareALargeDomain) {
  Region region(65);
  std::map<HostId, int> members;
  for (const auto& [host, exchange] : region.exchanges) {
    ++members[exchange.roster.collectors.front()];
  }
  BOOST_TEST(members.size() == 8u);
  for (const auto& [collector, count] : members) {
    BOOST_TEST(count <= static_cast<int>(2 * kMaxCollectorMembers + 1), collector);
  }
  std::map<HostId, HostId> before;
  for (const auto& [host, exchange] : region.exchanges) {
    before[host] = exchange.roster.collectors.front();
  }
  region.entries[0].status = HostStatus::kFailed;
  region.UpdateRosters();
  int moved = 0;
  for (const auto& [host, exchange] : region.exchanges) {
    const HostId& now = exchange.roster.collectors.front();
    if (before[host] != HostId("a-0") && now != before[host]) ++moved;
  }
  // Those that choose the collector that takes the place of the lost one.
  BOOST_TEST(moved <= static_cast<int>(2 * kMaxCollectorMembers + 1));
}

// Guards against work that is not known or counted twice while some hosts are of a release in which
// a failure domain has one collector.
BOOST_AUTO_TEST_CASE(HostsOfThePreviousReleaseUseOneCollector) {
  Region region(65);
  std::set<HostId> earlier;
  for (size_t i = 0; i < region.entries.size(); i += 2) earlier.insert(region.entries[i].id);
  auto shares = [&](const HostId& host) { return earlier.count(host) == 0; };
  for (const HostEntry& host : region.entries) {
    bool in_a = host.domain == DomainId("a");
    WorkRoster& roster = region.exchanges[host.id].roster;
    roster = MakeWorkRoster(region.entries, {host.id, host.region, host.domain},
                            ServerScope::kRegion, shares);
    BOOST_TEST((roster.other_collectors.size() > 5u));
    if (shares(host.id)) continue;
    roster.collectors = {HostId(in_a ? "a-0" : "b-0")};
    roster.other_collectors = {HostId(in_a ? "b-0" : "a-0")};
  }
  for (int work : {1, 4, 2}) {
    for (const HostEntry& host : region.entries) region.SetWork(host.id, work);
    region.Run(seconds(1));
    BOOST_TEST(region.AllKnow(work));
  }
}

// Guards against work that is counted twice or not at all while hosts differ in who collects.
BOOST_AUTO_TEST_CASE(CollectorsOfOneDomainExchangeTheirSums) {
  for (int per_domain : {9, 33}) {
    Region region(per_domain);
    for (const HostEntry& host : region.entries) region.SetWork(host.id, 1);
    HostId other = region.MemberOfA();
    HostId collector = region.exchanges[other].roster.collectors.front();
    int moved = 0;
    for (const char* host : {"a-5", "a-6", "a-7"}) {
      if (region.exchanges[HostId(host)].roster.collectors.front() == HostId(host)) continue;
      region.exchanges[HostId(host)].roster.collectors = {other};
      ++moved;
    }
    BOOST_TEST(moved >= 2);
    region.Run(seconds(2));
    if (per_domain == 9) BOOST_TEST(collector == HostId("a-0"));
    if (per_domain == 9) BOOST_TEST((region.exchanges[HostId("a-5")].collector == other));
    BOOST_TEST((region.exchanges[other].collector == collector));
    BOOST_TEST(region.AllKnow(1));
  }
}

// Guards against a limit that a host knows only from itself and takes for a newer one, and against
// one that the others do not learn of.
BOOST_AUTO_TEST_CASE(LimitsReachOtherHostsOnly) {
  Region region(33);
  HostId observer("a-3");
  SetOwnWork(&region.exchanges[observer],
             {{ServerId("s"), 1, 100, ObservedLimit{1.5, seconds(2)}}});
  region.Run(seconds(1));
  for (const HostEntry& host : region.entries) {
    std::vector<BackendServer> servers(1);
    servers[0].announced.id = ServerId("s");
    ApplyOthersWork(region.exchanges[host.id], region.now, &servers);
    double expected = host.id == observer ? 0 : 1.5;
    BOOST_TEST(servers[0].other_hosts_limit.per_s == expected, host.id);
    if (expected > 0) BOOST_TEST((servers[0].other_hosts_limit.seen_at < kNow));
  }
}

}  // namespace ebonylift
