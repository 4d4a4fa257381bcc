#define BOOST_TEST_MODULE control
#include "daemon/control.h"

#include <arpa/inet.h>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/test/included/unit_test.hpp>
#include <filesystem>
#include <future>
#include <mutex>
#include <set>
#include <thread>

#include "adapters/rpc.h"
#include "base/hash.h"
#include "peer.capnp.h"
#include "tests/support/free_port.h"

// Runs several control threads in one process, connected over loopback TCP.

namespace ebonylift {
namespace {

constexpr Duration kTimeout = seconds(20);  // long enough for a busy machine

bool WaitFor(const std::function<bool()>& condition, Duration timeout = kTimeout) {
  Time deadline = SteadyNow() + timeout;
  while (!condition()) {
    if (SteadyNow() >= deadline) return false;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return true;
}

// Listens on a port of 127.0.0.1 that nothing else takes after Close(); see FreePort().
class TestListener {
 public:
  TestListener() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    port_ = test::FreePort();
    address.sin_port = htons(port_);
    BOOST_REQUIRE(bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    listen(fd_, 64);
  }
  ~TestListener() { Close(); }
  TestListener(const TestListener&) = delete;
  TestListener& operator=(const TestListener&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }

 private:
  int fd_;
  uint16_t port_ = 0;
};

using test::FreeAddress;

int ConnectTo(const std::string& address) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  to.sin_port = htons(static_cast<uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

// A host that drops SYN packets, as one without power does, until StartAccepting(). Its accept
// queue is full, so the kernel drops the SYN packets of further connections.
class UnreachableHost {
 public:
  UnreachableHost() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    BOOST_REQUIRE(bind(fd_, reinterpret_cast<sockaddr*>(&address), size) == 0);
    BOOST_REQUIRE(listen(fd_, 0) == 0);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    filler_ = ConnectTo(address_);
    BOOST_REQUIRE(filler_ >= 0);
  }
  ~UnreachableHost() {
    close(filler_);
    close(fd_);
  }
  UnreachableHost(const UnreachableHost&) = delete;
  UnreachableHost& operator=(const UnreachableHost&) = delete;

  const std::string& address() const { return address_; }

  // Empties the accept queue and waits for the next connection. Returns false after `timeout`.
  bool StartAccepting(Duration timeout) const {
    close(accept(fd_, nullptr, nullptr));
    return WaitFor(
        [this] {
          int connection = accept(fd_, nullptr, nullptr);
          if (connection >= 0) close(connection);
          return connection >= 0;
        },
        timeout);
  }

 private:
  int fd_;
  int filler_ = -1;  // the connection that fills the accept queue
  std::string address_;
};

struct TestHost {
  std::string id;
  std::string domain = "d1";
  std::string region = "r1";
  std::string address = FreeAddress();
  std::string key = "cluster key";
  uint64_t incarnation = 1;
  std::string data_folder;
  bool voter = false;
  uint32_t peer_features = kAllPeerFeatures;
  std::set<std::string> strangers;      // hosts to which it does not connect
  Duration period = milliseconds(500);  // between probes
  std::function<void(const SuspectReport&)> on_suspect_report;
  std::function<std::vector<SuspectReport>()> known_suspects;
  std::function<std::optional<LimitAsk>(Time now)> take_limit_ask;
  std::function<void(const std::optional<LimitAnswer>& answer, Time sent)> on_limit_answer;
  std::shared_ptr<ControlPort> port;
};

ControlPeer MakePeer(const TestHost& host) {
  ControlPeer peer;
  peer.identity = {HostId(host.id), RegionId(host.region), DomainId(host.domain)};
  peer.rpc_address = host.address;
  peer.http_address = host.id + ":80";
  return peer;
}

class Cluster {
 public:
  explicit Cluster(std::vector<TestHost> hosts) : hosts_(std::move(hosts)) {
    for (size_t i = 0; i < hosts_.size(); ++i) Start(i);
  }

  void Start(size_t i) {
    TestHost& host = hosts_[i];
    ControlOptions options;
    options.self = MakePeer(host).identity;
    options.incarnation = host.incarnation;
    options.peer_address = host.address;
    options.http_address = host.id + ":80";
    options.cluster_key = host.key;
    options.on_suspect_report = host.on_suspect_report;
    options.known_suspects = host.known_suspects;
    options.take_limit_ask = host.take_limit_ask;
    options.on_limit_answer = host.on_limit_answer;
    options.data_folder = host.data_folder;
    options.membership.period = host.period;
    options.peer_features = host.peer_features;
    for (const TestHost& peer : hosts_) {
      if (peer.voter) options.voters.emplace_back(peer.id);
      bool connects = peer.id != host.id && host.strangers.count(peer.id) == 0;
      if (connects) options.peers.push_back(MakePeer(peer));
    }
    host.port = StartControl(std::move(options));
  }

  void Stop(size_t i) { hosts_[i].port.reset(); }
  TestHost& host(size_t i) { return hosts_[i]; }
  ControlPort* port(size_t i) { return hosts_[i].port.get(); }

 private:
  std::vector<TestHost> hosts_;
};

TestHost MakeHost(const std::string& id, const std::string& domain = "d1",
                  const std::string& region = "r1") {
  TestHost host;
  host.id = id;
  host.domain = domain;
  host.region = region;
  return host;
}

HostStatus StatusOf(ControlPort* port, const std::string& id) {
  for (const HostEntry& host : port->View()->hosts) {
    if (host.id.value() == id) return host.status;
  }
  return HostStatus::kFailed;
}

bool SeesAlive(ControlPort* port, const std::string& id) {
  return StatusOf(port, id) == HostStatus::kAlive;
}

bool HasServer(ControlPort* port, const std::string& id) {
  for (const BackendServer& server : port->View()->servers) {
    if (server.announced.id.value() == id) return true;
  }
  return false;
}

Announcement MakeAnnouncement(const std::string& id, uint64_t incarnation, uint64_t seq) {
  Announcement announcement;
  announcement.id = ServerId(id);
  announcement.incarnation = incarnation;
  announcement.seq = seq;
  announcement.domain = DomainId("d1");
  announcement.region = RegionId("r1");
  announcement.address = "10.0.0.1:80";
  ServedModel model;
  model.name = ModelId("m1");
  announcement.models.push_back(model);
  announcement.load.slots = 8;
  return announcement;
}

std::optional<Error> AnnounceTo(ControlPort* port, const Announcement& announcement) {
  auto answer = std::make_shared<std::promise<std::optional<Error>>>();
  port->Announce(announcement,
                 [answer](std::optional<Error> error) { answer->set_value(std::move(error)); });
  return answer->get_future().get();
}

ConfigPut RegionPut(const std::string& region, const std::string& request_id, uint64_t base) {
  ConfigPut put;
  put.path = "/deployment/regions/" + region;
  put.value = R"({"domains":["domain-of-)" + region + R"("],"record_hosts":["a"]})";
  put.request_id = request_id;
  put.base_revision = base;
  put.operator_name = "test";
  return put;
}

PutAnswer PutTo(ControlPort* port, const ConfigPut& put) {
  auto answer = std::make_shared<std::promise<PutAnswer>>();
  port->Put(put, [answer](PutAnswer result) { answer->set_value(std::move(result)); });
  PutAnswer result = answer->get_future().get();
  if (result.error) {
    BOOST_TEST_MESSAGE(put.request_id << ": " << LookupError(*result.error).code << ", "
                                      << result.message);
  }
  return result;
}

class TempFolder {
 public:
  TempFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "control-XXXXXX").string();
    path_ = mkdtemp(pattern.data());
  }
  ~TempFolder() { std::filesystem::remove_all(path_); }
  TempFolder(const TempFolder&) = delete;
  TempFolder& operator=(const TempFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

std::string StatusText(ControlPort* port) {
  auto answer = std::make_shared<std::promise<std::string>>();
  port->Status([answer](std::string status) { answer->set_value(std::move(status)); });
  return answer->get_future().get();
}

// Returns whether an event with this id, and with a field that contains `value`, was logged after
// `since`.
bool HasLogged(EventId id, HlcStamp since, const std::string& value) {
  for (const Event& event : ProcessEvents().Read(since, "", EventRecord::kCapacity)) {
    if (event.id != id) continue;
    for (const EventField& field : event.fields) {
      if (field.value.find(value) != std::string::npos) return true;
    }
  }
  return false;
}

// An RPC connection to a host that is not logged in yet (interface Gate of peer.capnp).
class GateClient {
 public:
  GateClient(kj::AsyncIoContext* io, const std::string& address)
      : io_(io),
        stream_(io->provider->getNetwork()
                    .parseAddress(address.c_str())
                    .wait(io->waitScope)
                    ->connect()
                    .wait(io->waitScope)),
        client_(*stream_),
        gate_(client_.bootstrap().castAs<wire::Gate>()) {
    auto answer = gate_.challengeRequest().send().wait(io->waitScope);
    nonce_ = answer.getNonce().cStr();
  }

  const std::string& nonce() const { return nonce_; }

  bool LogIn(const std::string& host, const std::string& mac) {
    auto request = gate_.loginRequest();
    request.setHost(host);
    request.setIncarnation(1);
    request.setMac(mac);
    try {
      request.send().wait(io_->waitScope);
    } catch (const kj::Exception&) {
      return false;
    }
    return true;
  }

 private:
  kj::AsyncIoContext* io_;
  kj::Own<kj::AsyncIoStream> stream_;
  capnp::TwoPartyClient client_;
  wire::Gate::Client gate_;
  std::string nonce_;
};

}  // namespace

// Guards against an announcement that is not relayed to the other hosts of the failure domain.
BOOST_AUTO_TEST_CASE(AnnouncementReachesHostsOfTheFailureDomain) {
  Cluster cluster({MakeHost("a"), MakeHost("b"), MakeHost("c", "d2", "r2")});
  BOOST_TEST_REQUIRE(WaitFor([&]() {
    return SeesAlive(cluster.port(0), "b") && SeesAlive(cluster.port(1), "a") &&
           SeesAlive(cluster.port(0), "c");
  }));
  BOOST_TEST(!AnnounceTo(cluster.port(0), MakeAnnouncement("s1", 1, 1)).has_value());
  BOOST_TEST(WaitFor([&]() { return HasServer(cluster.port(1), "s1"); }));
  BOOST_TEST(HasServer(cluster.port(0), "s1"));
  BOOST_TEST(!HasServer(cluster.port(2), "s1"));
  // A host of another failure domain gets only the summary.
  BOOST_TEST(WaitFor([&]() {
    for (const DomainSummary& row : cluster.port(2)->View()->summaries) {
      if (row.served == "m1" && row.slots == 8 && row.domain.value() == "d1") return true;
    }
    return false;
  }));
  BOOST_TEST((AnnounceTo(cluster.port(0), MakeAnnouncement("s1", 0, 9))->kind() ==
              ErrorKind::kBadRequest));
  Announcement foreign = MakeAnnouncement("s2", 1, 1);
  foreign.domain = DomainId("d2");
  BOOST_TEST((AnnounceTo(cluster.port(0), foreign)->kind() == ErrorKind::kForbidden));
  BOOST_TEST(StatusText(cluster.port(0)).find("\"server\":\"s1\"") != std::string::npos);
}

// Guards against hosts of the previous release that are sent what they do not understand, and
// against a host that restarted and is sent changes of lists that it does not have.
BOOST_AUTO_TEST_CASE(HostsOfBothReleasesLearnOfWorkAndLiveServers) {
  Cluster cluster({MakeHost("a"), MakeHost("b"), MakeHost("c")});
  cluster.Stop(1);
  cluster.host(1).peer_features = 0;
  cluster.Start(1);
  BOOST_TEST_REQUIRE(WaitFor([&]() {
    return SeesAlive(cluster.port(0), "b") && SeesAlive(cluster.port(0), "c") &&
           SeesAlive(cluster.port(1), "a") && SeesAlive(cluster.port(2), "a");
  }));
  Announcement announcement = MakeAnnouncement("s1", 1, 1);
  announcement.capabilities = {kNoLoadReports};
  uint64_t seq = 0;
  int in_flight = 0;
  // Announces the server again and changes its work, until a view of `host` has the work.
  auto learns_of_work = [&](size_t host) {
    return WaitFor([&]() {
      announcement.seq = ++seq;
      AnnounceTo(cluster.port(0), announcement);
      in_flight = in_flight % 1'000 + 1;
      cluster.port(0)->ShareWork({{announcement.id, in_flight, 0, std::nullopt}});
      std::this_thread::sleep_for(milliseconds(100));
      for (const BackendServer& server : cluster.port(host)->View()->servers) {
        if (server.other_hosts_requests > in_flight / 2) return true;
      }
      return false;
    });
  };
  // Longer than the time to live, of which the full announcement alone would not remind.
  for (int i = 0; i < 30; ++i) {
    BOOST_TEST_REQUIRE(learns_of_work(1));
    BOOST_TEST_REQUIRE(learns_of_work(2));
  }
  BOOST_TEST(HasServer(cluster.port(1), "s1"));
  BOOST_TEST(HasServer(cluster.port(2), "s1"));
  cluster.Stop(2);
  cluster.host(2).incarnation = 2;
  cluster.Start(2);
  BOOST_TEST(learns_of_work(2));
  BOOST_TEST(WaitFor(
      [&]() { return !HasServer(cluster.port(1), "s1") && !HasServer(cluster.port(2), "s1"); }));
}

// Guards against a load report that other hosts do not apply, and against a changed announcement
// that is relayed as if only its load had changed.
BOOST_AUTO_TEST_CASE(LoadAndChangesReachTheOtherHost) {
  Cluster cluster({MakeHost("a"), MakeHost("b")});
  BOOST_TEST_REQUIRE(WaitFor(
      [&]() { return SeesAlive(cluster.port(0), "b") && SeesAlive(cluster.port(1), "a"); }));
  uint64_t seq = 0;
  auto reaches_other_host = [&](const std::string& address, int running) {
    return WaitFor([&]() {
      Announcement next = MakeAnnouncement("s1", 1, ++seq);
      next.address = address;
      next.load.running = running;
      AnnounceTo(cluster.port(0), next);
      for (const BackendServer& server : cluster.port(1)->View()->servers) {
        const Announcement& known = server.announced;
        if (known.address == address && known.load.running == running) return true;
      }
      return false;
    });
  };
  BOOST_TEST(reaches_other_host("10.0.0.1:80", 0));
  BOOST_TEST(reaches_other_host("10.0.0.1:80", 5));
  BOOST_TEST(reaches_other_host("10.0.0.2:80", 5));
  BOOST_TEST(reaches_other_host("10.0.0.2:80", 2));
  // A restarted host has no registered servers and cannot apply refreshes, which carry only the
  // load.
  cluster.Stop(1);
  cluster.host(1).incarnation = 2;
  cluster.Start(1);
  BOOST_TEST(reaches_other_host("10.0.0.2:80", 7));
}

// Guards against a server that stays routable for more than 2 s after its last announcement. The
// limits below add the publish interval and scheduling delays.
BOOST_AUTO_TEST_CASE(ServerExpiresAfterRelayStops) {
  Cluster cluster({MakeHost("a"), MakeHost("b")});
  BOOST_TEST_REQUIRE(WaitFor(
      [&]() { return SeesAlive(cluster.port(0), "b") && SeesAlive(cluster.port(1), "a"); }));
  Time last;
  for (uint64_t seq = 1; seq <= 3; ++seq) {
    last = SteadyNow();
    AnnounceTo(cluster.port(0), MakeAnnouncement("s1", 1, seq));
    BOOST_TEST_REQUIRE(WaitFor([&]() { return HasServer(cluster.port(1), "s1"); }));
  }
  // The host that received the announcements stops, so nothing is relayed to the other one.
  cluster.Stop(0);
  for (const BackendServer& server : cluster.port(1)->View()->servers) {
    BOOST_TEST((server.expires_at <= last + milliseconds(2200)));
  }
  BOOST_TEST(WaitFor([&]() { return !HasServer(cluster.port(1), "s1"); }));
  BOOST_TEST(ToMillis(SteadyNow() - last) < 3000);
}

// Guards against a host that joins without the cluster key.
BOOST_AUTO_TEST_CASE(WrongClusterKeyIsRefused) {
  HlcStamp since = ProcessClock().Now();
  std::vector<TestHost> hosts = {MakeHost("a"), MakeHost("b"), MakeHost("x")};
  hosts[2].key = "another key";
  Cluster cluster(std::move(hosts));
  BOOST_TEST_REQUIRE(WaitFor([&]() { return SeesAlive(cluster.port(0), "b"); }));
  BOOST_TEST(WaitFor([&]() { return HasLogged(EventId::kPeerLoginRefused, since, "wrong mac"); }));
  AnnounceTo(cluster.port(2), MakeAnnouncement("s1", 1, 1));
  BOOST_TEST(!SeesAlive(cluster.port(0), "x"));
  BOOST_TEST(!SeesAlive(cluster.port(2), "a"));
  BOOST_TEST(!HasServer(cluster.port(0), "s1"));
}

// Guards against a recorded login that is replayed on another connection or twice on the same one,
// and against a login with the right key by a host that is not configured.
BOOST_AUTO_TEST_CASE(ReplayedLoginIsRefused) {
  HlcStamp since = ProcessClock().Now();
  Cluster cluster({MakeHost("a"), MakeHost("b")});
  kj::AsyncIoContext io = kj::setupAsyncIo();
  const std::string key = cluster.host(0).key;
  auto mac = [&](const std::string& nonce, const std::string& host) {
    return HmacHex(key, "login\n" + nonce + "\na\n" + host + "\n1");
  };
  GateClient first(&io, cluster.host(0).address);
  GateClient second(&io, cluster.host(0).address);
  GateClient third(&io, cluster.host(0).address);
  std::string recorded = mac(first.nonce(), "b");
  BOOST_TEST(first.nonce() != second.nonce());
  BOOST_TEST(!second.LogIn("b", recorded));
  BOOST_TEST(HasLogged(EventId::kPeerLoginRefused, since, "wrong mac"));
  BOOST_TEST(first.LogIn("b", recorded));
  BOOST_TEST(!first.LogIn("b", recorded));
  BOOST_TEST(HasLogged(EventId::kPeerLoginRefused, since, "second login"));
  BOOST_TEST(!third.LogIn("z", mac(third.nonce(), "z")));
  BOOST_TEST(HasLogged(EventId::kPeerLoginRefused, since, "unknown host"));
}

// Guards against a message above the size limit: a header that declares 16 MiB must close the
// connection before the body is read, and must not affect other peers.
BOOST_AUTO_TEST_CASE(OversizedMessageIsRefused) {
  HlcStamp since = ProcessClock().Now();
  Cluster cluster({MakeHost("a"), MakeHost("b")});
  BOOST_TEST_REQUIRE(WaitFor([&]() { return SeesAlive(cluster.port(0), "b"); }));
  int fd = ConnectTo(cluster.host(0).address);
  BOOST_TEST_REQUIRE(fd >= 0);
  const uint32_t header[2] = {0, (16u << 20) / 8};  // segment count minus 1, segment size in words
  BOOST_TEST(write(fd, header, sizeof(header)) == static_cast<ssize_t>(sizeof(header)));
  BOOST_TEST(WaitFor([&]() { return HasLogged(EventId::kPeerMessageRefused, since, ""); }));
  // The peer may send an abort message before it closes the connection.
  char byte = 0;
  ssize_t got = 0;
  do {
    got = read(fd, &byte, 1);
  } while (got > 0);
  BOOST_TEST(got <= 0);
  close(fd);
  BOOST_TEST(SeesAlive(cluster.port(0), "b"));
}

// Guards against connections that stay open without a login.
BOOST_AUTO_TEST_CASE(ConnectionWithoutLoginIsClosed) {
  HlcStamp since = ProcessClock().Now();
  Cluster cluster({MakeHost("a")});
  int fd = ConnectTo(cluster.host(0).address);
  BOOST_TEST_REQUIRE(fd >= 0);
  char byte = 0;
  BOOST_TEST(read(fd, &byte, 1) <= 0);
  close(fd);
  BOOST_TEST(WaitFor([&]() { return HasLogged(EventId::kPeerLoginRefused, since, "no login"); }));
}

// Guards against a control thread that blocks on a peer that accepts connections but never answers,
// or on a peer that does not exist.
BOOST_AUTO_TEST_CASE(UnresponsivePeerDoesNotBlock) {
  TestListener silent;  // the kernel accepts connections, but nothing reads from them
  std::vector<TestHost> hosts = {MakeHost("a"), MakeHost("b")};
  ControlOptions options;
  options.self = MakePeer(hosts[0]).identity;
  options.incarnation = 1;
  options.peer_address = hosts[0].address;
  options.cluster_key = hosts[0].key;
  options.peers = {MakePeer(hosts[1]), MakePeer(MakeHost("gone")), MakePeer(MakeHost("silent"))};
  options.peers[2].rpc_address = silent.address();
  Cluster other({hosts[1], hosts[0]});
  other.Stop(1);
  std::unique_ptr<ControlPort> port = StartControl(std::move(options));
  BOOST_TEST_REQUIRE(WaitFor([&]() { return SeesAlive(port.get(), "b"); }));
  Duration longest{0};
  for (uint64_t seq = 1; seq <= 100; ++seq) {
    Time start = SteadyNow();
    AnnounceTo(port.get(), MakeAnnouncement("s1", 1, seq));
    longest = std::max(longest, SteadyNow() - start);
    std::this_thread::sleep_for(milliseconds(10));
  }
  BOOST_TEST_MESSAGE("longest call: " << ToMillis(longest) << " ms");
  BOOST_TEST(ToMillis(longest) < 500);
  BOOST_TEST(SeesAlive(port.get(), "b"));
}

// Guards against a suspended host that blocks the others, and against old announcements in its
// socket buffers that register expired servers again when it resumes.
BOOST_AUTO_TEST_CASE(SuspendedHostDoesNotBlockOrReviveExpiredServers) {
  std::vector<TestHost> hosts = {MakeHost("a"), MakeHost("b"), MakeHost("c")};
  std::promise<void> resume;
  std::shared_future<void> resumed = resume.get_future().share();
  std::atomic<bool> suspended{false};
  // The callback runs on the control thread of b and blocks it.
  hosts[1].on_suspect_report = [&suspended, resumed](const SuspectReport&) {
    suspended = true;
    resumed.wait();
  };
  Cluster cluster(std::move(hosts));
  BOOST_TEST_REQUIRE(WaitFor([&]() {
    return SeesAlive(cluster.port(0), "b") && SeesAlive(cluster.port(1), "a") &&
           SeesAlive(cluster.port(2), "b");
  }));
  AnnounceTo(cluster.port(0), MakeAnnouncement("s1", 1, 1));
  BOOST_TEST_REQUIRE(WaitFor([&]() { return HasServer(cluster.port(1), "s1"); }));
  cluster.port(0)->ReportSuspects({{1, ServerId("s9"), false, false, 1}});
  BOOST_TEST_REQUIRE(WaitFor([&]() { return suspended.load(); }));
  // These announcements reach only the socket buffers of b.
  Duration longest{0};
  for (uint64_t seq = 2; seq <= 50; ++seq) {
    Time start = SteadyNow();
    AnnounceTo(cluster.port(0), MakeAnnouncement("s1", 1, seq));
    longest = std::max(longest, SteadyNow() - start);
  }
  BOOST_TEST(ToMillis(longest) < 500);
  BOOST_TEST(WaitFor([&]() { return StatusOf(cluster.port(0), "b") == HostStatus::kFailed; }));
  BOOST_TEST(SeesAlive(cluster.port(0), "c"));
  BOOST_TEST(WaitFor([&]() { return !HasServer(cluster.port(0), "s1"); }));
  HlcStamp before = ProcessClock().Now();
  resume.set_value();
  BOOST_TEST(WaitFor(
      [&]() { return SeesAlive(cluster.port(0), "b") && SeesAlive(cluster.port(2), "b"); }));
  BOOST_TEST(!HasServer(cluster.port(1), "s1"));
  BOOST_TEST(!HasLogged(EventId::kServerAnnounced, before, "s1"));
  BOOST_TEST(!AnnounceTo(cluster.port(0), MakeAnnouncement("s1", 1, 51)).has_value());
  BOOST_TEST(WaitFor([&]() { return HasServer(cluster.port(1), "s1"); }));
}

// Guards against a draining host that other hosts do not show as leaving, and against a restarted
// host that does not become alive again.
BOOST_AUTO_TEST_CASE(DrainIsVisibleAndRestartedHostIsAliveAgain) {
  Cluster cluster({MakeHost("a"), MakeHost("b"), MakeHost("c", "d2", "r2")});
  BOOST_TEST_REQUIRE(WaitFor(
      [&]() { return SeesAlive(cluster.port(0), "b") && SeesAlive(cluster.port(2), "b"); }));
  Time start = SteadyNow();
  cluster.port(1)->StartDrain();
  for (size_t i : {0, 1, 2}) {
    BOOST_TEST(WaitFor([&]() { return StatusOf(cluster.port(i), "b") == HostStatus::kLeaving; }));
  }
  BOOST_TEST_MESSAGE("drain seen after " << ToMillis(SteadyNow() - start) << " ms");
  BOOST_TEST(ToMillis(SteadyNow() - start) < 3000);
  cluster.Stop(1);
  BOOST_TEST(WaitFor([&]() { return StatusOf(cluster.port(0), "b") == HostStatus::kFailed; }));
  cluster.host(1).incarnation = 2;
  cluster.Start(1);
  BOOST_TEST(WaitFor(
      [&]() { return SeesAlive(cluster.port(0), "b") && SeesAlive(cluster.port(2), "b"); }));
}

// Guards against an overloaded host that the views of other hosts do not show as overloaded.
BOOST_AUTO_TEST_CASE(OverloadIsVisibleToOtherHosts) {
  Cluster cluster({MakeHost("a"), MakeHost("b")});
  BOOST_TEST_REQUIRE(WaitFor([&]() { return SeesAlive(cluster.port(0), "b"); }));
  for (bool overloaded : {true, false}) {
    cluster.port(1)->SetOverloaded(overloaded);
    BOOST_TEST(WaitFor([&]() {
      for (const HostEntry& host : cluster.port(0)->View()->hosts) {
        if (host.id.value() == "b") return host.overloaded == overloaded;
      }
      return false;
    }));
  }
}

// Guards against suspect reports that are not sent to the hosts of all regions, through any of
// which a caller may return, or that a host misses because it was down when they were sent.
BOOST_AUTO_TEST_CASE(SuspectsReachTheHostsOfAllRegions) {
  struct Received {
    std::mutex mutex;
    std::set<std::string> notes;
    bool Has(const std::string& note) {
      std::lock_guard<std::mutex> lock(mutex);
      return notes.count(note) > 0;
    }
  };
  Received same_region;
  Received other_region;
  auto record_to = [](Received* to) {
    return [to](const SuspectReport& report) {
      std::lock_guard<std::mutex> lock(to->mutex);
      to->notes.insert(std::to_string(report.content) + report.server.value() +
                       (report.alone ? "!" : "") + (report.cleared ? "-" : "") +
                       std::string(static_cast<size_t>(report.losses), '+'));
    };
  };
  std::vector<TestHost> hosts = {MakeHost("a"), MakeHost("b", "d2", "r1"),
                                 MakeHost("c", "d3", "r2")};
  hosts[1].on_suspect_report = record_to(&same_region);
  hosts[2].on_suspect_report = record_to(&other_region);
  Cluster cluster(std::move(hosts));
  BOOST_TEST_REQUIRE(WaitFor(
      [&]() { return SeesAlive(cluster.port(0), "b") && SeesAlive(cluster.port(0), "c"); }));
  cluster.port(0)->ReportSuspects({{7, ServerId("s1"), true, false, 2}});
  BOOST_TEST(WaitFor([&]() { return same_region.Has("7s1!++") && other_region.Has("7s1!++"); }));
  cluster.port(0)->ReportSuspects({{7, ServerId(), false, true, 0}});
  BOOST_TEST(WaitFor([&]() { return same_region.Has("7-") && other_region.Has("7-"); }));
  cluster.Stop(1);
  cluster.Stop(2);
  cluster.port(0)->ReportSuspects({{8, ServerId("s2"), false, false, 1}});
  for (size_t i : {1, 2}) {
    cluster.host(i).incarnation = 2;
    cluster.Start(i);
  }
  BOOST_TEST(WaitFor([&]() { return same_region.Has("8s2+") && other_region.Has("8s2+"); }));
}

// Guards against a host that never learns of suspects because the host that reported them has ended
// before it started.
BOOST_AUTO_TEST_CASE(HostThatConnectsLearnsAllThatOthersKnow) {
  std::vector<TestHost> hosts = {MakeHost("a"), MakeHost("b", "d2", "r1"),
                                 MakeHost("c", "d3", "r2")};
  std::atomic<bool> learned{false};
  hosts[1].known_suspects = [] {
    return std::vector<SuspectReport>{{7, ServerId(), false, false, 3, seconds(5)}};
  };
  hosts[2].on_suspect_report = [&learned](const SuspectReport& report) {
    if (report.content == 7 && report.losses == 3 && report.age == seconds(5)) learned = true;
  };
  Cluster cluster(std::move(hosts));
  BOOST_TEST(WaitFor([&]() { return learned.load(); }));
}

// Guards against a timeline that is not sorted by time or waits for a daemon that has stopped.
BOOST_AUTO_TEST_CASE(TimelineIsMergedInOrder) {
  Cluster cluster({MakeHost("a"), MakeHost("b"), MakeHost("c", "d2", "r2")});
  BOOST_TEST_REQUIRE(WaitFor(
      [&]() { return SeesAlive(cluster.port(0), "b") && SeesAlive(cluster.port(0), "c"); }));
  HlcStamp since = ProcessClock().Now();
  for (int i = 0; i < 10; ++i) {
    LogEvent(EventId::kRequestReceived, {{"request_id", "q" + std::to_string(i % 2)}});
  }
  cluster.Stop(2);
  auto answer = std::make_shared<std::promise<std::vector<Event>>>();
  cluster.port(0)->Timeline(since, "q1", 100, [answer](std::vector<Event> events) {
    answer->set_value(std::move(events));
  });
  std::vector<Event> events = answer->get_future().get();
  // The daemons of one process share the event record, so each event arrives twice; one is kept.
  BOOST_TEST(events.size() == 5u);
  BOOST_TEST(std::is_sorted(events.begin(), events.end(),
                            [](const Event& a, const Event& b) { return a.hlc < b.hlc; }));
}

// Guards against changes that a host outside the voters does not accept, that do not reach such
// hosts, that two operators can make on the same base, or that are lost by a restart.
BOOST_AUTO_TEST_CASE(PutThroughNonVoterReachesAllHosts) {
  TempFolder folder;
  std::vector<TestHost> hosts = {MakeHost("a"), MakeHost("b", "d2", "r2"),
                                 MakeHost("c", "d3", "r3"), MakeHost("e"),
                                 MakeHost("f", "d3", "r3")};
  for (size_t i : {0, 1, 2}) {
    hosts[i].voter = true;
    hosts[i].data_folder = folder.path() + "/" + hosts[i].id;
  }
  Cluster cluster(std::move(hosts));
  ConfigPut put = RegionPut("r1", "put-1", 0);
  PutAnswer answer;
  BOOST_TEST_REQUIRE(WaitFor([&]() {
    answer = PutTo(cluster.port(3), put);
    return !answer.error.has_value();
  }));
  Time accepted = SteadyNow();
  BOOST_TEST(answer.revision > 0u);
  for (size_t i = 0; i < 5; ++i) {
    BOOST_TEST_CONTEXT("host " << i) {
      BOOST_TEST(WaitFor([&]() {
        std::shared_ptr<const RoutingView> view = cluster.port(i)->View();
        return view->config->revision >= answer.revision &&
               view->config->regions.count(RegionId("r1")) == 1;
      }));
    }
  }
  BOOST_TEST_MESSAGE("applied on all hosts after " << ToMillis(SteadyNow() - accepted) << " ms");
  BOOST_TEST(ToMillis(SteadyNow() - accepted) < 7000);
  // A retry of the change gets the same answer; another change on the old base gets a conflict.
  BOOST_TEST(PutTo(cluster.port(4), put).revision == answer.revision);
  PutAnswer conflict = PutTo(cluster.port(4), RegionPut("r1", "put-2", 0));
  BOOST_TEST((conflict.error == ErrorKind::kConfigConflict));
  BOOST_TEST(conflict.current_value.has_value());
  for (size_t i : {0, 1, 2}) cluster.Stop(i);
  BOOST_TEST(PutTo(cluster.port(3), RegionPut("r2", "put-3", 0)).error.has_value());
  BOOST_TEST(cluster.port(3)->View()->config->revision >= answer.revision);
  for (size_t i : {0, 1, 2}) {
    cluster.host(i).incarnation = 2;
    cluster.Start(i);
    BOOST_TEST(cluster.port(i)->View()->config->revision >= answer.revision);
  }
  BOOST_TEST(WaitFor(
      [&]() { return !PutTo(cluster.port(3), RegionPut("r2", "put-3", 0)).error.has_value(); }));
}

// Guards against requests for shares of limits that do not find the leader, from a host outside the
// voters, and against no word to the host when there is none.
BOOST_AUTO_TEST_CASE(SharesOfLimitsComeFromTheLeader) {
  TempFolder folder;
  std::vector<TestHost> hosts = {MakeHost("a"), MakeHost("b"), MakeHost("c"), MakeHost("e")};
  for (size_t i : {0, 1, 2}) {
    hosts[i].voter = true;
    hosts[i].data_folder = folder.path() + "/" + hosts[i].id;
  }
  std::atomic<bool> pending{false};
  std::atomic<uint64_t> answers{0};
  std::atomic<uint64_t> failures{0};
  std::atomic<bool> has_share{false};
  hosts[3].take_limit_ask = [&](Time now) -> std::optional<LimitAsk> {
    if (pending.exchange(true)) return std::nullopt;
    LimitAsk ask;
    ask.sequence = static_cast<uint64_t>(now.time_since_epoch().count());
    LimitDemand row{LimitKey(WorkspaceId("w")), 100, 0, 1, 0, {}};
    row.limit = WorkspaceLimit{1000, 1000, LimitUnit::kRequests, 1};
    ask.rows.push_back(row);
    return ask;
  };
  hosts[3].on_limit_answer = [&](const std::optional<LimitAnswer>& answer, Time /*sent*/) {
    pending = false;
    ++(answer ? answers : failures);
    if (answer && answer->size() == 1 && answer->front().share > 0) has_share = true;
  };
  Cluster cluster(std::move(hosts));
  BOOST_TEST(WaitFor([&] { return answers > 0; }));
  // A new leader first waits for the leases of the previous one to end.
  BOOST_TEST(WaitFor([&] { return has_share.load(); }));
  for (size_t i : {0, 1, 2}) cluster.Stop(i);
  uint64_t before = failures;
  BOOST_TEST(WaitFor([&] { return failures > before + 1; }));
  cluster.Stop(3);
}

// Guards against hosts that learn of a revision only by a probe, because the leader does not tell
// them: with probes a minute apart, a host that is not connected to the leader would wait so long.
BOOST_AUTO_TEST_CASE(RevisionIsPassedOnByOtherHosts) {
  constexpr Duration kApplyTime = seconds(3);  // the platform's shortest bound
  TempFolder folder;
  std::vector<TestHost> hosts = {MakeHost("leader"), MakeHost("between", "d2", "r2"),
                                 MakeHost("far", "d3", "r3")};
  for (TestHost& host : hosts) host.period = seconds(60);
  hosts[0].voter = true;
  hosts[0].data_folder = folder.path() + "/leader";
  hosts[0].strangers = {"far"};
  hosts[2].strangers = {"leader"};
  Cluster cluster(std::move(hosts));
  auto has_revision = [&](size_t i, uint64_t revision) {
    return WaitFor([&] { return cluster.port(i)->View()->config->revision >= revision; });
  };
  BOOST_TEST_REQUIRE(WaitFor(
      [&] { return !PutTo(cluster.port(0), RegionPut("r1", "put-1", 0)).error.has_value(); }));
  BOOST_TEST_REQUIRE(has_revision(1, 1));
  BOOST_TEST_REQUIRE(has_revision(2, 1));
  PutAnswer answer = PutTo(cluster.port(0), RegionPut("r2", "put-2", 0));
  BOOST_TEST_REQUIRE(!answer.error.has_value());
  Time accepted = SteadyNow();
  BOOST_TEST(has_revision(2, answer.revision));
  BOOST_TEST(ToMillis(SteadyNow() - accepted) < ToMillis(kApplyTime));
}

// Guards against changes that are refused while a leader is being elected, and against changes that
// wait without limit when no leader can be elected.
BOOST_AUTO_TEST_CASE(PutWaitsForALeaderForABoundedTime) {
  TempFolder folder;
  std::vector<TestHost> hosts = {MakeHost("a"), MakeHost("b", "d2", "r2"),
                                 MakeHost("c", "d3", "r3")};
  for (TestHost& host : hosts) {
    host.voter = true;
    host.data_folder = folder.path() + "/" + host.id;
  }
  Cluster cluster(std::move(hosts));
  PutAnswer first = PutTo(cluster.port(0), RegionPut("r1", "put-1", 0));
  BOOST_TEST(!first.error.has_value(), first.message);
  cluster.Stop(1);
  cluster.Stop(2);
  // The leader steps down after an election timeout.
  BOOST_TEST(WaitFor([&] {
    Time sent = SteadyNow();
    PutAnswer answer = PutTo(cluster.port(0), RegionPut("r2", "put-2", 0));
    bool refused = answer.error == ErrorKind::kNoQuorum;
    if (refused) BOOST_TEST(ToMillis(SteadyNow() - sent) < 4'000);
    return refused || answer.error == ErrorKind::kConfigUnknown;
  }));
}

// Guards against a host that was down during configuration changes and does not catch up.
BOOST_AUTO_TEST_CASE(RestartedHostCatchesUp) {
  TempFolder folder;
  std::vector<TestHost> hosts = {MakeHost("a"), MakeHost("b"), MakeHost("c", "d2", "r2")};
  hosts[0].voter = true;
  hosts[0].data_folder = folder.path() + "/a";
  Cluster cluster(std::move(hosts));
  cluster.Stop(2);
  uint64_t revision = 0;
  for (int i = 0; i < 30; ++i) {
    std::string name = "r" + std::to_string(i);
    BOOST_TEST_REQUIRE(WaitFor([&]() {
      PutAnswer answer = PutTo(cluster.port(0), RegionPut(name, "put-" + name, 0));
      revision = answer.revision;
      return !answer.error.has_value();
    }));
  }
  cluster.host(2).incarnation = 2;
  cluster.Start(2);
  BOOST_TEST(WaitFor([&]() { return cluster.port(2)->View()->config->revision == revision; }));
  BOOST_TEST(cluster.port(2)->View()->config->regions.size() == 30u);
}

// Guards against a missing option that is not detected at the start.
BOOST_AUTO_TEST_CASE(RefusesIncompleteOptions) {
  ControlOptions options;
  options.self.host = HostId("a");
  options.incarnation = 1;
  options.cluster_key = "key";
  options.peer_address = "127.0.0.1:0";
  StartControl(options);
  ControlOptions no_key = options;
  no_key.cluster_key.clear();
  BOOST_CHECK_THROW(StartControl(no_key), Error);
  ControlOptions no_incarnation = options;
  no_incarnation.incarnation = 0;
  BOOST_CHECK_THROW(StartControl(no_incarnation), Error);
  TestListener taken;
  ControlOptions no_port = options;
  no_port.peer_address = taken.address();
  BOOST_CHECK_THROW(StartControl(no_port), Error);
}

// Guards against a connection attempt that waits one second for the kernel to retransmit a lost SYN
// packet. After a power loss of all hosts, this left them unable to serve requests for 1.1 s after
// the start.
BOOST_AUTO_TEST_CASE(ReconnectsBeforeTheKernelRetransmitsTheSyn) {
  constexpr Duration kSynRetransmit = seconds(1);
  UnreachableHost unreachable;
  ControlOptions options;
  options.self = {HostId("a"), RegionId("r1"), DomainId("d1")};
  options.incarnation = 1;
  options.peer_address = FreeAddress();
  options.cluster_key = "cluster key";
  options.find_hosts = true;
  ControlPeer peer;
  peer.identity.host = HostId("b");
  peer.rpc_address = unreachable.address();
  options.peers = {peer};
  Time start = SteadyNow();
  std::unique_ptr<ControlPort> port = StartControl(std::move(options));
  std::this_thread::sleep_for(milliseconds(100));
  BOOST_TEST(unreachable.StartAccepting(kTimeout));
  BOOST_TEST(ToMillis(SteadyNow() - start) < ToMillis(kSynRetransmit));
}

}  // namespace ebonylift
