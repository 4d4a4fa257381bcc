#include "daemon/config_view_publisher.h"

#include <algorithm>

#include "base/event.h"
#include "core/config_view.h"

namespace ebonylift {
namespace {

constexpr Duration kMaxViewDelay = seconds(1);
// The pause after a view, as a multiple of the time that it took to build.
constexpr int kPausePerBuildTime = 9;

}  // namespace

void ConfigViewPublisher::AddChanges(bool whole_tree, const std::vector<std::string>& changed) {
  if (!changed_at_) changed_at_ = clock_->Read();
  rebuild_ = rebuild_ || whole_tree;
  if (!rebuild_) changed_paths_.insert(changed_paths_.end(), changed.begin(), changed.end());
}

void ConfigViewPublisher::PublishIfDue(const ConfigTree& tree) {
  if (clock_->now() >= next_view_at_) Publish(tree);
}

void ConfigViewPublisher::Publish(const ConfigTree& tree) {
  Time started = clock_->Read();
  ConfigView next =
      rebuild_ ? BuildConfigView(tree) : UpdateConfigView(*view_, tree, changed_paths_);
  view_ = std::make_shared<const ConfigView>(std::move(next));
  rebuild_ = false;
  changed_paths_.clear();
  Time ended = clock_->Read();
  next_view_at_ = ended + std::min<Duration>(kMaxViewDelay, kPausePerBuildTime * (ended - started));
  LogEvent(EventId::kConfigViewPublished,
           {{"revision", std::to_string(view_->revision)},
            {"ms", std::to_string(ToMillis(ended - changed_at_.value_or(started)))},
            {"build_ms", std::to_string(ToMillis(ended - started))}});
  changed_at_.reset();
  if (changed_callback_) callbacks_->Push(changed_callback_);
}

}  // namespace ebonylift
