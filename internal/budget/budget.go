// Package budget decides whether a host may be disrupted, and stores every granted
// disruption in one grant set per service. Decisions have no side effects; every
// disruption is granted by a compare-and-swap on the grant set.
package budget

import (
	"encoding/json"
	"fmt"
	"maps"

	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
)

// Grant is one granted disruption. It counts against the budget until it is
// released, even if the member that requested it is gone.
type Grant struct {
	Operation string `json:"operation"`
	Wave      string `json:"wave"`
	// Requester is the member that requested the grant.
	Requester string `json:"holder"`
}

// GrantSet holds the grants of a service by host.
type GrantSet struct {
	ByHost map[string]Grant `json:"grants"`
	// MinRevision is the minimum configuration revision that a decision must be
	// based on: the revision of the newest host record whose grant was released. A
	// controller with an older configuration sees that host as it was before its
	// maintenance, and would count an endpoint that is no longer excluded by the
	// grant.
	MinRevision store.Revision `json:"seen,omitempty"`
	// WriteID identifies the write that created this version.
	WriteID string `json:"writeId,omitempty"`
}

// Endpoint is one endpoint of a service as seen by a decision.
type Endpoint struct {
	Host string
	Zone string
	Rack string
	// Available is set only if the host is listed live, serving and reachable.
	Available bool
}

// ServiceState is the input of a decision about one service.
type ServiceState struct {
	Service string
	// Revision is the configuration revision that the state was built from. If
	// zero, Grants.MinRevision is not checked.
	Revision store.Revision
	// Budgets are all budget records of the service; each of them must hold.
	Budgets   []*record.Budget
	Endpoints []Endpoint
	Grants    GrantSet
}

// Decision states whether a host may be disrupted, and why.
type Decision struct {
	Allowed bool
	Reason  string
}

// Decide reports whether host may be taken out of the service in addition to all
// hosts that are already down or granted.
func Decide(state ServiceState, host string) Decision {
	if _, granted := state.Grants.ByHost[host]; granted {
		return Decision{Allowed: true, Reason: "already granted"}
	}
	if len(state.Budgets) == 0 {
		return Decision{Reason: noBudget(state.Service)}
	}
	left := state.remaining(host)
	waiveMargin := state.unavailable(host)
	for _, budget := range state.Budgets {
		reserve := 0
		if !waiveMargin {
			reserve = worstLoss(left, budget.Margin)
		}
		if len(left)-reserve < budget.MinAvailable {
			return Decision{Reason: refusal(state.Service, budget, len(left), reserve)}
		}
	}
	return Decision{Allowed: true, Reason: "within budget"}
}

// unavailable reports whether host is already down, so that disrupting it does
// not reduce the service. Only the margin is waived then. The minimum must hold
// without the host, because a lagging view may show a host as down that is
// serving again.
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

// worstLoss returns how many endpoints are lost in the worst failure of a single
// failure domain.
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

// CorruptError reports that a stored grant set cannot be parsed. No grant is
// given until an operator has repaired it.
type CorruptError struct {
	Key   string
	Cause error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("ledger %q is damaged: %v", e.Key, e.Cause)
}

func (e *CorruptError) Unwrap() error { return e.Cause }

// ParseGrantSet parses a stored grant set. It returns *CorruptError if the value is
// invalid.
func ParseGrantSet(key string, value []byte) (GrantSet, error) {
	var grantSet GrantSet
	if err := json.Unmarshal(value, &grantSet); err != nil {
		return GrantSet{}, &CorruptError{Key: key, Cause: err}
	}
	return grantSet, nil
}

func (s GrantSet) with(host string, grant Grant) GrantSet {
	grants := maps.Clone(s.ByHost)
	if grants == nil {
		grants = make(map[string]Grant)
	}
	grants[host] = grant
	return GrantSet{ByHost: grants, MinRevision: s.MinRevision}
}

func (s GrantSet) without(host string, minRevision store.Revision) GrantSet {
	grants := maps.Clone(s.ByHost)
	delete(grants, host)
	return GrantSet{ByHost: grants, MinRevision: max(s.MinRevision, minRevision)}
}

func (s GrantSet) encode() []byte {
	data, err := json.Marshal(s)
	if err != nil {
		// A GrantSet holds only strings and a number, which always encode.
		panic(err)
	}
	return data
}
