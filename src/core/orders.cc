#include "core/orders.h"

#include <algorithm>

namespace ebonylift {
namespace {

// Hosts try one after the other, so that most puts find no competitor.
constexpr Duration kRankDelay = milliseconds(500);
constexpr Duration kPutRetry = seconds(1);
// An entry that is younger than this part of its lease is not taken over early: two hosts that
// consider each other failed would otherwise replace each other without pause.
constexpr int kMinTenureParts = 4;

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

bool Announces(const Announcement& server, const ModelId& model) {
  return std::any_of(server.models.begin(), server.models.end(),
                     [&](const ServedModel& served) { return served.name == model; });
}

// Whether the server may be loading because of the order.
bool TakesPlace(const std::optional<ServerOrder>& order) {
  return order && (order->may_run || order->waiting);
}

bool IsLive(const BackendServer& server, Time now) {
  return server.announced.kind == ServerKind::kModel && !server.announced.leaving &&
         server.expires_at > now;
}

bool IsGone(const RoutingView& view, const HostId& host) {
  auto found = std::find_if(view.hosts.begin(), view.hosts.end(),
                            [&](const HostEntry& entry) { return entry.id == host; });
  return found == view.hosts.end() || found->status == HostStatus::kFailed ||
         found->status == HostStatus::kLeaving;
}

// The number of live hosts of the failure domain that come before this one.
int RankOf(const RoutingView& view) {
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

void EndHeld(OrdererState* state, const std::string& reason, std::vector<OrdererNote>* notes) {
  OrdererNote note;
  note.kind = OrdererNoteKind::kLeaseEnded;
  note.fencing = state->held->revision;
  note.reason = reason;
  notes->push_back(note);
  state->held.reset();
}

// Counts an entry of another process. Precondition: `entry` is the newest known one.
void CountOther(OrdererState* state, const OrdererEntry& entry, Time now,
                std::vector<OrdererNote>* notes) {
  state->seen_revision = entry.revision;
  state->seen_at = now;
  state->others_end = std::max(state->others_end, EndOfOtherLease(now, entry.lease));
  if (state->held) EndHeld(state, "taken over by " + entry.host.value(), notes);
}

void UpdateLease(OrdererState* state, const OrdererEntry* entry, Time now,
                 std::vector<OrdererNote>* notes) {
  if (state->held && now >= state->held->stops) EndHeld(state, "expired", notes);
  if (state->pending && now >= state->pending->first_sent + state->pending->put.lease) {
    state->pending.reset();
  }
  if (entry == nullptr || entry->revision <= state->seen_revision) return;
  // An entry of this host that the pending put may have set is judged by the answer of the put. It
  // cannot be told from an entry of an earlier process of this host.
  if (entry->host == state->settings.self.host && state->pending) return;
  CountOther(state, *entry, now, notes);
}

bool MayTake(const OrdererState& state, const RoutingView& view, const OrdererEntry* entry,
             Time now) {
  if (now < state.work_since + RankOf(view) * kRankDelay) return false;
  if (entry == nullptr || state.seen_revision == state.own_revision) return true;
  if (now >= EndOfOtherLease(state.seen_at, entry->lease)) return true;
  bool gone = entry->host == view.self.host || IsGone(view, entry->host);
  return gone && now >= state.seen_at + entry->lease / kMinTenureParts;
}

void ProposePut(OrdererState* state, const OrdererEntry* entry, Time now) {
  PendingPut pending;
  pending.put.base_revision = state->seen_revision;
  pending.put.request_id =
      "orderer/" + state->settings.process_id + "/" + std::to_string(++state->puts);
  pending.put.lease = state->settings.lease;
  if (entry != nullptr && now < state->others_end) {
    pending.put.lease = std::max(pending.put.lease, entry->lease);
  }
  pending.first_sent = now;
  pending.next_send = now;
  state->pending = pending;
}

void AskForLease(OrdererState* state, const RoutingView& view, const OrdererEntry* entry,
                 bool has_work, Time now, OrdererActions* actions) {
  if (has_work && !state->had_work) state->work_since = now;
  state->had_work = has_work;
  if (!state->pending && has_work && now >= state->next_attempt) {
    bool due = state->held ? now >= state->held->renews : MayTake(*state, view, entry, now);
    // An entry that was not counted yet is of this host; see UpdateLease().
    bool counted = entry == nullptr || entry->revision <= state->seen_revision;
    if (due && counted) ProposePut(state, entry, now);
  }
  if (!state->pending || state->pending->waiting || now < state->pending->next_send) return;
  state->pending->waiting = true;
  actions->put = state->pending->put;
}

// ---- pacing

struct Candidate {
  const BackendServer* server = nullptr;
  KnownServer* known = nullptr;
  Order order;
};

struct Fleet {
  std::vector<Candidate> candidates;  // by server id
  int known = 0;
  int serving = 0;  // live and not loading
  int loading = 0;
  int stuck = 0;
  bool work = false;
};

void NoteOrder(OrdererNoteKind kind, const ServerId& server, const ServerOrder& order, Time now,
               std::vector<OrdererNote>* notes) {
  OrdererNote note;
  note.kind = kind;
  note.server = server;
  note.order = order.id;
  note.duration = now - order.first_sent;
  notes->push_back(note);
}

// Compares the outstanding order of a server with the one that it needs now.
void UpdateOrder(const ServerId& id, KnownServer* known, const std::optional<Order>& next,
                 uint64_t desired_revision, Time now, std::vector<OrdererNote>* notes) {
  if (!known->order) return;
  ServerOrder& order = *known->order;
  if (next && next->id == order.id) {
    if (order.may_run && !order.stuck && now - order.first_sent >= kStuckOrder) {
      order.stuck = true;
      NoteOrder(OrdererNoteKind::kStuck, id, order, now, notes);
    }
    return;
  }
  bool replaced = next && desired_revision != order.desired_revision;
  if (!replaced) {
    if (TakesPlace(order)) NoteOrder(OrdererNoteKind::kDone, id, order, now, notes);
    known->order.reset();
    return;
  }
  // The desired state changed while the server loads: the new order takes the place of the old one.
  bool may_run = TakesPlace(order);
  order = ServerOrder();
  order.id = next->id;
  order.desired_revision = desired_revision;
  order.first_sent = now;
  order.next_send = now;
  order.may_run = may_run;
}

void ForgetServers(ModelProgress* progress, Time now) {
  for (auto it = progress->servers.begin(); it != progress->servers.end();) {
    bool old = now - it->second.last_seen >= kForgetServer;
    it = old ? progress->servers.erase(it) : std::next(it);
  }
}

Fleet Survey(ModelProgress* progress, const RoutingView& view, const ModelId& model,
             const DesiredModel& desired, Time now, std::vector<OrdererNote>* notes) {
  Fleet fleet;
  for (const BackendServer& server : view.servers) {
    const Announcement& announced = server.announced;
    if (!IsLive(server, now) || !Announces(announced, model)) continue;
    KnownServer& known = progress->servers[announced.id];
    // A restarted server has forgotten its orders.
    if (known.incarnation != announced.incarnation) known.order.reset();
    known.incarnation = announced.incarnation;
    known.last_seen = now;
    std::optional<Order> next = NextOrder(announced, model, desired);
    UpdateOrder(announced.id, &known, next, desired.revision, now, notes);
    ++fleet.serving;
    if (next) fleet.candidates.push_back({&server, &known, *next});
  }
  ForgetServers(progress, now);
  fleet.known = static_cast<int>(progress->servers.size());
  for (const auto& [id, known] : progress->servers) {
    if (!TakesPlace(known.order)) continue;
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

bool EnoughServe(const Fleet& fleet, const DesiredModel& desired) {
  return (fleet.serving - 1) * 100 >= desired.min_available_percent * fleet.known;
}

// Whether the model has something to order now or after a wait that ends on its own.
bool HasWork(const Fleet& fleet, const DesiredModel& desired) {
  if (fleet.loading > fleet.stuck) return true;
  return !fleet.candidates.empty() && fleet.stuck < desired.max_loading &&
         fleet.stuck < static_cast<int>(fleet.candidates.size()) && EnoughServe(fleet, desired);
}

void Send(OrdererState* state, Candidate* candidate, uint64_t desired_revision, Time now,
          OrdererActions* actions) {
  std::optional<ServerOrder>& sent = candidate->known->order;
  if (!sent) {
    sent.emplace();
    sent->id = candidate->order.id;
    sent->desired_revision = desired_revision;
    sent->first_sent = now;
  }
  sent->waiting = true;
  Order order = candidate->order;
  order.fencing = state->held->revision;
  order.address = candidate->server->announced.address;
  order.valid_until = state->held->stops;
  actions->orders.push_back(std::move(order));
}

// The reason why a server that does not load yet gets no order now; empty when it gets one.
std::string ReasonToWait(const OrdererState& state, const Candidate& candidate, const Fleet& fleet,
                         const DesiredModel& desired, Time now) {
  if (fleet.loading >= desired.max_loading) return "max_loading";
  if (!EnoughServe(fleet, desired)) return "min_available_percent";
  if (candidate.order.action == OrderAction::kLoad && now < state.busy_until) {
    return "the weight store is over its rate";
  }
  return "";
}

void Withhold(ModelProgress* progress, const Candidate& candidate, const std::string& reason,
              std::vector<OrdererNote>* notes) {
  // Each finished load ends one wait for max_loading, which is no news.
  if (reason == "max_loading" || !progress->withheld.insert(reason).second) return;
  OrdererNote note;
  note.kind = OrdererNoteKind::kWithheld;
  note.server = candidate.server->announced.id;
  note.order = candidate.order.id;
  note.reason = reason;
  notes->push_back(note);
}

void OrderServers(OrdererState* state, ModelProgress* progress, Fleet* fleet,
                  const DesiredModel& desired, Time now, OrdererActions* actions) {
  for (Candidate& candidate : fleet->candidates) {
    const std::optional<ServerOrder>& sent = candidate.known->order;
    bool loads = TakesPlace(sent);
    if (!MayOrder(*state, candidate.server->announced.checks_fencing, now)) {
      Withhold(progress, candidate, "an earlier lease is not over", &actions->notes);
      // The earlier holder may have ordered this server, so it takes a place.
      if (!loads) {
        ++fleet->loading;
        --fleet->serving;
      }
      continue;
    }
    if (sent && (sent->waiting || sent->accepted || now < sent->next_send)) continue;
    if (!loads) {
      std::string reason = ReasonToWait(*state, candidate, *fleet, desired, now);
      if (!reason.empty()) {
        Withhold(progress, candidate, reason, &actions->notes);
        continue;
      }
      ++fleet->loading;
      --fleet->serving;
    }
    Send(state, &candidate, desired.revision, now, actions);
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

Time EndOfOtherLease(Time learned, Duration lease) {
  return learned + Scaled(lease + kOrderFlightBound, 1.0 + kMaxClockDrift);
}

bool MayOrder(const OrdererState& state, bool checks_fencing, Time now) {
  if (!state.held || now >= state.held->stops) return false;
  return checks_fencing || now >= state.others_end;
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
  auto named = [&](OrderAction action, const std::string& version, const std::string& adapter) {
    order.action = action;
    order.version = version;
    order.adapter = adapter;
    order.id = server.id.value() + "/" + std::to_string(server.incarnation) + "/" + model.value() +
               "/" + std::to_string(desired.revision) + "/" + OrderActionName(action) + "/" +
               version + "/" + adapter;
    return order;
  };
  if (wanted == nullptr) return named(OrderAction::kLoad, desired.version, "");
  const std::vector<std::string>& loaded = wanted->adapters;
  for (const std::string& adapter : desired.adapters) {
    if (std::find(loaded.begin(), loaded.end(), adapter) == loaded.end()) {
      return named(OrderAction::kLoad, desired.version, adapter);
    }
  }
  for (const std::string& adapter : loaded) {
    if (std::find(desired.adapters.begin(), desired.adapters.end(), adapter) ==
        desired.adapters.end()) {
      return named(OrderAction::kUnload, desired.version, adapter);
    }
  }
  if (other != nullptr) return named(OrderAction::kUnload, other->version, "");
  return std::nullopt;
}

OrdererActions TickOrderer(OrdererState* state, const RoutingView& view, Time now) {
  OrdererActions actions;
  const ConfigView& config = *view.config;
  // Before the first configuration the revision of the path is unknown.
  if (config.revision == 0) return actions;
  auto found = config.orderers.find(state->settings.self.domain);
  const OrdererEntry* entry = found == config.orderers.end() ? nullptr : &found->second;
  UpdateLease(state, entry, now, &actions.notes);
  bool has_work = false;
  for (auto it = state->models.begin(); it != state->models.end();) {
    it = config.models.count(it->first) == 0 ? state->models.erase(it) : std::next(it);
  }
  for (const auto& [model, desired] : config.models) {
    ModelProgress& progress = state->models[model];
    Fleet fleet = Survey(&progress, view, model, desired, now, &actions.notes);
    has_work = HasWork(fleet, desired) || has_work;
    if (state->held) OrderServers(state, &progress, &fleet, desired, now, &actions);
  }
  AskForLease(state, view, entry, has_work, now, &actions);
  return actions;
}

void OnPutEnd(OrdererState* state, const std::string& request_id, PutEnd end, uint64_t revision,
              Time now, std::vector<OrdererNote>* notes) {
  if (!state->pending || state->pending->put.request_id != request_id) return;
  if (end == PutEnd::kUnknown) {
    state->pending->waiting = false;
    state->pending->next_send = now + kPutRetry;
    return;
  }
  PendingPut pending = *state->pending;
  state->pending.reset();
  if (end == PutEnd::kConflict) {
    state->next_attempt = now + kPutRetry;
    return;
  }
  // Another host may have replaced the entry before the answer arrived.
  if (revision < state->seen_revision) return;
  bool renewed = state->held.has_value();
  state->own_revision = revision;
  state->seen_revision = revision;
  HeldLease held;
  held.revision = revision;
  held.stops = pending.first_sent + pending.put.lease - kLeaseMargin;
  held.renews = pending.first_sent + pending.put.lease / 2;
  if (now >= held.stops) return;
  state->held = held;
  if (renewed) return;
  OrdererNote note;
  note.kind = OrdererNoteKind::kLeaseTaken;
  note.fencing = revision;
  note.previous = pending.put.base_revision;
  note.duration = std::max(Duration{0}, state->others_end - now);
  notes->push_back(note);
}

void OnOrderEnd(OrdererState* state, const Order& order, OrderEnd end, Time now) {
  if (end == OrderEnd::kBusy) {
    state->busy_pause = std::clamp(state->busy_pause * 2, kMinBusyPause, kMaxBusyPause);
    state->busy_until = now + state->busy_pause;
  } else if (end == OrderEnd::kAccepted) {
    state->busy_pause /= 2;
  }
  auto model = state->models.find(order.model);
  if (model == state->models.end()) return;
  auto server = model->second.servers.find(order.server);
  if (server == model->second.servers.end()) return;
  std::optional<ServerOrder>& sent = server->second.order;
  if (!sent || sent->id != order.id) return;
  sent->waiting = false;
  sent->next_send = now + kOrderRetry;
  if (end == OrderEnd::kAccepted) {
    sent->accepted = true;
    model->second.withheld.clear();
  }
  if (end == OrderEnd::kAccepted || end == OrderEnd::kUnknown) sent->may_run = true;
  if (end == OrderEnd::kBusy) sent->next_send = state->busy_until;
}

}  // namespace ebonylift
