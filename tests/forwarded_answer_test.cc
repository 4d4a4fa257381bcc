#define BOOST_TEST_MODULE forwarded_answer
#include <boost/test/included/unit_test.hpp>
#include <memory>
#include <string>

#include "tests/support/exchange_fixture.h"

// Exchanges whose request is forwarded to a host of another region.

namespace ebonylift {
namespace {

using test::FakeResponder;

// The only servers of the route are in centro, where h1 and h2 serve it.
struct ForwardFixture : test::DialectFixture {
  explicit ForwardFixture(bool idempotent) {
    auto config = std::make_shared<ConfigView>(*control.view->config);
    auto ingress = std::make_shared<IngressConfig>(*config->ingress);
    for (auto& [id, route] : ingress->route_configs) {
      route.regions = {RegionId("este"), RegionId("centro")};
      route.idempotent = idempotent;
    }
    TeamConfig& team = config->teams[TeamId(kIngressTeam)];
    team.regions = {RegionId("este"), RegionId("centro")};
    team.routes = ingress->route_configs;
    config->ingress = ingress;
    RegionConfig region;
    region.id = RegionId("centro");
    region.domains = {DomainId("centro-a")};
    config->regions[region.id] = region;
    auto view = std::make_shared<RoutingView>(*control.view);
    view->config = std::move(config);
    view->servers.clear();
    for (const char* id : {"h1", "h2"}) {
      HostEntry host;
      host.id = HostId(id);
      host.region = region.id;
      host.domain = region.domains[0];
      host.http_address = std::string(id) + ":1";
      view->hosts.push_back(host);
    }
    DomainSummary summary;
    summary.domain = region.domains[0];
    summary.region = region.id;
    summary.served = "portal";
    summary.servers = 1;
    summary.slots = 10;
    summary.reported_at = SteadyNow();
    view->summaries.push_back(summary);
    control.view = view;
    dispatcher.OnView(view, SteadyNow());
  }

  std::shared_ptr<FakeResponder> StartForwarded() {
    std::shared_ptr<FakeResponder> caller = Start(LookSpec());
    BOOST_REQUIRE(client.calls.size() == 1u);
    BOOST_REQUIRE(client.calls[0].url.rfind("http://h", 0) == 0);
    return caller;
  }

  // Ends the call with a complete error response.
  void EndCallWithError(size_t index, int status, const HttpHeaders& headers,
                        const std::string& body) {
    client.calls[index].on_headers(status, headers);
    client.calls[index].on_data(body);
    client.calls[index].on_done(CallResult{CallOutcome::kComplete, status, "", true});
  }
};

const HttpHeaders kServerHeaders = {{"Attempt-Id", "39ed"}, {"Server-Seal", "s"}};

}  // namespace

// Guards against a host that ends because the code in the error body of a server behind another
// host is no text.
BOOST_AUTO_TEST_CASE(ErrorBodyOfAServerMayHaveAnyShape) {
  for (const char* error : {R"({"message":"m","type":"t","param":null,"code":500})",
                            R"({"code":null})", R"({"code":["a"]})", R"({"code":{}})", "{}", "7"}) {
    BOOST_TEST_CONTEXT(error) {
      ForwardFixture f(false);
      std::shared_ptr<FakeResponder> caller = f.StartForwarded();
      std::string body = "{\"error\":" + std::string(error) + "}";
      BOOST_CHECK_NO_THROW(f.EndCallWithError(0, 500, kServerHeaders, body));
      BOOST_TEST(caller->sent_status == 500);
      BOOST_TEST(caller->text == body);
    }
  }
}

}  // namespace ebonylift
