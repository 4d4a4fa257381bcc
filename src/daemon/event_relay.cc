#include "daemon/event_relay.h"

namespace ebonylift {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

}  // namespace

std::string EventRelay::Feed(std::string_view data) {
  // The two bytes that end an event may arrive in separate calls.
  size_t search_from = partial_.empty() ? 0 : partial_.size() - 1;
  partial_.append(data);
  size_t last_end = partial_.rfind(kEventEnd);
  if (last_end == std::string::npos || last_end < search_from) {
    too_large_ = too_large_ || partial_.size() > kMaxEventBytes;
    return "";
  }
  std::string events = partial_.substr(0, last_end + kEventEnd.size());
  partial_.erase(0, events.size());
  UpdateLastEventId(events);
  return events;
}

// Updates last_event_id() from the last event in `events` that has an id.
void EventRelay::UpdateLastEventId(std::string_view events) {
  size_t found = events.rfind(kIdField);
  while (found != std::string_view::npos) {
    if (found == 0 || events[found - 1] == '\n') break;
    found = events.rfind(kIdField, found - 1);
  }
  if (found == std::string_view::npos) return;
  std::string_view value = events.substr(found + kIdField.size());
  value = value.substr(0, value.find('\n'));
  if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  if (!value.empty() && value.back() == '\r') value.remove_suffix(1);
  last_event_id_ = std::string(value);
}

}  // namespace ebonylift
