#include "daemon/operator_api.h"

#include <algorithm>
#include <asio/post.hpp>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "base/event.h"
#include "base/hash.h"
#include "daemon/answers.h"

namespace ebonylift {
namespace {

using nlohmann::json;

constexpr size_t kHistoryLimit = 1000;
constexpr size_t kTimelineLimit = 20'000;
constexpr Duration kWatchTimeout = seconds(20);

struct Call {
  asio::io_context* io;
  ControlPort* control;
  Operator who;
  HttpRequest request;
  std::shared_ptr<HttpResponder> responder;
};

json ParseValue(const std::optional<std::string>& value) {
  return value ? json::parse(*value, nullptr, false) : json();
}

json ChangesJson(const Operator& who, const std::vector<ConfigChange>& changes) {
  json out = json::array();
  for (const ConfigChange& change : changes) {
    if (!Covers(who, change.path)) continue;
    out.push_back({{"revision", change.revision},
                   {"path", change.path},
                   {"value", ParseValue(change.value)},
                   {"operator", change.operator_name},
                   {"accepted_at", change.accepted_at}});
  }
  return out;
}

void Reply(const Call& call, int status, const json& body) {
  asio::post(*call.io, [responder = call.responder, status, body] {
    SendJson(responder.get(), status, body);
  });
}

void ReadConfig(const Call& call) {
  std::string path = QueryValue(call.request.query, "path");
  call.control->Read(path.empty() ? "/" : path, [call](const ConfigRead& read) {
    json entries = json::array();
    for (const ConfigEntry& entry : read.entries) {
      if (!Covers(call.who, entry.path)) continue;
      entries.push_back(
          {{"path", entry.path}, {"value", ParseValue(entry.value)}, {"revision", entry.revision}});
    }
    Reply(call, 200, {{"revision", read.revision}, {"entries", entries}});
  });
}

ConfigPut ParsePut(const Call& call) {
  json body = json::parse(call.request.body, nullptr, false);
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
  put.operator_name = call.who.name;
  return put;
}

void ReplyPut(const Call& call, const PutAnswer& answer) {
  if (!answer.error) {
    Reply(call, 200, {{"revision", answer.revision}});
    return;
  }
  ErrorAnswer error;
  error.kind = *answer.error;
  error.message = answer.message;
  json body = ErrorAnswerJson(error);
  if (error.kind == ErrorKind::kConfigConflict) {
    body["error"]["current"] = ParseValue(answer.current_value);
    body["error"]["current_revision"] = answer.revision;
  }
  Reply(call, LookupError(error.kind).http_status, body);
}

void PutConfig(const Call& call) {
  ConfigPut put = ParsePut(call);
  if (!Covers(call.who, put.path)) {
    LogEvent(EventId::kConfigRefused, {{"path", put.path}, {"kind", "forbidden"}});
    throw Error(ErrorKind::kForbidden, "the token does not cover " + put.path);
  }
  // A successor computes from this entry when the previous lease ends; an entry that an operator
  // changed or deleted could end it too early.
  if (IsBelow(put.path, "/deployment/orderers")) {
    LogEvent(EventId::kConfigRefused, {{"path", put.path}, {"kind", "forbidden"}});
    throw Error(ErrorKind::kForbidden, put.path + " is written by the entry hosts only");
  }
  call.control->Put(put, [call](const PutAnswer& answer) { ReplyPut(call, answer); });
}

void ReadHistory(const Call& call) {
  std::string path = QueryValue(call.request.query, "path");
  call.control->History(path.empty() ? "/" : path, kHistoryLimit,
                        [call](const std::vector<ConfigChange>& changes) {
                          Reply(call, 200, {{"changes", ChangesJson(call.who, changes)}});
                        });
}

void WatchConfig(const Call& call) {
  uint64_t from = std::strtoull(QueryValue(call.request.query, "from").c_str(), nullptr, 10);
  call.control->Watch(from, kWatchTimeout, [call](const std::vector<ConfigChange>& changes) {
    Reply(call, 200, {{"changes", ChangesJson(call.who, changes)}});
  });
}

void ReadStatus(const Call& call) {
  call.control->Status([call](const StatusJson& status) {
    json body = json::parse(status, nullptr, false);
    Reply(call, 200, body);
  });
}

void ReadTimeline(const Call& call) {
  HlcStamp since = std::strtoull(QueryValue(call.request.query, "since").c_str(), nullptr, 10);
  call.control->Timeline(since, QueryValue(call.request.query, "request_id"), kTimelineLimit,
                         [call](const std::vector<Event>& events) {
                           json list = json::array();
                           for (const Event& event : events) {
                             list.push_back(json::parse(EventToJson(event), nullptr, false));
                           }
                           Reply(call, 200, {{"events", list}});
                         });
}

struct Handler {
  const char* method;
  const char* path;
  void (*run)(const Call&);
  bool whole_deployment;  // needs a token for the root or /deployment
};

constexpr Handler kHandlers[] = {
    {"GET", "/admin/v1/config", ReadConfig, false},
    {"PUT", "/admin/v1/config", PutConfig, false},
    {"GET", "/admin/v1/config/history", ReadHistory, false},
    {"GET", "/admin/v1/config/watch", WatchConfig, false},
    {"GET", "/admin/v1/status", ReadStatus, true},
    {"GET", "/admin/v1/timeline", ReadTimeline, true},
};

void Dispatch(const Call& call, const OperatorApiOptions& options) {
  bool whole_deployment = Covers(call.who, "/deployment");
  if (call.request.method == "POST" && call.request.path == "/admin/v1/drain") {
    if (!whole_deployment)
      throw Error(ErrorKind::kForbidden, "the token does not cover /deployment");
    SendJson(call.responder.get(), 202, {{"draining", true}});
    options.start_drain();
    return;
  }
  if (call.request.method == "POST" && call.request.path == "/admin/v1/accept-claims") {
    if (!whole_deployment) {
      throw Error(ErrorKind::kForbidden, "the token does not cover /deployment");
    }
    options.accept_claims();
    SendJson(call.responder.get(), 200, {{"accepted", true}});
    return;
  }
  bool path_known = false;
  for (const Handler& handler : kHandlers) {
    if (call.request.path != handler.path) continue;
    path_known = true;
    if (call.request.method != handler.method) continue;
    if (handler.whole_deployment && !whole_deployment) {
      throw Error(ErrorKind::kForbidden, "the token does not cover /deployment");
    }
    handler.run(call);
    return;
  }
  throw Error(path_known ? ErrorKind::kMethodNotAllowed : ErrorKind::kUnknownPath,
              call.request.method + " " + call.request.path);
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

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

bool IsBelow(const std::string& path, const std::string& subtree) {
  if (subtree == "/" || path == subtree) return true;
  return path.size() > subtree.size() && path.compare(0, subtree.size(), subtree) == 0 &&
         path[subtree.size()] == '/';
}

bool Covers(const Operator& who, const std::string& path) {
  return who.root ||
         std::any_of(who.subtrees.begin(), who.subtrees.end(),
                     [&](const std::string& subtree) { return IsBelow(path, subtree); });
}

Operator AuthenticateOperator(const HttpHeaders& headers, const ConfigView& config,
                              const std::string& root_token_sha256) {
  constexpr char kBearer[] = "Bearer ";
  constexpr size_t kBearerBytes = sizeof(kBearer) - 1;
  const std::string& value = FindHeader(headers, "authorization");
  if (value.compare(0, kBearerBytes, kBearer) != 0) {
    throw Error(ErrorKind::kUnauthorized, "the Authorization header has no bearer token");
  }
  std::string hash = Sha256Hex(std::string_view(value).substr(kBearerBytes));
  if (ConstantTimeEqual(hash, root_token_sha256)) return Operator{"root", true, {"/"}};
  for (const OperatorConfig& known : config.operators) {
    if (ConstantTimeEqual(hash, known.token_sha256)) {
      return Operator{known.name, false, known.subtrees};
    }
  }
  throw Error(ErrorKind::kUnauthorized, "the token is not known");
}

void HandleOperatorRequest(asio::io_context& io, const OperatorApiOptions& options,
                           HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  try {
    Call call{&io, options.control, {}, std::move(request), responder};
    call.who = AuthenticateOperator(call.request.headers, *options.control->View()->config,
                                    options.root_token_sha256);
    Dispatch(call, options);
  } catch (const Error& error) {
    SendErrorAnswer(responder.get(), AnswerOf(error));
  }
}

}  // namespace ebonylift
