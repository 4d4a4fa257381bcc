#ifndef EBONYLIFT_TESTS_SUPPORT_TEST_CLIENT_H_
#define EBONYLIFT_TESTS_SUPPORT_TEST_CLIENT_H_

// A blocking HTTP client for tests. Each call uses its own connection, so calls from several
// threads are independent and no request is retried behind the back of the test.

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"

namespace ebonylift::test {

struct TestResponse {
  bool complete = false;  // a whole response arrived
  bool refused = false;   // no connection could be opened, so nothing was sent
  int status = 0;         // 0 when no status line arrived
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string error;       // why the response is not complete
  Duration first_byte{0};  // from the start of the call to the first byte of the body
  Duration total{0};

  // The first header with this name, ignoring case; empty when there is none.
  std::string Header(const std::string& name) const;
};

struct TestCall {
  std::string method = "GET";
  std::string url;  // http://ip:port/path
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  Duration timeout = seconds(10);
  Duration connect_timeout = seconds(2);
  // Called for each received part of the body; false ends the call and closes the connection.
  std::function<bool(std::string_view)> on_data;
};

TestResponse Call(const TestCall& call);
TestResponse Get(const std::string& url);
TestResponse PostJson(const std::string& url, const std::string& body,
                      const std::vector<std::pair<std::string, std::string>>& headers = {});

// The contents of the events of an SSE body. An event that is cut off at the end is left out.
struct SseText {
  std::string text;                 // concatenated text of all chat or completion chunks
  bool done = false;                // the final [DONE] event arrived
  std::vector<std::string> errors;  // `data` of the events that have a field `error`
  int events = 0;
};

SseText ParseSse(const std::string& body);

// The generated text of a chat or completion response that is not streamed; empty when it has none.
std::string GeneratedText(const std::string& body);

}  // namespace ebonylift::test

#endif  // EBONYLIFT_TESTS_SUPPORT_TEST_CLIENT_H_
