#include <gflags/gflags.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "testing/commands.h"
#include "testing/flags.h"
#include "testing/standin_server.h"

DEFINE_double(weights_per_s, 2, "weight files served per second");
DEFINE_int64(weight_bytes, 4096, "size of each weight file in bytes");

namespace ebonylift::standin {
namespace {

// Stand-in for the store of model weights: serves GET /weights/<model>/<version>. One token bucket
// limits the rate of all clients together; requests above the rate get 429.
class WeightStore {
 public:
  explicit WeightStore(asio::io_context& io) : last_refill_(SteadyNow()) {
    StandinHooks hooks;
    hooks.handle_request = [this](const HttpRequest& request,
                                  const std::shared_ptr<HttpResponder>& responder) {
      Handle(request, *responder);
    };
    hooks.state_json = [this] {
      return nlohmann::json({{"served", served_}, {"refused", refused_}});
    };
    server_ = std::make_unique<StandinServer>(io, std::move(hooks));
  }

  void Run() { server_->Run(); }

 private:
  bool TakeToken() {
    Time now = SteadyNow();
    double elapsed = std::chrono::duration<double>(now - last_refill_).count();
    last_refill_ = now;
    bucket_tokens_ = std::min(std::max(1.0, FLAGS_weights_per_s),
                              bucket_tokens_ + elapsed * FLAGS_weights_per_s);
    if (bucket_tokens_ < 1) return false;
    bucket_tokens_ -= 1;
    return true;
  }

  void Handle(const HttpRequest& request, HttpResponder& responder) {
    uint64_t seq = server_->record().Add(EntryFromRequest(request));
    if (!TakeToken()) {
      ++refused_;
      server_->record().Finish(seq, "rate_limited");
      SendError(responder, 429, "rate_limited", "the rate limit of the weight store is exceeded");
      return;
    }
    ++served_;
    server_->record().Start(seq);
    server_->record().Finish(seq, "completed");
    responder.Send(200, {{"content-type", "application/octet-stream"}},
                   std::string(FLAGS_weight_bytes, 'w'));
  }

  std::unique_ptr<StandinServer> server_;
  double bucket_tokens_ = 1;
  Time last_refill_;
  int64_t served_ = 0;
  int64_t refused_ = 0;
};

}  // namespace

int RunWeightStore() {
  asio::io_context io;
  WeightStore store(io);
  store.Run();
  return 0;
}

}  // namespace ebonylift::standin
