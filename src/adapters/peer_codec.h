#ifndef EBONYLIFT_ADAPTERS_PEER_CODEC_H_
#define EBONYLIFT_ADAPTERS_PEER_CODEC_H_

// Conversion between the messages of schema/peer.capnp and the types of the modules.
//
// A Read function takes what a peer sent: it keeps no reference to the message and maps unknown
// enum values to the safest known one. Stateless; thread safe.

#include <string>
#include <string_view>
#include <vector>

#include "adapters/rpc.h"
#include "peer.capnp.h"

namespace ebonylift {

void WriteDigest(const GossipMessage& message, Time now, wire::Digest::Builder out);
GossipMessage ReadDigest(wire::Digest::Reader in, Time now);

void WriteAnnouncement(const Announcement& announcement, wire::Announcement::Builder out);
Announcement ReadAnnouncement(wire::Announcement::Reader in);

// A refresh is about 15 bytes: 6 bytes of the key, then the seq, the load seq as a difference to
// it, the load and the age in milliseconds as numbers of variable length.
std::string WriteRefreshes(const std::vector<ServerRefresh>& refreshes);
// Ignores what follows a malformed entry.
std::vector<ServerRefresh> ReadRefreshes(std::string_view bytes);

void WritePut(const ConfigPut& put, wire::Put::Builder out);
ConfigPut ReadPut(wire::Put::Reader in);

void WritePutAnswer(const PutAnswer& answer, wire::PutAnswer::Builder out);
PutAnswer ReadPutAnswer(wire::PutAnswer::Reader in);

void WriteNote(const SuspectNote& note, wire::SuspectNote::Builder out);
SuspectNote ReadNote(wire::SuspectNote::Reader in);

void WriteEvent(const Event& event, wire::EventEntry::Builder out);
// The id may be one that this version does not know; see IsKnownEvent().
Event ReadEvent(wire::EventEntry::Reader in);
bool IsKnownEvent(EventId id);

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_PEER_CODEC_H_
