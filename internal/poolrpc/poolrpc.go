// Package poolrpc implements the RPCs about pools between entry hosts: the server
// serves the pools held by this process, the client calls another entry host.
package poolrpc

import (
	"context"
	"math"
	"net/http"
	"time"

	"auburnglade.example/glade/internal/clientcache"
	"auburnglade.example/glade/internal/configrelay"
	"auburnglade.example/glade/internal/deflate"
	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/poolrpc/poolpb"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
)

// connections bounds the connections to one entry host.
const connections = 8

// Service is the interface that an entry host serves to other entry hosts.
type Service interface {
	// Submit, Cancel and State handle a job whose pool is held by this process.
	// With relay they may also forward the request to the holder or to the
	// store. held is false if nothing was done because the pool is not held here.
	Submit(ctx context.Context, record *work.JobRecord, relay bool) (reply poolmanager.Reply, held bool)
	Cancel(ctx context.Context, job work.JobRef, relay bool) (result poolmanager.Result, held bool)
	State(ctx context.Context, job work.JobRef, relay bool) (state work.State, known, held bool)
	Waiting(ctx context.Context, pool, queue string) (count int, held bool)
	DrainLocal(ctx context.Context, pool string, hosts []string) (states []hostmanager.DrainState, held bool)
	LocalLoad(ctx context.Context, pool string, due []string) (load hostmanager.Load, held bool)
	// ConfigurationAfter returns the newest configuration that this process knows,
	// with its data if it is newer than known.
	ConfigurationAfter(known store.Revision) configrelay.Answer
}

// Peers calls other entry hosts by address. After an error the outcome is unknown.
// held is false if the callee does not hold the pool.
type Peers interface {
	Submit(ctx context.Context, address string, record *work.JobRecord, relay bool) (reply poolmanager.Reply, held bool, err error)
	Cancel(ctx context.Context, address string, job work.JobRef, relay bool) (result poolmanager.Result, held bool, err error)
	State(ctx context.Context, address string, job work.JobRef, relay bool) (state work.State, known, held bool, err error)
	Waiting(ctx context.Context, address, pool, queue string) (count int, held bool, err error)
	Vacate(ctx context.Context, address, pool string, hosts []string) (states []hostmanager.DrainState, held bool, err error)
	Load(ctx context.Context, address, pool string, due []string) (load hostmanager.Load, held bool, err error)
	configrelay.Peers
}

var _ Peers = (*Client)(nil)

// NewHandler returns the HTTP handler of a Service.
func NewHandler(service Service) http.Handler {
	return poolpb.NewPoolsServer(&server{service: service})
}

// PathPrefix is the URL path prefix at which the handler must be mounted.
const PathPrefix = poolpb.PoolsPathPrefix

type server struct {
	service Service
	// deflated holds the configuration.
	deflated deflate.Cache
}

func withTimeoutMs(ctx context.Context, milliseconds int64) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(milliseconds)*time.Millisecond)
}

var results = map[poolmanager.Result]poolpb.Result{
	poolmanager.ResultUnknown: poolpb.Result_RESULT_UNKNOWN, poolmanager.Stored: poolpb.Result_RESULT_STORED,
	poolmanager.Refused: poolpb.Result_RESULT_REFUSED, poolmanager.JobNotFound: poolpb.Result_RESULT_NO_JOB,
	poolmanager.Conflict: poolpb.Result_RESULT_CONFLICT,
	poolmanager.NoRoom:   poolpb.Result_RESULT_NO_ROOM, poolmanager.OverShare: poolpb.Result_RESULT_OVER_SHARE,
	poolmanager.Elsewhere: poolpb.Result_RESULT_ELSEWHERE,
}

func encodeResult(result poolmanager.Result, held bool) poolpb.Result {
	if !held {
		return poolpb.Result_RESULT_NOT_HELD
	}
	return results[result]
}

func encodeHeld(held bool) poolpb.Result { return encodeResult(poolmanager.Stored, held) }

func (s *server) Submit(ctx context.Context, r *poolpb.SubmitRequest) (*poolpb.ResultReply, error) {
	record, err := work.DecodeRecord(r.Record)
	if err != nil {
		return nil, err
	}
	ctx, cancel := withTimeoutMs(ctx, r.TimeoutMs)
	defer cancel()
	reply, held := s.service.Submit(ctx, record, r.Relay)
	return &poolpb.ResultReply{Result: encodeResult(reply.Result, held), RetryAfterMs: reply.RetryAfter.Milliseconds()}, nil
}

func refOf(r *poolpb.JobRequest) work.JobRef {
	return work.JobRef{Pool: r.Pool, ID: r.Id, Queue: r.Queue, Organisation: r.Organisation}
}

func jobRequest(ctx context.Context, job work.JobRef, relay bool) *poolpb.JobRequest {
	return &poolpb.JobRequest{Pool: job.Pool, Id: job.ID, Queue: job.Queue, Organisation: job.Organisation, TimeoutMs: calleeTimeoutMs(ctx), Relay: relay}
}

func (s *server) Cancel(ctx context.Context, r *poolpb.JobRequest) (*poolpb.ResultReply, error) {
	ctx, cancel := withTimeoutMs(ctx, r.TimeoutMs)
	defer cancel()
	result, held := s.service.Cancel(ctx, refOf(r), r.Relay)
	return &poolpb.ResultReply{Result: encodeResult(result, held)}, nil
}

func (s *server) State(ctx context.Context, r *poolpb.JobRequest) (*poolpb.StateReply, error) {
	ctx, cancel := withTimeoutMs(ctx, r.TimeoutMs)
	defer cancel()
	state, known, held := s.service.State(ctx, refOf(r), r.Relay)
	if !known {
		state = ""
	}
	return &poolpb.StateReply{Result: encodeHeld(held), State: string(state)}, nil
}

func (s *server) Waiting(ctx context.Context, r *poolpb.WaitingRequest) (*poolpb.WaitingReply, error) {
	count, held := s.service.Waiting(ctx, r.Pool, r.Queue)
	return &poolpb.WaitingReply{Result: encodeHeld(held), Count: int64(count)}, nil
}

func (s *server) Vacate(ctx context.Context, r *poolpb.VacateRequest) (*poolpb.VacateReply, error) {
	states, held := s.service.DrainLocal(ctx, r.Pool, r.Hosts)
	reply := &poolpb.VacateReply{Result: encodeHeld(held)}
	for _, e := range states {
		reply.Emptied = append(reply.Emptied, &poolpb.Emptied{Known: e.Known, Empty: e.Empty})
	}
	return reply, nil
}

func (s *server) Load(ctx context.Context, r *poolpb.LoadRequest) (*poolpb.LoadReply, error) {
	load, held := s.service.LocalLoad(ctx, r.Pool, r.Due)
	reply := encodeLoad(load)
	reply.Result = encodeHeld(held)
	return reply, nil
}

func encodeLoad(load hostmanager.Load) *poolpb.LoadReply {
	reply := &poolpb.LoadReply{
		Capacity: int64(load.Capacity), Used: int64(load.Used),
		Waiting: int64(load.Waiting), Lasting: int64(load.LongRunning),
		Arriving: int64(load.Offered), Onset: int64(load.RecentOffered), Due: int64(load.DeadlineNeed),
		Peak: int64(load.Peak), PeakAgoMs: load.SincePeak.Milliseconds(), Spread: int64(load.MinHosts), Young: load.WarmingUp,
	}
	for _, h := range load.Hosts {
		reply.Hosts = append(reply.Hosts, &poolpb.HostLoad{
			Worker: h.Worker, Used: int64(h.Used), Lasting: int64(h.LongRunning), Closed: h.Unschedulable,
			LeftMs: h.Remaining.Milliseconds(), WorkValue: int64(h.WorkValue),
		})
	}
	for _, tier := range load.Demand {
		reply.Demand = append(reply.Demand, &poolpb.DemandTier{Size: int64(tier.MilliCPU), Value: tier.Value})
	}
	return reply
}

func (s *server) Configuration(_ context.Context, r *poolpb.ConfigurationRequest) (*poolpb.ConfigurationReply, error) {
	answer := s.service.ConfigurationAfter(store.Revision(r.Revision))
	reply := &poolpb.ConfigurationReply{Revision: int64(answer.Revision), AgeMs: answer.Age.Milliseconds(), Data: answer.Data}
	if r.AcceptsDeflated {
		if deflated := s.deflated.Compress("", int64(answer.Revision), answer.Data); deflated != nil {
			reply.Data, reply.Deflated = nil, deflated
		}
	}
	return reply, nil
}

// Client is the RPC client for other entry hosts.
type Client struct {
	peers *clientcache.Cache[poolpb.Pools]
}

// NewClient returns a client without connections, which it opens with dial.
func NewClient(dial clientcache.Dialer) *Client {
	return &Client{clientcache.New(clientcache.Config{Dial: dial, MaxConnections: connections}, func(url string, httpClient *http.Client) poolpb.Pools {
		return poolpb.NewPoolsProtobufClient(url, httpClient)
	})}
}

// dropIdle closes idle connections after a failed call: they may be broken too.
func (c *Client) dropIdle() { c.peers.CloseIdleConnections() }

func calleeTimeoutMs(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(1, int64(time.Until(deadline).Seconds()*1000*calleeShare))
}

// calleeShare is the fraction of the caller's remaining time that the callee may
// use, so that it can still report an unknown outcome in time. A caller that times
// out itself treats the callee as failed and skips it.
const calleeShare = 0.85

var keeperResults = map[poolpb.Result]poolmanager.Result{
	poolpb.Result_RESULT_UNKNOWN: poolmanager.ResultUnknown, poolpb.Result_RESULT_STORED: poolmanager.Stored,
	poolpb.Result_RESULT_REFUSED: poolmanager.Refused, poolpb.Result_RESULT_NO_JOB: poolmanager.JobNotFound,
	poolpb.Result_RESULT_NOT_HELD: poolmanager.Refused, poolpb.Result_RESULT_CONFLICT: poolmanager.Conflict,
	poolpb.Result_RESULT_NO_ROOM: poolmanager.NoRoom, poolpb.Result_RESULT_OVER_SHARE: poolmanager.OverShare,
	poolpb.Result_RESULT_ELSEWHERE: poolmanager.Elsewhere,
}

// Submit submits a job to an entry host. After an error the outcome is unknown.
func (c *Client) Submit(ctx context.Context, address string, record *work.JobRecord, relay bool) (result poolmanager.Reply, held bool, err error) {
	reply, err := c.peers.Get(address).Submit(ctx, &poolpb.SubmitRequest{
		Pool: record.Queue.Pool, Record: work.EncodeRecord(record), TimeoutMs: calleeTimeoutMs(ctx), Relay: relay,
	})
	if err != nil {
		c.dropIdle()
		return poolmanager.Reply{Result: poolmanager.ResultUnknown}, true, err
	}
	result = poolmanager.Reply{Result: keeperResults[reply.Result], RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond}
	return result, reply.Result != poolpb.Result_RESULT_NOT_HELD, nil
}

// Cancel cancels a job at an entry host. After an error the outcome is unknown.
func (c *Client) Cancel(ctx context.Context, address string, job work.JobRef, relay bool) (result poolmanager.Result, held bool, err error) {
	reply, err := c.peers.Get(address).Cancel(ctx, jobRequest(ctx, job, relay))
	if err != nil {
		c.dropIdle()
		return poolmanager.ResultUnknown, true, err
	}
	return keeperResults[reply.Result], reply.Result != poolpb.Result_RESULT_NOT_HELD, nil
}

// State returns a job's state; known is false if the callee has no such job.
func (c *Client) State(ctx context.Context, address string, job work.JobRef, relay bool) (state work.State, known, held bool, err error) {
	reply, err := c.peers.Get(address).State(ctx, jobRequest(ctx, job, relay))
	if err != nil {
		c.dropIdle()
		return "", false, false, err
	}
	return work.State(reply.State), reply.State != "", reply.Result != poolpb.Result_RESULT_NOT_HELD, nil
}

// Waiting returns the number of a queue's jobs of which no task has started.
func (c *Client) Waiting(ctx context.Context, address, pool, queue string) (count int, held bool, err error) {
	reply, err := c.peers.Get(address).Waiting(ctx, &poolpb.WaitingRequest{Pool: pool, Queue: queue})
	if err != nil {
		c.dropIdle()
		return 0, false, err
	}
	return int(reply.Count), reply.Result != poolpb.Result_RESULT_NOT_HELD, nil
}

// Vacate asks a pool's holder to drain hosts, and returns their drain states in the
// same order.
func (c *Client) Vacate(ctx context.Context, address, pool string, hosts []string) (states []hostmanager.DrainState, held bool, err error) {
	reply, err := c.peers.Get(address).Vacate(ctx, &poolpb.VacateRequest{Pool: pool, Hosts: hosts})
	if err != nil {
		c.dropIdle()
		return nil, false, err
	}
	for _, e := range reply.Emptied {
		states = append(states, hostmanager.DrainState{Known: e.Known, Empty: e.Empty})
	}
	return states, reply.Result != poolpb.Result_RESULT_NOT_HELD, nil
}

// Load returns a pool's load. due names the hosts that are due for maintenance.
func (c *Client) Load(ctx context.Context, address, pool string, due []string) (load hostmanager.Load, held bool, err error) {
	reply, err := c.peers.Get(address).Load(ctx, &poolpb.LoadRequest{Pool: pool, Due: due})
	if err != nil {
		c.dropIdle()
		return hostmanager.Load{}, false, err
	}
	return decodeLoad(reply), reply.Result != poolpb.Result_RESULT_NOT_HELD, nil
}

func decodeLoad(reply *poolpb.LoadReply) hostmanager.Load {
	load := hostmanager.Load{
		Capacity: int(reply.Capacity), Used: int(reply.Used), Waiting: int(reply.Waiting), LongRunning: int(reply.Lasting),
		Offered: int(reply.Arriving), RecentOffered: int(reply.Onset), DeadlineNeed: int(reply.Due),
		Peak: int(reply.Peak), SincePeak: time.Duration(reply.PeakAgoMs) * time.Millisecond, MinHosts: int(reply.Spread), WarmingUp: reply.Young,
	}
	for _, h := range reply.Hosts {
		load.Hosts = append(load.Hosts, hostmanager.HostLoad{
			Worker: h.Worker, Used: int(h.Used), LongRunning: int(h.Lasting), Unschedulable: h.Closed,
			Remaining: time.Duration(h.LeftMs) * time.Millisecond, WorkValue: int(h.WorkValue),
		})
	}
	for _, tier := range reply.Demand {
		load.Demand = append(load.Demand, hostmanager.DemandTier{MilliCPU: int(tier.Size), Value: tier.Value})
	}
	return load
}

// noData is a revision that no configuration is newer than, so that the answer has no data.
const noData = store.Revision(math.MaxInt64)

// NewestConfiguration implements configrelay.Peers.
func (c *Client) NewestConfiguration(ctx context.Context, address string) (configrelay.Answer, error) {
	return c.Configuration(ctx, address, noData)
}

// Configuration implements configrelay.Peers.
func (c *Client) Configuration(ctx context.Context, address string, known store.Revision) (configrelay.Answer, error) {
	reply, err := c.peers.Get(address).Configuration(ctx, &poolpb.ConfigurationRequest{Revision: int64(known), AcceptsDeflated: true})
	if err != nil {
		c.dropIdle()
		return configrelay.Answer{}, err
	}
	answer := configrelay.Answer{
		Version: configrelay.Version{Revision: store.Revision(reply.Revision), Data: reply.Data}, Age: time.Duration(reply.AgeMs) * time.Millisecond,
	}
	if len(reply.Deflated) > 0 {
		answer.Data, err = deflate.Decompress(reply.Deflated)
	}
	return answer, err
}
