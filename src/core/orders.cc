#include "core/orders.h"

#include <algorithm>

namespace ebonylift {
namespace {

// Each host of the failure domain waits this long per live host with a lower id before it tries to
// take the lease, so that most puts have no competitor.
constexpr Duration kDelayPerRank = milliseconds(500);
constexpr Duration kPutRetryDelay = seconds(1);
// A lease is not taken over early before this fraction (1 / divisor) of it has passed. Otherwise
// two hosts that consider each other failed would replace each other continuously.
constexpr int kMinTenureDivisor = 4;

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

bool AnnouncesModel(const Announcement& server, const ModelId& model) {
  return std::any_of(server.models.begin(), server.models.end(),
                     [&](const ServedModel& served) { return served.name == model; });
}

// Returns whether the server may be executing the order, in which case it counts as loading.
bool MayBeLoading(const std::optional<OutstandingOrder>& order) {
  return order && (order->may_execute || order->awaiting_answer);
}

bool IsLive(const BackendServer& server, Time now) {
  return server.announced.kind == ServerKind::kModel && !server.announced.leaving &&
         server.expires_at > now;
}

bool HasFailedOrLeft(const RoutingView& view, const HostId& host) {
  auto found = std::find_if(view.hosts.begin(), view.hosts.end(),
                            [&](const HostEntry& entry) { return entry.id == host; });
  return found == view.hosts.end() || found->status == HostStatus::kFailed ||
         found->status == HostStatus::kLeaving;
}

// Returns the number of live hosts of the failure domain whose id is lower than this host's.
int HostRank(const RoutingView& view) {
  int rank = 0;
  for (const HostEntry& host : view.hosts) {
    if (host.domain == view.self.domain && host.status == HostStatus::kAlive &&
        host.id < view.self.host) {
      ++rank;
    }
  }
  return rank;
}

// ---- lease

void EndHeldLease(OrdererState* state, const std::string& reason,
                  std::vector<OrdererEvent>* events) {
  OrdererEvent event;
  event.kind = OrdererEventKind::kLeaseEnded;
  event.fencing = state->held->revision;
  event.reason = reason;
  events->push_back(event);
  state->held.reset();
}

// Takes the lease of another process into account. Precondition: `entry` is the newest known one.
void RecordOtherLease(OrdererState* state, const OrdererEntry& entry, Time now,
                      std::vector<OrdererEvent>* events) {
  state->seen_revision = entry.revision;
  state->seen_at = now;
  state->other_leases_end = std::max(state->other_leases_end, OtherLeaseEnd(now, entry.lease));
  if (state->held) EndHeldLease(state, "taken over by " + entry.host.value(), events);
}

void UpdateLease(OrdererState* state, const OrdererEntry* entry, Time now,
                 std::vector<OrdererEvent>* events) {
  if (state->held && now >= state->held->stop_sending_at) EndHeldLease(state, "expired", events);
  if (state->pending && now >= state->pending->first_sent + state->pending->put.lease) {
    state->pending.reset();
  }
  if (entry == nullptr || entry->revision <= state->seen_revision) return;
  // An entry of this host may come from the pending put or from an earlier process of this host.
  // The answer of the put decides which.
  if (entry->host == state->settings.self.host && state->pending) return;
  RecordOtherLease(state, *entry, now, events);
}

bool MayTakeLease(const OrdererState& state, const RoutingView& view, const OrdererEntry* entry,
                  Time now) {
  if (now < state.work_since + HostRank(view) * kDelayPerRank) return false;
  if (entry == nullptr || state.seen_revision == state.own_revision) return true;
  if (now >= OtherLeaseEnd(state.seen_at, entry->lease)) return true;
  bool holder_gone = entry->host == view.self.host || HasFailedOrLeft(view, entry->host);
  return holder_gone && now >= state.seen_at + entry->lease / kMinTenureDivisor;
}

void StartPut(OrdererState* state, const OrdererEntry* entry, Time now) {
  PendingPut pending;
  pending.put.base_revision = state->seen_revision;
  pending.put.request_id =
      "orderer/" + state->settings.process_id + "/" + std::to_string(++state->put_count);
  pending.put.lease = state->settings.lease;
  if (entry != nullptr && now < state->other_leases_end) {
    pending.put.lease = std::max(pending.put.lease, entry->lease);
  }
  pending.first_sent = now;
  pending.next_send = now;
  state->pending = pending;
}

void RequestLease(OrdererState* state, const RoutingView& view, const OrdererEntry* entry,
                  bool has_work, Time now, OrdererActions* actions) {
  if (has_work && !state->had_work) state->work_since = now;
  state->had_work = has_work;
  if (!state->pending && has_work && now >= state->next_put_at) {
    bool due = state->held ? now >= state->held->renew_at : MayTakeLease(*state, view, entry, now);
    // An entry that UpdateLease() did not take into account is one of this host.
    bool observed = entry == nullptr || entry->revision <= state->seen_revision;
    if (due && observed) StartPut(state, entry, now);
  }
  if (!state->pending || state->pending->awaiting_answer || now < state->pending->next_send) return;
  state->pending->awaiting_answer = true;
  actions->put = state->pending->put;
}

// ---- pacing

struct Candidate {
  const BackendServer* server = nullptr;
  KnownServer* known = nullptr;
  Order order;
};

struct Fleet {
  std::vector<Candidate> candidates;  // servers that need an order, by server id
  int known = 0;                      // servers seen within kServerRetention
  int serving = 0;                    // live and not loading
  int loading = 0;
  int stuck = 0;
  bool work = false;
};

void AddOrderEvent(OrdererEventKind kind, const ServerId& server, const OutstandingOrder& order,
                   Time now, std::vector<OrdererEvent>* events) {
  OrdererEvent event;
  event.kind = kind;
  event.server = server;
  event.order = order.id;
  event.duration = now - order.first_sent;
  events->push_back(event);
}

// Compares the outstanding order of a server with the order that it needs now, and removes or
// replaces the outstanding one if they differ.
void UpdateOrder(const ServerId& id, KnownServer* known, const std::optional<Order>& next,
                 uint64_t desired_revision, Time now, std::vector<OrdererEvent>* events) {
  if (!known->order) return;
  OutstandingOrder& order = *known->order;
  if (next && next->id == order.id) {
    if (order.may_execute && !order.stuck && now - order.first_sent >= kStuckOrderTimeout) {
      order.stuck = true;
      AddOrderEvent(OrdererEventKind::kStuck, id, order, now, events);
    }
    return;
  }
  bool replaced = next && desired_revision != order.desired_revision;
  if (!replaced) {
    if (MayBeLoading(order)) AddOrderEvent(OrdererEventKind::kDone, id, order, now, events);
    known->order.reset();
    return;
  }
  // The desired state changed while the order was outstanding: the new order replaces the old one.
  bool may_execute = MayBeLoading(order);
  order = OutstandingOrder();
  order.id = next->id;
  order.desired_revision = desired_revision;
  order.first_sent = now;
  order.next_send = now;
  order.may_execute = may_execute;
}

void RemoveStaleServers(ModelProgress* progress, Time now) {
  for (auto it = progress->servers.begin(); it != progress->servers.end();) {
    bool stale = now - it->second.last_seen >= kServerRetention;
    it = stale ? progress->servers.erase(it) : std::next(it);
  }
}

Fleet UpdateFleet(ModelProgress* progress, const RoutingView& view, const ModelId& model,
                  const DesiredModel& desired, Time now, std::vector<OrdererEvent>* events) {
  Fleet fleet;
  for (const BackendServer& server : view.servers) {
    const Announcement& announced = server.announced;
    if (!IsLive(server, now) || !AnnouncesModel(announced, model)) continue;
    KnownServer& known = progress->servers[announced.id];
    // A restarted server has no record of its orders.
    if (known.incarnation != announced.incarnation) known.order.reset();
    known.incarnation = announced.incarnation;
    known.last_seen = now;
    std::optional<Order> next = NextOrder(announced, model, desired);
    UpdateOrder(announced.id, &known, next, desired.revision, now, events);
    ++fleet.serving;
    if (next) fleet.candidates.push_back({&server, &known, *next});
  }
  RemoveStaleServers(progress, now);
  fleet.known = static_cast<int>(progress->servers.size());
  for (const auto& [id, known] : progress->servers) {
    if (!MayBeLoading(known.order)) continue;
    ++fleet.loading;
    if (known.order->stuck) ++fleet.stuck;
    if (known.last_seen == now) --fleet.serving;
  }
  std::sort(fleet.candidates.begin(), fleet.candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.server->announced.id < b.server->announced.id;
            });
  return fleet;
}

bool EnoughServersAvailable(const Fleet& fleet, const DesiredModel& desired) {
  return (fleet.serving - 1) * 100 >= desired.min_available_percent * fleet.known;
}

// Returns whether the model needs an order now, or after a wait that ends without an operator.
bool HasWork(const Fleet& fleet, const DesiredModel& desired) {
  if (fleet.loading > fleet.stuck) return true;
  return !fleet.candidates.empty() && fleet.stuck < desired.max_loading &&
         fleet.stuck < static_cast<int>(fleet.candidates.size()) &&
         EnoughServersAvailable(fleet, desired);
}

void AddOrder(OrdererState* state, Candidate* candidate, uint64_t desired_revision, Time now,
              OrdererActions* actions) {
  std::optional<OutstandingOrder>& sent = candidate->known->order;
  if (!sent) {
    sent.emplace();
    sent->id = candidate->order.id;
    sent->desired_revision = desired_revision;
    sent->first_sent = now;
  }
  sent->awaiting_answer = true;
  Order order = candidate->order;
  order.fencing = state->held->revision;
  order.address = candidate->server->announced.address;
  order.valid_until = state->held->stop_sending_at;
  actions->orders.push_back(std::move(order));
}

// Returns why a server that is not loading gets no order now, or an empty string if it gets one.
std::string WithholdReason(const OrdererState& state, const Candidate& candidate,
                           const Fleet& fleet, const DesiredModel& desired, Time now) {
  if (fleet.loading >= desired.max_loading) return "max_loading";
  if (!EnoughServersAvailable(fleet, desired)) return "min_available_percent";
  if (candidate.order.action == OrderAction::kLoad && now < state.rate_limited_until) {
    return "the weight store is rate limiting";
  }
  return "";
}

void AddWithheldEvent(ModelProgress* progress, const Candidate& candidate,
                      const std::string& reason, std::vector<OrdererEvent>* events) {
  // Waiting for max_loading is routine, because each finished load ends such a wait.
  if (reason == "max_loading" || !progress->reported_reasons.insert(reason).second) return;
  OrdererEvent event;
  event.kind = OrdererEventKind::kWithheld;
  event.server = candidate.server->announced.id;
  event.order = candidate.order.id;
  event.reason = reason;
  events->push_back(event);
}

void IssueOrders(OrdererState* state, ModelProgress* progress, Fleet* fleet,
                 const DesiredModel& desired, Time now, OrdererActions* actions) {
  for (Candidate& candidate : fleet->candidates) {
    const std::optional<OutstandingOrder>& sent = candidate.known->order;
    bool may_be_loading = MayBeLoading(sent);
    if (!MaySendOrder(*state, candidate.server->announced.checks_fencing, now)) {
      AddWithheldEvent(progress, candidate, "an earlier lease has not expired", &actions->events);
      // The earlier holder may have sent this server an order, so it counts as loading.
      if (!may_be_loading) {
        ++fleet->loading;
        --fleet->serving;
      }
      continue;
    }
    if (sent && (sent->awaiting_answer || sent->accepted || now < sent->next_send)) continue;
    if (!may_be_loading) {
      std::string reason = WithholdReason(*state, candidate, *fleet, desired, now);
      if (!reason.empty()) {
        AddWithheldEvent(progress, candidate, reason, &actions->events);
        continue;
      }
      ++fleet->loading;
      --fleet->serving;
    }
    AddOrder(state, &candidate, desired.revision, now, actions);
  }
}

}  // namespace

const char* OrderActionName(OrderAction action) {
  switch (action) {
    case OrderAction::kLoad:
      return "load";
    case OrderAction::kUnload:
      return "unload";
    case OrderAction::kRole:
      return "role";
  }
  return "load";
}

OrdererState MakeOrderer(const OrdererSettings& settings) {
  OrdererState state;
  state.settings = settings;
  return state;
}

Time OtherLeaseEnd(Time observed_at, Duration lease) {
  return observed_at + Scale(lease + kMaxOrderDelay, 1.0 + kMaxClockDrift);
}

bool MaySendOrder(const OrdererState& state, bool checks_fencing, Time now) {
  if (!state.held || now >= state.held->stop_sending_at) return false;
  return checks_fencing || now >= state.other_leases_end;
}

std::optional<Order> NextOrder(const Announcement& server, const ModelId& model,
                               const DesiredModel& desired) {
  const ServedModel* wanted = nullptr;
  const ServedModel* other = nullptr;
  for (const ServedModel& served : server.models) {
    if (served.name != model) continue;
    (served.version == desired.version ? wanted : other) = &served;
  }
  if (wanted == nullptr && other == nullptr) return std::nullopt;
  Order order;
  order.server = server.id;
  order.model = model;
  auto make_order = [&](OrderAction action, const std::string& version,
                        const std::string& adapter) {
    order.action = action;
    order.version = version;
    order.adapter = adapter;
    order.id = server.id.value() + "/" + std::to_string(server.incarnation) + "/" + model.value() +
               "/" + std::to_string(desired.revision) + "/" + OrderActionName(action) + "/" +
               version + "/" + adapter;
    return order;
  };
  if (wanted == nullptr) return make_order(OrderAction::kLoad, desired.version, "");
  const std::vector<std::string>& loaded = wanted->adapters;
  for (const std::string& adapter : desired.adapters) {
    if (std::find(loaded.begin(), loaded.end(), adapter) == loaded.end()) {
      return make_order(OrderAction::kLoad, desired.version, adapter);
    }
  }
  for (const std::string& adapter : loaded) {
    if (std::find(desired.adapters.begin(), desired.adapters.end(), adapter) ==
        desired.adapters.end()) {
      return make_order(OrderAction::kUnload, desired.version, adapter);
    }
  }
  if (other != nullptr) return make_order(OrderAction::kUnload, other->version, "");
  return std::nullopt;
}

OrdererActions TickOrderer(OrdererState* state, const RoutingView& view, Time now) {
  OrdererActions actions;
  const ConfigView& config = *view.config;
  // The revision of the path is unknown until the first configuration arrives.
  if (config.revision == 0) return actions;
  auto found = config.orderers.find(state->settings.self.domain);
  const OrdererEntry* entry = found == config.orderers.end() ? nullptr : &found->second;
  UpdateLease(state, entry, now, &actions.events);
  bool has_work = false;
  for (auto it = state->models.begin(); it != state->models.end();) {
    it = config.models.count(it->first) == 0 ? state->models.erase(it) : std::next(it);
  }
  for (const auto& [model, desired] : config.models) {
    ModelProgress& progress = state->models[model];
    Fleet fleet = UpdateFleet(&progress, view, model, desired, now, &actions.events);
    has_work = HasWork(fleet, desired) || has_work;
    if (state->held) IssueOrders(state, &progress, &fleet, desired, now, &actions);
  }
  RequestLease(state, view, entry, has_work, now, &actions);
  return actions;
}

void OnLeasePutOutcome(OrdererState* state, const std::string& request_id, LeasePutOutcome outcome,
                       uint64_t revision, Time now, std::vector<OrdererEvent>* events) {
  if (!state->pending || state->pending->put.request_id != request_id) return;
  if (outcome == LeasePutOutcome::kUnknown) {
    state->pending->awaiting_answer = false;
    state->pending->next_send = now + kPutRetryDelay;
    return;
  }
  PendingPut pending = *state->pending;
  state->pending.reset();
  if (outcome == LeasePutOutcome::kConflict) {
    state->next_put_at = now + kPutRetryDelay;
    return;
  }
  // Another host may have replaced the entry before the answer arrived.
  if (revision < state->seen_revision) return;
  bool is_renewal = state->held.has_value();
  state->own_revision = revision;
  state->seen_revision = revision;
  HeldLease held;
  held.revision = revision;
  held.stop_sending_at = pending.first_sent + pending.put.lease - kLeaseMargin;
  held.renew_at = pending.first_sent + pending.put.lease / 2;
  if (now >= held.stop_sending_at) return;
  state->held = held;
  if (is_renewal) return;
  OrdererEvent event;
  event.kind = OrdererEventKind::kLeaseTaken;
  event.fencing = revision;
  event.previous = pending.put.base_revision;
  event.duration = std::max(Duration{0}, state->other_leases_end - now);
  events->push_back(event);
}

void OnOrderOutcome(OrdererState* state, const Order& order, OrderOutcome outcome, Time now) {
  if (outcome == OrderOutcome::kRateLimited) {
    state->rate_limit_backoff =
        std::clamp(state->rate_limit_backoff * 2, kMinRateLimitBackoff, kMaxRateLimitBackoff);
    state->rate_limited_until = now + state->rate_limit_backoff;
  } else if (outcome == OrderOutcome::kAccepted) {
    state->rate_limit_backoff /= 2;
  }
  auto model = state->models.find(order.model);
  if (model == state->models.end()) return;
  auto server = model->second.servers.find(order.server);
  if (server == model->second.servers.end()) return;
  std::optional<OutstandingOrder>& sent = server->second.order;
  if (!sent || sent->id != order.id) return;
  sent->awaiting_answer = false;
  sent->next_send = now + kOrderRetryDelay;
  if (outcome == OrderOutcome::kAccepted) {
    sent->accepted = true;
    model->second.reported_reasons.clear();
  }
  if (outcome == OrderOutcome::kAccepted || outcome == OrderOutcome::kUnknown)
    sent->may_execute = true;
  if (outcome == OrderOutcome::kRateLimited) sent->next_send = state->rate_limited_until;
}

}  // namespace ebonylift
