#define BOOST_TEST_MODULE forwarded_answer
#include <boost/test/included/unit_test.hpp>
#include <cerrno>
#include <memory>
#include <string>

#include "tests/support/exchange_fixture.h"

// Exchanges whose request is forwarded to a host of another region.

namespace ebonylift {
namespace {

using test::FakeResponder;

// The servers of the route are in centro, where h1, h2 and h3 serve it, and, if it is resumable,
// there is one of this host's region as well.
struct ForwardFixture : test::DialectFixture {
  explicit ForwardFixture(bool idempotent, bool resumable = false) : DialectFixture(resumable) {
    context.stream_origins = &origins;
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
    view->servers[0].announced.software_version = "v1";
    if (!resumable) view->servers.clear();
    for (const char* id : {"h1", "h2", "h3"}) {
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

  StreamOriginTable origins;
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

// Guards against a stream that is broken off although another host would continue it: the refusals
// of hosts, which run nothing, counted as attempts that may have run.
BOOST_AUTO_TEST_CASE(RefusedContinuationIsNotARun) {
  ForwardFixture f(true, /*resumable=*/true);
  std::shared_ptr<FakeResponder> caller = f.Start(f.LookSpec());
  BOOST_REQUIRE(f.client.calls.size() == 1u);
  HttpHeaders stream = kServerHeaders;
  stream.emplace_back("content-type", "text/event-stream");
  f.client.calls[0].on_headers(200, stream);
  f.client.calls[0].on_data("id: 1\ndata: a\n\n");
  f.client.calls[0].on_done(CallResult{CallOutcome::kFailed, 200, "reset", 0, true});
  BOOST_REQUIRE(f.client.calls.size() == 2u);
  BOOST_REQUIRE(f.client.calls[1].connect_only);
  f.client.calls[1].on_done(CallResult{CallOutcome::kNotConnected, 0, "refused", ECONNREFUSED});
  const ErrorResponse refusal{ErrorKind::kOverloaded, "", Duration{0}, RequestId()};
  for (size_t host = 2; host < 4; ++host) {
    f.RunUntil([&] { return f.client.calls.size() == host + 1; }, "another host is asked");
    BOOST_REQUIRE(f.client.calls[host].url.rfind("http://h", 0) == 0);
    f.client.calls[host].on_headers(503, ErrorResponseHeaders(refusal));
  }
  f.RunUntil([&] { return f.client.calls.size() == 5 || caller->aborted; }, "a third one is asked");
  BOOST_TEST(!caller->aborted);
}

}  // namespace ebonylift
