#include "testing/flags.h"

#include <sstream>

#include "base/time.h"

DEFINE_string(id, "server-1", "id of this backend server");
DEFINE_uint64(incarnation, 0,
              "incarnation to announce; 0: the wall clock at start, in milliseconds");
DEFINE_string(domain, "", "failure domain");
DEFINE_string(region, "", "region");
DEFINE_string(listen, "127.0.0.1:0", "address to listen on");
DEFINE_string(control, "",
              "additional address for /standin/*, not affected by faults; empty: none");
DEFINE_string(advertise, "", "address to announce to the gateway; empty: the one of --listen");
DEFINE_string(entry_hosts, "", "entry hosts to announce to, comma separated; empty: none");
DEFINE_string(platform_token, "", "bearer token of the announcements");
DEFINE_uint64(announce_ms, 700, "interval between announcements, in milliseconds");
DEFINE_uint64(ttl_ms, 2000, "time to live of the announcements (their ttl_ms), in milliseconds");
DEFINE_uint64(load_lag_ms, 300, "age of the load that an announcement reports, in milliseconds");
DEFINE_string(record_file, "", "file to which the run record is appended; empty: none");

namespace ebonylift::standin {

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, separator);) {
    if (!part.empty()) parts.push_back(part);
  }
  return parts;
}

uint64_t IncarnationFromFlags() {
  static const uint64_t start_time = static_cast<uint64_t>(WallNow());
  return FLAGS_incarnation != 0 ? FLAGS_incarnation : start_time;
}

std::string AdvertisedAddress() { return FLAGS_advertise.empty() ? FLAGS_listen : FLAGS_advertise; }

}  // namespace ebonylift::standin
