package report

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"maps"
	"slices"
	"strings"
	"time"
)

//go:embed report.html
var page string

var pageTemplate = template.Must(template.New("report").Parse(page))

// Dimensions of a plot in SVG units.
const (
	plotWidth  = 860
	plotHeight = 110
	plotLeft   = 46
	plotRight  = 14
	plotTop    = 8
	rowHeight  = 9
	axisHeight = 22
)

// EmptyHistoryError reports that a wave has no history to render.
type EmptyHistoryError struct{ Wave string }

func (e *EmptyHistoryError) Error() string {
	return fmt.Sprintf("wave %q has no history yet: it is written within a minute of its start", e.Wave)
}

// Render returns a history as one self-contained HTML page: it opens offline
// and loads no script, font or image. It returns *EmptyHistoryError for a history
// without samples.
func Render(h History) ([]byte, error) {
	if len(h.Samples) == 0 {
		return nil, &EmptyHistoryError{Wave: h.Wave}
	}
	d := newDrawing(h)
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, d.page()); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

type pageData struct {
	Wave, Phase, Reason    string
	From, To, Took, Step   string
	Hosts, Maintained, Bad int
	MostOut                int
	Below                  int
	Plots                  []plot
	HostsPlot              plot
	Failed                 []failedHost
}

type plot struct {
	Title   string
	Verdict string
	Bad     bool
	SVG     template.HTML
}

type failedHost struct{ Host, Reason string }

// drawing maps times to the x axis that all plots share.
type drawing struct {
	h     History
	first int64
	last  int64
}

func newDrawing(h History) drawing {
	d := drawing{h: h, first: h.Samples[0].At, last: h.Samples[len(h.Samples)-1].At + int64(h.Step)}
	for _, downtime := range h.Hosts {
		d.first = min(d.first, downtime.From)
	}
	return d
}

func (d drawing) x(at int64) float64 {
	share := float64(at-d.first) / float64(max(1, d.last-d.first))
	return plotLeft + min(1, max(0, share))*(plotWidth-plotLeft-plotRight)
}

func (d drawing) page() pageData {
	end := d.h.Samples[len(d.h.Samples)-1]
	data := pageData{
		Wave: d.h.Wave, Phase: string(d.h.Phase), Reason: d.h.Reason,
		From: clock(d.first), To: clock(end.At), Took: (time.Duration(end.At-d.first) * time.Second).String(),
		Step:  (time.Duration(d.h.Step) * time.Second).String(),
		Hosts: len(d.h.Hosts), Maintained: end.Maintained, Bad: len(d.h.Failed),
	}
	for _, sample := range d.h.Samples {
		data.MostOut = max(data.MostOut, sample.Out)
	}
	for i, service := range d.h.Services {
		p := d.service(i, service)
		if p.Bad {
			data.Below++
		}
		data.Plots = append(data.Plots, p)
	}
	data.HostsPlot = d.hosts()
	for _, host := range slices.Sorted(maps.Keys(d.h.Failed)) {
		data.Failed = append(data.Failed, failedHost{Host: host, Reason: d.h.Failed[host]})
	}
	return data
}

func clock(at int64) string { return time.Unix(at, 0).UTC().Format("2006-01-02 15:04:05") }

// service renders the plot of one service: its available endpoints as steps,
// its budget, and the periods below it.
func (d drawing) service(i int, s ServiceBudget) plot {
	top := s.Endpoints
	worst := d.h.Samples[0].Available[i]
	for _, sample := range d.h.Samples {
		top = max(top, sample.Available[i])
		worst = min(worst, sample.Available[i])
	}
	top = max(top, s.MinAvailable, 1)
	y := func(value int) float64 {
		return plotTop + (1-float64(value)/float64(top))*(plotHeight-plotTop)
	}
	var svg strings.Builder
	open(&svg, plotHeight+axisHeight)
	d.axis(&svg, plotHeight)
	for _, value := range []int{0, top} {
		fmt.Fprintf(&svg, `<text class="tick" x="%d" y="%.1f" text-anchor="end">%d</text>`, plotLeft-6, y(value)+4, value)
	}
	if s.HasBudget {
		fmt.Fprintf(&svg, `<line class="budget" x1="%d" x2="%d" y1="%.1f" y2="%.1f"/>`, plotLeft, plotWidth-plotRight, y(s.MinAvailable), y(s.MinAvailable))
		fmt.Fprintf(&svg, `<text class="tick" x="%d" y="%.1f" text-anchor="end">%d</text>`, plotLeft-6, y(s.MinAvailable)+4, s.MinAvailable)
	}
	d.steps(&svg, i, s, y)
	svg.WriteString("</svg>")
	p := plot{Title: s.Name, SVG: template.HTML(svg.String())}
	p.Bad = s.HasBudget && worst < s.MinAvailable
	switch {
	case !s.HasBudget:
		p.Verdict = fmt.Sprintf("no budget, fewest available %d of %d", worst, s.Endpoints)
	case p.Bad:
		p.Verdict = fmt.Sprintf("below its budget: fewest available %d, needed %d", worst, s.MinAvailable)
	default:
		p.Verdict = fmt.Sprintf("within its budget: fewest available %d of %d, needed %d", worst, s.Endpoints, s.MinAvailable)
	}
	return p
}

func (d drawing) steps(svg *strings.Builder, i int, s ServiceBudget, y func(int) float64) {
	var path strings.Builder
	for n, sample := range d.h.Samples {
		value := sample.Available[i]
		end := d.last
		if n+1 < len(d.h.Samples) {
			end = d.h.Samples[n+1].At
		}
		if s.HasBudget && value < s.MinAvailable {
			fmt.Fprintf(svg, `<rect class="below" x="%.1f" y="%d" width="%.1f" height="%d"/>`,
				d.x(sample.At), plotTop, max(1, d.x(end)-d.x(sample.At)), plotHeight-plotTop)
		}
		command := "L"
		if n == 0 {
			command = "M"
		}
		fmt.Fprintf(&path, "%s%.1f %.1fL%.1f %.1f", command, d.x(sample.At), y(value), d.x(end), y(value))
	}
	fmt.Fprintf(svg, `<path class="available" d="%s"/>`, path.String())
}

// hosts renders one bar per host for its downtime.
func (d drawing) hosts() plot {
	names := slices.SortedFunc(maps.Keys(d.h.Hosts), func(a, b string) int {
		if byTime := d.h.Hosts[a].From - d.h.Hosts[b].From; byTime != 0 {
			return int(byTime)
		}
		return strings.Compare(a, b)
	})
	height := plotTop + rowHeight*max(1, len(names))
	var svg strings.Builder
	open(&svg, height+axisHeight)
	d.axis(&svg, height)
	for row, name := range names {
		downtime := d.h.Hosts[name]
		class, to := "done", downtime.To
		switch {
		case downtime.To == 0:
			class, to = "out", d.last
		case downtime.Result != "maintained":
			class = "failed"
		}
		fmt.Fprintf(&svg, `<rect class="%s" x="%.1f" y="%d" width="%.1f" height="%d"><title>%s</title></rect>`,
			class, d.x(downtime.From), plotTop+row*rowHeight, max(2, d.x(to)-d.x(downtime.From)), rowHeight-2,
			template.HTMLEscapeString(fmt.Sprintf("%s, %s to %s, %s", name, clock(downtime.From), clock(to), class)))
	}
	svg.WriteString("</svg>")
	return plot{Title: "Hosts out", SVG: template.HTML(svg.String())}
}

func open(svg *strings.Builder, height int) {
	fmt.Fprintf(svg, `<svg viewBox="0 0 %d %d" role="img" xmlns="http://www.w3.org/2000/svg">`, plotWidth, height)
}

// tickIntervals are the possible intervals between labels of the time axis.
var tickIntervals = []time.Duration{
	time.Second, 5 * time.Second, 15 * time.Second, time.Minute, 5 * time.Minute, 15 * time.Minute,
	time.Hour, 3 * time.Hour, 6 * time.Hour, 24 * time.Hour, 7 * 24 * time.Hour,
}

const maxTicks = 8

func (d drawing) axis(svg *strings.Builder, height int) {
	fmt.Fprintf(svg, `<line class="axis" x1="%d" x2="%d" y1="%d" y2="%d"/>`, plotLeft, plotWidth-plotRight, height, height)
	step := int64(tickIntervals[len(tickIntervals)-1].Seconds())
	for _, tick := range tickIntervals {
		if (d.last-d.first)/int64(tick.Seconds()) <= maxTicks {
			step = int64(tick.Seconds())
			break
		}
	}
	layout := "15:04"
	switch {
	case step < 60:
		layout = "15:04:05"
	case step >= 24*3600:
		layout = "01-02"
	}
	for at := (d.first/step + 1) * step; at < d.last; at += step {
		fmt.Fprintf(svg, `<line class="axis" x1="%.1f" x2="%.1f" y1="%d" y2="%d"/>`, d.x(at), d.x(at), height, height+4)
		fmt.Fprintf(svg, `<text class="tick" x="%.1f" y="%d" text-anchor="middle">%s</text>`, d.x(at), height+16, time.Unix(at, 0).UTC().Format(layout))
	}
}
