#include "daemon/control.h"

#include <kj/async-io.h>

#include <atomic>
#include <future>
#include <thread>
#include <utility>

#include "base/error.h"
#include "base/event.h"
#include "daemon/control_loop.h"
#include "daemon/control_options.h"
#include "daemon/task_queue.h"

namespace ebonylift {
namespace {

// Implements ControlPort: starts the control thread and posts each call to its ControlLoop.
class Control final : public ControlPort {
 public:
  explicit Control(ControlOptions options) : options_(std::move(options)) {
    auto view = std::make_shared<RoutingView>();
    view->self = options_.self;
    view->config = std::make_shared<ConfigView>();
    view->hosts.push_back(SelfEntry(options_));
    SetView(view);
    std::promise<void> started;
    std::future<void> result = started.get_future();
    thread_ = std::thread([this, &started]() { Run(&started); });
    try {
      result.get();
    } catch (...) {
      thread_.join();
      throw;
    }
  }

  ~Control() override {
    Post([](ControlLoop* loop) { loop->Stop(); });
    task_queue_.Close();
    thread_.join();
  }

  void Announce(const Announcement& announcement,
                std::function<void(std::optional<Error>)> done) override {
    Post([announcement, done = std::move(done)](ControlLoop* loop) {
      loop->Announce(announcement, done);
    });
  }

  void Leave(const ServerId& server, uint64_t incarnation, std::function<void()> done) override {
    Post([server, incarnation, done = std::move(done)](ControlLoop* loop) {
      loop->Leave(server, incarnation, done);
    });
  }

  void ReadLinearizable(const std::string& path,
                        std::function<void(LinearizableRead)> done) override {
    Post([path, done = std::move(done)](ControlLoop* loop) { loop->ReadLinearizable(path, done); });
  }

  void Put(const ConfigPut& put, std::function<void(PutAnswer)> done) override {
    Post([put, done = std::move(done)](ControlLoop* loop) { loop->Put(put, 0, done); });
  }

  void Read(const std::string& path, std::function<void(ConfigRead)> done) override {
    Post([path, done = std::move(done)](ControlLoop* loop) { done(loop->replica()->Read(path)); });
  }

  void History(const std::string& path, size_t limit,
               std::function<void(std::vector<ConfigChange>)> done) override {
    Post([path, limit, done = std::move(done)](ControlLoop* loop) {
      done(loop->replica()->History(path, limit));
    });
  }

  void Watch(uint64_t from, Duration timeout,
             std::function<void(std::vector<ConfigChange>)> done) override {
    Time deadline = SteadyNow() + timeout;
    Post([from, deadline, done = std::move(done)](ControlLoop* loop) {
      loop->replica()->Watch(from, deadline, done);
    });
  }

  void ReportSuspects(std::vector<SuspectReport> reports) override {
    Post([reports = std::move(reports)](ControlLoop* loop) { loop->BroadcastSuspects(reports); });
  }

  void Timeline(HlcStamp since, const std::string& request_id, size_t limit,
                std::function<void(std::vector<Event>)> done) override {
    Post([since, request_id, limit, done = std::move(done)](ControlLoop* loop) {
      loop->Timeline(since, request_id, limit, done);
    });
  }

  void Status(std::function<void(StatusJson)> done) override {
    Post([done = std::move(done)](ControlLoop* loop) { done(loop->Status()); });
  }

  void ShareWork(std::vector<ServerWork> work) override {
    Post([work = std::move(work)](ControlLoop* loop) mutable { loop->ShareWork(std::move(work)); });
  }

  void ReportRoom(RoomReport report) override {
    Post([report = std::move(report)](ControlLoop* loop) { loop->BroadcastRoom(report); });
  }

  void AskForLimits() override {
    Post([](ControlLoop* loop) { loop->AskForLimits(); });
  }

  void ShareStreams(std::map<HostId, std::vector<StreamRecord>> by_holder) override {
    Post([by_holder = std::move(by_holder)](ControlLoop* loop) { loop->ShareStreams(by_holder); });
  }

  void FindVersions(std::vector<HostId> hosts, std::string served,
                    std::function<void(const VersionSearch&)> done) override {
    Post([hosts = std::move(hosts), served = std::move(served),
          done = std::move(done)](ControlLoop* loop) { loop->FindVersions(hosts, served, done); });
  }

  void FindStream(std::vector<HostId> hosts, uint64_t stream,
                  std::function<void(const StreamSearch&)> done) override {
    Post([hosts = std::move(hosts), stream, done = std::move(done)](ControlLoop* loop) {
      loop->FindStream(hosts, stream, done);
    });
  }

  void StartDrain() override {
    Post([](ControlLoop* loop) { loop->StartDrain(); });
  }

  void SetOverloaded(bool overloaded) override {
    Post([overloaded](ControlLoop* loop) { loop->UpdateOverloaded(overloaded); });
  }

  std::shared_ptr<const RoutingView> View() const override { return std::atomic_load(&view_); }

 private:
  void Post(std::function<void(ControlLoop*)> fn) {
    task_queue_.Post([this, fn = std::move(fn)]() { fn(loop_); });
  }

  void SetView(std::shared_ptr<const RoutingView> view) {
    std::atomic_store(&view_, std::move(view));
  }

  void Run(std::promise<void>* started) {
    bool running = false;
    try {
      kj::AsyncIoContext io = kj::setupAsyncIo();
      ControlLoop loop(&io, &options_, &task_queue_,
                       [this](std::shared_ptr<const RoutingView> view) { SetView(view); });
      loop_ = &loop;
      loop.Start();
      running = true;
      started->set_value();
      loop.Wait();
    } catch (const std::exception& e) {
      if (!running) return started->set_exception(std::current_exception());
      LogEvent(EventId::kThreadFailed, {{"thread", "control"}, {"error", e.what()}});
    }
  }

  ControlOptions options_;
  TaskQueue task_queue_;
  ControlLoop* loop_ = nullptr;  // used on the control thread only
  std::shared_ptr<const RoutingView> view_;
  std::thread thread_;
};

void CheckOptions(const ControlOptions& options) {
  if (options.self.host.empty()) throw Error(ErrorKind::kInternal, "the host id is empty");
  if (options.incarnation == 0) throw Error(ErrorKind::kInternal, "the incarnation is 0");
  if (options.cluster_key.empty()) throw Error(ErrorKind::kInternal, "the cluster key is empty");
}

}  // namespace

std::unique_ptr<ControlPort> StartControl(ControlOptions options) {
  CheckOptions(options);
  return std::make_unique<Control>(std::move(options));
}

}  // namespace ebonylift
