#include "core/limit_shares.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "core/codec.h"

namespace ebonylift {
namespace {

// A host saves its reserve for this long: together with the reserve of a window, that is three
// quarters of the overshoot. The prefetch of grants (limit_allocator.cc) uses the rest.
constexpr Duration kReserveSavings = kLimitWindow / 2;
constexpr double kDemandSeconds = 1.0;     // of smoothing
constexpr double kMinDemandSeconds = 0.5;  // a new estimate is not based on less
constexpr Duration kMinSilence = milliseconds(250);
constexpr double kMissedRequests = 12;
constexpr double kKeptHeadroom = 1.1;         // relative to the demand, of a share handed back
constexpr Duration kActiveTime = seconds(5);  // after the last request
constexpr Duration kCostMemory = kLimitWindow;
constexpr Duration kRenewalInterval = seconds(3);
// While the limit is reached, shares follow the demand more closely.
constexpr Duration kReachedRenewalInterval = seconds(1);
// Between two searches for workspaces to ask for, unless a request needs one.
constexpr Duration kScanInterval = milliseconds(100);
constexpr Duration kAskJitter = milliseconds(60);
constexpr Duration kSilentRetryInterval = milliseconds(500);
constexpr double kGrownDemand = 1.25;  // relative to the demand that was last sent
constexpr double kShrunkDemand = 0.5;
// A share that is lowered by less is not confirmed at once.
constexpr double kNotableShareChange = 0.95;
constexpr Duration kMinRetryAfter = milliseconds(200);
constexpr Duration kMaxRetryAfter = seconds(10);

// Values in messages: 0, or the logarithm in 1/1023 of an octave.
constexpr double kLogSteps = 1023;
constexpr double kMinLog = -20;
// The smallest part of a request that is missing makes its grant useless.
constexpr double kRoundUp = 1.001;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

uint16_t ToLog(double value) {
  if (!(value > 0)) return 0;
  // Values that were decoded must be encoded as before, in spite of rounding.
  constexpr double kRounding = 1e-6;
  double steps = std::floor((std::log2(value) - kMinLog) * kLogSteps + kRounding);
  if (steps < 0) return 0;
  return static_cast<uint16_t>(std::min(steps, 65'534.0) + 1);
}

double FromLog(uint16_t code) {
  return code == 0 ? 0 : std::exp2((code - 1) / kLogSteps + kMinLog);
}

void WriteLog(ByteWriter* out, double value) {
  uint16_t code = ToLog(value);
  out->U8(static_cast<uint8_t>(code & 0xff));
  out->U8(static_cast<uint8_t>(code >> 8));
}

double ReadLog(ByteReader* in) {
  uint16_t low = in->U8();
  return FromLog(static_cast<uint16_t>(low | (in->U8() << 8)));
}

void WriteDouble(ByteWriter* out, double value) {
  uint64_t bits = 0;
  static_assert(sizeof(bits) == sizeof(value), "IEEE 754 double");
  std::copy_n(reinterpret_cast<const char*>(&value), sizeof(value), reinterpret_cast<char*>(&bits));
  out->U64(bits);
}

double ReadDouble(ByteReader* in) {
  uint64_t bits = in->U64();
  double value = 0;
  std::copy_n(reinterpret_cast<const char*>(&bits), sizeof(value), reinterpret_cast<char*>(&value));
  return std::isfinite(value) && value >= 0 ? value : 0;
}

// Flags of a row of a request.
constexpr uint8_t kHasWanted = 1;
constexpr uint8_t kHasLimit = 2;
constexpr uint8_t kInTokens = 4;
// Flags of a row of an answer.
constexpr uint8_t kHasGrant = 1;
constexpr uint8_t kUnknown = 2;
constexpr uint8_t kNoLease = 4;

constexpr int kKeyBytes = 6;

void WriteRow(ByteWriter* out, const LimitDemand& row) {
  for (int i = 0; i < kKeyBytes; ++i) out->U8(static_cast<uint8_t>(row.workspace >> (8 * i)));
  uint8_t flags = row.wanted > 0 ? kHasWanted : 0;
  if (row.limit) flags |= kHasLimit;
  if (row.limit && row.limit->unit == LimitUnit::kTokens) flags |= kInTokens;
  out->U8(flags);
  WriteLog(out, row.demand);
  WriteLog(out, row.cost);
  WriteLog(out, row.held);
  if (row.wanted > 0) WriteLog(out, row.wanted);
  if (!row.limit) return;
  WriteDouble(out, row.limit->per_s);
  WriteDouble(out, row.limit->burst);
}

LimitDemand ReadRow(ByteReader* in) {
  LimitDemand row;
  for (int i = 0; i < kKeyBytes; ++i) row.workspace |= uint64_t{in->U8()} << (8 * i);
  uint8_t flags = in->U8();
  row.demand = ReadLog(in);
  row.cost = ReadLog(in);
  row.held = std::min(1.0, ReadLog(in));
  if ((flags & kHasWanted) != 0) row.wanted = ReadLog(in);
  if ((flags & kHasLimit) == 0) return row;
  WorkspaceLimit limit;
  limit.per_s = ReadDouble(in);
  limit.burst = ReadDouble(in);
  limit.unit = (flags & kInTokens) != 0 ? LimitUnit::kTokens : LimitUnit::kRequests;
  row.limit = limit;
  return row;
}

// What this host may save without a lease.
double OwnBurst(const LimitShares& shares, const WorkspaceShare& share) {
  return EffectiveBurst(share.limit, shares.tolerance) * kOwnBurst / shares.hosts;
}

double Rate(const LimitShares& shares, const WorkspaceShare& share) {
  if (share.leased) return share.share * share.limit.per_s;
  return shares.tolerance.overshoot / 2 * share.limit.per_s / shares.hosts;
}

double Capacity(const LimitShares& shares, const WorkspaceShare& share) {
  double own = OwnBurst(shares, share);
  if (!share.leased) return own + Rate(shares, share) * Seconds(kReserveSavings);
  return own + share.share * EffectiveBurst(share.limit, shares.tolerance) * kLeasedBurst;
}

void Fill(const LimitShares& shares, WorkspaceShare* share, Time until) {
  if (until > share->updated) {
    double elapsed = Seconds(until - share->updated);
    share->level += Rate(shares, *share) * elapsed;
    share->demand *= std::exp(-elapsed / kDemandSeconds);
    share->updated = until;
  }
  share->level = std::min(share->level, Capacity(shares, *share));
}

// Brings the state up to `now`.
void Advance(const LimitShares& shares, WorkspaceShare* share, Time now) {
  if (share->leased && now >= share->expires) {
    Fill(shares, share, share->expires);
    share->leased = false;
    share->share = 0;
    share->limit_reached = false;  // may have changed since
  }
  Fill(shares, share, now);
  if (now >= share->grant_expires) share->grant = 0;
  if (now - share->wanted_at > kMaxLimitWait) share->wanted = 0;
}

// The estimate of a workspace whose requests have only begun is based on the time since. Requests
// that wait are not part of it, as work is granted for them: a host with a request every ten
// seconds would otherwise get a share for one every second.
double Demand(const WorkspaceShare& share, Time now) {
  double demand = std::max(0.0, share.demand - share.wanted) / kDemandSeconds;
  double active = std::max(kMinDemandSeconds, Seconds(now - share.active_since));
  demand /= 1 - std::exp(-active / kDemandSeconds);
  if (!(demand > 0)) return 0;
  // A dense flow that stops has moved to another host, which needs the share now.
  Duration silence = std::max<Duration>(
      kMinSilence, Duration(static_cast<int64_t>(kMissedRequests * 1e6 * share.cost /
                                                 std::max(demand, share.cost))));
  return now - share.used > silence ? 0 : demand;
}

WorkspaceShare* FindOrAdd(LimitShares* shares, const WorkspaceId& workspace,
                          const WorkspaceLimit& limit, Time now) {
  auto found = shares->workspaces.find(workspace);
  if (found == shares->workspaces.end()) {
    if (shares->workspaces.size() >= kMaxLimitedWorkspaces) return nullptr;
    found = shares->workspaces.emplace(workspace, WorkspaceShare()).first;
    WorkspaceShare& added = found->second;
    added.id = workspace;
    added.limit = limit;
    added.level = OwnBurst(*shares, added);
    added.updated = now;
    added.active_since = now;
  }
  WorkspaceShare* share = &found->second;
  const WorkspaceLimit& old = share->limit;
  if (old.per_s != limit.per_s || old.burst != limit.burst || old.unit != limit.unit) {
    Advance(*shares, share, now);
    share->limit = limit;
    share->limit_known = false;
    share->ask_is_due = true;
  }
  return share;
}

void CountRequest(WorkspaceShare* share, double cost, Time now) {
  if (now - share->used > kActiveTime) share->active_since = now;
  share->used = now;
  share->demand += cost;
  if (cost < share->cost && now - share->cost_at <= kCostMemory) return;
  share->cost = cost;
  share->cost_at = now;
}

bool TakeWork(WorkspaceShare* share, double cost) {
  if (share->level + share->grant < cost) return false;
  // The grant first, as it expires.
  double granted = std::min(share->grant, cost);
  share->grant -= granted;
  share->level -= cost - granted;
  return true;
}

// Whether an answer that is on its way, or the flow into the bucket, may admit the request soon.
bool MayWait(const LimitShares& shares, const WorkspaceShare& share, Time arrived, Time now) {
  if (shares.silent || now - arrived >= kMaxLimitWait) return false;
  bool answered = shares.answered_ask >= arrived;
  // Without a share, each request is granted on its own.
  bool granted_singly = share.leased && share.share == 0;
  if (!answered && granted_singly) return true;
  return !share.limit_reached;
}

Duration RetryAfter(const LimitShares& shares, const WorkspaceShare& share, double cost) {
  double rate = Rate(shares, share);
  if (rate <= 0) rate = share.limit.per_s;
  double wait = (cost - share.level) / rate;
  if (!(wait < Seconds(kMaxRetryAfter))) return kMaxRetryAfter;
  return std::max<Duration>(kMinRetryAfter, Duration(static_cast<int64_t>(wait * 1e6)));
}

// Hosts that ask at the same times would leave the pool of the allocator full in between.
Duration AskInterval(const LimitShares& shares) {
  uint64_t mixed =
      (shares.seed ^ static_cast<uint64_t>(shares.last_sent.time_since_epoch().count())) *
      0x9e3779b97f4a7c15;
  Duration jitter(static_cast<int64_t>((mixed >> 32) % kAskJitter.count()));
  return (shares.silent ? kSilentRetryInterval : kMinLimitAskInterval) + jitter;
}

// Whether the share should be asked for now.
bool IsDue(const WorkspaceShare& share, Time now) {
  if (now - share.used > kActiveTime) return false;
  if (share.ask_is_due || share.wanted > 0) return true;
  // Without a share, work is asked for when a request needs it.
  if (share.share == 0 && !share.limit_reached) return false;
  Duration interval = share.limit_reached ? kReachedRenewalInterval : kRenewalInterval;
  if (now - share.asked >= interval) return true;
  double demand = Demand(share, now);
  double rate = share.share * share.limit.per_s;
  if (demand > kGrownDemand * share.asked_demand && demand > kNotableShareChange * rate)
    return true;
  return demand < kShrunkDemand * share.asked_demand && demand < kShrunkDemand * rate;
}

LimitDemand MakeRow(WorkspaceShare* share, Time now) {
  LimitDemand row;
  row.workspace = LimitKey(share->id);
  row.demand = RoundForMessage(Demand(*share, now));
  // Handed back without waiting for the answer, so that another host can have it with its next one.
  if (row.demand < kShrunkDemand * share->asked_demand) {
    double kept = RoundForMessage(kKeptHeadroom * row.demand / share->limit.per_s);
    share->share = std::min(share->share, kept);
  }
  row.cost = share->cost;
  row.held = share->share;
  row.wanted = RoundForMessage(kRoundUp * share->wanted);
  if (!share->limit_known) row.limit = share->limit;
  share->asked = now;
  share->asked_demand = row.demand;
  share->ask_is_due = false;
  return row;
}

// The rows that may be sent now.
double RowCredit(const LimitShares& shares, Time now) {
  // The epoch, before the first message, is long ago.
  double elapsed = Seconds(std::min<Duration>(now - shares.last_sent, kIdleLimitLifetime));
  double credit = shares.row_credit + elapsed * kMaxLimitRowsPerSecond;
  return std::min(credit, static_cast<double>(kMaxLimitRows));
}

// Removes workspaces without requests and returns those to ask for, at most kMaxLimitRows.
std::vector<WorkspaceShare*> DueShares(LimitShares* shares, Time now) {
  std::vector<WorkspaceShare*> due;
  for (auto it = shares->workspaces.begin(); it != shares->workspaces.end();) {
    WorkspaceShare& share = it->second;
    if (now - share.used > kIdleLimitLifetime) {
      it = shares->workspaces.erase(it);
      continue;
    }
    ++it;
    Advance(*shares, &share, now);
    if (IsDue(share, now)) due.push_back(&share);
  }
  auto more_urgent = [](const WorkspaceShare* a, const WorkspaceShare* b) {
    if ((a->wanted > 0) != (b->wanted > 0)) return a->wanted > 0;
    if (a->asked != b->asked) return a->asked < b->asked;
    return a->id < b->id;
  };
  std::sort(due.begin(), due.end(), more_urgent);
  due.resize(std::min(due.size(), static_cast<size_t>(RowCredit(*shares, now))));
  return due;
}

void ApplyGrant(const LimitShares& shares, WorkspaceShare* share, double sent_wanted,
                const LimitGrant& grant, Time sent, Time now) {
  Advance(shares, share, now);
  share->limit_known = !grant.unknown;
  // The allocator counts with the larger share until it hears that the smaller one is in force.
  bool lowered = grant.share < kNotableShareChange * share->share;
  if (lowered || grant.unknown) share->ask_is_due = true;
  share->leased = !grant.no_lease;
  share->share = grant.no_lease ? 0 : grant.share;
  share->expires = sent + kLimitLeaseLifetime;
  share->leased_at = now;
  double capacity = Capacity(shares, *share);
  share->level = std::min(share->level, capacity);
  double rate = Rate(shares, *share);
  if (grant.no_lease) {
    share->limit_reached = true;
    return;
  }
  share->limit_reached = grant.share > 0 ? rate < kNotableShareChange * share->asked_demand
                                         : grant.grant < kNotableShareChange * sent_wanted;
  if (grant.grant <= 0 || now >= sent + kGrantLifetime) return;
  double kept = std::min(grant.grant, capacity - share->level);
  share->level += kept;
  share->grant += grant.grant - kept;
  share->grant_expires = sent + kGrantLifetime;
}

}  // namespace

uint64_t LimitKey(const WorkspaceId& workspace) {
  return Hash64(workspace.value()) & ((uint64_t{1} << (8 * kKeyBytes)) - 1);
}

double EffectiveBurst(const WorkspaceLimit& limit, const LimitTolerance& tolerance) {
  return limit.burst + (limit.unit == LimitUnit::kTokens ? tolerance.slack / 2 : 0);
}

double RoundForMessage(double value) { return FromLog(ToLog(value)); }

std::string EncodeLimitAsk(const LimitAsk& ask) {
  ByteWriter out;
  out.U64(ask.sequence);
  out.U64(ask.revision);
  out.U32(ask.hosts);
  for (const LimitDemand& row : ask.rows) WriteRow(&out, row);
  return out.Take();
}

std::optional<LimitAsk> DecodeLimitAsk(std::string_view bytes) {
  try {
    ByteReader in(bytes);
    LimitAsk ask;
    ask.sequence = in.U64();
    ask.revision = in.U64();
    ask.hosts = std::max<uint32_t>(1, in.U32());
    while (!in.AtEnd() && ask.rows.size() < kMaxLimitRows) ask.rows.push_back(ReadRow(&in));
    return ask;
  } catch (const Error&) {
    return std::nullopt;
  }
}

std::string EncodeLimitAnswer(const LimitAnswer& answer) {
  ByteWriter out;
  for (const LimitGrant& grant : answer) {
    uint8_t flags = grant.grant > 0 ? kHasGrant : 0;
    if (grant.unknown) flags |= kUnknown;
    if (grant.no_lease) flags |= kNoLease;
    out.U8(flags);
    WriteLog(&out, grant.share);
    if (grant.grant > 0) WriteLog(&out, grant.grant);
  }
  return out.Take();
}

std::optional<LimitAnswer> DecodeLimitAnswer(std::string_view bytes) {
  try {
    ByteReader in(bytes);
    LimitAnswer answer;
    while (!in.AtEnd() && answer.size() < kMaxLimitRows) {
      uint8_t flags = in.U8();
      LimitGrant grant;
      grant.unknown = (flags & kUnknown) != 0;
      grant.no_lease = (flags & kNoLease) != 0;
      grant.share = std::min(1.0, ReadLog(&in));
      if ((flags & kHasGrant) != 0) grant.grant = ReadLog(&in);
      answer.push_back(grant);
    }
    return answer;
  } catch (const Error&) {
    return std::nullopt;
  }
}

double LimitCost(const WorkspaceLimit& limit, int64_t prompt_tokens, int64_t max_output_tokens) {
  if (limit.unit == LimitUnit::kRequests) return 1;
  int64_t tokens = std::max<int64_t>(0, prompt_tokens) + std::max<int64_t>(0, max_output_tokens);
  return tokens > 0 ? static_cast<double>(tokens) : limit.plain_cost;
}

LimitVerdict AdmitToLimit(LimitShares* shares, const WorkspaceId& workspace,
                          const WorkspaceLimit& limit, double cost, Time arrived, bool first,
                          Time now) {
  LimitVerdict verdict;
  WorkspaceShare* share = FindOrAdd(shares, workspace, limit, now);
  if (share == nullptr) {
    verdict.decision = LimitDecision::kRefused;
    verdict.retry_after = kMaxRetryAfter;
    return verdict;
  }
  Advance(*shares, share, now);
  if (first) CountRequest(share, cost, now);
  if (!first) share->wanted = std::max(0.0, share->wanted - cost);
  if (TakeWork(share, cost)) {
    ++share->admitted_count;
  } else if (MayWait(*shares, *share, arrived, now)) {
    verdict.decision = LimitDecision::kWait;
    share->wanted += cost;
    if (first) share->wanted_at = now;
  } else {
    ++share->refused_count;
    verdict.decision = LimitDecision::kRefused;
    verdict.retry_after = RetryAfter(*shares, *share, cost);
  }
  if (!IsDue(*share, now)) return verdict;
  shares->next_scan = std::min(shares->next_scan, now);
  verdict.ask_now = shares->sent == Time() && now - shares->last_sent >= AskInterval(*shares);
  return verdict;
}

void CancelLimitWait(LimitShares* shares, const WorkspaceId& workspace, double cost) {
  auto found = shares->workspaces.find(workspace);
  if (found == shares->workspaces.end()) return;
  found->second.wanted = std::max(0.0, found->second.wanted - cost);
}

void RefundToLimit(LimitShares* shares, const WorkspaceId& workspace, double cost, Time now) {
  auto found = shares->workspaces.find(workspace);
  if (found == shares->workspaces.end()) return;
  WorkspaceShare& share = found->second;
  Advance(*shares, &share, now);
  share.level = std::min(share.level + cost, Capacity(*shares, share));
}

std::optional<LimitAsk> TakeLimitAsk(LimitShares* shares, Time now) {
  if (shares->workspaces.empty()) return std::nullopt;
  if (shares->sent != Time()) {
    if (now - shares->sent < kLimitAskTimeout) return std::nullopt;
    OnNoLimitAnswer(shares, shares->sent);
  }
  if (now - shares->last_sent < AskInterval(*shares)) return std::nullopt;
  if (now < shares->next_scan) return std::nullopt;
  shares->next_scan = now + kScanInterval;
  std::vector<WorkspaceShare*> due = DueShares(shares, now);
  if (due.empty()) return std::nullopt;
  LimitAsk ask;
  ask.sequence = static_cast<uint64_t>(now.time_since_epoch().count());
  ask.revision = shares->revision;
  ask.hosts = shares->hosts;
  shares->row_credit = RowCredit(*shares, now) - static_cast<double>(due.size());
  shares->sent = now;
  shares->last_sent = now;
  shares->sent_rows.clear();
  for (WorkspaceShare* share : due) {
    shares->sent_rows.emplace_back(share->id, share->wanted);
    ask.rows.push_back(MakeRow(share, now));
  }
  return ask;
}

void OnLimitAnswer(LimitShares* shares, const LimitAnswer& answer, Time sent, Time now) {
  if (sent != shares->sent) return;
  if (answer.size() != shares->sent_rows.size() || now - sent >= kLimitAskTimeout) {
    OnNoLimitAnswer(shares, sent);
    return;
  }
  shares->sent = Time();
  shares->silent = false;
  shares->answered_ask = sent;
  for (size_t i = 0; i < answer.size(); ++i) {
    const auto& [workspace, wanted] = shares->sent_rows[i];
    auto found = shares->workspaces.find(workspace);
    if (found == shares->workspaces.end()) continue;
    ApplyGrant(*shares, &found->second, wanted, answer[i], sent, now);
  }
}

std::vector<LimitState> LimitStates(const LimitShares& shares, Time now) {
  std::vector<const WorkspaceShare*> busiest;
  busiest.reserve(shares.workspaces.size());
  for (const auto& [id, share] : shares.workspaces) busiest.push_back(&share);
  auto more_requests = [](const WorkspaceShare* a, const WorkspaceShare* b) {
    uint64_t of_a = a->admitted_count + a->refused_count;
    uint64_t of_b = b->admitted_count + b->refused_count;
    return of_a != of_b ? of_a > of_b : a->id < b->id;
  };
  size_t count = std::min(busiest.size(), kMaxReportedLimits);
  std::partial_sort(busiest.begin(), busiest.begin() + static_cast<int64_t>(count), busiest.end(),
                    more_requests);
  busiest.resize(count);
  std::vector<LimitState> states;
  for (const WorkspaceShare* share : busiest) {
    LimitState state{share->id, share->admitted_count, share->refused_count, 0, Duration(-1)};
    bool leased = share->leased && now < share->expires;
    if (leased) state.rate = share->share * share->limit.per_s;
    if (leased) state.lease_age = now - share->leased_at;
    states.push_back(std::move(state));
  }
  return states;
}

void OnNoLimitAnswer(LimitShares* shares, Time sent) {
  if (sent != shares->sent || sent == Time()) return;
  shares->sent = Time();
  shares->silent = true;
  for (const auto& [workspace, wanted] : shares->sent_rows) {
    auto found = shares->workspaces.find(workspace);
    if (found != shares->workspaces.end()) found->second.ask_is_due = true;
  }
}

}  // namespace ebonylift
