#include "daemon/orderer.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include "base/event.h"
#include "base/hash.h"

namespace ebonylift {
namespace {

using nlohmann::json;

// At this interval, checking a failure domain with 4,096 servers takes far below 1% of a core.
constexpr Duration kTickInterval = milliseconds(200);
constexpr size_t kProcessIdBytes = 8;

OrdererSettings MakeOrdererSettings(const Settings& settings) {
  OrdererSettings orderer_settings;
  orderer_settings.self = Identity{settings.host, settings.region, settings.domain};
  orderer_settings.process_id = settings.host.value() + "-" + RandomHex(kProcessIdBytes);
  orderer_settings.lease = settings.orderer_lease;
  return orderer_settings;
}

// An error that a retry of the same put cannot resolve ends the put. A new put is then based on the
// next view.
LeasePutOutcome ClassifyPutAnswer(const PutAnswer& answer) {
  if (!answer.error) return LeasePutOutcome::kAccepted;
  bool permanent =
      *answer.error == ErrorKind::kConfigConflict || *answer.error == ErrorKind::kConfigInvalid;
  return permanent ? LeasePutOutcome::kConflict : LeasePutOutcome::kUnknown;
}

OrderOutcome ClassifyOrderResult(const CallResult& result) {
  if (result.outcome == CallOutcome::kNotConnected ||
      result.outcome == CallOutcome::kNothingWritten) {
    return OrderOutcome::kNotSent;
  }
  // Only the status line is needed, so a response whose body was cut off counts as complete.
  if (result.status == 429) return OrderOutcome::kRateLimited;
  if (result.status >= 200 && result.status < 300) return OrderOutcome::kAccepted;
  if (result.status >= 400 && result.status < 500) return OrderOutcome::kRefused;
  return OrderOutcome::kUnknown;
}

// Describes why an order was not accepted, for the log.
std::string FailureReason(OrderOutcome outcome, const CallResult& result) {
  if (outcome == OrderOutcome::kRateLimited) return "the weight store is over its rate limit";
  if (outcome == OrderOutcome::kRefused)
    return "server returned status " + std::to_string(result.status);
  if (outcome == OrderOutcome::kNotSent) return "not sent: " + result.error;
  return "no response: " + result.error;
}

std::string FormatMillis(Duration duration) { return std::to_string(ToMillis(duration)); }

}  // namespace

Orderer::Orderer(asio::io_context* io, HttpClient* client, ControlPort* control,
                 const Settings& settings)
    : io_(io),
      client_(client),
      control_(control),
      state_(MakeOrderer(MakeOrdererSettings(settings))) {}

void Orderer::Tick(const RoutingView& view, Time now) {
  if (now < next_tick_) return;
  next_tick_ = now + kTickInterval;
  OrdererActions actions = TickOrderer(&state_, view, now);
  LogOrdererEvents(actions.events);
  if (actions.put) PutLease(*actions.put);
  for (const Order& order : actions.orders) SendOrder(order);
}

void Orderer::PutLease(const LeasePut& lease) {
  ConfigPut put;
  put.path = "/deployment/orderers/" + state_.settings.self.domain.value();
  put.value =
      json({{"host", state_.settings.self.host.value()}, {"lease_ms", ToMillis(lease.lease)}})
          .dump();
  put.base_revision = lease.base_revision;
  put.request_id = lease.request_id;
  put.operator_name = "ebonylift";
  control_->Put(put, [this, id = put.request_id](const PutAnswer& answer) {
    asio::post(*io_, [this, id, answer] {
      std::vector<OrdererEvent> events;
      OnLeasePutOutcome(&state_, id, ClassifyPutAnswer(answer), answer.revision, SteadyNow(),
                        &events);
      LogOrdererEvents(events);
    });
  });
}

void Orderer::SendOrder(const Order& order) {
  // The process may have been stopped since the order was decided on, so the clock is read again.
  // If it is stopped after this check, the timeout of the call applies: libcurl checks it before it
  // writes.
  Time now = SteadyNow();
  if (now >= order.valid_until) {
    OnOrderOutcome(&state_, order, OrderOutcome::kNotSent, now);
    return;
  }
  json body = {{"order_id", order.id},
               {"fencing", order.fencing},
               {"action", OrderActionName(order.action)},
               {"model", order.model.value()},
               {"adapter", order.adapter},
               {"version", order.version},
               {"role", order.role}};
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + order.address + "/v1/orders";
  call.headers = {{"Content-Type", "application/json"}};
  call.body = body.dump();
  call.connect_timeout = kOrderTimeout;
  call.timeout = kOrderTimeout;
  call.unacknowledged_timeout = kOrderTimeout;
  call.new_connection = true;
  call.on_done = [this, order](const CallResult& result) { OnOrderResult(order, result); };
  LogEvent(EventId::kServerOrderSent, {{"server", order.server.value()},
                                       {"order", order.id},
                                       {"fencing", std::to_string(order.fencing)}});
  client_->Start(std::move(call));
}

void Orderer::OnOrderResult(const Order& order, const CallResult& result) {
  OrderOutcome outcome = ClassifyOrderResult(result);
  OnOrderOutcome(&state_, order, outcome, SteadyNow());
  if (outcome == OrderOutcome::kAccepted) return;
  LogEvent(EventId::kServerOrderRefused, {{"server", order.server.value()},
                                          {"order", order.id},
                                          {"reason", FailureReason(outcome, result)}});
}

void Orderer::LogOrdererEvents(const std::vector<OrdererEvent>& events) const {
  for (const OrdererEvent& event : events) {
    switch (event.kind) {
      case OrdererEventKind::kLeaseTaken:
        LogEvent(EventId::kOrdererLeaseTaken, {{"fencing", std::to_string(event.fencing)},
                                               {"previous", std::to_string(event.previous)},
                                               {"wait_ms", FormatMillis(event.duration)}});
        break;
      case OrdererEventKind::kLeaseEnded:
        LogEvent(EventId::kOrdererLeaseEnded,
                 {{"fencing", std::to_string(event.fencing)}, {"reason", event.reason}});
        break;
      case OrdererEventKind::kWithheld:
        LogEvent(
            EventId::kServerOrderRefused,
            {{"server", event.server.value()}, {"order", event.order}, {"reason", event.reason}});
        break;
      case OrdererEventKind::kDone:
      case OrdererEventKind::kStuck:
        LogEvent(event.kind == OrdererEventKind::kDone ? EventId::kServerOrderDone
                                                       : EventId::kServerOrderStuck,
                 {{"server", event.server.value()},
                  {"order", event.order},
                  {"ms", FormatMillis(event.duration)}});
        break;
    }
  }
}

}  // namespace ebonylift
