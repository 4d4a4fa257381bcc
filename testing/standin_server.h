#ifndef EBONYLIFT_TESTING_STANDIN_SERVER_H_
#define EBONYLIFT_TESTING_STANDIN_SERVER_H_

// The common part of the HTTP stand-ins: the listener with its injected faults, the run record, the
// paths below /standin/, announcements and graceful shutdown. All methods run on the thread of
// `io`.

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "testing/announcer.h"
#include "testing/faults.h"
#include "testing/listener.h"
#include "testing/run_record.h"

namespace ebonylift::standin {

// The functions that a particular stand-in provides. All but `handle_request` may be empty.
struct StandinHooks {
  HttpHandler handle_request;                         // serves requests outside /standin/
  std::function<nlohmann::json()> state_json;         // for GET /standin/state
  std::function<void()> on_fault_change;              // called after faults were set or cleared
  std::function<nlohmann::json()> make_announcement;  // empty: nothing is announced
  std::function<Load()> measure_load;                 // required with `make_announcement`
  // Called after SIGTERM, once the leaving announcement was sent; must end in Stop(). Empty:
  // Stop().
  std::function<void()> on_leaving_announced;
};

class StandinServer {
 public:
  // Reads the shared flags. Throws Error when an address cannot be bound or the record file cannot
  // be opened.
  StandinServer(asio::io_context& io, StandinHooks hooks);
  ~StandinServer();

  // Starts the announcements, prints the listening address and runs `io` until Stop().
  void Run();
  void Stop();

  // Stops accepting connections. Open ones continue.
  void StopAccepting();

  Faults& faults() { return faults_; }
  RunRecord& record() { return record_; }
  Announcer& announcer() { return *announcer_; }
  std::string address() const { return listener_->address(); }

 private:
  void Handle(HttpRequest request, const std::shared_ptr<HttpResponder>& responder);
  void HandleControl(const HttpRequest& request, HttpResponder& responder);
  void SetFaults(const std::string& body);
  void Terminate();

  asio::io_context& io_;
  StandinHooks hooks_;
  Faults faults_;
  RunRecord record_;
  std::unique_ptr<Listener> listener_;
  std::unique_ptr<Announcer> announcer_;
  asio::signal_set signals_;
};

// Sends {"error":{"message","type","code"}} with the status.
void SendError(HttpResponder& responder, int status, const std::string& code,
               const std::string& message);

void SendJson(HttpResponder& responder, int status, const nlohmann::json& body);

// Returns an announcement whose fields are set from the shared flags or empty. `address` is
// announced when --advertise is empty.
nlohmann::json AnnouncementFromFlags(const std::string& address);

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_STANDIN_SERVER_H_
