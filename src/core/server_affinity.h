#ifndef EBONYLIFT_CORE_SERVER_AFFINITY_H_
#define EBONYLIFT_CORE_SERVER_AFFINITY_H_

// Assigns prompts to preferred backend servers of a region by rendezvous hashing, so that hosts
// that know the same servers agree without exchanging messages.
//
// The functions are pure and thread-safe. Returned pointers are taken from the arguments.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "ports/views.h"

namespace ebonylift {

// A server processes a long prompt in steps that grow with the prompt, and every stream on the
// server waits for each step. Therefore a few servers of a region, the same for all hosts,
// take the long prompts while they have capacity; other prompts go to them only when the remaining
// servers cost more.
constexpr int64_t kLongPromptTokens = 16'000;
constexpr size_t kMinServersForLongPrompts = 3;    // with fewer, no server is dedicated
constexpr size_t kServersPerLongPromptServer = 4;  // one in this many, at least one

using ServerList = std::vector<const BackendServer*>;

// Returns the weight by which servers are ranked for this key, the same on all hosts.
uint64_t RendezvousWeight(const ServerId& server, uint64_t key);

// Returns the server that every host with the same servers selects for this key; null if `servers`
// is empty.
const BackendServer* RendezvousServer(const ServerList& servers, uint64_t key);

// Returns the servers that take the long prompts; empty if there are too few servers to dedicate
// some of them.
ServerList LongPromptServers(const ServerList& servers, uint64_t key);

// Returns the server that caches the prefix which a prompt shares with others, given the hash of
// that prefix. The server is not one of `long_prompt_servers`, which other prompts avoid, unless
// there is no other server.
const BackendServer* SharedPrefixServer(const ServerList& servers,
                                        const ServerList& long_prompt_servers,
                                        uint64_t shared_prefix_hash);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_SERVER_AFFINITY_H_
