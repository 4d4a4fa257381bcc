@0xec3d7c1752191d3e;

# What daemons say to each other on --peer_address. Every request and every answer carries `hlc`, the
# sender's hybrid logical clock. A message is at most 8 MiB.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("ebonylift::wire");

# The bootstrap interface. A connection has exactly one nonce, and one login.
interface Gate {
  challenge @0 (hlc :UInt64) -> (hlc :UInt64, host :Text, nonce :Text);

  # `mac` is the HMAC with the cluster key over the label "login", the nonce, the id of the host
  # that is logged in to, the own id and the incarnation. `nonce` is the caller's; `proof` is the
  # HMAC over the label "proof", that nonce and the id of the answering host. `features` are the bits
  # of PeerFeature in adapters/rpc.h that the answering host has.
  login @1 (hlc :UInt64, host :Text, incarnation :UInt64, mac :Text, nonce :Text)
      -> (hlc :UInt64, peer :Peer, proof :Text, features :UInt32);
}

interface Peer {
  # A probe and an exchange of membership rows. With `target`, the receiver probes that host and
  # `reached` tells the result (an indirect probe).
  gossip @0 (hlc :UInt64, digest :Digest, target :Text)
      -> (hlc :UInt64, digest :Digest, reached :Bool);

  # `refreshes` are announcements of which only the order and the load changed, in the encoding of
  # WriteRefreshes(). `unknown` are the keys of refreshes that the receiver cannot apply; the caller
  # then sends these servers in full.
  # `alive` is an alive set of core/alive_sets.h, for receivers with PeerFeature::kAliveSets; `gap`
  # tells that the receiver lacks keys of it.
  announce @1 (hlc :UInt64, sentAtMicros :Int64, announcements :List(Relayed), refreshes :Data,
               alive :Data)
      -> (hlc :UInt64, unknown :List(UInt64), gap :Bool);

  # An opaque consensus message between voters.
  consensus @2 (hlc :UInt64, message :Data) -> (hlc :UInt64);

  # A part of what the caller lacks: the changes after `revision`, or a part of a snapshot that
  # starts at byte `offset`. The configuration replica reads and writes `data`.
  configSince @3 (hlc :UInt64, revision :UInt64, offset :UInt64) -> (hlc :UInt64, data :Data);

  # Proposes a configuration change to this host. `hops` counts how often it was forwarded before.
  proposePut @4 (hlc :UInt64, put :Put, hops :UInt32) -> (hlc :UInt64, answer :PutAnswer);

  suspect @5 (hlc :UInt64, notes :List(SuspectNote)) -> (hlc :UInt64);

  timeline @6 (hlc :UInt64, since :UInt64, requestId :Text, limit :UInt32)
      -> (hlc :UInt64, events :List(EventEntry), more :Bool);

  # Work at the backend servers that both send work to; replaces the list of this kind before.
  # For receivers with PeerFeature::kWorkRows, `changes` of core/work_rows.h stand for `rows`; `gap`
  # tells that the receiver lacks a message before.
  work @7 (hlc :UInt64, rows :List(ServerWork), kind :WorkListKind, changes :Data)
      -> (hlc :UInt64, gap :Bool);

  # Streams that began at the caller, for the receiver to keep.
  streams @8 (hlc :UInt64, rows :List(Stream)) -> (hlc :UInt64);

  # `found` is absent if the receiver does not know the stream.
  findStream @9 (hlc :UInt64, stream :UInt64) -> (hlc :UInt64, found :Stream);

  # What answers of brittle backend servers that both send work to showed.
  room @10 (hlc :UInt64, reports :List(RoomReport)) -> (hlc :UInt64);

  # The software versions that the receiver has lately known of the servers of a service or model.
  softwareVersions @11 (hlc :UInt64, served :Text) -> (hlc :UInt64, versions :List(Text));

  # Asks the receiver for shares of limits of workspaces; `ask` and `answer` are in the encoding of
  # core/limit_shares.h. `answer` is absent if the receiver does not allocate them; `leader` is then
  # the host that does, if the receiver knows it.
  limitShares @12 (hlc :UInt64, ask :Data) -> (hlc :UInt64, answer :Data, leader :Text);
}

# A stream and the servers that may continue it.
struct Stream {
  stream @0 :UInt64;
  service @1 :Text;
  softwareVersion @2 :Text;
}

enum WorkListKind {
  own @0;
  forCollector @1;
  collected @2;
  ofOthers @3;
}

struct ServerWork {
  server @0 :Text;
  inFlight @1 :Int32;
  prefillTokens @2 :Int64;
  limit @3 :ObservedLimit;  # absent if the sender saw none

  # Factors of the server's speed; see SpeedToByte() in core/server_speed.h. 0: unknown.
  speed @4 :UInt8;
  recentSpeed @5 :UInt8;
  speedWeight @6 :UInt8;       # samples
  speedIncarnation @7 :UInt8;  # see IncarnationTag()
}

struct ObservedLimit {
  perSecond @0 :Float64;
  ageMillis @1 :UInt32;
}

struct RoomReport {
  server @0 :Text;
  incarnation @1 :UInt64;
  brittle @2 :Bool;
  maxRejectionsPerSecond @3 :Float64;  # if `brittle`
  state @4 :RoomState;
}

enum RoomState {
  unknown @0;
  full @1;
  hasRoom @2;
}

enum HostStatus {
  alive @0;
  suspect @1;
  failed @2;
  leaving @3;
}

struct HostRow {
  host @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt32;
  status @3 :HostStatus;
  overloaded @4 :Bool;
  place @5 :HostPlace;  # absent where every daemon is configured with all others
}

# Where a host is and how it is reached.
struct HostPlace {
  domain @0 :Text;
  region @1 :Text;
  rpcAddress @2 :Text;
  httpAddress @3 :Text;
  callerAddress @4 :Text;
  operatorAddress @5 :Text;
  hasDisk @6 :Bool;
}

struct SummaryRow {
  domain @0 :Text;
  region @1 :Text;
  served @2 :Text;
  version @3 :UInt64;
  reporter @4 :Text;
  servers @5 :Int32;
  slots @6 :Int32;
  running @7 :Int32;
  waiting @8 :Int32;
  ageMillis @9 :UInt32;
}

# Summaries of one failure domain by one reporter. `rows` has, for each, the served name with its
# length, `newestVersion` minus the version, servers, slots, running, waiting, unread prompt tokens and
# the age in milliseconds, as numbers of variable length.
struct SummaryGroup {
  domain @0 :Text;
  region @1 :Text;
  reporter @2 :Text;
  newestVersion @3 :UInt64;
  rows @4 :Data;
  # For each row, the number of software versions of its servers, and each of them with its length.
  softwareVersions @5 :Data;
}

struct Digest {
  hostsHash @0 :UInt64;
  revision @1 :UInt64;
  newestRevision @2 :UInt64;
  newestHolder @3 :Text;
  hosts @4 :List(HostRow);
  summaries @5 :List(SummaryRow);  # read only; earlier versions sent it
  groups @6 :List(SummaryGroup);
}

struct ServedModel {
  name @0 :Text;
  adapters @1 :List(Text);
  version @2 :Text;
}

struct Announcement {
  id @0 :Text;
  incarnation @1 :UInt64;
  seq @2 :UInt64;
  isService @3 :Bool;
  domain @4 :Text;
  region @5 :Text;
  address @6 :Text;
  models @7 :List(ServedModel);
  services @8 :List(Text);
  role @9 :Text;
  capabilities @10 :List(Text);
  checksFencing @11 :Bool;
  ttlMicros @12 :UInt64;
  leaving @13 :Bool;
  loadSeq @14 :UInt64;
  running @15 :Int32;
  waiting @16 :Int32;
  slots @17 :Int32;
  prefillTokensWaiting @18 :Int64;
  coldMicros @19 :UInt64;
  softwareVersion @20 :Text;
}

# The backend servers that a host keeps on its disk.
struct ServerList {
  servers @0 :List(Announcement);
}

struct Relayed {
  announcement @0 :Announcement;
  ageMicros @1 :UInt64;  # elapsed since the server sent it, at `sentAtMicros`
}

struct Put {
  path @0 :Text;
  hasValue @1 :Bool;
  value @2 :Text;
  baseRevision @3 :UInt64;
  requestId @4 :Text;
  operatorName @5 :Text;
}

struct PutAnswer {
  errorCode @0 :Text;  # empty: applied
  message @1 :Text;
  revision @2 :UInt64;
  hasCurrent @3 :Bool;
  current @4 :Text;
}

struct SuspectNote {
  content @0 :UInt64;
  server @1 :Text;
  alone @2 :Bool;
  cleared @3 :Bool;
  losses @4 :Int32;  # in succession; 0 from an older version
  ageMillis @5 :UInt32;
  isPart @6 :Bool;  # the content is a part of a prompt
}

struct EventField {
  name @0 :Text;
  value @1 :Text;
}

struct EventEntry {
  hlc @0 :UInt64;
  event @1 :Int32;
  host @2 :Text;
  fields @3 :List(EventField);
}
