#include "daemon/request.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <set>

#include "base/event.h"
#include "base/hash.h"
#include "base/json_parse.h"

namespace ebonylift {
namespace {

using nlohmann::json;

constexpr size_t kMaxIdempotencyKeyBytes = 255;
constexpr int64_t kEstimatedBytesPerToken = 4;  // approximation for typical text
constexpr size_t kPrefixBlockBytes = 1024;
constexpr size_t kMaxPrefixBlocks = 16;

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

// Returns true for hop-by-hop headers, other headers that each connection sets itself, credentials
// and the gateway's own headers. `lower` is the header name in lower case.
bool IsStrippedHeader(const std::string& lower) {
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

// Returns the header names listed in `Connection`, which are hop-by-hop as well (RFC 9110).
std::set<std::string> ConnectionOptions(const HttpHeaders& headers) {
  std::set<std::string> options;
  std::string list = ToLower(FindHeader(headers, "connection"));
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

TrafficClass ParseTrafficClass(const std::string& text) {
  if (text == "interactive") return TrafficClass::kInteractive;
  if (text == "check") return TrafficClass::kCheck;
  if (text == "chapter") return TrafficClass::kChapter;
  throw Error(ErrorKind::kBadRequest, "x-ebonylift-class must be interactive, check or chapter");
}

// Returns the prompt of a chat (`messages`) or completion (`prompt`) body as text. Used only to
// compute prefix hashes and estimate the token count.
std::string PromptText(const json& body) {
  std::string text;
  if (body.contains("messages") && body["messages"].is_array()) {
    for (const json& message : body["messages"]) {
      if (!message.is_object()) throw Error(ErrorKind::kBadRequest, "a message must be an object");
      text += message.value("role", json()).dump() + message.value("content", json()).dump();
    }
  } else if (body.contains("prompt")) {
    text = body["prompt"].dump();
  }
  return text;
}

// Returns chained hashes of the first kMaxPrefixBlocks complete blocks; each covers the whole
// prefix up to the end of its block.
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
  json body = ParseForeignJson(spec->body);
  if (!body.is_object()) throw Error(ErrorKind::kBadRequest, "the body must be a JSON object");
  if (!body.contains("model") || !body["model"].is_string()) {
    throw Error(ErrorKind::kBadRequest, "the body must have a string field \"model\"");
  }
  bool chat = spec->path == "/v1/chat/completions";
  if (chat && (!body.contains("messages") || !body["messages"].is_array())) {
    throw Error(ErrorKind::kBadRequest, "the body must have an array field \"messages\"");
  }
  if (!chat && !body.contains("prompt")) {
    throw Error(ErrorKind::kBadRequest, "the body must have a field \"prompt\"");
  }
  std::string model = body["model"];
  if (spec->route == nullptr) spec->route = FindModelRoute(team, model);
  if (spec->route == nullptr) {
    throw Error(ErrorKind::kUnknownModel, "the team has no route for the requested model");
  }
  if (body.contains("stream") && !body["stream"].is_boolean()) {
    throw Error(ErrorKind::kBadRequest, "\"stream\" must be a boolean");
  }
  spec->stream = body.value("stream", false);
  std::string text = PromptText(body);
  spec->prompt_tokens = static_cast<int64_t>(text.size()) / kEstimatedBytesPerToken;
  spec->prefix_hashes = PrefixHashes(text);
}

// Resolves the route of `/svc/{route}/rest` and rewrites the path to `/rest` for the service.
void ParseServicePath(RequestSpec* spec, const TeamConfig& team) {
  constexpr size_t kServicePrefixBytes = 5;  // "/svc/"
  size_t slash = spec->path.find('/', kServicePrefixBytes);
  std::string name = spec->path.substr(kServicePrefixBytes, slash - kServicePrefixBytes);
  auto route = team.routes.find(RouteId(name));
  if (route == team.routes.end() || route->second.kind != ServerKind::kService) {
    throw Error(ErrorKind::kUnknownModel, "the team has no service route with the requested name");
  }
  spec->route = &route->second;
  spec->path = slash == std::string::npos ? "/" : spec->path.substr(slash);
}

void ApplyCallerHeaders(RequestSpec* spec, const HttpHeaders& headers, Time now) {
  const RouteConfig& route = *spec->route;
  spec->traffic_class = route.traffic_class;
  const std::string& class_header = FindHeader(headers, "x-ebonylift-class");
  // A caller may lower its priority below the route's but not raise it.
  if (!class_header.empty()) {
    spec->traffic_class = std::max(spec->traffic_class, ParseTrafficClass(class_header));
  }
  spec->deadline = now + route.deadline;
  const std::string& deadline = FindHeader(headers, "x-ebonylift-deadline-ms");
  if (!deadline.empty()) {
    char* end = nullptr;
    long long ms = std::strtoll(deadline.c_str(), &end, 10);
    if (*end != '\0' || ms <= 0) {
      throw Error(ErrorKind::kBadRequest, "x-ebonylift-deadline-ms must be a positive integer");
    }
    spec->deadline = std::min(spec->deadline, now + milliseconds(std::min(ms, 86'400'000LL)));
  }
  const std::string& idempotent = FindHeader(headers, "x-ebonylift-idempotent");
  if (!idempotent.empty() && idempotent != "true" && idempotent != "false") {
    throw Error(ErrorKind::kBadRequest, "x-ebonylift-idempotent must be true or false");
  }
  spec->idempotent = route.idempotent && idempotent != "false";
}

void ApplyForwardHeader(RequestSpec* spec, const ForwardHeader& forward_header, Time now) {
  spec->id = forward_header.request;
  spec->forwarded = true;
  spec->hops = forward_header.hops;
  spec->crossed_region = forward_header.crossed_region;
  spec->claimed = forward_header.claimed;
  spec->traffic_class = forward_header.traffic_class;
  // The request stays non-idempotent if either this host's route or the sender says so.
  spec->idempotent = spec->idempotent && forward_header.idempotent;
  spec->deadline = now + milliseconds(forward_header.deadline_ms);
}

void CheckResidency(const RequestSpec& spec) {
  const RegionId& region = spec.view->self.region;
  const std::vector<RegionId>& allowed = spec.allowed_regions;
  if (std::find(allowed.begin(), allowed.end(), region) != allowed.end()) return;
  LogEvent(EventId::kResidencyViolationRefused, {{"request_id", spec.id.value()},
                                                 {"team", spec.team.value()},
                                                 {"route", spec.route->id.value()},
                                                 {"region", region.value()}});
  throw Error(ErrorKind::kResidencyRefused, "data residency forbids this route in region " +
                                                region.value() +
                                                "; GET /v1/entry-hosts lists the hosts to use");
}

// Returns the caller's idempotency key. Without one, derives a key from the body if the request is
// not idempotent and the route sets key_from_body. Otherwise returns an empty key.
std::string IdempotencyKeyOf(const RequestSpec& spec, const HttpHeaders& headers) {
  const std::string& key = FindHeader(headers, "idempotency-key");
  if (key.size() > kMaxIdempotencyKeyBytes) {
    throw Error(ErrorKind::kBadRequest, "idempotency-key exceeds 255 bytes");
  }
  if (!key.empty()) return key;
  if (spec.route->key_from_body && !spec.idempotent) return "body:" + spec.body_sha256;
  return "";
}

const TeamConfig& FindTeam(const ConfigView& config, const TeamId& team) {
  auto found = config.teams.find(team);
  if (found == config.teams.end()) {
    throw Error(ErrorKind::kForbidden, "the team is not configured");
  }
  return found->second;
}

}  // namespace

TeamId AuthenticateTeam(const HttpHeaders& headers, const ConfigView& config) {
  constexpr char kBearer[] = "Bearer ";
  constexpr size_t kBearerBytes = sizeof(kBearer) - 1;
  if (config.revision == 0) {
    throw Error(ErrorKind::kNotReady, "this entry host has not received a configuration yet");
  }
  const std::string& value = FindHeader(headers, "authorization");
  if (value.compare(0, kBearerBytes, kBearer) != 0) {
    throw Error(ErrorKind::kUnauthorized, "the Authorization header must contain a bearer key");
  }
  auto team = config.keys.find(Sha256Hex(std::string_view(value).substr(kBearerBytes)));
  if (team == config.keys.end()) throw Error(ErrorKind::kUnauthorized, "unknown API key");
  return team->second;
}

HttpHeaders EndToEndHeaders(const HttpHeaders& headers, HeaderSet set) {
  std::set<std::string> options = ConnectionOptions(headers);
  HttpHeaders kept;
  for (const auto& header : headers) {
    std::string name = ToLower(header.first);
    bool wanted =
        set == HeaderSet::kWithHostAndAuthorization && (name == "host" || name == "authorization");
    if (wanted || (!IsStrippedHeader(name) && options.count(name) == 0)) kept.push_back(header);
  }
  return kept;
}

RequestRank RankOf(const RequestSpec& spec) {
  int workspace = spec.workspace == nullptr ? 0 : spec.workspace->rank.value_or(0);
  return {workspace, spec.route->rank};
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
  ForwardHeader forward_header;
  if (!forward.empty()) {
    ForwardBinding binding{spec.method, spec.path + "?" + spec.query,
                           FindHeader(request.headers, "idempotency-key"), spec.body_sha256};
    forward_header = DecodeForward(forward, binding, cluster_key, WallNow());
    if (config.revision == 0) {
      throw Error(ErrorKind::kNotReady, "this entry host has not received a configuration yet");
    }
    spec.team = forward_header.team;
  } else {
    spec.team = AuthenticateTeam(request.headers, config);
    spec.id = NewRequestId();
  }

  const TeamConfig& team = FindTeam(config, spec.team);
  if (!forward.empty()) {
    auto route = team.routes.find(forward_header.route);
    if (route == team.routes.end()) {
      throw Error(ErrorKind::kUnknownModel,
                  "the forwarded request uses a route that is unknown on this host");
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
  if (!forward.empty()) ApplyForwardHeader(&spec, forward_header, now);
  spec.idempotency_key = IdempotencyKeyOf(spec, request.headers);
  spec.content.content = Hash64(spec.body, Hash64(spec.route->model.value() + spec.route->service));
  spec.headers = EndToEndHeaders(request.headers);
  CheckResidency(spec);
  return spec;
}

}  // namespace ebonylift
