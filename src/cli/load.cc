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

DEFINE_string(targets, "", "load: entry hosts, [region=]host:port, comma separated");
DEFINE_string(team_key, "", "load: key of the team");
DEFINE_string(model, "summary", "load: model of requests that name none");
DEFINE_string(trace, "", "load: trace file, one JSON object on a line; empty: generated");
DEFINE_double(rate, 50, "load: generated requests per second");
DEFINE_double(duration_s, 10, "load: length of the generated run, seconds");
DEFINE_uint64(load_seed, 1, "load: seed of the generated requests");
DEFINE_int32(prompt_tokens, 64, "load: prompt tokens of generated requests");
DEFINE_int32(output_tokens, 16, "load: output tokens of generated requests");
DEFINE_int32(stream_percent, 50, "load: share of generated requests that stream");
DEFINE_int32(max_open, 20000, "load: open requests; further ones are counted as not sent");
DEFINE_int64(call_timeout_ms, 60000, "load: time limit of one request");
DEFINE_string(samples, "", "load: write one JSON object for each request to this file");
DEFINE_string(plot, "", "load: write an SVG plot of the latencies to this file");

namespace ebonylift {
namespace {

using nlohmann::json;

const char kDone[] = "data: [DONE]";
// The chunk with the finish reason carries no token.
const char kLastChunk[] = "\"finish_reason\":\"";
constexpr int kFirstErrorStatus = 300;
// Enough of a refusal's body to read its code.
constexpr size_t kMaxKeptBody = 16 << 10;

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

// One request under way.
struct OpenRequest {
  const LoadItem* item = nullptr;
  size_t index = 0;
  Time intended;
  std::vector<size_t> order;  // targets, in the order in which they are tried
  size_t tried = 0;
  std::string serving_region;
  std::string kept_body;  // of a refusal
  std::string tail;       // end of the stream's data, for [DONE] across pieces
  bool success_status = false;
  bool done_seen = false;
  std::optional<Time> last_event;
  std::optional<Duration> first_token;
  Duration between_sum{0};
  Duration between_max{0};
  int events = 0;
};

class LoadRun {
 public:
  LoadRun(std::vector<LoadItem> items, std::vector<Target> targets)
      : items_(std::move(items)),
        targets_(std::move(targets)),
        client_(MakeHttpClient(io_)),
        timer_(io_) {
    if (!FLAGS_samples.empty()) samples_.open(FLAGS_samples);
  }

  LoadReport Run() {
    start_ = SteadyNow();
    SendDue();
    io_.run();
    report_.elapsed = SteadyNow() - start_;
    return report_;
  }

 private:
  void SendDue() {
    while (next_ < items_.size() && IntendedTime(next_) <= SteadyNow()) SendNext();
    if (next_ == items_.size()) return;
    timer_.expires_at(IntendedTime(next_));
    timer_.async_wait([this](const asio::error_code& error) {
      if (!error) SendDue();
    });
  }

  Time IntendedTime(size_t index) const { return start_ + milliseconds(items_[index].at_ms); }

  void SendNext() {
    auto request = std::make_shared<OpenRequest>();
    request->index = next_++;
    request->item = &items_[request->index];
    request->intended = IntendedTime(request->index);
    ++report_.requests;
    if (open_ >= FLAGS_max_open) {
      ++report_.not_sent;
      return;
    }
    ++open_;
    report_.late.Add(SteadyNow() - request->intended);
    request->order = OrderFor(*request);
    Send(request);
  }

  // Hosts of the caller's region first; each group starts at another host for each request.
  std::vector<size_t> OrderFor(const OpenRequest& request) const {
    const std::string& region = request.item->region;
    std::vector<size_t> near;
    std::vector<size_t> far;
    for (size_t i = 0; i < targets_.size(); ++i) {
      (targets_[i].region == region ? near : far).push_back(i);
    }
    for (std::vector<size_t>* group : {&near, &far}) {
      if (group->empty()) continue;
      std::rotate(group->begin(), group->begin() + request.index % group->size(), group->end());
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
  }

  void Send(const std::shared_ptr<OpenRequest>& request) {
    const LoadItem& item = *request->item;
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + targets_[request->order[request->tried]].address + item.path;
    call.body = LoadBody(item, request->index, FLAGS_model);
    call.headers = {{"content-type", "application/json"},
                    {"authorization", "Bearer " + FLAGS_team_key}};
    if (!item.traffic_class.empty()) {
      call.headers.emplace_back("x-ebonylift-class", item.traffic_class);
    }
    call.headers.insert(call.headers.end(), item.headers.begin(), item.headers.end());
    call.timeout = milliseconds(FLAGS_call_timeout_ms);
    // libcurl may repeat a request on a reused connection; a request that carries headers of its
    // own (an idempotency key) must be sent once.
    call.new_connection = !item.headers.empty();
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
    if (!request.success_status || !request.item->stream) {
      if (request.kept_body.size() < kMaxKeptBody) request.kept_body.append(data);
      return;
    }
    Time now = SteadyNow();
    request.tail.append(data);
    size_t end = request.tail.rfind("\n\n");
    if (end == std::string::npos) return;
    std::string events = request.tail.substr(0, end + 2);
    request.tail.erase(0, end + 2);
    std::string_view rest = events;
    while (!rest.empty()) {
      std::string_view event = rest.substr(0, rest.find("\n\n"));
      rest.remove_prefix(event.size() + 2);
      if (event == kDone) {
        request.done_seen = true;
      } else if (event.find(kLastChunk) == std::string_view::npos) {
        NoteEvent(request, now);
      }
    }
  }

  void NoteEvent(OpenRequest& request, Time now) {
    if (request.last_event) {
      Duration between = now - *request.last_event;
      report_.between_tokens.Add(between);
      request.between_sum += between;
      request.between_max = std::max(request.between_max, between);
    } else {
      request.first_token = now - request.intended;
      report_.first_token.Add(*request.first_token);
    }
    ++request.events;
    request.last_event = now;
  }

  void OnDone(const std::shared_ptr<OpenRequest>& request, const CallResult& result) {
    bool not_sent = result.outcome == CallOutcome::kNotConnected ||
                    result.outcome == CallOutcome::kNothingWritten;
    if (not_sent && request->tried + 1 < request->order.size()) {
      ++request->tried;
      ++report_.failovers;
      Send(request);
      return;
    }
    --open_;
    Count(*request, result);
  }

  void Count(const OpenRequest& request, const CallResult& result) {
    bool whole = result.outcome == CallOutcome::kComplete;
    if (whole && result.status >= kFirstErrorStatus) {
      std::string refusal = RefusalOf(request, result.status);
      ++report_.refused[refusal];
      WriteSample(request, "refused", refusal);
    } else if (!whole || (request.item->stream && !request.done_seen)) {
      ++report_.broken;
      std::string reason = whole ? "stream without [DONE]" : BrokenReason(result);
      ++report_.broken_by[reason];
      WriteSample(request, "broken", reason);
    } else {
      ++report_.answered;
      report_.total.Add(SteadyNow() - request.intended);
      ++report_.regions[request.item->region + ">" + request.serving_region];
      WriteSample(request, "answered", "");
    }
  }

  // One line of --samples. `first_token_ms` is null without a stream.
  void WriteSample(const OpenRequest& request, const char* outcome, const std::string& reason) {
    if (!samples_.is_open()) return;
    auto millis = [](Duration value) { return static_cast<double>(value.count()) / 1000.0; };
    const LoadItem& item = *request.item;
    json sample = {{"index", request.index},
                   {"at_ms", item.at_ms},
                   {"region", item.region},
                   {"serving_region", request.serving_region},
                   {"model", item.model},
                   {"class", item.traffic_class},
                   {"outcome", outcome},
                   {"reason", reason},
                   {"output_tokens", item.output_tokens},
                   {"total_ms", millis(SteadyNow() - request.intended)},
                   {"first_token_ms", nullptr},
                   {"between_count", std::max(0, request.events - 1)},
                   {"between_sum_ms", millis(request.between_sum)},
                   {"between_max_ms", millis(request.between_max)}};
    if (request.first_token) sample["first_token_ms"] = millis(*request.first_token);
    samples_ << sample.dump() << "\n";
  }

  static std::string BrokenReason(const CallResult& result) {
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

  static std::string RefusalOf(const OpenRequest& request, int status) {
    json body = json::parse(request.kept_body, nullptr, false);
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
  std::vector<LoadItem> items_;
  std::vector<Target> targets_;
  std::unique_ptr<HttpClient> client_;
  asio::steady_timer timer_;
  Time start_;
  size_t next_ = 0;
  int open_ = 0;
  std::ofstream samples_;
  LoadReport report_;
};

std::vector<LoadItem> ItemsFromFlags(const std::vector<Target>& targets) {
  if (!FLAGS_trace.empty()) {
    std::ifstream file(FLAGS_trace);
    if (!file) throw Error(ErrorKind::kBadRequest, "cannot read " + FLAGS_trace);
    return ReadTrace(file);
  }
  GeneratedLoad load;
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
  std::vector<LoadItem> items;
  try {
    items = ItemsFromFlags(targets);
  } catch (const Error& error) {
    std::cerr << "load: " << error.what() << "\n";
    return kExitUsage;
  }
  LoadReport report = LoadRun(std::move(items), targets).Run();
  std::cout << (WantsJson() ? ReportJson(report) + "\n" : ReportTable(report));
  if (!FLAGS_plot.empty()) std::ofstream(FLAGS_plot) << ReportSvg(report);
  return kExitOk;
}

}  // namespace ebonylift
