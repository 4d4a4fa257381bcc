// A small blocking HTTP/1.1 client and server side for the stand-ins of the review: one thread for
// each connection, loopback addresses only.
#ifndef EBONYLIFT_REVIEW_HTTP_H_
#define EBONYLIFT_REVIEW_HTTP_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

inline int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline std::string Find(const Headers& headers, const char* name) {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name) == 0) return value;
  }
  return "";
}

inline bool Has(const Headers& headers, const char* name) {
  for (const auto& header : headers) {
    if (strcasecmp(header.first.c_str(), name) == 0) return true;
  }
  return false;
}

inline sockaddr_in ToAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int Listen(const std::string& ip, int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = ToAddress(ip, port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

// Connects within `timeout_ms`; -1 if that fails. `from` is the own address, if it is not empty.
inline int Connect(const std::string& ip, int port, int timeout_ms, const std::string& from = "") {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (!from.empty()) {
    sockaddr_in own = ToAddress(from, 0);
    bind(fd, reinterpret_cast<sockaddr*>(&own), sizeof(own));
  }
  sockaddr_in address = ToAddress(ip, port);
  int result = connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (result != 0 && errno == EINPROGRESS) {
    pollfd polled{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    result = poll(&polled, 1, timeout_ms) == 1 &&
                     getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0
                 ? 0
                 : -1;
  }
  if (result != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool SendAll(int fd, const std::string& text) {
  size_t sent = 0;
  while (sent < text.size()) {
    ssize_t count = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

// Ends the connection at once, as the end of its process does. The close that follows resets it.
inline void Reset(int fd) {
  linger hard{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
  shutdown(fd, SHUT_RDWR);
}

// Reads from a socket until a deadline (NowMs()).
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  bool Fill(int64_t deadline) {
    int64_t left = deadline - NowMs();
    pollfd polled{fd_, POLLIN, 0};
    if (left <= 0 || poll(&polled, 1, static_cast<int>(left)) != 1) {
      timed_out_ = true;
      return false;
    }
    char bytes[16384];
    ssize_t count = recv(fd_, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      ended_ = count == 0;
      return false;
    }
    buffer_.append(bytes, static_cast<size_t>(count));
    return true;
  }

  bool Line(std::string* line, int64_t deadline) {
    size_t end;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      if (!Fill(deadline)) return false;
    }
    *line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return true;
  }

  bool Bytes(size_t count, std::string* out, int64_t deadline) {
    while (buffer_.size() < count) {
      if (!Fill(deadline)) return false;
    }
    out->append(buffer_, 0, count);
    buffer_.erase(0, count);
    return true;
  }

  std::string TakeAll() { return std::exchange(buffer_, ""); }
  bool ended() const { return ended_; }          // by an orderly close
  bool timed_out() const { return timed_out_; }  // the deadline passed
  bool empty() const { return buffer_.empty(); }

 private:
  int fd_;
  std::string buffer_;
  bool ended_ = false;
  bool timed_out_ = false;
};

struct Message {
  std::string first_line;
  Headers headers;
  std::string body;
  bool complete = false;  // the whole message was received
  bool head_received = false;
  bool timed_out = false;
  int64_t first_body_ms = 0;  // when the first byte of the body came

  int status() const {
    return first_line.rfind("HTTP/", 0) == 0 ? atoi(first_line.c_str() + 9) : 0;
  }
  std::string method() const { return first_line.substr(0, first_line.find(' ')); }
  std::string target() const {
    size_t begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
};

inline bool ReadHead(Reader* reader, Message* message, int64_t deadline) {
  if (!reader->Line(&message->first_line, deadline)) return false;
  std::string line;
  while (reader->Line(&line, deadline)) {
    if (line.empty()) {
      message->head_received = true;
      return true;
    }
    size_t colon = line.find(':');
    if (colon == std::string::npos) return false;
    size_t value = line.find_first_not_of(" \t", colon + 1);
    message->headers.emplace_back(line.substr(0, colon),
                                  value == std::string::npos ? "" : line.substr(value));
  }
  return false;
}

inline bool ReadChunks(Reader* reader, Message* message, int64_t deadline) {
  std::string line;
  while (reader->Line(&line, deadline)) {
    size_t size = strtoul(line.c_str(), nullptr, 16);
    if (size == 0) return reader->Line(&line, deadline);
    if (!reader->Bytes(size, &message->body, deadline) || !reader->Line(&line, deadline))
      return false;
    if (message->first_body_ms == 0) message->first_body_ms = NowMs();
  }
  return false;
}

// Reads a request or an answer.
inline Message ReadMessage(Reader* reader, int64_t deadline) {
  Message message;
  if (ReadHead(reader, &message, deadline)) {
    std::string length = Find(message.headers, "Content-Length");
    if (strcasecmp(Find(message.headers, "Transfer-Encoding").c_str(), "chunked") == 0) {
      message.complete = ReadChunks(reader, &message, deadline);
    } else if (!length.empty()) {
      message.complete =
          reader->Bytes(strtoul(length.c_str(), nullptr, 10), &message.body, deadline);
    } else if (message.status() != 0 && message.status() != 204 && message.status() != 304) {
      while (reader->Fill(deadline)) {
      }
      message.body += reader->TakeAll();
      message.complete = reader->ended();
    } else {
      message.complete = true;
    }
  }
  message.timed_out = reader->timed_out();
  return message;
}

inline std::string FormatHead(const std::string& first_line, const Headers& headers) {
  std::string text = first_line + "\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  return text + "\r\n";
}

inline std::string FormatChunk(const std::string& data) {
  char size[24];
  snprintf(size, sizeof(size), "%zx\r\n", data.size());
  return size + data + "\r\n";
}

// One call on a connection of its own.
inline Message CallOnce(const std::string& ip, int port, const std::string& method,
                        const std::string& target, const std::string& body, int timeout_ms,
                        Headers headers = {}) {
  Message none;
  int64_t deadline = NowMs() + timeout_ms;
  int fd = Connect(ip, port, timeout_ms);
  if (fd < 0) return none;
  if (!Has(headers, "Host")) headers.emplace_back("Host", ip);
  if (!body.empty() || method == "POST")
    headers.emplace_back("Content-Length", std::to_string(body.size()));
  if (!body.empty()) headers.emplace_back("Content-Type", "application/json");
  headers.emplace_back("Connection", "close");
  Message answer;
  if (SendAll(fd, FormatHead(method + " " + target + " HTTP/1.1", headers) + body)) {
    Reader reader(fd);
    answer = ReadMessage(&reader, deadline);
  }
  close(fd);
  return answer;
}

}  // namespace review

#endif  // EBONYLIFT_REVIEW_HTTP_H_
