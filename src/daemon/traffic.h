#ifndef EBONYLIFT_DAEMON_TRAFFIC_H_
#define EBONYLIFT_DAEMON_TRAFFIC_H_

// Traffic: the pool of threads that serve HTTP requests.
//
// Each thread runs its own event loop with HTTP servers, an HTTP client and the exchanges of the
// requests it received. Thread 0 also runs the periodic work on shared state: queue deadlines,
// batch jobs, record expiry and publication of the entry-host directory.

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "adapters/http_server.h"
#include "adapters/metrics.h"
#include "core/drain.h"
#include "daemon/dispatcher.h"
#include "daemon/record_store.h"
#include "daemon/request.h"
#include "daemon/settings.h"
#include "daemon/stream_origin_table.h"
#include "ports/control_port.h"

namespace ebonylift {

class AnnouncementDelayEstimator;
class TrafficThread;

// Services available to the request handler of a Listener. Call all methods on the traffic thread
// that received the request.
class ListenerContext {
 public:
  virtual ~ListenerContext() = default;
  virtual asio::io_context& io() = 0;
  virtual ControlPort* control() = 0;
  // Returns true if this host has an ingress configuration and is not draining.
  virtual bool ready() const = 0;
  // Counts a request that was refused before its exchange was started.
  virtual void CountRefusal(ErrorKind kind) = 0;
  // Processes the request asynchronously. Sends exactly one final response to `responder`.
  virtual void StartExchange(RequestSpec spec, const std::shared_ptr<HttpResponder>& responder) = 0;
};

// An additional address on which every traffic thread accepts connections. `handle` must send error
// responses itself; an exception that escapes it produces an internal-error response.
struct Listener {
  std::string address;  // ip:port
  HttpLimits limits;
  // Requests that arrive while the process starts wait for the configuration; see
  // kMaxStartHoldTime.
  bool waits_for_configuration = false;
  std::function<void(ListenerContext*, HttpRequest, const std::shared_ptr<HttpResponder>&)> handle;
};

struct TrafficOptions {
  Settings settings;
  std::vector<Listener> listeners;
  const Dialect* dialect = nullptr;  // for forwarded ingress requests; may be null
  ControlPort* control = nullptr;
  Dispatcher* dispatcher = nullptr;
  RecordStore* records = nullptr;
  StreamOriginTable* stream_origins = nullptr;
  Metrics* metrics = nullptr;
  std::function<void()> start_drain;  // starts a graceful shutdown; thread safe
};

class Traffic {
 public:
  // Binds all addresses. Throws Error(kInternal) if one is already in use. The pointers in
  // `options` must outlive this object.
  explicit Traffic(const TrafficOptions& options);
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  void Start();

  // The steps of a graceful shutdown, in calling order. Thread safe; they return immediately.
  // /readyz fails, no new jobs start, connections close after a response, and late requests are
  // refused.
  void BeginDrain(const DrainTimes& drain);
  void StopAccepting();  // refuses new connections
  void EndRequests();    // answers the open requests, which then have no more time

  // Number of requests without a complete response, including jobs running on this host, and number
  // of caller connections. The counts may be up to 20 ms out of date. Thread safe.
  size_t open_requests() const;
  size_t open_connections() const;

  // Stops the event loops and joins the threads.
  void Stop();

 private:
  std::unique_ptr<AnnouncementDelayEstimator> delay_estimator_;
  std::vector<std::unique_ptr<TrafficThread>> threads_;
  std::atomic<bool> draining_{false};
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_TRAFFIC_H_
