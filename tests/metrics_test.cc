#define BOOST_TEST_MODULE metrics
#include "adapters/metrics.h"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <cmath>
#include <thread>
#include <vector>

namespace ebonylift {
namespace {

bool HasLine(const std::string& text, const std::string& line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

}  // namespace

// Guards against a method that updates the wrong metric or label.
BOOST_AUTO_TEST_CASE(EachMethodUpdatesOnlyItsOwnSeries) {
  Metrics metrics;
  metrics.CountRequest(TrafficClass::kInteractive);
  metrics.CountRequest(TrafficClass::kInteractive);
  metrics.CountRefusal(ErrorKind::kPoison);
  metrics.CountSentAway(TrafficClass::kCheck);
  metrics.CountRetry(TrafficClass::kChapter);
  metrics.CountAnswer(TrafficClass::kCheck, 1, milliseconds(40));
  metrics.CountAnswer(TrafficClass::kCheck, 7, milliseconds(40));
  metrics.CountAttemptFailure(CallOutcome::kTimedOut);
  metrics.CountLate("m", LateCause::kPause);
  metrics.CountLate("m", LateCause::kNone);
  for (size_t i = 0; i < 2 * kMaxModelLabels; ++i)
    metrics.CountLate("m" + std::to_string(i), LateCause::kRead);
  metrics.ObserveWait(TrafficClass::kChapter, milliseconds(3));
  metrics.SetLogDrops({1, 2, 3});
  metrics.AddCostUnits(TrafficClass::kChapter, 2.5);
  metrics.AddCostUnits(TrafficClass::kChapter, -1);
  metrics.AddCostUnits(TrafficClass::kChapter, std::nan(""));
  metrics.ObserveFirstToken(TrafficClass::kCheck, milliseconds(1400));
  metrics.ObserveTokenGap(TrafficClass::kCheck, milliseconds(33));
  metrics.SetQueueDepth(TrafficClass::kInteractive, 7);
  metrics.SetLiveHosts(6);
  metrics.SetLiveServers(18);
  metrics.SetConfigRevision(4300);
  metrics.SetPeerBytes(1500, 2500, 700);
  FlowCounts flows;
  flows.sent[static_cast<size_t>(PeerFlow::kWorkSums)] = {3, 900};
  metrics.SetPeerFlows(flows);
  metrics.SetPeerFlows(flows);  // totals, which must not be added up
  metrics.SetConfigBehind(milliseconds(2500));
  metrics.SetControlDelay(milliseconds(120));
  metrics.ObserveConfigLag(milliseconds(800));
  metrics.SetDescriptorConflicts(2);
  std::string text = metrics.Render();
  for (const char* line : {
           R"(ebonylift_requests_total{class="interactive"} 2)",
           R"(ebonylift_requests_total{class="check"} 0)",
           R"(ebonylift_refusals_total{code="poison",run="not_run"} 1)",
           R"(ebonylift_refusals_total{code="poison_detected",run="may_have_run"} 0)",
           R"(ebonylift_sent_away_total{class="check"} 1)",
           R"(ebonylift_retries_total{class="chapter"} 1)",
           R"(ebonylift_answers_total{attempts="1"} 1)",
           R"(ebonylift_answers_total{attempts="2"} 0)",
           R"(ebonylift_answers_total{attempts="more"} 1)",
           R"(ebonylift_answer_seconds_bucket{class="check",le="0.05"} 2)",
           R"(ebonylift_attempt_failures_total{outcome="timed_out"} 1)",
           R"(ebonylift_attempt_failures_total{outcome="failed"} 0)",
           R"(ebonylift_late_answers_total{cause="pause",model="m"} 1)",
           R"(ebonylift_late_answers_total{cause="read",model="other"} 65)",
           R"(ebonylift_wait_seconds_bucket{class="chapter",le="0.01"} 1)",
           R"(ebonylift_log_lines_dropped{reason="routine_rate"} 1)",
           R"(ebonylift_log_lines_dropped{reason="notable_rate"} 2)",
           R"(ebonylift_log_lines_dropped{reason="unread"} 3)",
           R"(ebonylift_cost_units_total{class="chapter"} 2.5)",
           R"(ebonylift_first_token_seconds_bucket{class="check",le="1"} 0)",
           R"(ebonylift_first_token_seconds_bucket{class="check",le="1.4"} 1)",
           R"(ebonylift_token_gap_seconds_bucket{class="check",le="0.02"} 0)",
           R"(ebonylift_token_gap_seconds_bucket{class="check",le="0.033"} 1)",
           R"(ebonylift_queue_depth{class="interactive"} 7)",
           R"(ebonylift_live_hosts 6)",
           R"(ebonylift_live_servers 18)",
           R"(ebonylift_peer_sent_bytes 1500)",
           R"(ebonylift_peer_received_bytes 2500)",
           R"(ebonylift_peer_messages_total{direction="sent",flow="work_sums"} 3)",
           R"(ebonylift_peer_bytes_total{direction="sent",flow="work_sums"} 900)",
           R"(ebonylift_peer_bytes_total{direction="received",flow="work_sums"} 0)",
           R"(ebonylift_peer_unsent_bytes 700)",
           R"(ebonylift_config_revision 4300)",
           R"(ebonylift_config_behind_seconds 2.5)",
           R"(ebonylift_control_delay_seconds 0.12)",
           R"(ebonylift_config_lag_seconds_bucket{le="1"} 1)",
           R"(ebonylift_descriptor_conflicts 2)",
       }) {
    BOOST_TEST(HasLine(text, line), line << " is missing from\n" << text);
  }
}

// Guards against label values that depend on the traffic, which would let the number of time
// series grow without bound.
BOOST_AUTO_TEST_CASE(NumberOfSeriesIsFixed) {
  Metrics metrics;
  auto line_count = [&metrics] {
    std::string text = metrics.Render();
    return std::count(text.begin(), text.end(), '\n');
  };
  auto before = line_count();
  for (const ErrorInfo& info : AllErrors()) metrics.CountRefusal(info.kind);
  for (int attempts = 1; attempts < 50; ++attempts) {
    metrics.CountAnswer(TrafficClass::kCheck, attempts, milliseconds(attempts));
  }
  for (int outcome = 0; outcome <= static_cast<int>(CallOutcome::kTimedOut); ++outcome) {
    metrics.CountAttemptFailure(static_cast<CallOutcome>(outcome));
  }
  metrics.SetLogDrops({1, 2, 3});
  FlowCounts flows;
  for (FlowCount& count : flows.received) count = {1, 2};
  metrics.SetPeerFlows(flows);
  BOOST_TEST(line_count() == before);
  // The metrics of the flows between processes are exactly these: messages and bytes with two lines
  // of help each, by flow and direction. The bound for all others does not include them.
  auto flow_lines = static_cast<int64_t>(2 * (2 + 2 * kPeerFlowCount));
  BOOST_TEST(before - flow_lines < 400);
  BOOST_TEST(kPeerFlowCount <= 19u);
}

// Guards against series without bound, and against those of workspaces that are no longer
// configured.
BOOST_AUTO_TEST_CASE(OnlyConfiguredWorkspacesHaveSeries) {
  Metrics metrics;
  std::vector<WorkspaceId> ids;
  for (size_t i = 0; i <= kMaxWorkspaceLabels; ++i) ids.emplace_back("w" + std::to_string(i));
  metrics.CountWorkspaceRequest(ids[0]);
  metrics.SetWorkspaces(ids);
  for (const WorkspaceId& id : ids) metrics.CountWorkspaceRequest(id);
  metrics.CountWorkspaceRefusal(ids[1]);
  BOOST_TEST(HasLine(metrics.Render(), "ebonylift_workspace_requests_total{workspace=\"w0\"} 1"));
  BOOST_TEST(HasLine(metrics.Render(), "ebonylift_workspace_refusals_total{workspace=\"w1\"} 1"));
  BOOST_TEST(metrics.Render().find("\"" + ids.back().value() + "\"") == std::string::npos);
  metrics.SetWorkspaces({ids[1]});
  BOOST_TEST(metrics.Render().find("\"w0\"") == std::string::npos);
  BOOST_TEST(HasLine(metrics.Render(), "ebonylift_workspace_requests_total{workspace=\"w1\"} 1"));
}

// Guards against updates that are lost when several threads update a metric while it is rendered.
BOOST_AUTO_TEST_CASE(ConcurrentUpdatesAreNotLost) {
  Metrics metrics;
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&metrics] {
      for (int j = 0; j < 20'000; ++j) {
        metrics.CountRequest(TrafficClass::kCheck);
        metrics.ObserveTokenGap(TrafficClass::kCheck, milliseconds(1));
      }
    });
  }
  for (int i = 0; i < 20; ++i) BOOST_TEST(!metrics.Render().empty());
  for (std::thread& thread : threads) thread.join();
  std::string text = metrics.Render();
  BOOST_TEST(HasLine(text, R"(ebonylift_requests_total{class="check"} 80000)"));
  BOOST_TEST(HasLine(text, R"(ebonylift_token_gap_seconds_count{class="check"} 80000)"));
}

// Guards against series of workspaces that are never removed.
BOOST_AUTO_TEST_CASE(LimitsOfIdleWorkspacesAreRemoved) {
  Metrics metrics;
  metrics.SetLimits({{WorkspaceId("a"), 5, 2, 70.5, seconds(1)}, {WorkspaceId("b"), 1, 0, 0}});
  BOOST_TEST(HasLine(metrics.Render(), R"(ebonylift_limit_rate{workspace="a"} 70.5)"));
  BOOST_TEST(HasLine(metrics.Render(), R"(ebonylift_limit_lease_age_seconds{workspace="b"} -1)"));
  metrics.SetLimits({{WorkspaceId("b"), 3, 1, 0}});
  BOOST_TEST(HasLine(metrics.Render(), R"(ebonylift_limit_refused_requests{workspace="b"} 1)"));
  BOOST_TEST(metrics.Render().find(R"(workspace="a")") == std::string::npos);
}

}  // namespace ebonylift
