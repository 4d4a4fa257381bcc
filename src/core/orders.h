#ifndef EBONYLIFT_CORE_ORDERS_H_
#define EBONYLIFT_CORE_ORDERS_H_

// The orderer of a failure domain: tells the domain's backend servers which model versions and
// adapters to load or unload, so that they reach the configured state. This module elects the host
// that acts as orderer, by a lease, and selects the orders that it sends.
//
// Authority
//
// The right to send orders is a lease, stored in the configuration at
// /deployment/orderers/<domain>. A host takes or renews it with a compare-and-set put based on the
// current revision of that path, so that only one of several hosts succeeds. The new revision is
// the fencing token of its orders.
// - The holder measures the lease from before it first sent the put, and sends no order in the last
//   kLeaseMargin of it. It also stops when it sees a newer entry of another host.
// - Every other host measures the lease from when it observed the entry, which is later. It
//   considers the lease expired after (lease + kMaxOrderDelay) x (1 + kMaxClockDrift).
// - A successor may take the lease over earlier if the membership reports that the holder failed or
//   is leaving. Its token is higher, so it may send orders at once to servers that check fencing
//   tokens. Servers that ignore tokens get no order before every earlier lease that this host
//   observed has expired.
// - A successor that takes over early writes a lease that is at least as long as the one it
//   replaces, so a third host that observes only the newer entry waits for both.
// - After a restart, a host does not consider any lease its own and waits like any other host.
//
// Assumptions
// - The rates of any two clocks of the deployment differ by less than kMaxClockDrift, and the
//   clocks advance while the process is stopped.
// - An order reaches its server within kMaxOrderDelay after the decision to send it, or never. The
//   sender gives up a call after kOrderTimeout, and the kernel gives up unacknowledged bytes after
//   the same time; one second remains for transit. A process that is stopped in the microseconds
//   between its last clock check and the system call that sends the order violates this assumption.
//   No clock can prevent that for a server that ignores tokens.
//
// Pacing
// - For each configured model, at most `max_loading` servers load at a time. A server gets an order
//   only while enough others serve: a loading server counts as not serving, and a lost server
//   counts as part of the fleet for another kServerRetention.
// - After a server reports that the weight store refused it with 429, no load orders are sent for a
//   time that doubles with each refusal and halves with each accepted order.
// - Order ids are the same on every host, and servers get orders by ascending server id. A
//   successor therefore first repeats the orders of its predecessor, and servers execute a repeated
//   order once.
// - A server that does not announce the result of an order within kStuckOrderTimeout is stuck and
//   still counts as loading, so a version that no server can load stops the upgrade instead of
//   taking every server out of service.
// - A model that stays blocked (a server is stuck, or too few serve) does not keep the lease, which
//   would otherwise be renewed until an operator acts.
//
// Not thread safe. Memory: one entry for each server that announced a configured model within
// kServerRetention.

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

// Quartz clocks drift by less than 0.01%. The bound leaves room for virtual machines and for
// corrections by a time service, which change the rate by at most 0.05%.
constexpr double kMaxClockDrift = 0.01;
constexpr Duration kOrderTimeout = seconds(1);
constexpr Duration kMaxOrderDelay = seconds(3);
constexpr Duration kLeaseMargin = milliseconds(500);
constexpr Duration kMinLease = milliseconds(2000);
// In 39 failure domains that upgrade for two hours a night, leases of 5 minutes, renewed at half
// their length, cause 1,872 of the 4,300 configuration changes a day. A failed orderer delays an
// upgrade by 5 minutes and delays no request.
constexpr Duration kDefaultLease = seconds(300);
constexpr Duration kServerRetention = seconds(600);
constexpr Duration kStuckOrderTimeout = seconds(600);
constexpr Duration kOrderRetryDelay = seconds(2);
constexpr Duration kMinRateLimitBackoff = seconds(1);
constexpr Duration kMaxRateLimitBackoff = seconds(64);

struct OrdererSettings {
  Identity self;
  // Unique among the processes of all hosts; part of the request ids of puts.
  std::string process_id;
  Duration lease = kDefaultLease;
};

enum class OrderAction { kLoad, kUnload, kRole };

// Returns "load", "unload" or "role".
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
  Time valid_until;  // by the clock of this host; must not be sent from this time on
};

struct LeasePut {
  uint64_t base_revision = 0;
  std::string request_id;  // the same for retries of one put
  Duration lease{0};
};

enum class OrdererEventKind {
  kLeaseTaken,  // `fencing`, `previous`, `duration`: until servers that ignore tokens get orders
  kLeaseEnded,  // `fencing`, `reason`
  kWithheld,    // `server`, `order`, `reason`
  kDone,        // `server`, `order`, `duration`: time since the order was first sent
  kStuck,       // `server`, `order`, `duration`: as for kDone
};

struct OrdererEvent {
  OrdererEventKind kind = OrdererEventKind::kLeaseTaken;
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
  std::vector<OrdererEvent> events;
};

enum class LeasePutOutcome {
  kAccepted,
  kConflict,  // lost to another put, or refused permanently
  kUnknown,   // no answer, or refused temporarily: retry the same put
};

enum class OrderOutcome {
  kAccepted,
  kRefused,
  kRateLimited,  // 429: the weight store is rate limiting
  kNotSent,      // no byte of the order was written
  kUnknown,      // the server may have executed the order
};

// ---- state: changed only by the functions below; tests may read it

struct HeldLease {
  uint64_t revision = 0;
  Time stop_sending_at;  // no orders from this time on
  Time renew_at;         // when a renewal is due
};

struct PendingPut {
  LeasePut put;
  Time first_sent;
  Time next_send;
  bool awaiting_answer = false;
};

struct OutstandingOrder {
  std::string id;
  uint64_t desired_revision = 0;
  Time first_sent;
  Time next_send;
  bool awaiting_answer = false;
  bool accepted = false;     // by the server; not sent again
  bool may_execute = false;  // accepted, or sent without a known result
  bool stuck = false;        // no result within kStuckOrderTimeout; kStuck was reported
};

struct KnownServer {
  uint64_t incarnation = 0;
  Time last_seen;
  std::optional<OutstandingOrder> order;
};

struct ModelProgress {
  std::map<ServerId, KnownServer> servers;
  std::set<std::string> reported_reasons;  // of withheld orders, since an order was accepted
};

struct OrdererState {
  OrdererSettings settings;
  uint64_t own_revision = 0;   // newest entry that an answered put of this process set; 0: none
  uint64_t seen_revision = 0;  // newest entry that was taken into account
  Time seen_at;                // when the entry of `seen_revision` was observed
  Time other_leases_end;       // when every observed lease of another process has expired
  std::optional<HeldLease> held;
  std::optional<PendingPut> pending;
  uint64_t put_count = 0;
  Time next_put_at;
  bool had_work = false;
  Time work_since;
  std::map<ModelId, ModelProgress> models;
  Duration rate_limit_backoff{0};
  Time rate_limited_until;
};

OrdererState MakeOrderer(const OrdererSettings& settings);

// Advances the state to `now` and returns what to do. Call it often: only this function gives up an
// expired lease and issues orders. The caller reports the result of a put with OnLeasePutOutcome()
// and that of each order with OnOrderOutcome().
OrdererActions TickOrderer(OrdererState* state, const RoutingView& view, Time now);

// Handles the result of a put. `revision` is that of the new entry, if the put was accepted.
void OnLeasePutOutcome(OrdererState* state, const std::string& request_id, LeasePutOutcome outcome,
                       uint64_t revision, Time now, std::vector<OrdererEvent>* events);

// Handles the result of an order.
void OnOrderOutcome(OrdererState* state, const Order& order, OrderOutcome outcome, Time now);

// Returns whether this host may send an order now to a server that checks fencing tokens
// (`checks_fencing`) or ignores them.
bool MaySendOrder(const OrdererState& state, bool checks_fencing, Time now);

// Returns when a host other than the holder considers a lease expired that it observed at
// `observed_at`.
Time OtherLeaseEnd(Time observed_at, Duration lease);

// Returns the next order that brings the server closer to the desired state, without its fencing
// token and address. Returns nullopt if the server has reached that state or does not announce the
// model.
std::optional<Order> NextOrder(const Announcement& server, const ModelId& model,
                               const DesiredModel& desired);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_ORDERS_H_
