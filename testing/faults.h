#ifndef EBONYLIFT_TESTING_FAULTS_H_
#define EBONYLIFT_TESTING_FAULTS_H_

// The faults that a stand-in injects, set by POST /standin/fault. Fields that a request omits keep
// their value; {"clear":true} turns all faults off.

#include <string>

namespace ebonylift::standin {

struct Faults {
  bool refuse = false;        // connections are refused
  bool reset_before = false;  // accepted connections are reset before a byte is read
  bool reset_after = false;   // the connection closes after the request was read; nothing runs
  bool lose_answer = false;   // the request runs, then the connection closes without a response
  bool stall = false;         // requests are read and run, but no response is sent until cleared
  int error_status = 0;       // every response has this status; nothing runs; 0: off
  double slow = 1.0;          // multiplies all service times
  int break_after = -1;       // the connection of a stream closes after this many chunks; -1: off
  int times = -1;  // number of further requests to which reset_after, lose_answer, error_status
                   // and break_after apply; -1: all
  bool silent = false;  // no announcements are sent
};

// Throws Error(kBadRequest) for an unknown field or a wrong type.
Faults ApplyFaults(Faults faults, const std::string& body);

std::string FaultsToJson(const Faults& faults);

// Returns whether the faults that `times` limits apply to this request, and decrements `times` if
// it is positive.
bool ConsumeCountedFault(Faults& faults);

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_FAULTS_H_
