#include <map>
#include <nlohmann/json.hpp>

#include "testing/commands.h"
#include "testing/flags.h"
#include "testing/standin_server.h"

namespace ebonylift::standin {
namespace {

constexpr size_t kMaxPaths = 1000;

// Stand-in for the directory in which clients look up hosts: stores what daemons PUT below
// /directory/ and serves it to GET.
class Directory {
 public:
  explicit Directory(asio::io_context& io) {
    StandinHooks hooks;
    hooks.handle_request = [this](const HttpRequest& request,
                                  const std::shared_ptr<HttpResponder>& responder) {
      Handle(request, *responder);
    };
    hooks.state_json = [this] {
      return nlohmann::json({{"paths", values_.size()}, {"puts", puts_}});
    };
    server_ = std::make_unique<StandinServer>(io, std::move(hooks));
  }

  void Run() { server_->Run(); }

 private:
  void Handle(const HttpRequest& request, HttpResponder& responder) {
    if (request.path.rfind("/directory/", 0) != 0) {
      SendError(responder, 404, "unknown_path", "no such path: " + request.path);
    } else if (request.method == "PUT") {
      Put(request, responder);
    } else if (values_.count(request.path) == 0) {
      SendError(responder, 404, "not_published", "nothing was published at this path");
    } else {
      responder.Send(200, {{"content-type", "application/json"}}, values_[request.path]);
    }
  }

  void Put(const HttpRequest& request, HttpResponder& responder) {
    if (values_.count(request.path) == 0 && values_.size() >= kMaxPaths) {
      SendError(responder, 507, "full", "the directory is full");
      return;
    }
    ++puts_;
    values_[request.path] = request.body;
    uint64_t seq = server_->record().Add(EntryFromRequest(request));
    server_->record().Start(seq);
    server_->record().Finish(seq, "completed");
    SendJson(responder, 200, {{"stored", true}});
  }

  std::unique_ptr<StandinServer> server_;
  std::map<std::string, std::string> values_;
  int64_t puts_ = 0;
};

}  // namespace

int RunDirectory() {
  asio::io_context io;
  Directory directory(io);
  directory.Run();
  return 0;
}

}  // namespace ebonylift::standin
