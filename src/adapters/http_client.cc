#include "adapters/http_client.h"

#include <curl/curl.h>
#include <netinet/tcp.h>
#include <strings.h>

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <cstdlib>
#include <exception>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace ebonylift {

const char* CallOutcomeName(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kComplete:
      return "complete";
    case CallOutcome::kNotConnected:
      return "not_connected";
    case CallOutcome::kNothingWritten:
      return "nothing_written";
    case CallOutcome::kFailed:
      return "failed";
    case CallOutcome::kTimedOut:
      return "timed_out";
  }
  return "failed";
}

namespace {

using asio::ip::tcp;

constexpr long kMaxIdleConnections = 1024;
constexpr size_t kMaxSpareHandles = 256;
// libcurl 7.88 limits one header line, but not their number.
constexpr size_t kMaxResponseHeaderBytes = 256 << 10;

bool EqualNoCase(const std::string& a, const char* b) { return strcasecmp(a.c_str(), b) == 0; }

// A line break in a header would start another one.
bool HasLineBreak(const std::string& text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos;
}

// libcurl frames the message and keeps the connections.
bool IsFramingHeader(const std::string& name) {
  return EqualNoCase(name, "content-length") || EqualNoCase(name, "transfer-encoding") ||
         EqualNoCase(name, "connection") || EqualNoCase(name, "expect");
}

long Millis(Duration duration) { return std::max<long>(1, static_cast<long>(ToMillis(duration))); }

// One socket of libcurl.
struct Socket {
  explicit Socket(asio::io_context& io) : socket(io) {}
  tcp::socket socket;
  int wanted = 0;  // CURL_POLL_IN, CURL_POLL_OUT or both
  bool waiting_read = false;
  bool waiting_write = false;
};

struct Call {
  CallId id = 0;
  HttpCall call;
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  int status = 0;
  HttpHeaders response_headers;
  size_t response_header_bytes = 0;
  bool headers_done = false;  // the empty line after the headers of the final response arrived
  bool got_body = false;
  bool paused = false;
  bool cancelled = false;
  std::string error;
  Time last_byte;
  std::unique_ptr<asio::steady_timer> idle_timer;
};

// "HTTP/1.1 200 OK" -> 200; 0 for another line.
int ParseStatus(std::string_view line) {
  if (line.substr(0, 5) != "HTTP/") return 0;
  size_t space = line.find(' ');
  if (space == std::string_view::npos) return 0;
  return atoi(std::string(line.substr(space + 1, 3)).c_str());
}

std::string_view Trim(std::string_view text) {
  size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

class Client : public std::enable_shared_from_this<Client> {
 public:
  explicit Client(asio::io_context& io);
  ~Client() { Close(); }

  CallId Start(HttpCall call);
  void Cancel(CallId id);
  void Resume(CallId id);
  void Close();

 private:
  static size_t OnHeader(char* data, size_t size, size_t count, void* call);
  static size_t OnBody(char* data, size_t size, size_t count, void* call);
  static int OnSocket(CURL* easy, curl_socket_t fd, int what, void* client, void* socket);
  static int OnTimer(CURLM* multi, long timeout_ms, void* client);
  static curl_socket_t OpenSocket(void* client, curlsocktype purpose, curl_sockaddr* address);
  static int CloseSocket(void* client, curl_socket_t fd);
  static int SetSocketOptions(void* call, curl_socket_t fd, curlsocktype purpose);

  void Configure(Call& call);
  void Add(CallId id);
  void Unpause(CallId id);
  void Wait(const std::shared_ptr<Socket>& socket);
  void OnReady(const std::shared_ptr<Socket>& socket, int wanted, int event);
  void Act(curl_socket_t fd, int events);
  void AfterAct();
  CallResult ResultOf(const Call& call, CURLcode code);
  void Finish(Call& call, CURLcode code);
  std::unique_ptr<Call> Release(CallId id);
  void StartIdleTimer(Call& call, Duration delay);
  void OnIdleTimer(CallId id);
  // Runs `fn` now, or after the libcurl function in progress, which must not be re-entered.
  void RunOutside(std::function<void()> fn);

  asio::io_context& io_;
  CURLM* multi_ = nullptr;
  asio::steady_timer timer_;
  CallId next_id_ = 1;
  bool inside_ = false;  // a function of libcurl that runs callbacks is in progress
  std::vector<std::function<void()>> deferred_;
  std::unordered_map<CallId, std::unique_ptr<Call>> calls_;
  std::unordered_map<curl_socket_t, std::shared_ptr<Socket>> sockets_;
  std::vector<CURL*> spare_;
};

Client::Client(asio::io_context& io) : io_(io), timer_(io) {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
  multi_ = curl_multi_init();
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Client::OnSocket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Client::OnTimer);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
}

void Client::Close() {
  if (!multi_) return;
  deferred_.clear();
  while (!calls_.empty()) Release(calls_.begin()->first);
  for (CURL* easy : spare_) curl_easy_cleanup(easy);
  spare_.clear();
  curl_multi_cleanup(multi_);
  multi_ = nullptr;
  timer_.cancel();
}

CallId Client::Start(HttpCall call) {
  CallId id = next_id_++;
  auto entry = std::make_unique<Call>();
  entry->id = id;
  entry->call = std::move(call);
  calls_.emplace(id, std::move(entry));
  RunOutside([this, id] { Add(id); });
  return id;
}

void Client::Cancel(CallId id) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  it->second->cancelled = true;
  RunOutside([this, id] { Release(id); });
}

// libcurl delivers data inside curl_easy_pause, so it runs from the event loop.
void Client::Resume(CallId id) {
  asio::post(io_, [weak = weak_from_this(), id] {
    if (std::shared_ptr<Client> client = weak.lock()) client->Unpause(id);
  });
}

void Client::Unpause(CallId id) {
  auto it = calls_.find(id);
  if (it == calls_.end() || !it->second->paused) return;
  Call& call = *it->second;
  call.paused = false;
  call.last_byte = SteadyNow();
  inside_ = true;
  curl_easy_pause(call.easy, CURLPAUSE_CONT);
  inside_ = false;
  AfterAct();
}

void Client::RunOutside(std::function<void()> fn) {
  if (inside_) {
    deferred_.push_back(std::move(fn));
  } else {
    fn();
  }
}

void Client::Add(CallId id) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Call& call = *it->second;
  if (spare_.empty()) {
    call.easy = curl_easy_init();
  } else {
    call.easy = spare_.back();
    spare_.pop_back();
  }
  Configure(call);
  call.last_byte = SteadyNow();
  if (call.call.idle_timeout.count() > 0) StartIdleTimer(call, call.call.idle_timeout);
  if (curl_multi_add_handle(multi_, call.easy) == CURLM_OK) return;
  asio::post(io_, [weak = weak_from_this(), id] {
    std::shared_ptr<Client> client = weak.lock();
    if (!client) return;
    auto failed = client->calls_.find(id);
    if (failed != client->calls_.end()) client->Finish(*failed->second, CURLE_FAILED_INIT);
  });
}

void Client::Configure(Call& call) {
  CURL* easy = call.easy;
  const HttpCall& http = call.call;
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &call);
  curl_easy_setopt(easy, CURLOPT_URL, http.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, Millis(http.connect_timeout));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, Millis(http.timeout));
  // The connection of a call that must not be repeated is not kept either: nothing would limit the
  // number of kept connections when most calls are of this kind.
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, http.new_connection ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, http.new_connection ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &Client::OpenSocket);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &Client::CloseSocket);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
  if (http.unacknowledged_timeout.count() > 0) {
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &Client::SetSocketOptions);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &call);
  }
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Client::OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &call);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Client::OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &call);

  bool sends_body =
      !http.body.empty() || http.method == "POST" || http.method == "PUT" || http.method == "PATCH";
  if (sends_body) {
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, http.body.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(http.body.size()));
  } else if (http.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, http.method.c_str());

  // Headers that libcurl would add on its own are suppressed by an entry without a value.
  call.headers = curl_slist_append(nullptr, "Expect:");
  for (const char* name : {"Accept", "Content-Type"}) {
    if (!FindHeader(http.headers, name).empty()) continue;
    call.headers = curl_slist_append(call.headers, (std::string(name) + ":").c_str());
  }
  for (const auto& [name, value] : http.headers) {
    if (IsFramingHeader(name) || HasLineBreak(name) || HasLineBreak(value)) continue;
    std::string line = value.empty() ? name + ";" : name + ": " + value;
    call.headers = curl_slist_append(call.headers, line.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call.headers);
}

size_t Client::OnHeader(char* data, size_t size, size_t count, void* pointer) {
  Call& call = *static_cast<Call*>(pointer);
  size_t bytes = size * count;
  if (call.cancelled) return 0;
  call.last_byte = SteadyNow();
  if (call.headers_done) return bytes;  // a trailer
  call.response_header_bytes += bytes;
  if (call.response_header_bytes > kMaxResponseHeaderBytes) {
    call.error = "the response headers are over the limit";
    return 0;
  }
  std::string_view line = Trim({data, bytes});
  if (int status = ParseStatus(line)) {
    call.status = status;
    call.response_headers.clear();
    return bytes;
  }
  if (!line.empty()) {
    size_t colon = line.find(':');
    if (colon == std::string_view::npos) return bytes;
    call.response_headers.emplace_back(Trim(line.substr(0, colon)), Trim(line.substr(colon + 1)));
    return bytes;
  }
  if (call.status < 200) return bytes;  // an interim response
  call.headers_done = true;
  try {
    if (call.call.on_headers) call.call.on_headers(call.status, call.response_headers);
  } catch (const std::exception& error) {
    call.error = error.what();
    return 0;
  }
  return call.cancelled ? 0 : bytes;
}

size_t Client::OnBody(char* data, size_t size, size_t count, void* pointer) {
  Call& call = *static_cast<Call*>(pointer);
  size_t bytes = size * count;
  if (call.cancelled) return 0;
  call.last_byte = SteadyNow();
  call.got_body = call.got_body || bytes > 0;
  bool more = true;
  try {
    if (call.call.on_data) more = call.call.on_data({data, bytes});
  } catch (const std::exception& error) {
    call.error = error.what();
    return 0;
  }
  if (call.cancelled) return 0;
  if (more) return bytes;
  call.paused = true;
  return CURL_WRITEFUNC_PAUSE;
}

curl_socket_t Client::OpenSocket(void* pointer, curlsocktype, curl_sockaddr* address) {
  Client& client = *static_cast<Client*>(pointer);
  auto socket = std::make_shared<Socket>(client.io_);
  asio::error_code error;
  socket->socket.open(address->family == AF_INET6 ? tcp::v6() : tcp::v4(), error);
  if (error) return CURL_SOCKET_BAD;
  curl_socket_t fd = socket->socket.native_handle();
  client.sockets_[fd] = std::move(socket);
  return fd;
}

int Client::SetSocketOptions(void* pointer, curl_socket_t fd, curlsocktype) {
  const Call& call = *static_cast<Call*>(pointer);
  auto timeout_ms = static_cast<unsigned>(Millis(call.call.unacknowledged_timeout));
  int result = setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
  return result == 0 ? CURL_SOCKOPT_OK : CURL_SOCKOPT_ERROR;
}

int Client::CloseSocket(void* pointer, curl_socket_t fd) {
  Client& client = *static_cast<Client*>(pointer);
  auto it = client.sockets_.find(fd);
  if (it == client.sockets_.end()) return 1;
  std::shared_ptr<Socket> socket = std::move(it->second);
  client.sockets_.erase(it);
  socket->wanted = 0;
  asio::error_code ignored;
  socket->socket.close(ignored);
  return 0;
}

int Client::OnSocket(CURL*, curl_socket_t fd, int what, void* pointer, void*) {
  Client& client = *static_cast<Client*>(pointer);
  auto it = client.sockets_.find(fd);
  if (it == client.sockets_.end()) return 0;
  it->second->wanted = what == CURL_POLL_REMOVE ? 0 : what & CURL_POLL_INOUT;
  client.Wait(it->second);
  return 0;
}

int Client::OnTimer(CURLM*, long timeout_ms, void* pointer) {
  Client& client = *static_cast<Client*>(pointer);
  if (timeout_ms < 0) {
    client.timer_.cancel();
    return 0;
  }
  client.timer_.expires_after(milliseconds(timeout_ms));
  client.timer_.async_wait([weak = client.weak_from_this()](const asio::error_code& error) {
    std::shared_ptr<Client> locked = weak.lock();
    if (!error && locked) locked->Act(CURL_SOCKET_TIMEOUT, 0);
  });
  return 0;
}

void Client::Wait(const std::shared_ptr<Socket>& socket) {
  if ((socket->wanted & CURL_POLL_IN) && !socket->waiting_read) {
    socket->waiting_read = true;
    socket->socket.async_wait(tcp::socket::wait_read,
                              [weak = weak_from_this(), socket](const asio::error_code& error) {
                                socket->waiting_read = false;
                                std::shared_ptr<Client> client = weak.lock();
                                if (!error && client)
                                  client->OnReady(socket, CURL_POLL_IN, CURL_CSELECT_IN);
                              });
  }
  if ((socket->wanted & CURL_POLL_OUT) && !socket->waiting_write) {
    socket->waiting_write = true;
    socket->socket.async_wait(tcp::socket::wait_write,
                              [weak = weak_from_this(), socket](const asio::error_code& error) {
                                socket->waiting_write = false;
                                std::shared_ptr<Client> client = weak.lock();
                                if (!error && client)
                                  client->OnReady(socket, CURL_POLL_OUT, CURL_CSELECT_OUT);
                              });
  }
}

// A wait that libcurl no longer wants may still end; it is not repeated.
void Client::OnReady(const std::shared_ptr<Socket>& socket, int wanted, int event) {
  if (!(socket->wanted & wanted) || !socket->socket.is_open()) return;
  Act(socket->socket.native_handle(), event);
  if (socket->socket.is_open()) Wait(socket);
}

void Client::Act(curl_socket_t fd, int events) {
  if (!multi_) return;
  inside_ = true;
  int running = 0;
  curl_multi_socket_action(multi_, fd, events, &running);
  inside_ = false;
  AfterAct();
}

void Client::AfterAct() {
  while (!deferred_.empty()) {
    auto deferred = std::move(deferred_);
    deferred_.clear();
    for (auto& fn : deferred) fn();
  }
  int left = 0;
  while (CURLMsg* message = multi_ ? curl_multi_info_read(multi_, &left) : nullptr) {
    if (message->msg != CURLMSG_DONE) continue;
    CURLcode code = message->data.result;
    char* pointer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &pointer);
    Finish(*reinterpret_cast<Call*>(pointer), code);
  }
}

// CURLINFO_REQUEST_SIZE counts the bytes of the request that the kernel has taken, over all
// connections that libcurl tried for this call. So a call that libcurl repeated after a reused
// connection turned out to be closed counts as written, whatever became of the repetition.
CallResult Client::ResultOf(const Call& call, CURLcode code) {
  CallResult result;
  result.status = call.status;
  result.got_body = call.got_body;
  // At the end of the connection libcurl accepts headers without their final empty line.
  if (code == CURLE_OK && call.headers_done) {
    result.outcome = CallOutcome::kComplete;
    return result;
  }
  result.error = !call.error.empty() ? call.error
                 : code == CURLE_OK  ? "the connection closed within the response headers"
                                     : curl_easy_strerror(code);
  long written = 0;
  curl_off_t connect_us = 0;
  curl_off_t pretransfer_us = 0;
  curl_easy_getinfo(call.easy, CURLINFO_REQUEST_SIZE, &written);
  curl_easy_getinfo(call.easy, CURLINFO_CONNECT_TIME_T, &connect_us);
  curl_easy_getinfo(call.easy, CURLINFO_PRETRANSFER_TIME_T, &pretransfer_us);
  if (written > 0 || call.status > 0) {
    bool late = code == CURLE_OPERATION_TIMEDOUT;
    result.outcome = late ? CallOutcome::kTimedOut : CallOutcome::kFailed;
  } else {
    bool connected = connect_us > 0 || pretransfer_us > 0;
    result.outcome = connected ? CallOutcome::kNothingWritten : CallOutcome::kNotConnected;
  }
  return result;
}

void Client::Finish(Call& call, CURLcode code) {
  CallResult result = ResultOf(call, code);
  std::unique_ptr<Call> finished = Release(call.id);
  if (!finished->cancelled && finished->call.on_done) finished->call.on_done(result);
}

// Takes the call out of libcurl. A call in progress loses its connection.
std::unique_ptr<Call> Client::Release(CallId id) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return nullptr;
  std::unique_ptr<Call> call = std::move(it->second);
  calls_.erase(it);
  call->idle_timer.reset();
  if (call->easy) {
    curl_multi_remove_handle(multi_, call->easy);
    curl_easy_reset(call->easy);
    if (spare_.size() < kMaxSpareHandles) {
      spare_.push_back(call->easy);
    } else {
      curl_easy_cleanup(call->easy);
    }
    call->easy = nullptr;
  }
  curl_slist_free_all(call->headers);
  call->headers = nullptr;
  return call;
}

void Client::StartIdleTimer(Call& call, Duration delay) {
  if (!call.idle_timer) call.idle_timer = std::make_unique<asio::steady_timer>(io_);
  call.idle_timer->expires_after(delay);
  call.idle_timer->async_wait(
      [weak = weak_from_this(), id = call.id](const asio::error_code& error) {
        std::shared_ptr<Client> client = weak.lock();
        if (!error && client) client->OnIdleTimer(id);
      });
}

void Client::OnIdleTimer(CallId id) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Call& call = *it->second;
  Duration limit = call.call.idle_timeout;
  // While the reader has paused the call, silence is not the server's.
  Duration left = call.paused ? limit : limit - (SteadyNow() - call.last_byte);
  if (left.count() > 0) {
    StartIdleTimer(call, left);
    return;
  }
  call.error = "no byte arrived for " + std::to_string(ToMillis(limit)) + " ms";
  Finish(call, CURLE_OPERATION_TIMEDOUT);
}

class ClientHandle : public HttpClient {
 public:
  explicit ClientHandle(asio::io_context& io) : client_(std::make_shared<Client>(io)) {}
  ~ClientHandle() override { client_->Close(); }
  CallId Start(HttpCall call) override { return client_->Start(std::move(call)); }
  void Cancel(CallId id) override { client_->Cancel(id); }
  void Resume(CallId id) override { client_->Resume(id); }

 private:
  std::shared_ptr<Client> client_;
};

}  // namespace

std::unique_ptr<HttpClient> MakeHttpClient(asio::io_context& io) {
  return std::make_unique<ClientHandle>(io);
}

}  // namespace ebonylift
