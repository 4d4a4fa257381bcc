#ifndef EBONYLIFT_TESTING_ANSWER_H_
#define EBONYLIFT_TESTING_ANSWER_H_

// The answer text of the engine stand-in.
//
// The text depends only on the model, the prompt text and the number of output tokens, so a caller
// can compute the whole answer to its own request and compare. It does not depend on `stream` or
// on fields that a gateway may add. scripts/demo.py implements the same function.

#include <string>
#include <vector>

namespace ebonylift::standin {

constexpr int kDefaultOutputTokens = 16;
constexpr int kMaxOutputTokens = 100'000;

// What the engine reads of an OpenAI-compatible body.
struct Prompt {
  std::string model;
  std::string text;  // contents of the messages, or the prompt, joined by a line feed
  std::string user;  // the caller's own tag, for the record
  int output_tokens = kDefaultOutputTokens;
  bool stream = false;
};

// Throws Error(kBadRequest) when the body is not a chat or completion request.
Prompt ParsePrompt(const std::string& body);

// Token 0 is the start of the SHA-256 of model, text and output tokens; the others are words that
// the digest selects. Each token ends with a space.
std::vector<std::string> AnswerTokens(const Prompt& prompt);

// The tokens joined.
std::string AnswerText(const Prompt& prompt);

// The text that the engine must generate for this request body.
std::string AnswerTextForBody(const std::string& body);

// Four bytes are one token; at least one.
int PromptTokens(const Prompt& prompt);

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_ANSWER_H_
