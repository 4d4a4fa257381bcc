#include "cli/load.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <utility>

#include "adapters/http_client.h"
#include "base/error.h"
#include "cli/command.h"
#include "cli/load_report.h"
#include "cli/load_trace.h"

DEFINE_string(targets, "", "load: comma-separated entry hosts, each [region=]host:port");
DEFINE_string(team_key, "", "load: API key of the team");
DEFINE_string(model, "summary", "load: model of requests that specify none");
DEFINE_string(trace, "",
              "load: trace file with one JSON object per line; empty: generate the requests");
DEFINE_double(rate, 50, "load: generated requests per second");
DEFINE_double(duration_s, 10, "load: duration of the generated run in seconds");
DEFINE_uint64(load_seed, 1, "load: random seed of the generated requests");
DEFINE_int32(prompt_tokens, 64, "load: prompt tokens of each generated request");
DEFINE_int32(output_tokens, 16, "load: output tokens of each generated request");
DEFINE_int32(stream_percent, 50, "load: percentage of generated requests that stream");
DEFINE_int32(max_open, 20000,
             "load: maximum number of open requests; further ones are counted as not sent");
DEFINE_int64(call_timeout_ms, 60000, "load: time limit of one request in ms");
DEFINE_string(samples, "", "load: file to which one JSON object per sent request is written");
DEFINE_string(plot, "", "load: file to which an SVG plot of the latencies is written");

namespace ebonylift {
namespace {

using nlohmann::json;

const char kDoneEvent[] = "data: [DONE]";
// Identifies the chunk with the finish reason, which carries no token.
const char kFinishReasonField[] = "\"finish_reason\":\"";
constexpr int kFirstErrorStatus = 300;
// How much of a body is kept to parse the error code from it.
constexpr size_t kMaxErrorBodyBytes = 16 << 10;

struct Target {
  std::string region;
  std::string address;
};

std::vector<Target> ParseTargets(const std::string& text) {
  std::vector<Target> targets;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    if (part.empty()) continue;
    size_t equals = part.find('=');
    Target target;
    if (equals != std::string::npos) target.region = part.substr(0, equals);
    target.address = part.substr(equals == std::string::npos ? 0 : equals + 1);
    targets.push_back(target);
  }
  return targets;
}

// A request in progress.
struct OpenRequest {
  const LoadRequest* spec = nullptr;
  size_t index = 0;
  Time intended_at;
  std::vector<size_t> target_order;  // indexes of the targets, in the order in which to try them
  size_t target_position = 0;        // position of the current target in that order
  std::string serving_region;
  std::string error_body;     // start of the body, unless it is a successful stream
  std::string unparsed_data;  // data of the stream after the last complete event
  bool success_status = false;
  bool done_seen = false;
  std::optional<Time> last_event;
  std::optional<Duration> first_token;
  Duration token_gap_sum{0};
  Duration token_gap_max{0};
  int events = 0;
};

// Sends the requests of one run and collects the results.
class LoadRun {
 public:
  LoadRun(std::vector<LoadRequest> requests, std::vector<Target> targets)
      : requests_(std::move(requests)),
        targets_(std::move(targets)),
        client_(MakeHttpClient(io_)),
        timer_(io_) {
    if (!FLAGS_samples.empty()) samples_.open(FLAGS_samples);
  }

  LoadReport Run() {
    start_ = SteadyNow();
    SendDueRequests();
    io_.run();
    report_.elapsed = SteadyNow() - start_;
    return report_;
  }

 private:
  void SendDueRequests() {
    while (next_ < requests_.size() && IntendedTime(next_) <= SteadyNow()) SendNextRequest();
    if (next_ == requests_.size()) return;
    timer_.expires_at(IntendedTime(next_));
    timer_.async_wait([this](const asio::error_code& error) {
      if (!error) SendDueRequests();
    });
  }

  Time IntendedTime(size_t index) const { return start_ + milliseconds(requests_[index].at_ms); }

  void SendNextRequest() {
    auto request = std::make_shared<OpenRequest>();
    request->index = next_++;
    request->spec = &requests_[request->index];
    request->intended_at = IntendedTime(request->index);
    ++report_.requests;
    if (open_requests_ >= FLAGS_max_open) {
      ++report_.not_sent;
      return;
    }
    ++open_requests_;
    report_.send_delay.Add(SteadyNow() - request->intended_at);
    request->target_order = TargetOrder(*request);
    Send(request);
  }

  // Returns the hosts of the request's region followed by all other hosts. Each of the two groups
  // is rotated by the request index to distribute the requests over its hosts.
  std::vector<size_t> TargetOrder(const OpenRequest& request) const {
    const std::string& region = request.spec->region;
    std::vector<size_t> same_region;
    std::vector<size_t> other_regions;
    for (size_t i = 0; i < targets_.size(); ++i) {
      (targets_[i].region == region ? same_region : other_regions).push_back(i);
    }
    for (std::vector<size_t>* group : {&same_region, &other_regions}) {
      if (group->empty()) continue;
      std::rotate(group->begin(), group->begin() + request.index % group->size(), group->end());
    }
    same_region.insert(same_region.end(), other_regions.begin(), other_regions.end());
    return same_region;
  }

  void Send(const std::shared_ptr<OpenRequest>& request) {
    const LoadRequest& spec = *request->spec;
    HttpCall call;
    call.method = "POST";
    call.url =
        "http://" + targets_[request->target_order[request->target_position]].address + spec.path;
    call.body = RequestBody(spec, request->index, FLAGS_model);
    call.headers = {{"content-type", "application/json"},
                    {"authorization", "Bearer " + FLAGS_team_key}};
    if (!spec.traffic_class.empty()) {
      call.headers.emplace_back("x-ebonylift-class", spec.traffic_class);
    }
    call.headers.insert(call.headers.end(), spec.headers.begin(), spec.headers.end());
    call.timeout = milliseconds(FLAGS_call_timeout_ms);
    // libcurl may silently resend a request if a reused connection turns out to be closed. A
    // request with headers of its own, such as an idempotency key, must be sent only once.
    call.new_connection = !spec.headers.empty();
    call.on_headers = [request](int status, const HttpHeaders& headers) {
      request->success_status = status < kFirstErrorStatus;
      request->serving_region = FindHeader(headers, "x-ebonylift-region");
    };
    call.on_data = [this, request](std::string_view data) {
      OnData(*request, data);
      return true;
    };
    call.on_done = [this, request](const CallResult& result) { OnDone(request, result); };
    client_->Start(std::move(call));
  }

  void OnData(OpenRequest& request, std::string_view data) {
    if (!request.success_status || !request.spec->stream) {
      if (request.error_body.size() < kMaxErrorBodyBytes) request.error_body.append(data);
      return;
    }
    Time now = SteadyNow();
    request.unparsed_data.append(data);
    size_t end = request.unparsed_data.rfind("\n\n");
    if (end == std::string::npos) return;
    std::string events = request.unparsed_data.substr(0, end + 2);
    request.unparsed_data.erase(0, end + 2);
    std::string_view rest = events;
    while (!rest.empty()) {
      std::string_view event = rest.substr(0, rest.find("\n\n"));
      rest.remove_prefix(event.size() + 2);
      if (event == kDoneEvent) {
        request.done_seen = true;
      } else if (event.find(kFinishReasonField) == std::string_view::npos) {
        RecordToken(request, now);
      }
    }
  }

  void RecordToken(OpenRequest& request, Time now) {
    if (request.last_event) {
      Duration gap = now - *request.last_event;
      report_.token_gap.Add(gap);
      request.token_gap_sum += gap;
      request.token_gap_max = std::max(request.token_gap_max, gap);
    } else {
      request.first_token = now - request.intended_at;
      report_.first_token.Add(*request.first_token);
    }
    ++request.events;
    request.last_event = now;
  }

  void OnDone(const std::shared_ptr<OpenRequest>& request, const CallResult& result) {
    bool not_sent = result.outcome == CallOutcome::kNotConnected ||
                    result.outcome == CallOutcome::kNothingWritten;
    if (not_sent && request->target_position + 1 < request->target_order.size()) {
      ++request->target_position;
      ++report_.failovers;
      Send(request);
      return;
    }
    --open_requests_;
    RecordOutcome(*request, result);
  }

  void RecordOutcome(const OpenRequest& request, const CallResult& result) {
    bool complete = result.outcome == CallOutcome::kComplete;
    if (complete && result.status >= kFirstErrorStatus) {
      std::string error_code = ErrorCodeOf(request, result.status);
      ++report_.refused[error_code];
      WriteSample(request, "refused", error_code);
    } else if (!complete || (request.spec->stream && !request.done_seen)) {
      ++report_.broken;
      std::string reason = complete ? "stream without [DONE]" : FailureReason(result);
      ++report_.broken_by[reason];
      WriteSample(request, "broken", reason);
    } else {
      ++report_.answered;
      report_.total.Add(SteadyNow() - request.intended_at);
      ++report_.regions[request.spec->region + ">" + request.serving_region];
      WriteSample(request, "answered", "");
    }
  }

  // Writes one line to the file of --samples. `first_token_ms` is null if no streamed token
  // arrived.
  void WriteSample(const OpenRequest& request, const char* outcome, const std::string& reason) {
    if (!samples_.is_open()) return;
    auto millis = [](Duration value) { return static_cast<double>(value.count()) / 1000.0; };
    const LoadRequest& spec = *request.spec;
    json sample = {{"index", request.index},
                   {"at_ms", spec.at_ms},
                   {"region", spec.region},
                   {"serving_region", request.serving_region},
                   {"model", spec.model},
                   {"class", spec.traffic_class},
                   {"outcome", outcome},
                   {"reason", reason},
                   {"output_tokens", spec.output_tokens},
                   {"total_ms", millis(SteadyNow() - request.intended_at)},
                   {"first_token_ms", nullptr},
                   {"between_count", std::max(0, request.events - 1)},
                   {"between_sum_ms", millis(request.token_gap_sum)},
                   {"between_max_ms", millis(request.token_gap_max)}};
    if (request.first_token) sample["first_token_ms"] = millis(*request.first_token);
    samples_ << sample.dump() << "\n";
  }

  static std::string FailureReason(const CallResult& result) {
    switch (result.outcome) {
      case CallOutcome::kComplete:
        return "complete";
      case CallOutcome::kNotConnected:
        return "no entry host reachable";
      case CallOutcome::kNothingWritten:
        return "closed before sending";
      case CallOutcome::kFailed:
        return std::string(result.status == 0 ? "lost before status: " : "lost after status: ") +
               result.error;
      case CallOutcome::kTimedOut:
        return "timed out";
    }
    return "unknown";
  }

  static std::string ErrorCodeOf(const OpenRequest& request, int status) {
    json body = json::parse(request.error_body, nullptr, false);
    if (!body.is_object() || !body.contains("error") || !body["error"].is_object()) {
      return "status " + std::to_string(status) + "/unknown";
    }
    const json& error = body["error"];
    auto text = [&error](const char* name) -> std::string {
      if (!error.contains(name) || !error[name].is_string()) return "unknown";
      return error[name].get<std::string>();
    };
    return text("code") + "/" + text("run");
  }

  asio::io_context io_;
  std::vector<LoadRequest> requests_;
  std::vector<Target> targets_;
  std::unique_ptr<HttpClient> client_;
  asio::steady_timer timer_;
  Time start_;
  size_t next_ = 0;
  int open_requests_ = 0;
  std::ofstream samples_;
  LoadReport report_;
};

std::vector<LoadRequest> RequestsFromFlags(const std::vector<Target>& targets) {
  if (!FLAGS_trace.empty()) {
    std::ifstream file(FLAGS_trace);
    if (!file) throw Error(ErrorKind::kBadRequest, "cannot open trace file " + FLAGS_trace);
    return ReadTrace(file);
  }
  GeneratedLoadOptions load;
  load.requests_per_s = FLAGS_rate;
  load.duration_ms = static_cast<int64_t>(FLAGS_duration_s * 1000);
  load.seed = FLAGS_load_seed;
  load.prompt_tokens = FLAGS_prompt_tokens;
  load.output_tokens = FLAGS_output_tokens;
  load.stream_percent = FLAGS_stream_percent;
  for (const Target& target : targets) {
    if (std::find(load.regions.begin(), load.regions.end(), target.region) == load.regions.end()) {
      load.regions.push_back(target.region);
    }
  }
  return GenerateTrace(load);
}

}  // namespace

int RunLoad(const std::vector<std::string>& args) {
  std::vector<Target> targets = ParseTargets(FLAGS_targets);
  if (targets.empty() || !args.empty()) {
    std::cerr << "usage: ebonylift load --targets=[region=]ip:port,... [--flag=value ...]\n";
    return kExitUsage;
  }
  std::vector<LoadRequest> requests;
  try {
    requests = RequestsFromFlags(targets);
  } catch (const Error& error) {
    std::cerr << "load: " << error.what() << "\n";
    return kExitUsage;
  }
  LoadReport report = LoadRun(std::move(requests), targets).Run();
  std::cout << (JsonRequested() ? ReportJson(report) + "\n" : ReportTable(report));
  if (!FLAGS_plot.empty()) std::ofstream(FLAGS_plot) << ReportSvg(report);
  return kExitOk;
}

}  // namespace ebonylift
