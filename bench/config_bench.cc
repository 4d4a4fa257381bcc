// Measures the cost of the configuration on a host, by number of teams: the memory of the tree, the
// view and the snapshot, the time to build the view and the snapshot, the time to apply one change
// to the tree and to the view, and the encoded size of a change.
//
// Each team has 6 paths: residency, limits, one key and three routes. Memory is the number of bytes
// that malloc() has handed out. Usage: config_bench [teams ...].

#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "base/hash.h"
#include "base/time.h"
#include "core/config_tree.h"
#include "core/config_view.h"

namespace ebonylift {
namespace {

constexpr int kRoutesPerTeam = 3;
constexpr int kChanges = 20;

double AllocatedMegabytes() {
  struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd) / (1 << 20);
}

double MillisSince(Time start) { return static_cast<double>((SteadyNow() - start).count()) / 1e3; }

// A route of the team to one of 21 models in two of 18 regions.
std::string RouteValue(int team, int route, int deadline_ms) {
  return R"({"kind":"model","model":"model-)" + std::to_string((team + route) % 21) +
         R"(","regions":["region-)" + std::to_string(team % 18) + R"(","region-)" +
         std::to_string((team + 1) % 18) + R"("],"home":"region-)" + std::to_string(team % 18) +
         R"(","class":"interactive","idempotent":true,"deadline_ms":)" +
         std::to_string(deadline_ms) +
         R"(,"send_away":true,"weight_latency":1.0,"weight_cost":1.0,"weight_remote":1.0})";
}

ConfigPut MakePut(const std::string& path, const std::string& value, uint64_t base) {
  ConfigPut put;
  put.path = path;
  put.value = value;
  put.base_revision = base;
  put.request_id = Sha256Hex(path + std::to_string(base)).substr(0, 32);
  put.operator_name = "root";
  return put;
}

std::string TeamPath(int team) { return "/teams/workspace-" + std::to_string(team); }

void AddTeam(ConfigTree* tree, int team) {
  std::string path = TeamPath(team);
  std::string regions = R"(["region-)" + std::to_string(team % 18) + R"(","region-)" +
                        std::to_string((team + 1) % 18) + R"("])";
  ApplyPut(tree, MakePut(path + "/residency", R"({"regions":)" + regions + "}", 0), 1);
  ApplyPut(tree, MakePut(path + "/limits", R"({"requests_per_s":50,"concurrency":200})", 0), 1);
  ApplyPut(tree, MakePut(path + "/keys/main", R"({"sha256":")" + Sha256Hex(path) + R"("})", 0), 1);
  for (int route = 0; route < kRoutesPerTeam; ++route) {
    std::string name = path + "/routes/route-" + std::to_string(route);
    ApplyPut(tree, MakePut(name, RouteValue(team, route, 30'000), 0), 1);
  }
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

// Prints one table row for this number of teams.
void Measure(int teams) {
  double initial_mb = AllocatedMegabytes();
  ConfigTree tree;
  for (int team = 0; team < teams; ++team) AddTeam(&tree, team);
  double with_tree_mb = AllocatedMegabytes();
  Time start = SteadyNow();
  ConfigView view = BuildConfigView(tree);
  double build_ms = MillisSince(start);
  double with_view_mb = AllocatedMegabytes();
  start = SteadyNow();
  std::string snapshot = ToSnapshot(tree, false);
  double snapshot_ms = MillisSince(start);
  double with_snapshot_mb = AllocatedMegabytes();
  std::vector<double> change_tree_us;
  std::vector<double> change_view_ms;
  double next_view_mb = 0;
  size_t delta_bytes = 0;
  for (int i = 0; i < kChanges; ++i) {
    std::string path = TeamPath(i * 37 % teams) + "/routes/route-0";
    ConfigPut put = MakePut(path, RouteValue(i, 0, 20'000 + i), PathRevision(tree, path));
    uint64_t old_revision = tree.revision;
    start = SteadyNow();
    ApplyPut(&tree, put, 2);
    change_tree_us.push_back(MillisSince(start) * 1e3);
    if (auto changes = DeltasSince(tree, old_revision, 4 << 20)) {
      delta_bytes = EncodeChanges(*changes).size();
    }
    double before_update_mb = AllocatedMegabytes();
    start = SteadyNow();
    ConfigView next = UpdateConfigView(view, tree, {path});
    change_view_ms.push_back(MillisSince(start));
    next_view_mb = AllocatedMegabytes() - before_update_mb;
    view = std::move(next);
  }
  std::cout << "| " << teams << " | " << with_tree_mb - initial_mb << " | "
            << with_view_mb - with_tree_mb << " | " << next_view_mb << " | "
            << with_snapshot_mb - with_view_mb << " | " << build_ms << " | " << snapshot_ms << " | "
            << Median(change_tree_us) << " | " << Median(change_view_ms) << " | " << delta_bytes
            << " |" << std::endl;
}

}  // namespace
}  // namespace ebonylift

int main(int argc, char** argv) {
  std::vector<int> sizes;
  for (int i = 1; i < argc; ++i) sizes.push_back(std::max(1, std::atoi(argv[i])));
  if (sizes.empty()) sizes = {1'000, 5'000, 28'000};
  std::cout
      << "| teams | tree MB | view MB | next view MB | snapshot MB | build view ms | snapshot "
         "ms | change in tree us | change in view ms | delta bytes |\n"
         "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (int teams : sizes) ebonylift::Measure(teams);
}
