#ifndef EBONYLIFT_DAEMON_PUT_ANSWERS_H_
#define EBONYLIFT_DAEMON_PUT_ANSWERS_H_

// Answers to proposed changes of the configuration and of the voters.

#include <functional>
#include <string>

#include "base/error.h"
#include "core/config_tree.h"
#include "daemon/callback_queue.h"
#include "ports/control_port.h"

namespace ebonylift {

// Receives the answer of a change, exactly once.
using PutAnswerDone = std::function<void(PutAnswer)>;

PutAnswer MakePutError(ErrorKind kind, const std::string& message);

// The answer to `put`, which was applied with `result`.
PutAnswer MakePutAnswer(const ConfigPut& put, const PutResult& result);

// The answer of a host that knows no host to forward a change to.
PutAnswer MakeNoQuorumAnswer();

// Adds the call of `done` to `callbacks`.
void QueueAnswer(CallbackQueue* callbacks, PutAnswerDone done, PutAnswer answer);

}  // namespace ebonylift

#endif  // EBONYLIFT_DAEMON_PUT_ANSWERS_H_
