#ifndef EBONYLIFT_CORE_ORDERS_H_
#define EBONYLIFT_CORE_ORDERS_H_

// Decides which host of a failure domain sends orders to its backend servers, and which orders.
//
// Authority. The right to order is a lease in the configuration (/deployment/orderers/<domain>). A
// host takes or renews it by a put whose base is the current revision of that path, so of several
// hosts one succeeds; the new revision is the fencing token of its orders.
// - The holder counts the lease from before it first sent the put, and sends no order in the last
//   kLeaseMargin of it. It also stops when it sees a newer entry of another host.
// - Every other host counts from when it learned of the entry, which is later than that. It treats
//   the lease as over after lease x (1 + kMaxClockDrift) + kOrderFlightBound.
// - A successor may take the entry over earlier when the membership reports that the holder failed
//   or leaves. Its token is higher, so servers that check tokens get orders at once; servers that
//   ignore tokens get none before every earlier lease that this host learned of is over.
// - A successor that takes over early writes a lease that is no shorter than the one it replaces. A
//   third host that learns only of the newer entry therefore waits for both.
// - After a restart a host knows no lease as its own and waits like any other host.
//
// What this rests on: the rates of two clocks of the deployment differ by less than kMaxClockDrift
// and the clocks count while the process is stopped; an order reaches its server within
// kOrderFlightBound after the decision to send it, or never. The sender gives up a call after
// kOrderTimeout and the kernel gives up unacknowledged bytes after the same time; one second is
// left for transit. A process that is stopped in the microseconds between the last check of the
// clock and the system call that sends the order breaks the second assumption; no clock can close
// this gap for a server that ignores tokens.
//
// Pacing. For each model of the configuration at most `max_loading` servers load at a time, and a
// server is ordered to load only while enough others serve: a loading server counts as not serving,
// and servers that were lost within kForgetServer still count as part of the fleet. When a server
// reports that the weight store refused with 429, no load is ordered for a time that doubles with
// each refusal. Order ids are the same on every host and servers are taken in order of their ids,
// so a successor first repeats the orders of its predecessor, which servers execute once.
//
// Not thread safe. Memory: one entry for each server that announced a model of the configuration
// within kForgetServer.
//
// A server that does not announce the result within kStuckOrder keeps its place among the loading
// servers, so a version that no server can load stops the upgrade instead of taking every server. A
// model whose next order is withheld for good (a stuck server, too few serving) does not keep the
// lease: renewals would go on until a person acts.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "ports/views.h"

namespace ebonylift {

// Quartz clocks drift by less than 0.01%; the bound leaves room for virtual machines and for
// corrections by a time service, which change the rate by at most 0.05%.
constexpr double kMaxClockDrift = 0.01;
constexpr Duration kOrderTimeout = seconds(1);
constexpr Duration kOrderFlightBound = seconds(3);
constexpr Duration kLeaseMargin = milliseconds(500);
constexpr Duration kMinLease = milliseconds(2000);
// With 39 failure domains that upgrade for two hours a night, leases of 5 minutes that are renewed
// at half their length are 1,872 of the 4,300 configuration changes a day; a failed orderer delays
// an upgrade by 5 minutes and no request.
constexpr Duration kDefaultLease = seconds(300);
constexpr Duration kForgetServer = seconds(600);
constexpr Duration kStuckOrder = seconds(600);
constexpr Duration kOrderRetry = seconds(2);
constexpr Duration kMinBusyPause = seconds(1);
constexpr Duration kMaxBusyPause = seconds(64);

struct OrdererSettings {
  Identity self;
  std::string process_id;  // unique among the processes of all hosts; part of the put request ids
  Duration lease = kDefaultLease;
};

enum class OrderAction { kLoad, kUnload, kRole };

// "load", "unload" or "role".
const char* OrderActionName(OrderAction action);

struct Order {
  std::string id;
  uint64_t fencing = 0;
  ServerId server;
  std::string address;  // host:port
  OrderAction action = OrderAction::kLoad;
  ModelId model;
  std::string adapter;
  std::string version;
  std::string role;
  Time valid_until;  // by the clock of this host; not sent from this time on
};

struct LeasePut {
  uint64_t base_revision = 0;
  std::string request_id;  // equal for repetitions of one put
  Duration lease{0};
};

enum class OrdererNoteKind {
  kLeaseTaken,  // `fencing`, `previous`, `duration`: wait for servers that ignore tokens
  kLeaseEnded,  // `fencing`, `reason`
  kWithheld,    // `server`, `order`, `reason`
  kDone,        // `server`, `order`, `duration`: since the order was first sent
  kStuck,       // `server`, `order`, `duration`
};

struct OrdererNote {
  OrdererNoteKind kind = OrdererNoteKind::kLeaseTaken;
  uint64_t fencing = 0;
  uint64_t previous = 0;
  ServerId server;
  std::string order;
  std::string reason;
  Duration duration{0};
};

struct OrdererActions {
  std::optional<LeasePut> put;
  std::vector<Order> orders;
  std::vector<OrdererNote> notes;
};

enum class PutEnd {
  kAccepted,
  kConflict,  // or refused for good
  kUnknown,   // no answer, or refused for now: repeat the same put
};

enum class OrderEnd {
  kAccepted,
  kRefused,
  kBusy,     // 429: the weight store is over its rate
  kNotSent,  // no byte was written
  kUnknown,  // may have been executed
};

// ---- state; tests may read it, the functions below change it

struct HeldLease {
  uint64_t revision = 0;
  Time stops;   // no order from this time on
  Time renews;  // a renewal is due
};

struct PendingPut {
  LeasePut put;
  Time first_sent;
  Time next_send;
  bool waiting = false;  // for the answer
};

struct ServerOrder {
  std::string id;
  uint64_t desired_revision = 0;
  Time first_sent;
  Time next_send;
  bool waiting = false;   // for the answer
  bool accepted = false;  // not sent again
  bool may_run = false;   // accepted, or sent without a known result
  bool stuck = false;     // reported
};

struct KnownServer {
  uint64_t incarnation = 0;
  Time last_seen;
  std::optional<ServerOrder> order;
};

struct ModelProgress {
  std::map<ServerId, KnownServer> servers;
  std::set<std::string> withheld;  // the reasons reported since an order was accepted
};

struct OrdererState {
  OrdererSettings settings;
  uint64_t own_revision = 0;   // newest entry that an answered put of this process set; 0: none
  uint64_t seen_revision = 0;  // newest entry of the path that was counted
  Time seen_at;                // when it was learned of
  Time others_end;             // every known lease of another process is over
  std::optional<HeldLease> held;
  std::optional<PendingPut> pending;
  uint64_t puts = 0;
  Time next_attempt;
  bool had_work = false;
  Time work_since;
  std::map<ModelId, ModelProgress> models;
  Duration busy_pause{0};
  Time busy_until;
};

OrdererState MakeOrderer(const OrdererSettings& settings);

// Advances the state to `now` and returns what to do. Call often: a lease is given up and a server
// is ordered only here. The caller answers a put by OnPutEnd() and each order by OnOrderEnd().
OrdererActions TickOrderer(OrdererState* state, const RoutingView& view, Time now);

// `revision`: of the new entry, when accepted.
void OnPutEnd(OrdererState* state, const std::string& request_id, PutEnd end, uint64_t revision,
              Time now, std::vector<OrdererNote>* notes);

void OnOrderEnd(OrdererState* state, const Order& order, OrderEnd end, Time now);

// Whether an order with this token may be sent now to a server of this kind.
bool MayOrder(const OrdererState& state, bool checks_fencing, Time now);

// When a lease that was learned of at `learned` is over for every host but its holder.
Time EndOfOtherLease(Time learned, Duration lease);

// The next order that brings the server to the desired state, without token and address; nullopt
// when it is there or does not announce the model.
std::optional<Order> NextOrder(const Announcement& server, const ModelId& model,
                               const DesiredModel& desired);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_ORDERS_H_
