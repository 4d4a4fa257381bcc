#ifndef EBONYLIFT_DAEMON_JOB_API_H_
#define EBONYLIFT_DAEMON_JOB_API_H_

// JobApi: the HTTP interface for batch jobs under /v1/jobs, and the runner of jobs owned by this
// host.
//
// A job id has the form `j-<hex>.<region>`, where the region is the home region of the job's route.
// Rendezvous hashing of the id selects the job's owner among the record hosts of that region; other
// hosts forward calls to the owner. Not thread safe: call all methods on one traffic thread.

#include <map>
#include <memory>
#include <string>

#include "daemon/exchange.h"

namespace ebonylift {

class JobApi {
 public:
  static constexpr size_t kMaxRunning = 16;

  explicit JobApi(const ExchangeContext& context) : context_(context) {}

  // Handles a request to /v1/jobs or a path below it. Throws Error and JSON exceptions if it is
  // invalid.
  void Handle(HttpRequest request, std::shared_ptr<HttpResponder> responder);

  // Starts queued jobs, up to kMaxRunning at a time. Call about every 20 ms, on one thread per
  // daemon.
  void RunPending();

 private:
  class JobResponder;

  void Submit(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  void HandleJobCall(const HttpRequest& request, const TeamId& team, const JobId& id,
                     const std::string& subresource,
                     const std::shared_ptr<HttpResponder>& responder);
  void ForwardToOwner(const HttpRequest& request, const TeamId& team, const HostId& owner,
                      bool idempotent, std::shared_ptr<HttpResponder> responder);
  void RunJob(const JobSpec& job);
  void OnJobResponse(const JobSpec& job, int status, HttpHeaders headers, std::string body);

  ExchangeContext context_;
  size_t running_jobs_ = 0;
  std::map<JobId, std::weak_ptr<JobResponder>> running_responders_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_JOB_API_H_
