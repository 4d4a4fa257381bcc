#ifndef EBONYLIFT_DAEMON_TRAFFIC_H_
#define EBONYLIFT_DAEMON_TRAFFIC_H_

// The traffic threads: each runs one HTTP server, one HTTP client and the exchanges of its
// requests. Thread 0 also drives the timers of the shared state: queue deadlines, jobs, the client
// directory.

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "adapters/http_server.h"
#include "adapters/metrics.h"
#include "daemon/dispatcher.h"
#include "daemon/record_store.h"
#include "daemon/request.h"
#include "daemon/settings.h"
#include "ports/control_port.h"

namespace ebonylift {

class AnnouncementAges;
class TrafficThread;

// What the handler of a listener may use. All methods are called on the traffic thread of the
// request.
class ListenerContext {
 public:
  virtual ~ListenerContext() = default;
  virtual asio::io_context& io() = 0;
  virtual ControlPort* control() = 0;
  // This host has a configuration of routes and is not leaving.
  virtual bool ready() const = 0;
  // Serves the request; exactly one final answer goes to the responder.
  virtual void StartExchange(RequestSpec spec, const std::shared_ptr<HttpResponder>& responder) = 0;
};

// Another address on which the traffic threads serve. The handler answers errors itself; an
// exception is answered as an internal error.
struct Listener {
  std::string address;  // ip:port
  HttpLimits limits;
  std::function<void(ListenerContext*, HttpRequest, const std::shared_ptr<HttpResponder>&)> handle;
};

struct TrafficOptions {
  Settings settings;
  std::vector<Listener> listeners;
  const Dialect* dialect = nullptr;  // of forwarded requests that are routed by host name and path
  ControlPort* control = nullptr;
  Dispatcher* dispatcher = nullptr;
  RecordStore* records = nullptr;
  Metrics* metrics = nullptr;
  std::function<void()> start_drain;  // thread safe
};

class Traffic {
 public:
  // Binds the addresses; throws Error(kInternal) when one is taken. The pointers outlive the
  // object.
  explicit Traffic(const TrafficOptions& options);
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  // Starts the threads.
  void Start();

  // Graceful shutdown, in this order; each is thread safe and returns at once.
  void BeginDrain();     // responses ask callers to close; no new jobs start; /readyz refuses
  void StopAccepting();  // new connections are refused

  // Requests without a whole answer, jobs that run here included, and connections of callers. May
  // be old by 20 ms; thread safe.
  size_t open_requests() const;
  size_t open_connections() const;

  // Ends the threads and waits for them.
  void Stop();

 private:
  std::unique_ptr<AnnouncementAges> ages_;
  std::vector<std::unique_ptr<TrafficThread>> threads_;
  std::atomic<bool> draining_{false};
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_TRAFFIC_H_
