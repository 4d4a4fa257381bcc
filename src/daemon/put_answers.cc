#include "daemon/put_answers.h"

#include <utility>

namespace ebonylift {

PutAnswer MakePutError(ErrorKind kind, const std::string& message) {
  PutAnswer answer;
  answer.error = kind;
  answer.message = message;
  return answer;
}

PutAnswer MakePutAnswer(const ConfigPut& put, const PutResult& result) {
  PutOutcome outcome =
      result.outcome == PutOutcome::kDuplicate ? result.original_outcome : result.outcome;
  PutAnswer answer;
  answer.revision = result.revision;
  switch (outcome) {
    case PutOutcome::kApplied:
      return answer;
    case PutOutcome::kConflict:
      answer.error = ErrorKind::kConfigConflict;
      answer.message = put.path + " has revision " + std::to_string(result.revision) +
                       ", but the change is based on revision " + std::to_string(put.base_revision);
      answer.current_value = result.current_value;
      return answer;
    case PutOutcome::kIdReused:
      return MakePutError(ErrorKind::kKeyConflict, "request id " + put.request_id +
                                                       " was already used for a different change");
    case PutOutcome::kInvalid:
    case PutOutcome::kDuplicate:
      break;
  }
  return MakePutError(ErrorKind::kConfigInvalid,
                      put.path + ": the path does not exist or the change exceeds a limit");
}

PutAnswer MakeNoQuorumAnswer() {
  return MakePutError(ErrorKind::kNoQuorum, "the voters have no leader");
}

void QueueAnswer(CallbackQueue* callbacks, PutAnswerDone done, PutAnswer answer) {
  callbacks->Push([done = std::move(done), answer = std::move(answer)] { done(answer); });
}

}  // namespace ebonylift
