#include "cli/load_trace.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <random>

#include "base/error.h"

namespace ebonylift {
namespace {

using nlohmann::json;

constexpr size_t kBytesPerToken = 4;

LoadItem ParseItem(const json& line) {
  LoadItem item;
  item.at_ms = line.at("at_ms").get<int64_t>();
  item.region = line.value("region", item.region);
  item.path = line.value("path", item.path);
  item.model = line.value("model", item.model);
  item.traffic_class = line.value("class", item.traffic_class);
  item.prompt_tokens = line.value("prompt_tokens", item.prompt_tokens);
  item.prefix_group = line.value("prefix_group", item.prefix_group);
  item.output_tokens = line.value("output_tokens", item.output_tokens);
  item.stream = line.value("stream", item.stream);
  const json headers = line.value("headers", json::object());
  for (const auto& [name, value] : headers.items()) {
    item.headers.emplace_back(name, value.get<std::string>());
  }
  return item;
}

// std::uniform_real_distribution differs between standard libraries; this does not.
double UnitInterval(std::mt19937_64& random) {
  return static_cast<double>(random() >> 11) / 9007199254740992.0;  // 2^53
}

std::string Fill(const std::string& word, size_t bytes) {
  std::string text;
  text.reserve(bytes + word.size());
  while (text.size() < bytes) text += word + " ";
  text.resize(bytes);
  return text;
}

}  // namespace

std::vector<LoadItem> ReadTrace(std::istream& in) {
  std::vector<LoadItem> items;
  int number = 0;
  for (std::string line; std::getline(in, line);) {
    ++number;
    if (line.empty()) continue;
    try {
      items.push_back(ParseItem(json::parse(line)));
    } catch (const json::exception& error) {
      throw Error(ErrorKind::kBadRequest,
                  "trace line " + std::to_string(number) + ": " + error.what());
    }
  }
  std::stable_sort(items.begin(), items.end(),
                   [](const LoadItem& a, const LoadItem& b) { return a.at_ms < b.at_ms; });
  return items;
}

std::vector<LoadItem> GenerateTrace(const GeneratedLoad& load) {
  std::mt19937_64 random(load.seed);
  std::vector<LoadItem> items;
  double at_ms = 0;
  while (load.requests_per_s > 0) {
    at_ms += -std::log(1.0 - UnitInterval(random)) * 1000.0 / load.requests_per_s;
    if (at_ms >= static_cast<double>(load.duration_ms)) break;
    LoadItem item;
    item.at_ms = static_cast<int64_t>(at_ms);
    if (!load.regions.empty()) item.region = load.regions[random() % load.regions.size()];
    item.prompt_tokens = load.prompt_tokens;
    item.output_tokens = load.output_tokens;
    item.stream = static_cast<int>(random() % 100) < load.stream_percent;
    if (load.prefix_groups > 0) {
      item.prefix_group = "group-" + std::to_string(random() % load.prefix_groups);
    }
    items.push_back(std::move(item));
  }
  return items;
}

std::string LoadBody(const LoadItem& item, size_t index, const std::string& default_model) {
  size_t bytes = static_cast<size_t>(std::max(1, item.prompt_tokens)) * kBytesPerToken;
  std::string own = "request-" + std::to_string(index);
  std::string text = item.prefix_group.empty() ? "" : Fill(item.prefix_group, bytes / 2);
  text += Fill(own, bytes - text.size());
  json body = {{"model", item.model.empty() ? default_model : item.model},
               {"max_tokens", item.output_tokens},
               {"stream", item.stream},
               {"user", own}};
  if (item.path == "/v1/completions") {
    body["prompt"] = text;
  } else {
    body["messages"] = json::array({{{"role", "user"}, {"content", text}}});
  }
  return body.dump();
}

}  // namespace ebonylift
