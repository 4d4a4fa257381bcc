// Measures the time of routing one request, by routing policy and number of backend servers:
// building the RouteQuery, then Choose(), OnDispatch() and OnServerOutcome(). Build with
// -DCMAKE_BUILD_TYPE=Release.

#include <cstdio>
#include <cstdlib>
#include <string>

#include "core/routing.h"

namespace ebonylift {
namespace {

constexpr int kRequests = 20'000;
// The requests cycle through this many prompts, each with its own prefix hashes.
constexpr int kDistinctPrompts = 200;
constexpr size_t kBlocksPerPrompt = 16;  // prefix hashes of a prompt

// A view with servers of one failure domain that all serve the same model and have 0 to 23 of 32
// slots in use.
RoutingView MakeView(int servers, Time now) {
  RoutingView view;
  view.self = {HostId("entry-host-01"), RegionId("este"), DomainId("este-a")};
  view.config = std::make_shared<ConfigView>();
  for (int i = 0; i < servers; ++i) {
    char id[32];
    std::snprintf(id, sizeof(id), "este-a-engine-%05d", i);
    BackendServer server;
    server.announced.id = ServerId(id);
    server.announced.incarnation = 1;
    server.announced.domain = view.self.domain;
    server.announced.region = view.self.region;
    server.announced.models = {{ModelId("trail-summaries"), {}, "1"}};
    server.announced.load.slots = 32;
    server.announced.load.running = i % 24;
    server.first_seen = now - seconds(100);
    server.reported_at = now;
    server.expires_at = now + seconds(1'000);
    view.servers.push_back(server);
  }
  return view;
}

void Measure(int servers, RoutingPolicy policy, const char* name) {
  Time now = SteadyNow();
  RoutingView view = MakeView(servers, now);
  RouteConfig route;
  route.model = ModelId("trail-summaries");
  route.regions = {view.self.region};
  RoutingState routing_state;
  routing_state.policy = policy;
  std::mt19937_64 rng(1);
  Duration elapsed{0};
  Time start = SteadyNow();
  for (int i = 0; i < kRequests; ++i) {
    RouteQuery query;
    query.route = &route;
    query.allowed_regions = route.regions;
    query.prompt_tokens = 2'500;
    query.deadline = now + seconds(1'000);
    for (size_t block = 0; block < kBlocksPerPrompt; ++block) {
      query.prefix_hashes.push_back((i % kDistinctPrompts) * 1'000 + block + 1);
    }
    Choice choice = Choose(query, view, routing_state, now, rng);
    if (choice.kind != ChoiceKind::kLocal) std::abort();
    OnDispatch(routing_state, query, choice, now);
    OnServerOutcome(routing_state, view, choice.server, now, ServerOutcome::kOk, now + seconds(1));
  }
  elapsed = SteadyNow() - start;
  std::printf("%-14s %5d servers: %7.2f us per request\n", name, servers,
              static_cast<double>(elapsed.count()) / kRequests);
}

}  // namespace
}  // namespace ebonylift

int main() {
  using ebonylift::RoutingPolicy;
  for (int servers : {12, 120, 1'000}) {
    ebonylift::Measure(servers, RoutingPolicy::kCost, "cost");
    ebonylift::Measure(servers, RoutingPolicy::kPowerOfTwo, "power_of_two");
    ebonylift::Measure(servers, RoutingPolicy::kRoundRobin, "round_robin");
  }
  return 0;
}
