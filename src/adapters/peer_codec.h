#ifndef EBONYLIFT_ADAPTERS_PEER_CODEC_H_
#define EBONYLIFT_ADAPTERS_PEER_CODEC_H_

// Conversion between the messages of schema/peer.capnp and the types of the modules.
//
// A Read function takes what a peer sent: it keeps no reference to the message and maps unknown
// enum values to the safest known one. Stateless; thread safe.

#include <string>
#include <vector>

#include "adapters/rpc.h"
#include "peer.capnp.h"

namespace ebonylift {

void WriteDigest(const GossipMessage& message, Time now, wire::Digest::Builder out);
GossipMessage ReadDigest(wire::Digest::Reader in, Time now);

void WriteAnnouncement(const Announcement& announcement, wire::Announcement::Builder out);
Announcement ReadAnnouncement(wire::Announcement::Reader in);

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
