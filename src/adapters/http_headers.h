#ifndef EBONYLIFT_ADAPTERS_HTTP_HEADERS_H_
#define EBONYLIFT_ADAPTERS_HTTP_HEADERS_H_

// Comparisons of HTTP header names that the client and the server share.
//
// Stateless and thread safe.

#include <string>

namespace ebonylift {

// Compares header names, which are case-insensitive.
bool EqualsIgnoreCase(const std::string& a, const char* b);

// Whether a header frames a message or manages its connection. The HTTP client and the HTTP server
// set such headers themselves.
bool IsFramingHeader(const std::string& name);

}  // namespace ebonylift

#endif  // EBONYLIFT_ADAPTERS_HTTP_HEADERS_H_
