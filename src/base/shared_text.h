#ifndef EBONYLIFT_BASE_SHARED_TEXT_H_
#define EBONYLIFT_BASE_SHARED_TEXT_H_

// An immutable text whose copies share one buffer.
//
// Values of the configuration have up to several megabytes, and one that is being changed is kept
// by each stage that it passes: the operator's call, the queue for the leader, the proposal.
//
// Thread safety: any number of threads may read and copy the same text.

#include <cstddef>
#include <memory>
#include <ostream>
#include <string>
#include <utility>

namespace ebonylift {

class SharedText {
 public:
  SharedText() : SharedText(std::string()) {}
  // Implicit, so that a text can be given where a SharedText is stored.
  SharedText(std::string text)  // NOLINT(google-explicit-constructor)
      : text_(std::make_shared<const std::string>(std::move(text))) {}
  SharedText(const char* text)  // NOLINT(google-explicit-constructor)
      : SharedText(std::string(text)) {}

  // Valid while this object or a copy of it exists and is not assigned to.
  const std::string& text() const { return *text_; }
  size_t size() const { return text_->size(); }

  friend bool operator==(const SharedText& a, const SharedText& b) {
    return a.text_ == b.text_ || *a.text_ == *b.text_;
  }
  friend bool operator!=(const SharedText& a, const SharedText& b) { return !(a == b); }
  friend bool operator<(const SharedText& a, const SharedText& b) { return *a.text_ < *b.text_; }
  friend std::ostream& operator<<(std::ostream& out, const SharedText& value) {
    return out << *value.text_;
  }

 private:
  std::shared_ptr<const std::string> text_;
};

}  // namespace ebonylift

#endif  // EBONYLIFT_BASE_SHARED_TEXT_H_
