#ifndef EBONYLIFT_DAEMON_JOB_API_H_
#define EBONYLIFT_DAEMON_JOB_API_H_

// Batch jobs: the interface under /v1/jobs and the runner of the jobs that this host owns.
//
// A job belongs to one record host of its route's home region, which its id names:
// `j-<hex>.<region>` with the owner chosen by rendezvous hashing. Other hosts forward calls to the
// owner. Not thread safe: all methods run on one traffic thread.

#include <map>
#include <memory>
#include <string>

#include "daemon/exchange.h"

namespace ebonylift {

class JobApi {
 public:
  static constexpr size_t kMaxRunning = 16;

  explicit JobApi(const ExchangeContext& context) : context_(context) {}

  // Answers a request to /v1/jobs or below.
  void Handle(HttpRequest request, std::shared_ptr<HttpResponder> responder);

  // Starts jobs that may run; call about every 20 ms on one thread of the daemon.
  void RunPending();

 private:
  class Capture;

  void Submit(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  void Answer(const HttpRequest& request, const TeamId& team, const JobId& id,
              const std::string& verb, const std::shared_ptr<HttpResponder>& responder);
  void ForwardCall(const HttpRequest& request, const TeamId& team, const HostId& owner,
                   bool idempotent, std::shared_ptr<HttpResponder> responder);
  void RunJob(const JobSpec& job);
  void OnJobAnswer(const JobSpec& job, int status, HttpHeaders headers, std::string body);

  ExchangeContext context_;
  size_t running_ = 0;
  std::map<JobId, std::weak_ptr<Capture>> captures_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_JOB_API_H_
