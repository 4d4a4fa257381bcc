#include "adapters/http_response_head.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string>
#include <utility>

#include "adapters/http_headers.h"

namespace ebonylift {
namespace {

constexpr std::string_view kWhitespace = " \t";

struct Field {
  std::string name;
  std::string value;
};

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

bool IsLetter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); }

// The characters of a field name (RFC 9110, section 5.6.2). Whitespace is not among them.
bool IsTokenChar(char c) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return IsDigit(c) || IsLetter(c) || kSymbols.find(c) != std::string_view::npos;
}

// Bytes from 128 on are allowed in field values and reason phrases.
bool IsTextChar(char c) {
  auto byte = static_cast<unsigned char>(c);
  constexpr unsigned char kDelete = 127;
  return c == '\t' || (byte >= ' ' && byte != kDelete);
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenChar);
}

std::string_view TrimWhitespace(std::string_view text) {
  size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

// A folded line, which continues the field of the line before, begins with whitespace and is not a
// field. A gateway may refuse a response with such a line (RFC 9112, section 5.2).
bool ParseField(std::string_view line, Field* field) {
  size_t colon = line.find(':');
  if (colon == std::string_view::npos) return false;
  std::string_view name = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  if (!IsToken(name) || !IsHeaderText(value)) return false;
  field->name = name;
  field->value = TrimWhitespace(value);
  return true;
}

// Parses "HTTP/1.1 200 OK". The reason phrase and the space before it may be missing.
const char* AddStatusLine(std::string_view line, ReceivedHead* head) {
  constexpr std::string_view kVersion = "HTTP/1.";  // the minor version, 0 or 1, follows
  constexpr size_t kStatusOffset = kVersion.size() + 2;
  constexpr size_t kReasonOffset = kStatusOffset + 3;
  constexpr const char* kMalformed = "the status line of the response is malformed";
  bool has_version = line.size() >= kReasonOffset && line.substr(0, kVersion.size()) == kVersion &&
                     (line[kVersion.size()] == '0' || line[kVersion.size()] == '1') &&
                     line[kStatusOffset - 1] == ' ';
  if (!has_version) return kMalformed;
  std::string_view digits = line.substr(kStatusOffset, kReasonOffset - kStatusOffset);
  std::string_view reason = line.substr(kReasonOffset);
  if (!std::all_of(digits.begin(), digits.end(), IsDigit)) return kMalformed;
  if (!reason.empty() && (reason[0] != ' ' || !IsHeaderText(reason))) return kMalformed;
  int status = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), status);
  if (status < 100 || status > 599) return "the status of the response is outside 100 to 599";
  // No request asks for another protocol.
  if (status == 101) return "the response switches to another protocol";
  head->status = status;
  head->in_fields = true;
  head->http_1_0 = line[kVersion.size()] == '0';
  return nullptr;
}

bool IsLength(const std::string& value) {
  int64_t length = 0;
  const char* end = value.data() + value.size();
  std::from_chars_result result = std::from_chars(value.data(), end, length);
  return result.ec == std::errc() && result.ptr == end && IsDigit(value[0]);
}

// Records what the field says of the body's length.
const char* AddFraming(const Field& field, ReceivedHead* head) {
  if (EqualsIgnoreCase(field.name, "content-length")) {
    if (head->has_length) return "the response has several Content-Length fields";
    if (!IsLength(field.value)) return "the Content-Length of the response is malformed";
    head->has_length = true;
  } else if (EqualsIgnoreCase(field.name, "transfer-encoding")) {
    if (head->chunked) return "the response has several Transfer-Encoding fields";
    // No request of this client accepts another coding.
    if (!EqualsIgnoreCase(field.value, "chunked"))
      return "the Transfer-Encoding of the response is not chunked";
    head->chunked = true;
  }
  return nullptr;
}

const char* AddField(std::string_view line, ReceivedHead* head) {
  Field field;
  if (!ParseField(line, &field)) return "a line of the response head is not a field";
  const char* error = AddFraming(field, head);
  if (error == nullptr) head->headers.emplace_back(std::move(field.name), std::move(field.value));
  return error;
}

const char* EndHead(ReceivedHead* head) {
  bool interim = head->status < 200;
  if (head->chunked && head->has_length)
    return "the response has both Content-Length and Transfer-Encoding";
  if (head->chunked && (head->http_1_0 || interim || head->status == 204))
    return "a response of this kind cannot have a Transfer-Encoding";
  if (head->has_length && interim) return "an interim response cannot have a Content-Length";
  if (interim) {
    int status = head->status;
    *head = ReceivedHead();
    head->status = status;
  } else {
    head->complete = true;
  }
  return nullptr;
}

}  // namespace

bool RemoveLineBreak(std::string_view* line) {
  constexpr std::string_view kLineBreak = "\r\n";
  if (line->size() < kLineBreak.size()) return false;
  if (line->substr(line->size() - kLineBreak.size()) != kLineBreak) return false;
  line->remove_suffix(kLineBreak.size());
  return true;
}

bool IsFieldLine(std::string_view line) {
  Field field;
  return ParseField(line, &field);
}

bool IsHeaderText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), IsTextChar);
}

const char* AddHeadLine(std::string_view line, ReceivedHead* head) {
  if (!RemoveLineBreak(&line)) return "a line of the response head does not end with CR LF";
  if (!head->in_fields) return AddStatusLine(line, head);
  return line.empty() ? EndHead(head) : AddField(line, head);
}

}  // namespace ebonylift
