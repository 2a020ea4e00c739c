package poolrpc_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/clientcache"
	"auburnglade.example/glade/internal/configrelay"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/poolrpc"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
)

// submitStub is a service that gives each submitted job the same reply.
type submitStub struct {
	poolrpc.Service
	reply poolmanager.Reply
	held  bool
}

func (s *submitStub) Submit(context.Context, *work.JobRecord, bool) (poolmanager.Reply, bool) {
	return s.reply, s.held
}

// Guards against a result that is lost between two entry hosts: a job that its pool's holder
// refused for want of room would have an unknown outcome at the one that took it, which would
// leave it in the inbox, and it would run.
func TestResultsArriveAsTheyWereSent(t *testing.T) {
	stub := &submitStub{held: true}
	server := httptest.NewServer(poolrpc.NewHandler(stub))
	defer server.Close()
	client := poolrpc.NewClient(clientcache.DialTCP)
	record := &work.JobRecord{
		ID: "5c0e7a21d94b36f8", Queue: work.Queue{Name: "q", Pool: "p", MaxAttempts: 1, Stretch: 1},
		Spec: work.Spec{Steps: []work.Step{{Count: 1, Resources: work.Resources{MilliCPU: 1000}, Estimate: time.Second}}},
	}
	for result := poolmanager.ResultUnknown; result <= poolmanager.OverShare; result++ {
		stub.reply = poolmanager.Reply{Result: result, RetryAfter: 2300 * time.Millisecond}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		got, held, err := client.Submit(ctx, server.Listener.Addr().String(), record, false)
		cancel()
		must.NoError(t, err)
		must.True(t, held)
		must.EqOp(t, stub.reply, got, must.Sprint(result))
	}
}

// configurationStub knows one configuration.
type configurationStub struct {
	poolrpc.Service
	configrelay.Version
}

func (s *configurationStub) ConfigurationAfter(known store.Revision) configrelay.Answer {
	answer := configrelay.Answer{Version: s.Version, Age: 70 * time.Millisecond}
	if known >= s.Revision {
		answer.Data = nil
	}
	return answer
}

// Guards against questions that are answered with the whole configuration.
func TestNewestConfigurationHasNoData(t *testing.T) {
	stub := &configurationStub{Version: configrelay.Version{Revision: 7, Data: bytes.Repeat([]byte("route "), 10_000)}}
	server := httptest.NewServer(poolrpc.NewHandler(stub))
	defer server.Close()
	client, address := poolrpc.NewClient(clientcache.DialTCP), server.Listener.Addr().String()
	newest, err := client.NewestConfiguration(t.Context(), address)
	must.NoError(t, err)
	must.Eq(t, configrelay.Answer{Version: configrelay.Version{Revision: 7}, Age: 70 * time.Millisecond}, newest)
	answer, err := client.Configuration(t.Context(), address, 6)
	must.NoError(t, err)
	must.Eq(t, stub.Data, answer.Data)
}
