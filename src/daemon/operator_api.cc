#include "daemon/operator_api.h"

#include <algorithm>
#include <asio/post.hpp>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "base/event.h"
#include "base/hash.h"
#include "base/json_parse.h"
#include "daemon/answers.h"

namespace ebonylift {
namespace {

using nlohmann::json;

constexpr size_t kHistoryLimit = 1000;
constexpr size_t kTimelineLimit = 20'000;
constexpr Duration kWatchTimeout = seconds(20);

// A request of an authenticated operator, with what is needed to respond to it.
struct RequestContext {
  asio::io_context* io;
  ControlPort* control;
  Operator principal;
  HttpRequest request;
  std::shared_ptr<HttpResponder> responder;
};

json ParseValue(const std::optional<SharedText>& value) {
  return value ? json::parse(value->text(), nullptr, false) : json();
}

// Lists the changes that the operator has access to.
json ChangesJson(const Operator& principal, const std::vector<ConfigChange>& changes) {
  json out = json::array();
  for (const ConfigChange& change : changes) {
    if (!HasAccess(principal, change.path)) continue;
    json entry = {{"revision", change.revision},
                  {"path", change.path},
                  {"value", ParseValue(change.value)},
                  {"operator", change.operator_name},
                  {"accepted_at", change.accepted_at}};
    if (change.value_omitted) entry["value_omitted"] = true;
    out.push_back(std::move(entry));
  }
  return out;
}

// Sends a JSON response from the thread that runs `io`; callable from any thread.
void Reply(const RequestContext& context, int status, const json& body) {
  asio::post(*context.io, [responder = context.responder, status, body] {
    SendJson(responder.get(), status, body);
  });
}

void ReadConfig(const RequestContext& context) {
  std::string path = QueryValue(context.request.query, "path");
  context.control->Read(path.empty() ? "/" : path, [context](const ConfigRead& read) {
    json entries = json::array();
    for (const ConfigEntry& entry : read.entries) {
      if (!HasAccess(context.principal, entry.path)) continue;
      entries.push_back(
          {{"path", entry.path}, {"value", ParseValue(entry.value)}, {"revision", entry.revision}});
    }
    Reply(context, 200, {{"revision", read.revision}, {"entries", entries}});
  });
}

ConfigPut ParsePut(const RequestContext& context) {
  json body = ParseForeignJson(context.request.body);
  bool valid = body.is_object() && body.contains("path") && body["path"].is_string() &&
               body.contains("value") && body.contains("base_revision") &&
               body["base_revision"].is_number_unsigned() && body.contains("request_id") &&
               body["request_id"].is_string() && !body["request_id"].get<std::string>().empty();
  if (!valid) {
    throw Error(ErrorKind::kBadRequest,
                "the body must have path, value, base_revision and request_id");
  }
  ConfigPut put;
  put.path = body["path"];
  if (!body["value"].is_null()) put.value = body["value"].dump();
  put.base_revision = body["base_revision"];
  put.request_id = body["request_id"];
  put.operator_name = context.principal.name;
  return put;
}

void ReplyPut(const RequestContext& context, const PutAnswer& answer) {
  if (!answer.error) {
    Reply(context, 200, {{"revision", answer.revision}});
    return;
  }
  ErrorResponse error;
  error.kind = *answer.error;
  error.message = answer.message;
  json body = ErrorResponseJson(error);
  if (error.kind == ErrorKind::kConfigConflict) {
    body["error"]["current"] = ParseValue(answer.current_value);
    body["error"]["current_revision"] = answer.revision;
  }
  Reply(context, LookupError(error.kind).http_status, body);
}

void PutConfig(const RequestContext& context) {
  ConfigPut put = ParsePut(context);
  if (!HasAccess(context.principal, put.path)) {
    LogEvent(EventId::kConfigRefused, {{"path", put.path}, {"kind", "forbidden"}});
    throw Error(ErrorKind::kForbidden, "the token does not grant access to " + put.path);
  }
  // The host that takes over a lease on sending orders computes from this entry when the previous
  // lease expires. If an operator changed or deleted the entry, it could assume too early a time.
  if (IsInSubtree(put.path, "/deployment/orderers")) {
    LogEvent(EventId::kConfigRefused, {{"path", put.path}, {"kind", "forbidden"}});
    throw Error(ErrorKind::kForbidden,
                put.path + " is maintained by the hosts and cannot be changed by operators");
  }
  context.control->Put(put, [context](const PutAnswer& answer) { ReplyPut(context, answer); });
}

void ReadHistory(const RequestContext& context) {
  std::string path = QueryValue(context.request.query, "path");
  context.control->History(
      path.empty() ? "/" : path, kHistoryLimit,
      [context](const std::vector<ConfigChange>& changes) {
        Reply(context, 200, {{"changes", ChangesJson(context.principal, changes)}});
      });
}

void WatchConfig(const RequestContext& context) {
  uint64_t from = std::strtoull(QueryValue(context.request.query, "from").c_str(), nullptr, 10);
  context.control->Watch(from, kWatchTimeout, [context](const std::vector<ConfigChange>& changes) {
    Reply(context, 200, {{"changes", ChangesJson(context.principal, changes)}});
  });
}

void ReadStatus(const RequestContext& context) {
  context.control->Status([context](const StatusJson& status) {
    json body = json::parse(status, nullptr, false);
    Reply(context, 200, body);
  });
}

void ReadTimeline(const RequestContext& context) {
  HlcStamp since = std::strtoull(QueryValue(context.request.query, "since").c_str(), nullptr, 10);
  context.control->Timeline(since, QueryValue(context.request.query, "request_id"), kTimelineLimit,
                            [context](const std::vector<Event>& events) {
                              json list = json::array();
                              for (const Event& event : events) {
                                list.push_back(json::parse(EventToJson(event), nullptr, false));
                              }
                              Reply(context, 200, {{"events", list}});
                            });
}

struct Handler {
  const char* method;
  const char* path;
  void (*handle)(const RequestContext&);
  bool needs_deployment_access;  // requires access to /deployment
};

constexpr Handler kHandlers[] = {
    {"GET", "/admin/v1/config", ReadConfig, false},
    {"PUT", "/admin/v1/config", PutConfig, false},
    {"GET", "/admin/v1/config/history", ReadHistory, false},
    {"GET", "/admin/v1/config/watch", WatchConfig, false},
    {"GET", "/admin/v1/status", ReadStatus, true},
    {"GET", "/admin/v1/timeline", ReadTimeline, true},
};

void RouteRequest(const RequestContext& context, const OperatorApiOptions& options) {
  bool has_deployment_access = HasAccess(context.principal, "/deployment");
  if (context.request.method == "POST" && context.request.path == "/admin/v1/drain") {
    if (!has_deployment_access)
      throw Error(ErrorKind::kForbidden, "the token does not grant access to /deployment");
    SendJson(context.responder.get(), 202, {{"draining", true}});
    options.start_drain();
    return;
  }
  if (context.request.method == "POST" && context.request.path == "/admin/v1/accept-claims") {
    if (!has_deployment_access) {
      throw Error(ErrorKind::kForbidden, "the token does not grant access to /deployment");
    }
    options.accept_claims();
    SendJson(context.responder.get(), 200, {{"accepted", true}});
    return;
  }
  bool path_known = false;
  for (const Handler& handler : kHandlers) {
    if (context.request.path != handler.path) continue;
    path_known = true;
    if (context.request.method != handler.method) continue;
    if (handler.needs_deployment_access && !has_deployment_access) {
      throw Error(ErrorKind::kForbidden, "the token does not grant access to /deployment");
    }
    handler.handle(context);
    return;
  }
  throw Error(path_known ? ErrorKind::kMethodNotAllowed : ErrorKind::kUnknownPath,
              context.request.method + " " + context.request.path);
}

// Returns the value of a hexadecimal digit, or -1 for any other character.
int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// Decodes %XX and '+' (a space). Keeps a '%' that is not followed by two hexadecimal digits.
std::string DecodePercent(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    bool escape = text[i] == '%' && i + 2 < text.size() && HexDigit(text[i + 1]) >= 0 &&
                  HexDigit(text[i + 2]) >= 0;
    if (escape) {
      out.push_back(static_cast<char>(HexDigit(text[i + 1]) * 16 + HexDigit(text[i + 2])));
      i += 2;
    } else {
      out.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return out;
}

}  // namespace

std::string QueryValue(const std::string& query, const std::string& name) {
  size_t start = 0;
  while (start < query.size()) {
    size_t end = std::min(query.find('&', start), query.size());
    std::string pair = query.substr(start, end - start);
    size_t equals = pair.find('=');
    if (equals != std::string::npos && pair.substr(0, equals) == name) {
      return DecodePercent(pair.substr(equals + 1));
    }
    start = end + 1;
  }
  return "";
}

bool IsInSubtree(const std::string& path, const std::string& subtree) {
  if (subtree == "/" || path == subtree) return true;
  return path.size() > subtree.size() && path.compare(0, subtree.size(), subtree) == 0 &&
         path[subtree.size()] == '/';
}

bool HasAccess(const Operator& principal, const std::string& path) {
  return principal.root ||
         std::any_of(principal.subtrees.begin(), principal.subtrees.end(),
                     [&](const std::string& subtree) { return IsInSubtree(path, subtree); });
}

Operator AuthenticateOperator(const HttpHeaders& headers, const ConfigView& config,
                              const std::string& root_token_sha256) {
  constexpr char kBearer[] = "Bearer ";
  constexpr size_t kBearerBytes = sizeof(kBearer) - 1;
  const std::string& value = FindHeader(headers, "authorization");
  if (value.compare(0, kBearerBytes, kBearer) != 0) {
    throw Error(ErrorKind::kUnauthorized, "the Authorization header has no bearer token");
  }
  std::string token_sha256 = Sha256Hex(std::string_view(value).substr(kBearerBytes));
  if (ConstantTimeEqual(token_sha256, root_token_sha256)) return Operator{"root", true, {"/"}};
  for (const OperatorConfig& candidate : config.operators) {
    if (ConstantTimeEqual(token_sha256, candidate.token_sha256)) {
      return Operator{candidate.name, false, candidate.subtrees};
    }
  }
  throw Error(ErrorKind::kUnauthorized, "unknown operator token");
}

void HandleOperatorRequest(asio::io_context& io, const OperatorApiOptions& options,
                           HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  try {
    RequestContext context{&io, options.control, {}, std::move(request), responder};
    context.principal = AuthenticateOperator(
        context.request.headers, *options.control->View()->config, options.root_token_sha256);
    RouteRequest(context, options);
  } catch (const Error& error) {
    SendErrorResponse(responder.get(), ToErrorResponse(error));
  }
}

}  // namespace ebonylift
