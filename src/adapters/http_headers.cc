#include "adapters/http_headers.h"

#include <strings.h>

namespace ebonylift {

bool EqualsIgnoreCase(const std::string& a, const char* b) { return strcasecmp(a.c_str(), b) == 0; }

bool IsFramingHeader(const std::string& name) {
  return EqualsIgnoreCase(name, "content-length") || EqualsIgnoreCase(name, "transfer-encoding") ||
         EqualsIgnoreCase(name, "connection");
}

}  // namespace ebonylift
