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

constexpr size_t kReadBytes = 32 << 10;
constexpr Duration kProbeInterval = milliseconds(100);

int64_t Millis(const json& value) { return value.get<int64_t>(); }

void SetDrop(LinkFaults& faults, const std::string& drop) {
  if (drop != "none" && drop != "to_target" && drop != "to_client" && drop != "both") {
    throw Error(ErrorKind::kBadRequest, "drop is none, to_target, to_client or both");
  }
  faults.drop_to_target = drop == "to_target" || drop == "both";
  faults.drop_to_client = drop == "to_client" || drop == "both";
}

void SetField(LinkFaults& faults, const std::string& name, const json& value) {
  if (name == "delay_ms") {
    faults.delay = milliseconds(Millis(value));
  } else if (name == "delay_us") {
    faults.delay = Duration(Millis(value));
  } else if (name == "jitter_ms") {
    faults.jitter = milliseconds(Millis(value));
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

// What was read and when it may be written.
struct Piece {
  Time due;
  std::string data;
  EndKind end = EndKind::kNone;
};

// One direction of a connection.
struct Pipe {
  explicit Pipe(asio::io_context& io) : timer(io) {}
  std::array<char, kReadBytes> buffer{};
  std::deque<Piece> pieces;
  std::string writing;  // owns the bytes of the write under way
  asio::steady_timer timer;
  size_t buffered = 0;
  int64_t forwarded = 0;
  Time last_due;
  bool read_active = false;
  bool write_active = false;
  bool timer_active = false;
  bool ended = false;    // nothing more is read
  bool drained = false;  // the end was passed on
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
        client_(std::move(client)),
        target_(link.io_),
        to_target_(link.io_),
        to_client_(link.io_) {}

  // Goes on after the faults of the link changed.
  void Update() {
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
    ResetSocket(client_);
    ResetSocket(target_);
    Finish();
  }

  // The link is being destroyed; it is not called back.
  void Detach() {
    closed_ = true;
    ResetSocket(client_);
    ResetSocket(target_);
    CancelTimers();
  }

 private:
  void Connect() {
    connecting_ = true;
    auto self = shared_from_this();
    target_.async_connect(link_->target_, [this, self](const asio::error_code& error) {
      if (closed_) return;
      if (error) {
        if (error == asio::error::connection_refused) link_->OnTargetRefused();
        Reset();
        return;
      }
      asio::error_code ignored;
      target_.set_option(tcp::no_delay(true), ignored);
      client_.set_option(tcp::no_delay(true), ignored);
      connected_ = true;
      Update();
    });
  }

  tcp::socket& SourceOf(const Pipe& pipe) { return &pipe == &to_target_ ? client_ : target_; }
  tcp::socket& SinkOf(const Pipe& pipe) { return &pipe == &to_target_ ? target_ : client_; }

  bool Blocked(const Pipe& pipe) const {
    const LinkFaults& faults = link_->faults();
    if (faults.freeze) return true;
    return &pipe == &to_target_ ? faults.drop_to_target : faults.drop_to_client;
  }

  void Read(Pipe& pipe) {
    if (closed_ || pipe.read_active || pipe.ended || link_->faults().freeze) return;
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
    Piece piece;
    piece.due = std::max(pipe.last_due, SteadyNow() + link_->NextDelay());
    piece.data.assign(pipe.buffer.data(), size);
    if (error) piece.end = error == asio::error::eof ? EndKind::kEof : EndKind::kReset;
    pipe.ended = piece.end != EndKind::kNone;
    pipe.last_due = piece.due;
    pipe.buffered += size;
    pipe.pieces.push_back(std::move(piece));
    Read(pipe);
    Write(pipe);
  }

  // Passes on the first piece when its time has come.
  void Write(Pipe& pipe) {
    if (closed_ || pipe.write_active || pipe.pieces.empty() || Blocked(pipe)) return;
    if (pipe.pieces.front().due > SteadyNow()) {
      WaitUntilDue(pipe);
      return;
    }
    Piece piece = std::move(pipe.pieces.front());
    pipe.pieces.pop_front();
    if (piece.end != EndKind::kNone && piece.data.empty()) {
      PassEnd(pipe, piece.end);
      return;
    }
    pipe.buffered -= piece.data.size();
    bool last = Truncate(pipe, piece.data);
    pipe.writing = std::move(piece.data);
    pipe.write_active = true;
    auto self = shared_from_this();
    asio::async_write(SinkOf(pipe), asio::buffer(pipe.writing),
                      [this, self, &pipe, last](const asio::error_code& error, size_t size) {
                        pipe.write_active = false;
                        if (!closed_) OnWritten(pipe, error, size, last);
                      });
  }

  void OnWritten(Pipe& pipe, const asio::error_code& error, size_t size, bool last) {
    if (error) {
      Reset();
      return;
    }
    pipe.forwarded += static_cast<int64_t>(size);
    (&pipe == &to_target_ ? link_->bytes_to_target_ : link_->bytes_to_client_) += size;
    if (last) {
      Close();
      return;
    }
    Read(pipe);
    Write(pipe);
  }

  void WaitUntilDue(Pipe& pipe) {
    if (pipe.timer_active) return;
    pipe.timer_active = true;
    pipe.timer.expires_at(pipe.pieces.front().due);
    auto self = shared_from_this();
    pipe.timer.async_wait([this, self, &pipe](const asio::error_code& /*error*/) {
      pipe.timer_active = false;
      if (!closed_) Write(pipe);
    });
  }

  // Cuts the data to the truncation limit; true when the connection ends with it.
  bool Truncate(const Pipe& pipe, std::string& data) const {
    int64_t limit = link_->faults().truncate_after;
    if (limit < 0 || &pipe == &to_target_) return false;
    int64_t left = std::max<int64_t>(0, limit - pipe.forwarded);
    if (static_cast<int64_t>(data.size()) < left) return false;
    data.resize(static_cast<size_t>(left));
    return true;
  }

  void PassEnd(Pipe& pipe, EndKind end) {
    if (end == EndKind::kReset) {
      Reset();
      return;
    }
    asio::error_code ignored;
    SinkOf(pipe).shutdown(tcp::socket::shutdown_send, ignored);
    pipe.drained = true;
    if (to_target_.drained && to_client_.drained) Close();
  }

  void Close() {
    asio::error_code ignored;
    client_.close(ignored);
    target_.close(ignored);
    Finish();
  }

  void CancelTimers() {
    to_target_.timer.cancel();
    to_client_.timer.cancel();
  }

  void Finish() {
    closed_ = true;
    CancelTimers();
    link_->Remove(shared_from_this());
  }

  ProxyLink* link_;
  tcp::socket client_;
  tcp::socket target_;
  Pipe to_target_;
  Pipe to_client_;
  bool connecting_ = false;
  bool connected_ = false;
  bool closed_ = false;
};

ProxyLink::ProxyLink(asio::io_context& io, LinkSettings settings, uint64_t seed)
    : io_(io),
      settings_(std::move(settings)),
      listen_(ParseEndpoint(settings_.listen)),
      target_(ParseEndpoint(settings_.target)),
      probe_timer_(io),
      random_(seed) {
  UpdateAcceptor();
}

ProxyLink::~ProxyLink() {
  for (const auto& connection : connections_) connection->Detach();
}

void ProxyLink::SetFaults(const LinkFaults& faults) {
  settings_.faults = faults;
  UpdateAcceptor();
  auto connections = connections_;
  for (const auto& connection : connections) connection->Update();
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
    acceptor_ = std::make_unique<tcp::acceptor>(io_, listen_, true);
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
    connection->Update();
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
    socket->async_connect(target_, [this, socket](const asio::error_code& refused) {
      if (refused == asio::error::operation_aborted) return;
      if (refused) {
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
