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

// Guards against an error body of a server that counts as a host's own refusal: the request ran,
// and must neither be sent again nor be refused as not run.
BOOST_AUTO_TEST_CASE(ErrorOfAServerIsNotThatOfItsHost) {
  for (const char* code : {"overloaded", "draining", "no_server", "not_ready", "server_refused"}) {
    BOOST_TEST_CONTEXT(code) {
      ForwardFixture f(false);
      std::shared_ptr<FakeResponder> caller = f.StartForwarded();
      std::string body = "{\"error\":{\"code\":\"" + std::string(code) +
                         "\",\"run\":\"not_run\",\"request_id\":\"39ed\"}}";
      f.EndCallWithError(0, 500, kServerHeaders, body);
      BOOST_TEST(f.client.calls.size() == 1u);
      BOOST_TEST(caller->sent_status == 500);
      BOOST_TEST(caller->text == body);
    }
  }
}

// Guards against a refusal of a host that counts as a server's error, in the form of this release
// and of the one before, which named it in the body alone.
BOOST_AUTO_TEST_CASE(RefusalOfAHostIsNotRun) {
  for (bool earlier_release : {false, true}) {
    BOOST_TEST_CONTEXT("earlier release: " << earlier_release) {
      ForwardFixture f(false);
      RequestSpec spec = f.LookSpec();
      std::shared_ptr<FakeResponder> caller = f.Start(spec);
      BOOST_REQUIRE(f.client.calls.size() == 1u);
      ErrorResponse error{ErrorKind::kOverloaded, "", Duration{0}, spec.id};
      HttpHeaders headers = ErrorResponseHeaders(error);
      if (earlier_release) headers = {{"Content-Type", "application/json"}};
      f.EndCallWithError(0, 503, headers, DumpJson(ErrorResponseJson(error)));
      f.RunUntil([&] { return f.client.calls.size() == 2; }, "another host is tried");
      BOOST_TEST(f.client.calls[1].url != f.client.calls[0].url);
      BOOST_TEST(caller->sent_status == 0);
    }
  }
}

}  // namespace ebonylift
