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
	// repeatShare is one in how many requests is repeated.
	repeatShare = 10
	// maxMicroseconds is the histogram's end.
	maxMicroseconds = 10_000_000
	// settleTime lets the last settlements reach the store.
	settleTime = 300 * time.Millisecond
)

// byteCounter counts the bytes that reach the stand-in.
type byteCounter struct {
	store.Store
	written atomic.Int64
}

func (b *byteCounter) CompareAndSwap(ctx context.Context, write store.Write) (store.Revision, error) {
	b.written.Add(int64(len(write.Value)))
	return b.Store.CompareAndSwap(ctx, write)
}

// bench is one way's gateways over one store.
type bench struct {
	cmd     *Cmd
	way     way
	store   *memstore.Store
	bytes   *byteCounter
	keepers []*atmostonce.Deduplicator
	peers   []atmostonce.Peer
	servers []*http.Server
	stop    context.CancelFunc
	wait    sync.WaitGroup

	mu       sync.Mutex
	row      Row
	added    *hdrhistogram.Histogram
	runs     map[int]int
	requests sync.WaitGroup
}

func newBench(c *Cmd, w way) (*bench, error) {
	s := memstore.New()
	ctx, stop := context.WithCancel(context.Background())
	b := &bench{
		cmd: c, way: w, store: s, bytes: &byteCounter{Store: s}, stop: stop,
		runs: make(map[int]int), added: hdrhistogram.New(1, maxMicroseconds, 3),
	}
	s.SetLatency(c.StoreLatency)
	var peers func() []atmostonce.Peer
	if w.owners {
		peers = func() []atmostonce.Peer { return b.peers }
	}
	for i := range c.Gateways {
		id := fmt.Sprintf("gateway-%d", i+1)
		ledger := w.ledger(b.bytes, id, peers)
		if err := b.listen(id, ledger); err != nil {
			return nil, err
		}
		keeper := atmostonce.New(atmostonce.Config{ClaimStore: ledger, Log: zerolog.Nop()})
		b.keepers = append(b.keepers, keeper)
		b.wait.Go(func() {
			// Ends with ctx.
			_ = keeper.Serve(ctx)
		})
	}
	return b, nil
}

func (b *bench) listen(id string, ledger atmostonce.ClaimStore) error {
	grouped, ok := ledger.(*atmostonce.BatchedStore)
	if !ok {
		return nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	_, handler := atmostonce.NewServer(grouped).Handler()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	b.servers = append(b.servers, server)
	b.peers = append(b.peers, atmostonce.Peer{ID: id, Address: listener.Addr().String()})
	b.wait.Go(func() {
		// Ends with the server's Close.
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

// run lets requests arrive at random moments, whether or not earlier ones are
// through.
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
		gateway, repeat := random.IntN(len(b.keepers)), random.IntN(repeatShare) == 0
		b.requests.Go(func() { b.request(n, gateway, repeat) })
	}
	b.requests.Wait()
	time.Sleep(settleTime)
	return b.report(rate, before)
}

func (b *bench) request(n, gateway int, repeat bool) {
	b.attempt(n, b.keepers[gateway])
	if !repeat {
		return
	}
	_, verdict, err := b.keepers[(gateway+1)%len(b.keepers)].Begin(context.Background(), b.claim(n))
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

func (b *bench) attempt(n int, keeper *atmostonce.Deduplicator) {
	began := time.Now()
	ticket, _, err := keeper.Begin(context.Background(), b.claim(n))
	took := time.Since(began)
	b.mu.Lock()
	b.row.Requests++
	if err != nil || ticket == nil {
		b.row.Refused++
		b.mu.Unlock()
		return
	}
	// A value past the histogram's end would be a second's claim ten times over.
	_ = b.added.RecordValue(took.Microseconds())
	b.runs[n]++
	b.row.MaxRuns = max(b.row.MaxRuns, b.runs[n])
	b.mu.Unlock()
	time.Sleep(b.cmd.WorkTime)
	ticket.Settle(atmostonce.ResultAnswered, b.cmd.answer())
}

func (b *bench) report(rate int, before memstore.Counts) Row {
	after := b.store.Counts()
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.row
	row.Way, row.Rate = b.way.name, rate
	requests := float64(max(row.Requests, 1))
	writes := float64(after.Writes - before.Writes)
	row.WritesPerReq = writes / requests
	row.WritesPerSecond = writes / b.cmd.Duration.Seconds()
	row.ReadsPerReq = float64(after.Reads-before.Reads) / requests
	row.WriteBytesPer = float64(b.bytes.written.Load()) / requests
	row.AddedP50Ms = float64(b.added.ValueAtQuantile(50)) / 1000
	row.AddedP99Ms = float64(b.added.ValueAtQuantile(99)) / 1000
	return row
}
