#define BOOST_TEST_MODULE registry
#include "core/registry.h"

#include <boost/test/included/unit_test.hpp>
#include <cstdlib>
#include <set>

namespace ebonylift {
namespace {

Announcement Make(const std::string& id, uint64_t incarnation, uint64_t seq, bool leaving = false) {
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

Registry Empty() {
  Registry registry;
  registry.self = Identity{HostId("h1"), RegionId("r1"), DomainId("d1")};
  return registry;
}

struct Step {
  const char* what;
  int64_t at_ms;
  uint64_t incarnation;
  uint64_t seq;
  bool leaving;
  int64_t age_ms;
  AnnounceResult result;
  bool live;  // after the step
};

}  // namespace

// Guards against a server that gets work after it left, expired or was replaced, and against a late
// or repeated announcement that extends its life.
BOOST_AUTO_TEST_CASE(OrderAndLifeOfOneServer) {
  const std::vector<Step> steps = {
      {"first", 0, 5, 10, false, 0, AnnounceResult::kNew, true},
      {"repeated", 100, 5, 10, false, 0, AnnounceResult::kDuplicate, true},
      {"overtaken", 110, 5, 9, false, 0, AnnounceResult::kDuplicate, true},
      {"old incarnation, larger seq", 120, 4, 99, false, 0, AnnounceResult::kOldIncarnation, true},
      {"newer", 700, 5, 11, false, 0, AnnounceResult::kRefreshed, true},
      {"restarted, smaller seq", 800, 6, 1, false, 0, AnnounceResult::kNewIncarnation, true},
      {"leaves", 900, 6, 2, true, 0, AnnounceResult::kLeft, false},
      {"still leaves", 950, 6, 3, true, 0, AnnounceResult::kGone, false},
      {"late copy from before it left", 1000, 6, 2, false, 0, AnnounceResult::kDuplicate, false},
      {"stays after all", 1100, 6, 4, false, 0, AnnounceResult::kNew, true},
      {"silent for 2 s, then a repeated one", 3100, 6, 4, false, 0, AnnounceResult::kDuplicate,
       false},
      {"newer but too old on arrival", 3200, 6, 5, false, 2000, AnnounceResult::kTooOld, false},
      {"the same again, younger", 3300, 6, 5, false, 0, AnnounceResult::kDuplicate, false},
      {"newer", 3400, 6, 6, false, 500, AnnounceResult::kNew, true},
      {"negative age", 3500, 6, 7, false, -9000, AnnounceResult::kRefreshed, true},
  };
  Registry registry = Empty();
  for (const Step& step : steps) {
    BOOST_TEST_CONTEXT(step.what) {
      Expire(&registry, At(step.at_ms));
      AnnounceResult result =
          OnAnnouncement(&registry, Make("s1", step.incarnation, step.seq, step.leaving),
                         milliseconds(step.age_ms), At(step.at_ms));
      BOOST_TEST((result == step.result));
      BOOST_TEST(LiveServers(registry, Time()).size() == (step.live ? 1u : 0u));
    }
  }
}

// Guards against a relayed announcement that lives longer than 2 s after the server sent it.
BOOST_AUTO_TEST_CASE(ExpiryCountsFromTheServer) {
  for (int64_t ttl_ms : {500, 2000, 60'000}) {
    for (int64_t age_ms : {0, 400}) {
      Registry registry = Empty();
      Announcement announcement = Make("s1", 1, 1);
      announcement.ttl = milliseconds(ttl_ms);
      OnAnnouncement(&registry, announcement, milliseconds(age_ms), At(1000));
      int64_t end = 1000 - age_ms + std::min<int64_t>(ttl_ms, 2000);
      BOOST_TEST(Expire(&registry, At(end - 1)).empty());
      BOOST_TEST(Expire(&registry, At(end)).size() == 1u);
      BOOST_TEST(LiveServers(registry, Time()).empty());
    }
  }
}

// Guards against slow start that begins again with each announcement, or not at a restart.
BOOST_AUTO_TEST_CASE(FirstSeenFollowsIncarnation) {
  Registry registry = Empty();
  OnAnnouncement(&registry, Make("s1", 1, 1), Duration(0), At(0));
  OnAnnouncement(&registry, Make("s1", 1, 2), Duration(0), At(700));
  BOOST_TEST((LiveServers(registry, Time())[0].first_seen == At(0)));
  OnAnnouncement(&registry, Make("s1", 2, 1), Duration(0), At(900));
  BOOST_TEST((LiveServers(registry, Time())[0].first_seen == At(900)));
  Expire(&registry, At(2900));
  OnAnnouncement(&registry, Make("s1", 2, 2), Duration(0), At(3000));
  BOOST_TEST((LiveServers(registry, Time())[0].first_seen == At(3000)));
}

// Guards against announcements that the registry must not take at all.
BOOST_AUTO_TEST_CASE(RefusesForeignAndIncomplete) {
  Registry registry = Empty();
  Announcement foreign = Make("s1", 1, 1);
  foreign.domain = DomainId("d2");
  Announcement nameless = Make("", 1, 1);
  Announcement no_address = Make("s1", 1, 1);
  no_address.address.clear();
  BOOST_TEST(
      (OnAnnouncement(&registry, foreign, Duration(0), At(0)) == AnnounceResult::kOtherDomain));
  BOOST_TEST((OnAnnouncement(&registry, nameless, Duration(0), At(0)) == AnnounceResult::kInvalid));
  BOOST_TEST(
      (OnAnnouncement(&registry, no_address, Duration(0), At(0)) == AnnounceResult::kInvalid));
  BOOST_TEST(registry.entries.empty());
}

// Guards against growth without bound, and against a live server that a new one pushes out.
BOOST_AUTO_TEST_CASE(BoundKeepsLiveServers) {
  Registry registry = Empty();
  for (size_t i = 0; i < kMaxServers; ++i) {
    OnAnnouncement(&registry, Make("s" + std::to_string(i), 1, 1), Duration(0), At(0));
  }
  BOOST_TEST(
      (OnAnnouncement(&registry, Make("x", 1, 1), Duration(0), At(1)) == AnnounceResult::kFull));
  OnAnnouncement(&registry, Make("s7", 1, 2, true), Duration(0), At(2));
  OnAnnouncement(&registry, Make("s9", 1, 2, true), Duration(0), At(3));
  BOOST_TEST(
      (OnAnnouncement(&registry, Make("x", 1, 1), Duration(0), At(4)) == AnnounceResult::kNew));
  BOOST_TEST(registry.entries.size() == kMaxServers);
  BOOST_TEST(registry.entries.count(ServerId("s7")) == 0u);
  BOOST_TEST(registry.entries.count(ServerId("s9")) == 1u);
  Expire(&registry, At(2010));
  Expire(&registry, At(2010) + kForgetAfter);
  BOOST_TEST(registry.entries.empty());
}

// Guards against an announcement that waited in the buffers of a stopped process and then counts as
// fresh, and against clock drift or a reboot of the sender that counts as waiting.
BOOST_AUTO_TEST_CASE(TransitExcessIsWaitingTime) {
  struct Row {
    const char* what;
    int64_t sent_ms;  // the sender's clock
    int64_t received_ms;
    int64_t want_ms;
  };
  const std::vector<Row> rows = {
      {"first", 5000, 100'003, 0},          {"as fast", 6000, 101'003, 0},
      {"faster", 7000, 102'001, 0},         {"2 ms slower", 8000, 103'003, 2},
      {"stopped 9 s", 9000, 113'001, 9000}, {"the next is on time", 18'000, 113'001, 0},
  };
  TransitMeter meter;
  for (const Row& row : rows) {
    BOOST_TEST_CONTEXT(row.what) {
      Duration excess = TransitExcess(&meter, milliseconds(row.sent_ms), At(row.received_ms));
      BOOST_TEST(std::abs((excess - milliseconds(row.want_ms)).count()) <= 5000);
    }
  }
  // The receiver's clock runs 100 us per second faster for a day.
  TransitMeter drift;
  int64_t largest = 0;
  for (int64_t s = 0; s < 86'400; s += 7) {
    Time now = Time(microseconds(s * 1'000'100));
    largest = std::max<int64_t>(largest, TransitExcess(&drift, seconds(s), now).count());
  }
  BOOST_TEST(largest <= 5000);
}

// Guards against a refresh that brings a server back that changed, left or was replaced since the
// receiver heard of it in full, and against keys that outlive their server.
BOOST_AUTO_TEST_CASE(RefreshAppliesToTheSameAnnouncementOnly) {
  Registry registry = Empty();
  Announcement first = Make("s1", 5, 10);
  OnAnnouncement(&registry, first, Duration(0), At(0));
  ServerRefresh refresh;
  refresh.key = AnnouncementKey(first);
  refresh.seq = 11;
  refresh.load.running = 3;
  std::optional<Announcement> whole = ApplyRefresh(registry, refresh);
  BOOST_TEST_REQUIRE(whole.has_value());
  BOOST_TEST(whole->seq == 11u);
  BOOST_TEST(whole->load.running == 3);
  BOOST_TEST(whole->address == first.address);
  BOOST_TEST(
      (OnAnnouncement(&registry, *whole, Duration(0), At(700)) == AnnounceResult::kRefreshed));
  BOOST_TEST(AnnouncementKey(*whole) == refresh.key);

  Announcement other_address = Make("s1", 5, 12);
  other_address.address = "10.0.0.2:80";
  Announcement left = Make("s1", 6, 14, true);
  for (const Announcement& next : {other_address, Make("s1", 6, 13), left}) {
    BOOST_TEST(AnnouncementKey(next) != refresh.key);
    OnAnnouncement(&registry, next, Duration(0), At(800));
    BOOST_TEST(!ApplyRefresh(registry, refresh).has_value());
    BOOST_TEST(registry.by_key.size() == registry.entries.size());
    refresh.key = AnnouncementKey(next);
  }
  Expire(&registry, At(800) + kForgetAfter);
  BOOST_TEST(registry.entries.empty());
  BOOST_TEST(registry.by_key.empty());
}

// Guards against a key that misses a field: the receiver would keep the old value.
BOOST_AUTO_TEST_CASE(KeyCoversEverythingButOrderAndLoad) {
  const Announcement base = Make("s1", 5, 10);
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

// Guards against a host that is cut off from all others and then knows no servers, although they
// still answer it; a server that is silent while others announce themselves expires as ever.
BOOST_AUTO_TEST_CASE(ACutOffHostKeepsItsServers) {
  Registry registry = Empty();
  registry.expire_by_news = true;
  Announcement silent = Make("a", 1, 1);
  OnAnnouncement(&registry, silent, Duration(0), At(0));
  OnAnnouncement(&registry, Make("b", 1, 1), Duration(0), At(0));
  BOOST_TEST(Expire(&registry, At(60'000)).empty());
  for (const BackendServer& server : LiveServers(registry, At(60'000))) {
    BOOST_TEST((server.expires_at > At(60'000)));
  }
  OnAnnouncement(&registry, Make("b", 1, 2), Duration(0), At(61'000));
  std::vector<ServerId> expired = Expire(&registry, At(61'100));
  BOOST_REQUIRE(expired.size() == 1u);
  BOOST_TEST(expired[0].value() == "a");
}

}  // namespace ebonylift
