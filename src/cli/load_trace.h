#ifndef EBONYLIFT_CLI_LOAD_TRACE_H_
#define EBONYLIFT_CLI_LOAD_TRACE_H_

// The requests of a load run, read from a trace file or generated from a random seed.
//
// A trace file has one JSON object per line. `at_ms` is required; the other fields are optional:
//   {"at_ms":0,"region":"este","path":"/v1/chat/completions","model":"summary",
//    "class":"interactive","headers":{"name":"value"},"prompt_tokens":64,"prefix_group":"trail-7",
//    "output_tokens":16,"stream":true}

#include <cstdint>
#include <istream>
#include <string>
#include <utility>
#include <vector>

namespace ebonylift {

struct LoadRequest {
  int64_t at_ms = 0;   // intended send time, relative to the start of the run
  std::string region;  // region of the caller; empty: any entry host
  std::string path = "/v1/chat/completions";
  std::string model;          // empty: the model set by --model
  std::string traffic_class;  // empty: the header is not sent
  std::vector<std::pair<std::string, std::string>> headers;
  int prompt_tokens = 64;
  std::string prefix_group;  // prompts of the same group have the same first half
  int output_tokens = 16;
  bool stream = false;
};

// Reads a trace and returns its requests sorted by `at_ms`. Throws Error(kBadRequest) with the line
// number if a line is malformed.
std::vector<LoadRequest> ReadTrace(std::istream& in);

// Parameters of generated requests.
struct GeneratedLoadOptions {
  double requests_per_s = 50;
  int64_t duration_ms = 10'000;
  uint64_t seed = 1;
  int prompt_tokens = 64;
  int output_tokens = 16;
  int stream_percent = 50;
  int prefix_groups = 20;
  std::vector<std::string> regions;  // regions of the callers, chosen at random for each request
};

// Generates requests with Poisson arrivals. The same parameters give the same requests on every
// machine.
std::vector<LoadRequest> GenerateTrace(const GeneratedLoadOptions& load);

// Returns the JSON body of a request. The prompt has four bytes per token, and `index` makes the
// body unique.
std::string RequestBody(const LoadRequest& request, size_t index, const std::string& default_model);

}  // namespace ebonylift

#endif  // EBONYLIFT_CLI_LOAD_TRACE_H_
