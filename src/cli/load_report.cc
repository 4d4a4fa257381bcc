#include "cli/load_report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace ebonylift {
namespace {

using nlohmann::json;

constexpr double kBucketGrowth = 1.02;

// Returns the bucket whose upper bound, kBucketGrowth to the power of the index in microseconds, is
// the first that is not below `value`.
size_t BucketIndex(Duration value) {
  double micros = std::max<double>(1.0, static_cast<double>(value.count()));
  return static_cast<size_t>(std::ceil(std::log(micros) / std::log(kBucketGrowth)));
}

Duration BucketUpperBound(size_t bucket) {
  return Duration(static_cast<int64_t>(std::pow(kBucketGrowth, static_cast<double>(bucket))));
}

double Millis(Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }

struct Series {
  const char* name;
  const LatencyHistogram* histogram;
};

std::vector<Series> AllSeries(const LoadReport& report) {
  return {{"time to first token", &report.first_token},
          {"total", &report.total},
          {"between tokens", &report.token_gap},
          {"client send delay", &report.send_delay}};
}

json HistogramJson(const LatencyHistogram& histogram) {
  return {{"count", histogram.count()},
          {"p50_ms", Millis(histogram.Percentile(0.5))},
          {"p95_ms", Millis(histogram.Percentile(0.95))},
          {"p99_ms", Millis(histogram.Percentile(0.99))},
          {"max_ms", Millis(histogram.Max())}};
}

double Ratio(uint64_t part, uint64_t whole) {
  return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

uint64_t TotalRefused(const LoadReport& report) {
  uint64_t total = 0;
  for (const auto& [code, count] : report.refused) total += count;
  return total;
}

// ---- SVG

constexpr double kPlotWidth = 720;
constexpr double kPlotHeight = 420;
constexpr double kMargin = 60;
// The x axis shows the number of nines, -log10(1 - quantile), and ends at 1 - 10^-3 (p99.9).
constexpr double kMaxNines = 3;
const char* const kColours[] = {"#1b6ca8", "#b3541e", "#3a7d44", "#777777"};

// Range of the y axis, as log10 of milliseconds.
struct Axis {
  double low = 0;
  double high = 1;
};

Axis LatencyAxis(const LoadReport& report) {
  double max_ms = 1;
  double min_ms = 1e9;
  for (const Series& series : AllSeries(report)) {
    if (series.histogram->count() == 0) continue;
    max_ms = std::max(max_ms, Millis(series.histogram->Percentile(1 - std::pow(10, -kMaxNines))));
    min_ms = std::min(min_ms, std::max(0.01, Millis(series.histogram->Percentile(0.01))));
  }
  Axis axis;
  axis.low = std::floor(std::log10(std::min(min_ms, max_ms)));
  axis.high = std::max(axis.low + 1, std::ceil(std::log10(max_ms)));
  return axis;
}

double PlotX(double nines) { return kMargin + nines / kMaxNines * (kPlotWidth - 2 * kMargin); }

double PlotY(const Axis& axis, double ms) {
  double share = (std::log10(std::max(ms, 1e-3)) - axis.low) / (axis.high - axis.low);
  return kPlotHeight - kMargin - std::clamp(share, 0.0, 1.0) * (kPlotHeight - 2 * kMargin);
}

void WriteText(std::ostream& out, double x, double y, const char* anchor, const std::string& text) {
  out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor
      << "\" font-size=\"12\" font-family=\"sans-serif\">" << text << "</text>\n";
}

void WriteGridLine(std::ostream& out, double x1, double y1, double x2, double y2) {
  out << "<line x1=\"" << x1 << "\" y1=\"" << y1 << "\" x2=\"" << x2 << "\" y2=\"" << y2
      << "\" stroke=\"#cccccc\"/>\n";
}

void WriteAxes(std::ostream& out, const Axis& axis) {
  for (double power = axis.low; power <= axis.high; power += 1) {
    double ms = std::pow(10, power);
    double y = PlotY(axis, ms);
    WriteGridLine(out, kMargin, y, kPlotWidth - kMargin, y);
    std::ostringstream label;
    label << ms << " ms";
    WriteText(out, kMargin - 4, y + 4, "end", label.str());
  }
  const std::pair<double, const char*> kTicks[] = {
      {0, "p0"}, {0.30103, "p50"}, {1, "p90"}, {1.30103, "p95"}, {2, "p99"}, {3, "p99.9"}};
  for (const auto& [nines, label] : kTicks) {
    WriteGridLine(out, PlotX(nines), kMargin, PlotX(nines), kPlotHeight - kMargin);
    WriteText(out, PlotX(nines), kPlotHeight - kMargin + 18, "middle", label);
  }
}

void WriteCurve(std::ostream& out, const Axis& axis, const LatencyHistogram& histogram,
                const char* colour) {
  out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour << "\" points=\"";
  constexpr double kStep = 0.02;
  for (double nines = kStep; nines <= kMaxNines; nines += kStep) {
    Duration value = histogram.Percentile(1 - std::pow(10, -nines));
    out << PlotX(nines) << "," << PlotY(axis, Millis(value)) << " ";
  }
  out << "\"/>\n";
}

}  // namespace

void LatencyHistogram::Add(Duration value) {
  size_t bucket = BucketIndex(value);
  if (bucket >= buckets_.size()) buckets_.resize(bucket + 1);
  ++buckets_[bucket];
  ++count_;
  max_ = std::max(max_, value);
}

Duration LatencyHistogram::Percentile(double share) const {
  auto rank = static_cast<uint64_t>(std::ceil(share * static_cast<double>(count_)));
  uint64_t cumulative = 0;
  for (size_t bucket = 0; bucket < buckets_.size(); ++bucket) {
    cumulative += buckets_[bucket];
    if (cumulative >= rank && cumulative > 0) return std::min(BucketUpperBound(bucket), max_);
  }
  return max_;
}

std::string ReportTable(const LoadReport& report) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1);
  out << "requests   " << report.requests << " in " << Millis(report.elapsed) / 1000 << " s\n"
      << "answered   " << report.answered << " (" << 100 * Ratio(report.answered, report.requests)
      << "%)\n"
      << "refused    " << TotalRefused(report) << "\n";
  for (const auto& [code, count] : report.refused) {
    out << "  " << std::left << std::setw(32) << code << std::right << std::setw(8) << count
        << "\n";
  }
  out << "broken     " << report.broken << "\n";
  for (const auto& [reason, count] : report.broken_by) {
    out << "  " << std::left << std::setw(32) << reason << std::right << std::setw(8) << count
        << "\n";
  }
  out << "not sent   " << report.not_sent << "\n"
      << "failovers  " << report.failovers << "\n\n";
  out << std::left << std::setw(26) << "latency (ms)" << std::right;
  for (const char* column : {"count", "p50", "p95", "p99", "max"}) out << std::setw(11) << column;
  out << "\n";
  for (const Series& series : AllSeries(report)) {
    const LatencyHistogram& histogram = *series.histogram;
    out << std::left << std::setw(26) << series.name << std::right << std::setw(11)
        << histogram.count();
    for (double share : {0.5, 0.95, 0.99}) {
      out << std::setw(11) << Millis(histogram.Percentile(share));
    }
    out << std::setw(11) << Millis(histogram.Max()) << "\n";
  }
  out << "\ncaller region>serving region\n";
  for (const auto& [pair, count] : report.regions) {
    out << "  " << std::left << std::setw(32) << pair << std::right << std::setw(8) << count << " ("
        << 100 * Ratio(count, report.answered) << "%)\n";
  }
  return out.str();
}

std::string ReportJson(const LoadReport& report) {
  json out = {{"requests", report.requests},
              {"answered", report.answered},
              {"refused", report.refused},
              {"broken", report.broken},
              {"broken_by", report.broken_by},
              {"not_sent", report.not_sent},
              {"failovers", report.failovers},
              {"regions", report.regions},
              {"elapsed_ms", ToMillis(report.elapsed)},
              {"first_token", HistogramJson(report.first_token)},
              {"total", HistogramJson(report.total)},
              {"between_tokens", HistogramJson(report.token_gap)},
              {"late", HistogramJson(report.send_delay)}};
  return out.dump();
}

std::string ReportSvg(const LoadReport& report) {
  std::ostringstream out;
  Axis axis = LatencyAxis(report);
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kPlotWidth << "\" height=\""
      << kPlotHeight << "\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  WriteAxes(out, axis);
  double legend_x = kMargin;
  size_t colour = 0;
  for (const Series& series : AllSeries(report)) {
    const char* stroke = kColours[colour++ % std::size(kColours)];
    if (series.histogram->count() == 0) continue;
    WriteCurve(out, axis, *series.histogram, stroke);
    out << "<rect x=\"" << legend_x << "\" y=\"22\" width=\"10\" height=\"10\" fill=\"" << stroke
        << "\"/>\n";
    WriteText(out, legend_x + 14, 32, "start", series.name);
    legend_x += 160;
  }
  out << "</svg>\n";
  return out.str();
}

}  // namespace ebonylift
