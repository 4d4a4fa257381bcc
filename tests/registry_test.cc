#define BOOST_TEST_MODULE registry
#include "core/registry.h"

#include <boost/test/included/unit_test.hpp>
#include <cstdlib>
#include <set>

namespace ebonylift {
namespace {

Announcement MakeAnnouncement(const std::string& id, uint64_t incarnation, uint64_t seq,
                              bool leaving = false) {
  Announcement announcement;
  announcement.id = ServerId(id);
  announcement.incarnation = incarnation;
  announcement.seq = seq;
  announcement.domain = DomainId("d1");
  announcement.address = "10.0.0.1:80";
  announcement.leaving = leaving;
  return announcement;
}

Time At(int64_t ms) { return Time(milliseconds(ms)); }

Registry EmptyRegistry() {
  Registry registry;
  registry.self = Identity{HostId("h1"), RegionId("r1"), DomainId("d1")};
  return registry;
}

struct Step {
  const char* description;
  int64_t at_ms;
  uint64_t incarnation;
  uint64_t seq;
  bool leaving;
  int64_t age_ms;
  AnnounceResult result;
  bool live;  // after the step
};

}  // namespace

// Guards against a server that gets work after it left, expired or restarted, and against a late or
// repeated announcement that extends a server's lifetime.
BOOST_AUTO_TEST_CASE(AnnouncementOrderAndLifetime) {
  const std::vector<Step> steps = {
      {"first announcement", 0, 5, 10, false, 0, AnnounceResult::kNew, true},
      {"duplicate", 100, 5, 10, false, 0, AnnounceResult::kDuplicate, true},
      {"out of order, smaller seq", 110, 5, 9, false, 0, AnnounceResult::kDuplicate, true},
      {"old incarnation, larger seq", 120, 4, 99, false, 0, AnnounceResult::kOldIncarnation, true},
      {"newer", 700, 5, 11, false, 0, AnnounceResult::kRefreshed, true},
      {"restarted, smaller seq", 800, 6, 1, false, 0, AnnounceResult::kNewIncarnation, true},
      {"announces departure", 900, 6, 2, true, 0, AnnounceResult::kLeaving, false},
      {"announces departure again", 950, 6, 3, true, 0, AnnounceResult::kLeavingNotLive, false},
      {"late copy with the seq of the departure", 1000, 6, 2, false, 0, AnnounceResult::kDuplicate,
       false},
      {"returns in the same incarnation", 1100, 6, 4, false, 0, AnnounceResult::kNew, true},
      {"expired after 2 s of silence, then a duplicate", 3100, 6, 4, false, 0,
       AnnounceResult::kDuplicate, false},
      {"newer but too old on arrival", 3200, 6, 5, false, 2000, AnnounceResult::kExpiredOnArrival,
       false},
      {"same seq again with a smaller age", 3300, 6, 5, false, 0, AnnounceResult::kDuplicate,
       false},
      {"newer", 3400, 6, 6, false, 500, AnnounceResult::kNew, true},
      {"negative age", 3500, 6, 7, false, -9000, AnnounceResult::kRefreshed, true},
  };
  Registry registry = EmptyRegistry();
  for (const Step& step : steps) {
    BOOST_TEST_CONTEXT(step.description) {
      Expire(&registry, At(step.at_ms));
      AnnounceResult result = OnAnnouncement(
          &registry, MakeAnnouncement("s1", step.incarnation, step.seq, step.leaving),
          milliseconds(step.age_ms), At(step.at_ms));
      BOOST_TEST((result == step.result));
      BOOST_TEST(LiveServers(registry, Time()).size() == (step.live ? 1u : 0u));
    }
  }
}

// Guards against a relayed announcement that lives longer than 2 s after the server sent it.
BOOST_AUTO_TEST_CASE(ExpiryCountsFromSendTime) {
  for (int64_t ttl_ms : {500, 2000, 60'000}) {
    for (int64_t age_ms : {0, 400}) {
      Registry registry = EmptyRegistry();
      Announcement announcement = MakeAnnouncement("s1", 1, 1);
      announcement.ttl = milliseconds(ttl_ms);
      OnAnnouncement(&registry, announcement, milliseconds(age_ms), At(1000));
      int64_t end = 1000 - age_ms + std::min<int64_t>(ttl_ms, 2000);
      BOOST_TEST(Expire(&registry, At(end - 1)).empty());
      BOOST_TEST(Expire(&registry, At(end)).size() == 1u);
      BOOST_TEST(LiveServers(registry, Time()).empty());
    }
  }
}

// Guards against slow start that begins again with each announcement, or that does not begin again
// when the server restarts.
BOOST_AUTO_TEST_CASE(FirstSeenFollowsIncarnation) {
  Registry registry = EmptyRegistry();
  OnAnnouncement(&registry, MakeAnnouncement("s1", 1, 1), Duration(0), At(0));
  OnAnnouncement(&registry, MakeAnnouncement("s1", 1, 2), Duration(0), At(700));
  BOOST_TEST((LiveServers(registry, Time())[0].first_seen == At(0)));
  OnAnnouncement(&registry, MakeAnnouncement("s1", 2, 1), Duration(0), At(900));
  BOOST_TEST((LiveServers(registry, Time())[0].first_seen == At(900)));
  Expire(&registry, At(2900));
  OnAnnouncement(&registry, MakeAnnouncement("s1", 2, 2), Duration(0), At(3000));
  BOOST_TEST((LiveServers(registry, Time())[0].first_seen == At(3000)));
}

// Guards against accepting announcements of another failure domain, without an id or without an
// address.
BOOST_AUTO_TEST_CASE(RejectsOtherDomainAndIncompleteAnnouncements) {
  Registry registry = EmptyRegistry();
  Announcement other_domain = MakeAnnouncement("s1", 1, 1);
  other_domain.domain = DomainId("d2");
  Announcement no_id = MakeAnnouncement("", 1, 1);
  Announcement no_address = MakeAnnouncement("s1", 1, 1);
  no_address.address.clear();
  BOOST_TEST((OnAnnouncement(&registry, other_domain, Duration(0), At(0)) ==
              AnnounceResult::kOtherDomain));
  BOOST_TEST((OnAnnouncement(&registry, no_id, Duration(0), At(0)) == AnnounceResult::kInvalid));
  BOOST_TEST(
      (OnAnnouncement(&registry, no_address, Duration(0), At(0)) == AnnounceResult::kInvalid));
  BOOST_TEST(registry.entries.empty());
}

// Guards against unbounded growth, and against a new server that evicts a live one.
BOOST_AUTO_TEST_CASE(CapacityLimitKeepsLiveServers) {
  Registry registry = EmptyRegistry();
  for (size_t i = 0; i < kMaxServers; ++i) {
    OnAnnouncement(&registry, MakeAnnouncement("s" + std::to_string(i), 1, 1), Duration(0), At(0));
  }
  BOOST_TEST((OnAnnouncement(&registry, MakeAnnouncement("x", 1, 1), Duration(0), At(1)) ==
              AnnounceResult::kFull));
  OnAnnouncement(&registry, MakeAnnouncement("s7", 1, 2, true), Duration(0), At(2));
  OnAnnouncement(&registry, MakeAnnouncement("s9", 1, 2, true), Duration(0), At(3));
  BOOST_TEST((OnAnnouncement(&registry, MakeAnnouncement("x", 1, 1), Duration(0), At(4)) ==
              AnnounceResult::kNew));
  BOOST_TEST(registry.entries.size() == kMaxServers);
  BOOST_TEST(registry.entries.count(ServerId("s7")) == 0u);
  BOOST_TEST(registry.entries.count(ServerId("s9")) == 1u);
  Expire(&registry, At(2010));
  Expire(&registry, At(2010) + kEndedEntryRetention);
  BOOST_TEST(registry.entries.empty());
}

// Guards against an announcement that was queued in the buffers of a stopped process and then
// counts as fresh, and against clock drift or a reboot of the sender that counts as queueing delay.
BOOST_AUTO_TEST_CASE(DelayAboveSmallestIsQueueingDelay) {
  struct Row {
    const char* description;
    int64_t sent_ms;  // the sender's clock
    int64_t received_ms;
    int64_t expected_ms;
  };
  const std::vector<Row> rows = {
      {"first message", 5000, 100'003, 0},
      {"same transit time", 6000, 101'003, 0},
      {"shorter transit time", 7000, 102'001, 0},
      {"2 ms longer", 8000, 103'003, 2},
      {"receiver stopped for 9 s", 9000, 113'001, 9000},
      {"next message on time", 18'000, 113'001, 0},
  };
  TransitDelayMeter meter;
  for (const Row& row : rows) {
    BOOST_TEST_CONTEXT(row.description) {
      Duration excess = QueueingDelay(&meter, milliseconds(row.sent_ms), At(row.received_ms));
      BOOST_TEST(std::abs((excess - milliseconds(row.expected_ms)).count()) <= 5000);
    }
  }
  // The receiver's clock gains 100 us per second for a day.
  TransitDelayMeter drift;
  int64_t largest = 0;
  for (int64_t s = 0; s < 86'400; s += 7) {
    Time now = Time(microseconds(s * 1'000'100));
    largest = std::max<int64_t>(largest, QueueingDelay(&drift, seconds(s), now).count());
  }
  BOOST_TEST(largest <= 5000);
}

// Guards against a refresh that restores an outdated announcement of a server that changed, left or
// restarted after the receiver got the full announcement, and against keys that outlive their
// server's entry.
BOOST_AUTO_TEST_CASE(RefreshAppliesOnlyToTheSameAnnouncement) {
  Registry registry = EmptyRegistry();
  Announcement first = MakeAnnouncement("s1", 5, 10);
  OnAnnouncement(&registry, first, Duration(0), At(0));
  ServerRefresh refresh;
  refresh.key = AnnouncementKey(first);
  refresh.seq = 11;
  refresh.load.running = 3;
  std::optional<Announcement> whole = ExpandRefresh(registry, refresh);
  BOOST_TEST_REQUIRE(whole.has_value());
  BOOST_TEST(whole->seq == 11u);
  BOOST_TEST(whole->load.running == 3);
  BOOST_TEST(whole->address == first.address);
  BOOST_TEST(
      (OnAnnouncement(&registry, *whole, Duration(0), At(700)) == AnnounceResult::kRefreshed));
  BOOST_TEST(AnnouncementKey(*whole) == refresh.key);

  Announcement other_address = MakeAnnouncement("s1", 5, 12);
  other_address.address = "10.0.0.2:80";
  Announcement left = MakeAnnouncement("s1", 6, 14, true);
  for (const Announcement& next : {other_address, MakeAnnouncement("s1", 6, 13), left}) {
    BOOST_TEST(AnnouncementKey(next) != refresh.key);
    OnAnnouncement(&registry, next, Duration(0), At(800));
    BOOST_TEST(!ExpandRefresh(registry, refresh).has_value());
    BOOST_TEST(registry.by_key.size() == registry.entries.size());
    refresh.key = AnnouncementKey(next);
  }
  Expire(&registry, At(800) + kEndedEntryRetention);
  BOOST_TEST(registry.entries.empty());
  BOOST_TEST(registry.by_key.empty());
}

// Guards against a key that does not cover a field: the receiver would keep the field's old value.
BOOST_AUTO_TEST_CASE(KeyCoversAllFieldsExceptSeqAndLoad) {
  const Announcement base = MakeAnnouncement("s1", 5, 10);
  std::vector<Announcement> changed(12, base);
  changed[0].id = ServerId("s2");
  changed[1].incarnation = 6;
  changed[2].kind = ServerKind::kService;
  changed[3].domain = DomainId("d2");
  changed[4].region = RegionId("r2");
  changed[5].address = "10.0.0.1:81";
  changed[6].models = {{ModelId("m"), {"a"}, "1"}};
  changed[7].models = {{ModelId("m"), {"a", "b"}, "1"}};
  changed[8].services = {"logbook"};
  changed[9].capabilities = {"resume"};
  changed[10].checks_fencing = true;
  changed[11].ttl = milliseconds(1000);
  std::set<uint64_t> keys = {AnnouncementKey(base)};
  for (const Announcement& announcement : changed) keys.insert(AnnouncementKey(announcement));
  BOOST_TEST(keys.size() == changed.size() + 1);
  Announcement later = base;
  later.seq = 11;
  later.load.seq = 12;
  later.load.running = 5;
  BOOST_TEST(AnnouncementKey(later) == AnnouncementKey(base));
}

// Guards against a server that drains while its heartbeats are ignored, because another writer sent
// one with a higher number.
BOOST_AUTO_TEST_CASE(DepartureHoldsWhateverItsNumber) {
  Registry registry = EmptyRegistry();
  registry.departure_is_final = true;
  OnAnnouncement(&registry, MakeAnnouncement("s1", 1, 1'796'467'454), Duration(0), At(0));
  Announcement leaving = MakeAnnouncement("s1", 1, 7, true);
  BOOST_TEST(
      (OnAnnouncement(&registry, leaving, Duration(0), At(100)) == AnnounceResult::kLeaving));
  BOOST_TEST(LiveServers(registry, At(100)).empty());
  BOOST_TEST(
      (OnAnnouncement(&registry, leaving, Duration(0), At(200)) == AnnounceResult::kDuplicate));
  Announcement late = MakeAnnouncement("s1", 1, 1'796'467'455);
  BOOST_TEST((OnAnnouncement(&registry, late, Duration(0), At(300)) == AnnounceResult::kDuplicate));
  Announcement earlier_process = MakeAnnouncement("s1", 0, 8, true);
  BOOST_TEST((OnAnnouncement(&registry, earlier_process, Duration(0), At(400)) ==
              AnnounceResult::kOldIncarnation));
}

// Guards against a host that is isolated from all others and then drops every server, although the
// servers still answer its requests. A server that is silent while others announce themselves must
// still expire.
BOOST_AUTO_TEST_CASE(IsolatedHostKeepsItsServers) {
  Registry registry = EmptyRegistry();
  registry.pause_expiry_when_isolated = true;
  Announcement silent = MakeAnnouncement("a", 1, 1);
  OnAnnouncement(&registry, silent, Duration(0), At(0));
  OnAnnouncement(&registry, MakeAnnouncement("b", 1, 1), Duration(0), At(0));
  BOOST_TEST(Expire(&registry, At(60'000)).empty());
  for (const BackendServer& server : LiveServers(registry, At(60'000))) {
    BOOST_TEST((server.expires_at > At(60'000)));
  }
  OnAnnouncement(&registry, MakeAnnouncement("b", 1, 2), Duration(0), At(61'000));
  std::vector<ServerId> expired = Expire(&registry, At(61'100));
  BOOST_REQUIRE(expired.size() == 1u);
  BOOST_TEST(expired[0].value() == "a");
}

// Guards against a server that expires although its host was told that it lives, against one that
// comes back after it left, and against a late announcement that shortens its life.
BOOST_AUTO_TEST_CASE(AliveServerLivesOn) {
  Registry registry = EmptyRegistry();
  registry.max_ttl = milliseconds(2000);
  Announcement announcement = MakeAnnouncement("s1", 1, 1);
  OnAnnouncement(&registry, announcement, Duration(0), At(0));
  uint64_t key = AnnouncementKey(announcement);
  BOOST_TEST(OnAlive(&registry, key, milliseconds(500), At(1900)));
  BOOST_TEST(Expire(&registry, At(3300)).empty());
  announcement.seq = 2;
  OnAnnouncement(&registry, announcement, milliseconds(1800), At(1950));
  BOOST_TEST(Expire(&registry, At(3300)).empty());
  BOOST_TEST(OnAlive(&registry, key, milliseconds(3000), At(3350)));  // older than what is known
  BOOST_TEST(Expire(&registry, At(3400)).size() == 1u);
  BOOST_TEST(!OnAlive(&registry, key, Duration(0), At(3500)));
  OnAnnouncement(&registry, MakeAnnouncement("s1", 1, 3), Duration(0), At(3600));
  BOOST_TEST(OnAlive(&registry, key, Duration(0), At(3700)));
  OnLeave(&registry, announcement.id, 1, At(3800));
  BOOST_TEST(!OnAlive(&registry, key, Duration(0), At(3900)));
  BOOST_TEST(LiveServers(registry, At(3900)).empty());
}

}  // namespace ebonylift
