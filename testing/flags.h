#ifndef EBONYLIFT_TESTING_FLAGS_H_
#define EBONYLIFT_TESTING_FLAGS_H_

// Flags that the stand-ins share. `ebonylift-standin <subcommand> --help` lists all of them.

#include <gflags/gflags.h>

#include <string>
#include <vector>

DECLARE_string(id);
DECLARE_uint64(incarnation);
DECLARE_string(domain);
DECLARE_string(region);
DECLARE_string(listen);
DECLARE_string(control);
DECLARE_string(advertise);
DECLARE_string(entry_hosts);
DECLARE_string(platform_token);
DECLARE_uint64(announce_ms);
DECLARE_uint64(ttl_ms);
DECLARE_uint64(load_lag_ms);
DECLARE_string(record_file);

namespace ebonylift::standin {

// Splits `text` at each separator. Empty parts are dropped.
std::vector<std::string> Split(const std::string& text, char separator);

// Returns --incarnation. When that is 0, returns the wall clock at start in milliseconds, which
// increases with each restart.
uint64_t IncarnationFromFlags();

// Returns --advertise, or --listen when --advertise is empty.
std::string AdvertisedAddress();

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_FLAGS_H_
