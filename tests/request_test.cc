#define BOOST_TEST_MODULE request
#include "daemon/request.h"

#include <boost/test/included/unit_test.hpp>

#include "base/hash.h"

namespace ebonylift {
namespace {

const char kClusterKey[] = "cluster-key-of-the-test";
const char kTeamKey[] = "rocha-key";
const char kBody[] = R"({"model":"summary","messages":[{"role":"user","content":"hello"}]})";

std::shared_ptr<const RoutingView> MakeView(const std::string& region) {
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

HttpRequest MakeRequest(HttpHeaders headers = {}, const std::string& body = kBody) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.headers = std::move(headers);
  request.headers.emplace_back("Authorization", std::string("Bearer ") + kTeamKey);
  request.body = body;
  return request;
}

RequestSpec Parse(HttpRequest request, const std::string& region = "este") {
  return ParseRequest(std::move(request), MakeView(region), kClusterKey, Time{});
}

// Returns the kind of the error that ParseRequest() throws, kInternal if it succeeds.
ErrorKind ErrorFromParsing(HttpRequest request, const std::string& region = "este") {
  try {
    Parse(std::move(request), region);
  } catch (const Error& error) {
    return error.kind();
  }
  return ErrorKind::kInternal;
}

}  // namespace

BOOST_AUTO_TEST_CASE(InvalidRequestsReportTheirErrorKind) {
  struct Case {
    HttpRequest request;
    ErrorKind expected;
  };
  HttpRequest no_key = MakeRequest();
  no_key.headers.clear();
  HttpRequest wrong_key = no_key;
  wrong_key.headers = {{"authorization", "Bearer other"}};
  HttpRequest wrong_service = MakeRequest();
  wrong_service.path = "/svc/none/x";
  const Case cases[] = {
      {no_key, ErrorKind::kUnauthorized},
      {wrong_key, ErrorKind::kUnauthorized},
      {MakeRequest({}, "{"), ErrorKind::kBadRequest},
      {MakeRequest({}, "[]"), ErrorKind::kBadRequest},
      {MakeRequest({}, R"({"model":"summary"})"), ErrorKind::kBadRequest},
      {MakeRequest({}, R"({"model":7,"messages":[]})"), ErrorKind::kBadRequest},
      {MakeRequest({}, R"({"model":"other","messages":[]})"), ErrorKind::kUnknownModel},
      {MakeRequest({{"x-ebonylift-class", "fast"}}), ErrorKind::kBadRequest},
      {MakeRequest({{"x-ebonylift-deadline-ms", "-5"}}), ErrorKind::kBadRequest},
      {MakeRequest({{"x-ebonylift-idempotent", "maybe"}}), ErrorKind::kBadRequest},
      {MakeRequest({{"idempotency-key", std::string(300, 'k')}}), ErrorKind::kBadRequest},
      {MakeRequest({{"x-ebonylift-forward", "v1;forged"}}), ErrorKind::kForwardRefused},
      {wrong_service, ErrorKind::kUnknownModel},
  };
  for (const Case& item : cases) {
    BOOST_TEST(LookupError(ErrorFromParsing(item.request)).code ==
               std::string(LookupError(item.expected).code));
  }
}

// A region must be allowed by both the route and the team: data must not be processed in a region
// that only the route allows.
BOOST_AUTO_TEST_CASE(RegionOutsideResidencyIsRefused) {
  BOOST_TEST(Parse(MakeRequest()).allowed_regions.size() == 1u);
  BOOST_TEST((ErrorFromParsing(MakeRequest(), "centro") == ErrorKind::kResidencyRefused));
  BOOST_TEST((ErrorFromParsing(MakeRequest(), "norte") == ErrorKind::kResidencyRefused));
}

// A caller must not be able to raise its priority or extend its deadline beyond the route's.
BOOST_AUTO_TEST_CASE(CallerHeadersCannotRelaxRouteLimits) {
  RequestSpec spec = Parse(MakeRequest({{"x-ebonylift-class", "interactive"},
                                        {"x-ebonylift-deadline-ms", "99999999"},
                                        {"x-ebonylift-idempotent", "false"}}));
  BOOST_TEST((spec.traffic_class == TrafficClass::kCheck));
  BOOST_TEST((spec.deadline == Time{} + seconds(10)));
  BOOST_TEST(!spec.idempotent);
  spec = Parse(MakeRequest({{"x-ebonylift-class", "chapter"}, {"x-ebonylift-deadline-ms", "50"}}));
  BOOST_TEST((spec.traffic_class == TrafficClass::kChapter));
  BOOST_TEST((spec.deadline == Time{} + milliseconds(50)));
  BOOST_TEST(spec.idempotent);
}

// Hop-by-hop headers and credentials must not reach the backend server. The service receives the
// path without `/svc/{route}`.
BOOST_AUTO_TEST_CASE(ServiceRequestPathAndHeadersAreRewritten) {
  HttpRequest request = MakeRequest(
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
