#ifndef EBONYLIFT_TESTS_SUPPORT_FAKE_CONTROL_H_
#define EBONYLIFT_TESTS_SUPPORT_FAKE_CONTROL_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ports/control_port.h"

namespace ebonylift::test {

// Publishes a view and counts how often it is read. Ignores all else.
class FakeControl : public ControlPort {
 public:
  void Announce(const Announcement& /*announcement*/,
                std::function<void(std::optional<Error>)> /*done*/) override {}
  void Leave(const ServerId& /*server*/, uint64_t /*incarnation*/,
             std::function<void()> /*done*/) override {}
  void Put(const ConfigPut& /*put*/, std::function<void(PutAnswer)> /*done*/) override {}
  void Read(const std::string& /*path*/, std::function<void(ConfigRead)> /*done*/) override {}
  void ReadLinearizable(const std::string& /*path*/,
                        std::function<void(LinearizableRead)> /*done*/) override {}
  void History(const std::string& /*path*/, size_t /*limit*/,
               std::function<void(std::vector<ConfigChange>)> /*done*/) override {}
  void Watch(uint64_t /*from*/, Duration /*timeout*/,
             std::function<void(std::vector<ConfigChange>)> /*done*/) override {}
  void ReportSuspects(std::vector<SuspectReport> sent) override {
    reports.insert(reports.end(), sent.begin(), sent.end());
  }
  void Timeline(HlcStamp /*since*/, const std::string& /*request_id*/, size_t /*limit*/,
                std::function<void(std::vector<Event>)> /*done*/) override {}
  void Status(std::function<void(StatusJson)> /*done*/) override {}
  void ShareWork(std::vector<ServerWork> /*work*/) override {}
  void ReportRoom(RoomReport report) override { room_reports.push_back(std::move(report)); }
  void AskForLimits() override { ++limit_asks; }
  void ShareStreams(std::map<HostId, std::vector<StreamRecord>> /*by_holder*/) override {}
  void FindStream(std::vector<HostId> /*hosts*/, uint64_t /*stream*/,
                  std::function<void(const StreamSearch&)> done) override {
    done({std::nullopt, true});
  }
  void FindVersions(std::vector<HostId> hosts, std::string /*served*/,
                    std::function<void(const VersionSearch&)> done) override {
    done({known_versions, std::move(hosts)});
  }
  void StartDrain() override {}
  void SetOverloaded(bool /*overloaded*/) override {}
  std::shared_ptr<const RoutingView> View() const override {
    ++reads;
    return view;
  }

  std::vector<SuspectReport> reports;
  std::vector<RoomReport> room_reports;
  std::set<std::string> known_versions;  // of all other hosts, for every service
  std::shared_ptr<const RoutingView> view;
  mutable int reads = 0;
  int limit_asks = 0;
};

}  // namespace ebonylift::test

#endif  // EBONYLIFT_TESTS_SUPPORT_FAKE_CONTROL_H_
