// Command capac reads the output of Go benchmarks that ran with several sizes from standard input. It prints a table with
// a row for each metric of each benchmark: the measured points and the least-squares line of the metric over the size.
package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// metricKey identifies a metric: the benchmark's name without its size, and the metric's unit.
type metricKey struct {
	name, unit string
}

// point is one measured value of a metric, in the metric's unit, at one benchmark size.
type point struct {
	size, value float64
}

// fittedLine is the line value = base + slope × size. Its residual is the largest relative error: the distance of a point
// from the line divided by the point's value.
type fittedLine struct {
	base, slope, residual float64
}

func run(in io.Reader, out io.Writer) error {
	measured := map[metricKey][]point{}
	scanner := bufio.NewScanner(in)
	for scanner.Scan() {
		parseLine(scanner.Text(), measured)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("reading benchmarks: %w", err)
	}
	return writeTable(out, measured)
}

// parseLine adds the metrics in one line of benchmark output to measured. Lines that are not results are ignored.
func parseLine(text string, measured map[metricKey][]point) {
	fields := strings.Fields(text)
	if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
		return
	}
	name, size := splitSize(fields[0])
	for i := 2; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return
		}
		key := metricKey{name: name, unit: fields[i+1]}
		measured[key] = append(measured[key], point{size: size, value: value})
	}
}

// splitSize splits a benchmark's name into the name without its size and the size. The size is the first part between
// slashes that is NUMBER, replaced by N in the name, or KEY=NUMBER, replaced by KEY. It is 0 if there is none. The
// GOMAXPROCS suffix is removed.
func splitSize(full string) (name string, size float64) {
	if at := strings.LastIndexByte(full, '-'); at > 0 {
		full = full[:at]
	}
	parts := strings.Split(full, "/")
	for i, part := range parts {
		key, text, found := strings.Cut(part, "=")
		if !found {
			key, text = "N", part
		}
		n, err := strconv.ParseFloat(text, 64)
		if err == nil {
			parts[i] = key
			return strings.Join(parts, "/"), n
		}
	}
	return full, 0
}

// fit returns the least-squares line through the points. If all points have the same size, the slope is 0 and the base is
// their mean.
func fit(points []point) fittedLine {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n++
		sx += p.size
		sy += p.value
		sxx += p.size * p.size
		sxy += p.size * p.value
	}
	l := fittedLine{base: sy / n}
	if d := n*sxx - sx*sx; d > 0 {
		l.slope = (n*sxy - sx*sy) / d
		l.base = (sy - l.slope*sx) / n
	}
	for _, p := range points {
		if p.value != 0 {
			l.residual = max(l.residual, abs(p.value-l.base-l.slope*p.size)/abs(p.value))
		}
	}
	return l
}

func abs(x float64) float64 { return max(x, -x) }

func writeTable(out io.Writer, measured map[metricKey][]point) error {
	var b strings.Builder
	b.WriteString("| benchmark | metric | points (size: value) | base | slope | worst residual |\n|---|---|---|---|---|---|\n")
	keys := slices.SortedFunc(maps.Keys(measured), func(x, y metricKey) int {
		return strings.Compare(x.name+" "+x.unit, y.name+" "+y.unit)
	})
	for _, key := range keys {
		points := measured[key]
		l := fit(points)
		fmt.Fprintf(&b, "| %s | %s | %s | %.4g | %.4g | %.0f %% |\n",
			strings.TrimPrefix(key.name, "Benchmark"), key.unit, formatPoints(points), l.base, l.slope, 100*l.residual)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

func formatPoints(points []point) string {
	texts := make([]string, len(points))
	for i, p := range points {
		texts[i] = fmt.Sprintf("%g: %.4g", p.size, p.value)
	}
	return strings.Join(texts, ", ")
}
