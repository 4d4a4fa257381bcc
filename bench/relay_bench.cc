// Measures short requests and streamed events per second through a relay that is built from the
// HTTP server and the HTTP client, and compares them with calling the upstream server directly in
// the same run.
//
// Usage: relay_bench [seconds per measurement] [concurrent calls per load thread]

#include <algorithm>
#include <asio.hpp>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "adapters/http_client.h"
#include "adapters/http_server.h"

namespace ebonylift {
namespace {

// A relay stops reading a stream while more bytes than this wait to be written to the client.
constexpr size_t kMaxPendingBytes = 256 << 10;
constexpr int kUpstreamThreads = 2;
constexpr int kLoadThreads = 2;

const std::string& EventText() {
  static const std::string text = "data: {\"choices\":[{\"delta\":{\"content\":\"token \"}}]}\n\n";
  return text;
}

// A thread with its own event loop, and the HTTP client and server that run on it.
struct EventLoop {
  EventLoop() : thread([this] { io.run(); }) {}
  ~EventLoop() { Stop(); }
  // Runs `fn` on the thread and waits until it has returned.
  void RunAndWait(const std::function<void()>& fn) {
    std::promise<void> done;
    asio::post(io, [&] {
      fn();
      done.set_value();
    });
    done.get_future().wait();
  }
  void Stop() {
    if (!thread.joinable()) return;
    io.stop();
    thread.join();
  }

  asio::io_context io{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_guard{io.get_executor()};
  std::unique_ptr<HttpClient> client;
  std::unique_ptr<HttpServer> server;
  std::thread thread;
};

using EventLoops = std::vector<std::unique_ptr<EventLoop>>;

// The HTTP server behind the relay. Answers /short at once, and on /stream writes events as fast as
// the client reads them.
struct Upstream {
  explicit Upstream(asio::io_context& loop) : io(loop) {}

  void Handle(const HttpRequest& request, std::shared_ptr<HttpResponder> responder) {
    if (request.path == "/short") {
      responder->Send(200, {{"content-type", "application/json"}}, std::string(200, 'r'));
      return;
    }
    responder->Begin(200, {{"content-type", "text/event-stream"}});
    auto* closed_stream = responder.get();
    responder->OnClosed([this, closed_stream] {
      streams.erase(std::remove_if(streams.begin(), streams.end(),
                                   [closed_stream](const auto& stream) {
                                     return stream.get() == closed_stream;
                                   }),
                    streams.end());
    });
    streams.push_back(std::move(responder));
    if (streams.size() == 1) WriteEvents();
  }

  // Writes one event to each stream whose previous event has been passed to the kernel, so each
  // write holds one event. Posts itself again while there are streams.
  void WriteEvents() {
    if (streams.empty()) return;
    for (auto& stream : streams) {
      if (stream->PendingBytes() == 0) stream->Write(EventText());
    }
    asio::post(io, [this] { WriteEvents(); });
  }

  asio::io_context& io;
  std::vector<std::shared_ptr<HttpResponder>> streams;
};

// Relays one request to the upstream server. Pauses reading the upstream response while the client
// is slow, and cancels the upstream call when the client closes its connection.
void RelayRequest(HttpClient& client, const std::string& upstream, HttpRequest request,
                  const std::shared_ptr<HttpResponder>& responder) {
  auto id = std::make_shared<CallId>(0);
  HttpCall call;
  call.method = request.method;
  call.url = upstream + request.path;
  call.body = std::move(request.body);
  call.on_headers = [responder](int status, const HttpHeaders& headers) {
    responder->Begin(status, {{"content-type", FindHeader(headers, "content-type")}});
  };
  call.on_data = [responder](std::string_view data) {
    if (responder->PendingBytes() > kMaxPendingBytes) return false;
    responder->Write(std::string(data));
    return true;
  };
  call.on_done = [responder](const CallResult& result) {
    if (result.outcome == CallOutcome::kComplete) {
      responder->End();
    } else {
      responder->Abort();
    }
  };
  responder->OnDrained([&client, id] { client.Resume(*id); });
  responder->OnClosed([&client, id] { client.Cancel(*id); });
  *id = client.Start(std::move(call));
}

// Keeps short calls or streams open on one event loop, and counts what comes back.
struct LoadGenerator {
  LoadGenerator(EventLoop& event_loop, std::string base_url)
      : loop(event_loop), url(std::move(base_url)) {}

  EventLoop& loop;
  std::string url;
  size_t calls = 0;
  size_t events = 0;
  size_t failures = 0;
  std::vector<int64_t> latencies_us;
  bool stop = false;

  // Makes short calls one after another until `stop`.
  void MakeShortCalls() {
    if (stop) return;
    HttpCall call;
    call.method = "POST";
    call.url = url + "/short";
    call.body = std::string(200, 'q');
    Time start = SteadyNow();
    call.on_done = [this, start](const CallResult& result) {
      if (result.outcome == CallOutcome::kComplete && result.status == 200) {
        ++calls;
        latencies_us.push_back((SteadyNow() - start).count());
      } else {
        ++failures;
      }
      MakeShortCalls();
    };
    loop.client->Start(std::move(call));
  }

  // Opens one stream and counts its events until `stop`.
  void OpenStream() {
    HttpCall call;
    call.url = url + "/stream";
    call.on_data = [this](std::string_view data) {
      events += static_cast<size_t>(std::count(data.begin(), data.end(), '\n')) / 2;
      return !stop;
    };
    call.on_done = [this](const CallResult&) { failures += stop ? 0 : 1; };
    loop.client->Start(std::move(call));
  }
};

struct Measurement {
  double per_second = 0;
  int64_t p50_us = 0;
  int64_t p99_us = 0;
  size_t failures = 0;
};

Measurement Measure(const std::string& url, bool streams, double seconds_per_measurement,
                    int concurrency) {
  EventLoops loops;
  std::vector<std::unique_ptr<LoadGenerator>> generators;
  for (int i = 0; i < kLoadThreads; ++i) {
    loops.push_back(std::make_unique<EventLoop>());
    EventLoop& loop = *loops.back();
    generators.push_back(std::make_unique<LoadGenerator>(loop, url));
    LoadGenerator& generator = *generators.back();
    loop.RunAndWait([&] {
      loop.client = MakeHttpClient(loop.io);
      for (int j = 0; j < concurrency; ++j) {
        if (streams) {
          generator.OpenStream();
        } else {
          generator.MakeShortCalls();
        }
      }
    });
  }
  auto total_count = [&] {
    size_t total = 0;
    for (size_t i = 0; i < generators.size(); ++i) {
      loops[i]->RunAndWait(
          [&] { total += streams ? generators[i]->events : generators[i]->calls; });
    }
    return total;
  };
  std::this_thread::sleep_for(milliseconds(300));  // warm-up: connections open, caches fill
  Time start = SteadyNow();
  size_t before = total_count();
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds_per_measurement));
  size_t after = total_count();
  Measurement result;
  result.per_second = static_cast<double>(after - before) /
                      std::chrono::duration<double>(SteadyNow() - start).count();
  std::vector<int64_t> latencies;
  for (size_t i = 0; i < generators.size(); ++i) {
    loops[i]->RunAndWait([&] {
      generators[i]->stop = true;
      result.failures += generators[i]->failures;
      latencies.insert(latencies.end(), generators[i]->latencies_us.begin(),
                       generators[i]->latencies_us.end());
      loops[i]->client.reset();
    });
    loops[i]->Stop();
  }
  std::sort(latencies.begin(), latencies.end());
  if (!latencies.empty()) {
    result.p50_us = latencies[latencies.size() / 2];
    result.p99_us = latencies[latencies.size() * 99 / 100];
  }
  return result;
}

// Starts one server on each of `threads` event loops, all listening on the same address, and
// returns its URL.
std::string StartServers(EventLoops* loops, int threads,
                         const std::function<HttpHandler(EventLoop&)>& handler) {
  std::string address = "127.0.0.1:0";
  for (int i = 0; i < threads; ++i) {
    loops->push_back(std::make_unique<EventLoop>());
    EventLoop& loop = *loops->back();
    loop.RunAndWait([&] {
      loop.client = MakeHttpClient(loop.io);
      loop.server = StartHttpServer(loop.io, address, HttpLimits{}, handler(loop));
      address = "127.0.0.1:" + std::to_string(loop.server->port());
    });
  }
  return "http://" + address;
}

void StopAll(EventLoops* loops) {
  for (auto& loop : *loops) {
    loop->RunAndWait([&] {
      loop->server.reset();
      loop->client.reset();
    });
    loop->Stop();
  }
}

void Print(const char* name, bool streams, const Measurement& result) {
  printf("%-22s %-8s %10.0f/s", name, streams ? "events" : "requests", result.per_second);
  if (!streams) {
    printf("  p50 %lld us  p99 %lld us", static_cast<long long>(result.p50_us),
           static_cast<long long>(result.p99_us));
  }
  printf("  failures %zu\n", result.failures);
  fflush(stdout);
}

int Main(int argc, char** argv) {
  double seconds_per_measurement = argc > 1 ? atof(argv[1]) : 2;
  int concurrency = argc > 2 ? atoi(argv[2]) : 32;
  EventLoops upstream_loops;
  std::vector<std::unique_ptr<Upstream>> upstreams;
  std::string upstream = StartServers(&upstream_loops, kUpstreamThreads, [&](EventLoop& loop) {
    upstreams.push_back(std::make_unique<Upstream>(loop.io));
    return [target = upstreams.back().get()](const HttpRequest& request,
                                             std::shared_ptr<HttpResponder> responder) {
      target->Handle(request, std::move(responder));
    };
  });
  printf("%d upstream threads, %d load threads, %d concurrent calls each\n", kUpstreamThreads,
         kLoadThreads, concurrency);
  for (bool streams : {false, true}) {
    Print("direct", streams, Measure(upstream, streams, seconds_per_measurement, concurrency));
    for (int threads : {1, 2}) {
      EventLoops relay_loops;
      std::string relay = StartServers(&relay_loops, threads, [&](EventLoop& loop) {
        return [&loop, upstream](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
          RelayRequest(*loop.client, upstream, std::move(request), responder);
        };
      });
      std::string name = "relay, " + std::to_string(threads) + " thread(s)";
      Print(name.c_str(), streams, Measure(relay, streams, seconds_per_measurement, concurrency));
      StopAll(&relay_loops);
    }
  }
  StopAll(&upstream_loops);
  return 0;
}

}  // namespace
}  // namespace ebonylift

int main(int argc, char** argv) { return ebonylift::Main(argc, argv); }
