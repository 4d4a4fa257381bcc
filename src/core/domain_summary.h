#ifndef EBONYLIFT_CORE_DOMAIN_SUMMARY_H_
#define EBONYLIFT_CORE_DOMAIN_SUMMARY_H_

// Summarizes what one failure domain can run. The domain's reporter sends the summary to the other
// failure domains.
//
// The functions are pure and thread-safe.

#include <string>
#include <vector>

#include "ports/views.h"

namespace ebonylift {

// Returns the names of the models and services that the backend server serves.
std::vector<std::string> ServedNames(const Announcement& announcement);

// Returns one row for each model or service of the servers in the failure domain of `self`. A
// server that is cold or names a request limit is included in the number of servers, but its slots
// are not counted: it accepts only a few requests per second, which its own region uses up.
std::vector<DomainSummary> SummarizeDomain(const Identity& self,
                                           const std::vector<BackendServer>& servers, Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_DOMAIN_SUMMARY_H_
