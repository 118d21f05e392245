#include "scale/real.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace canvasstage::lab::real {
namespace {

struct Spread {
  double median = 0, min = 0, max = 0;
};

std::vector<double> values_of(const std::vector<MetricValues>& plays, const std::string& metric) {
  std::vector<double> values;
  for (const MetricValues& metrics : plays)
    if (const auto found = metrics.find(metric); found != metrics.end()) values.push_back(found->second);
  std::sort(values.begin(), values.end());
  return values;
}

Spread spread_of(const std::vector<double>& sorted) {
  const std::size_t n = sorted.size();
  return {(sorted[(n - 1) / 2] + sorted[n / 2]) / 2, sorted.front(), sorted.back()};
}

// Fits a line to all plays except those of the check size.
Line line_of(const Result& result, const std::string& metric) {
  std::vector<std::pair<double, double>> points;
  for (const auto& [size, plays] : result.plays)
    if (size != result.plan.check)
      for (const double value : values_of(plays, metric)) points.emplace_back(size, value);
  return fit_line(points);
}

std::string format_number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.4g", value);
  return text;
}

std::string padded(std::string text, std::size_t width) {
  if (text.size() < width) text.append(width - text.size(), ' ');
  return text + " ";
}

std::string formatted(const Spread& spread) {
  return format_number(spread.median) + " [" + format_number(spread.min) + " " + format_number(spread.max) +
         "]";
}

}  // namespace

Line fit_line(const std::vector<std::pair<double, double>>& points) {
  const double n = static_cast<double>(points.size());
  double x = 0, y = 0, xx = 0, xy = 0, squared_residuals = 0;
  for (const auto& [size, value] : points) {
    x += size / n;
    y += value / n;
  }
  for (const auto& [size, value] : points) {
    xx += (size - x) * (size - x);
    xy += (size - x) * (value - y);
  }
  Line line;
  line.slope = xx > 0 ? xy / xx : 0;
  line.intercept = y - line.slope * x;
  for (const auto& [size, value] : points)
    squared_residuals += std::pow(value - line.intercept - line.slope * size, 2);
  line.residual = points.empty() ? 0 : std::sqrt(squared_residuals / n);
  return line;
}

Result run(const Plan& plan, const std::string& program,
           const std::function<void(double size, int play)>& on_play_started) {
  Result result;
  result.plan = plan;
  std::vector<double> sizes = plan.sizes;
  sizes.push_back(plan.check);
  // Takes one play at each size in turn, so that other load on the machine affects all sizes.
  for (int i = 0; i < plan.plays; ++i)
    for (const double size : sizes) {
      on_play_started(size, i);
      result.plays[size].push_back(play(setup_at(plan, size), plan.seconds, program));
    }
  return result;
}

std::string as_text(const Result& result) {
  const Plan& plan = result.plan;
  std::string out = plan.name + ": one real node, " + plan.sweep + " swept; median [least most] of " +
                    std::to_string(plan.plays) + " plays, windows of " + format_number(plan.seconds) +
                    " s\n\n";
  for (const MetricDefinition& metric : metric_definitions()) {
    if (values_of(result.plays.begin()->second, metric.name).empty()) continue;
    out += metric.name + (metric.unit.empty() ? "" : " (" + metric.unit + ")") + ": " + metric.what + "\n";
    const Line line = line_of(result, metric.name);
    for (const auto& [size, plays] : result.plays) {
      const std::vector<double> values = values_of(plays, metric.name);
      if (values.empty()) continue;
      out += "  " + padded(format_number(size), 8) + formatted(spread_of(values));
      if (size == plan.check)
        out += "  check size, not fitted; predicted " + format_number(line.intercept + line.slope * size);
      out += "\n";
    }
    out += "  slope " + format_number(line.slope) + " intercept " + format_number(line.intercept) +
           " residual " + format_number(line.residual) + "\n";
  }
  return out;
}

std::string as_csv(const Result& result) {
  std::string out = "row,measure,unit,size,median,least,most,slope,intercept,residual,predicted\n";
  for (const MetricDefinition& metric : metric_definitions()) {
    if (values_of(result.plays.begin()->second, metric.name).empty()) continue;
    const Line line = line_of(result, metric.name);
    const std::string start = "," + metric.name + "," + metric.unit + ",";
    for (const auto& [size, plays] : result.plays) {
      const std::vector<double> values = values_of(plays, metric.name);
      if (values.empty()) continue;
      const Spread spread = spread_of(values);
      out += (size == result.plan.check ? "check" : "size") + start + format_number(size) + "," +
             format_number(spread.median) + "," + format_number(spread.min) + "," +
             format_number(spread.max) + ",,,," + format_number(line.intercept + line.slope * size) + "\n";
    }
    out += "fit" + start + ",,,," + format_number(line.slope) + "," + format_number(line.intercept) + "," +
           format_number(line.residual) + ",\n";
  }
  return out;
}

}  // namespace canvasstage::lab::real
