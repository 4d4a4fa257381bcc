#ifndef EBONYLIFT_DAEMON_ORDERER_H_
#define EBONYLIFT_DAEMON_ORDERER_H_

// Sends orders (load, unload, change of role) to the backend servers of this host's failure domain.
// core/orders.h decides which host of the failure domain sends them, and which orders are sent;
// this class does the I/O for it. All methods run on the thread that runs `io`.

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
  // Precondition: `io`, `client` and `control` outlive this object, and this object outlives the
  // callbacks of `control` and the handlers of `io`.
  Orderer(asio::io_context* io, HttpClient* client, ControlPort* control, const Settings& settings);
  Orderer(const Orderer&) = delete;
  Orderer& operator=(const Orderer&) = delete;

  // Renews or takes the lease and sends the orders that are due. Does so at most every 200 ms;
  // calls in between return at once.
  void Tick(const RoutingView& view, Time now);

 private:
  void PutLease(const LeasePut& lease);
  void SendOrder(const Order& order);
  void OnOrderResult(const Order& order, const CallResult& result);
  void LogOrdererEvents(const std::vector<OrdererEvent>& events) const;

  asio::io_context* const io_;
  HttpClient* const client_;
  ControlPort* const control_;
  OrdererState state_;
  Time next_tick_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_ORDERER_H_
