#include <gflags/gflags.h>

#include <cstdio>
#include <iostream>

#include "base/hash.h"
#include "base/time.h"
#include "cli/command.h"

DEFINE_int64(
    base, -1,
    "config put: revision that the change is based on; -1: the current revision of the path");
DEFINE_string(request_id, "",
              "config put: id of the change, needed to resend it safely; timeline: show only the "
              "events of this request");
DEFINE_int64(from, 0, "config watch: show the changes after this revision");
DEFINE_int32(watch_s, 0, "config watch: stop after this many seconds; 0: no limit");

namespace ebonylift {
namespace {

using nlohmann::json;

constexpr char kUsage[] =
    "usage: ebonylift config get [PATH]\n"
    "       ebonylift config put PATH JSON|@FILE|null\n"
    "       ebonylift config history [PATH]\n"
    "       ebonylift config watch [--from=REVISION]\n";

int Get(const std::string& path) {
  AdminResponse response = CallAdmin("GET", "/admin/v1/config?path=" + EncodeQuery(path), "");
  if (int code = ReportError(response)) return code;
  if (JsonRequested()) {
    std::cout << response.body.dump() << "\n";
    return kExitOk;
  }
  std::vector<std::vector<std::string>> rows;
  for (const json& entry : response.body["entries"]) {
    rows.push_back(
        {JsonToText(entry["path"]), JsonToText(entry["revision"]), entry["value"].dump()});
  }
  PrintTable({"PATH", "REVISION", "VALUE"}, rows);
  printf("configuration revision %s\n", JsonToText(response.body["revision"]).c_str());
  return kExitOk;
}

// Returns the JSON text of a command-line argument: the argument itself, or the content of FILE for
// "@FILE".
std::string ReadValue(const std::string& argument) {
  if (argument.empty() || argument[0] != '@') return argument;
  FILE* file = fopen(argument.c_str() + 1, "r");
  if (file == nullptr) throw std::runtime_error("cannot open file " + argument.substr(1));
  std::string text;
  char buffer[4096];
  size_t size = 0;
  while ((size = fread(buffer, 1, sizeof(buffer), file)) > 0) text.append(buffer, size);
  fclose(file);
  return text;
}

// Reads the revision of this exact path; 0 if the path does not exist. Returns an exit code.
int CurrentRevision(const std::string& path, uint64_t* revision) {
  AdminResponse response = CallAdmin("GET", "/admin/v1/config?path=" + EncodeQuery(path), "");
  if (int code = ReportError(response)) return code;
  *revision = 0;
  for (const json& entry : response.body["entries"]) {
    if (entry["path"] == path) *revision = entry["revision"];
  }
  return kExitOk;
}

int Put(const std::string& path, const std::string& argument) {
  json value = json::parse(ReadValue(argument), nullptr, false);
  if (value.is_discarded()) {
    std::cerr << "the value is not valid JSON\n";
    return kExitUsage;
  }
  uint64_t base = FLAGS_base < 0 ? 0 : static_cast<uint64_t>(FLAGS_base);
  if (FLAGS_base < 0) {
    if (int code = CurrentRevision(path, &base)) return code;
  }
  std::string request_id = FLAGS_request_id.empty() ? RandomHex(16) : FLAGS_request_id;
  json body = {
      {"path", path}, {"value", value}, {"base_revision", base}, {"request_id", request_id}};
  AdminResponse response = CallAdmin("PUT", "/admin/v1/config", body.dump());
  int code = ReportError(response);
  if (code == kExitUnreachable) {
    std::cerr << "to resend this change safely, repeat the command with --request_id=" << request_id
              << " --base=" << base << "\n";
  }
  if (code != kExitOk) return code;
  if (JsonRequested()) {
    std::cout << response.body.dump() << "\n";
  } else {
    printf("%s is at revision %s\n", path.c_str(), JsonToText(response.body["revision"]).c_str());
  }
  return kExitOk;
}

void PrintChanges(const json& changes) {
  std::vector<std::vector<std::string>> rows;
  for (const json& change : changes) {
    rows.push_back({JsonToText(change["revision"]), JsonToText(change["operator"]),
                    JsonToText(change["path"]), change["value"].dump()});
  }
  PrintTable({"REVISION", "OPERATOR", "PATH", "VALUE"}, rows);
}

int History(const std::string& path) {
  AdminResponse response =
      CallAdmin("GET", "/admin/v1/config/history?path=" + EncodeQuery(path), "");
  if (int code = ReportError(response)) return code;
  if (JsonRequested()) {
    std::cout << response.body.dump() << "\n";
  } else {
    PrintChanges(response.body["changes"]);
  }
  return kExitOk;
}

// Prints changes as they are made, by long polling: the daemon responds when there is a change or
// when its timeout passes.
int Watch() {
  int64_t from = FLAGS_from;
  Time end = SteadyNow() + seconds(FLAGS_watch_s);
  while (FLAGS_watch_s == 0 || SteadyNow() < end) {
    AdminResponse response =
        CallAdmin("GET", "/admin/v1/config/watch?from=" + std::to_string(from), "");
    if (int code = ReportError(response)) return code;
    for (const json& change : response.body["changes"]) {
      std::cout << change.dump() << std::endl;
      from = std::max<int64_t>(from, change["revision"]);
    }
  }
  return kExitOk;
}

}  // namespace

int RunConfig(const std::vector<std::string>& args) {
  std::string subcommand = args.empty() ? "" : args[0];
  if (subcommand == "get" && args.size() <= 2) return Get(args.size() == 2 ? args[1] : "/");
  if (subcommand == "put" && args.size() == 3) return Put(args[1], args[2]);
  if (subcommand == "history" && args.size() <= 2) return History(args.size() == 2 ? args[1] : "/");
  if (subcommand == "watch" && args.size() == 1) return Watch();
  std::cerr << kUsage;
  return kExitUsage;
}

}  // namespace ebonylift
