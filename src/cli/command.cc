#include "cli/command.h"

#include <gflags/gflags.h>

#include <asio/io_context.hpp>
#include <cstdio>
#include <iostream>
#include <sstream>

#include "adapters/http_client.h"
#include "base/error.h"

DEFINE_string(
    server, "127.0.0.1:8080",
    "comma-separated ip:port list of daemons; the first one that accepts a connection is used");
DEFINE_string(token, "", "operator token for the admin API");
DEFINE_bool(json, false, "print JSON instead of tables");
DEFINE_int32(timeout_s, 30, "time limit of one call to a daemon, in seconds");

namespace ebonylift {
namespace {

struct RawResponse {
  CallResult result;
  std::string body;
};

// Performs one HTTP call and blocks until it ends.
RawResponse PerformCall(HttpCall call) {
  asio::io_context io;
  std::unique_ptr<HttpClient> client = MakeHttpClient(io);
  RawResponse response;
  call.on_data = [&](std::string_view data) {
    response.body.append(data);
    return true;
  };
  call.on_done = [&](const CallResult& result) {
    response.result = result;
    io.stop();
  };
  client->Start(std::move(call));
  auto work = asio::make_work_guard(io);
  io.run();
  return response;
}

std::vector<std::string> ServerAddresses() {
  std::vector<std::string> servers;
  std::istringstream in(FLAGS_server);
  std::string server;
  while (std::getline(in, server, ',')) servers.push_back(server);
  return servers;
}

}  // namespace

bool JsonRequested() { return FLAGS_json; }

AdminResponse CallAdmin(const std::string& method, const std::string& path,
                        const std::string& body) {
  AdminResponse response;
  for (const std::string& server : ServerAddresses()) {
    HttpCall call;
    call.method = method;
    call.url = "http://" + server + path;
    call.headers = {{"Authorization", "Bearer " + FLAGS_token},
                    {"Content-Type", "application/json"}};
    call.body = body;
    call.timeout = seconds(FLAGS_timeout_s);
    RawResponse raw = PerformCall(std::move(call));
    response.error = server + ": " + raw.result.error;
    if (raw.result.outcome == CallOutcome::kNotConnected) continue;
    if (raw.result.outcome != CallOutcome::kComplete) return response;
    response.status = raw.result.status;
    response.body = nlohmann::json::parse(raw.body, nullptr, false);
    if (response.body.is_discarded()) response.body = raw.body;
    return response;
  }
  return response;
}

int ReportError(const AdminResponse& response) {
  if (response.status == 0) {
    std::cerr << "no response: " << response.error << "\n";
    return kExitUnreachable;
  }
  if (response.status < 300) return kExitOk;
  std::string code;
  if (response.body.is_object() && response.body.contains("error")) {
    const nlohmann::json& error = response.body["error"];
    code = error.value("code", "");
    std::cerr << code << " (" << error.value("run", "") << "): " << error.value("message", "")
              << "\n";
    if (error.contains("current")) std::cerr << "current: " << error["current"].dump() << "\n";
  } else {
    std::cerr << "unexpected HTTP status " << response.status << "\n";
  }
  ErrorKind kind = ErrorKindFromCode(code);
  if (kind == ErrorKind::kConfigConflict) return kExitConflict;
  return kind == ErrorKind::kConfigUnknown ? kExitUnreachable : kExitRefused;
}

void PrintTable(const std::vector<std::string>& columns,
                const std::vector<std::vector<std::string>>& rows) {
  std::vector<size_t> widths;
  for (const std::string& column : columns) widths.push_back(column.size());
  for (const auto& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  auto print_row = [&](const std::vector<std::string>& row) {
    for (size_t i = 0; i + 1 < row.size(); ++i) {
      printf("%-*s  ", static_cast<int>(widths[i]), row[i].c_str());
    }
    printf("%s\n", row.empty() ? "" : row.back().c_str());
  };
  print_row(columns);
  for (const auto& row : rows) print_row(row);
}

std::string JsonToText(const nlohmann::json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string EncodeQuery(const std::string& value) {
  static const char kDigits[] = "0123456789ABCDEF";
  std::string out;
  for (unsigned char c : value) {
    if (std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '/') {
      out.push_back(static_cast<char>(c));
    } else {
      out.push_back('%');
      out.push_back(kDigits[c >> 4]);
      out.push_back(kDigits[c & 15]);
    }
  }
  return out;
}

}  // namespace ebonylift
