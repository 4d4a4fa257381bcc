#ifndef EBONYLIFT_CORE_SERVER_HOMES_H_
#define EBONYLIFT_CORE_SERVER_HOMES_H_

// Which backend servers of a region take which prompts, by rendezvous hash: hosts that know the
// same servers agree without messages.
//
// The functions are pure and thread safe. Returned pointers are those of the arguments.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "ports/views.h"

namespace ebonylift {

// A server reads a long prompt in steps that grow with it, and every stream there waits for each
// step. So some servers of a region, the same for all hosts, take the long prompts while they have
// room, and other prompts go there when the rest cost more.
constexpr int64_t kLongPromptTokens = 16'000;
constexpr size_t kMinServersForLongHome = 3;
constexpr size_t kServersPerLongHome = 4;  // at least one

using ServerList = std::vector<const BackendServer*>;

// Orders servers for this key, the same on all hosts.
uint64_t RendezvousWeight(const ServerId& server, uint64_t key);

// The server that every host with the same servers picks for this key; null when there are none.
const BackendServer* RendezvousHome(const ServerList& servers, uint64_t key);

// The servers that take the long prompts; empty when there are too few servers to set some apart.
ServerList LongPromptHomes(const ServerList& servers, uint64_t key);

// The server that keeps the shared parts of a prompt, `shared_parts` being their hash. It is none
// of `long_homes`, which other prompts avoid, unless there is no other server.
const BackendServer* SharedPartsHome(const ServerList& servers, const ServerList& long_homes,
                                     uint64_t shared_parts);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_SERVER_HOMES_H_
