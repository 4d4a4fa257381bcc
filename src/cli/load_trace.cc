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

LoadRequest ParseRequest(const json& line) {
  LoadRequest request;
  request.at_ms = line.at("at_ms").get<int64_t>();
  request.region = line.value("region", request.region);
  request.path = line.value("path", request.path);
  request.model = line.value("model", request.model);
  request.traffic_class = line.value("class", request.traffic_class);
  request.prompt_tokens = line.value("prompt_tokens", request.prompt_tokens);
  request.prefix_group = line.value("prefix_group", request.prefix_group);
  request.output_tokens = line.value("output_tokens", request.output_tokens);
  request.stream = line.value("stream", request.stream);
  const json headers = line.value("headers", json::object());
  for (const auto& [name, value] : headers.items()) {
    request.headers.emplace_back(name, value.get<std::string>());
  }
  return request;
}

// Returns a random number in [0, 1). std::uniform_real_distribution is not used because its results
// differ between standard libraries.
double RandomUnit(std::mt19937_64& random) {
  return static_cast<double>(random() >> 11) / 9007199254740992.0;  // 2^53
}

// Repeats `word` up to a length of exactly `bytes`.
std::string RepeatToLength(const std::string& word, size_t bytes) {
  std::string text;
  text.reserve(bytes + word.size());
  while (text.size() < bytes) text += word + " ";
  text.resize(bytes);
  return text;
}

}  // namespace

std::vector<LoadRequest> ReadTrace(std::istream& in) {
  std::vector<LoadRequest> requests;
  int number = 0;
  for (std::string line; std::getline(in, line);) {
    ++number;
    if (line.empty()) continue;
    try {
      requests.push_back(ParseRequest(json::parse(line)));
    } catch (const json::exception& error) {
      throw Error(ErrorKind::kBadRequest,
                  "trace line " + std::to_string(number) + ": " + error.what());
    }
  }
  std::stable_sort(requests.begin(), requests.end(),
                   [](const LoadRequest& a, const LoadRequest& b) { return a.at_ms < b.at_ms; });
  return requests;
}

std::vector<LoadRequest> GenerateTrace(const GeneratedLoadOptions& load) {
  std::mt19937_64 random(load.seed);
  std::vector<LoadRequest> requests;
  double at_ms = 0;
  while (load.requests_per_s > 0) {
    at_ms += -std::log(1.0 - RandomUnit(random)) * 1000.0 / load.requests_per_s;
    if (at_ms >= static_cast<double>(load.duration_ms)) break;
    LoadRequest request;
    request.at_ms = static_cast<int64_t>(at_ms);
    if (!load.regions.empty()) request.region = load.regions[random() % load.regions.size()];
    request.prompt_tokens = load.prompt_tokens;
    request.output_tokens = load.output_tokens;
    request.stream = static_cast<int>(random() % 100) < load.stream_percent;
    if (load.prefix_groups > 0) {
      request.prefix_group = "group-" + std::to_string(random() % load.prefix_groups);
    }
    requests.push_back(std::move(request));
  }
  return requests;
}

std::string RequestBody(const LoadRequest& request, size_t index,
                        const std::string& default_model) {
  size_t bytes = static_cast<size_t>(std::max(1, request.prompt_tokens)) * kBytesPerToken;
  std::string unique_name = "request-" + std::to_string(index);
  std::string text =
      request.prefix_group.empty() ? "" : RepeatToLength(request.prefix_group, bytes / 2);
  text += RepeatToLength(unique_name, bytes - text.size());
  json body = {{"model", request.model.empty() ? default_model : request.model},
               {"max_tokens", request.output_tokens},
               {"stream", request.stream},
               {"user", unique_name}};
  if (request.path == "/v1/completions") {
    body["prompt"] = text;
  } else {
    body["messages"] = json::array({{{"role", "user"}, {"content", text}}});
  }
  return body.dump();
}

}  // namespace ebonylift
