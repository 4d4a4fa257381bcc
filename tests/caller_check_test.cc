#define BOOST_TEST_MODULE caller_check
#include "daemon/caller_check.h"

#include <boost/test/included/unit_test.hpp>
#include <optional>

namespace ebonylift {
namespace {

// A responder whose connection the test closes.
class ClosingResponder : public HttpResponder {
 public:
  void Send(int /*status*/, const HttpHeaders& /*headers*/, std::string /*body*/) override {}
  void Begin(int /*status*/, const HttpHeaders& /*headers*/) override {}
  void Write(std::string /*chunk*/) override {}
  void End() override {}
  void Abort() override {}
  size_t PendingBytes() const override { return 0; }
  void OnDrained(std::function<void()> /*fn*/) override {}
  void OnClosed(std::function<void()> /*fn*/) override {}
  bool ClosedByClient() const override { return closed_by_client; }

  bool closed_by_client = false;
};

std::optional<bool> Check(bool closes) {
  asio::io_context io;
  auto responder = std::make_shared<ClosingResponder>();
  std::optional<bool> result;
  MakeCallerCheck(&io, responder)([&result](bool waits) { result = waits; });
  // The close arrives after the check was asked for.
  responder->closed_by_client = closes;
  io.run();
  return result;
}

}  // namespace

// Guards against an order that is carried out after its caller has closed the connection and given
// it to another host, and against one of a caller that waits and is dropped.
BOOST_AUTO_TEST_CASE(ClosedConnectionMeansThatTheCallerLeft) {
  BOOST_TEST((Check(true) == false));
  BOOST_TEST((Check(false) == true));
}

}  // namespace ebonylift
