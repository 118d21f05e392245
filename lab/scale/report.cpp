// Runs the plays of a measurement, fits a line to each metric, and formats the result.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "scale/scale.h"

namespace canvasstage::lab {
namespace {

std::string formatted(double value, const char* format = "%.4g") {
  char text[32];
  std::snprintf(text, sizeof text, format, value);
  return text;
}

std::string formatted(const Cell& cell) {
  if (cell.least == cell.most) return formatted(cell.median);
  return formatted(cell.median) + " (" + formatted(cell.least) + " to " + formatted(cell.most) + ")";
}

std::string padded(const std::string& text, std::size_t width) {
  return (text.size() < width ? std::string(width - text.size(), ' ') : "") + text;
}

void predict(Row& row, const Measurement& measurement) {
  std::vector<double> x(measurement.sizes.begin(), measurement.sizes.end()), y;
  for (const Cell& cell : row.cells) y.push_back(cell.median);
  row.line = fit(x, y);
  row.predicted = row.line.intercept + row.line.slope * measurement.check;
  row.difference_percent =
      row.predicted != 0 ? 100 * (row.check.median - row.predicted) / std::abs(row.predicted) : 0;
}

// The metrics of each play at one size.
using Plays = std::vector<std::vector<Metric>>;

Cell cell_over(const Plays& plays, std::size_t metric) {
  std::vector<double> values;
  for (const std::vector<Metric>& play_metrics : plays) values.push_back(play_metrics[metric].value);
  return cell_of(std::move(values));
}

bool is_zero(const Row& row) {
  return row.check.most == 0 &&
         std::ranges::all_of(row.cells, [](const Cell& cell) { return cell.least == 0 && cell.most == 0; });
}

}  // namespace

Fit fit(const std::vector<double>& x, const std::vector<double>& y) {
  const double n = static_cast<double>(x.size());
  double mean_x = 0, mean_y = 0, xx = 0, xy = 0, squared_residuals = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    mean_x += x[i] / n;
    mean_y += y[i] / n;
  }
  for (std::size_t i = 0; i < x.size(); ++i) {
    xx += (x[i] - mean_x) * (x[i] - mean_x);
    xy += (x[i] - mean_x) * (y[i] - mean_y);
  }
  Fit line;
  line.slope = xx > 0 ? xy / xx : 0;
  line.intercept = mean_y - line.slope * mean_x;
  for (std::size_t i = 0; i < x.size(); ++i)
    squared_residuals += std::pow(y[i] - line.intercept - line.slope * x[i], 2);
  line.residual = std::sqrt(squared_residuals / n);
  return line;
}

// Plays alternate over all sizes, so that drift of the machine's speed affects every size.
ScaleTable measure(const Measurement& measurement,
                   const std::function<void(int size, int play)>& on_play_started) {
  std::vector<int> sizes = measurement.sizes;
  sizes.push_back(measurement.check);
  std::vector<Plays> plays(sizes.size());
  play(size_of(measurement, *std::ranges::max_element(sizes)), measurement.end,
       0);  // a warm-up that is not counted
  for (int n = 1; n <= measurement.plays; ++n)
    for (std::size_t i = 0; i < sizes.size(); ++i) {
      if (on_play_started) on_play_started(sizes[i], n);
      plays[i].push_back(
          play(size_of(measurement, sizes[i]), measurement.end, static_cast<std::uint32_t>(n) * 100000));
    }
  ScaleTable table{measurement, {}};
  const std::vector<Metric>& first = plays[0][0];
  for (std::size_t metric = 0; metric < first.size(); ++metric) {
    Row row{first[metric].name, first[metric].unit, {}, {}, {}, 0, 0};
    for (std::size_t i = 0; i + 1 < sizes.size(); ++i) row.cells.push_back(cell_over(plays[i], metric));
    row.check = cell_over(plays.back(), metric);
    predict(row, measurement);
    table.rows.push_back(std::move(row));
  }
  return table;
}

std::string as_text(const ScaleTable& table) {
  const Measurement& m = table.measurement;
  std::string out = m.name + ": median (least to most) of " + std::to_string(m.plays) + " plays against " +
                    m.field + "; the line's residual is the root of the mean square\n";
  const auto line = [&](const std::string& name, const std::vector<std::string>& columns) {
    std::string text = name + std::string(name.size() < 30 ? 30 - name.size() : 0, ' ');
    for (const std::string& column : columns) text.append(1, ' ').append(padded(column, 26));
    out += text + "\n";
  };
  std::vector<std::string> head;
  for (const int size : m.sizes) head.push_back(std::to_string(size));
  const std::string check = std::to_string(m.check);
  for (const char* const column : {"slope", "intercept", "residual"}) head.emplace_back(column);
  head.push_back(check + " predicted");
  head.push_back(check + " run");
  head.emplace_back("difference %");
  line(m.field, head);
  std::string zero_rows;
  for (const Row& row : table.rows) {
    if (is_zero(row)) {
      zero_rows.append(1, ' ').append(row.name);
      continue;
    }
    std::vector<std::string> columns;
    for (const Cell& cell : row.cells) columns.push_back(formatted(cell));
    for (const double value : {row.line.slope, row.line.intercept, row.line.residual, row.predicted})
      columns.push_back(formatted(value));
    columns.push_back(formatted(row.check));
    columns.push_back(row.predicted != 0 ? formatted(row.difference_percent, "%.1f") : "-");
    line(row.unit.empty() ? row.name : row.name + ", " + row.unit, columns);
  }
  return zero_rows.empty() ? out : out + "0 at every size:" + zero_rows + "\n";
}

std::string as_csv(const ScaleTable& table) {
  const Measurement& m = table.measurement;
  std::string out = "figure,unit," + m.field +
                    ",use,median,least,most,slope,intercept,residual,predicted,difference_percent\n";
  for (const Row& row : table.rows)
    for (std::size_t i = 0; i <= m.sizes.size(); ++i) {
      const bool checked = i == m.sizes.size();
      const int size = checked ? m.check : m.sizes[i];
      const Cell& cell = checked ? row.check : row.cells[i];
      out += row.name + "," + row.unit + "," + std::to_string(size) + "," + (checked ? "check" : "fit");
      for (const double value : {cell.median, cell.least, cell.most, row.line.slope, row.line.intercept,
                                 row.line.residual, row.line.intercept + row.line.slope * size})
        out.append(1, ',').append(formatted(value, "%.9g"));
      out.append(1, ',').append(checked ? formatted(row.difference_percent, "%.3g") : "").append(1, '\n');
    }
  return out;
}

std::string as_svg(const ScaleTable& table) {
  const Measurement& m = table.measurement;
  Table plot_table{m.name, m.field, m.plot, {}, {m.sizes.begin(), m.sizes.end()}, {}, 0, 0, {}};
  plot_table.values.push_back(m.check);
  plot_table.cells.emplace_back();
  for (const std::string& name : m.plot) {
    const Row& row = *std::ranges::find(table.rows, name, &Row::name);
    plot_table.measures = {row.unit.empty() ? std::string("count") : row.unit};
    plot_table.cells[0].push_back(row.cells);
    plot_table.cells[0].back().push_back(row.check);
  }
  return as_svg(plot_table, 0);
}

}  // namespace canvasstage::lab
