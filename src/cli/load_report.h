#ifndef EBONYLIFT_CLI_LOAD_REPORT_H_
#define EBONYLIFT_CLI_LOAD_REPORT_H_

// Results of a load run, and their output as table, JSON and SVG plot.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace ebonylift {

// Histogram of durations. Each bucket is 2% wider than the previous one, so that memory does not
// grow with the number of samples and percentiles are accurate to 2%.
class LatencyHistogram {
 public:
  void Add(Duration value);

  // Returns the quantile of `share` (0 to 1): the duration that this fraction of the samples does
  // not exceed. Returns 0 if there are no samples.
  Duration Percentile(double share) const;
  Duration Max() const { return max_; }
  uint64_t count() const { return count_; }

 private:
  std::vector<uint64_t> buckets_;
  uint64_t count_ = 0;
  Duration max_{0};
};

struct LoadReport {
  uint64_t requests = 0;
  uint64_t answered = 0;   // complete responses with status 2xx
  uint64_t broken = 0;     // connection failed, timed out, or stream ended without [DONE]
  uint64_t not_sent = 0;   // skipped because --max_open requests were open
  uint64_t failovers = 0;  // sends to another entry host after one could not be reached
  std::map<std::string, uint64_t> broken_by;  // `broken` by reason
  std::map<std::string, uint64_t> refused;    // error responses by "code/run"
  std::map<std::string, uint64_t> regions;    // `answered` by "caller region>serving region"
  LatencyHistogram first_token;               // from the intended send time
  LatencyHistogram total;                     // from the intended send time
  LatencyHistogram token_gap;                 // gaps between tokens of a stream
  LatencyHistogram send_delay;  // actual minus intended send time: delay caused by this tool
  Duration elapsed{0};
};

std::string ReportTable(const LoadReport& report);
std::string ReportJson(const LoadReport& report);

// Returns a standalone SVG document that plots latency against percentile, both axes logarithmic.
std::string ReportSvg(const LoadReport& report);

}  // namespace ebonylift

#endif  // EBONYLIFT_CLI_LOAD_REPORT_H_
