#include "daemon/job_api.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include "base/event.h"
#include "base/hash.h"
#include "base/json_parse.h"

namespace ebonylift {
namespace {

using nlohmann::json;

constexpr char kJobsPath[] = "/v1/jobs";
constexpr size_t kJobIdBytes = 12;
constexpr WallMillis kRequeueDelayMs = 1000;
constexpr Duration kForwardTimeout = seconds(10);

// The authenticated sender of a job call.
struct JobCaller {
  TeamId team;
  std::optional<ForwardHeader> forward_header;  // set if another host forwarded the call
};

ForwardBinding MakeBinding(const HttpRequest& request) {
  return ForwardBinding{request.method, request.path + "?" + request.query,
                        FindHeader(request.headers, "idempotency-key"), Sha256Hex(request.body)};
}

JobCaller Authenticate(const HttpRequest& request, const ExchangeContext& context,
                       const ConfigView& config) {
  const std::string& forward = FindHeader(request.headers, kForwardHeader);
  if (forward.empty()) return JobCaller{AuthenticateTeam(request.headers, config), std::nullopt};
  ForwardHeader forward_header =
      DecodeForward(forward, MakeBinding(request), context.cluster_key, WallNow());
  return JobCaller{forward_header.team, forward_header};
}

// Returns the home region encoded in a job id, or an empty id if there is none.
RegionId HomeRegion(const JobId& id) {
  size_t dot = id.value().find('.');
  return RegionId(dot == std::string::npos ? "" : id.value().substr(dot + 1));
}

// Returns the owner of a job, or an empty id if its home region is unknown or has no record host.
HostId FindOwner(const JobId& id, const TeamId& team, const ConfigView& config) {
  auto region = config.regions.find(HomeRegion(id));
  if (region == config.regions.end()) return HostId();
  return SelectOwner(RecordKey{team, id.value()}, region->second.record_hosts);
}

// With an idempotency key, the id is derived from it so that a resubmission maps to the same job.
JobId NewJobId(const RequestSpec& spec) {
  std::string name =
      spec.idempotency_key.empty()
          ? RandomHex(kJobIdBytes)
          : Sha256Hex(spec.team.value() + "\n" + spec.idempotency_key).substr(0, 2 * kJobIdBytes);
  return JobId("j-" + name + "." + spec.route->home.value());
}

json JobJson(const JobId& id, JobState state) {
  return {{"id", id.value()}, {"state", JobStateName(state)}};
}

// Extracts the model request embedded in a job submission. It inherits the caller's headers.
HttpRequest ExtractModelRequest(const HttpRequest& request) {
  json body = ParseForeignJson(request.body);
  bool valid = body.is_object() && body.contains("path") && body["path"].is_string() &&
               body.contains("body") && body["body"].is_object();
  if (!valid) throw Error(ErrorKind::kBadRequest, "the body must have \"path\" and \"body\"");
  std::string path = body["path"];
  if (path != "/v1/chat/completions" && path != "/v1/completions") {
    throw Error(ErrorKind::kBadRequest, "path must be /v1/chat/completions or /v1/completions");
  }
  HttpRequest model_request;
  model_request.method = "POST";
  model_request.path = path;
  model_request.headers = request.headers;
  model_request.body = body["body"].dump();
  return model_request;
}

HttpHeaders WithoutHeader(const HttpHeaders& headers, const std::string& name) {
  HttpHeaders kept;
  for (const auto& header : headers) {
    if (FindHeader({header}, name).empty()) kept.push_back(header);
  }
  return kept;
}

}  // namespace

// Collects the response of an exchange in memory, for a job that has no connected caller.
class JobApi::JobResponder : public HttpResponder {
 public:
  using Done = std::function<void(int, HttpHeaders, std::string)>;
  explicit JobResponder(Done done) : done_(std::move(done)) {}

  void Send(int status, const HttpHeaders& headers, std::string body) override {
    Complete(status, headers, std::move(body));
  }
  void Begin(int status, const HttpHeaders& headers) override {
    status_ = status;
    headers_ = headers;
  }
  void Write(std::string chunk) override { body_ += chunk; }
  void End() override { Complete(status_, headers_, std::move(body_)); }
  void Abort() override { Complete(502, {}, ""); }
  size_t PendingBytes() const override { return 0; }
  void OnDrained(std::function<void()> /*fn*/) override {}
  void OnClosed(std::function<void()> fn) override { on_closed_ = std::move(fn); }
  bool ClosedByClient() const override { return false; }

  // Simulates a closed caller connection, upon which the exchange cancels the work. Suppresses the
  // completion callback.
  void Close() {
    done_ = nullptr;
    if (on_closed_) on_closed_();
  }

 private:
  void Complete(int status, HttpHeaders headers, std::string body) {
    Done done = std::move(done_);
    done_ = nullptr;
    if (done) done(status, std::move(headers), std::move(body));
  }

  Done done_;
  std::function<void()> on_closed_;
  int status_ = 0;
  HttpHeaders headers_;
  std::string body_;
};

void JobApi::Handle(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  std::shared_ptr<const RoutingView> view = context_.control->View();
  if (request.path == kJobsPath) {
    if (request.method != "POST") throw Error(ErrorKind::kMethodNotAllowed, request.method);
    Submit(std::move(request), std::move(responder));
    return;
  }
  JobCaller caller = Authenticate(request, context_, *view->config);
  std::string rest = request.path.substr(sizeof(kJobsPath));
  size_t slash = rest.find('/');
  JobId id(rest.substr(0, slash));
  std::string subresource = slash == std::string::npos ? "" : rest.substr(slash + 1);
  HostId owner = FindOwner(id, caller.team, *view->config);
  if (owner.empty()) throw Error(ErrorKind::kUnknownJob, "");
  if (owner == view->self.host) {
    HandleJobCall(request, caller.team, id, subresource, responder);
  } else if (caller.forward_header) {
    throw Error(ErrorKind::kHopLimit, "two hosts disagree on the owner of the job");
  } else {
    ForwardToOwner(request, caller.team, owner, true, std::move(responder));
  }
}

void JobApi::Submit(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  std::shared_ptr<const RoutingView> view = context_.control->View();
  JobCaller caller = Authenticate(request, context_, *view->config);
  HttpRequest model_request = ExtractModelRequest(request);
  if (caller.forward_header) {
    // The forwarding header's MAC covers the submission, so the embedded request needs its own.
    ForwardHeader forward_header = *caller.forward_header;
    model_request.headers = WithoutHeader(model_request.headers, kForwardHeader);
    model_request.headers.emplace_back(
        kForwardHeader,
        EncodeForward(forward_header, MakeBinding(model_request), context_.cluster_key));
  }
  RequestSpec spec = ParseRequest(model_request, view, context_.cluster_key, SteadyNow());
  JobId id = NewJobId(spec);
  if (caller.forward_header) id = JobId(FindHeader(request.headers, "x-ebonylift-job-id"));
  HostId owner = FindOwner(id, spec.team, *view->config);
  if (owner.empty()) {
    throw Error(ErrorKind::kOwnerUnreachable, "the home region of the route has no record host");
  }
  if (owner != view->self.host) {
    if (caller.forward_header) {
      throw Error(ErrorKind::kHopLimit, "two hosts disagree on the owner of the job");
    }
    request.headers.emplace_back("x-ebonylift-job-id", id.value());
    request.headers.emplace_back("x-ebonylift-job-route", spec.route->id.value());
    ForwardToOwner(request, spec.team, owner, spec.idempotent, std::move(responder));
    return;
  }
  JobSpec job{
      id, spec.team, spec.route->id, model_request.path, model_request.body, spec.idempotent};
  asio::io_context* io = context_.io;
  context_.records->SubmitJob(job, [=](SubmitKind kind, bool ok) {
    asio::post(*io, [=] {
      if (!ok) {
        SendErrorResponse(responder.get(),
                          {ErrorKind::kStorageFailed, "", Duration{0}, RequestId()});
      } else if (kind == SubmitKind::kConflict) {
        SendErrorResponse(responder.get(), {ErrorKind::kKeyConflict, "", Duration{0}, RequestId()});
      } else if (kind == SubmitKind::kOverloaded) {
        SendErrorResponse(responder.get(), {ErrorKind::kOverloaded, "", Duration{0}, RequestId()});
      } else {
        LogEvent(EventId::kJobAccepted, {{"job", id.value()}, {"team", job.team.value()}});
        SendJson(responder.get(), 202, JobJson(id, JobState::kQueued));
      }
    });
  });
}

void JobApi::HandleJobCall(const HttpRequest& request, const TeamId& team, const JobId& id,
                           const std::string& subresource,
                           const std::shared_ptr<HttpResponder>& responder) {
  std::optional<Job> job = context_.records->FindJob(id);
  if (!job || job->spec.team != team) throw Error(ErrorKind::kUnknownJob, "");
  bool ended = job->state != JobState::kQueued && job->state != JobState::kRunning;
  if (request.method == "GET" && subresource.empty()) {
    SendJson(responder.get(), 200, JobJson(id, job->state));
  } else if (request.method == "GET" && subresource == "result") {
    if (!ended)
      throw Error(ErrorKind::kNotFinished, "the job is " + std::string(JobStateName(job->state)));
    if (job->state == JobState::kCancelled) throw Error(ErrorKind::kCancelled, "");
    if (job->state == JobState::kOutcomeUnknown) throw Error(ErrorKind::kOutcomeUnknown, "");
    responder->Send(job->result.status, job->result.headers, job->result.body);
  } else if (request.method == "DELETE" && subresource.empty()) {
    context_.records->CancelJob(id);
    auto job_responder = running_responders_.find(id);
    if (job_responder != running_responders_.end()) {
      if (std::shared_ptr<JobResponder> running = job_responder->second.lock()) running->Close();
      running_responders_.erase(job_responder);
      if (running_jobs_ > 0) --running_jobs_;
    }
    SendJson(responder.get(), 200, JobJson(id, context_.records->FindJob(id)->state));
  } else {
    throw Error(ErrorKind::kMethodNotAllowed, request.method);
  }
}

void JobApi::ForwardToOwner(const HttpRequest& request, const TeamId& team, const HostId& owner,
                            bool idempotent, std::shared_ptr<HttpResponder> responder) {
  std::shared_ptr<const RoutingView> view = context_.control->View();
  const HostEntry* host = nullptr;
  for (const HostEntry& entry : view->hosts) {
    if (entry.id == owner) host = &entry;
  }
  if (host == nullptr) throw Error(ErrorKind::kOwnerUnreachable, "");
  ForwardHeader forward_header;
  forward_header.from = view->self.host;
  forward_header.request = NewRequestId();
  forward_header.hops = 1;
  forward_header.crossed_region = host->region != view->self.region;
  forward_header.deadline_ms = ToMillis(kForwardTimeout);
  forward_header.team = team;
  forward_header.idempotent = idempotent;
  forward_header.route = RouteId(FindHeader(request.headers, "x-ebonylift-job-route"));
  forward_header.revision = view->config->revision;
  forward_header.time = WallNow();
  HttpCall call;
  call.method = request.method;
  call.url = "http://" + host->http_address + request.path;
  if (!request.query.empty()) call.url += "?" + request.query;
  call.headers = EndToEndHeaders(request.headers);
  call.headers.emplace_back("x-ebonylift-job-id",
                            FindHeader(request.headers, "x-ebonylift-job-id"));
  call.headers.emplace_back(
      kForwardHeader, EncodeForward(forward_header, MakeBinding(request), context_.cluster_key));
  call.body = request.body;
  call.timeout = kForwardTimeout;
  call.new_connection = request.method == "POST";
  auto headers = std::make_shared<HttpHeaders>();
  auto body = std::make_shared<std::string>();
  call.on_headers = [headers](int, const HttpHeaders& received) {
    *headers = EndToEndHeaders(received);
  };
  call.on_data = [body](std::string_view data) {
    body->append(data);
    return body->size() <= AnswerRelay::kMaxBuffer;
  };
  call.on_done = [=](const CallResult& result) {
    if (result.outcome == CallOutcome::kComplete) {
      responder->Send(result.status, *headers, *body);
      return;
    }
    bool not_run = result.outcome == CallOutcome::kNotConnected ||
                   result.outcome == CallOutcome::kNothingWritten || request.method == "GET";
    ErrorKind kind = not_run ? ErrorKind::kOwnerUnreachable : ErrorKind::kOutcomeUnknown;
    SendErrorResponse(responder.get(), {kind, "", Duration{0}, RequestId()});
  };
  context_.client->Start(std::move(call));
}

void JobApi::RunPending() {
  while (running_jobs_ < kMaxRunning) {
    asio::io_context* io = context_.io;
    bool started = context_.records->StartNextJob([this, io](std::optional<JobSpec> job) {
      asio::post(*io, [this, job] {
        // The job may have been cancelled while its start was written to the journal.
        std::optional<Job> current = job ? context_.records->FindJob(job->id) : std::nullopt;
        if (current && current->state == JobState::kRunning) {
          RunJob(*job);
        } else {
          --running_jobs_;
        }
      });
    });
    if (!started) return;
    ++running_jobs_;
  }
}

void JobApi::RunJob(const JobSpec& job) {
  std::shared_ptr<const RoutingView> view = context_.control->View();
  auto job_responder = std::make_shared<JobResponder>(
      [this, job](int status, HttpHeaders headers, std::string body) {
        running_responders_.erase(job.id);
        --running_jobs_;
        OnJobResponse(job, status, std::move(headers), std::move(body));
      });
  running_responders_[job.id] = job_responder;
  // The API key of the submission is not stored. A forwarding header signed by this host
  // authenticates the request for the job's team instead.
  ForwardHeader forward_header;
  forward_header.from = view->self.host;
  forward_header.request = NewRequestId();
  forward_header.claimed = true;  // the job record already prevents a second run
  forward_header.team = job.team;
  forward_header.route = job.route;
  forward_header.traffic_class = TrafficClass::kChapter;
  forward_header.idempotent = job.idempotent;
  forward_header.time = WallNow();
  HttpRequest request;
  request.method = "POST";
  request.path = job.path;
  request.body = job.body;
  request.headers = {{"Content-Type", "application/json"}};
  auto team = view->config->teams.find(job.team);
  if (team != view->config->teams.end()) {
    auto route = team->second.routes.find(job.route);
    if (route != team->second.routes.end())
      forward_header.deadline_ms = ToMillis(route->second.deadline);
  }
  request.headers.emplace_back(
      kForwardHeader, EncodeForward(forward_header, MakeBinding(request), context_.cluster_key));
  try {
    RequestSpec spec = ParseRequest(std::move(request), view, context_.cluster_key, SteadyNow());
    context_.table->Start(context_, std::move(spec), job_responder);
  } catch (const Error& error) {
    ErrorResponse response = ToErrorResponse(error);
    SendErrorResponse(job_responder.get(), response);
  }
}

void JobApi::OnJobResponse(const JobSpec& job, int status, HttpHeaders headers, std::string body) {
  bool failed = status >= 400 || body.find("data: {\"error\"") != std::string::npos;
  if (!failed) {
    context_.records->FinishJob(job.id, JobState::kFinished,
                                StoredAnswer{status, std::move(headers), std::move(body)});
    return;
  }
  bool by_server = status >= 400 && !FindHeader(headers, kServerHeader).empty();
  ErrorKind other = by_server ? ErrorKind::kServerError : ErrorKind::kStreamBroken;
  ErrorKind kind = HostErrorKind(headers, body, RequestId()).value_or(other);
  const ErrorInfo& info = LookupError(kind);
  bool not_run = info.run == Run::kNotRun;
  bool retry = info.retry_after_ms > 0 && (not_run || job.idempotent);
  if (retry) {
    context_.records->RequeueJob(job.id, not_run, WallNow() + kRequeueDelayMs);
  } else if (not_run || info.run == Run::kRan || job.idempotent) {
    context_.records->FinishJob(job.id, JobState::kFailed,
                                StoredAnswer{status, std::move(headers), std::move(body)});
  } else {
    context_.records->FinishJob(job.id, JobState::kOutcomeUnknown, StoredAnswer());
  }
}

}  // namespace ebonylift
