package atmostonce

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/atmostonce"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
)

const (
	window = 30 * time.Second
	// repeatEvery is the number of requests of which one is repeated on average.
	repeatEvery = 10
	// maxMicroseconds is the upper bound of the histogram.
	maxMicroseconds = 10_000_000
	// settleTime is the time allowed for the last settlements to reach the store.
	settleTime = 300 * time.Millisecond
)

// byteCounter is a store that counts the bytes written.
type byteCounter struct {
	store.Store
	written atomic.Int64
}

func (b *byteCounter) CompareAndSwap(ctx context.Context, write store.SwapRequest) (store.Revision, error) {
	b.written.Add(int64(len(write.Value)))
	return b.Store.CompareAndSwap(ctx, write)
}

// bench is the gateways of one design on one store.
type bench struct {
	cmd           *Cmd
	variant       variant
	store         *memstore.Store
	bytes         *byteCounter
	deduplicators []*atmostonce.Deduplicator
	peers         []atmostonce.Peer
	servers       []*http.Server
	stop          context.CancelFunc
	wait          sync.WaitGroup

	mu       sync.Mutex
	row      Row
	latency  *hdrhistogram.Histogram
	runs     map[int]int
	requests sync.WaitGroup
}

func newBench(c *Cmd, w variant) (*bench, error) {
	s := memstore.New()
	ctx, stop := context.WithCancel(context.Background())
	b := &bench{
		cmd: c, variant: w, store: s, bytes: &byteCounter{Store: s}, stop: stop,
		runs: make(map[int]int), latency: hdrhistogram.New(1, maxMicroseconds, 3),
	}
	s.SetLatency(c.StoreLatency)
	var peers func() []atmostonce.Peer
	if w.owners {
		peers = func() []atmostonce.Peer { return b.peers }
	}
	for i := range c.Gateways {
		id := fmt.Sprintf("gateway-%d", i+1)
		claimStore := w.newStore(b.bytes, id, peers)
		if err := b.listen(id, claimStore); err != nil {
			return nil, err
		}
		deduplicator := atmostonce.New(atmostonce.Config{ClaimStore: claimStore, Log: zerolog.Nop()})
		b.deduplicators = append(b.deduplicators, deduplicator)
		b.wait.Go(func() {
			// Returns when ctx ends.
			_ = deduplicator.Serve(ctx)
		})
	}
	return b, nil
}

func (b *bench) listen(id string, claimStore atmostonce.ClaimStore) error {
	batched, ok := claimStore.(*atmostonce.BatchedStore)
	if !ok {
		return nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	_, handler := atmostonce.NewServer(batched).Handler()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	b.servers = append(b.servers, server)
	b.peers = append(b.peers, atmostonce.Peer{ID: id, Address: listener.Addr().String()})
	b.wait.Go(func() {
		// Returns when the server is closed.
		_ = server.Serve(listener)
	})
	return nil
}

func (b *bench) close() {
	b.stop()
	for _, server := range b.servers {
		_ = server.Close()
	}
	b.wait.Wait()
}

// run sends requests at random times with a mean rate per second, independent of the
// completion of earlier ones.
func (b *bench) run(rate int) Row {
	random := rand.New(rand.NewPCG(b.cmd.Seed, b.cmd.Seed))
	before := b.store.Counts()
	began := time.Now()
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(random.ExpFloat64() / float64(rate) * float64(time.Second))
		if at > b.cmd.Duration {
			break
		}
		time.Sleep(at - time.Since(began))
		gateway, repeat := random.IntN(len(b.deduplicators)), random.IntN(repeatEvery) == 0
		b.requests.Go(func() { b.request(n, gateway, repeat) })
	}
	b.requests.Wait()
	time.Sleep(settleTime)
	return b.report(rate, before)
}

func (b *bench) request(n, gateway int, repeat bool) {
	b.attempt(n, b.deduplicators[gateway])
	if !repeat {
		return
	}
	_, verdict, err := b.deduplicators[(gateway+1)%len(b.deduplicators)].Begin(context.Background(), b.claim(n))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.row.Repeats++
	if err == nil && verdict.State == atmostonce.Answered {
		b.row.RepeatsAnswered++
	}
}

func (b *bench) claim(n int) atmostonce.Request {
	return atmostonce.Request{ID: atmostonce.NewID("measure", "", fmt.Sprint(n)), Window: window}
}

func (b *bench) attempt(n int, deduplicator *atmostonce.Deduplicator) {
	began := time.Now()
	granted, _, err := deduplicator.Begin(context.Background(), b.claim(n))
	took := time.Since(began)
	b.mu.Lock()
	b.row.Requests++
	if err != nil || granted == nil {
		b.row.Refused++
		b.mu.Unlock()
		return
	}
	// RecordValue fails only above maxMicroseconds, which is ten times a claim of one
	// second, so the error is ignored.
	_ = b.latency.RecordValue(took.Microseconds())
	b.runs[n]++
	b.row.MaxRuns = max(b.row.MaxRuns, b.runs[n])
	b.mu.Unlock()
	time.Sleep(b.cmd.WorkTime)
	granted.Settle(atmostonce.ResultAnswered, b.cmd.response())
}

func (b *bench) report(rate int, before memstore.Counts) Row {
	after := b.store.Counts()
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.row
	row.Variant, row.Rate = b.variant.name, rate
	requests := float64(max(row.Requests, 1))
	writes := float64(after.Writes - before.Writes)
	row.WritesPerReq = writes / requests
	row.WritesPerSecond = writes / b.cmd.Duration.Seconds()
	row.ReadsPerReq = float64(after.Reads-before.Reads) / requests
	row.WriteBytesPer = float64(b.bytes.written.Load()) / requests
	row.AddedP50Ms = float64(b.latency.ValueAtQuantile(50)) / 1000
	row.AddedP99Ms = float64(b.latency.ValueAtQuantile(99)) / 1000
	return row
}
