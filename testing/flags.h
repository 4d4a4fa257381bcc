#ifndef EBONYLIFT_TESTING_FLAGS_H_
#define EBONYLIFT_TESTING_FLAGS_H_

// Flags that several stand-ins share. `ebonylift-standin <subcommand> --help` lists all of them.

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

// The parts between separators; empty parts are dropped.
std::vector<std::string> Split(const std::string& text, char separator);

// --incarnation, or the wall clock in milliseconds when it is 0, which grows with each restart.
uint64_t OwnIncarnation();

// --advertise, or --listen when it is empty.
std::string AdvertisedAddress();

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_FLAGS_H_
