#include "daemon/forward.h"

#include <cstdlib>
#include <sstream>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/hash.h"

namespace ebonylift {
namespace {

constexpr size_t kFieldCount = 13;  // including the version "v1", excluding the MAC
// A name may contain the separator, a digest may not. Names do not stand at an end of the value,
// where HTTP removes spaces.
constexpr std::string_view kNameField = "name=";
constexpr std::string_view kDigestField = ";key=";

std::string ComputeMac(const std::string& fields, const ForwardBinding& binding,
                       const std::string& cluster_key) {
  std::string text = fields + "\n" + binding.method + "\n" + binding.path + "\n" +
                     Sha256Hex(binding.idempotency_key) + "\n" + binding.body_sha256;
  // Left out if empty, as by earlier versions, which refuse a request that has one.
  if (!binding.software_version.empty()) text += "\n" + Sha256Hex(binding.software_version);
  // The prefix keeps this line apart from that of a software version.
  if (!binding.workspace.empty()) text += "\nworkspace " + Sha256Hex(binding.workspace);
  return HmacHex(cluster_key, text);
}

std::vector<std::string> SplitFields(const std::string& value) {
  std::vector<std::string> fields;
  std::istringstream in(value);
  std::string field;
  while (std::getline(in, field, ';')) fields.push_back(field);
  return fields;
}

}  // namespace

std::string FormatWorkspaceHeader(const ForwardedWorkspace& caller) {
  return std::string(kNameField) + caller.workspace.value() + std::string(kDigestField) +
         ToHex(caller.key_digest);
}

std::optional<ForwardedWorkspace> ParseWorkspaceHeader(const std::string& value) {
  if (value.empty()) return std::nullopt;
  size_t separator = value.rfind(kDigestField);
  std::optional<Sha256Digest> digest;
  if (separator != std::string::npos && value.compare(0, kNameField.size(), kNameField) == 0) {
    digest = ParseSha256Hex(std::string_view(value).substr(separator + kDigestField.size()));
  }
  if (!digest || separator <= kNameField.size()) {
    throw Error(ErrorKind::kForwardRefused, "malformed x-ebonylift-workspace header");
  }
  std::string name = value.substr(kNameField.size(), separator - kNameField.size());
  return ForwardedWorkspace{WorkspaceId(name), *digest};
}

std::string EncodeForward(const ForwardHeader& forward_header, const ForwardBinding& binding,
                          const std::string& cluster_key) {
  std::ostringstream out;
  out << "v1;" << forward_header.from << ';' << forward_header.request << ';' << forward_header.hops
      << ';' << forward_header.crossed_region << ';' << forward_header.claimed << ';'
      << forward_header.deadline_ms << ';' << forward_header.team << ';' << forward_header.route
      << ';' << static_cast<int>(forward_header.traffic_class) << ';' << forward_header.idempotent
      << ';' << forward_header.revision << ';' << forward_header.time;
  std::string fields = out.str();
  return fields + ';' + ComputeMac(fields, binding, cluster_key);
}

ForwardHeader DecodeForward(const std::string& value, const ForwardBinding& binding,
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
  ForwardHeader forward_header;
  forward_header.from = HostId(fields[1]);
  forward_header.request = RequestId(fields[2]);
  forward_header.hops = std::atoi(fields[3].c_str());
  forward_header.crossed_region = fields[4] == "1";
  forward_header.claimed = fields[5] == "1";
  forward_header.deadline_ms = std::atoll(fields[6].c_str());
  forward_header.team = TeamId(fields[7]);
  forward_header.route = RouteId(fields[8]);
  forward_header.traffic_class = static_cast<TrafficClass>(std::atoi(fields[9].c_str()));
  forward_header.idempotent = fields[10] == "1";
  forward_header.revision = std::strtoull(fields[11].c_str(), nullptr, 10);
  forward_header.time = std::atoll(fields[12].c_str());
  if (std::llabs(now - forward_header.time) > kMaxForwardAgeMs) {
    throw Error(ErrorKind::kForwardRefused,
                "timestamp of x-ebonylift-forward header is more than 30 s off");
  }
  if (forward_header.hops > kMaxHops) {
    throw Error(ErrorKind::kHopLimit, "request exceeds the limit of 2 forwards between hosts");
  }
  return forward_header;
}

}  // namespace ebonylift
