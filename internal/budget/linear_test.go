package budget

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store/memstore"
)

const (
	linearHosts   = 5
	linearMinimum = 3
	linearClients = 4
	linearCalls   = 12
)

// grantCall is one call to a gate, grantAnswer what came back. An unknown
// answer leaves open whether the call took effect, now or later.
type grantCall struct {
	release   bool
	host      string
	operation string
}

type grantAnswer struct{ ok, unknown bool }

// grants is the model's state: host=operation pairs, sorted and joined.
type grants string

func (g grants) set() map[string]string {
	set := make(map[string]string)
	for pair := range strings.SplitSeq(string(g), ",") {
		if host, operation, ok := strings.Cut(pair, "="); ok {
			set[host] = operation
		}
	}
	return set
}

func encodeGrants(set map[string]string) grants {
	var pairs []string
	for _, host := range slices.Sorted(maps.Keys(set)) {
		pairs = append(pairs, host+"="+set[host])
	}
	return grants(strings.Join(pairs, ","))
}

// after returns the state that the call leaves when it takes effect, and
// whether it may.
func (g grants) after(call grantCall) (grants, bool) {
	set := g.set()
	held, granted := set[call.host]
	switch {
	case call.release && held == call.operation:
		delete(set, call.host)
	case call.release, granted && held == call.operation:
	case granted, linearHosts-len(set)-1 < linearMinimum:
		return g, false
	default:
		set[call.host] = call.operation
	}
	return encodeGrants(set), true
}

// grantModel lets every refusal pass, since a gate may be cautious. A grant
// passes only when the budget held at one moment between call and answer.
var grantModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{grants("")} },
	Step: func(state, input, output any) []any {
		g, call, answer := state.(grants), input.(grantCall), output.(grantAnswer)
		next, allowed := g.after(call)
		switch {
		case answer.unknown && allowed:
			return []any{g, next}
		case answer.unknown, !answer.ok:
			return []any{g}
		case allowed:
			return []any{next}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// Controllers race for the grants of one service while the store loses answers
// of writes that took effect, and every one of them remembers the ledger. A
// grant given twice, or on top of what the budget has left, would show as a
// history that no order of the calls explains.
func TestGrantsAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				history := raceForGrants(seed)
				result := porcupine.CheckOperationsTimeout(grantModel.ToModel(), history, time.Minute)
				must.Eq(t, porcupine.Ok, result)
			})
		})
	}
}

func raceForGrants(seed uint64) []porcupine.Operation {
	s := memstore.New()
	s.SetResponseLossRate(0.3, seed)
	var clock atomic.Int64
	var mu sync.Mutex
	var history []porcupine.Operation
	var wait sync.WaitGroup
	for client := range linearClients {
		random := rand.New(rand.NewPCG(seed, uint64(client)))
		gate := NewGrantStore(s)
		wait.Go(func() {
			for n := range linearCalls {
				time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
				s.SetLatency(time.Duration(random.IntN(20)) * time.Millisecond)
				call := grantCall{
					release: n%2 == 1, host: fmt.Sprintf("h%d", random.IntN(linearHosts)),
					operation: fmt.Sprintf("op-%d-%d", client, n/2),
				}
				operation := porcupine.Operation{ClientId: client, Input: call, Call: clock.Add(1)}
				answer := askGate(gate, call)
				operation.Output, operation.Return = answer, clock.Add(1)
				if answer.unknown {
					// Its effect may come at any later time.
					operation.ClientId, operation.Return = linearClients+int(operation.Call), 1<<60
				}
				mu.Lock()
				history = append(history, operation)
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return history
}

func askGate(gate *GrantStore, call grantCall) grantAnswer {
	ctx := context.Background()
	var err error
	if call.release {
		err = gate.Release(ctx, "s", call.host, call.operation)
	} else {
		err = gate.Acquire(ctx, call.host, Grant{Operation: call.operation}, []string{"s"}, linearView)
	}
	var refused *RefusedError
	switch {
	case err == nil:
		return grantAnswer{ok: true}
	case errors.As(err, &refused):
		return grantAnswer{}
	}
	return grantAnswer{unknown: true}
}

func linearView(service string) ServiceState {
	view := ServiceState{Service: service, Budgets: []*record.Budget{{Service: service, MinAvailable: linearMinimum}}}
	for i := range linearHosts {
		view.Endpoints = append(view.Endpoints, Endpoint{Host: fmt.Sprintf("h%d", i), Available: true})
	}
	return view
}

// A host goes from one pool to another, and its old pool's grant is given back.
// A controller whose configuration is from before still counts it in the old
// pool. Granted on that, another host would go out, and the service would be
// one endpoint below its budget.
func TestControllerThatIsBehindIsGrantedNothing(t *testing.T) {
	ctx := context.Background()
	s := memstore.New()
	ahead, behind := NewGrantStore(s), NewGrantStore(s)
	must.NoError(t, ahead.Acquire(ctx, "h0", Grant{Operation: "move"}, []string{"s"}, linearView))
	must.NoError(t, ahead.ReleaseAfter(ctx, "s", "h0", "move", 40))
	at := func(view ServiceState) func(string) ServiceState { return func(string) ServiceState { return view } }
	view := linearView("s")
	view.Revision = 39
	var refused *RefusedError
	must.True(t, errors.As(behind.Acquire(ctx, "h1", Grant{Operation: "op"}, []string{"s"}, at(view)), &refused))
	view.Revision = 40
	must.NoError(t, behind.Acquire(ctx, "h1", Grant{Operation: "op"}, []string{"s"}, at(view)))
}

// A hundred hosts ask in vain, round after round. Were the ledger read for each
// refusal, a few blocked waves would eat the store's reads.
func TestRefusalsCostFewReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		s := memstore.New()
		gate := NewGrantStore(s)
		view := func(service string) ServiceState {
			full := linearView(service)
			full.Budgets[0].MinAvailable = linearHosts
			return full
		}
		for range 100 {
			for host := range linearHosts {
				must.Error(t, gate.Acquire(ctx, fmt.Sprintf("h%d", host), Grant{Operation: "op"}, []string{"s"}, view))
			}
			time.Sleep(100 * time.Millisecond)
		}
		reads := s.Counts().Reads
		must.Between(t, 1, reads, int64(10*time.Second/refusalAge)+1)
	})
}
