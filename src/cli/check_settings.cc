#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "cli/command.h"
#include "core/config_schema.h"
#include "daemon/settings.h"

namespace ebonylift {
namespace {

using nlohmann::json;

// Validates a JSON file that maps configuration paths to values, such as
// {"/teams/a/limits": {...}, ...}. Prints the problems found and returns their number.
int CheckFile(const std::string& argument) {
  std::ifstream in(argument);
  if (!in) {
    std::cerr << argument << ": cannot read the file\n";
    return 1;
  }
  std::stringstream text;
  text << in.rdbuf();
  json tree = json::parse(text.str(), nullptr, false);
  if (!tree.is_object()) {
    std::cerr << argument << ": expected a JSON object that maps configuration paths to values\n";
    return 1;
  }
  int issues = 0;
  for (const auto& [path, value] : tree.items()) {
    std::vector<SchemaIssue> found = Validate(path, value.dump());
    if (!found.empty()) std::cerr << argument << ": " << DescribeIssues(path, found) << "\n";
    issues += static_cast<int>(found.size());
  }
  return issues;
}

}  // namespace

int RunCheckSettings(const std::vector<std::string>& args) {
  std::vector<SettingIssue> issues;
  Settings settings = ReadSettings(&issues);
  std::vector<SettingIssue> checks = CheckSettings(settings);
  issues.insert(issues.end(), checks.begin(), checks.end());
  for (const SettingIssue& issue : issues) std::cerr << FormatIssue(issue) << "\n";
  int failures = static_cast<int>(issues.size());
  for (const std::string& file : args) failures += CheckFile(file);
  if (failures == 0) printf("settings are valid\n");
  return failures == 0 ? kExitOk : kExitRefused;
}

}  // namespace ebonylift
