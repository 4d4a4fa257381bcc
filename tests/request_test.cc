#define BOOST_TEST_MODULE request
#include "daemon/request.h"

#include <boost/test/included/unit_test.hpp>

#include "base/hash.h"

namespace ebonylift {
namespace {

const char kClusterKey[] = "cluster-key-of-the-test";
const char kTeamKey[] = "rocha-key";
const char kBody[] = R"({"model":"summary","messages":[{"role":"user","content":"hello"}]})";

std::shared_ptr<const RoutingView> SomeView(const std::string& region) {
  RouteConfig route;
  route.team = TeamId("rocha");
  route.id = RouteId("trails");
  route.model = ModelId("summary");
  route.regions = {RegionId("este"), RegionId("centro")};
  route.home = RegionId("este");
  route.traffic_class = TrafficClass::kCheck;
  route.deadline = seconds(10);
  RouteConfig service = route;
  service.id = RouteId("logbook");
  service.kind = ServerKind::kService;
  service.service = "logbook";
  service.idempotent = false;
  service.key_from_body = true;
  TeamConfig team;
  team.id = TeamId("rocha");
  team.regions = {RegionId("este")};
  team.routes = {{route.id, route}, {service.id, service}};
  auto config = std::make_shared<ConfigView>();
  config->revision = 3;
  config->teams[team.id] = team;
  config->keys[Sha256Hex(kTeamKey)] = team.id;
  auto view = std::make_shared<RoutingView>();
  view->self = Identity{HostId("h1"), RegionId(region), DomainId(region + "-a")};
  view->config = config;
  return view;
}

HttpRequest SomeRequest(HttpHeaders headers = {}, const std::string& body = kBody) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.headers = std::move(headers);
  request.headers.emplace_back("Authorization", std::string("Bearer ") + kTeamKey);
  request.body = body;
  return request;
}

RequestSpec Parse(HttpRequest request, const std::string& region = "este") {
  return ParseRequest(std::move(request), SomeView(region), kClusterKey, Time{});
}

ErrorKind ParseError(HttpRequest request, const std::string& region = "este") {
  try {
    Parse(std::move(request), region);
  } catch (const Error& error) {
    return error.kind();
  }
  return ErrorKind::kInternal;
}

}  // namespace

BOOST_AUTO_TEST_CASE(RefusesBadInputWithItsKind) {
  struct Case {
    HttpRequest request;
    ErrorKind want;
  };
  HttpRequest no_key = SomeRequest();
  no_key.headers.clear();
  HttpRequest wrong_key = no_key;
  wrong_key.headers = {{"authorization", "Bearer other"}};
  HttpRequest wrong_service = SomeRequest();
  wrong_service.path = "/svc/none/x";
  const Case cases[] = {
      {no_key, ErrorKind::kUnauthorized},
      {wrong_key, ErrorKind::kUnauthorized},
      {SomeRequest({}, "{"), ErrorKind::kBadRequest},
      {SomeRequest({}, "[]"), ErrorKind::kBadRequest},
      {SomeRequest({}, R"({"model":"summary"})"), ErrorKind::kBadRequest},
      {SomeRequest({}, R"({"model":7,"messages":[]})"), ErrorKind::kBadRequest},
      {SomeRequest({}, R"({"model":"other","messages":[]})"), ErrorKind::kUnknownModel},
      {SomeRequest({{"x-ebonylift-class", "fast"}}), ErrorKind::kBadRequest},
      {SomeRequest({{"x-ebonylift-deadline-ms", "-5"}}), ErrorKind::kBadRequest},
      {SomeRequest({{"x-ebonylift-idempotent", "maybe"}}), ErrorKind::kBadRequest},
      {SomeRequest({{"idempotency-key", std::string(300, 'k')}}), ErrorKind::kBadRequest},
      {SomeRequest({{"x-ebonylift-forward", "v1;forged"}}), ErrorKind::kForwardRefused},
      {wrong_service, ErrorKind::kUnknownModel},
  };
  for (const Case& item : cases) {
    BOOST_TEST(LookupError(ParseError(item.request)).code ==
               std::string(LookupError(item.want).code));
  }
}

// Guards against a log that is processed in a region that the route allows and the team does not.
BOOST_AUTO_TEST_CASE(RegionOutsideResidencyIsRefused) {
  BOOST_TEST(Parse(SomeRequest()).allowed_regions.size() == 1u);
  BOOST_TEST((ParseError(SomeRequest(), "centro") == ErrorKind::kResidencyRefused));
  BOOST_TEST((ParseError(SomeRequest(), "norte") == ErrorKind::kResidencyRefused));
}

// Guards against a caller that raises its own priority or deadline.
BOOST_AUTO_TEST_CASE(HeadersOnlyTightenTheRoute) {
  RequestSpec spec = Parse(SomeRequest({{"x-ebonylift-class", "interactive"},
                                        {"x-ebonylift-deadline-ms", "99999999"},
                                        {"x-ebonylift-idempotent", "false"}}));
  BOOST_TEST((spec.traffic_class == TrafficClass::kCheck));
  BOOST_TEST((spec.deadline == Time{} + seconds(10)));
  BOOST_TEST(!spec.idempotent);
  spec = Parse(SomeRequest({{"x-ebonylift-class", "chapter"}, {"x-ebonylift-deadline-ms", "50"}}));
  BOOST_TEST((spec.traffic_class == TrafficClass::kChapter));
  BOOST_TEST((spec.deadline == Time{} + milliseconds(50)));
  BOOST_TEST(spec.idempotent);
}

// Guards against hop-by-hop and credential headers that reach the backend server.
BOOST_AUTO_TEST_CASE(ServicePathAndHeaders) {
  HttpRequest request = SomeRequest(
      {{"Connection", "close, X-Private"}, {"X-Private", "1"}, {"X-Trace", "2"}}, "find=7");
  request.path = "/svc/logbook/finds/7";
  RequestSpec spec = Parse(request);
  BOOST_TEST(spec.path == "/finds/7");
  BOOST_TEST(spec.request_path == "/svc/logbook/finds/7");
  BOOST_TEST(spec.headers.size() == 1u);
  BOOST_TEST(spec.headers[0].first == "X-Trace");
  BOOST_TEST(spec.idempotency_key == "body:" + Sha256Hex("find=7"));
}

}  // namespace ebonylift
