#ifndef EBONYLIFT_TESTING_STANDIN_SERVER_H_
#define EBONYLIFT_TESTING_STANDIN_SERVER_H_

// What all HTTP stand-ins have in common: the listener with its fault switches, the record, the
// paths below /standin/, announcing and the planned stop. All methods run on the thread of `io`.

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

struct StandinHooks {
  HttpHandler work;                          // requests outside /standin/
  std::function<nlohmann::json()> state;     // for GET /standin/state
  std::function<void()> on_fault_change;     // after the switches changed; may be empty
  std::function<nlohmann::json()> describe;  // the announcement; empty: announces nothing
  std::function<Load()> measure;
  std::function<void()> on_terminate;  // SIGTERM, after leaving was announced
};

class StandinServer {
 public:
  // Reads the shared flags. Throws Error when an address or the record file cannot be opened.
  StandinServer(asio::io_context& io, StandinHooks hooks);
  ~StandinServer();

  // Starts announcing, prints the address and runs `io` until Stop().
  void Run();
  void Stop();

  // Stops accepting connections, for the end of a planned stop.
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

// {"error":{"message","type","code"}} with the status.
void SendError(HttpResponder& responder, int status, const std::string& code,
               const std::string& message);

void SendJson(HttpResponder& responder, int status, const nlohmann::json& body);

// Announcement fields that the shared flags give.
nlohmann::json AnnouncementFromFlags(const std::string& address);

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_STANDIN_SERVER_H_
