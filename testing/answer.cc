#include "testing/answer.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

#include "base/error.h"
#include "base/hash.h"

namespace ebonylift::standin {
namespace {

using nlohmann::json;

constexpr size_t kBytesPerToken = 4;
constexpr size_t kDigestPrefixLength = 16;
const char* const kWords[] = {"trail ", "river ", "stone ", "ridge ", "marsh ", "palm ",
                              "dune ",  "gate ",  "oak ",   "ford ",  "north ", "south ",
                              "east ",  "west ",  "cache ", "log "};

// Appends the content of a message, which is a string or an array of parts with a `text`.
void AppendContent(const json& content, std::string& text) {
  if (content.is_string()) {
    text += content.get_ref<const std::string&>();
    return;
  }
  if (!content.is_array()) return;
  for (const json& part : content) {
    if (part.is_object() && part.contains("text") && part["text"].is_string()) {
      text += part["text"].get_ref<const std::string&>();
    }
  }
}

std::string JoinMessages(const json& messages) {
  std::string text;
  for (const json& message : messages) {
    if (!text.empty()) text += '\n';
    if (message.is_object() && message.contains("content")) {
      AppendContent(message["content"], text);
    }
  }
  return text;
}

std::string StringField(const json& body, const char* name) {
  auto it = body.find(name);
  return it != body.end() && it->is_string() ? it->get<std::string>() : "";
}

int OutputTokens(const json& body) {
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    auto it = body.find(name);
    if (it != body.end() && it->is_number_integer()) {
      return static_cast<int>(std::clamp<int64_t>(it->get<int64_t>(), 1, kMaxOutputTokens));
    }
  }
  return kDefaultOutputTokens;
}

}  // namespace

CompletionRequest ParseCompletionRequest(const std::string& body) {
  json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object()) throw Error(ErrorKind::kBadRequest, "the body is not a JSON object");
  CompletionRequest request;
  request.model = StringField(parsed, "model");
  request.user = StringField(parsed, "user");
  request.output_tokens = OutputTokens(parsed);
  request.stream = parsed.contains("stream") && parsed["stream"] == true;
  if (parsed.contains("messages") && parsed["messages"].is_array()) {
    request.prompt_text = JoinMessages(parsed["messages"]);
  } else if (parsed.contains("prompt") && parsed["prompt"].is_string()) {
    request.prompt_text = StringField(parsed, "prompt");
  } else {
    throw Error(ErrorKind::kBadRequest, "the body has neither messages nor a prompt");
  }
  return request;
}

std::vector<std::string> AnswerTokens(const CompletionRequest& request) {
  std::string digest = Sha256Hex(request.model + "\n" + request.prompt_text + "\n" +
                                 std::to_string(request.output_tokens));
  std::vector<std::string> tokens;
  tokens.reserve(request.output_tokens);
  tokens.push_back(digest.substr(0, kDigestPrefixLength) + " ");
  for (int i = 1; i < request.output_tokens; ++i) {
    char digit = digest[i % digest.size()];
    int value = digit <= '9' ? digit - '0' : digit - 'a' + 10;
    tokens.emplace_back(kWords[(value + i) % std::size(kWords)]);
  }
  return tokens;
}

std::string AnswerText(const CompletionRequest& request) {
  std::vector<std::string> tokens = AnswerTokens(request);
  return std::accumulate(tokens.begin(), tokens.end(), std::string());
}

std::string AnswerTextForBody(const std::string& body) {
  return AnswerText(ParseCompletionRequest(body));
}

int PromptTokens(const CompletionRequest& request) {
  return std::max<int>(1, static_cast<int>(request.prompt_text.size() / kBytesPerToken));
}

}  // namespace ebonylift::standin
