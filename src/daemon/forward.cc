#include "daemon/forward.h"

#include <cstdlib>
#include <sstream>
#include <vector>

#include "base/error.h"
#include "base/hash.h"

namespace ebonylift {
namespace {

constexpr size_t kFieldCount = 13;  // including the version "v1", excluding the MAC

std::string ComputeMac(const std::string& fields, const ForwardBinding& binding,
                       const std::string& cluster_key) {
  return HmacHex(cluster_key, fields + "\n" + binding.method + "\n" + binding.path + "\n" +
                                  Sha256Hex(binding.idempotency_key) + "\n" + binding.body_sha256);
}

std::vector<std::string> SplitFields(const std::string& value) {
  std::vector<std::string> fields;
  std::istringstream in(value);
  std::string field;
  while (std::getline(in, field, ';')) fields.push_back(field);
  return fields;
}

}  // namespace

std::string EncodeForward(const ForwardMark& mark, const ForwardBinding& binding,
                          const std::string& cluster_key) {
  std::ostringstream out;
  out << "v1;" << mark.from << ';' << mark.request << ';' << mark.hops << ';' << mark.crossed << ';'
      << mark.claimed << ';' << mark.deadline_ms << ';' << mark.team << ';' << mark.route << ';'
      << static_cast<int>(mark.traffic_class) << ';' << mark.idempotent << ';' << mark.revision
      << ';' << mark.time;
  std::string fields = out.str();
  return fields + ';' + ComputeMac(fields, binding, cluster_key);
}

ForwardMark DecodeForward(const std::string& value, const ForwardBinding& binding,
                          const std::string& cluster_key, WallMillis now) {
  size_t last = value.rfind(';');
  std::vector<std::string> fields = SplitFields(value);
  if (last == std::string::npos || fields.size() != kFieldCount + 1 || fields[0] != "v1") {
    throw Error(ErrorKind::kForwardRefused, "malformed x-ebonylift-forward header");
  }
  std::string mac = ComputeMac(value.substr(0, last), binding, cluster_key);
  if (!ConstantTimeEqual(mac, fields[kFieldCount])) {
    throw Error(ErrorKind::kForwardRefused, "invalid MAC in x-ebonylift-forward header");
  }
  ForwardMark mark;
  mark.from = HostId(fields[1]);
  mark.request = RequestId(fields[2]);
  mark.hops = std::atoi(fields[3].c_str());
  mark.crossed = fields[4] == "1";
  mark.claimed = fields[5] == "1";
  mark.deadline_ms = std::atoll(fields[6].c_str());
  mark.team = TeamId(fields[7]);
  mark.route = RouteId(fields[8]);
  mark.traffic_class = static_cast<TrafficClass>(std::atoi(fields[9].c_str()));
  mark.idempotent = fields[10] == "1";
  mark.revision = std::strtoull(fields[11].c_str(), nullptr, 10);
  mark.time = std::atoll(fields[12].c_str());
  if (std::llabs(now - mark.time) > kMaxForwardAgeMs) {
    throw Error(ErrorKind::kForwardRefused,
                "timestamp of x-ebonylift-forward header is more than 30 s off");
  }
  if (mark.hops > kMaxHops) {
    throw Error(ErrorKind::kHopLimit, "request exceeds the limit of 2 forwards between hosts");
  }
  return mark;
}

}  // namespace ebonylift
