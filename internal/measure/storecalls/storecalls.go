// Package storecalls measures the client-side cost of a store call, in memory and
// over HTTP: the part of every store-bound figure that this project contributes.
package storecalls

import (
	"context"
	"net/http/httptest"
	"time"

	"auburnglade.example/glade/internal/platformhttp"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
)

// Cmd is the subcommand that measures store calls.
type Cmd struct {
	Calls int `help:"Calls per kind." default:"2000"`
}

// Result is the mean time per call in microseconds, for sequential calls.
type Result struct {
	Calls         int     `json:"calls"`
	MemoryGetUs   float64 `json:"memory_get_us"`
	MemoryWriteUs float64 `json:"memory_write_us"`
	HTTPGetUs     float64 `json:"http_get_us"`
	HTTPWriteUs   float64 `json:"http_write_us"`
}

const measuredKey = "/glade/measure"

// Run implements the command.
func (c *Cmd) Run(result *any) error {
	ctx := context.Background()
	direct := memstore.New()
	behind := memstore.New()
	server := httptest.NewServer(platformhttp.NewHandler(platformhttp.Backend{Store: behind}))
	defer server.Close()
	r := Result{Calls: c.Calls}
	var err error
	if r.MemoryWriteUs, r.MemoryGetUs, err = c.measure(ctx, direct); err != nil {
		return err
	}
	if r.HTTPWriteUs, r.HTTPGetUs, err = c.measure(ctx, platformhttp.NewClient(server.URL)); err != nil {
		return err
	}
	*result = r
	return nil
}

func (c *Cmd) measure(ctx context.Context, s store.Store) (writeUs, getUs float64, err error) {
	value := make([]byte, 256)
	var revision store.Revision
	began := time.Now()
	for range c.Calls {
		revision, err = s.CompareAndSwap(ctx, store.SwapRequest{Key: measuredKey, Expect: revision, Value: value})
		if err != nil {
			return 0, 0, err
		}
	}
	writeUs = perCall(began, c.Calls)
	began = time.Now()
	for range c.Calls {
		if _, err = s.Get(ctx, measuredKey); err != nil {
			return 0, 0, err
		}
	}
	return writeUs, perCall(began, c.Calls), nil
}

func perCall(began time.Time, calls int) float64 {
	return float64(time.Since(began).Microseconds()) / float64(calls)
}
