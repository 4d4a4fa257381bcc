#define BOOST_TEST_MODULE config_proposer
#include "daemon/config_proposer.h"

#include <boost/test/included/unit_test.hpp>
#include <set>

namespace ebonylift {
namespace {

const HostId kLeader("leader");
const HostId kVoter("voter");
const HostId kNextLeader("next");

struct Forwarded {
  HostId to;
  uint32_t hops = 0;
  std::function<void(std::optional<PutAnswer>)> done;
};

// A proposer on a host that is not the leader.
struct Fixture {
  Time now;
  std::set<HostId> connected;
  HostId leader = kLeader;
  std::optional<PutAnswer> local_answer;  // set: the local replica handles the changes
  int proposals = 0;
  std::vector<Forwarded> forwarded;
  std::vector<PutAnswer> answers;
  ConfigProposer proposer{MakeOptions()};

  ConfigProposer::Options MakeOptions() {
    ConfigProposer::Options options;
    options.propose = [this](const ConfigPut&,
                             const ConfigProposer::PutDone& done) -> std::optional<HostId> {
      ++proposals;
      if (!local_answer) return leader;
      done(*local_answer);
      return std::nullopt;
    };
    options.voters = []() { return std::vector<HostId>{kLeader, kVoter}; };
    options.leader = [this]() { return std::optional<HostId>(leader); };
    options.is_connected = [this](const HostId& host) { return connected.count(host) != 0; };
    options.forward = [this](const HostId& to, const ConfigPut&, uint32_t hops,
                             std::function<void(std::optional<PutAnswer>)> done) {
      forwarded.push_back({to, hops, std::move(done)});
    };
    options.clock = [this]() { return now; };
    return options;
  }

  void Put(uint32_t hops = 0, const std::string& request_id = "") {
    ConfigPut put;
    put.request_id = request_id;
    proposer.Put(put, hops, [this](PutAnswer answer) { answers.push_back(answer); });
  }
};

// Guards against a change that fails, or is lost, because an election is in progress.
BOOST_FIXTURE_TEST_CASE(ChangeWaitsForALeader, Fixture) {
  Put();
  now += kMaxLeaderWait / 2;
  proposer.RetryWaiting();
  BOOST_TEST(answers.empty());

  connected.insert(kLeader);
  proposer.RetryWaiting();
  BOOST_REQUIRE_EQUAL(forwarded.size(), 1);
  BOOST_TEST(forwarded[0].to == kLeader);
  BOOST_TEST(forwarded[0].hops == 1);
  PutAnswer success;
  success.revision = 7;
  forwarded[0].done(success);
  proposer.RetryWaiting();
  BOOST_REQUIRE_EQUAL(answers.size(), 1);
  BOOST_TEST(answers[0].revision == 7);
  BOOST_TEST(forwarded.size() == 1);
}

// Guards against an operator's call that hangs while there is no leader.
BOOST_FIXTURE_TEST_CASE(ChangeFailsAfterTheMaximumWait, Fixture) {
  Put();
  now += kMaxLeaderWait - milliseconds(1);
  proposer.RetryWaiting();
  BOOST_TEST(answers.empty());
  now += milliseconds(1);
  proposer.RetryWaiting();
  BOOST_REQUIRE_EQUAL(answers.size(), 1);
  BOOST_TEST((answers[0].error == ErrorKind::kNoQuorum));
}

// Guards against waiting changes that use memory without limit.
BOOST_FIXTURE_TEST_CASE(ChangeFailsAtOnceWhenTooManyWait, Fixture) {
  for (size_t i = 0; i < kMaxWaitingPuts; ++i) Put();
  BOOST_TEST(answers.empty());
  Put();
  BOOST_REQUIRE_EQUAL(answers.size(), 1);
  BOOST_TEST((answers[0].error == ErrorKind::kNoQuorum));
}

// Guards against a wait on every host on the way, which would exceed the timeout of the first one.
BOOST_FIXTURE_TEST_CASE(ForwardedChangeDoesNotWait, Fixture) {
  Put(1);
  BOOST_REQUIRE_EQUAL(answers.size(), 1);
  BOOST_TEST((answers[0].error == ErrorKind::kNoQuorum));
}

// Guards against a change that is applied twice because it is sent again after a lost answer.
BOOST_FIXTURE_TEST_CASE(ChangeWithoutAnswerIsNotRetried, Fixture) {
  connected.insert(kLeader);
  Put();
  BOOST_REQUIRE_EQUAL(forwarded.size(), 1);
  forwarded[0].done(std::nullopt);
  BOOST_REQUIRE_EQUAL(answers.size(), 1);
  BOOST_TEST((answers[0].error == ErrorKind::kConfigUnknown));
  proposer.RetryWaiting();
  BOOST_TEST(forwarded.size() == 1);
}

// Guards against a change that waits for the answer of a leader that is frozen or cut off, although
// another host leads already: its operator gives up before.
BOOST_FIXTURE_TEST_CASE(ForwardedChangeFollowsTheLeader, Fixture) {
  connected = {kLeader, kNextLeader};
  Put(0, "r1");
  proposer.RetryWaiting();
  BOOST_REQUIRE_EQUAL(forwarded.size(), 1);
  leader = kNextLeader;
  proposer.RetryWaiting();
  BOOST_REQUIRE_EQUAL(forwarded.size(), 2);
  BOOST_TEST(forwarded[1].to == kNextLeader);
  PutAnswer success;
  success.revision = 7;
  forwarded[1].done(success);
  BOOST_REQUIRE_EQUAL(answers.size(), 1);
  BOOST_TEST(answers[0].revision == 7);
  // The answer of the former leader comes late.
  forwarded[0].done(std::nullopt);
  BOOST_TEST(answers.size() == 1);
}

// Guards against a change that is applied twice because it is sent to two leaders.
BOOST_FIXTURE_TEST_CASE(ChangeWithoutIdIsNotSentToTheNextLeader, Fixture) {
  connected = {kLeader, kNextLeader};
  Put();
  Put(1, "r1");  // the host that it came from follows the leader itself
  leader = kNextLeader;
  proposer.RetryWaiting();
  BOOST_TEST(forwarded.size() == 2);
  BOOST_REQUIRE_EQUAL(answers.size(), 2);
  BOOST_TEST((answers[0].error == ErrorKind::kConfigUnknown));
  BOOST_TEST((answers[1].error == ErrorKind::kConfigUnknown));
}

// Guards against hosts with different opinions about the leader that forward a change in a circle.
BOOST_FIXTURE_TEST_CASE(ForwardingEndsAfterTheMaximumNumberOfHops, Fixture) {
  connected.insert(kVoter);
  Put(kMaxPutHops - 1);
  BOOST_REQUIRE_EQUAL(forwarded.size(), 1);
  BOOST_TEST(forwarded[0].to == kVoter);  // the leader is not connected
  BOOST_TEST(forwarded[0].hops == kMaxPutHops);
  Put(kMaxPutHops);
  BOOST_TEST(forwarded.size() == 1);
  BOOST_REQUIRE_EQUAL(answers.size(), 1);
  BOOST_TEST((answers[0].error == ErrorKind::kNoQuorum));
}

// Guards against a rejected change that is proposed again.
BOOST_FIXTURE_TEST_CASE(RejectedChangeIsNotRetried, Fixture) {
  local_answer = PutAnswer();
  local_answer->error = ErrorKind::kConfigConflict;
  Put();
  proposer.RetryWaiting();
  BOOST_REQUIRE_EQUAL(answers.size(), 1);
  BOOST_TEST((answers[0].error == ErrorKind::kConfigConflict));
  BOOST_TEST(proposals == 1);
}

}  // namespace
}  // namespace ebonylift
