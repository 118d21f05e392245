// Writes plots as SVG. Plots have so few elements that the SVG text is written directly.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "experiment/experiment.h"

namespace canvasstage::lab {
namespace {

// Size and margins in pixels.
constexpr double kWidth = 640, kHeight = 400, kLeft = 70, kRight = 150, kTop = 40, kBottom = 55;
// Okabe-Ito palette: distinguishable with colour-vision deficiency.
constexpr const char* kColours[] = {"#0072b2", "#d55e00", "#009e73", "#cc79a7",
                                    "#e69f00", "#56b4e9", "#000000"};
constexpr std::size_t kColourCount = sizeof kColours / sizeof *kColours;

std::string escape_xml(const std::string& text) {
  std::string out;
  for (const char c : text)
    out += c == '<'   ? "&lt;"
           : c == '>' ? "&gt;"
           : c == '&' ? "&amp;"
           : c == '"' ? "&quot;"
                      : std::string(1, c);
  return out;
}

// A linear or logarithmic axis; a linear one has round tick values.
struct Axis {
  double from, to, step;
  bool logarithmic = false;
  double fraction(double value) const {
    if (logarithmic) return (std::log(value) - std::log(from)) / (std::log(to) - std::log(from));
    return (value - from) / (to - from);
  }
};

Axis make_axis(double min_value, double max_value) {
  if (max_value - min_value < 1e-9 * std::max(1.0, std::abs(max_value))) {
    min_value -= std::max(0.5, std::abs(min_value) / 2);
    max_value += std::max(0.5, std::abs(max_value) / 2);
  }
  constexpr int kTickCount = 5;
  const double raw_step = (max_value - min_value) / kTickCount;
  const double power = std::pow(10, std::floor(std::log10(raw_step)));
  const double step = (raw_step / power < 1.5   ? 1
                       : raw_step / power < 3.5 ? 2
                       : raw_step / power < 7.5 ? 5
                                                : 10) *
                      power;
  return {std::floor(min_value / step + 1e-9) * step, std::ceil(max_value / step - 1e-9) * step, step};
}

std::string svg_text(double x, double y, const std::string& text, const char* attributes = "") {
  char buffer[160];
  std::snprintf(buffer, sizeof buffer, "<text x=\"%.1f\" y=\"%.1f\" %s>", x, y, attributes);
  return buffer + escape_xml(text) + "</text>\n";
}

std::string svg_line(double x1, double y1, double x2, double y2, const char* stroke, double width = 1) {
  char buffer[200];
  std::snprintf(
      buffer, sizeof buffer,
      "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"%s\" stroke-width=\"%.1f\"/>\n", x1, y1,
      x2, y2, stroke, width);
  return buffer;
}

std::string format_number(double value) {
  char buffer[32];
  std::snprintf(buffer, sizeof buffer, "%.4g", std::abs(value) < 1e-12 ? 0 : value);
  return buffer;
}

}  // namespace

std::string as_svg(const Table& table, std::size_t measure) {
  double min_value = table.cells[measure][0][0].least, max_value = table.cells[measure][0][0].most;
  for (const auto& row : table.cells[measure])
    for (const Cell& cell : row) {
      min_value = std::min(min_value, cell.least);
      max_value = std::max(max_value, cell.most);
    }
  const Axis y = make_axis(min_value, max_value);
  const auto [min_swept, max_swept] = std::minmax_element(table.values.begin(), table.values.end());
  // A sweep over a wide range, such as fleet sizes, gets a logarithmic axis.
  const bool logarithmic_x = *min_swept > 0 && *max_swept >= 20 * *min_swept;
  Axis x = logarithmic_x ? Axis{*min_swept, *max_swept, 0, true} : make_axis(*min_swept, *max_swept);
  const auto to_x = [&](double value) { return kLeft + x.fraction(value) * (kWidth - kLeft - kRight); };
  const auto to_y = [&](double value) {
    return kHeight - kBottom - y.fraction(value) * (kHeight - kTop - kBottom);
  };

  char header[200];
  std::snprintf(header, sizeof header,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" height=\"%.0f\" "
                "font-family=\"sans-serif\" font-size=\"12\">\n",
                kWidth, kHeight);
  std::string out = header;
  out += "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  out += svg_text(kLeft, kTop - 18, table.name, "font-size=\"14\"");
  for (double tick = y.from; tick <= y.to + y.step / 2; tick += y.step) {
    out += svg_line(kLeft, to_y(tick), kWidth - kRight, to_y(tick), "#dddddd");
    out += svg_text(kLeft - 8, to_y(tick) + 4, format_number(tick), "text-anchor=\"end\"");
  }
  if (logarithmic_x)
    for (const double value : table.values)
      out += svg_text(to_x(value), kHeight - kBottom + 18, format_number(value), "text-anchor=\"middle\"");
  else
    for (double tick = x.from; tick <= x.to + x.step / 2; tick += x.step)
      out += svg_text(to_x(tick), kHeight - kBottom + 18, format_number(tick), "text-anchor=\"middle\"");
  out += svg_line(kLeft, kHeight - kBottom, kWidth - kRight, kHeight - kBottom, "black");
  out += svg_line(kLeft, kTop, kLeft, kHeight - kBottom, "black");
  out += svg_text((kLeft + kWidth - kRight) / 2, kHeight - 14, table.field.empty() ? "-" : table.field,
                  "text-anchor=\"middle\"");
  const std::string unit = unit_of(table.measures[measure]);
  char rotation[100];
  std::snprintf(rotation, sizeof rotation, "text-anchor=\"middle\" transform=\"rotate(-90 16 %.1f)\"",
                kHeight / 2);
  out +=
      svg_text(16, kHeight / 2, table.measures[measure] + (unit.empty() ? "" : " (" + unit + ")"), rotation);
  for (std::size_t p = 0; p < table.rows.size(); ++p) {
    const char* const colour = kColours[p % kColourCount];
    const std::vector<Cell>& cells = table.cells[measure][p];
    std::string points;
    for (std::size_t v = 0; v < cells.size(); ++v) {
      const double px = to_x(table.values[v]);
      char point[48];
      std::snprintf(point, sizeof point, "%.1f,%.1f ", px, to_y(cells[v].median));
      points += point;
      out += svg_line(px, to_y(cells[v].least), px, to_y(cells[v].most), colour, 1.5);
      char circle[120];
      std::snprintf(circle, sizeof circle, "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\" fill=\"%s\"/>\n", px,
                    to_y(cells[v].median), colour);
      out += circle;
    }
    out += "<polyline fill=\"none\" stroke=\"" + std::string(colour) + "\" points=\"" + points + "\"/>\n";
    const double at = kTop + 16 * static_cast<double>(p);
    out += svg_line(kWidth - kRight + 12, at - 4, kWidth - kRight + 30, at - 4, colour, 2);
    out += svg_text(kWidth - kRight + 36, at, table.rows[p]);
  }
  return out + "</svg>\n";
}

}  // namespace canvasstage::lab
