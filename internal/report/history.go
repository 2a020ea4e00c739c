// Package report keeps what a maintenance wave did to the services'
// availability while it ran, and draws it.
package report

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"auburnglade.example/glade/internal/explain"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/wave"
)

const (
	// maxSamples and maxCells bound a history: when it is full, neighbouring
	// samples are joined, so that it covers any length of wave in a value of
	// a few hundred kilobytes at most.
	maxSamples = 600
	maxCells   = 60_000
)

// History is a wave's course.
type History struct {
	Wave string `json:"wave"`
	// Services are those that run on the wave's pools, in a fixed order.
	Services []ServiceBudget `json:"services"`
	// Step is the time from one sample to the next, in seconds.
	Step    int      `json:"step"`
	Samples []Sample `json:"samples"`
	// Hosts holds the latest visit to each host that the wave took out.
	Hosts map[string]Downtime `json:"hosts"`
	// Phase, Reason and Failed are the wave's last status.
	Phase  wave.Phase        `json:"phase,omitempty"`
	Reason string            `json:"reason,omitempty"`
	Failed map[string]string `json:"failed,omitempty"`
	// WriteID identifies the write that made this version.
	WriteID string `json:"writeId,omitempty"`
}

// ServiceBudget is one service's budget as it was last.
type ServiceBudget struct {
	Name         string               `json:"name"`
	HasBudget    bool                 `json:"bounded"`
	MinAvailable int                  `json:"minAvailable"`
	Margin       record.FailureMargin `json:"margin,omitempty"`
	Endpoints    int                  `json:"endpoints"`
}

// Sample is the fleet at one moment, or the worst of several joined ones.
type Sample struct {
	// At is in seconds since 1970 by the deciding controller's wall clock.
	At int64 `json:"at"`
	// Available are the fewest available endpoints, in the order of Services.
	Available []int `json:"available"`
	// Out is the most hosts that the wave had out.
	Out int `json:"out"`
	// Maintained and Failed count the hosts visited so far.
	Maintained int `json:"maintained"`
	Failed     int `json:"failed"`
}

// Downtime is the time that a host was out.
type Downtime struct {
	From int64 `json:"from"`
	// To is zero while the host is out.
	To     int64             `json:"to,omitempty"`
	Result hostrecord.Result `json:"result,omitempty"`
}

// CorruptError says that a stored history can't be read.
type CorruptError struct {
	Key   string
	Cause error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("history %q is damaged: %v", e.Key, e.Cause)
}

func (e *CorruptError) Unwrap() error { return e.Cause }

// Parse reads a stored history.
func Parse(key string, value []byte) (History, error) {
	var h History
	if err := json.Unmarshal(value, &h); err != nil {
		return History{}, &CorruptError{Key: key, Cause: err}
	}
	return h, nil
}

// AppendSample returns the history with one more sample. It is pure; step is the
// pause between two samples as they are taken.
func AppendSample(h History, view explain.View, name string, spec *record.Wave, now time.Time, step time.Duration) History {
	h.Wave = name
	if h.Step == 0 {
		h.Step = max(1, int(step.Seconds()))
	}
	services := servicesOf(view, spec)
	h.Samples = realign(h.Samples, h.Services, services)
	h.Services = nil
	sample := Sample{At: now.Unix()}
	for _, a := range services {
		h.Services = append(h.Services, ServiceBudget{
			Name: a.Service, HasBudget: a.HasBudget, MinAvailable: a.MinAvailable, Margin: a.Margin, Endpoints: a.Endpoints,
		})
		sample.Available = append(sample.Available, a.Available)
	}
	h.Hosts = spans(h.Hosts, view, name, now)
	for _, span := range h.Hosts {
		switch {
		case span.To == 0:
			sample.Out++
		case span.Result == hostrecord.Maintained:
			sample.Maintained++
		default:
			sample.Failed++
		}
	}
	status := view.Waves[name]
	h.Phase, h.Reason, h.Failed = status.Phase, status.Reason, status.Failed
	h.Samples = append(h.Samples, sample)
	return h.bounded()
}

func servicesOf(view explain.View, spec *record.Wave) []explain.Availability {
	var found []explain.Availability
	for _, a := range explain.Availabilities(view) {
		for _, pool := range a.Pools {
			if slices.Contains(spec.Pools, pool) {
				found = append(found, a)
				break
			}
		}
	}
	return found
}

// realign puts earlier samples in the order of the services as they are now;
// a service that is new has no earlier values, shown as its first one.
func realign(samples []Sample, before []ServiceBudget, now []explain.Availability) []Sample {
	same := len(before) == len(now)
	index := make(map[string]int, len(before))
	for i, s := range before {
		index[s.Name] = i
		same = same && now[i].Service == s.Name
	}
	if same || len(samples) == 0 {
		return samples
	}
	realigned := make([]Sample, len(samples))
	for i, sample := range samples {
		available := make([]int, len(now))
		for j, a := range now {
			available[j] = a.Available
			if k, known := index[a.Service]; known {
				available[j] = sample.Available[k]
			}
		}
		sample.Available = available
		realigned[i] = sample
	}
	return realigned
}

// spans follows the hosts' records: a visit is as long as the record says, or
// as the samples saw it.
func spans(before map[string]Downtime, view explain.View, name string, now time.Time) map[string]Downtime {
	after := maps.Clone(before)
	if after == nil {
		after = make(map[string]Downtime)
	}
	for host, item := range view.Snapshot.Hosts {
		visit, visited := item.WaveOutcomes[name]
		span, known := after[host]
		switch {
		case item.Wave == name && !item.TakesWork() && (!known || span.To != 0 && !visited):
			span = Downtime{From: now.Unix()}
			if !item.OutSince.IsZero() {
				span.From = item.OutSince.Unix()
			}
		case visited && (!known || span.To == 0):
			span.To, span.Result = now.Unix(), visit.Result
			if !known {
				span.From = span.To - int64(visit.DowntimeSeconds)
			}
		default:
			continue
		}
		after[host] = span
	}
	return after
}

// bounded joins neighbouring samples once there are too many.
func (h History) bounded() History {
	most := max(10, min(maxSamples, maxCells/max(1, len(h.Services))))
	if len(h.Samples) <= most {
		return h
	}
	var joined []Sample
	for i := 0; i < len(h.Samples); i += 2 {
		sample := h.Samples[i]
		if i+1 < len(h.Samples) {
			sample = join(sample, h.Samples[i+1])
		}
		joined = append(joined, sample)
	}
	h.Samples = joined
	h.Step *= 2
	return h
}

// join keeps the worst of both, so that a dip never disappears from a report.
func join(a, b Sample) Sample {
	worst := Sample{
		At: a.At, Out: max(a.Out, b.Out), Maintained: b.Maintained, Failed: b.Failed,
		Available: slices.Clone(a.Available),
	}
	for i := range worst.Available {
		worst.Available[i] = min(worst.Available[i], b.Available[i])
	}
	return worst
}

// SampleDue reports whether enough time has passed since the last sample for
// another one, as joined samples stand further apart.
func (h History) SampleDue(now time.Time) bool {
	if len(h.Samples) == 0 {
		return true
	}
	return now.Unix()-h.Samples[len(h.Samples)-1].At >= int64(h.Step)
}
