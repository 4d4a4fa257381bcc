#define BOOST_TEST_MODULE http_client_faulty_server
#include <boost/test/included/unit_test.hpp>
#include <string>

#include "tests/support/http_fixture.h"

// Responses of a server in trouble, at the HTTP client.

namespace ebonylift::test {
namespace {

const std::string kOk = "HTTP/1.1 200 OK\r\n";

struct Fixture : HttpFixture {
  // Fetches from a server that sends `response` and then closes the connection.
  Reply FetchResponse(const std::string& response) {
    RawServer raw(io);
    Reply reply;
    HttpCall call = Get(raw.Url());
    call.new_connection = true;
    Start(std::move(call), &reply);
    RunUntil([&] { return raw.PeerReceived(0, "\r\n\r\n"); }, "the request arrives");
    raw.peers[0]->Send(response);
    raw.peers[0]->Close();
    RunUntil([&] { return reply.done; }, "the call is done");
    return reply;
  }

  // Checks that nothing of the response is passed on.
  void CheckNoResponse(const std::string& response) {
    Reply reply = FetchResponse(response);
    BOOST_TEST_CONTEXT("response " << response) {
      BOOST_TEST(reply.result.outcome == CallOutcome::kFailed);
      BOOST_TEST(!reply.result.error.empty());
      BOOST_TEST(reply.on_headers_calls == 0);
      BOOST_TEST(reply.body.empty());
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(FaultyServer, Fixture)

// Guards against a response that ends the process: libcurl 7.88 followed a pointer into the freed
// headers of the response before.
BOOST_AUTO_TEST_CASE(FoldedFirstLineAfterAnotherResponse) {
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(FetchResponse(kOk + "Content-Length: 4\r\n\r\nbody").body == "body");
    CheckNoResponse(kOk + " x: folded\r\n\r\nbody");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebonylift::test
