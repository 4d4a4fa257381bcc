#define BOOST_TEST_MODULE voter_selection
#include "core/voter_selection.h"

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

// Guards against a permanently failed voter that is never replaced, as happened twice in the fault
// scenario `replace_core`, and against removing a voter that no host can replace.
BOOST_AUTO_TEST_CASE(NextChangeForGivenHosts) {
  struct Case {
    const char* name;
    std::vector<HostEntry> hosts;
    std::vector<std::string> voters;
    const char* expected;
  };
  const std::vector<Case> cases = {
      {"all voters are alive",
       {Host("a", "x", kUp), Host("b", "y", kUp), Host("c", "z", kUp)},
       {"a", "b", "c"},
       "none"},
      {"a voter failed, no replacement",
       {Host("a", "x", kUp), Host("b", "y", kUp), Host("c", "z", kDown),
        Host("gateway", "z", kUp, false)},
       {"a", "b", "c"},
       "none"},
      {"a voter failed, a replacement exists",
       {Host("a", "x", kUp), Host("b", "y", kUp), Host("c", "z", kDown), Host("d", "z", kUp)},
       {"a", "b", "c"},
       "add d"},
      {"the replacement is a voter",
       {Host("a", "x", kUp), Host("b", "y", kUp), Host("c", "z", kDown), Host("d", "z", kUp)},
       {"a", "b", "c", "d"},
       "remove c"},
      {"the failed voter is removed",
       {Host("a", "x", kUp), Host("b", "y", kUp), Host("c", "z", kDown), Host("d", "z", kUp)},
       {"a", "b", "d"},
       "none"},
      {"a voter is only suspected",
       {Host("a", "x", kUp), Host("b", "y", kUp), Host("c", "z", HostStatus::kSuspect),
        Host("d", "z", kUp)},
       {"a", "b", "c"},
       "none"},
      {"a voter is leaving",
       {Host("a", "x", kUp), Host("b", "y", kUp), Host("c", "z", HostStatus::kLeaving),
        Host("d", "z", kUp)},
       {"a", "b", "c"},
       "add d"},
      {"six hosts, three voters: add one from the domain without a voter",
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

// Random sequences of host failures and replacements. Guards against voter changes that do not
// terminate, or that leave fewer than three live voters or no live majority.
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
