#ifndef EBONYLIFT_CLI_LOAD_TRACE_H_
#define EBONYLIFT_CLI_LOAD_TRACE_H_

// The requests of a load run: read from a trace file or generated from a seed.
//
// A trace has one JSON object on each line. `at_ms` is needed; the others have defaults:
//   {"at_ms":0,"region":"este","path":"/v1/chat/completions","model":"summary",
//    "class":"interactive","headers":{"name":"value"},"prompt_tokens":64,"prefix_group":"trail-7",
//    "output_tokens":16,"stream":true}

#include <cstdint>
#include <istream>
#include <string>
#include <utility>
#include <vector>

namespace ebonylift {

struct LoadItem {
  int64_t at_ms = 0;   // intended send time from the start of the run
  std::string region;  // of the caller; empty: any entry host
  std::string path = "/v1/chat/completions";
  std::string model;          // empty: the model of the command line
  std::string traffic_class;  // empty: none is sent
  std::vector<std::pair<std::string, std::string>> headers;
  int prompt_tokens = 64;
  std::string prefix_group;  // prompts of one group share their first half
  int output_tokens = 16;
  bool stream = false;
};

// Sorted by `at_ms`. Throws Error(kBadRequest) with the number of a line that is malformed.
std::vector<LoadItem> ReadTrace(std::istream& in);

struct GeneratedLoad {
  double requests_per_s = 50;
  int64_t duration_ms = 10'000;
  uint64_t seed = 1;
  int prompt_tokens = 64;
  int output_tokens = 16;
  int stream_percent = 50;
  int prefix_groups = 20;
  std::vector<std::string> regions;  // callers are spread over these
};

// Poisson arrivals; the same settings give the same requests on every machine.
std::vector<LoadItem> GenerateTrace(const GeneratedLoad& load);

// The request body of an item. Four bytes of prompt are one token; `index` makes it unique.
std::string LoadBody(const LoadItem& item, size_t index, const std::string& default_model);

}  // namespace ebonylift

#endif  // EBONYLIFT_CLI_LOAD_TRACE_H_
