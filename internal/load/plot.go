package load

import (
	"image/color"
	"math"
	"os"
	"path/filepath"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // the format of the files
)

const (
	// plotBin is the span of time that one point of a plot summarises.
	plotBin    = 500 * time.Millisecond
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 13 * vg.Centimeter
	// legendRoom is the part of the time axis that is kept free for the legend.
	legendRoom = 0.28
)

// WritePlots writes the plots of a run into a directory, in a format that gonum
// knows by its file extension.
func WritePlots(directory, format string, result *Result) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Wrap(err, "create directory of plots")
	}
	for name, draw := range map[string]func(*Result) (*plot.Plot, error){
		"latency": latencyPlot, "throughput": throughputPlot, "refusals": refusalPlot, "failover": failoverPlot,
	} {
		p, err := draw(result)
		if err == nil {
			err = p.Save(plotWidth, plotHeight, filepath.Join(directory, name+"."+format))
		}
		if err != nil {
			return errors.Wrapf(err, "plot %s", name)
		}
	}
	return nil
}

// line is a named series of points.
type line struct {
	name   string
	points plotter.XYs
}

// chart draws lines over time and marks the faults. A positive floor makes the
// vertical axis logarithmic from there.
func chart(result *Result, title, unit string, floor float64, lines []line) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = result.Scenario.Name + ": " + title
	p.X.Label.Text, p.Y.Label.Text = "time since the start of the load (s)", unit
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	top := 1.0
	for i, l := range lines {
		if len(l.points) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(l.points)
		if err != nil {
			return nil, err
		}
		drawn.Color, drawn.Width = plotutil.Color(i), vg.Points(1.3)
		drawn.Dashes = plotutil.Dashes(i / len(plotutil.DefaultColors))
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
		for _, point := range l.points {
			top = max(top, point.Y)
		}
	}
	p.Y.Min, p.Y.Max = 0, 1.15*top
	if floor > 0 {
		p.Y.Min, p.Y.Max, p.Y.Scale, p.Y.Tick.Marker = floor, 2*top, plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	p.X.Min, p.X.Max = 0, result.Scenario.Duration.Seconds()*(1+legendRoom)
	return p, markFaults(p, result.Events)
}

// markFaults draws a vertical line at the start of each fault, with its name, and a
// dashed one at its end. Names are staggered so that they do not cover each other.
func markFaults(p *plot.Plot, events []Event) error {
	for i, e := range events {
		for _, at := range []time.Duration{e.At, e.Until} {
			if at == 0 {
				continue
			}
			mark, err := plotter.NewLine(plotter.XYs{{X: at.Seconds(), Y: p.Y.Min}, {X: at.Seconds(), Y: p.Y.Max}})
			if err != nil {
				return err
			}
			mark.Color = color.Gray{Y: 90}
			if at == e.Until {
				mark.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
			}
			p.Add(mark)
		}
		labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: e.At.Seconds(), Y: p.Y.Max}}, Labels: []string{e.Name}})
		if err != nil {
			return err
		}
		labels.Offset.X, labels.Offset.Y = vg.Points(3), -vg.Points(float64(12*(1+i%4)))
		p.Add(labels)
	}
	return nil
}

// bins divides records by the bin of their due time.
func bins(result *Result, of func(*Record) bool) [][]*Record {
	count := int(result.Scenario.Duration/plotBin) + 1
	out := make([][]*Record, count)
	for i := range result.History.Records {
		r := &result.History.Records[i]
		if of(r) {
			bin := min(count-1, int(r.Intended/plotBin))
			out[bin] = append(out[bin], r)
		}
	}
	return out
}

func middle(bin int) float64 { return (time.Duration(bin)*plotBin + plotBin/2).Seconds() }

func latencyPlot(result *Result) (*plot.Plot, error) {
	var lines []line
	for _, c := range []struct {
		name   string
		writes bool
		at     float64
	}{{"reads p50", false, 50}, {"reads p99", false, 99}, {"writes p50", true, 50}, {"writes p99", true, 99}} {
		l := line{name: c.name}
		for bin, records := range bins(result, func(r *Record) bool { return r.Outcome == OK && r.Kind.writes() == c.writes }) {
			h := hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
			for _, r := range records {
				record(h, r)
			}
			if len(records) > 0 {
				l.points = append(l.points, plotter.XY{X: middle(bin), Y: float64(h.ValueAtQuantile(c.at)) / 1000})
			}
		}
		lines = append(lines, l)
	}
	return chart(result, "latency from the due time", "ms", 1, lines)
}

// rates draws the requests of every organisation that satisfy a condition, per second.
func rates(result *Result, title string, of func(*Record) bool) (*plot.Plot, error) {
	var lines []line
	for _, o := range result.organisations() {
		l := line{name: string(o.Name)}
		for bin, records := range bins(result, func(r *Record) bool { return r.Organisation == o.Name && of(r) }) {
			l.points = append(l.points, plotter.XY{X: middle(bin), Y: float64(len(records)) / plotBin.Seconds()})
		}
		lines = append(lines, l)
	}
	return chart(result, title, "requests/s", 0, lines)
}

func throughputPlot(result *Result) (*plot.Plot, error) {
	return rates(result, "answered requests by due time", func(r *Record) bool { return r.Outcome == OK })
}

func refusalPlot(result *Result) (*plot.Plot, error) {
	return rates(result, "requests not answered by due time", func(r *Record) bool { return r.Outcome != OK })
}

// failoverPlot draws the time since the last acknowledged write of each group.
func failoverPlot(result *Result) (*plot.Plot, error) {
	acknowledged := map[string][]time.Duration{}
	for i := range result.History.Records {
		if r := &result.History.Records[i]; r.Outcome == OK && r.Kind.writes() {
			acknowledged[string(r.Group)] = append(acknowledged[string(r.Group)], r.Done)
		}
	}
	var lines []line
	for group, times := range acknowledged {
		sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
		l, last := line{name: group}, times[0]
		for _, at := range times {
			gap := math.Max(0, float64((at-last).Microseconds())/1000)
			l.points = append(l.points, plotter.XY{X: last.Seconds(), Y: 0}, plotter.XY{X: at.Seconds(), Y: gap})
			last = at
		}
		if end := result.Scenario.Duration; last < end { // no write was acknowledged any more
			l.points = append(l.points, plotter.XY{X: last.Seconds(), Y: 0}, plotter.XY{X: end.Seconds(), Y: float64((end - last).Milliseconds())})
		}
		lines = append(lines, l)
	}
	sort.Slice(lines, func(i, j int) bool { return lines[i].name < lines[j].name })
	return chart(result, "time since the last acknowledged write", "ms", 0, lines)
}
