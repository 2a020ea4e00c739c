// Package budget decides whether a host may be disrupted, and keeps every
// disruption in one ledger per service. Deciding is pure; the ledger's
// compare-and-swap is the one gate through which disruptions pass.
package budget

import (
	"encoding/json"
	"fmt"
	"maps"

	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
)

// Grant is one disruption that was let through. It counts until its outcome
// is known, whoever holds it.
type Grant struct {
	Operation string `json:"operation"`
	Wave      string `json:"wave"`
	// Requester is the member that asked for it.
	Requester string `json:"holder"`
}

// GrantSet holds a service's grants by host.
type GrantSet struct {
	ByHost map[string]Grant `json:"grants"`
	// MinRevision is the configuration revision that a decision must rest on at
	// least: that of the newest host record whose grant was given back. A
	// controller that is further behind still sees that host serving from
	// before its maintenance, and would count an endpoint that the grant no
	// longer takes out.
	MinRevision store.Revision `json:"seen,omitempty"`
	// WriteID identifies the write that made this version.
	WriteID string `json:"writeId,omitempty"`
}

// Endpoint is one endpoint of a service as a decision sees it.
type Endpoint struct {
	Host string
	Zone string
	Rack string
	// Available is the pessimistic view: listed live, serving and reachable.
	Available bool
}

// ServiceState is everything a decision about one service rests on.
type ServiceState struct {
	Service string
	// Revision is that of the configuration the view was made from; zero
	// leaves Ledger.Seen unchecked.
	Revision store.Revision
	// Budgets are all the records that bound this service; each must hold.
	Budgets   []*record.Budget
	Endpoints []Endpoint
	Grants    GrantSet
}

// Decision says whether a host may be disrupted and why not.
type Decision struct {
	Allowed bool
	Reason  string
}

// Decide reports whether host may be taken out of the service on top of
// everything that is down or granted already.
func Decide(view ServiceState, host string) Decision {
	if _, granted := view.Grants.ByHost[host]; granted {
		return Decision{Allowed: true, Reason: "already granted"}
	}
	if len(view.Budgets) == 0 {
		return Decision{Reason: noBudget(view.Service)}
	}
	left := view.remaining(host)
	free := view.unavailable(host)
	for _, budget := range view.Budgets {
		reserve := 0
		if !free {
			reserve = worstLoss(left, budget.Margin)
		}
		if len(left)-reserve < budget.MinAvailable {
			return Decision{Reason: refusal(view.Service, budget, len(left), reserve)}
		}
	}
	return Decision{Allowed: true, Reason: "within budget"}
}

// unavailable reports whether host is down already, so that disrupting it takes
// nothing from the service. Only the margin is waived then: the minimum must
// hold without the host, because a lagging view may call a host gone that is
// back at work.
func (v ServiceState) unavailable(host string) bool {
	for _, e := range v.Endpoints {
		if e.Host == host {
			return !e.Available
		}
	}
	return false
}

func noBudget(service string) string {
	return fmt.Sprintf("service %s has no availability budget", service)
}

func refusal(service string, budget *record.Budget, left, reserve int) string {
	return fmt.Sprintf(
		"service %s would keep %d endpoints available, less %d for the loss of one %s, and needs %d",
		service, left, reserve, marginName(budget.Margin), budget.MinAvailable)
}

func (v ServiceState) remaining(without string) []Endpoint {
	var left []Endpoint
	for _, e := range v.Endpoints {
		_, granted := v.Grants.ByHost[e.Host]
		if e.Available && !granted && e.Host != without {
			left = append(left, e)
		}
	}
	return left
}

// worstLoss returns how many of the endpoints the worst single loss takes.
func worstLoss(endpoints []Endpoint, margin record.FailureMargin) int {
	counts := make(map[string]int)
	worst := 0
	for _, e := range endpoints {
		domain := domainOf(e, margin)
		if domain == "" {
			continue
		}
		counts[domain]++
		worst = max(worst, counts[domain])
	}
	return worst
}

func domainOf(e Endpoint, margin record.FailureMargin) string {
	switch margin {
	case record.MarginHost:
		return e.Host
	case record.MarginRack:
		return e.Zone + "/" + e.Rack
	case record.MarginZone:
		return e.Zone
	}
	return ""
}

func marginName(margin record.FailureMargin) string {
	if margin == "" {
		return string(record.MarginNone)
	}
	return string(margin)
}

// CorruptError says that a stored ledger can't be read. Nothing is granted
// until an operator has mended it.
type CorruptError struct {
	Key   string
	Cause error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("ledger %q is damaged: %v", e.Key, e.Cause)
}

func (e *CorruptError) Unwrap() error { return e.Cause }

// ParseGrantSet reads a stored ledger.
func ParseGrantSet(key string, value []byte) (GrantSet, error) {
	var ledger GrantSet
	if err := json.Unmarshal(value, &ledger); err != nil {
		return GrantSet{}, &CorruptError{Key: key, Cause: err}
	}
	return ledger, nil
}

func (l GrantSet) with(host string, grant Grant) GrantSet {
	grants := maps.Clone(l.ByHost)
	if grants == nil {
		grants = make(map[string]Grant)
	}
	grants[host] = grant
	return GrantSet{ByHost: grants, MinRevision: l.MinRevision}
}

func (l GrantSet) without(host string, seen store.Revision) GrantSet {
	grants := maps.Clone(l.ByHost)
	delete(grants, host)
	return GrantSet{ByHost: grants, MinRevision: max(l.MinRevision, seen)}
}

func (l GrantSet) encode() []byte {
	data, err := json.Marshal(l)
	if err != nil {
		// A Ledger holds strings only.
		panic(err)
	}
	return data
}
