#include <gflags/gflags.h>

#include "testing/commands.h"
#include "testing/engine.h"
#include "testing/flags.h"

DEFINE_string(models, "", "models to serve, name[:version], comma separated");
DEFINE_string(adapters, "", "adapters of each model, comma separated");
DEFINE_string(role, "mixed", "role to announce");
DEFINE_string(capabilities, "resume,cancel,priorities", "capabilities to announce");
DEFINE_int32(slots, 8, "maximum number of requests in a batch");
DEFINE_int64(prefill_us_per_token, 20, "time to prefill one prompt token, in microseconds");
DEFINE_int64(decode_us_per_token, 2000,
             "duration of a decode step with one request in the batch, in microseconds");
DEFINE_double(slowdown_per_job, 0.02,
              "fraction by which each additional request lengthens a decode step");
DEFINE_int64(cache_tokens, 200000, "capacity of the prefix cache in tokens");
DEFINE_bool(checks_fencing, true,
            "refuse orders whose fencing token is below the highest one seen");
DEFINE_int64(load_ms, 0, "time to load a model, adapter or version, in milliseconds");
DEFINE_string(weight_store, "", "address of the weight store; empty: none");
DEFINE_int64(resume_ms, 3000,
             "how long a stream continues after its connection closed, in milliseconds");
DEFINE_int64(leave_ms, 3000, "how long requests are accepted after SIGTERM, in milliseconds");
DEFINE_int64(cache_event_delay_ms, 500,
             "age at which cache events become visible, in milliseconds");
DEFINE_int32(cache_event_gap, 20, "one in this many cache events is dropped; 0: none");

namespace ebonylift::standin {
namespace {

std::map<std::string, EngineModel> ModelsFromFlags() {
  std::vector<std::string> adapters = Split(FLAGS_adapters, ',');
  std::map<std::string, EngineModel> models;
  for (const std::string& item : Split(FLAGS_models, ',')) {
    std::vector<std::string> parts = Split(item, ':');
    EngineModel& model = models[parts[0]];
    model.version = parts.size() > 1 ? parts[1] : "1";
    model.adapters.insert(adapters.begin(), adapters.end());
  }
  return models;
}

EngineSettings SettingsFromFlags() {
  EngineSettings settings;
  settings.batch.slots = FLAGS_slots;
  settings.batch.prefill_per_token = Duration(FLAGS_prefill_us_per_token);
  settings.batch.decode_per_token = Duration(FLAGS_decode_us_per_token);
  settings.batch.slowdown_per_job = FLAGS_slowdown_per_job;
  settings.cache_tokens = FLAGS_cache_tokens;
  settings.models = ModelsFromFlags();
  settings.role = FLAGS_role;
  settings.capabilities = Split(FLAGS_capabilities, ',');
  settings.checks_fencing = FLAGS_checks_fencing;
  settings.load_time = milliseconds(FLAGS_load_ms);
  settings.weight_store = FLAGS_weight_store;
  settings.resume_window = milliseconds(FLAGS_resume_ms);
  settings.termination_grace = milliseconds(FLAGS_leave_ms);
  settings.cache_event_delay = milliseconds(FLAGS_cache_event_delay_ms);
  settings.cache_event_gap = FLAGS_cache_event_gap;
  return settings;
}

}  // namespace

int RunEngine() {
  asio::io_context io;
  Engine engine(io, SettingsFromFlags());
  engine.Run();
  return 0;
}

}  // namespace ebonylift::standin
