// Measures the cost of workspaces on a host, by their number: the time to identify the workspace of
// a key, known and unknown, the time to take over a document in which one workspace has changed,
// and the memory of a table and of the next one after such a change.
//
// Each workspace has two keys. Times are processor time. Memory is the number of bytes that
// malloc() has handed out. Usage: workspace_bench [workspaces ...].

#include <malloc.h>

#include <cstdlib>
#include <ctime>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/hash.h"
#include "core/workspaces.h"

namespace ebonylift {
namespace {

using Json = nlohmann::json;

constexpr int kLookups = 400'000;
constexpr int kChanges = 10;

double AllocatedMegabytes() {
  struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd) / (1 << 20);
}

// Of this process, in milliseconds, since `start` of std::clock(): other processes that compete for
// the cores do not count.
double MillisSince(std::clock_t start) {
  return static_cast<double>(std::clock() - start) * 1e3 / CLOCKS_PER_SEC;
}

std::string KeyOf(int number) { return "tk-" + Sha256Hex(std::to_string(number)).substr(0, 32); }

Json MakeList(int workspaces) {
  Json list = Json::array();
  for (int i = 0; i < workspaces; ++i) {
    list.push_back({{"name", "workspace-" + std::to_string(i)},
                    {"key_digests", {Sha256Hex(KeyOf(2 * i)), Sha256Hex(KeyOf(2 * i + 1))}},
                    {"regions", {"region-" + std::to_string(i % 18)}},
                    {"limit", {{"per_s", 100 + i}, {"burst", 500}, {"unit", "tokens"}}}});
  }
  return list;
}

// Returns the nanoseconds of one lookup, including the digest of the key. The keys are read in
// order, as a host has just read the key that it looks up. Their digests are in random order.
double LookupNanos(const WorkspaceTable& table, const std::vector<std::string>& keys,
                   size_t* found) {
  std::clock_t start = std::clock();
  for (size_t i = 0; i < kLookups; ++i) {
    const std::string& key = keys[i % keys.size()];
    if (FindWorkspace(table, Sha256(key)) != nullptr) ++*found;
  }
  return MillisSince(start) * 1e6 / kLookups;
}

void Measure(int workspaces) {
  Json list = MakeList(workspaces);
  std::vector<std::string> keys;
  std::vector<std::string> unknown_keys;
  for (int i = 0; i < 2 * workspaces; ++i) {
    keys.push_back(KeyOf(i));
    unknown_keys.push_back("x" + KeyOf(i));
  }
  double before = AllocatedMegabytes();
  std::clock_t start = std::clock();
  auto table = std::make_unique<WorkspaceTable>(ParseWorkspaces(list, nullptr));
  double parse_ms = MillisSince(start);
  double table_mb = AllocatedMegabytes() - before;

  double change_ms = 0;
  double change_mb = 0;
  for (int i = 0; i < kChanges; ++i) {
    list[static_cast<size_t>(i)]["key_digests"][0] = Sha256Hex("new" + std::to_string(i));
    before = AllocatedMegabytes();
    start = std::clock();
    auto next = std::make_unique<WorkspaceTable>(ParseWorkspaces(list, table.get()));
    change_ms += MillisSince(start) / kChanges;
    change_mb += (AllocatedMegabytes() - before) / kChanges;
    table = std::move(next);
  }
  size_t found = 0;
  double known_ns = LookupNanos(*table, keys, &found);
  double unknown_ns = LookupNanos(*table, unknown_keys, &found);
  std::cout << workspaces << " workspaces: known key " << known_ns << " ns, unknown key "
            << unknown_ns << " ns (" << found << " found); first table " << parse_ms << " ms, "
            << table_mb << " MB; change of one workspace " << change_ms << " ms, " << change_mb
            << " MB more\n";
}

}  // namespace
}  // namespace ebonylift

int main(int argc, char** argv) {
  std::vector<int> sizes;
  for (int i = 1; i < argc; ++i) sizes.push_back(std::atoi(argv[i]));
  if (sizes.empty()) sizes = {16, 1'000, 28'000};
  for (int size : sizes) ebonylift::Measure(size);
  return 0;
}
