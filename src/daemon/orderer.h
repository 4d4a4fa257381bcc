#ifndef EBONYLIFT_DAEMON_ORDERER_H_
#define EBONYLIFT_DAEMON_ORDERER_H_

// Sends orders to the backend servers of the own failure domain as core/orders.h decides. All
// methods run on the thread that runs `io`.

#include <asio/io_context.hpp>
#include <string>
#include <vector>

#include "adapters/http_client.h"
#include "core/orders.h"
#include "daemon/settings.h"
#include "ports/control_port.h"

namespace ebonylift {

class Orderer {
 public:
  // Precondition: the pointers outlive the object; the object outlives the callbacks of `control`
  // and the handlers of `io`.
  Orderer(asio::io_context* io, HttpClient* client, ControlPort* control, const Settings& settings);
  Orderer(const Orderer&) = delete;
  Orderer& operator=(const Orderer&) = delete;

  // Decides at most every 200 ms; other calls return at once.
  void Tick(const RoutingView& view, Time now);

 private:
  void Put(const LeasePut& put);
  void Send(const Order& order);
  void OnAnswer(const Order& order, const CallResult& result);
  void Log(const std::vector<OrdererNote>& notes) const;

  asio::io_context* const io_;
  HttpClient* const client_;
  ControlPort* const control_;
  OrdererState state_;
  Time next_tick_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_ORDERER_H_
