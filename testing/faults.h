#ifndef EBONYLIFT_TESTING_FAULTS_H_
#define EBONYLIFT_TESTING_FAULTS_H_

// Fault switches of a stand-in, set by POST /standin/fault. Fields that a request leaves out keep
// their value; {"clear":true} ends all faults.

#include <string>

namespace ebonylift::standin {

struct Faults {
  bool refuse = false;        // connections are refused
  bool reset_before = false;  // accepted connections are reset before a byte is read
  bool reset_after = false;   // the connection ends after the request was read; nothing runs
  bool lose_answer = false;   // the work runs, then the connection ends without an answer
  bool stall = false;         // requests are read and run, but nothing is answered until cleared
  int error_status = 0;       // answer each request with this status; nothing runs
  double slow = 1.0;          // factor of all service times
  int break_after = -1;       // end the connection of a stream after this many chunks
  int times = -1;       // reset_after, lose_answer, error_status and break_after apply to this
                        // many more requests; -1: to all
  bool silent = false;  // no announcements
};

// Throws Error(kBadRequest) for an unknown field or a wrong type.
Faults ApplyFaults(Faults faults, const std::string& body);

std::string FaultsToJson(const Faults& faults);

// True when the counted faults apply to one more request; counts it.
bool TakeCountedFault(Faults& faults);

}  // namespace ebonylift::standin

#endif  // EBONYLIFT_TESTING_FAULTS_H_
