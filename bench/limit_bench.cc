// Plays hosts that share the limits of workspaces, with the real modules and messages and without a
// network, and prints admitted work and control traffic.
//
// Usage: limit_bench [HOSTS WORKSPACES ACTIVE_PER_HOST SECONDS]
// Without arguments: 70 hosts with 16 workspaces, and 370 hosts with 28,000 workspaces of which 300
// are active at each host.

#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "core/limit_allocator.h"
#include "core/limit_shares.h"

namespace ebonylift {
namespace {

constexpr Duration kStep = milliseconds(20);
constexpr Duration kDelay = milliseconds(55);  // one way
constexpr Duration kWarmUp = seconds(12);      // of which the new allocator waits 6 s
constexpr size_t kCallOverheadBytes = 80;      // of a Cap'n Proto call, and of its answer
const Time kStart(seconds(1'000'000));

struct Size {
  size_t hosts = 0;
  size_t workspaces = 0;
  size_t active = 0;  // workspaces with requests at each host
  double per_s = 0;   // tokens, of each limit; the burst is that of two seconds
  double cost = 0;    // tokens of a request
  Duration time{0};
};

struct Message {
  size_t host = 0;
  Time sent;
  std::string bytes;
};

struct Traffic {
  uint64_t messages = 0;
  uint64_t sent_bytes = 0;
  uint64_t received_bytes = 0;
};

class Fleet {
 public:
  Fleet(const Size& size, double factor) : size_(size), factor_(factor) {
    const LimitTolerance tolerance{0.1, 0};
    allocator_.tolerance = tolerance;
    hosts_.resize(size.hosts);
    traffic_.resize(size.hosts);
    for (size_t i = 0; i < size.hosts; ++i) {
      hosts_[i].hosts = static_cast<uint32_t>(size.hosts);
      hosts_[i].tolerance = tolerance;
      hosts_[i].seed = i * 7919;
    }
    for (size_t i = 0; i < size.workspaces; ++i) {
      workspaces_.emplace_back("workspace-" + std::to_string(i));
    }
    limit_.per_s = size.per_s;
    limit_.burst = 2 * limit_.per_s;
  }

  void Run() {
    for (Time end = kStart + kWarmUp + size_.time; now_ < end; now_ += kStep) {
      if (now_ == kStart + kWarmUp) std::fill(traffic_.begin(), traffic_.end(), Traffic());
      TickLimitAllocator(&allocator_, true, now_);
      Deliver();
      for (size_t i = 0; i < hosts_.size(); ++i) Serve(i);
    }
  }

  void Print() const {
    double seconds = std::chrono::duration<double>(size_.time).count();
    Traffic all;
    Traffic most;
    for (const Traffic& host : traffic_) {
      all.messages += host.messages;
      all.sent_bytes += host.sent_bytes;
      all.received_bytes += host.received_bytes;
      if (host.sent_bytes > most.sent_bytes) most = host;
    }
    double hosts = static_cast<double>(size_.hosts);
    double shared = hosts * static_cast<double>(size_.active);
    double per_workspace = std::min(1.0, factor_);
    double limited = std::min(static_cast<double>(size_.workspaces), shared);
    double allowed = limited * limit_.per_s * per_workspace * seconds;
    std::cout << std::fixed << std::setprecision(2) << "| " << size_.hosts << " | "
              << size_.workspaces << " | " << size_.active << " | " << factor_ << " | "
              << admitted_ / std::min(allowed, std::max(offered_, 1.0)) << " | "
              << static_cast<double>(all.messages) / hosts / seconds << " | "
              << std::setprecision(0) << static_cast<double>(all.sent_bytes) / hosts / seconds
              << " | " << static_cast<double>(all.received_bytes) / hosts / seconds << " | "
              << static_cast<double>(most.sent_bytes) / seconds << " | "
              << static_cast<double>(all.messages) / seconds << " | "
              << static_cast<double>(all.sent_bytes) / seconds << " | "
              << static_cast<double>(all.received_bytes) / seconds << " |" << std::endl;
  }

 private:
  // The workspaces of a host are spread over all, so that each has about the same number of hosts.
  const WorkspaceId& Workspace(size_t host, size_t index) const {
    return workspaces_[(host * size_.active + index) % size_.workspaces];
  }

  void Serve(size_t i) {
    double sharing = std::max(1.0, static_cast<double>(size_.hosts * size_.active) /
                                       static_cast<double>(size_.workspaces));
    double demand = limit_.per_s * factor_ / sharing;
    double requests = demand / size_.cost * std::chrono::duration<double>(kStep).count();
    int count = std::poisson_distribution<int>(requests * static_cast<double>(size_.active))(rng_);
    LimitShares* host = &hosts_[i];
    bool counts = now_ >= kStart + kWarmUp;
    for (int n = 0; n < count; ++n) {
      const WorkspaceId& workspace = Workspace(i, rng_() % size_.active);
      if (counts) offered_ += size_.cost;
      Decide(i, {&workspace, now_}, true);
    }
    std::vector<Request> retries = std::move(waiting_[i]);
    waiting_[i].clear();
    for (const Request& request : retries) Decide(i, request, false);
    std::optional<LimitAsk> ask = TakeLimitAsk(host, now_);
    if (!ask) return;
    std::string bytes = EncodeLimitAsk(*ask);
    ++traffic_[i].messages;
    traffic_[i].sent_bytes += bytes.size() + kCallOverheadBytes;
    asks_.emplace(now_ + kDelay, Message{i, now_, std::move(bytes)});
  }

  struct Request {
    const WorkspaceId* workspace = nullptr;
    Time arrived;
  };

  void Decide(size_t i, const Request& request, bool first) {
    LimitVerdict verdict = AdmitToLimit(&hosts_[i], *request.workspace, limit_, size_.cost,
                                        request.arrived, first, now_);
    if (verdict.decision == LimitDecision::kWait) waiting_[i].push_back(request);
    bool counts = request.arrived >= kStart + kWarmUp;
    if (verdict.decision == LimitDecision::kAdmitted && counts) admitted_ += size_.cost;
  }

  void Deliver() {
    while (!asks_.empty() && asks_.begin()->first <= now_) {
      Message ask = asks_.begin()->second;
      asks_.erase(asks_.begin());
      LimitAnswer answer = AllocateLimits(&allocator_, HostId("h" + std::to_string(ask.host)),
                                          *DecodeLimitAsk(ask.bytes), now_);
      std::string bytes = EncodeLimitAnswer(answer);
      traffic_[ask.host].received_bytes += bytes.size() + kCallOverheadBytes;
      answers_.emplace(now_ + kDelay, Message{ask.host, ask.sent, std::move(bytes)});
    }
    while (!answers_.empty() && answers_.begin()->first <= now_) {
      Message answer = answers_.begin()->second;
      answers_.erase(answers_.begin());
      OnLimitAnswer(&hosts_[answer.host], *DecodeLimitAnswer(answer.bytes), answer.sent, now_);
    }
  }

  const Size size_;
  const double factor_;  // demand relative to the limit
  WorkspaceLimit limit_{0, 0, LimitUnit::kTokens, 1};
  std::vector<WorkspaceId> workspaces_;
  std::vector<LimitShares> hosts_;
  std::vector<Traffic> traffic_;
  std::map<size_t, std::vector<Request>> waiting_;
  LimitAllocator allocator_;
  std::multimap<Time, Message> asks_;
  std::multimap<Time, Message> answers_;
  double admitted_ = 0;
  double offered_ = 0;
  std::mt19937_64 rng_{7};
  Time now_ = kStart;
};

void RunSize(const Size& size) {
  for (double factor : {0.5, 2.0}) {
    Fleet fleet(size, factor);
    fleet.Run();
    fleet.Print();
  }
}

}  // namespace
}  // namespace ebonylift

int main(int argc, char** argv) {
  using ebonylift::Size;
  std::cout << "| Hosts | Workspaces | Active at a host | Demand | Admitted of allowed | Host: "
               "messages/s | sent B/s | received B/s | sent B/s, most | Leader: messages/s | "
               "received B/s | sent B/s |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | "
               "--- | --- | --- |"
            << std::endl;
  if (argc > 4) {
    auto number = [argv](int i) { return static_cast<size_t>(std::atoi(argv[i])); };
    ebonylift::RunSize(Size{number(1), number(2), number(3), 20'000, 1000,
                            std::chrono::seconds(std::atoi(argv[4]))});
    return 0;
  }
  ebonylift::RunSize(Size{70, 16, 16, 20'000, 1000, std::chrono::seconds(20)});
  // At the peak load of docs/design.md: 10 million tokens and 27,000 requests per second.
  ebonylift::RunSize(Size{370, 28'000, 300, 700, 370, std::chrono::seconds(10)});
  return 0;
}
