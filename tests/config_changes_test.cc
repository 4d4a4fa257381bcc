#define BOOST_TEST_MODULE config_changes
#include "daemon/config_changes.h"

#include <boost/test/included/unit_test.hpp>

#include "core/config_tree.h"
#include "tests/support/fake_control.h"

namespace ebonylift {
namespace {

const DomainId kDomain("este-a");
const std::string kPath = "/deployment/evacuations/este-a";

// A control port whose local replica may lag behind the committed tree.
class LaggingControl : public test::FakeControl {
 public:
  void Read(const std::string& path, std::function<void(ConfigRead)> done) override {
    done({local.revision, ReadTree(local, path)});
  }
  void Put(const ConfigPut& put, std::function<void(PutAnswer)> done) override {
    ++puts;
    PutResult result = ApplyPut(&committed, put, 1);
    PutAnswer answer;
    answer.revision = result.revision;
    answer.current_value = result.current_value;
    if (result.outcome == PutOutcome::kConflict) answer.error = ErrorKind::kConfigConflict;
    done(answer);
  }

  bool Evacuated() const {
    return committed.entries.at(kPath).value.text().find("true") != std::string::npos;
  }

  ConfigTree committed;
  ConfigTree local;
  int puts = 0;
};

struct Fixture {
  std::optional<Error> Set(bool evacuated, bool caller_waits = true) {
    std::optional<Error> error = Error(ErrorKind::kInternal, "not called");
    SetEvacuated(
        &control, kDomain, evacuated,
        [caller_waits](const std::function<void(bool)>& done) { done(caller_waits); },
        [&](const std::optional<Error>& result) { error = result; });
    return error;
  }
  void CatchUp() { control.local = control.committed; }

  LaggingControl control;
};

}  // namespace

// Guards against an order that was given up by its caller, for example because the host was
// stopped, and that ends an evacuation which was started after it.
BOOST_FIXTURE_TEST_CASE(OrderOfACallerThatLeftHasNoEffect, Fixture) {
  BOOST_TEST(!Set(true).has_value());
  CatchUp();
  std::optional<Error> error = Set(false, /*caller_waits=*/false);
  BOOST_REQUIRE(error.has_value());
  BOOST_TEST((error->kind() == ErrorKind::kConfigUnknown));
  BOOST_TEST(control.Evacuated());
}

// Guards against an order that is applied on top of a newer one which this host did not know when
// it received the order.
BOOST_FIXTURE_TEST_CASE(OrderDoesNotReplaceOneThatItDidNotKnow, Fixture) {
  Set(false);
  CatchUp();
  ConfigTree before = control.local;
  Set(true);
  CatchUp();
  Set(false);
  CatchUp();
  Set(true);
  control.local = before;
  std::optional<Error> error = Set(false);
  BOOST_REQUIRE(error.has_value());
  BOOST_TEST((error->kind() == ErrorKind::kConfigConflict));
  BOOST_TEST(control.Evacuated());
}

// Guards against an order that is acknowledged without an effect, because it equals an earlier one
// on the same outdated revision.
BOOST_FIXTURE_TEST_CASE(AcknowledgedOrderIsInForce, Fixture) {
  Set(true);
  CatchUp();
  Set(false);
  control.local = ConfigTree();
  std::optional<Error> error = Set(true);
  BOOST_TEST((error.has_value() || control.Evacuated()));
  CatchUp();
  BOOST_TEST(!Set(true).has_value());
  BOOST_TEST(control.Evacuated());
}

// Guards against an order that is refused although it is already in force.
BOOST_FIXTURE_TEST_CASE(RepeatedOrderSucceeds, Fixture) {
  BOOST_TEST(!Set(true).has_value());
  BOOST_TEST(!Set(true).has_value());
  CatchUp();
  BOOST_TEST(!Set(true).has_value());
  BOOST_TEST(control.Evacuated());
}

// Guards against a document that is not stored because another one was stored at the same time.
BOOST_FIXTURE_TEST_CASE(HigherVersionReplacesAnUnknownOne, Fixture) {
  auto replace = [&](uint64_t version) {
    std::optional<Error> error = Error(ErrorKind::kInternal, "not called");
    ReplaceIngress(&control, version, R"({"version":)" + std::to_string(version) + "}",
                   [&](const std::optional<Error>& result) { error = result; });
    return error;
  };
  BOOST_TEST(!replace(3).has_value());
  BOOST_TEST(!replace(5).has_value());
  BOOST_TEST(!replace(4).has_value());
  BOOST_TEST(control.committed.entries.at(kIngressPath).value == R"({"version":5})");
}

}  // namespace ebonylift
