#include "testing/proxy_link.h"

#include <algorithm>
#include <array>
#include <asio/write.hpp>
#include <deque>
#include <utility>
#include <vector>

#include "base/error.h"
#include "testing/sockets.h"

namespace ebonylift::standin {
namespace {

using asio::ip::tcp;
using nlohmann::json;

constexpr size_t kReadBufferBytes = 32 << 10;
constexpr Duration kProbeInterval = milliseconds(100);

int64_t ToInteger(const json& value) { return value.get<int64_t>(); }

void SetDrop(LinkFaults& faults, const std::string& drop) {
  if (drop != "none" && drop != "to_target" && drop != "to_client" && drop != "both") {
    throw Error(ErrorKind::kBadRequest, "drop must be none, to_target, to_client or both");
  }
  faults.drop_to_target = drop == "to_target" || drop == "both";
  faults.drop_to_client = drop == "to_client" || drop == "both";
}

void SetField(LinkFaults& faults, const std::string& name, const json& value) {
  if (name == "delay_ms") {
    faults.delay = milliseconds(ToInteger(value));
  } else if (name == "delay_us") {
    faults.delay = Duration(ToInteger(value));
  } else if (name == "jitter_ms") {
    faults.jitter = milliseconds(ToInteger(value));
  } else if (name == "drop") {
    SetDrop(faults, value.get<std::string>());
  } else if (name == "freeze") {
    faults.freeze = value.get<bool>();
  } else if (name == "refuse") {
    faults.refuse = value.get<bool>();
  } else if (name == "truncate_after") {
    faults.truncate_after = value.get<int64_t>();
  } else if (name != "clear" && name != "links") {
    throw Error(ErrorKind::kBadRequest, "unknown fault: " + name);
  }
}

const char* DropName(const LinkFaults& faults) {
  if (faults.drop_to_target && faults.drop_to_client) return "both";
  if (faults.drop_to_target) return "to_target";
  return faults.drop_to_client ? "to_client" : "none";
}

enum class EndKind { kNone, kEof, kReset };

// Data or the end of a stream that was read, and the time from which it may be forwarded.
struct Chunk {
  Time due;
  std::string data;
  EndKind end = EndKind::kNone;
};

// The state of one direction of a connection.
struct Pipe {
  explicit Pipe(asio::io_context& io) : timer(io) {}
  std::array<char, kReadBufferBytes> buffer{};
  std::deque<Chunk> chunks;
  std::string write_buffer;  // owns the bytes of the write in progress
  asio::steady_timer timer;
  size_t buffered = 0;
  int64_t forwarded = 0;
  Time last_due;
  bool read_active = false;
  bool write_active = false;
  bool timer_active = false;
  bool source_ended = false;   // the source closed or failed; nothing more is read
  bool end_forwarded = false;  // the end was forwarded to the sink
};

}  // namespace

LinkFaults ApplyLinkFaults(LinkFaults faults, const json& request) {
  if (!request.is_object()) throw Error(ErrorKind::kBadRequest, "the body is not a JSON object");
  try {
    if (request.value("clear", false)) {
      LinkFaults cleared;
      cleared.delay = faults.delay;
      cleared.jitter = faults.jitter;
      faults = cleared;
    }
    for (const auto& [name, value] : request.items()) SetField(faults, name, value);
  } catch (const json::exception& error) {
    throw Error(ErrorKind::kBadRequest, error.what());
  }
  return faults;
}

class ProxyConnection : public std::enable_shared_from_this<ProxyConnection> {
 public:
  ProxyConnection(ProxyLink& link, tcp::socket client)
      : link_(&link),
        client_socket_(std::move(client)),
        target_socket_(link.io_),
        to_target_(link.io_),
        to_client_(link.io_) {}

  // Continues connecting and forwarding as far as the faults of the link now allow.
  void ResumeTransfers() {
    if (closed_) return;
    const LinkFaults& faults = link_->faults();
    if (!connecting_ && !faults.drop_to_target && !faults.freeze) Connect();
    if (!connected_) return;
    Read(to_target_);
    Read(to_client_);
    Write(to_target_);
    Write(to_client_);
  }

  void Reset() {
    if (closed_) return;
    ResetSocket(client_socket_);
    ResetSocket(target_socket_);
    FinishClosing();
  }

  // Resets both sockets without calling back the link, which is being destroyed.
  void CloseWithoutCallback() {
    closed_ = true;
    ResetSocket(client_socket_);
    ResetSocket(target_socket_);
    CancelTimers();
  }

 private:
  void Connect() {
    connecting_ = true;
    auto self = shared_from_this();
    target_socket_.async_connect(link_->target_endpoint_,
                                 [this, self](const asio::error_code& error) {
                                   if (closed_) return;
                                   if (error) {
                                     if (error == asio::error::connection_refused)
                                       link_->OnTargetRefused();
                                     Reset();
                                     return;
                                   }
                                   asio::error_code ignored;
                                   target_socket_.set_option(tcp::no_delay(true), ignored);
                                   client_socket_.set_option(tcp::no_delay(true), ignored);
                                   connected_ = true;
                                   ResumeTransfers();
                                 });
  }

  tcp::socket& SourceOf(const Pipe& pipe) {
    return &pipe == &to_target_ ? client_socket_ : target_socket_;
  }
  tcp::socket& SinkOf(const Pipe& pipe) {
    return &pipe == &to_target_ ? target_socket_ : client_socket_;
  }

  bool IsBlocked(const Pipe& pipe) const {
    const LinkFaults& faults = link_->faults();
    if (faults.freeze) return true;
    return &pipe == &to_target_ ? faults.drop_to_target : faults.drop_to_client;
  }

  void Read(Pipe& pipe) {
    if (closed_ || pipe.read_active || pipe.source_ended || link_->faults().freeze) return;
    if (pipe.buffered >= kMaxBufferedBytes) return;
    pipe.read_active = true;
    auto self = shared_from_this();
    SourceOf(pipe).async_read_some(asio::buffer(pipe.buffer),
                                   [this, self, &pipe](const asio::error_code& error, size_t size) {
                                     pipe.read_active = false;
                                     if (!closed_) OnRead(pipe, error, size);
                                   });
  }

  void OnRead(Pipe& pipe, const asio::error_code& error, size_t size) {
    Chunk chunk;
    chunk.due = std::max(pipe.last_due, SteadyNow() + link_->NextDelay());
    chunk.data.assign(pipe.buffer.data(), size);
    if (error) chunk.end = error == asio::error::eof ? EndKind::kEof : EndKind::kReset;
    pipe.source_ended = chunk.end != EndKind::kNone;
    pipe.last_due = chunk.due;
    pipe.buffered += size;
    pipe.chunks.push_back(std::move(chunk));
    Read(pipe);
    Write(pipe);
  }

  // Forwards the first chunk when it is due; otherwise waits until then.
  void Write(Pipe& pipe) {
    if (closed_ || pipe.write_active || pipe.chunks.empty() || IsBlocked(pipe)) return;
    if (pipe.chunks.front().due > SteadyNow()) {
      WaitUntilDue(pipe);
      return;
    }
    Chunk chunk = std::move(pipe.chunks.front());
    pipe.chunks.pop_front();
    if (chunk.end != EndKind::kNone && chunk.data.empty()) {
      ForwardEnd(pipe, chunk.end);
      return;
    }
    pipe.buffered -= chunk.data.size();
    bool limit_reached = ApplyTruncation(pipe, chunk.data);
    pipe.write_buffer = std::move(chunk.data);
    pipe.write_active = true;
    auto self = shared_from_this();
    asio::async_write(
        SinkOf(pipe), asio::buffer(pipe.write_buffer),
        [this, self, &pipe, limit_reached](const asio::error_code& error, size_t size) {
          pipe.write_active = false;
          if (!closed_) OnWritten(pipe, error, size, limit_reached);
        });
  }

  void OnWritten(Pipe& pipe, const asio::error_code& error, size_t size, bool limit_reached) {
    if (error) {
      Reset();
      return;
    }
    pipe.forwarded += static_cast<int64_t>(size);
    (&pipe == &to_target_ ? link_->bytes_to_target_ : link_->bytes_to_client_) += size;
    if (limit_reached) {
      Close();
      return;
    }
    Read(pipe);
    Write(pipe);
  }

  void WaitUntilDue(Pipe& pipe) {
    if (pipe.timer_active) return;
    pipe.timer_active = true;
    pipe.timer.expires_at(pipe.chunks.front().due);
    auto self = shared_from_this();
    pipe.timer.async_wait([this, self, &pipe](const asio::error_code& /*error*/) {
      pipe.timer_active = false;
      if (!closed_) Write(pipe);
    });
  }

  // Shortens `data` to what is left of the truncation limit; returns true when the limit is
  // reached, in which case the connection closes after this data.
  bool ApplyTruncation(const Pipe& pipe, std::string& data) const {
    int64_t limit = link_->faults().truncate_after;
    if (limit < 0 || &pipe == &to_target_) return false;
    int64_t remaining = std::max<int64_t>(0, limit - pipe.forwarded);
    if (static_cast<int64_t>(data.size()) < remaining) return false;
    data.resize(static_cast<size_t>(remaining));
    return true;
  }

  void ForwardEnd(Pipe& pipe, EndKind end) {
    if (end == EndKind::kReset) {
      Reset();
      return;
    }
    asio::error_code ignored;
    SinkOf(pipe).shutdown(tcp::socket::shutdown_send, ignored);
    pipe.end_forwarded = true;
    if (to_target_.end_forwarded && to_client_.end_forwarded) Close();
  }

  void Close() {
    asio::error_code ignored;
    client_socket_.close(ignored);
    target_socket_.close(ignored);
    FinishClosing();
  }

  void CancelTimers() {
    to_target_.timer.cancel();
    to_client_.timer.cancel();
  }

  void FinishClosing() {
    closed_ = true;
    CancelTimers();
    link_->Remove(shared_from_this());
  }

  ProxyLink* link_;
  tcp::socket client_socket_;
  tcp::socket target_socket_;
  Pipe to_target_;
  Pipe to_client_;
  bool connecting_ = false;
  bool connected_ = false;
  bool closed_ = false;
};

ProxyLink::ProxyLink(asio::io_context& io, LinkSettings settings, uint64_t seed)
    : io_(io),
      settings_(std::move(settings)),
      listen_endpoint_(ParseEndpoint(settings_.listen)),
      target_endpoint_(ParseEndpoint(settings_.target)),
      probe_timer_(io),
      random_(seed) {
  UpdateAcceptor();
}

ProxyLink::~ProxyLink() {
  for (const auto& connection : connections_) connection->CloseWithoutCallback();
}

void ProxyLink::SetFaults(const LinkFaults& faults) {
  settings_.faults = faults;
  UpdateAcceptor();
  auto connections = connections_;
  for (const auto& connection : connections) connection->ResumeTransfers();
}

void ProxyLink::ResetConnections() {
  auto connections = connections_;
  for (const auto& connection : connections) connection->Reset();
}

void ProxyLink::UpdateAcceptor() {
  bool listen = !settings_.faults.refuse && !target_refuses_;
  if (!listen) {
    acceptor_.reset();
    return;
  }
  if (acceptor_) return;
  try {
    acceptor_ = std::make_unique<tcp::acceptor>(io_, listen_endpoint_, true);
  } catch (const asio::system_error& error) {
    throw Error(ErrorKind::kInternal, "link " + settings_.name + ": cannot listen on " +
                                          settings_.listen + ": " + error.what());
  }
  Accept();
}

void ProxyLink::Accept() {
  acceptor_->async_accept([this](const asio::error_code& error, tcp::socket socket) {
    if (error) return;
    ++accepted_;
    auto connection = std::make_shared<ProxyConnection>(*this, std::move(socket));
    connections_.insert(connection);
    connection->ResumeTransfers();
    if (acceptor_) Accept();
  });
}

void ProxyLink::OnTargetRefused() {
  if (target_refuses_) return;
  target_refuses_ = true;
  UpdateAcceptor();
  ProbeTarget();
}

void ProxyLink::ProbeTarget() {
  probe_timer_.expires_after(kProbeInterval);
  probe_timer_.async_wait([this](const asio::error_code& error) {
    if (error) return;
    auto socket = std::make_shared<tcp::socket>(io_);
    socket->async_connect(target_endpoint_, [this, socket](const asio::error_code& connect_error) {
      if (connect_error == asio::error::operation_aborted) return;
      if (connect_error) {
        ProbeTarget();
        return;
      }
      target_refuses_ = false;
      UpdateAcceptor();
    });
  });
}

Duration ProxyLink::NextDelay() {
  const LinkFaults& faults = settings_.faults;
  if (faults.jitter.count() == 0) return faults.delay;
  return faults.delay + Duration(random_() % faults.jitter.count());
}

void ProxyLink::Remove(const std::shared_ptr<ProxyConnection>& connection) {
  connections_.erase(connection);
}

json ProxyLink::ToJson() const {
  const LinkFaults& faults = settings_.faults;
  return {{"name", settings_.name},
          {"listen", settings_.listen},
          {"target", settings_.target},
          {"delay_ms", static_cast<double>(faults.delay.count()) / 1000.0},
          {"jitter_ms", static_cast<double>(faults.jitter.count()) / 1000.0},
          {"drop", DropName(faults)},
          {"freeze", faults.freeze},
          {"refuse", faults.refuse},
          {"truncate_after", faults.truncate_after},
          {"target_refuses", target_refuses_},
          {"connections", connections_.size()},
          {"accepted", accepted_},
          {"bytes_to_target", bytes_to_target_},
          {"bytes_to_client", bytes_to_client_}};
}

}  // namespace ebonylift::standin
