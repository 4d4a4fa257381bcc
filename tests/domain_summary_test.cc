#define BOOST_TEST_MODULE domain_summary
#include "core/domain_summary.h"

#include <boost/test/included/unit_test.hpp>

namespace ebonylift {
namespace {

const Time kNow(seconds(1'000'000));
const Identity kSelf{HostId("h0"), RegionId("este"), DomainId("este-a")};

BackendServer Server(const std::string& service, const std::string& domain = "este-a") {
  BackendServer server;
  server.announced.domain = DomainId(domain);
  server.announced.services = {service};
  server.announced.load.slots = 32;
  server.elsewhere = 3;
  server.elsewhere_tokens = 9'000;
  server.reported_at = kNow - seconds(1);
  return server;
}

}  // namespace

BOOST_AUTO_TEST_CASE(OneRowForEachService) {
  std::vector<DomainSummary> rows =
      SummarizeDomain(kSelf, {Server("a"), Server("b"), Server("a"), Server("a", "este-b")}, kNow);
  BOOST_TEST(rows.size() == 2u);
  BOOST_TEST(rows[0].served == "a");
  BOOST_TEST(rows[0].servers == 2);
  BOOST_TEST(rows[0].slots == 64);
  BOOST_TEST(rows[0].running == 6);
  BOOST_TEST(rows[0].prefill_tokens == 18'000);
  BOOST_TEST((rows[0].domain == kSelf.domain));
  BOOST_TEST((rows[1].region == kSelf.region));
}

// Guards against forwards to servers that come back cold together: they look idle, since almost
// nothing may be sent to them.
BOOST_AUTO_TEST_CASE(ColdServersOfferNoSlots) {
  BackendServer cold = Server("a");
  cold.announced.cold_for = seconds(3);
  std::vector<DomainSummary> rows = SummarizeDomain(kSelf, {cold, Server("a")}, kNow);
  BOOST_TEST(rows[0].servers == 2);
  BOOST_TEST(rows[0].slots == 32);
  rows = SummarizeDomain(kSelf, {cold, Server("a")}, kNow + seconds(2));
  BOOST_TEST(rows[0].slots == 64, "warm by now");
}

}  // namespace ebonylift
