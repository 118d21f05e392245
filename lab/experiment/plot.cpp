// Plots as SVG: what is drawn is little enough to be written out.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "experiment/experiment.h"

namespace canvasstage::lab {
namespace {

constexpr double kWidth = 640, kHeight = 400, kLeft = 70, kRight = 150, kTop = 40, kBottom = 55;
// Told apart by those who see colours differently, too.
constexpr const char* kColours[] = {"#0072b2", "#d55e00", "#009e73", "#cc79a7",
                                    "#e69f00", "#56b4e9", "#000000"};
constexpr std::size_t kColourCount = sizeof kColours / sizeof *kColours;

std::string escaped(const std::string& text) {
  std::string out;
  for (const char c : text)
    out += c == '<'   ? "&lt;"
           : c == '>' ? "&gt;"
           : c == '&' ? "&amp;"
           : c == '"' ? "&quot;"
                      : std::string(1, c);
  return out;
}

// A scale with round marks.
struct Axis {
  double from, to, step;
  bool logarithmic = false;
  double part(double value) const {
    if (logarithmic) return (std::log(value) - std::log(from)) / (std::log(to) - std::log(from));
    return (value - from) / (to - from);
  }
};

Axis axis_over(double least, double most) {
  if (most - least < 1e-9 * std::max(1.0, std::abs(most))) {
    least -= std::max(0.5, std::abs(least) / 2);
    most += std::max(0.5, std::abs(most) / 2);
  }
  constexpr int kMarks = 5;
  const double raw = (most - least) / kMarks;
  const double power = std::pow(10, std::floor(std::log10(raw)));
  const double step = (raw / power < 1.5 ? 1 : raw / power < 3.5 ? 2 : raw / power < 7.5 ? 5 : 10) * power;
  return {std::floor(least / step + 1e-9) * step, std::ceil(most / step - 1e-9) * step, step};
}

std::string text_at(double x, double y, const std::string& words, const char* more = "") {
  char line[160];
  std::snprintf(line, sizeof line, "<text x=\"%.1f\" y=\"%.1f\" %s>", x, y, more);
  return line + escaped(words) + "</text>\n";
}

std::string line_from(double x1, double y1, double x2, double y2, const char* stroke, double width = 1) {
  char line[200];
  std::snprintf(
      line, sizeof line,
      "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"%s\" stroke-width=\"%.1f\"/>\n", x1, y1,
      x2, y2, stroke, width);
  return line;
}

std::string number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.4g", std::abs(value) < 1e-12 ? 0 : value);
  return text;
}

}  // namespace

std::string as_svg(const Table& table, std::size_t measure) {
  double least = table.cells[measure][0][0].least, most = table.cells[measure][0][0].most;
  for (const auto& line : table.cells[measure])
    for (const Cell& cell : line) {
      least = std::min(least, cell.least);
      most = std::max(most, cell.most);
    }
  const Axis y = axis_over(least, most);
  const auto [first, last] = std::minmax_element(table.values.begin(), table.values.end());
  // A sweep over sizes is by factors.
  const bool by_factors = *first > 0 && *last >= 20 * *first;
  Axis x = by_factors ? Axis{*first, *last, 0, true} : axis_over(*first, *last);
  const auto at_x = [&](double value) { return kLeft + x.part(value) * (kWidth - kLeft - kRight); };
  const auto at_y = [&](double value) {
    return kHeight - kBottom - y.part(value) * (kHeight - kTop - kBottom);
  };

  char head[200];
  std::snprintf(head, sizeof head,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" height=\"%.0f\" "
                "font-family=\"sans-serif\" font-size=\"12\">\n",
                kWidth, kHeight);
  std::string out = head;
  out += "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  out += text_at(kLeft, kTop - 18, table.name, "font-size=\"14\"");
  for (double mark = y.from; mark <= y.to + y.step / 2; mark += y.step) {
    out += line_from(kLeft, at_y(mark), kWidth - kRight, at_y(mark), "#dddddd");
    out += text_at(kLeft - 8, at_y(mark) + 4, number(mark), "text-anchor=\"end\"");
  }
  if (by_factors)
    for (const double value : table.values)
      out += text_at(at_x(value), kHeight - kBottom + 18, number(value), "text-anchor=\"middle\"");
  else
    for (double mark = x.from; mark <= x.to + x.step / 2; mark += x.step)
      out += text_at(at_x(mark), kHeight - kBottom + 18, number(mark), "text-anchor=\"middle\"");
  out += line_from(kLeft, kHeight - kBottom, kWidth - kRight, kHeight - kBottom, "black");
  out += line_from(kLeft, kTop, kLeft, kHeight - kBottom, "black");
  out += text_at((kLeft + kWidth - kRight) / 2, kHeight - 14, table.field.empty() ? "-" : table.field,
                 "text-anchor=\"middle\"");
  const std::string unit = unit_of(table.measures[measure]);
  char turned[100];
  std::snprintf(turned, sizeof turned, "text-anchor=\"middle\" transform=\"rotate(-90 16 %.1f)\"",
                kHeight / 2);
  out += text_at(16, kHeight / 2, table.measures[measure] + (unit.empty() ? "" : " (" + unit + ")"), turned);
  for (std::size_t p = 0; p < table.lines.size(); ++p) {
    const char* const colour = kColours[p % kColourCount];
    const std::vector<Cell>& cells = table.cells[measure][p];
    std::string points;
    for (std::size_t v = 0; v < cells.size(); ++v) {
      const double px = at_x(table.values[v]);
      char point[48];
      std::snprintf(point, sizeof point, "%.1f,%.1f ", px, at_y(cells[v].median));
      points += point;
      out += line_from(px, at_y(cells[v].least), px, at_y(cells[v].most), colour, 1.5);
      char dot[120];
      std::snprintf(dot, sizeof dot, "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\" fill=\"%s\"/>\n", px,
                    at_y(cells[v].median), colour);
      out += dot;
    }
    out += "<polyline fill=\"none\" stroke=\"" + std::string(colour) + "\" points=\"" + points + "\"/>\n";
    const double at = kTop + 16 * static_cast<double>(p);
    out += line_from(kWidth - kRight + 12, at - 4, kWidth - kRight + 30, at - 4, colour, 2);
    out += text_at(kWidth - kRight + 36, at, table.lines[p]);
  }
  return out + "</svg>\n";
}

}  // namespace canvasstage::lab
