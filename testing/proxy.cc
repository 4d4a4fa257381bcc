#include <fnmatch.h>
#include <gflags/gflags.h>

#include <asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "adapters/http_server.h"
#include "base/error.h"
#include "testing/commands.h"
#include "testing/flags.h"
#include "testing/proxy_link.h"
#include "testing/standin_server.h"

DEFINE_string(links_file, "", "JSON file {\"links\":[{name,listen,target,delay_ms,jitter_ms}]}");
DEFINE_string(links, "", "links in the form name,listen,target,delay_ms, separated by semicolons");
DEFINE_uint64(jitter_seed, 1, "seed of the random jitter");

namespace ebonylift::standin {
namespace {

using nlohmann::json;

// A TCP proxy that injects network faults, controlled over HTTP:
//   GET /proxy/links[?match=PATTERN]
//   POST /proxy/add {"links":[...]}
//   POST /proxy/set {"links":PATTERN, ...LinkFaults}
//   POST /proxy/reset {"links":PATTERN}
// PATTERN is a shell pattern over link names. Each response is {"links":[state]} of the affected
// links.
class Proxy {
 public:
  explicit Proxy(asio::io_context& io) : io_(io) {
    if (!FLAGS_links_file.empty()) AddFromFile();
    AddFromFlag();
    control_ = StartHttpServer(
        io_, FLAGS_listen, HttpLimits{},
        [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
          Handle(request, *responder);
        });
  }

  uint16_t port() const { return control_->port(); }

 private:
  void AddFromFile() {
    std::ifstream file(FLAGS_links_file);
    json content = json::parse(file, nullptr, false);
    if (!content.is_object()) {
      throw Error(ErrorKind::kBadRequest, "cannot parse the links file " + FLAGS_links_file);
    }
    Add(content);
  }

  void AddFromFlag() {
    for (const std::string& item : Split(FLAGS_links, ';')) {
      std::vector<std::string> parts = Split(item, ',');
      if (parts.size() != 4)
        throw Error(ErrorKind::kBadRequest, "expected name,listen,target,delay_ms, got: " + item);
      json link = {{"name", parts[0]}, {"listen", parts[1]}, {"target", parts[2]}};
      link["delay_ms"] = std::stoll(parts[3]);
      Add({{"links", json::array({link})}});
    }
  }

  json Add(const json& request) {
    json states = json::array();
    for (const json& item : request.at("links")) {
      LinkSettings settings;
      settings.name = item.at("name").get<std::string>();
      settings.listen = item.at("listen").get<std::string>();
      settings.target = item.at("target").get<std::string>();
      json faults = item;
      for (const char* field : {"name", "listen", "target"}) faults.erase(field);
      settings.faults = ApplyLinkFaults({}, faults);
      if (links_.count(settings.name) > 0) {
        throw Error(ErrorKind::kBadRequest, "duplicate link name: " + settings.name);
      }
      std::string name = settings.name;
      uint64_t seed = FLAGS_jitter_seed + links_.size();
      links_[name] = std::make_unique<ProxyLink>(io_, std::move(settings), seed);
      states.push_back(links_[name]->ToJson());
    }
    return states;
  }

  std::vector<ProxyLink*> FindLinks(const std::string& pattern) {
    std::vector<ProxyLink*> matching_links;
    for (const auto& [name, link] : links_) {
      if (fnmatch(pattern.c_str(), name.c_str(), 0) == 0) matching_links.push_back(link.get());
    }
    if (matching_links.empty()) {
      throw Error(ErrorKind::kUnknownPath, "no link matches " + pattern);
    }
    return matching_links;
  }

  json Set(const json& request) {
    std::vector<ProxyLink*> links = FindLinks(request.at("links").get<std::string>());
    // Validates the request for all links before changing any of them.
    for (ProxyLink* link : links) ApplyLinkFaults(link->faults(), request);
    json states = json::array();
    for (ProxyLink* link : links) {
      link->SetFaults(ApplyLinkFaults(link->faults(), request));
      states.push_back(link->ToJson());
    }
    return states;
  }

  json Reset(const json& request) {
    json states = json::array();
    for (ProxyLink* link : FindLinks(request.at("links").get<std::string>())) {
      link->ResetConnections();
      states.push_back(link->ToJson());
    }
    return states;
  }

  json List(const std::string& query) {
    std::string pattern = query.rfind("match=", 0) == 0 ? query.substr(6) : "*";
    json states = json::array();
    for (ProxyLink* link : FindLinks(pattern)) states.push_back(link->ToJson());
    return states;
  }

  json Dispatch(const HttpRequest& request) {
    if (request.method == "GET" && request.path == "/proxy/links") return List(request.query);
    json body = json::parse(request.body);
    if (request.path == "/proxy/add") return Add(body);
    if (request.path == "/proxy/set") return Set(body);
    if (request.path == "/proxy/reset") return Reset(body);
    throw Error(ErrorKind::kUnknownPath, "no such path: " + request.path);
  }

  void Handle(const HttpRequest& request, HttpResponder& responder) {
    try {
      SendJson(responder, 200, {{"links", Dispatch(request)}});
    } catch (const json::exception& error) {
      SendError(responder, 400, "bad_request", error.what());
    } catch (const Error& error) {
      SendError(responder, LookupError(error.kind()).http_status, LookupError(error.kind()).code,
                error.what());
    }
  }

  asio::io_context& io_;
  std::map<std::string, std::unique_ptr<ProxyLink>> links_;
  std::unique_ptr<HttpServer> control_;
};

}  // namespace

int RunProxy() {
  asio::io_context io;
  Proxy proxy(io);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const asio::error_code& /*error*/, int /*signal*/) { io.stop(); });
  std::string host = FLAGS_listen.substr(0, FLAGS_listen.rfind(':'));
  json line = {{"listening", host + ":" + std::to_string(proxy.port())}};
  std::cout << line.dump() << std::endl;
  io.run();
  return 0;
}

}  // namespace ebonylift::standin
