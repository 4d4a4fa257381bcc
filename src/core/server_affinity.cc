#include "core/server_affinity.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "base/hash.h"

namespace ebonylift {

uint64_t RendezvousWeight(const ServerId& server, uint64_t key) {
  return Hash64(server.value(), key);
}

const BackendServer* RendezvousServer(const ServerList& servers, uint64_t key) {
  const BackendServer* selected = nullptr;
  uint64_t best = 0;
  for (const BackendServer* server : servers) {
    uint64_t weight = RendezvousWeight(server->announced.id, key);
    if (selected != nullptr && weight <= best) continue;
    selected = server;
    best = weight;
  }
  return selected;
}

ServerList LongPromptServers(const ServerList& servers, uint64_t key) {
  if (servers.size() < kMinServersForLongPrompts) return {};
  std::vector<std::pair<uint64_t, const BackendServer*>> ranked;
  ranked.reserve(servers.size());
  for (const BackendServer* server : servers) {
    ranked.emplace_back(RendezvousWeight(server->announced.id, key), server);
  }
  size_t count = std::max<size_t>(1, ranked.size() / kServersPerLongPromptServer);
  auto last = ranked.begin() + static_cast<ptrdiff_t>(count);
  std::partial_sort(ranked.begin(), last, ranked.end(), std::greater<>());
  ServerList selected;
  for (auto it = ranked.begin(); it != last; ++it) selected.push_back(it->second);
  return selected;
}

const BackendServer* SharedPrefixServer(const ServerList& servers,
                                        const ServerList& long_prompt_servers,
                                        uint64_t shared_prefix_hash) {
  ServerList others;
  others.reserve(servers.size());
  for (const BackendServer* server : servers) {
    bool takes_long_prompts = std::find(long_prompt_servers.begin(), long_prompt_servers.end(),
                                        server) != long_prompt_servers.end();
    if (!takes_long_prompts) others.push_back(server);
  }
  return RendezvousServer(others.empty() ? servers : others, shared_prefix_hash);
}

}  // namespace ebonylift
