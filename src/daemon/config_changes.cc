#include "daemon/config_changes.h"

#include <memory>
#include <utility>

#include "base/hash.h"
#include "core/config_tree.h"
#include "core/ingress.h"

namespace ebonylift {
namespace {

// Each conflict means that another change was accepted in between.
constexpr int kMaxTries = 16;

struct Change {
  ControlPort* control = nullptr;
  std::string path;
  std::string value;
  // Whether the stored value makes the change unnecessary. `committed` values come from the leader;
  // others are those of this host and may be older.
  std::function<bool(const std::string& stored, bool committed)> satisfied;
  ChangeDone done;
  int tries = 0;
};

void Try(const std::shared_ptr<Change>& change, uint64_t base, const std::string& stored,
         bool committed);

void OnAnswer(const std::shared_ptr<Change>& change, const PutAnswer& answer) {
  if (!answer.error) return change->done(std::nullopt);
  if (*answer.error == ErrorKind::kConfigConflict && change->tries < kMaxTries) {
    return Try(change, answer.revision, answer.current_value.value_or(""), true);
  }
  change->done(Error(*answer.error, answer.message));
}

void Try(const std::shared_ptr<Change>& change, uint64_t base, const std::string& stored,
         bool committed) {
  if (base != 0 && change->satisfied(stored, committed)) return change->done(std::nullopt);
  ++change->tries;
  ConfigPut put;
  put.path = change->path;
  put.value = change->value;
  put.base_revision = base;
  // A resend to another host has the same id when it has the same base.
  put.request_id =
      change->path + "-" + std::to_string(base) + "-" + std::to_string(Hash64(change->value));
  put.operator_name = "ingress";
  change->control->Put(put, [change](const PutAnswer& answer) { OnAnswer(change, answer); });
}

void Start(const std::shared_ptr<Change>& change) {
  change->control->Read(change->path, [change](const ConfigRead& read) {
    for (const ConfigEntry& entry : read.entries) {
      if (entry.path == change->path) return Try(change, entry.revision, entry.value, false);
    }
    Try(change, 0, "", false);
  });
}

}  // namespace

void ReplaceIngress(ControlPort* control, uint64_t version, const std::string& document,
                    ChangeDone done) {
  auto change = std::make_shared<Change>();
  change->control = control;
  change->path = kIngressPath;
  change->value = document;
  // Versions only grow, so what this host holds is enough to know that the stored one is as high.
  change->satisfied = [version](const std::string& stored, bool) {
    return IngressVersion(stored) >= version;
  };
  change->done = std::move(done);
  Start(change);
}

void SetEvacuated(ControlPort* control, const DomainId& domain, bool evacuated, ChangeDone done) {
  auto change = std::make_shared<Change>();
  change->control = control;
  change->path = "/deployment/evacuations/" + domain.value();
  change->value = evacuated ? R"({"evacuated":true})" : R"({"evacuated":false})";
  // This host may not know yet that the opposite was accepted.
  change->satisfied = [value = change->value](const std::string& stored, bool committed) {
    return committed && stored == value;
  };
  change->done = std::move(done);
  Start(change);
}

}  // namespace ebonylift
