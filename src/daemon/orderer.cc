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
PutEnd ClassifyPutAnswer(const PutAnswer& answer) {
  if (!answer.error) return PutEnd::kAccepted;
  bool permanent =
      *answer.error == ErrorKind::kConfigConflict || *answer.error == ErrorKind::kConfigInvalid;
  return permanent ? PutEnd::kConflict : PutEnd::kUnknown;
}

OrderEnd ClassifyOrderResult(const CallResult& result) {
  if (result.outcome == CallOutcome::kNotConnected ||
      result.outcome == CallOutcome::kNothingWritten) {
    return OrderEnd::kNotSent;
  }
  // Only the status line is needed, so a response whose body was cut off counts as complete.
  if (result.status == 429) return OrderEnd::kBusy;
  if (result.status >= 200 && result.status < 300) return OrderEnd::kAccepted;
  if (result.status >= 400 && result.status < 500) return OrderEnd::kRefused;
  return OrderEnd::kUnknown;
}

// Describes why an order was not accepted, for the log.
std::string FailureReason(OrderEnd end, const CallResult& result) {
  if (end == OrderEnd::kBusy) return "the weight store is over its rate limit";
  if (end == OrderEnd::kRefused) return "server returned status " + std::to_string(result.status);
  if (end == OrderEnd::kNotSent) return "not sent: " + result.error;
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
  LogNotes(actions.notes);
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
      std::vector<OrdererNote> notes;
      OnPutEnd(&state_, id, ClassifyPutAnswer(answer), answer.revision, SteadyNow(), &notes);
      LogNotes(notes);
    });
  });
}

void Orderer::SendOrder(const Order& order) {
  // The process may have been stopped since the order was decided on, so the clock is read again.
  // If it is stopped after this check, the timeout of the call applies: libcurl checks it before it
  // writes.
  Time now = SteadyNow();
  if (now >= order.valid_until) {
    OnOrderEnd(&state_, order, OrderEnd::kNotSent, now);
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
  OrderEnd end = ClassifyOrderResult(result);
  OnOrderEnd(&state_, order, end, SteadyNow());
  if (end == OrderEnd::kAccepted) return;
  LogEvent(EventId::kServerOrderRefused, {{"server", order.server.value()},
                                          {"order", order.id},
                                          {"reason", FailureReason(end, result)}});
}

void Orderer::LogNotes(const std::vector<OrdererNote>& notes) const {
  for (const OrdererNote& note : notes) {
    switch (note.kind) {
      case OrdererNoteKind::kLeaseTaken:
        LogEvent(EventId::kOrdererLeaseTaken, {{"fencing", std::to_string(note.fencing)},
                                               {"previous", std::to_string(note.previous)},
                                               {"wait_ms", FormatMillis(note.duration)}});
        break;
      case OrdererNoteKind::kLeaseEnded:
        LogEvent(EventId::kOrdererLeaseEnded,
                 {{"fencing", std::to_string(note.fencing)}, {"reason", note.reason}});
        break;
      case OrdererNoteKind::kWithheld:
        LogEvent(EventId::kServerOrderRefused,
                 {{"server", note.server.value()}, {"order", note.order}, {"reason", note.reason}});
        break;
      case OrdererNoteKind::kDone:
      case OrdererNoteKind::kStuck:
        LogEvent(note.kind == OrdererNoteKind::kDone ? EventId::kServerOrderDone
                                                     : EventId::kServerOrderStuck,
                 {{"server", note.server.value()},
                  {"order", note.order},
                  {"ms", FormatMillis(note.duration)}});
        break;
    }
  }
}

}  // namespace ebonylift
