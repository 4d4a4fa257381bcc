#define BOOST_TEST_MODULE announcement_relay
#include "daemon/announcement_relay.h"

#include <boost/test/included/unit_test.hpp>
#include <memory>
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

// Guards against a left over timer that sends later announcements early: each such timer would make
// another one, and batches would become ever smaller.
BOOST_FIXTURE_TEST_CASE(TimerOfAnEarlierFlushDoesNotSend, Fixture) {
  relay.Add(MakeAnnouncement("s1"), SteadyNow(), true);
  relay.Add(MakeAnnouncement("s2"), SteadyNow(), false);
  timers[1].fn();
  relay.Add(MakeAnnouncement("s3"), SteadyNow(), true);
  timers[0].fn();
  BOOST_TEST(sent.size() == 1);
  BOOST_REQUIRE_EQUAL(timers.size(), 3);
  timers[2].fn();
  BOOST_TEST(sent.size() == 2);
}

// A relay whose peers understand alive sets.
struct AliveFixture : Fixture {
  struct Set {
    std::string bytes;
    std::function<void(std::optional<AliveReply>)> done;
  };
  std::vector<Set> sets;
  std::unique_ptr<AnnouncementRelay> alive_relay;
  AliveKeys receiver;

  AliveFixture() {
    AnnouncementRelay::Options options = MakeOptions();
    options.incarnation = 5;
    options.understands_alive_sets = [](const HostId&) { return true; };
    options.send_alive_set = [this](const HostId&, const std::string& bytes,
                                    std::function<void(std::optional<AliveReply>)> done) {
      sets.push_back({bytes, std::move(done)});
    };
    alive_relay = std::make_unique<AnnouncementRelay>(std::move(options));
  }

  static Announcement Unloaded(const std::string& id, uint64_t seq = 1) {
    Announcement announcement = MakeAnnouncement(id, seq);
    announcement.capabilities = {kNoLoadReports};
    return announcement;
  }

  // Relays refreshes and returns the set that is sent.
  std::string Relay(const std::vector<std::string>& ids) {
    for (const std::string& id : ids) alive_relay->Add(Unloaded(id), SteadyNow(), true);
    timers.back().fn();
    return sets.empty() ? "" : sets.back().bytes;
  }
};

// Guards against a load report, a new server or a change that is reduced to a bit.
BOOST_FIXTURE_TEST_CASE(OnlyAnnouncementsThatSayNothingNewBecomeBits, AliveFixture) {
  alive_relay->Add(MakeAnnouncement("loaded"), SteadyNow(), true);
  alive_relay->Add(Unloaded("changed"), SteadyNow(), false);
  alive_relay->Add(Unloaded("same"), SteadyNow() - milliseconds(300), true);
  timers.back().fn();
  BOOST_REQUIRE_EQUAL(sent.size(), 1);
  BOOST_TEST(sent[0].batch.size() == 2);
  BOOST_REQUIRE_EQUAL(sets.size(), 1);
  auto set = ReadAliveSet(&receiver, sets[0].bytes);
  BOOST_REQUIRE(set.has_value());
  BOOST_TEST(set->keys == std::vector<uint64_t>{AnnouncementKey(Unloaded("same"))});
  BOOST_TEST((set->age >= milliseconds(300)));
}

// Guards against servers that expire at a host that missed a message: after a gap it gets the
// refreshes at once, and the next set has all keys. Servers that it does not know are sent in full.
BOOST_FIXTURE_TEST_CASE(LostSetIsRepaired, AliveFixture) {
  Register(Unloaded("s1"));
  Relay({"s1"});  // lost
  std::string second = Relay({"s1", "s2"});
  BOOST_TEST(!ReadAliveSet(&receiver, second).has_value());
  sets.back().done(AliveReply{{}, true});
  BOOST_REQUIRE_EQUAL(sent.size(), 1);
  BOOST_TEST(sent[0].batch.size() == 2);
  BOOST_TEST(sent[0].batch[0].refresh);
  BOOST_TEST(ReadAliveSet(&receiver, Relay({"s2"})).has_value());
  sets.back().done(AliveReply{{AnnouncementKey(Unloaded("s1"))}, false});
  BOOST_REQUIRE_EQUAL(sent.size(), 2);
  BOOST_TEST(!sent[1].batch[0].refresh);
  // Not answered, or the connection was lost: the host may have nothing.
  Relay({"s1"});
  sets.back().done(std::nullopt);
  receiver = AliveKeys();
  BOOST_TEST(ReadAliveSet(&receiver, Relay({"s2"})).has_value());
  alive_relay->OnDisconnected(HostId("h2"));
  receiver = AliveKeys();
  BOOST_TEST(ReadAliveSet(&receiver, Relay({"s2"})).has_value());
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
