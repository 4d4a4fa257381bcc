#include "testing/generation.h"

#include <nlohmann/json.hpp>

namespace ebonylift::standin {
namespace {

using nlohmann::json;

std::string QuoteJson(const std::string& text) {
  return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string EventPrefix(const Generation& generation) {
  const char* object = generation.chat ? "chat.completion.chunk" : "text_completion";
  return std::string("data: {\"id\":\"gen-") + std::to_string(generation.id) + "\",\"object\":\"" +
         object + "\",\"created\":0,\"model\":" + QuoteJson(generation.request.model) +
         ",\"choices\":[{\"index\":0,";
}

json UsageJson(const Generation& generation) {
  int prompt_tokens = PromptTokens(generation.request);
  int completion_tokens = static_cast<int>(generation.tokens.size());
  return {{"prompt_tokens", prompt_tokens},
          {"completion_tokens", completion_tokens},
          {"total_tokens", prompt_tokens + completion_tokens},
          {"prompt_tokens_details", {{"cached_tokens", generation.cached_tokens}}}};
}

}  // namespace

std::string GenerationKey(const std::string& request_id, const std::string& attempt) {
  return request_id + "/" + attempt;
}

std::string ChunkEvent(const Generation& generation, std::string_view text, bool first) {
  std::string event = EventPrefix(generation);
  if (generation.chat) {
    event +=
        first ? "\"delta\":{\"role\":\"assistant\",\"content\":\"" : "\"delta\":{\"content\":\"";
    event += text;
    event += "\"},";
  } else {
    event += "\"text\":\"";
    event += text;
    event += "\",";
  }
  event += "\"finish_reason\":null}]}\n\n";
  return event;
}

std::string FinalEvents(const Generation& generation) {
  std::string event = EventPrefix(generation);
  event += generation.chat ? "\"delta\":{}," : "\"text\":\"\",";
  event += "\"finish_reason\":\"stop\"}],\"usage\":" + UsageJson(generation).dump() + "}\n\n";
  return event + "data: [DONE]\n\n";
}

std::string NonStreamingResponse(const Generation& generation) {
  std::string text = AnswerText(generation.request);
  json choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (generation.chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  json response = {{"id", "gen-" + std::to_string(generation.id)},
                   {"object", generation.chat ? "chat.completion" : "text_completion"},
                   {"created", 0},
                   {"model", generation.request.model},
                   {"choices", json::array({choice})},
                   {"usage", UsageJson(generation)}};
  return response.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool SeekTo(Generation& generation, size_t offset) {
  size_t token = 0;
  while (token < generation.generated_tokens && offset >= generation.tokens[token].size()) {
    offset -= generation.tokens[token].size();
    ++token;
  }
  if (token == generation.generated_tokens && offset > 0) return false;
  generation.written_tokens = token;
  generation.skip_bytes = offset;
  return true;
}

}  // namespace ebonylift::standin
