#include "daemon/config_changes.h"

#include <memory>
#include <utility>

#include "base/event.h"
#include "base/hash.h"
#include "core/config_tree.h"
#include "core/ingress.h"

namespace ebonylift {
namespace {

// A conflict means that another change was accepted in the meantime, so a retry usually succeeds.
constexpr int kMaxPutAttempts = 16;

struct PendingChange {
  ControlPort* control = nullptr;
  std::string path;
  SharedText value;
  // The value is a document that names its version, so it differs from all earlier ones.
  bool value_names_version = false;
  // Returns whether the stored value makes the change unnecessary. `committed` is true for a value
  // that the leader returned, and false for one of the local replica, which may be outdated.
  std::function<bool(const std::string& stored, bool committed)> satisfied;
  ChangeDone done;
  int attempts = 0;
};

void TryChange(const std::shared_ptr<PendingChange>& change, uint64_t base_revision,
               const std::string& stored, bool committed);

void OnPutAnswer(const std::shared_ptr<PendingChange>& change, const PutAnswer& answer) {
  if (!answer.error) return change->done(std::nullopt);
  bool conflict = *answer.error == ErrorKind::kConfigConflict;
  const SharedText stored = answer.current_value.value_or(SharedText());
  if (conflict && change->value_names_version && change->attempts < kMaxPutAttempts) {
    return TryChange(change, answer.revision, stored.text(), true);
  }
  if (conflict && change->satisfied(stored.text(), true)) return change->done(std::nullopt);
  change->done(Error(*answer.error, answer.message));
}

void TryChange(const std::shared_ptr<PendingChange>& change, uint64_t base_revision,
               const std::string& stored, bool committed) {
  if (base_revision != 0 && change->satisfied(stored, committed)) return change->done(std::nullopt);
  ++change->attempts;
  ConfigPut put;
  put.path = change->path;
  put.value = change->value;
  put.base_revision = base_revision;
  // A retry of a document through another host on the same base revision is the same change. The
  // values of other changes recur: with an id derived from them, a change on an outdated base would
  // count as an earlier one and succeed without an effect.
  if (change->value_names_version) {
    put.request_id = change->path + "-" + std::to_string(base_revision) + "-" +
                     std::to_string(Hash64(change->value.text()));
  }
  put.operator_name = "ingress";
  change->control->Put(put, [change](const PutAnswer& answer) { OnPutAnswer(change, answer); });
}

void StartChange(const std::shared_ptr<PendingChange>& change) {
  change->control->Read(change->path, [change](const ConfigRead& read) {
    for (const ConfigEntry& entry : read.entries) {
      if (entry.path == change->path) return TryChange(change, entry.revision, entry.value, false);
    }
    TryChange(change, 0, "", false);
  });
}

}  // namespace

void ReplaceIngress(ControlPort* control, uint64_t version, const SharedText& document,
                    ChangeDone done) {
  auto change = std::make_shared<PendingChange>();
  change->control = control;
  change->path = kIngressPath;
  change->value = document;
  // Versions never decrease, so a local value that is high enough proves that the committed one is.
  change->satisfied = [version](const std::string& stored, bool) {
    return IngressVersion(stored) >= version;
  };
  change->value_names_version = true;
  change->done = std::move(done);
  StartChange(change);
}

void SetEvacuated(ControlPort* control, const DomainId& domain, bool evacuated,
                  const CallerCheck& check, ChangeDone done) {
  auto change = std::make_shared<PendingChange>();
  change->control = control;
  change->path = "/deployment/evacuations/" + domain.value();
  change->value = evacuated ? R"({"evacuated":true})" : R"({"evacuated":false})";
  // Only a committed value counts: the local replica may lag behind an accepted opposite change.
  change->satisfied = [value = change->value](const std::string& stored, bool committed) {
    return committed && stored == value.text();
  };
  change->done = std::move(done);
  check([change](bool waits) {
    if (waits) return StartChange(change);
    LogEvent(EventId::kConfigRefused, {{"path", change->path}, {"kind", "caller_gone"}});
    change->done(Error(ErrorKind::kConfigUnknown, "the caller no longer waits"));
  });
}

}  // namespace ebonylift
