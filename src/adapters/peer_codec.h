#ifndef EBONYLIFT_ADAPTERS_PEER_CODEC_H_
#define EBONYLIFT_ADAPTERS_PEER_CODEC_H_

// Converts between the messages of schema/peer.capnp and the C++ types used elsewhere.
//
// The Read functions take messages received from a peer. They keep no reference to the message and
// map unknown enum values to the safest known value. All functions are stateless and thread safe.

#include <string>
#include <string_view>
#include <vector>

#include "adapters/rpc.h"
#include "peer.capnp.h"

namespace ebonylift {

// Times are sent as ages relative to `now`, the current time of the sending or receiving host.
void WriteDigest(const GossipMessage& message, Time now, wire::Digest::Builder out);
GossipMessage ReadDigest(wire::Digest::Reader in, Time now);

void WriteAnnouncement(const Announcement& announcement, wire::Announcement::Builder out);
Announcement ReadAnnouncement(wire::Announcement::Reader in);

// Encodes each refresh in about 15 bytes: 6 bytes of the key, followed by these varints: the seq,
// the load seq minus the seq, the running and waiting requests, the slots, the waiting prefill
// tokens, and the age in milliseconds.
std::string WriteRefreshes(const std::vector<ServerRefresh>& refreshes);
// Returns the refreshes before the first malformed one.
std::vector<ServerRefresh> ReadRefreshes(std::string_view bytes);

void WritePut(const ConfigPut& put, wire::Put::Builder out);
ConfigPut ReadPut(wire::Put::Reader in);

void WritePutAnswer(const PutAnswer& answer, wire::PutAnswer::Builder out);
PutAnswer ReadPutAnswer(wire::PutAnswer::Reader in);

wire::WorkListKind WriteWorkListKind(WorkListKind kind);
// Returns nullopt for a kind that this version does not know.
std::optional<WorkListKind> ReadWorkListKind(wire::WorkListKind kind);
void WriteServerWork(const ServerWork& work, wire::ServerWork::Builder out);
// A limit that is not a valid number is ignored.
ServerWork ReadServerWork(wire::ServerWork::Reader in);

// Fill in the parameters of the calls except `hlc`.
void WriteWorkCall(WorkListKind kind, const std::vector<ServerWork>& work,
                   wire::Peer::WorkParams::Builder out);
void WriteWorkChangesCall(WorkListKind kind, const std::string& changes,
                          wire::Peer::WorkParams::Builder out);
void WriteAliveCall(const std::string& set, Time now, wire::Peer::AnnounceParams::Builder out);
void WriteAnnounceCall(const std::vector<RelayedAnnouncement>& announcements, Time now,
                       wire::Peer::AnnounceParams::Builder out);

void WriteRoomReport(const RoomReport& report, wire::RoomReport::Builder out);
// Returns a report of a server that is not brittle if the number of rejections is not valid.
RoomReport ReadRoomReport(wire::RoomReport::Reader in);

void WriteSuspectNote(const SuspectReport& report, wire::SuspectNote::Builder out);
SuspectReport ReadSuspectNote(wire::SuspectNote::Reader in);

void WriteStream(const StreamRecord& record, wire::Stream::Builder out);
// Returns nullopt if the row has no software version.
std::optional<StreamRecord> ReadStream(wire::Stream::Reader in);

void WriteEvent(const Event& event, wire::EventEntry::Builder out);
// The event id may be unknown to this version; check it with IsKnownEvent().
Event ReadEvent(wire::EventEntry::Reader in);
bool IsKnownEvent(EventId id);

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_PEER_CODEC_H_
