#ifndef EBONYLIFT_CORE_DOMAIN_SUMMARY_H_
#define EBONYLIFT_CORE_DOMAIN_SUMMARY_H_

// What one failure domain can run, as its reporter tells the other failure domains.
//
// The functions are pure and thread safe.

#include <string>
#include <vector>

#include "ports/views.h"

namespace ebonylift {

// Names of the models and services that the backend server serves.
std::vector<std::string> ServedNames(const Announcement& announcement);

// One row for each model or service of the servers in the failure domain of `self`. A cold server
// counts as a server, but its slots do not: it takes a few requests a second, which its own region
// uses up.
std::vector<DomainSummary> SummarizeDomain(const Identity& self,
                                           const std::vector<BackendServer>& servers, Time now);

}  // namespace ebonylift

#endif  // EBONYLIFT_CORE_DOMAIN_SUMMARY_H_
