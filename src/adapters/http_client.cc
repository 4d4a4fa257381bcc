#include "adapters/http_client.h"

#include <curl/curl.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <algorithm>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <cstdlib>
#include <exception>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "adapters/chunked_body.h"
#include "adapters/ended_connection.h"
#include "adapters/http_headers.h"
#include "adapters/http_response_head.h"
#include "adapters/http_response_text.h"
#include "base/descriptor_claim.h"

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

constexpr long kMaxIdleConnections = 1024;
// libcurl 7.88 limits the length of a header line but not the number of lines.
constexpr size_t kMaxResponseHeaderBytes = 256 << 10;
// A reset that comes so soon after the end of a response shows that the server has not read the
// request. Responses for which that matters are complete so much later.
constexpr Duration kResetTimeout = milliseconds(50);

// Such text must not be sent in a header, as a line break would start another header.
bool HasLineBreakOrNul(const std::string& text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos;
}

// libcurl sets these headers itself, as it frames messages and manages connections.
bool IsSetByLibcurl(const std::string& name) {
  return IsFramingHeader(name) || EqualsIgnoreCase(name, "expect");
}

// At least 1, because libcurl and TCP_USER_TIMEOUT treat 0 as no timeout or as their default.
long ToTimeoutMillis(Duration duration) {
  return std::max<long>(1, static_cast<long>(ToMillis(duration)));
}

// A socket that libcurl owns and that Asio polls for it. The descriptor is never closed here:
// libcurl closes sockets itself, and reports only afterwards that it no longer needs them polled.
struct PolledSocket {
  explicit PolledSocket(asio::io_context& io) : descriptor(io) {}
  ~PolledSocket() { Stop(); }
  PolledSocket(const PolledSocket&) = delete;
  PolledSocket& operator=(const PolledSocket&) = delete;

  // Ends the polling and gives the descriptor back. Pending waits end with an error.
  void Stop() {
    poll_mask = 0;
    claim.Release();
    if (descriptor.is_open()) descriptor.release();
  }

  asio::posix::stream_descriptor descriptor;
  DescriptorClaim claim;  // on `descriptor`, once it is connected
  int poll_mask = 0;      // events that libcurl waits for: CURL_POLL_IN, CURL_POLL_OUT, both or 0
  bool read_wait_pending = false;
  bool write_wait_pending = false;
};

// The state of one call from Start() until it is done or cancelled.
struct CallState {
  CallId id = 0;
  HttpCall request;
  CURL* easy = nullptr;
  curl_slist* request_headers = nullptr;
  ReceivedHead head;
  size_t response_header_bytes = 0;
  ChunkedBody chunked_body;  // if the head says that the body is chunked
  bool body_received = false;
  bool paused = false;
  bool cancelled = false;
  std::string error;
  Time last_byte;
  std::unique_ptr<asio::steady_timer> idle_timer;
  // Set when the connection has ended, if IsSuccessEndedByConnection().
  std::shared_ptr<EndedConnection> ended_connection;
};

// Whether the response may have a body.
bool HasBody(const CallState& call) {
  return call.request.method != "HEAD" && !StatusForbidsBody(call.head.status);
}

// Whether the response is a success that only the end of its connection ends, to a request with a
// body. It may be cut short although the connection ended without an error: a server that has not
// read the request has not answered it. An error may be sent without reading the request.
bool IsSuccessEndedByConnection(const CallState& call) {
  bool ended_by_connection =
      call.head.complete && HasBody(call) && !call.head.has_length && !call.head.chunked;
  return ended_by_connection && call.head.status < 300 && !call.request.body.empty();
}

// Whether the request was written up to its end. What the kernel has yet to send counts as written.
bool IsRequestWritten(const CallState& call) {
  curl_off_t bytes = 0;
  curl_easy_getinfo(call.easy, CURLINFO_SIZE_UPLOAD_T, &bytes);
  return static_cast<size_t>(bytes) >= call.request.body.size();
}

// Returns nullptr if the response, which libcurl takes for complete, is complete. Otherwise returns
// what is missing, for logs.
const char* MissingPart(const CallState& call) {
  if (call.request.connect_only) return nullptr;
  // If the connection ends within the headers, libcurl accepts them without the final empty line.
  if (!call.head.complete) return "connection closed before the response headers were complete";
  if (!HasBody(call) || call.head.has_length) return nullptr;
  if (call.head.chunked) {
    bool ended = call.chunked_body.next == ChunkedBodyPart::kEnd;
    return ended ? nullptr : "connection closed before the last chunk of the response";
  }
  return IsSuccessEndedByConnection(call) && !IsRequestWritten(call)
             ? "connection closed before the request was written"
             : nullptr;
}

// Returns the call of a handle.
CallState& CallOf(CURL* easy) {
  char* call = nullptr;
  curl_easy_getinfo(easy, CURLINFO_PRIVATE, &call);
  return *reinterpret_cast<CallState*>(call);
}

// Implements HttpClient. Pending Asio handlers hold weak references, so they may outlive it.
class CurlClient : public std::enable_shared_from_this<CurlClient> {
 public:
  CurlClient(asio::io_context& io, std::string source_address);
  ~CurlClient() { Close(); }

  CallId Start(HttpCall call);
  void Cancel(CallId id);
  void Resume(CallId id);
  void Close();

 private:
  static size_t OnHeader(char* data, size_t size, size_t count, void* call);
  static size_t OnBody(char* data, size_t size, size_t count, void* call);
  static int OnSocket(CURL* easy, curl_socket_t fd, int what, void* client, void* socket);
  static int OnTimer(CURLM* multi, long timeout_ms, void* client);
  static int SetSocketOptions(void* call, curl_socket_t fd, curlsocktype purpose);
  static int OnCloseSocket(void* client, curl_socket_t fd);

  void ConfigureHandle(CallState& call);
  void AddToMulti(CallId id);
  void Unpause(CallId id);
  // Starts to poll a socket, or changes what it is polled for. Returns the error if it cannot be
  // polled.
  asio::error_code StartPolling(curl_socket_t fd, int poll_mask);
  void StopPolling(curl_socket_t fd);
  // Ends the call of the handle, whose socket cannot be polled.
  void FailUnpolledCall(CURL* easy, const asio::error_code& error);
  void StartSocketWaits(const std::shared_ptr<PolledSocket>& socket);
  void OnSocketReady(const std::shared_ptr<PolledSocket>& socket, int poll_flag, int select_flag);
  void RunSocketAction(curl_socket_t fd, int events);
  // Runs the deferred functions, then finishes the calls that libcurl reports as done.
  void RunDeferredAndFinishCalls();
  CallResult MakeResult(const CallState& call, CURLcode code);
  // Ends the call, at once or when its connection shows whether the server had read the request.
  void FinishCall(CallState& call, CURLcode code);
  void AwaitReset(CallState& call, const CallResult& result);
  void EndCall(CallId id, const CallResult& result);
  std::unique_ptr<CallState> RemoveCall(CallId id);
  void StartIdleTimer(CallState& call, Duration delay);
  void OnIdleTimer(CallId id);
  // Runs `fn` now, or after the libcurl function in progress, as libcurl must not be re-entered.
  void RunOutsideLibcurl(std::function<void()> fn);

  asio::io_context& io_;
  const std::string source_address_;  // empty: chosen by the kernel
  CURLM* multi_ = nullptr;
  asio::steady_timer timer_;
  CallId next_id_ = 1;
  bool in_libcurl_ = false;  // a libcurl function that runs callbacks is in progress
  std::vector<std::function<void()>> deferred_;
  std::unordered_map<CallId, std::unique_ptr<CallState>> calls_;
  std::unordered_map<curl_socket_t, std::shared_ptr<PolledSocket>> sockets_;
  std::unordered_map<curl_socket_t, CallId> last_users_;  // the last call of each open socket
};

CurlClient::CurlClient(asio::io_context& io, std::string source_address)
    : io_(io), source_address_(std::move(source_address)), timer_(io) {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
  multi_ = curl_multi_init();
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &CurlClient::OnSocket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &CurlClient::OnTimer);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
}

void CurlClient::Close() {
  if (!multi_) return;
  deferred_.clear();
  while (!calls_.empty()) RemoveCall(calls_.begin()->first);
  while (!sockets_.empty()) StopPolling(sockets_.begin()->first);
  curl_multi_cleanup(multi_);
  multi_ = nullptr;
  timer_.cancel();
}

CallId CurlClient::Start(HttpCall call) {
  CallId id = next_id_++;
  auto new_call = std::make_unique<CallState>();
  new_call->id = id;
  new_call->request = std::move(call);
  calls_.emplace(id, std::move(new_call));
  RunOutsideLibcurl([this, id] { AddToMulti(id); });
  return id;
}

void CurlClient::Cancel(CallId id) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  it->second->cancelled = true;
  RunOutsideLibcurl([this, id] { RemoveCall(id); });
}

// Unpauses from the event loop, because curl_easy_pause may run on_data before it returns.
void CurlClient::Resume(CallId id) {
  asio::post(io_, [weak = weak_from_this(), id] {
    if (std::shared_ptr<CurlClient> client = weak.lock()) client->Unpause(id);
  });
}

void CurlClient::Unpause(CallId id) {
  auto it = calls_.find(id);
  if (it == calls_.end() || !it->second->paused) return;
  CallState& call = *it->second;
  call.paused = false;
  call.last_byte = SteadyNow();
  in_libcurl_ = true;
  curl_easy_pause(call.easy, CURLPAUSE_CONT);
  in_libcurl_ = false;
  RunDeferredAndFinishCalls();
}

void CurlClient::RunOutsideLibcurl(std::function<void()> fn) {
  if (in_libcurl_) {
    deferred_.push_back(std::move(fn));
  } else {
    fn();
  }
}

void CurlClient::AddToMulti(CallId id) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  CallState& call = *it->second;
  // A handle is used for one call only: libcurl 7.88 keeps a pointer to the last header of the
  // previous response, which it follows if the next response begins with a folded line.
  call.easy = curl_easy_init();
  ConfigureHandle(call);
  call.last_byte = SteadyNow();
  if (call.request.idle_timeout.count() > 0) StartIdleTimer(call, call.request.idle_timeout);
  if (curl_multi_add_handle(multi_, call.easy) == CURLM_OK) return;
  asio::post(io_, [weak = weak_from_this(), id] {
    std::shared_ptr<CurlClient> client = weak.lock();
    if (!client) return;
    auto failed = client->calls_.find(id);
    if (failed != client->calls_.end()) client->FinishCall(*failed->second, CURLE_FAILED_INIT);
  });
}

void CurlClient::ConfigureHandle(CallState& call) {
  CURL* easy = call.easy;
  const HttpCall& request = call.request;
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &call);
  curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  if (!source_address_.empty()) curl_easy_setopt(easy, CURLOPT_INTERFACE, source_address_.c_str());
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, ToTimeoutMillis(request.connect_timeout));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ToTimeoutMillis(request.timeout));
  // A call that requires a new connection also closes it afterwards: if most calls are of this
  // kind, nothing would limit the number of idle connections.
  bool new_connection = request.new_connection || request.connect_only;
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, new_connection ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, new_connection ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_CONNECT_ONLY, request.connect_only ? 1L : 0L);
  if (request.unacknowledged_timeout.count() > 0) {
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &CurlClient::SetSocketOptions);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &call);
  }
  // Connections keep these two when they are used again.
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &CurlClient::OnCloseSocket);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &CurlClient::OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &call);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &CurlClient::OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &call);
  // libcurl ignores what follows the digits of a chunk's size, so chunks are decoded by OnBody().
  curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);

  bool sends_body = !request.body.empty() || request.method == "POST" || request.method == "PUT" ||
                    request.method == "PATCH";
  if (sends_body) {
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
  } else if (request.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());

  // An entry without a value suppresses a header that libcurl would add by default.
  call.request_headers = curl_slist_append(nullptr, "Expect:");
  for (const char* name : {"Accept", "Content-Type"}) {
    if (!FindHeader(request.headers, name).empty()) continue;
    call.request_headers =
        curl_slist_append(call.request_headers, (std::string(name) + ":").c_str());
  }
  for (const auto& [name, value] : request.headers) {
    if (IsSetByLibcurl(name) || HasLineBreakOrNul(name) || HasLineBreakOrNul(value)) continue;
    std::string line = value.empty() ? name + ";" : name + ": " + value;
    call.request_headers = curl_slist_append(call.request_headers, line.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call.request_headers);
}

size_t CurlClient::OnHeader(char* data, size_t size, size_t count, void* user_data) {
  CallState& call = *static_cast<CallState*>(user_data);
  size_t bytes = size * count;
  if (call.cancelled) return 0;
  call.last_byte = SteadyNow();
  call.response_header_bytes += bytes;
  if (call.response_header_bytes > kMaxResponseHeaderBytes) {
    call.error = "response headers exceed the size limit";
    return 0;
  }
  if (const char* error = AddHeadLine({data, bytes}, &call.head)) {
    call.error = error;
    return 0;
  }
  if (!call.head.complete) return bytes;
  try {
    if (call.request.on_headers) call.request.on_headers(call.head.status, call.head.headers);
  } catch (const std::exception& error) {
    call.error = error.what();
    return 0;
  }
  return call.cancelled ? 0 : bytes;
}

size_t CurlClient::OnBody(char* data, size_t size, size_t count, void* user_data) {
  CallState& call = *static_cast<CallState*>(user_data);
  size_t bytes = size * count;
  if (call.cancelled) return 0;
  call.last_byte = SteadyNow();
  std::string_view body(data, bytes);
  ChunkedBody decoded_before;
  std::string decoded;
  if (call.head.chunked) {
    decoded_before = call.chunked_body;
    if (const char* error = DecodeChunks(body, &call.chunked_body, &decoded)) {
      call.error = error;
      return 0;
    }
    body = decoded;
  }
  if (body.empty()) return bytes;
  call.body_received = true;
  bool keep_reading = true;
  try {
    if (call.request.on_data) keep_reading = call.request.on_data(body);
  } catch (const std::exception& error) {
    call.error = error.what();
    return 0;
  }
  if (call.cancelled) return 0;
  if (keep_reading) return bytes;
  // libcurl delivers the same bytes again.
  call.chunked_body = std::move(decoded_before);
  call.paused = true;
  return CURL_WRITEFUNC_PAUSE;
}

int CurlClient::SetSocketOptions(void* user_data, curl_socket_t fd, curlsocktype) {
  const CallState& call = *static_cast<CallState*>(user_data);
  auto timeout_ms = static_cast<unsigned>(ToTimeoutMillis(call.request.unacknowledged_timeout));
  int result = setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
  return result == 0 ? CURL_SOCKOPT_OK : CURL_SOCKOPT_ERROR;
}

int CurlClient::OnSocket(CURL* easy, curl_socket_t fd, int what, void* user_data, void*) {
  CurlClient& client = *static_cast<CurlClient*>(user_data);
  if (what == CURL_POLL_REMOVE) {
    client.StopPolling(fd);
    return 0;
  }
  client.last_users_[fd] = CallOf(easy).id;
  if (asio::error_code error = client.StartPolling(fd, what & CURL_POLL_INOUT)) {
    client.FailUnpolledCall(easy, error);
  }
  return 0;
}

// Closes the socket, unless a call needs it to learn whether its response is complete.
int CurlClient::OnCloseSocket(void* user_data, curl_socket_t fd) {
  CurlClient& client = *static_cast<CurlClient*>(user_data);
  auto user = client.last_users_.find(fd);
  if (user == client.last_users_.end()) return close(fd);
  auto call = client.calls_.find(user->second);
  client.last_users_.erase(user);
  bool is_needed = call != client.calls_.end() && IsSuccessEndedByConnection(*call->second);
  if (!is_needed) return close(fd);
  try {
    call->second->ended_connection = std::make_shared<EndedConnection>(client.io_, fd);
    return 0;
  } catch (const std::system_error&) {
    // The socket cannot be polled, so that only the end of its stream is known.
    return close(fd);
  }
}

asio::error_code CurlClient::StartPolling(curl_socket_t fd, int poll_mask) {
  std::shared_ptr<PolledSocket>& socket = sockets_[fd];
  if (!socket) {
    socket = std::make_shared<PolledSocket>(io_);
    asio::error_code error;
    socket->descriptor.assign(fd, error);
    if (error) {
      sockets_.erase(fd);
      return error;
    }
  }
  // A socket that is still connecting is polled only for writing. It is not claimed: libcurl closes
  // it before it ends the polling, and another thread may open and claim the number in between.
  if ((poll_mask & CURL_POLL_IN) && !socket->claim.is_held()) {
    socket->claim = DescriptorClaim(fd, DescriptorUser::kClientSocket);
  }
  socket->poll_mask = poll_mask;
  StartSocketWaits(socket);
  return {};
}

void CurlClient::FailUnpolledCall(CURL* easy, const asio::error_code& error) {
  RunOutsideLibcurl([this, id = CallOf(easy).id, reason = error.message()] {
    auto it = calls_.find(id);
    if (it == calls_.end()) return;
    it->second->error = "cannot poll the socket: " + reason;
    FinishCall(*it->second, CURLE_FAILED_INIT);
  });
}

void CurlClient::StopPolling(curl_socket_t fd) {
  auto it = sockets_.find(fd);
  if (it == sockets_.end()) return;
  it->second->Stop();
  sockets_.erase(it);
}

int CurlClient::OnTimer(CURLM*, long timeout_ms, void* user_data) {
  CurlClient& client = *static_cast<CurlClient*>(user_data);
  if (timeout_ms < 0) {
    client.timer_.cancel();
    return 0;
  }
  client.timer_.expires_after(milliseconds(timeout_ms));
  client.timer_.async_wait([weak = client.weak_from_this()](const asio::error_code& error) {
    std::shared_ptr<CurlClient> locked = weak.lock();
    if (!error && locked) locked->RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
  });
  return 0;
}

void CurlClient::StartSocketWaits(const std::shared_ptr<PolledSocket>& socket) {
  if ((socket->poll_mask & CURL_POLL_IN) && !socket->read_wait_pending) {
    socket->read_wait_pending = true;
    socket->descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                                  [weak = weak_from_this(), socket](const asio::error_code& error) {
                                    socket->read_wait_pending = false;
                                    std::shared_ptr<CurlClient> client = weak.lock();
                                    if (!error && client)
                                      client->OnSocketReady(socket, CURL_POLL_IN, CURL_CSELECT_IN);
                                  });
  }
  if ((socket->poll_mask & CURL_POLL_OUT) && !socket->write_wait_pending) {
    socket->write_wait_pending = true;
    socket->descriptor.async_wait(asio::posix::stream_descriptor::wait_write,
                                  [weak = weak_from_this(), socket](const asio::error_code& error) {
                                    socket->write_wait_pending = false;
                                    std::shared_ptr<CurlClient> client = weak.lock();
                                    if (!error && client) {
                                      client->OnSocketReady(socket, CURL_POLL_OUT,
                                                            CURL_CSELECT_OUT);
                                    }
                                  });
  }
}

// Ignores events that libcurl no longer waits for: a completed wait may already be queued when
// libcurl ends or changes the polling.
void CurlClient::OnSocketReady(const std::shared_ptr<PolledSocket>& socket, int poll_flag,
                               int select_flag) {
  if (!(socket->poll_mask & poll_flag)) return;
  RunSocketAction(socket->descriptor.native_handle(), select_flag);
  StartSocketWaits(socket);
}

void CurlClient::RunSocketAction(curl_socket_t fd, int events) {
  if (!multi_) return;
  in_libcurl_ = true;
  int running = 0;
  curl_multi_socket_action(multi_, fd, events, &running);
  in_libcurl_ = false;
  RunDeferredAndFinishCalls();
}

void CurlClient::RunDeferredAndFinishCalls() {
  while (!deferred_.empty()) {
    auto deferred = std::move(deferred_);
    deferred_.clear();
    for (auto& fn : deferred) fn();
  }
  int messages_left = 0;
  while (CURLMsg* message = multi_ ? curl_multi_info_read(multi_, &messages_left) : nullptr) {
    if (message->msg != CURLMSG_DONE) continue;
    CURLcode code = message->data.result;
    FinishCall(CallOf(message->easy_handle), code);
  }
}

// CURLINFO_REQUEST_SIZE counts the request bytes accepted by the kernel over all connections that
// libcurl tried for this call. If libcurl retried because a reused connection turned out to be
// closed, the request therefore counts as written, whatever the result of the retry.
CallResult CurlClient::MakeResult(const CallState& call, CURLcode code) {
  CallResult result;
  result.status = call.head.status;
  result.body_received = call.body_received;
  const char* missing = MissingPart(call);
  if (code == CURLE_OK && missing == nullptr) {
    result.outcome = CallOutcome::kComplete;
    return result;
  }
  result.error = !call.error.empty() ? call.error
                 : code == CURLE_OK  ? missing
                                     : curl_easy_strerror(code);
  long bytes_written = 0;
  curl_off_t connect_us = 0;
  curl_off_t pretransfer_us = 0;
  curl_easy_getinfo(call.easy, CURLINFO_REQUEST_SIZE, &bytes_written);
  curl_easy_getinfo(call.easy, CURLINFO_CONNECT_TIME_T, &connect_us);
  curl_easy_getinfo(call.easy, CURLINFO_PRETRANSFER_TIME_T, &pretransfer_us);
  if (bytes_written > 0 || call.head.status > 0) {
    bool timed_out = code == CURLE_OPERATION_TIMEDOUT;
    result.outcome = timed_out ? CallOutcome::kTimedOut : CallOutcome::kFailed;
  } else {
    bool connected = connect_us > 0 || pretransfer_us > 0;
    result.outcome = connected ? CallOutcome::kNothingWritten : CallOutcome::kNotConnected;
    long connect_errno = 0;
    if (code == CURLE_COULDNT_CONNECT)
      curl_easy_getinfo(call.easy, CURLINFO_OS_ERRNO, &connect_errno);
    result.connect_errno = static_cast<int>(connect_errno);
  }
  return result;
}

void CurlClient::FinishCall(CallState& call, CURLcode code) {
  CallResult result = MakeResult(call, code);
  if (result.outcome == CallOutcome::kComplete && call.ended_connection) {
    AwaitReset(call, result);
  } else {
    EndCall(call.id, result);
  }
}

void CurlClient::AwaitReset(CallState& call, const CallResult& result) {
  call.idle_timer.reset();
  auto end = [this, id = call.id, result](const char* fault) {
    CallResult known = result;
    if (fault != nullptr) {
      known.outcome = CallOutcome::kFailed;
      known.error = fault;
    }
    EndCall(id, known);
  };
  if (const char* fault = call.ended_connection->UnreadFault()) {
    end(fault);
  } else {
    call.ended_connection->AwaitReset(kResetTimeout, end);
  }
}

void CurlClient::EndCall(CallId id, const CallResult& result) {
  std::unique_ptr<CallState> finished = RemoveCall(id);
  if (!finished->cancelled && finished->request.on_done) finished->request.on_done(result);
}

// Removes the call from calls_ and from libcurl, which closes the connection of a call in progress.
std::unique_ptr<CallState> CurlClient::RemoveCall(CallId id) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return nullptr;
  std::unique_ptr<CallState> call = std::move(it->second);
  calls_.erase(it);
  call->idle_timer.reset();
  if (call->easy) {
    curl_multi_remove_handle(multi_, call->easy);
    curl_easy_cleanup(call->easy);
    call->easy = nullptr;
  }
  curl_slist_free_all(call->request_headers);
  call->request_headers = nullptr;
  return call;
}

void CurlClient::StartIdleTimer(CallState& call, Duration delay) {
  if (!call.idle_timer) call.idle_timer = std::make_unique<asio::steady_timer>(io_);
  call.idle_timer->expires_after(delay);
  call.idle_timer->async_wait(
      [weak = weak_from_this(), id = call.id](const asio::error_code& error) {
        std::shared_ptr<CurlClient> client = weak.lock();
        if (!error && client) client->OnIdleTimer(id);
      });
}

void CurlClient::OnIdleTimer(CallId id) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  CallState& call = *it->second;
  Duration limit = call.request.idle_timeout;
  // No data is read while the call is paused, so a pause does not count as idle time.
  Duration remaining = call.paused ? limit : limit - (SteadyNow() - call.last_byte);
  if (remaining.count() > 0) {
    StartIdleTimer(call, remaining);
    return;
  }
  call.error = "no data received for " + std::to_string(ToMillis(limit)) + " ms";
  FinishCall(call, CURLE_OPERATION_TIMEDOUT);
}

// Owns a CurlClient and closes it on destruction.
class HttpClientImpl : public HttpClient {
 public:
  HttpClientImpl(asio::io_context& io, std::string source_address)
      : client_(std::make_shared<CurlClient>(io, std::move(source_address))) {}
  ~HttpClientImpl() override { client_->Close(); }
  CallId Start(HttpCall call) override { return client_->Start(std::move(call)); }
  void Cancel(CallId id) override { client_->Cancel(id); }
  void Resume(CallId id) override { client_->Resume(id); }

 private:
  std::shared_ptr<CurlClient> client_;
};

}  // namespace

std::unique_ptr<HttpClient> MakeHttpClient(asio::io_context& io, std::string source_address) {
  return std::make_unique<HttpClientImpl>(io, std::move(source_address));
}

}  // namespace ebonylift
