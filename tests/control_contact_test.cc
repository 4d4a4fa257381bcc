#define BOOST_TEST_MODULE control_contact
#include "core/control_contact.h"

#include <boost/test/included/unit_test.hpp>

namespace ebonylift {
namespace {

const Time kStart = Time() + seconds(1'000);
constexpr Duration kRevokeAfter = seconds(4);

// The host g1 and the voters v1 to v5.
struct Fixture {
  Fixture() {
    membership.self.host = HostId("g1");
    for (const char* id : {"v1", "v2", "v3", "v4", "v5"}) voters.emplace_back(id);
    contact.revoke_after = kRevokeAfter;
  }
  void Hear(const char* id, Time now) {
    MemberHost& host = membership.hosts[HostId(id)];
    host.heard = true;
    host.heard_at = now;
  }
  Time ValidUntil(Time now) { return KeysValidUntil(contact, membership, voters, now); }
  size_t Asked(Time now) { return VotersToAsk(&contact, membership, voters, now).size(); }

  Membership membership;
  ControlContact contact;
  std::vector<HostId> voters;
};

}  // namespace

// Guards against a host that accepts keys on the word of a minority, and against one that refuses
// them although it hears from a majority.
BOOST_FIXTURE_TEST_CASE(AMajorityCounts, Fixture) {
  BOOST_TEST((ValidUntil(kStart) == Time()));
  Hear("v1", kStart);
  Hear("v2", kStart + seconds(1));
  BOOST_TEST((ValidUntil(kStart + seconds(1)) == Time()));
  Hear("v3", kStart + seconds(2));
  BOOST_TEST((ValidUntil(kStart + seconds(2)) == kStart + kRevokeAfter));
  Hear("v1", kStart + seconds(3));
  BOOST_TEST((ValidUntil(kStart + seconds(3)) == kStart + seconds(1) + kRevokeAfter));
  // A voter counts as heard by itself.
  membership.self.host = HostId("v5");
  BOOST_TEST((ValidUntil(kStart + seconds(3)) == kStart + seconds(2) + kRevokeAfter));
  voters.clear();
  BOOST_TEST((ValidUntil(kStart) == Time()));
  contact.revoke_after = Duration(0);
  BOOST_TEST((ValidUntil(kStart) == Time::max()));
}

// Guards against a host of a large deployment that refuses keys because gossip is rare, and against
// messages to all voters all the time.
BOOST_FIXTURE_TEST_CASE(SilentVotersAreAsked, Fixture) {
  BOOST_TEST(Asked(kStart) == 5u);
  BOOST_TEST(Asked(kStart + milliseconds(100)) == 0u);
  BOOST_TEST(Asked(kStart + kRevokeAfter / 8) == 5u);
  for (const char* id : {"v1", "v2", "v3"}) Hear(id, kStart + seconds(1));
  BOOST_TEST(Asked(kStart + milliseconds(1'900)) == 0u);
  BOOST_TEST(Asked(kStart + seconds(2)) == 3u);
  BOOST_TEST(Asked(kStart + seconds(3)) == 5u);
  contact.revoke_after = Duration(0);
  BOOST_TEST(Asked(kStart + seconds(100)) == 0u);
}

// Guards against a host that refuses keys for good because it knows only voters that were replaced,
// and against an answer from a host with an older configuration.
BOOST_FIXTURE_TEST_CASE(OtherHostsAreAskedForTheVoters, Fixture) {
  std::mt19937_64 rng(1);
  auto asked = [&](Time now) {
    return HostToAskForVoters(&contact, membership, voters, {HostId("g2"), HostId("g3")}, now, rng);
  };
  membership.revision = 7;
  membership.hosts[HostId("g2")].revision = 6;
  BOOST_TEST(!asked(kStart).has_value());
  membership.hosts[HostId("g3")].revision = 7;
  BOOST_TEST((asked(kStart) == HostId("g3")));
  BOOST_TEST(!asked(kStart + milliseconds(1'900)).has_value());
  BOOST_TEST((asked(kStart + seconds(2)) == HostId("g3")));
  for (const char* id : {"v1", "v2", "v3"}) Hear(id, kStart + seconds(4));
  BOOST_TEST(!asked(kStart + seconds(5)).has_value());
  BOOST_TEST(asked(kStart + seconds(7)).has_value());
}

}  // namespace ebonylift
