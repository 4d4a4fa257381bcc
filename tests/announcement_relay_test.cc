#define BOOST_TEST_MODULE announcement_relay
#include "daemon/announcement_relay.h"

#include <boost/test/included/unit_test.hpp>
#include <string>

#include "daemon/server_registration.h"

namespace ebonylift {
namespace {

HostEntry MakeHost(const std::string& id, const std::string& domain, const std::string& region) {
  HostEntry entry;
  entry.id = HostId(id);
  entry.domain = DomainId(domain);
  entry.region = RegionId(region);
  return entry;
}

Announcement MakeAnnouncement(const std::string& id, uint64_t seq = 1) {
  Announcement announcement;
  announcement.id = ServerId(id);
  announcement.incarnation = 1;
  announcement.seq = seq;
  announcement.domain = DomainId("d1");
  announcement.region = RegionId("r1");
  announcement.address = "10.0.0.1:80";
  return announcement;
}

struct Sent {
  HostId to;
  std::vector<RelayedAnnouncement> batch;
  std::function<void(AnnouncementRelay::UnknownKeys)> done;
};

struct Timer {
  Duration delay;
  std::function<void()> fn;
};

// The relay of host h1, in the same failure domain as h2. h3 is in another one.
struct Fixture {
  Registry registry;
  Membership membership;
  std::vector<Sent> sent;
  std::vector<Timer> timers;
  AnnouncementRelay relay{MakeOptions()};

  AnnouncementRelay::Options MakeOptions() {
    HostEntry self = MakeHost("h1", "d1", "r1");
    membership = MakeMembership(self, {MakeHost("h2", "d1", "r1"), MakeHost("h3", "d2", "r1")},
                                MembershipParams());
    registry.self = membership.self;
    AnnouncementRelay::Options options;
    options.self = membership.self;
    options.registry = &registry;
    options.membership = &membership;
    options.send = [this](const HostId& to, const std::vector<RelayedAnnouncement>& batch,
                          std::function<void(AnnouncementRelay::UnknownKeys)> done) {
      sent.push_back({to, batch, std::move(done)});
    };
    options.run_after = [this](Duration delay, std::function<void()> fn) {
      timers.push_back({delay, std::move(fn)});
    };
    return options;
  }

  void Register(const Announcement& announcement) {
    OnAnnouncement(&registry, announcement, Duration(0), SteadyNow());
  }
};

// Guards against a new server that other hosts learn of late because a load report was already
// waiting, and against announcements that are sent again by the timer of that load report.
BOOST_FIXTURE_TEST_CASE(FullAnnouncementDoesNotWaitForALoadReport, Fixture) {
  relay.Add(MakeAnnouncement("s1"), SteadyNow(), true);
  relay.Add(MakeAnnouncement("s2"), SteadyNow(), false);
  BOOST_REQUIRE_EQUAL(timers.size(), 2);
  BOOST_TEST((timers[0].delay == kLoadRelayInterval));
  BOOST_TEST((timers[1].delay == kRelayInterval));
  timers[1].fn();
  BOOST_REQUIRE_EQUAL(sent.size(), 1);
  BOOST_TEST(sent[0].batch.size() == 2);
  timers[0].fn();
  BOOST_TEST(sent.size() == 1);
}

// Guards against a timer for every announcement.
BOOST_FIXTURE_TEST_CASE(LoadReportJoinsTheScheduledMessage, Fixture) {
  relay.Add(MakeAnnouncement("s1"), SteadyNow(), false);
  relay.Add(MakeAnnouncement("s2"), SteadyNow(), true);
  relay.Add(MakeAnnouncement("s3"), SteadyNow(), false);
  BOOST_TEST(timers.size() == 1);
}

// Guards against a time to live that is extended by the time that an announcement waits here.
BOOST_FIXTURE_TEST_CASE(AgeIncludesTheWaitingTime, Fixture) {
  relay.Add(MakeAnnouncement("s1"), SteadyNow() - milliseconds(400), true);
  timers[0].fn();
  BOOST_REQUIRE_EQUAL(sent.size(), 1);
  BOOST_TEST((sent[0].batch[0].age >= milliseconds(400)));
}

// Guards against announcements that reach hosts of other failure domains, which do not use the
// server.
BOOST_FIXTURE_TEST_CASE(RelaysOnlyToHostsThatUseTheServer, Fixture) {
  relay.Add(MakeAnnouncement("s1"), SteadyNow(), false);
  timers[0].fn();
  BOOST_REQUIRE_EQUAL(sent.size(), 1);
  BOOST_TEST(sent[0].to == HostId("h2"));
}

// Guards against a message above the size limit, which would be dropped.
BOOST_FIXTURE_TEST_CASE(FullBatchIsSentAtOnce, Fixture) {
  for (size_t i = 0; i <= kMaxRelayBatch; ++i) {
    relay.Add(MakeAnnouncement("s" + std::to_string(i)), SteadyNow(), false);
  }
  BOOST_REQUIRE_EQUAL(sent.size(), 1);
  BOOST_TEST(sent[0].batch.size() == kMaxRelayBatch);
}

// The same for a host that connects.
BOOST_FIXTURE_TEST_CASE(SendAllSplitsItsMessages, Fixture) {
  for (size_t i = 0; i <= kMaxRelayBatch; ++i) Register(MakeAnnouncement("s" + std::to_string(i)));
  relay.SendAll(HostId("h2"), SteadyNow());
  BOOST_REQUIRE_EQUAL(sent.size(), 2);
  BOOST_TEST(sent[0].batch.size() == kMaxRelayBatch);
  BOOST_TEST(sent[1].batch.size() == 1);
}

// Guards against a server that a host does not learn of, because it dropped the full announcement
// or restarted, and against one that is announced again after it left.
BOOST_FIXTURE_TEST_CASE(SendsFullAnnouncementsOfUnknownLiveServers, Fixture) {
  Announcement live = MakeAnnouncement("s1");
  Announcement left = MakeAnnouncement("s2");
  Register(live);
  Register(left);
  OnLeave(&registry, left.id, left.incarnation, SteadyNow());
  relay.Add(MakeAnnouncement("s1", 2), SteadyNow(), true);
  timers[0].fn();
  BOOST_REQUIRE_EQUAL(sent.size(), 1);
  uint64_t left_key = registry.entries.at(left.id).key;
  sent[0].done(std::vector<uint64_t>{AnnouncementKey(live), left_key, 12345});
  BOOST_REQUIRE_EQUAL(sent.size(), 2);
  BOOST_TEST(sent[1].to == HostId("h2"));
  BOOST_REQUIRE_EQUAL(sent[1].batch.size(), 1);
  BOOST_TEST(sent[1].batch[0].announcement.id == live.id);
  BOOST_TEST(!sent[1].batch[0].refresh);
}

// Guards against a host that never learns of a departure that it missed.
BOOST_FIXTURE_TEST_CASE(SendAllIncludesRecentDepartures, Fixture) {
  Register(MakeAnnouncement("s1"));
  OnLeave(&registry, ServerId("s1"), 1, SteadyNow());
  relay.SendAll(HostId("h2"), SteadyNow());
  BOOST_REQUIRE_EQUAL(sent.size(), 1);
  BOOST_REQUIRE_EQUAL(sent[0].batch.size(), 1);
  BOOST_TEST(sent[0].batch[0].announcement.leaving);
  relay.SendAll(HostId("h2"), SteadyNow() + kDepartureResendWindow);
  BOOST_TEST(sent.size() == 1);
}

}  // namespace
}  // namespace ebonylift
