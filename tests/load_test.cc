#define BOOST_TEST_MODULE load
#include <boost/test/included/unit_test.hpp>
#include <sstream>

#include "base/error.h"
#include "cli/load_report.h"
#include "cli/load_trace.h"

namespace ebonylift {

// Guards against a run that cannot be repeated and against a rate that is not the one asked for.
BOOST_AUTO_TEST_CASE(GeneratedRequestsFollowTheSeed) {
  GeneratedLoad load;
  load.requests_per_s = 100;
  load.regions = {"este", "norte"};
  std::vector<LoadItem> first = GenerateTrace(load);
  std::vector<LoadItem> second = GenerateTrace(load);
  BOOST_TEST(first.size() > 900u);
  BOOST_TEST(first.size() < 1100u);
  BOOST_TEST(first.size() == second.size());
  for (size_t i = 0; i < first.size(); ++i) {
    BOOST_TEST(LoadBody(first[i], i, "m") == LoadBody(second[i], i, "m"));
  }
  load.seed = 2;
  BOOST_TEST(GenerateTrace(load)[0].at_ms != first[0].at_ms);
}

// Guards against a trace whose order or defaults are lost, and a bad line that is skipped.
BOOST_AUTO_TEST_CASE(TraceIsSortedAndChecked) {
  std::istringstream trace(
      "{\"at_ms\":20,\"headers\":{\"idempotency-key\":\"k\"},\"stream\":true}\n\n"
      "{\"at_ms\":10,\"region\":\"este\",\"class\":\"check\"}\n");
  std::vector<LoadItem> items = ReadTrace(trace);
  BOOST_TEST(items.size() == 2u);
  BOOST_TEST(items[0].traffic_class == "check");
  BOOST_TEST(items[0].path == "/v1/chat/completions");
  BOOST_TEST(items[1].headers[0].second == "k");
  std::istringstream bad("{\"at_ms\":1}\n{\"region\":\"este\"}\n");
  BOOST_CHECK_EXCEPTION(ReadTrace(bad), Error, [](const Error& error) {
    return std::string(error.what()).find("line 2") != std::string::npos;
  });
}

// Guards against prompts of one prefix group that a prefix cache could not match.
BOOST_AUTO_TEST_CASE(PromptsOfOneGroupShareTheirFirstHalf) {
  LoadItem item;
  item.prefix_group = "trail-7";
  item.prompt_tokens = 100;
  std::string a = LoadBody(item, 1, "m");
  std::string b = LoadBody(item, 2, "m");
  size_t at = a.find("trail-7");
  BOOST_TEST(a.substr(at, 200) == b.substr(b.find("trail-7"), 200));
  BOOST_TEST(a != b);
}

// Compares with the exact percentile of the sorted samples.
BOOST_AUTO_TEST_CASE(PercentilesAreWithinTwoPercent) {
  LatencyHistogram histogram;
  BOOST_TEST(histogram.Percentile(0.5).count() == 0);
  for (int i = 1; i <= 10'000; ++i) histogram.Add(Duration(i * 7));
  for (double share : {0.01, 0.5, 0.95, 0.99, 1.0}) {
    double exact = share * 70'000;
    BOOST_TEST(static_cast<double>(histogram.Percentile(share).count()) >= exact * 0.979);
    BOOST_TEST(static_cast<double>(histogram.Percentile(share).count()) <= exact * 1.021);
  }
  BOOST_TEST(histogram.Max().count() == 70'000);
}

// Guards against a plot that is not a closed document when there is nothing to draw.
BOOST_AUTO_TEST_CASE(ReportsOfAnEmptyRun) {
  LoadReport report;
  BOOST_TEST(ReportSvg(report).find("</svg>") != std::string::npos);
  BOOST_TEST(ReportJson(report).find("\"requests\":0") != std::string::npos);
  BOOST_TEST(ReportTable(report).find("answered   0") != std::string::npos);
}

}  // namespace ebonylift
