#include "daemon/server_snapshot.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include "adapters/peer_codec.h"
#include "base/error.h"
#include "base/event.h"

namespace ebonylift {

std::string EncodeServers(const std::vector<Announcement>& servers) {
  capnp::MallocMessageBuilder message;
  auto rows =
      message.initRoot<wire::ServerList>().initServers(static_cast<uint32_t>(servers.size()));
  for (uint32_t i = 0; i < rows.size(); ++i) WriteAnnouncement(servers[i], rows[i]);
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, message);
  auto bytes = out.getArray();
  return std::string(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
}

std::vector<Announcement> DecodeServers(const std::string& bytes) {
  std::vector<Announcement> servers;
  try {
    kj::ArrayInputStream in(kj::ArrayPtr<const kj::byte>(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader message(in);
    for (wire::Announcement::Reader row : message.getRoot<wire::ServerList>().getServers()) {
      servers.push_back(ReadAnnouncement(row));
    }
  } catch (const kj::Exception& error) {
    throw Error(ErrorKind::kBadRequest, error.getDescription().cStr());
  }
  return servers;
}

std::vector<Announcement> ServerSnapshot::Load() {
  std::vector<Announcement> servers;
  if (journal_ == nullptr) return servers;
  try {
    journal_->Replay([&](std::string_view record, bool is_snapshot) {
      if (is_snapshot) servers = DecodeServers(std::string(record));
    });
  } catch (const Error& error) {
    LogEvent(EventId::kServersNotKept, {{"reason", error.what()}});
    servers.clear();
    journal_ = nullptr;
  }
  return servers;
}

void ServerSnapshot::MarkChanged(bool urgent) {
  changed_ = true;
  urgent_ = urgent_ || urgent;
}

bool ServerSnapshot::SaveDue(Time now) const {
  return journal_ != nullptr && changed_ && (urgent_ || now >= next_save_);
}

void ServerSnapshot::Save(const std::vector<Announcement>& servers, Time now) {
  changed_ = false;
  urgent_ = false;
  next_save_ = now + kServerSnapshotInterval;
  // The journal logs a failed write; the next change leads to another attempt.
  journal_->Compact(EncodeServers(servers), [](bool) {});
}

}  // namespace ebonylift
