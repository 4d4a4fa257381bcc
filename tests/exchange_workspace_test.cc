#define BOOST_TEST_MODULE exchange_workspace
#include <boost/test/included/unit_test.hpp>
#include <memory>
#include <string>

#include "tests/support/exchange_fixture.h"

// Exchanges of callers that belong to workspaces.

namespace ebonylift {
namespace {

using test::FakeResponder;

const std::string kClusterKey = "key";

// The workspaces acme, with the key k1, and norte, with the key k2, whose region has no servers.
struct WorkspaceFixture : test::DialectFixture {
  WorkspaceFixture() { SetWorkspaces({{"acme", "k1", "este"}, {"norte", "k2", "norte"}}); }

  struct Entry {
    std::string name;
    std::string key;
    std::string region;
    int rank = 0;
  };

  // Publishes a configuration of the next revision with these workspaces.
  void SetWorkspaces(const std::vector<Entry>& entries, bool open = false) {
    nlohmann::json list = nlohmann::json::array();
    for (const Entry& entry : entries) {
      list.push_back({{"name", entry.name},
                      {"key_digests", {Sha256Hex(entry.key)}},
                      {"regions", {entry.region}},
                      {"rank", entry.rank}});
    }
    auto config = std::make_shared<ConfigView>(*control.view->config);
    auto ingress = std::make_shared<IngressConfig>(*config->ingress);
    ingress->workspaces = ParseWorkspaces(list, nullptr);
    for (auto& [id, route] : ingress->route_configs) route.open = open;
    config->teams[TeamId(kIngressTeam)].routes = ingress->route_configs;
    config->ingress = ingress;
    ++config->revision;
    ChangeView([&config](RoutingView* view) { view->config = config; });
  }

  static HttpRequest Look(const std::string& key) {
    HttpRequest request;
    request.method = "GET";
    request.path = "/look/1";
    request.headers = {{"Host", "a.example"}, {"Attempt-Id", "39ed"}, {"tenant", "forged"}};
    if (!key.empty()) request.headers.emplace_back("authorization", "Bearer " + key);
    return request;
  }

  RequestSpec Parse(const HttpRequest& request) {
    return ParseIngressRequest(request, control.view, platform::PlatformDialect(), SteadyNow());
  }

  // The request as the host `sender` forwards it with its newest configuration.
  static HttpRequest Forwarded(WorkspaceFixture* sender, const std::string& key) {
    RequestSpec spec = sender->Parse(Look(key));
    HttpRequest request;
    request.method = spec.method;
    request.path = spec.request_path;
    request.headers =
        MakeForwardHeaders(&spec, OpenAttempt(), false, false, "", kClusterKey, SteadyNow());
    return request;
  }

  RequestSpec ParseForwarded(const HttpRequest& request) {
    return ParseForwardedIngress(request, control.view, platform::PlatformDialect(), kClusterKey,
                                 SteadyNow());
  }
};

// Returns the kind of the error that `parse` throws, kInternal if it succeeds.
template <typename Parse>
ErrorKind ErrorOf(const Parse& parse) {
  try {
    parse();
  } catch (const Error& error) {
    return error.kind();
  }
  return ErrorKind::kInternal;
}

bool MentionsKey(const HttpHeaders& headers) {
  return std::any_of(headers.begin(), headers.end(), [](const auto& header) {
    return header.second.find("k1") != std::string::npos || header.second == "forged";
  });
}

}  // namespace

// Guards against a request that runs without a key of a workspace, and against refusing those that
// need none.
BOOST_FIXTURE_TEST_CASE(RequestsNeedAKey, WorkspaceFixture) {
  for (const char* key : {"", "k3", "K1", "k1 "}) {
    ErrorKind kind = ErrorOf([&] { Parse(Look(key)); });
    BOOST_TEST((kind == ErrorKind::kUnauthorized), key);
  }
  HttpRequest elsewhere = Look("");
  elsewhere.path = "/other";
  BOOST_TEST((ErrorOf([&] { Parse(elsewhere); }) == ErrorKind::kUnauthorized));
  BOOST_TEST(Parse(Look("k1")).workspace->id.value() == "acme");
  SetWorkspaces({{"acme", "k1", "este"}}, /*open=*/true);
  BOOST_TEST(Parse(Look("k3")).workspace == nullptr);
  BOOST_TEST(Parse(Look("k1")).workspace->id.value() == "acme");
  SetWorkspaces({});
  BOOST_TEST(Parse(Look("k1")).workspace == nullptr);
  ChangeView([](RoutingView* view) { view->config = std::make_shared<ConfigView>(); });
  BOOST_TEST((ErrorOf([&] { Parse(Look("")); }) == ErrorKind::kNotReady));
}

// Guards against a backend server that gets the key or does not learn the workspace, and against
// headers that are removed without workspaces.
BOOST_FIXTURE_TEST_CASE(ServerGetsTheWorkspaceInsteadOfTheKey, WorkspaceFixture) {
  auto sent_headers = [this](const std::string& key) {
    client.calls.clear();
    std::shared_ptr<FakeResponder> caller = Start(Parse(Look(key)));
    BOOST_REQUIRE(client.calls.size() == 1u);
    HttpHeaders headers = client.calls[0].headers;
    caller->on_closed();
    return headers;
  };
  HttpHeaders headers = sent_headers("k1");
  BOOST_TEST(FindHeader(headers, "tenant") == "acme");
  BOOST_TEST(!MentionsKey(headers));
  SetWorkspaces({{"acme", "k1", "este"}}, /*open=*/true);
  headers = sent_headers("unknown");
  BOOST_TEST(FindHeader(headers, "tenant") == "");
  BOOST_TEST(FindHeader(headers, "authorization") == "");
  SetWorkspaces({});
  headers = sent_headers("k1");
  BOOST_TEST(FindHeader(headers, "tenant") == "forged");
  BOOST_TEST(FindHeader(headers, "authorization") == "Bearer k1");
}

// Guards against a request that runs outside the regions of its workspace.
BOOST_FIXTURE_TEST_CASE(RequestOutsideTheRegionsOfItsWorkspaceIsRefused, WorkspaceFixture) {
  std::shared_ptr<FakeResponder> caller = Start(Parse(Look("k2")));
  BOOST_TEST(client.calls.empty());
  BOOST_TEST(caller->sent_status == 503);
  BOOST_TEST(caller->text.find("residency_refused") != std::string::npos);
}

// Guards against a withdrawn key whose requests still run because they wait in the queue.
BOOST_FIXTURE_TEST_CASE(WithdrawnKeyOfAQueuedRequestIsRefused, WorkspaceFixture) {
  std::vector<std::shared_ptr<FakeResponder>> callers;
  while (dispatcher.Stats().queued == 0 && client.calls.size() < test::kMaxCalls) {
    callers.push_back(Start(Parse(Look("k1"))));
  }
  BOOST_REQUIRE(dispatcher.Stats().queued == 1u);
  size_t sent = client.calls.size();
  SetWorkspaces({{"acme", "k9", "este"}});
  client.calls[0].on_headers(200, {{"Attempt-Id", "39ed"}, {"Server-Seal", "s"}});
  client.calls[0].on_done(CallResult{CallOutcome::kComplete, 200, "", false});
  RunUntil([&] { return callers.back()->sent_status != 0; }, "the queued request is answered");
  BOOST_TEST(callers.back()->sent_status == 401);
  BOOST_TEST(client.calls.size() == sent);
}

// Guards against a host that accepts a key although it may not have heard of its withdrawal.
BOOST_FIXTURE_TEST_CASE(KeysAreRefusedWithoutWordFromTheControlHosts, WorkspaceFixture) {
  ChangeView([](RoutingView* view) { view->keys_valid_until = SteadyNow() - milliseconds(1); });
  BOOST_TEST((ErrorOf([&] { Parse(Look("k1")); }) == ErrorKind::kNotReady));
  BOOST_TEST((ErrorOf([&] { Parse(Look("k3")); }) == ErrorKind::kNotReady));
  SetWorkspaces({{"acme", "k1", "este"}}, /*open=*/true);
  BOOST_TEST(Parse(Look("k1")).workspace->id.value() == "acme");
  SetWorkspaces({});
  BOOST_TEST(Parse(Look("k1")).workspace == nullptr);
}

// Guards against requests of a less urgent workspace that count as urgent because their route is.
BOOST_FIXTURE_TEST_CASE(RankOfTheWorkspaceGoesBeforeThatOfTheRoute, WorkspaceFixture) {
  SetWorkspaces({{"acme", "k1", "este", 3}});
  RequestSpec spec = Parse(Look("k1"));
  BOOST_TEST(RankOf(spec).workspace == 3);
  BOOST_TEST((RequestRank{0, 9} < RankOf(spec)));
  BOOST_TEST((spec.traffic_class == TrafficClass::kCheck));
}

// Guards against a forward that carries the key, and against a receiver that trusts the sender
// without its own configuration.
BOOST_FIXTURE_TEST_CASE(ReceiverOfAForwardChecksTheKey, WorkspaceFixture) {
  WorkspaceFixture sender;
  HttpRequest request = Forwarded(&sender, "k1");
  BOOST_TEST(!MentionsKey(request.headers));
  BOOST_TEST(ParseForwarded(request).workspace->id.value() == "acme");
  HttpRequest changed = request;
  for (auto& [name, value] : changed.headers) {
    if (name == kWorkspaceHeader) value.replace(value.find("acme"), 4, "best");
  }
  BOOST_TEST((ErrorOf([&] { ParseForwarded(changed); }) == ErrorKind::kForwardRefused));
  // This host has a newer configuration, in which the key is withdrawn, or belongs to another
  // workspace.
  SetWorkspaces({{"acme", "k9", "este"}});
  BOOST_TEST((ErrorOf([&] { ParseForwarded(request); }) == ErrorKind::kUnauthorized));
  SetWorkspaces({{"beta", "k1", "este"}});
  BOOST_TEST((ErrorOf([&] { ParseForwarded(request); }) == ErrorKind::kUnauthorized));
  // The sender has the newer configuration.
  for (int i = 0; i < 3; ++i) sender.SetWorkspaces({{"beta", "k5", "este"}});
  BOOST_TEST((ErrorOf([&] { ParseForwarded(Forwarded(&sender, "k5")); }) == ErrorKind::kNotReady));
  // A forward of a host without workspaces has the caller's own headers.
  sender.SetWorkspaces({});
  request = Forwarded(&sender, "k1");
  BOOST_TEST(ParseForwarded(request).workspace->id.value() == "beta");
  BOOST_TEST(FindHeader(request.headers, kWorkspaceHeader) == "");
}

}  // namespace ebonylift
