#define BOOST_TEST_MODULE domain_summary
#include "core/domain_summary.h"

#include <boost/test/included/unit_test.hpp>

namespace ebonylift {
namespace {

const Time kNow(seconds(1'000'000));
const Identity kSelf{HostId("h0"), RegionId("este"), DomainId("este-a")};

BackendServer MakeServer(const std::string& service, const std::string& domain = "este-a") {
  BackendServer server;
  server.announced.domain = DomainId(domain);
  server.announced.services = {service};
  server.announced.load.slots = 32;
  server.other_hosts_requests = 3;
  server.other_hosts_prefill_tokens = 9'000;
  server.reported_at = kNow - seconds(1);
  return server;
}

}  // namespace

// Guards against rows that miss a server of the failure domain or include one of another.
BOOST_AUTO_TEST_CASE(OneRowForEachService) {
  std::vector<DomainSummary> rows = SummarizeDomain(
      kSelf, {MakeServer("a"), MakeServer("b"), MakeServer("a"), MakeServer("a", "este-b")}, kNow);
  BOOST_TEST(rows.size() == 2u);
  BOOST_TEST(rows[0].served == "a");
  BOOST_TEST(rows[0].servers == 2);
  BOOST_TEST(rows[0].slots == 64);
  BOOST_TEST(rows[0].running == 6);
  BOOST_TEST(rows[0].prefill_tokens == 18'000);
  BOOST_TEST((rows[0].domain == kSelf.domain));
  BOOST_TEST((rows[1].region == kSelf.region));
}

// Guards against a stream that is forwarded to a failure domain that cannot continue it.
BOOST_AUTO_TEST_CASE(ListsEachSoftwareVersionOnce) {
  std::vector<BackendServer> servers;
  for (const char* version : {"v2", "v1", "v2", ""}) {
    servers.push_back(MakeServer("a"));
    servers.back().announced.software_version = version;
  }
  std::vector<std::string> versions = SummarizeDomain(kSelf, servers, kNow)[0].software_versions;
  BOOST_TEST(versions == std::vector<std::string>({"v1", "v2"}), boost::test_tools::per_element());
}

// Guards against forwarding to a failure domain whose servers all restarted and are cold: they look
// idle because hosts may send them almost nothing.
BOOST_AUTO_TEST_CASE(ColdServersOfferNoSlots) {
  BackendServer cold = MakeServer("a");
  cold.announced.cold_for = seconds(3);
  std::vector<DomainSummary> rows = SummarizeDomain(kSelf, {cold, MakeServer("a")}, kNow);
  BOOST_TEST(rows[0].servers == 2);
  BOOST_TEST(rows[0].slots == 32);
  rows = SummarizeDomain(kSelf, {cold, MakeServer("a")}, kNow + seconds(2));
  BOOST_TEST(rows[0].slots == 64, "warm after 2 more seconds");
}

}  // namespace ebonylift
