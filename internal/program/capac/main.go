// Command capac reads the output of Go benchmarks of several sizes from standard input and prints a table of the
// measured points and of the straight line through them for each metric.
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

// series is a metric of a benchmark by size.
type series struct {
	name, unit string
}

// point is one measurement.
type point struct {
	size, value float64
}

// line is value = base + slope × size. Residual is the largest distance of a point from it, as a share of the value.
type line struct {
	base, slope, residual float64
}

func run(in io.Reader, out io.Writer) error {
	measured := map[series][]point{}
	scanner := bufio.NewScanner(in)
	for scanner.Scan() {
		read(scanner.Text(), measured)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("reading benchmarks: %w", err)
	}
	return write(out, measured)
}

// read takes in one line of the output; other lines than results are passed over.
func read(text string, measured map[series][]point) {
	fields := strings.Fields(text)
	if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
		return
	}
	name, size := split(fields[0])
	for i := 2; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return
		}
		key := series{name: name, unit: fields[i+1]}
		measured[key] = append(measured[key], point{size: size, value: value})
	}
}

// split takes the size out of a benchmark's name: the first part that is a number or ends in =NUMBER. The number of
// processors at the end is cut off.
func split(full string) (name string, size float64) {
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

// fit returns the line of least squares. A single size has no slope.
func fit(points []point) line {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n++
		sx += p.size
		sy += p.value
		sxx += p.size * p.size
		sxy += p.size * p.value
	}
	l := line{base: sy / n}
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

func write(out io.Writer, measured map[series][]point) error {
	var b strings.Builder
	b.WriteString("| benchmark | metric | points (size: value) | base | slope | worst residual |\n|---|---|---|---|---|---|\n")
	keys := slices.SortedFunc(maps.Keys(measured), func(x, y series) int {
		return strings.Compare(x.name+" "+x.unit, y.name+" "+y.unit)
	})
	for _, key := range keys {
		points := measured[key]
		l := fit(points)
		fmt.Fprintf(&b, "| %s | %s | %s | %.4g | %.4g | %.0f %% |\n",
			strings.TrimPrefix(key.name, "Benchmark"), key.unit, list(points), l.base, l.slope, 100*l.residual)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

func list(points []point) string {
	texts := make([]string, len(points))
	for i, p := range points {
		texts[i] = fmt.Sprintf("%g: %.4g", p.size, p.value)
	}
	return strings.Join(texts, ", ")
}
