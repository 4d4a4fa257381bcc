#include "daemon/condemned_store.h"

#include <algorithm>
#include <string_view>

#include "base/error.h"
#include "base/event.h"
#include "core/codec.h"

namespace ebonylift {

std::vector<KnownSuspect> CondemnedStore::Load(WallMillis now) {
  std::vector<KnownSuspect> contents;
  if (journal_ == nullptr) return contents;
  try {
    journal_->Replay([this](std::string_view record, bool /*is_snapshot*/) {
      last_losses_.clear();
      ByteReader in(record);
      for (uint32_t left = in.U32(); left > 0; --left) {
        uint64_t content = in.U64();
        last_losses_[content] = in.I64();
      }
    });
  } catch (const Error& error) {
    LogEvent(EventId::kCondemnedNotKept, {{"reason", error.what()}});
    last_losses_.clear();
    journal_ = nullptr;
  }
  RemoveExpired(now);
  for (const auto& [content, last_loss] : last_losses_) {
    contents.push_back({content, kLossesToCondemn, milliseconds(now - last_loss)});
  }
  return contents;
}

void CondemnedStore::Add(const KnownSuspect& condemned, WallMillis now) {
  if (journal_ == nullptr) return;
  std::lock_guard<std::mutex> lock(mutex_);
  last_losses_[condemned.content] = now - ToMillis(condemned.age);
  RemoveExpired(now);
  journal_->Compact(Encode(), [](bool) {});
}

void CondemnedStore::Remove(uint64_t content, WallMillis now) {
  if (journal_ == nullptr) return;
  std::lock_guard<std::mutex> lock(mutex_);
  if (last_losses_.erase(content) == 0) return;
  RemoveExpired(now);
  journal_->Compact(Encode(), [](bool) {});
}

// Also removes the oldest entries beyond kMaxSuspects.
void CondemnedStore::RemoveExpired(WallMillis now) {
  for (auto it = last_losses_.begin(); it != last_losses_.end();) {
    bool expired = now - it->second >= ToMillis(kSuspectTtl);
    it = expired ? last_losses_.erase(it) : std::next(it);
  }
  while (last_losses_.size() > kMaxSuspects) {
    last_losses_.erase(
        std::min_element(last_losses_.begin(), last_losses_.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

std::string CondemnedStore::Encode() const {
  ByteWriter out;
  out.U32(static_cast<uint32_t>(last_losses_.size()));
  for (const auto& [content, last_loss] : last_losses_) {
    out.U64(content);
    out.I64(last_loss);
  }
  return out.Take();
}

}  // namespace ebonylift
