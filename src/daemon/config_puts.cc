#include "daemon/config_puts.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "base/event.h"
#include "core/config_schema.h"

namespace ebonylift {
namespace {

constexpr Duration kPutTimeout = seconds(10);

using Json = nlohmann::json;

// Serializes the value canonically, so that a retry that differs only in white space counts as the
// same change. Returns the parsed value; discarded: there is none, or it is malformed.
Json NormaliseValue(ConfigPut* put) {
  if (!put->value) return Json(Json::value_t::discarded);
  const std::string& text = put->value->text();
  Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) return json;
  std::string normalised = json.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (normalised != text) put->value = std::move(normalised);
  return json;
}

// Large values are parsed only once, as that takes tens of milliseconds.
std::vector<SchemaIssue> ValidatePut(const ConfigPut& put, const Json& value) {
  if (!put.value) return ValidatePath(put.path);
  if (value.is_discarded()) return Validate(put.path, put.value->text());
  return ValidateParsed(put.path, value, put.value->size());
}

}  // namespace

ConfigPuts::ConfigPuts(const ConfigTree* committed, ReplicaClock* clock,
                       std::function<WallMillis()> wall, CallbackQueue* callbacks)
    : committed_(committed),
      clock_(clock),
      wall_(std::move(wall)),
      callbacks_(callbacks),
      changes_(committed) {}

std::optional<Ready> ConfigPuts::Propose(Consensus* leader, const ConfigPut& put,
                                         PutAnswerDone done) {
  return Propose(leader, Pending{put, std::move(done), clock_->now() + kPutTimeout});
}

bool ConfigPuts::MustWait(const ConfigPut& put) const {
  return !queued_.empty() || DependsOnProposed(put);
}

bool ConfigPuts::HasProposable() const {
  return !queued_.empty() && !DependsOnProposed(queued_.front().put);
}

bool ConfigPuts::DependsOnProposed(const ConfigPut& put) const {
  return !proposed_.empty() && changes_.DependsOnResult(put);
}

void ConfigPuts::Enqueue(const ConfigPut& put, PutAnswerDone done) {
  queued_.push_back(Pending{put, std::move(done), clock_->now() + kPutTimeout});
}

std::optional<Ready> ConfigPuts::ProposeQueued(Consensus* leader) {
  Pending pending = std::move(queued_.front());
  queued_.pop_front();
  return Propose(leader, std::move(pending));
}

std::optional<PutResult> ConfigPuts::FindConflict(const Consensus& leader,
                                                  const ConfigPut& put) const {
  // A retry gets the result of the first try, which may not have been a conflict.
  if (HasRecordedResult(*committed_, put) || !ValidatePath(put.path).empty()) return std::nullopt;
  if (changes_.WillChangeTree(put) || !LeaseValid(leader, clock_->Update())) return std::nullopt;
  return ebonylift::FindConflict(*committed_, put);
}

std::optional<Ready> ConfigPuts::Propose(Consensus* leader, Pending pending) {
  if (std::optional<PutResult> conflict = FindConflict(*leader, pending.put)) {
    QueueAnswer(callbacks_, std::move(pending.done), MakePutAnswer(pending.put, *conflict));
    return std::nullopt;
  }
  Json value = NormaliseValue(&pending.put);
  const ConfigPut& put = pending.put;
  if (std::optional<PutResult> first = FindRecordedResult(*committed_, put)) {
    QueueAnswer(callbacks_, pending.done, MakePutAnswer(put, *first));
    return std::nullopt;
  }
  std::vector<SchemaIssue> issues = ValidatePut(put, value);
  bool changes_tree = issues.empty() && changes_.WillChangeTree(put);
  if (changes_tree) issues = changes_.ValidateInTree(put);
  if (!issues.empty()) {
    Reject(pending, ErrorKind::kConfigInvalid, DescribeIssues(put.path, issues));
    return std::nullopt;
  }
  if (proposed_.empty()) changes_.Clear();
  std::optional<Proposal> proposal = ProposeEntry(leader, put);
  changes_.Add(put, changes_tree);
  proposed_[proposal->index] = std::move(pending);
  return std::move(proposal->ready);
}

// A large value is logged as its difference from the one that the path has when the entry is
// applied. That one is known, because only this leader adds entries before it.
std::optional<Proposal> ConfigPuts::ProposeEntry(Consensus* leader, const ConfigPut& put) {
  if (!put.value || put.value->size() < kMinDifferenceBytes) {
    return ebonylift::Propose(leader, EntryKind::kPut, EncodePut(put, wall_()), clock_->now());
  }
  std::string data = EncodePutDifference(put, changes_.ValueAt(put.path), wall_());
  return ebonylift::Propose(leader, EntryKind::kPutDifference, std::move(data), clock_->now());
}

void ConfigPuts::Reject(const Pending& pending, ErrorKind kind, const std::string& message) {
  LogEvent(EventId::kConfigRefused, {{"path", pending.put.path}, {"kind", LookupError(kind).code}});
  QueueAnswer(callbacks_, pending.done, MakePutError(kind, message));
}

void ConfigPuts::OnApplied(uint64_t index, const ConfigPut& put, const PutResult& result) {
  auto pending = proposed_.find(index);
  if (pending == proposed_.end()) return;
  if (pending->second.done) {
    QueueAnswer(callbacks_, std::move(pending->second.done), MakePutAnswer(put, result));
  }
  proposed_.erase(pending);
  changes_.OnApplied(put);
}

void ConfigPuts::FailProposed(ErrorKind kind, const std::string& message) {
  auto failed = std::move(proposed_);
  proposed_.clear();
  changes_.Clear();
  for (auto& [index, pending] : failed) {
    if (pending.done) QueueAnswer(callbacks_, std::move(pending.done), MakePutError(kind, message));
  }
}

void ConfigPuts::AnswerOverdue(bool is_leader) {
  RejectQueued(is_leader);
  // The entry of a timed-out put stays in `proposed_`: it may still be committed, and later puts
  // were validated on top of it.
  for (auto& [index, pending] : proposed_) {
    if (!pending.done || clock_->now() < pending.deadline) continue;
    QueueAnswer(
        callbacks_, std::move(pending.done),
        MakePutError(ErrorKind::kConfigUnknown, "no majority of the voters answered in time"));
    pending.done = nullptr;
  }
}

void ConfigPuts::RejectQueued(bool is_leader) {
  while (!queued_.empty() && (!is_leader || clock_->now() >= queued_.front().deadline)) {
    Pending pending = std::move(queued_.front());
    queued_.pop_front();
    Reject(pending, ErrorKind::kNoQuorum, "the voters have no leader");
  }
}

}  // namespace ebonylift
