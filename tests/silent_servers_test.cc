#define BOOST_TEST_MODULE silent_servers
#include <boost/test/included/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/exchange_fixture.h"

// Exchanges whose servers fall silent, all at the same moment.

namespace ebonylift {
namespace {

using test::FakeResponder;

// The platform lets a sound server fall silent for a second or so.
constexpr Duration kPause = milliseconds(1'500);
constexpr Duration kLongSilence = kPathSilenceTime + milliseconds(900);

const HttpHeaders kStreamHeaders = {
    {"content-type", "text/event-stream"}, {"Attempt-Id", "39ed"}, {"Server-Seal", "s"}};
const std::string kFirstEvent = "id: 1\ndata: a\n\n";
const std::string kSecondEvent = "id: 2\ndata: b\n\n";
const std::string kRest = "id: 3\ndata: c\n\n";

// Two servers, each with a stream of which two events have come.
struct TwoStreams : test::DialectFixture {
  TwoStreams() : DialectFixture(/*resumable=*/true) {
    context.stream_origins = &origins;
    SetServers({"s1:1", "s2:1"});
    for (size_t i = 0; i < 2; ++i) {
      callers.push_back(Start(LookSpec()));
      BOOST_REQUIRE(client.calls.size() == i + 1);
      client.calls[i].on_headers(200, kStreamHeaders);
      client.calls[i].on_data(kFirstEvent);
    }
    BOOST_REQUIRE(client.calls[0].url != client.calls[1].url);
    for (size_t i = 0; i < 2; ++i) client.calls[i].on_data(kSecondEvent);
  }

  // Lets `time` pass, in which the servers are silent and accept connections, or do not.
  void StaySilent(Duration time, bool accept) {
    size_t answered = client.calls.size();
    Time end = SteadyNow() + time;
    RunUntil(
        [&] {
          for (; answered < client.calls.size(); ++answered) {
            if (!client.calls[answered].connect_only) continue;
            CallOutcome outcome = accept ? CallOutcome::kComplete : CallOutcome::kNotConnected;
            client.calls[answered].on_done(CallResult{outcome, 0, "", 0, false});
          }
          return SteadyNow() > end;
        },
        "the servers have been silent");
  }

  void EndStreams() {
    for (size_t i = 0; i < 2; ++i) {
      client.calls[i].on_data(kRest);
      client.calls[i].on_done(CallResult{CallOutcome::kComplete, 200, "", 0, true});
      BOOST_TEST(callers[i]->text == kFirstEvent + kSecondEvent + kRest);
      BOOST_TEST(callers[i]->ended);
    }
  }

  StreamOriginTable origins;
  std::vector<std::shared_ptr<FakeResponder>> callers;
};

}  // namespace

// Guards against streams that are broken off because all servers of a host paused for a second or
// so, although each went on.
BOOST_FIXTURE_TEST_CASE(PausedServersKeepTheirStreams, TwoStreams) {
  StaySilent(kPause, /*accept=*/true);
  BOOST_TEST(client.cancelled.empty());
  BOOST_TEST(!dispatcher.IsCutOff());
  EndStreams();
}

// Guards against streams that are broken off because a host takes itself for cut off from servers
// to which it can connect.
BOOST_FIXTURE_TEST_CASE(SilentServersThatAcceptConnectionsKeepTheirStreams, TwoStreams) {
  StaySilent(kLongSilence, /*accept=*/true);
  BOOST_TEST(dispatcher.IsCutOff());
  BOOST_TEST(client.cancelled.empty());
  EndStreams();
}

// Guards against streams that wait until their deadline although this host has no path to their
// servers.
BOOST_FIXTURE_TEST_CASE(StreamsLeaveServersOutOfReach, TwoStreams) {
  StaySilent(kLongSilence, /*accept=*/false);
  BOOST_TEST(dispatcher.IsCutOff());
  BOOST_TEST(client.cancelled.size() == 2u);
}

}  // namespace ebonylift
