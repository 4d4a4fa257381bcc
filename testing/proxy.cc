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
DEFINE_string(links, "", "links as name,listen,target,delay_ms; separated by semicolons");
DEFINE_uint64(jitter_seed, 1, "seed of the jitter");

namespace ebonylift::standin {
namespace {

using nlohmann::json;

// Control: GET /proxy/links[?match=PATTERN]; POST /proxy/add {"links":[...]},
// /proxy/set {"links":PATTERN, ...LinkFaults}, /proxy/reset {"links":PATTERN}. PATTERN is a shell
// pattern over link names. Each answers {"links":[state]} of the links concerned.
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
      throw Error(ErrorKind::kBadRequest, "cannot read links from " + FLAGS_links_file);
    }
    Add(content);
  }

  void AddFromFlag() {
    for (const std::string& item : Split(FLAGS_links, ';')) {
      std::vector<std::string> parts = Split(item, ',');
      if (parts.size() != 4) throw Error(ErrorKind::kBadRequest, "not a link: " + item);
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
        throw Error(ErrorKind::kBadRequest, "a link of this name exists: " + settings.name);
      }
      std::string name = settings.name;
      uint64_t seed = FLAGS_jitter_seed + links_.size();
      links_[name] = std::make_unique<ProxyLink>(io_, std::move(settings), seed);
      states.push_back(links_[name]->ToJson());
    }
    return states;
  }

  std::vector<ProxyLink*> Match(const std::string& pattern) {
    std::vector<ProxyLink*> matching;
    for (const auto& [name, link] : links_) {
      if (fnmatch(pattern.c_str(), name.c_str(), 0) == 0) matching.push_back(link.get());
    }
    if (matching.empty()) {
      throw Error(ErrorKind::kUnknownPath, "no link matches " + pattern);
    }
    return matching;
  }

  json Set(const json& request) {
    std::vector<ProxyLink*> links = Match(request.at("links").get<std::string>());
    // All links are checked before one is changed.
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
    for (ProxyLink* link : Match(request.at("links").get<std::string>())) {
      link->ResetConnections();
      states.push_back(link->ToJson());
    }
    return states;
  }

  json List(const std::string& query) {
    std::string pattern = query.rfind("match=", 0) == 0 ? query.substr(6) : "*";
    json states = json::array();
    for (ProxyLink* link : Match(pattern)) states.push_back(link->ToJson());
    return states;
  }

  json Execute(const HttpRequest& request) {
    if (request.method == "GET" && request.path == "/proxy/links") return List(request.query);
    json body = json::parse(request.body);
    if (request.path == "/proxy/add") return Add(body);
    if (request.path == "/proxy/set") return Set(body);
    if (request.path == "/proxy/reset") return Reset(body);
    throw Error(ErrorKind::kUnknownPath, "no such path: " + request.path);
  }

  void Handle(const HttpRequest& request, HttpResponder& responder) {
    try {
      SendJson(responder, 200, {{"links", Execute(request)}});
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
