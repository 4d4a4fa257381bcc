#include "daemon/config_replica.h"

namespace ebonylift {

struct ConfigReplica::Impl {
  Options options;
  std::shared_ptr<const ConfigView> view = std::make_shared<ConfigView>();
  std::function<void()> applied;
};

ConfigReplica::ConfigReplica(Options options) : impl_(std::make_unique<Impl>()) {
  impl_->options = std::move(options);
}
ConfigReplica::~ConfigReplica() = default;
void ConfigReplica::Start(Time /*now*/) {}
void ConfigReplica::OnMessage(const HostId& /*from*/, std::string_view /*bytes*/) {}
void ConfigReplica::Tick(Time /*now*/) {}

std::optional<HostId> ConfigReplica::Put(const ConfigPut& /*put*/, PutDone done) {
  PutAnswer answer;
  answer.error = ErrorKind::kNoQuorum;
  done(answer);
  return std::nullopt;
}

std::optional<HostId> ConfigReplica::ReadCurrent(const std::string& /*path*/, ReadDone done) {
  done(Error(ErrorKind::kNoQuorum, "no leader"), ConfigRead());
  return std::nullopt;
}

ConfigRead ConfigReplica::Read(const std::string& /*path*/) const { return {}; }
std::vector<ConfigChange> ConfigReplica::History(const std::string& /*path*/,
                                                 size_t /*limit*/) const {
  return {};
}
void ConfigReplica::Watch(uint64_t /*from*/, Time /*deadline*/, WatchDone done) { done({}); }
std::optional<HostId> ConfigReplica::Leader() const { return std::nullopt; }
bool ConfigReplica::IsLeader() const { return false; }
uint64_t ConfigReplica::term() const { return 0; }
std::vector<HostId> ConfigReplica::Voters() const { return impl_->options.voters; }
bool ConfigReplica::IsVoter() const { return false; }
std::optional<HostId> ConfigReplica::AddVoter(const HostId& /*host*/, PutDone done) {
  return Put(ConfigPut(), std::move(done));
}
std::optional<HostId> ConfigReplica::RemoveVoter(const HostId& /*host*/, PutDone done) {
  return Put(ConfigPut(), std::move(done));
}
uint64_t ConfigReplica::revision() const { return 0; }
bool ConfigReplica::NeedsPull() const { return !IsVoter(); }
std::string ConfigReplica::Since(uint64_t /*revision*/, uint64_t /*offset*/) { return {}; }
uint64_t ConfigReplica::pull_offset() const { return 0; }
bool ConfigReplica::ApplySince(std::string_view /*bytes*/, const HostId& /*from*/) { return false; }
std::shared_ptr<const ConfigView> ConfigReplica::View() const { return impl_->view; }
void ConfigReplica::OnApplied(std::function<void()> fn) { impl_->applied = std::move(fn); }
bool ConfigReplica::DiskLost() const { return false; }
bool ConfigReplica::StorageOk() const { return true; }

}  // namespace ebonylift
