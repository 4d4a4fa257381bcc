#include "core/server_homes.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "base/hash.h"

namespace ebonylift {

uint64_t RendezvousWeight(const ServerId& server, uint64_t key) {
  return Hash64(server.value(), key);
}

const BackendServer* RendezvousHome(const ServerList& servers, uint64_t key) {
  const BackendServer* home = nullptr;
  uint64_t best = 0;
  for (const BackendServer* server : servers) {
    uint64_t weight = RendezvousWeight(server->announced.id, key);
    if (home != nullptr && weight <= best) continue;
    home = server;
    best = weight;
  }
  return home;
}

ServerList LongPromptHomes(const ServerList& servers, uint64_t key) {
  if (servers.size() < kMinServersForLongHome) return {};
  std::vector<std::pair<uint64_t, const BackendServer*>> ranked;
  ranked.reserve(servers.size());
  for (const BackendServer* server : servers) {
    ranked.emplace_back(RendezvousWeight(server->announced.id, key), server);
  }
  size_t count = std::max<size_t>(1, ranked.size() / kServersPerLongHome);
  auto last = ranked.begin() + static_cast<ptrdiff_t>(count);
  std::partial_sort(ranked.begin(), last, ranked.end(), std::greater<>());
  ServerList homes;
  for (auto home = ranked.begin(); home != last; ++home) homes.push_back(home->second);
  return homes;
}

const BackendServer* SharedPartsHome(const ServerList& servers, const ServerList& long_homes,
                                     uint64_t shared_parts) {
  ServerList others;
  others.reserve(servers.size());
  for (const BackendServer* server : servers) {
    bool is_long = std::find(long_homes.begin(), long_homes.end(), server) != long_homes.end();
    if (!is_long) others.push_back(server);
  }
  return RendezvousHome(others.empty() ? servers : others, shared_parts);
}

}  // namespace ebonylift
