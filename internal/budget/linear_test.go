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

// grantRequest is one call to a grant store, grantReply its result. If unknown is
// set, the call may or may not have taken effect, and may still do so later.
type grantRequest struct {
	release   bool
	host      string
	operation string
}

type grantReply struct{ ok, unknown bool }

// modelState is the state of the model: sorted and joined host=operation pairs.
type modelState string

func (g modelState) set() map[string]string {
	set := make(map[string]string)
	for pair := range strings.SplitSeq(string(g), ",") {
		if host, operation, ok := strings.Cut(pair, "="); ok {
			set[host] = operation
		}
	}
	return set
}

func encodeGrants(set map[string]string) modelState {
	var pairs []string
	for _, host := range slices.Sorted(maps.Keys(set)) {
		pairs = append(pairs, host+"="+set[host])
	}
	return modelState(strings.Join(pairs, ","))
}

// after returns the state after the call takes effect, and whether the model allows
// the call.
func (g modelState) after(request grantRequest) (modelState, bool) {
	set := g.set()
	held, granted := set[request.host]
	switch {
	case request.release && held == request.operation:
		delete(set, request.host)
	case request.release, granted && held == request.operation:
	case granted, linearHosts-len(set)-1 < linearMinimum:
		return g, false
	default:
		set[request.host] = request.operation
	}
	return encodeGrants(set), true
}

// grantModel accepts every refusal, since a grant store may refuse on old data. It
// accepts a grant only if the budget held at some moment between call and reply.
var grantModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{modelState("")} },
	Step: func(state, input, output any) []any {
		g, request, reply := state.(modelState), input.(grantRequest), output.(grantReply)
		next, allowed := g.after(request)
		switch {
		case reply.unknown && allowed:
			return []any{g, next}
		case reply.unknown, !reply.ok:
			return []any{g}
		case allowed:
			return []any{next}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// Controllers compete for the grants of one service, each with its own cache, while
// the store loses responses to writes that took effect. A grant that is given twice
// or exceeds the budget yields a history that is not linearizable.
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
		grantStore := NewGrantStore(s)
		wait.Go(func() {
			for n := range linearCalls {
				time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
				s.SetLatency(time.Duration(random.IntN(20)) * time.Millisecond)
				request := grantRequest{
					release: n%2 == 1, host: fmt.Sprintf("h%d", random.IntN(linearHosts)),
					operation: fmt.Sprintf("op-%d-%d", client, n/2),
				}
				operation := porcupine.Operation{ClientId: client, Input: request, Call: clock.Add(1)}
				reply := callGrantStore(grantStore, request)
				operation.Output, operation.Return = reply, clock.Add(1)
				if reply.unknown {
					// The call may take effect at any later time.
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

func callGrantStore(grantStore *GrantStore, request grantRequest) grantReply {
	ctx := context.Background()
	var err error
	if request.release {
		err = grantStore.Release(ctx, "s", request.host, request.operation)
	} else {
		err = grantStore.Acquire(ctx, request.host, Grant{Operation: request.operation}, []string{"s"}, linearServiceState)
	}
	var refused *RefusedError
	switch {
	case err == nil:
		return grantReply{ok: true}
	case errors.As(err, &refused):
		return grantReply{}
	}
	return grantReply{unknown: true}
}

func linearServiceState(service string) ServiceState {
	state := ServiceState{Service: service, Budgets: []*record.Budget{{Service: service, MinAvailable: linearMinimum}}}
	for i := range linearHosts {
		state.Endpoints = append(state.Endpoints, Endpoint{Host: fmt.Sprintf("h%d", i), Available: true})
	}
	return state
}

// A host moves to another pool, and its grant in the old pool is released. A
// controller with an older configuration still counts the host in the old pool. If
// it were granted another host, the service would be one endpoint below its budget.
func TestControllerWithStaleConfigurationIsRefused(t *testing.T) {
	ctx := context.Background()
	s := memstore.New()
	ahead, behind := NewGrantStore(s), NewGrantStore(s)
	must.NoError(t, ahead.Acquire(ctx, "h0", Grant{Operation: "move"}, []string{"s"}, linearServiceState))
	must.NoError(t, ahead.ReleaseAfter(ctx, "s", "h0", "move", 40))
	at := func(state ServiceState) func(string) ServiceState { return func(string) ServiceState { return state } }
	state := linearServiceState("s")
	state.Revision = 39
	var refused *RefusedError
	must.True(t, errors.As(behind.Acquire(ctx, "h1", Grant{Operation: "op"}, []string{"s"}, at(state)), &refused))
	state.Revision = 40
	must.NoError(t, behind.Acquire(ctx, "h1", Grant{Operation: "op"}, []string{"s"}, at(state)))
}

// Refused hosts are requested again in every reconcile. If each refusal read the
// grant set, a few blocked waves would use up the read capacity of the store.
func TestRefusalsCostFewReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		s := memstore.New()
		grantStore := NewGrantStore(s)
		state := func(service string) ServiceState {
			full := linearServiceState(service)
			full.Budgets[0].MinAvailable = linearHosts
			return full
		}
		for range 100 {
			for host := range linearHosts {
				must.Error(t, grantStore.Acquire(ctx, fmt.Sprintf("h%d", host), Grant{Operation: "op"}, []string{"s"}, state))
			}
			time.Sleep(100 * time.Millisecond)
		}
		reads := s.Counts().Reads
		must.Between(t, 1, reads, int64(10*time.Second/maxRefusalAge)+1)
	})
}
