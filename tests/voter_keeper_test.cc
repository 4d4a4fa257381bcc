#define BOOST_TEST_MODULE voter_keeper
#include "core/voter_keeper.h"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <random>

namespace ebonylift {
namespace {

constexpr uint64_t kSeed = 20261203;

HostEntry Host(const std::string& id, const std::string& domain, HostStatus status,
               bool has_disk = true) {
  HostEntry host;
  host.id = HostId(id);
  host.domain = DomainId(domain);
  host.status = status;
  host.has_disk = has_disk;
  return host;
}

std::vector<HostId> Ids(const std::vector<std::string>& names) {
  std::vector<HostId> ids;
  for (const std::string& name : names) ids.emplace_back(name);
  return ids;
}

std::string Describe(const VoterChange& change) {
  if (change.kind == VoterChange::Kind::kNone) return "none";
  return (change.kind == VoterChange::Kind::kAdd ? "add " : "remove ") + change.host.value();
}

constexpr HostStatus kUp = HostStatus::kAlive;
constexpr HostStatus kDown = HostStatus::kFailed;

}  // namespace

// Guards against a voter that is gone for good and still counts (trouble `replace_core`, twice),
// and against voters that change although nobody can take the place.
BOOST_AUTO_TEST_CASE(NextChangeForGivenHosts) {
  struct Case {
    const char* name;
    std::vector<HostEntry> hosts;
    std::vector<std::string> voters;
    const char* expected;
  };
  const std::vector<Case> cases = {
      {"all well",
       {Host("a", "x", kUp), Host("b", "y", kUp), Host("c", "z", kUp)},
       {"a", "b", "c"},
       "none"},
      {"one down, nobody to take its place",
       {Host("a", "x", kUp), Host("b", "y", kUp), Host("c", "z", kDown),
        Host("gateway", "z", kUp, false)},
       {"a", "b", "c"},
       "none"},
      {"one down, a new one",
       {Host("a", "x", kUp), Host("b", "y", kUp), Host("c", "z", kDown), Host("d", "z", kUp)},
       {"a", "b", "c"},
       "add d"},
      {"the new one votes",
       {Host("a", "x", kUp), Host("b", "y", kUp), Host("c", "z", kDown), Host("d", "z", kUp)},
       {"a", "b", "c", "d"},
       "remove c"},
      {"done",
       {Host("a", "x", kUp), Host("b", "y", kUp), Host("c", "z", kDown), Host("d", "z", kUp)},
       {"a", "b", "d"},
       "none"},
      {"one is suspected only",
       {Host("a", "x", kUp), Host("b", "y", kUp), Host("c", "z", HostStatus::kSuspect),
        Host("d", "z", kUp)},
       {"a", "b", "c"},
       "none"},
      {"one leaves",
       {Host("a", "x", kUp), Host("b", "y", kUp), Host("c", "z", HostStatus::kLeaving),
        Host("d", "z", kUp)},
       {"a", "b", "c"},
       "add d"},
      {"six hosts: five vote, the domain without a voter first",
       {Host("a", "x", kUp), Host("b", "y", kUp), Host("c", "z", kUp), Host("d", "x", kUp),
        Host("e", "w", kUp), Host("f", "y", kUp)},
       {"a", "b", "c"},
       "add e"},
      {"six hosts, five voters",
       {Host("a", "x", kUp), Host("b", "y", kUp), Host("c", "z", kUp), Host("d", "x", kUp),
        Host("e", "w", kUp), Host("f", "y", kUp)},
       {"a", "b", "c", "d", "e"},
       "none"},
  };
  for (const Case& row : cases) {
    VoterChange change = NextVoterChange(row.hosts, Ids(row.voters), HostId("a"));
    BOOST_TEST(Describe(change) == row.expected, row.name);
  }
}

// Guards against changes that never end or leave fewer live voters than there could be, whatever
// hosts come and go.
BOOST_AUTO_TEST_CASE(RandomFailuresConverge) {
  std::mt19937_64 rng(kSeed);
  for (int run = 0; run < 300; ++run) {
    std::vector<HostEntry> hosts;
    for (int i = 0; i < 3; ++i) {
      hosts.push_back(Host("h" + std::to_string(i), "d" + std::to_string(i), kUp));
    }
    std::vector<HostId> voters = Ids({"h0", "h1", "h2"});
    for (int event = 0; event < 12; ++event) {
      size_t victim = rng() % hosts.size();
      if (hosts[victim].status == kUp) {
        hosts[victim].status = kDown;
        hosts.push_back(
            Host("h" + std::to_string(hosts.size()), "d" + std::to_string(rng() % 4), kUp));
      }
      int steps = 0;
      while (true) {
        HostId leader;
        for (const HostEntry& host : hosts) {
          bool votes = std::find(voters.begin(), voters.end(), host.id) != voters.end();
          if (votes && host.status == kUp) leader = host.id;
        }
        VoterChange change = NextVoterChange(hosts, voters, leader);
        if (change.kind == VoterChange::Kind::kNone) break;
        if (change.kind == VoterChange::Kind::kAdd) {
          voters.push_back(change.host);
        } else {
          voters.erase(std::find(voters.begin(), voters.end(), change.host));
        }
        BOOST_REQUIRE(++steps < 20);
      }
      size_t live = 0;
      for (const HostEntry& host : hosts) {
        bool votes = std::find(voters.begin(), voters.end(), host.id) != voters.end();
        if (votes && host.status == kUp) ++live;
      }
      BOOST_TEST(live >= 3u);
      BOOST_TEST(live > voters.size() / 2);
    }
  }
}

}  // namespace ebonylift
