// Package report records the services' availability during a maintenance wave,
// and renders it as an HTML report.
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
	// maxSamples and maxCells limit the size of a history. When it is full,
	// neighbouring samples are merged, so that a wave of any length fits into a
	// value of at most a few hundred kilobytes.
	maxSamples = 600
	maxCells   = 60_000
)

// History is the recorded course of a wave.
type History struct {
	Wave string `json:"wave"`
	// Services holds the services that run on the wave's pools, in a fixed
	// order.
	Services []ServiceBudget `json:"services"`
	// Step is the interval between samples in seconds.
	Step    int      `json:"step"`
	Samples []Sample `json:"samples"`
	// Hosts holds the latest downtime of each host that the wave took out.
	Hosts map[string]Downtime `json:"hosts"`
	// Phase, Reason and Failed are from the wave's latest status.
	Phase  wave.Phase        `json:"phase,omitempty"`
	Reason string            `json:"reason,omitempty"`
	Failed map[string]string `json:"failed,omitempty"`
	// WriteID identifies the write that stored this version.
	WriteID string `json:"writeId,omitempty"`
}

// ServiceBudget is the latest budget of a service.
type ServiceBudget struct {
	Name         string               `json:"name"`
	HasBudget    bool                 `json:"bounded"`
	MinAvailable int                  `json:"minAvailable"`
	Margin       record.FailureMargin `json:"margin,omitempty"`
	Endpoints    int                  `json:"endpoints"`
}

// Sample is the state of the fleet at one moment, or the worst of several
// merged samples.
type Sample struct {
	// At is the time in seconds since 1970, by the wall clock of the controller
	// that records.
	At int64 `json:"at"`
	// Available holds the lowest number of available endpoints for each
	// service, in the order of Services.
	Available []int `json:"available"`
	// Out is the highest number of hosts that the wave had out.
	Out int `json:"out"`
	// Maintained and Failed count the hosts completed so far.
	Maintained int `json:"maintained"`
	Failed     int `json:"failed"`
}

// Downtime is the period during which a host was out, in seconds since 1970.
type Downtime struct {
	From int64 `json:"from"`
	// To is zero while the host is out.
	To     int64             `json:"to,omitempty"`
	Result hostrecord.Result `json:"result,omitempty"`
}

// CorruptError reports that a history can't be parsed or encoded.
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

// AppendSample returns the history with one more sample. It is a pure function.
// step is the interval at which samples are taken.
func AppendSample(h History, view explain.View, name string, spec *record.Wave, now time.Time, step time.Duration) History {
	h.Wave = name
	if h.Step == 0 {
		h.Step = max(1, int(step.Seconds()))
	}
	services := servicesOf(view, spec)
	h.Samples = alignSamples(h.Samples, h.Services, services)
	h.Services = nil
	sample := Sample{At: now.Unix()}
	for _, a := range services {
		h.Services = append(h.Services, ServiceBudget{
			Name: a.Service, HasBudget: a.HasBudget, MinAvailable: a.MinAvailable, Margin: a.Margin, Endpoints: a.Endpoints,
		})
		sample.Available = append(sample.Available, a.Available)
	}
	h.Hosts = updateDowntimes(h.Hosts, view, name, now)
	for _, downtime := range h.Hosts {
		switch {
		case downtime.To == 0:
			sample.Out++
		case downtime.Result == hostrecord.Maintained:
			sample.Maintained++
		default:
			sample.Failed++
		}
	}
	status := view.Waves[name]
	h.Phase, h.Reason, h.Failed = status.Phase, status.Reason, status.Failed
	h.Samples = append(h.Samples, sample)
	return h.compacted()
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

// alignSamples reorders the values of earlier samples to the present order of
// the services. A new service has no earlier values; its first value is used
// for them.
func alignSamples(samples []Sample, before []ServiceBudget, now []explain.Availability) []Sample {
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

// updateDowntimes updates the hosts' downtimes from the host records. A
// downtime is as long as the record reports, or as observed by the samples.
func updateDowntimes(before map[string]Downtime, view explain.View, name string, now time.Time) map[string]Downtime {
	after := maps.Clone(before)
	if after == nil {
		after = make(map[string]Downtime)
	}
	for host, item := range view.Snapshot.Hosts {
		outcome, visited := item.WaveOutcomes[name]
		downtime, known := after[host]
		switch {
		case item.Wave == name && !item.Schedulable() && (!known || downtime.To != 0 && !visited):
			downtime = Downtime{From: now.Unix()}
			if !item.OutSince.IsZero() {
				downtime.From = item.OutSince.Unix()
			}
		case visited && (!known || downtime.To == 0):
			downtime.To, downtime.Result = now.Unix(), outcome.Result
			if !known {
				downtime.From = downtime.To - int64(outcome.DowntimeSeconds)
			}
		default:
			continue
		}
		after[host] = downtime
	}
	return after
}

// compacted merges pairs of neighbouring samples if the history has too many.
func (h History) compacted() History {
	limit := max(10, min(maxSamples, maxCells/max(1, len(h.Services))))
	if len(h.Samples) <= limit {
		return h
	}
	var joined []Sample
	for i := 0; i < len(h.Samples); i += 2 {
		sample := h.Samples[i]
		if i+1 < len(h.Samples) {
			sample = mergeSamples(sample, h.Samples[i+1])
		}
		joined = append(joined, sample)
	}
	h.Samples = joined
	h.Step *= 2
	return h
}

// mergeSamples returns the worst values of both samples, so that a drop in
// availability never disappears from a report.
func mergeSamples(a, b Sample) Sample {
	worst := Sample{
		At: a.At, Out: max(a.Out, b.Out), Maintained: b.Maintained, Failed: b.Failed,
		Available: slices.Clone(a.Available),
	}
	for i := range worst.Available {
		worst.Available[i] = min(worst.Available[i], b.Available[i])
	}
	return worst
}

// SampleDue reports whether the next sample is due. The interval grows when
// samples are merged.
func (h History) SampleDue(now time.Time) bool {
	if len(h.Samples) == 0 {
		return true
	}
	return now.Unix()-h.Samples[len(h.Samples)-1].At >= int64(h.Step)
}
