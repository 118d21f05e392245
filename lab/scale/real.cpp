#include "scale/real.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace canvasstage::lab::real {
namespace {

struct Spread {
  double median = 0, least = 0, most = 0;
};

std::vector<double> values_of(const std::vector<Figures>& plays, const std::string& measure) {
  std::vector<double> values;
  for (const Figures& figures : plays)
    if (const auto found = figures.find(measure); found != figures.end()) values.push_back(found->second);
  std::sort(values.begin(), values.end());
  return values;
}

Spread spread_of(const std::vector<double>& sorted) {
  const std::size_t n = sorted.size();
  return {(sorted[(n - 1) / 2] + sorted[n / 2]) / 2, sorted.front(), sorted.back()};
}

// The check size's plays are left out.
Line line_of(const Result& result, const std::string& measure) {
  std::vector<std::pair<double, double>> points;
  for (const auto& [size, plays] : result.plays)
    if (size != result.plan.check)
      for (const double value : values_of(plays, measure)) points.emplace_back(size, value);
  return fitted(points);
}

std::string number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.4g", value);
  return text;
}

std::string padded(std::string text, std::size_t width) {
  if (text.size() < width) text.append(width - text.size(), ' ');
  return text + " ";
}

std::string in_words(const Spread& spread) {
  return number(spread.median) + " [" + number(spread.least) + " " + number(spread.most) + "]";
}

}  // namespace

Line fitted(const std::vector<std::pair<double, double>>& points) {
  const double n = static_cast<double>(points.size());
  double x = 0, y = 0, xx = 0, xy = 0, left = 0;
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
  for (const auto& [size, value] : points) left += std::pow(value - line.intercept - line.slope * size, 2);
  line.residual = points.empty() ? 0 : std::sqrt(left / n);
  return line;
}

Result run(const Plan& plan, const std::string& program,
           const std::function<void(double size, int play)>& told) {
  Result result;
  result.plan = plan;
  std::vector<double> sizes = plan.sizes;
  sizes.push_back(plan.check);
  // Play by play and not size by size: what else the machine does falls on all sizes.
  for (int i = 0; i < plan.plays; ++i)
    for (const double size : sizes) {
      told(size, i);
      result.plays[size].push_back(play(setup_at(plan, size), plan.seconds, program));
    }
  return result;
}

std::string as_text(const Result& result) {
  const Plan& plan = result.plan;
  std::string out = plan.name + ": one real node, " + plan.sweep + " swept; median [least most] of " +
                    std::to_string(plan.plays) + " plays, windows of " + number(plan.seconds) + " s\n\n";
  for (const Measure& measure : measures()) {
    if (values_of(result.plays.begin()->second, measure.name).empty()) continue;
    out +=
        measure.name + (measure.unit.empty() ? "" : " (" + measure.unit + ")") + ": " + measure.what + "\n";
    const Line line = line_of(result, measure.name);
    for (const auto& [size, plays] : result.plays) {
      const std::vector<double> values = values_of(plays, measure.name);
      if (values.empty()) continue;
      out += "  " + padded(number(size), 8) + in_words(spread_of(values));
      if (size == plan.check)
        out += "  check size, not fitted; predicted " + number(line.intercept + line.slope * size);
      out += "\n";
    }
    out += "  slope " + number(line.slope) + " intercept " + number(line.intercept) + " residual " +
           number(line.residual) + "\n";
  }
  return out;
}

std::string as_csv(const Result& result) {
  std::string out = "row,measure,unit,size,median,least,most,slope,intercept,residual,predicted\n";
  for (const Measure& measure : measures()) {
    if (values_of(result.plays.begin()->second, measure.name).empty()) continue;
    const Line line = line_of(result, measure.name);
    const std::string start = "," + measure.name + "," + measure.unit + ",";
    for (const auto& [size, plays] : result.plays) {
      const std::vector<double> values = values_of(plays, measure.name);
      if (values.empty()) continue;
      const Spread spread = spread_of(values);
      out += (size == result.plan.check ? "check" : "size") + start + number(size) + "," +
             number(spread.median) + "," + number(spread.least) + "," + number(spread.most) + ",,,," +
             number(line.intercept + line.slope * size) + "\n";
    }
    out += "fit" + start + ",,,," + number(line.slope) + "," + number(line.intercept) + "," +
           number(line.residual) + ",\n";
  }
  return out;
}

}  // namespace canvasstage::lab::real
