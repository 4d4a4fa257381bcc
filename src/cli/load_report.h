#ifndef EBONYLIFT_CLI_LOAD_REPORT_H_
#define EBONYLIFT_CLI_LOAD_REPORT_H_

// What a load run measured, and its presentation as table, JSON and SVG plot.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace ebonylift {

// Durations in buckets that grow by 2%, so that memory does not grow with the number of samples
// and a percentile is exact to 2%.
class LatencyHistogram {
 public:
  void Add(Duration value);

  // The duration that `share` (0 to 1) of the samples do not exceed; 0 without samples.
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
  uint64_t answered = 0;   // whole answers with status 2xx
  uint64_t broken = 0;     // connection lost, timed out, or a stream without [DONE]
  uint64_t not_sent = 0;   // over the limit of open requests
  uint64_t failovers = 0;  // sent to the next entry host because one could not be reached
  std::map<std::string, uint64_t> broken_by;  // `broken` by reason
  std::map<std::string, uint64_t> refused;    // by "code/run"
  std::map<std::string, uint64_t> regions;    // answered, by "caller region>serving region"
  LatencyHistogram first_token;               // from the intended send time
  LatencyHistogram total;                     // from the intended send time
  LatencyHistogram between_tokens;            // of streams
  LatencyHistogram late;  // actual minus intended send time: delay of this tool itself
  Duration elapsed{0};
};

std::string ReportTable(const LoadReport& report);
std::string ReportJson(const LoadReport& report);

// Latency over percentile, both axes logarithmic, as a standalone SVG document.
std::string ReportSvg(const LoadReport& report);

}  // namespace ebonylift

#endif  // EBONYLIFT_CLI_LOAD_REPORT_H_
