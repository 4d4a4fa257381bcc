#include "daemon/request.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <set>

#include "base/event.h"
#include "base/hash.h"

namespace ebonylift {
namespace {

using nlohmann::json;

constexpr size_t kMaxKeyBytes = 255;
constexpr int64_t kBytesPerToken = 4;  // rough size of a token of text
constexpr size_t kPrefixBlockBytes = 1024;
constexpr size_t kMaxPrefixBlocks = 16;

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

bool IsHopByHop(const std::string& lower) {
  static const std::set<std::string> names = {"connection",
                                              "keep-alive",
                                              "proxy-authenticate",
                                              "proxy-authorization",
                                              "proxy-connection",
                                              "te",
                                              "trailer",
                                              "transfer-encoding",
                                              "upgrade",
                                              "host",
                                              "content-length",
                                              "expect",
                                              "authorization"};
  return names.count(lower) > 0 || lower.rfind("x-ebonylift-", 0) == 0;
}

// Headers named in `Connection` are hop-by-hop too.
std::set<std::string> ConnectionOptions(const HttpHeaders& headers) {
  std::set<std::string> options;
  std::string list = Lower(FindHeader(headers, "connection"));
  std::string option;
  for (char c : list + ",") {
    if (c == ',') {
      options.insert(option);
      option.clear();
    } else if (c != ' ') {
      option.push_back(c);
    }
  }
  return options;
}

TrafficClass ParseClass(const std::string& text) {
  if (text == "interactive") return TrafficClass::kInteractive;
  if (text == "check") return TrafficClass::kCheck;
  if (text == "chapter") return TrafficClass::kChapter;
  throw Error(ErrorKind::kBadRequest, "x-ebonylift-class is not interactive, check or chapter");
}

// The text of a prompt in either published form, for prefix hashes; not kept.
std::string PromptText(const json& body) {
  std::string text;
  if (body.contains("messages") && body["messages"].is_array()) {
    for (const json& message : body["messages"]) {
      if (!message.is_object()) throw Error(ErrorKind::kBadRequest, "a message is not an object");
      text += message.value("role", json()).dump() + message.value("content", json()).dump();
    }
  } else if (body.contains("prompt")) {
    text = body["prompt"].dump();
  }
  return text;
}

std::vector<uint64_t> PrefixHashes(const std::string& text) {
  std::vector<uint64_t> hashes;
  uint64_t hash = 0;
  size_t blocks = std::min(text.size() / kPrefixBlockBytes, kMaxPrefixBlocks);
  for (size_t i = 0; i < blocks; ++i) {
    hash = Hash64(std::string_view(text).substr(i * kPrefixBlockBytes, kPrefixBlockBytes), hash);
    hashes.push_back(hash);
  }
  return hashes;
}

const RouteConfig* FindModelRoute(const TeamConfig& team, const std::string& model) {
  for (const auto& [id, route] : team.routes) {
    if (route.kind == ServerKind::kModel && (route.model.value() == model || id.value() == model)) {
      return &route;
    }
  }
  return nullptr;
}

void ParseModelBody(RequestSpec* spec, const TeamConfig& team) {
  json body = json::parse(spec->body, nullptr, false);
  if (!body.is_object()) throw Error(ErrorKind::kBadRequest, "the body is not a JSON object");
  if (!body.contains("model") || !body["model"].is_string()) {
    throw Error(ErrorKind::kBadRequest, "the body has no string \"model\"");
  }
  bool chat = spec->path == "/v1/chat/completions";
  if (chat && (!body.contains("messages") || !body["messages"].is_array())) {
    throw Error(ErrorKind::kBadRequest, "the body has no array \"messages\"");
  }
  if (!chat && !body.contains("prompt")) {
    throw Error(ErrorKind::kBadRequest, "the body has no \"prompt\"");
  }
  std::string model = body["model"];
  if (spec->route == nullptr) spec->route = FindModelRoute(team, model);
  if (spec->route == nullptr) {
    throw Error(ErrorKind::kUnknownModel, "the team has no route for this model");
  }
  if (body.contains("stream") && !body["stream"].is_boolean()) {
    throw Error(ErrorKind::kBadRequest, "\"stream\" is not a boolean");
  }
  spec->stream = body.value("stream", false);
  std::string text = PromptText(body);
  spec->prompt_tokens = static_cast<int64_t>(text.size()) / kBytesPerToken;
  spec->prefix_hashes = PrefixHashes(text);
}

// `/svc/{route}/rest` is sent to the service as `/rest`.
void ParseServicePath(RequestSpec* spec, const TeamConfig& team) {
  constexpr size_t kPrefixBytes = 5;  // "/svc/"
  size_t slash = spec->path.find('/', kPrefixBytes);
  std::string name = spec->path.substr(kPrefixBytes, slash - kPrefixBytes);
  auto route = team.routes.find(RouteId(name));
  if (route == team.routes.end() || route->second.kind != ServerKind::kService) {
    throw Error(ErrorKind::kUnknownModel, "the team has no service route with this name");
  }
  spec->route = &route->second;
  spec->path = slash == std::string::npos ? "/" : spec->path.substr(slash);
}

void ApplyCallerHeaders(RequestSpec* spec, const HttpHeaders& headers, Time now) {
  const RouteConfig& route = *spec->route;
  spec->traffic_class = route.traffic_class;
  const std::string& class_text = FindHeader(headers, "x-ebonylift-class");
  // A caller may lower the priority of its route, not raise it.
  if (!class_text.empty()) {
    spec->traffic_class = std::max(spec->traffic_class, ParseClass(class_text));
  }
  spec->deadline = now + route.deadline;
  const std::string& deadline = FindHeader(headers, "x-ebonylift-deadline-ms");
  if (!deadline.empty()) {
    char* end = nullptr;
    long long ms = std::strtoll(deadline.c_str(), &end, 10);
    if (*end != '\0' || ms <= 0) {
      throw Error(ErrorKind::kBadRequest, "x-ebonylift-deadline-ms is not a positive number");
    }
    spec->deadline = std::min(spec->deadline, now + milliseconds(std::min(ms, 86'400'000LL)));
  }
  const std::string& idempotent = FindHeader(headers, "x-ebonylift-idempotent");
  if (!idempotent.empty() && idempotent != "true" && idempotent != "false") {
    throw Error(ErrorKind::kBadRequest, "x-ebonylift-idempotent is not true or false");
  }
  spec->idempotent = route.idempotent && idempotent != "false";
}

void ApplyForwardMark(RequestSpec* spec, const ForwardMark& mark, Time now) {
  spec->id = mark.request;
  spec->forwarded = true;
  spec->hops = mark.hops;
  spec->crossed = mark.crossed;
  spec->claimed = mark.claimed;
  spec->traffic_class = mark.traffic_class;
  // The route of this host may be stricter than the sender's, never looser.
  spec->idempotent = spec->idempotent && mark.idempotent;
  spec->deadline = now + milliseconds(mark.deadline_ms);
}

void CheckResidency(const RequestSpec& spec) {
  const RegionId& region = spec.view->self.region;
  const std::vector<RegionId>& allowed = spec.allowed_regions;
  if (std::find(allowed.begin(), allowed.end(), region) != allowed.end()) return;
  LogEvent(EventId::kResidencyViolationRefused, {{"request_id", spec.id.value()},
                                                 {"team", spec.team.value()},
                                                 {"route", spec.route->id.value()},
                                                 {"region", region.value()}});
  throw Error(ErrorKind::kResidencyRefused, "the data of this route may not be in region " +
                                                region.value() +
                                                "; GET /v1/entry-hosts lists the hosts to use");
}

std::string SpecKey(const RequestSpec& spec, const HttpHeaders& headers) {
  const std::string& key = FindHeader(headers, "idempotency-key");
  if (key.size() > kMaxKeyBytes) {
    throw Error(ErrorKind::kBadRequest, "idempotency-key is longer than 255 characters");
  }
  if (!key.empty()) return key;
  if (spec.route->key_from_body && !spec.idempotent) return "body:" + spec.body_sha256;
  return "";
}

const TeamConfig& FindTeam(const ConfigView& config, const TeamId& team) {
  auto found = config.teams.find(team);
  if (found == config.teams.end()) {
    throw Error(ErrorKind::kForbidden, "the team has no configuration");
  }
  return found->second;
}

}  // namespace

TeamId AuthenticateTeam(const HttpHeaders& headers, const ConfigView& config) {
  constexpr char kBearer[] = "Bearer ";
  constexpr size_t kBearerBytes = sizeof(kBearer) - 1;
  if (config.revision == 0) {
    throw Error(ErrorKind::kNotReady, "this entry host has no configuration yet");
  }
  const std::string& value = FindHeader(headers, "authorization");
  if (value.compare(0, kBearerBytes, kBearer) != 0) {
    throw Error(ErrorKind::kUnauthorized, "the Authorization header has no bearer key");
  }
  auto team = config.keys.find(Sha256Hex(std::string_view(value).substr(kBearerBytes)));
  if (team == config.keys.end()) throw Error(ErrorKind::kUnauthorized, "the key is not known");
  return team->second;
}

HttpHeaders EndToEndHeaders(const HttpHeaders& headers, HeaderSet set) {
  std::set<std::string> options = ConnectionOptions(headers);
  HttpHeaders kept;
  for (const auto& header : headers) {
    std::string name = Lower(header.first);
    bool wanted =
        set == HeaderSet::kWithHostAndAuthorization && (name == "host" || name == "authorization");
    if (wanted || (!IsHopByHop(name) && options.count(name) == 0)) kept.push_back(header);
  }
  return kept;
}

const std::string& BodyHash(RequestSpec* spec) {
  if (spec->body_sha256.empty()) spec->body_sha256 = Sha256Hex(spec->body);
  return spec->body_sha256;
}

RequestId NewRequestId() {
  constexpr size_t kIdBytes = 12;
  return RequestId("r-" + RandomHex(kIdBytes));
}

RequestSpec ParseRequest(HttpRequest request, std::shared_ptr<const RoutingView> view,
                         const std::string& cluster_key, Time now) {
  RequestSpec spec;
  spec.view = std::move(view);
  spec.arrived = now;
  spec.method = request.method;
  spec.request_path = request.path;
  spec.path = request.path;
  spec.query = request.query;
  spec.body = std::move(request.body);
  spec.body_sha256 = Sha256Hex(spec.body);
  spec.caller_request_id = FindHeader(request.headers, "x-request-id");
  const ConfigView& config = *spec.view->config;

  const std::string& forward = FindHeader(request.headers, kForwardHeader);
  ForwardMark mark;
  if (!forward.empty()) {
    ForwardBinding binding{spec.method, spec.path + "?" + spec.query,
                           FindHeader(request.headers, "idempotency-key"), spec.body_sha256};
    mark = DecodeForward(forward, binding, cluster_key, WallNow());
    if (config.revision == 0) {
      throw Error(ErrorKind::kNotReady, "this entry host has no configuration yet");
    }
    spec.team = mark.team;
  } else {
    spec.team = AuthenticateTeam(request.headers, config);
    spec.id = NewRequestId();
  }

  const TeamConfig& team = FindTeam(config, spec.team);
  if (!forward.empty()) {
    auto route = team.routes.find(mark.route);
    if (route == team.routes.end()) {
      throw Error(ErrorKind::kUnknownModel, "the route of the forwarded request is not known here");
    }
    spec.route = &route->second;
  }
  if (spec.path.rfind("/svc/", 0) == 0) {
    ParseServicePath(&spec, team);
  } else {
    ParseModelBody(&spec, team);
  }
  spec.allowed_regions = AllowedRegions(config, *spec.route);
  ApplyCallerHeaders(&spec, request.headers, now);
  if (!forward.empty()) ApplyForwardMark(&spec, mark, now);
  spec.idempotency_key = SpecKey(spec, request.headers);
  spec.content = Hash64(spec.body, Hash64(spec.route->model.value() + spec.route->service));
  spec.headers = EndToEndHeaders(request.headers);
  CheckResidency(spec);
  return spec;
}

}  // namespace ebonylift
