#define BOOST_TEST_MODULE platform_dialect
#include <boost/test/included/unit_test.hpp>

#include "base/error.h"
#include "platform/dialect.h"

namespace ebonylift::platform {
namespace {

const HttpHeaders kClientHeaders = {{"Host", "a.example:8144"},
                                    {"Attempt-Id", "9c41"},
                                    {"Model", "m"},
                                    {"Token-Usage", "1460,80"},
                                    {"Prompt-Prefix", "5c1e07a2:800,e4402b7d:660"},
                                    {"Deadline-Ms", "10000"}};

const Dialect& kPlatformDialect = PlatformDialect();

// Keeps the status and headers of the response that is sent to it.
class RecordingResponder : public HttpResponder {
 public:
  void Send(int status, const HttpHeaders& headers, std::string) override {
    status_ = status;
    headers_ = headers;
  }
  void Begin(int, const HttpHeaders&) override {}
  void Write(std::string) override {}
  void End() override {}
  void Abort() override {}
  size_t PendingBytes() const override { return 0; }
  void OnDrained(std::function<void()>) override {}
  void OnClosed(std::function<void()>) override {}
  bool ClosedByClient() const override { return false; }
  int status() const { return status_; }
  const HttpHeaders& headers() const { return headers_; }

 private:
  int status_ = 0;
  HttpHeaders headers_;
};

}  // namespace

// Guards against misread headers and against a deadline that is not a number.
BOOST_AUTO_TEST_CASE(ParsesRequestHeaders) {
  HttpRequest request;
  request.headers = kClientHeaders;
  DialectRequest dialect_request = kPlatformDialect.read_request(request);
  BOOST_TEST(dialect_request.host == "a.example");
  BOOST_TEST((dialect_request.caller_timeout == seconds(10)));
  BOOST_TEST(dialect_request.prompt_tokens == 1460);
  BOOST_TEST(dialect_request.max_output_tokens == 80);
  BOOST_TEST(dialect_request.expected_output_tokens == 0);
  BOOST_TEST(dialect_request.prompt.size() == 2u);
  BOOST_TEST(dialect_request.prompt[0].id == 0x5c1e07a2u);
  BOOST_TEST(dialect_request.prompt[1].tokens == 660);
  // A hint is no reason to refuse a request.
  for (auto [hint, tokens] : {std::pair{"378", 378}, {"-1", 0}, {"0", 0}, {"long", 0}, {"", 0}}) {
    request.headers.emplace_back("Length-Hint", hint);
    BOOST_TEST(kPlatformDialect.read_request(request).expected_output_tokens == tokens, hint);
    request.headers.pop_back();
  }
  request.headers.emplace_back("deadline-ms", "soon");
  request.headers.erase(request.headers.begin() + 5);
  BOOST_CHECK_THROW(kPlatformDialect.read_request(request), Error);
}

// Guards against a key that is not found in its header, and against one read from other
// credentials.
BOOST_AUTO_TEST_CASE(ReadsTheKey) {
  struct Row {
    const char* value;
    const char* key;
  };
  for (const Row& row : {Row{"Bearer k-1", "k-1"}, Row{"bearer  k-1", "k-1"}, Row{"Bearer ", ""},
                         Row{"Bearer", ""}, Row{"Basic k-1", ""}, Row{"", ""}}) {
    HttpRequest request;
    request.headers = {{"authorization", row.value}};
    BOOST_TEST(kPlatformDialect.read_request(request).key == row.key, row.value);
  }
}

// Guards against forwarding gateway-only headers that a client set, and against a resumed stream
// that sends the Last-Event-Id of the client besides the current one.
BOOST_AUTO_TEST_CASE(AttemptHeadersReplaceGatewayOnlyHeaders) {
  HttpHeaders client_headers = kClientHeaders;
  for (const char* name : {"Hold", "pin-ms", "KV-FROM", "Kv-Backup", "Kv-Fetch", "Expect-Instance",
                           "Request-Priority", "Expect-Version"}) {
    client_headers.emplace_back(name, "client");
  }
  client_headers.emplace_back("Last-Event-Id", "3");
  AttemptParameters attempt;
  attempt.server = ServerId("i-1");
  attempt.time_left = milliseconds(1'234);
  HttpHeaders headers = kPlatformDialect.attempt_headers(client_headers, attempt);
  for (const auto& [name, value] : headers) BOOST_TEST(value != "client", name);
  BOOST_TEST(FindHeader(headers, "Kv-Fetch") == "");
  BOOST_TEST(FindHeader(headers, "Expect-Instance") == "i-1");
  BOOST_TEST(FindHeader(headers, "Deadline-Ms") == "1234");
  BOOST_TEST(FindHeader(headers, "Last-Event-Id") == "3");
  BOOST_TEST(FindHeader(headers, "Attempt-Id") == "9c41");
  attempt.last_event_id = "7";
  attempt.fetch_from = "10.0.0.9:8080";
  BOOST_TEST(FindHeader(kPlatformDialect.attempt_headers(client_headers, attempt), "Kv-Fetch") ==
             "10.0.0.9:8080");
  BOOST_TEST(FindHeader(kPlatformDialect.attempt_headers(client_headers, attempt),
                        "Last-Event-Id") == "7");
}

// Guards against accepting the response to another request, and against forwarding a status that
// guarantees non-execution without confirmation by the backend server.
BOOST_AUTO_TEST_CASE(ClassifiesResponses) {
  struct Case {
    const char* name;
    int status;
    HttpHeaders headers;
    ResponseKind expected;
  };
  const std::vector<Case> cases = {
      {"complete", 200, {{"Attempt-Id", "9c41"}, {"Server-Seal", "s"}}, ResponseKind::kAnswer},
      {"other request",
       200,
       {{"Attempt-Id", "77"}, {"Server-Seal", "s"}},
       ResponseKind::kUnattributable},
      {"no signature", 200, {{"Attempt-Id", "9c41"}}, ResponseKind::kUnattributable},
      {"no id", 200, {{"Server-Seal", "s"}}, ResponseKind::kUnattributable},
      {"encoded",
       200,
       {{"Attempt-Id", "9c41"}, {"Server-Seal", "s"}, {"Content-Encoding", "gzip"}},
       ResponseKind::kUnattributable},
      {"full", 503, {{"Not-Executed", "1"}}, ResponseKind::kNotRun},
      {"503 without Not-Executed", 503, {{"Attempt-Id", "9c41"}}, ResponseKind::kUnattributable},
      {"429 without Not-Executed", 429, {}, ResponseKind::kUnattributable},
      {"another server", 421, {{"Instance-Id", "i-2"}}, ResponseKind::kWrongServer},
      {"failed", 500, {{"Attempt-Id", "9c41"}, {"Server-Seal", "s"}}, ResponseKind::kFailed},
      {"success with Not-Executed",
       200,
       {{"Attempt-Id", "9c41"}, {"Server-Seal", "s"}, {"Not-Executed", "1"}},
       ResponseKind::kAnswer},
  };
  for (const Case& row : cases) {
    BOOST_TEST((kPlatformDialect.classify_response(kClientHeaders, row.status, row.headers) ==
                row.expected),
               row.name);
  }
}

// For every kind of error: guards against an error response that guarantees non-execution although
// the request may have been executed.
BOOST_AUTO_TEST_CASE(ErrorStatusesGuaranteeNonExecutionOnlyWhenKnown) {
  for (const ErrorInfo& info : AllErrors()) {
    RecordingResponder responder;
    kPlatformDialect.send_error(&responder, {info.kind, "\xff", Duration{0}, RequestId()});
    int status = responder.status();
    bool guarantees_not_executed = status == 503 || status == 429 || status == 408 || status == 421;
    if (info.run != Run::kNotRun) BOOST_TEST(!guarantees_not_executed, info.code);
    bool has_retry_after = !FindHeader(responder.headers(), "Retry-After").empty();
    if ((status == 503 || status == 429) && info.retry_after_ms > 0) {
      BOOST_TEST(has_retry_after, info.code);
    }
    BOOST_TEST((status == 401) == (info.kind == ErrorKind::kUnauthorized), info.code);
    BOOST_TEST((status == 429) == (info.kind == ErrorKind::kRateLimited), info.code);
  }
}

// Guards against a limit of a backend server that is not read, and against a malformed one that
// stops all requests to the server.
BOOST_AUTO_TEST_CASE(RequestLimitIsRead) {
  struct Row {
    const char* text;
    std::optional<double> expected;
  };
  for (const Row& row :
       {Row{"1.1", 1.1}, Row{"12", 12.0}, Row{"0", 0.0}, Row{"", std::nullopt},
        Row{"-1", std::nullopt}, Row{"nan", std::nullopt}, Row{"inf", std::nullopt},
        Row{"2/s", std::nullopt}, Row{"1.1 ", std::nullopt}, Row{"9e999", std::nullopt}}) {
    ServerNotice notice = kPlatformDialect.server_notice(200, {{"server-limit", row.text}});
    BOOST_TEST((notice.requests_per_s == row.expected), row.text);
  }
  ServerNotice none = kPlatformDialect.server_notice(200, {{"Server-Seal", "1"}});
  BOOST_TEST(!none.requests_per_s.has_value());
}

// Guards against a server that leaves and is not noticed, and against another header or value that
// takes a server out of use.
BOOST_AUTO_TEST_CASE(LeavingIsRead) {
  for (int status : {200, 500, 503}) {
    BOOST_TEST(kPlatformDialect.server_notice(status, {{"server-leaving", "1"}}).leaving);
  }
  BOOST_TEST(!kPlatformDialect.server_notice(200, {{"Server-Leaving", "0"}}).leaving);
  BOOST_TEST(!kPlatformDialect.server_notice(200, {}).leaving);
}

// Guards against a wish for a pause that is not read, against one without end, and against pauses
// because of answers that did not turn the request away.
BOOST_AUTO_TEST_CASE(PauseIsRead) {
  struct Row {
    int status;
    const char* text;
    Duration expected;
  };
  for (const Row& row :
       {Row{503, "2", seconds(2)}, Row{503, "0.25", milliseconds(250)}, Row{503, "0", Duration(0)},
        Row{503, "", Duration(0)}, Row{503, "-1", Duration(0)}, Row{503, "nan", Duration(0)},
        Row{503, "soon", Duration(0)}, Row{503, "1e12", Duration(0)},
        Row{503, "999999999999", kMaxServerPause}, Row{500, "2", Duration(0)},
        Row{200, "2", Duration(0)}}) {
    ServerNotice notice = kPlatformDialect.server_notice(row.status, {{"retry-after", row.text}});
    BOOST_TEST((notice.pause == row.expected), row.status << " " << row.text);
  }
}

// Guards against a brittle replica that is not recognised as such, and against a rejection for
// another reason that counts as one for want of room.
BOOST_AUTO_TEST_CASE(ReadsThatAServerIsBrittle) {
  ServerNotice rejected =
      kPlatformDialect.server_notice(503, {{"server-brittle", "3"}, {"Not-Executed", "1"}});
  BOOST_TEST(rejected.max_rejections_per_s.value() == 3);
  BOOST_TEST(rejected.turned_away);
  BOOST_TEST(kPlatformDialect.server_notice(200, {{"Server-Brittle", "0"}})
                 .max_rejections_per_s.has_value());
  BOOST_TEST(!kPlatformDialect.server_notice(421, {{"Not-Executed", "1"}}).turned_away);
  BOOST_TEST(!kPlatformDialect.server_notice(503, {}).turned_away);
  for (const char* text : {"", "-1", "many", "3x"}) {
    BOOST_TEST(!kPlatformDialect.server_notice(200, {{"Server-Brittle", text}})
                    .max_rejections_per_s.has_value());
  }
}

}  // namespace ebonylift::platform
