#include "testing/faults.h"

#include <nlohmann/json.hpp>

#include "base/error.h"

namespace ebonylift::standin {
namespace {

using nlohmann::json;

void SetField(Faults& faults, const std::string& name, const json& value) {
  if (name == "refuse") {
    faults.refuse = value.get<bool>();
  } else if (name == "reset_before") {
    faults.reset_before = value.get<bool>();
  } else if (name == "reset_after") {
    faults.reset_after = value.get<bool>();
  } else if (name == "lose_answer") {
    faults.lose_answer = value.get<bool>();
  } else if (name == "stall") {
    faults.stall = value.get<bool>();
  } else if (name == "error_status") {
    faults.error_status = value.get<int>();
  } else if (name == "slow") {
    faults.slow = value.get<double>();
  } else if (name == "break_after") {
    faults.break_after = value.get<int>();
  } else if (name == "times") {
    faults.times = value.get<int>();
  } else if (name == "silent") {
    faults.silent = value.get<bool>();
  } else if (name != "clear") {
    throw Error(ErrorKind::kBadRequest, "unknown fault: " + name);
  }
}

}  // namespace

Faults ApplyFaults(Faults faults, const std::string& body) {
  json request = json::parse(body, nullptr, false);
  if (!request.is_object()) throw Error(ErrorKind::kBadRequest, "the body is not a JSON object");
  try {
    if (request.value("clear", false)) faults = Faults{};
    for (const auto& [name, value] : request.items()) SetField(faults, name, value);
  } catch (const json::exception& error) {
    throw Error(ErrorKind::kBadRequest, error.what());
  }
  return faults;
}

std::string FaultsToJson(const Faults& faults) {
  json state = {{"refuse", faults.refuse},
                {"reset_before", faults.reset_before},
                {"reset_after", faults.reset_after},
                {"lose_answer", faults.lose_answer},
                {"stall", faults.stall},
                {"error_status", faults.error_status},
                {"slow", faults.slow},
                {"break_after", faults.break_after},
                {"times", faults.times},
                {"silent", faults.silent}};
  return state.dump() + "\n";
}

bool ConsumeCountedFault(Faults& faults) {
  if (faults.times == 0) return false;
  if (faults.times > 0) --faults.times;
  return true;
}

}  // namespace ebonylift::standin
