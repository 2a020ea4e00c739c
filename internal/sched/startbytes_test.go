package sched

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
)

// startsWithin returns how many tasks of a step each of three plans starts when its
// starts may take that many bytes.
func startsWithin(t *testing.T, bytes int, step work.Step) (starts []int) {
	t.Helper()
	p, _, now := oneHost(t)
	step.Resources = work.Resources{MilliCPU: 1}
	p.Accept(&work.JobRecord{ID: "0000000000000001", Queue: work.Queue{MaxAttempts: 1}, Spec: work.Spec{
		Payload: strings.Repeat("x", 800), Steps: []work.Step{step},
	}}, now, now)
	for range 3 {
		p.SetStartBytes(bytes)
		starts = append(starts, len(p.Plan(now, now).Orders))
		now = now.Add(time.Millisecond)
	}
	return starts
}

// A demand burst on a thin link: each plan starts as many tasks as the link carries,
// the last of which may exceed it, and the others wait for later plans.
func TestPlanStartsNoMoreThanTheLinkCarries(t *testing.T) {
	must.Eq(t, []int{3, 2, 0}, startsWithin(t, 2500, work.Step{Count: 5}))
	must.Eq(t, []int{2, 2, 1}, startsWithin(t, 2000, work.Step{Count: 5}))
	must.Eq(t, []int{0, 0, 0}, startsWithin(t, 0, work.Step{Count: 5}))
	must.Eq(t, []int{0, 0, 0}, startsWithin(t, -1, work.Step{Count: 5}))
}

// The members of a gang start together although they exceed what the link carries:
// part of a gang would wait on its hosts for the rest.
func TestGangStartsTogetherOnAThinLink(t *testing.T) {
	must.Eq(t, []int{5, 0, 0}, startsWithin(t, 1, work.Step{Count: 5, Gang: true}))
	must.Eq(t, []int{0, 0, 0}, startsWithin(t, 0, work.Step{Count: 5, Gang: true}))
}
