#include "daemon/durable_outbox.h"

#include <utility>

namespace ebonylift {

uint64_t DurableOutbox::Add(Item item) {
  uint64_t write_id = item.needs_write ? next_id_++ : 0;
  entries_.push_back({std::move(item), write_id, /*durable=*/false});
  return write_id;
}

void DurableOutbox::OnWritten(uint64_t write_id) {
  for (Entry& entry : entries_) {
    if (entry.write_id == write_id) entry.durable = true;
  }
}

std::optional<DurableOutbox::Item> DurableOutbox::TakeNext() {
  if (entries_.empty()) return std::nullopt;
  Entry& front = entries_.front();
  if (front.item.needs_write && !front.durable) return std::nullopt;
  Item item = std::move(front.item);
  entries_.pop_front();
  return item;
}

void DurableOutbox::Clear() {
  entries_.clear();
  first_expected_id_ = next_id_;
}

}  // namespace ebonylift
