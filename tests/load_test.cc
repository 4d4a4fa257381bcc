#define BOOST_TEST_MODULE load
#include <boost/test/included/unit_test.hpp>
#include <sstream>

#include "base/error.h"
#include "cli/load_report.h"
#include "cli/load_trace.h"

namespace ebonylift {

// The same seed must give the same requests, another seed different ones, and the rate must be
// close to the requested one.
BOOST_AUTO_TEST_CASE(GeneratedRequestsDependOnTheSeed) {
  GeneratedLoadOptions load;
  load.requests_per_s = 100;
  load.regions = {"este", "norte"};
  std::vector<LoadRequest> first = GenerateTrace(load);
  std::vector<LoadRequest> second = GenerateTrace(load);
  BOOST_TEST(first.size() > 900u);
  BOOST_TEST(first.size() < 1100u);
  BOOST_TEST(first.size() == second.size());
  for (size_t i = 0; i < first.size(); ++i) {
    BOOST_TEST(RequestBody(first[i], i, "m") == RequestBody(second[i], i, "m"));
  }
  load.seed = 2;
  BOOST_TEST(GenerateTrace(load)[0].at_ms != first[0].at_ms);
}

// Reading a trace must sort the requests, apply the defaults and report a malformed line instead of
// skipping it.
BOOST_AUTO_TEST_CASE(TraceIsSortedAndValidated) {
  std::istringstream trace(
      "{\"at_ms\":20,\"headers\":{\"idempotency-key\":\"k\"},\"stream\":true}\n\n"
      "{\"at_ms\":10,\"region\":\"este\",\"class\":\"check\"}\n");
  std::vector<LoadRequest> requests = ReadTrace(trace);
  BOOST_TEST(requests.size() == 2u);
  BOOST_TEST(requests[0].traffic_class == "check");
  BOOST_TEST(requests[0].path == "/v1/chat/completions");
  BOOST_TEST(requests[1].headers[0].second == "k");
  std::istringstream bad("{\"at_ms\":1}\n{\"region\":\"este\"}\n");
  BOOST_CHECK_EXCEPTION(ReadTrace(bad), Error, [](const Error& error) {
    return std::string(error.what()).find("line 2") != std::string::npos;
  });
}

// Prompts of the same prefix group must have a common prefix that a prefix cache can match.
BOOST_AUTO_TEST_CASE(PromptsOfOneGroupShareTheirFirstHalf) {
  LoadRequest request;
  request.prefix_group = "trail-7";
  request.prompt_tokens = 100;
  std::string a = RequestBody(request, 1, "m");
  std::string b = RequestBody(request, 2, "m");
  size_t at = a.find("trail-7");
  BOOST_TEST(a.substr(at, 200) == b.substr(b.find("trail-7"), 200));
  BOOST_TEST(a != b);
}

// Compares the percentiles of the histogram with the exact ones, allowing 2% plus rounding.
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

// All report formats must be well-formed for a run without requests.
BOOST_AUTO_TEST_CASE(ReportsOfAnEmptyRun) {
  LoadReport report;
  BOOST_TEST(ReportSvg(report).find("</svg>") != std::string::npos);
  BOOST_TEST(ReportJson(report).find("\"requests\":0") != std::string::npos);
  BOOST_TEST(ReportTable(report).find("answered   0") != std::string::npos);
}

}  // namespace ebonylift
