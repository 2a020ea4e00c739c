package configrelay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/progress"
	"auburnglade.example/glade/internal/store"
)

const (
	// askAfter is the age of the confirmation from which other entry hosts are asked.
	// The store confirms once a second where it answers.
	askAfter = 1300 * time.Millisecond
	// askInterval is the pause between two rounds, checkInterval that between two
	// checks whether one is due.
	askInterval   = 300 * time.Millisecond
	checkInterval = 100 * time.Millisecond
	// askTimeout bounds one question. An entry host that is up answers in milliseconds.
	askTimeout = 500 * time.Millisecond
	// fetchTimeout bounds each wait for more of a version. A slow entry host may need some
	// hundred milliseconds before it sends the first of it.
	fetchTimeout = time.Second
	// headStart is the time in which the store or a relay, while it responds, may begin to
	// send a version that another entry host has.
	headStart = 250 * time.Millisecond
	// askAtOnce is how many entry hosts are asked in a round. One of two has the
	// store nine times in ten if a third of all are turned away.
	askAtOnce = 2
	// witnesses is how many other entry hosts must be without the store, within
	// witnessPeriod, for it to count as unavailable to all.
	witnesses     = 4
	witnessPeriod = 2 * time.Second
)

// Run asks other entry hosts whenever the store doesn't confirm the version here, until
// ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, checkInterval)
		if r.due(time.Now()) {
			r.ask(ctx)
		}
	}
	return ctx.Err()
}

// due reports whether a round is due, and records its beginning.
func (r *Relay) due(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := r.ageLocked(now)
	needed := r.storeFailed || age > askAfter
	if needed != r.asking {
		r.asking = needed
		r.Log.Info().Bool("asking", needed).Int64("revision", int64(r.version.Revision)).Int64("told", int64(r.told)).Dur("age_ms", age).
			Msg("Changed between the store and other entry hosts as the source of the configuration.")
	}
	if !needed || now.Sub(r.askedAt) < askInterval {
		return false
	}
	r.askedAt = now
	return true
}

// ask asks some other entry hosts, chosen at random, and reads a newer version from the one
// that knows the newest. A version can be large: it is read only when it is known to be
// needed and isn't arriving anyway, and from one entry host at a time. Several copies would
// take a thin link from each other, and all of them be late.
func (r *Relay) ask(ctx context.Context) {
	addresses := r.Addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	asked := addresses[:min(askAtOnce, len(addresses))]
	told := make([]store.Revision, len(asked))
	var group sync.WaitGroup
	for i, address := range asked {
		group.Go(func() { told[i] = r.askOne(ctx, address) })
	}
	group.Wait()
	source, newest := "", store.Revision(0)
	for i, revision := range told {
		if revision > newest {
			source, newest = asked[i], revision
		}
	}
	if r.beginFetch(newest) {
		go r.fetch(ctx, source)
	}
}

// askOne returns the newest revision that another entry host knows, zero if it doesn't say.
func (r *Relay) askOne(ctx context.Context, address string) store.Revision {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	known, sent := r.Revision(), time.Now()
	answer, err := r.Peers.NewestConfiguration(ctx, address)
	switch {
	case err != nil:
		r.metrics.asked.WithLabelValues("no answer").Inc()
		r.Log.Debug().Err(err).Str("address", address).Msg("An entry host did not tell its newest configuration.")
		return 0
	case answer.Revision < known || answer.Revision == 0:
		r.metrics.asked.WithLabelValues("behind").Inc()
	case answer.Revision > known:
		r.metrics.asked.WithLabelValues("newer").Inc()
	default:
		r.metrics.asked.WithLabelValues("same").Inc()
		r.confirmedBy(address, sent.Add(-answer.Age), sent)
	}
	return answer.Revision
}

// confirmedBy records that an entry host, asked at sent, knew the version in force to be
// the newest at the moment at.
func (r *Relay) confirmedBy(address string, at, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmLocked(at)
	if sent.Sub(at) > askAfter {
		r.without[address] = sent
	} else {
		delete(r.without, address)
	}
}

// beginFetch records that a revision exists, and reports whether it is to be read now.
func (r *Relay) beginFetch(revision store.Revision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.toldLocked(revision)
	if revision <= r.version.Revision || r.fetching || r.expectedLocked() {
		return false
	}
	r.fetching = true
	return true
}

// expectedLocked reports whether the newest version is on its way from the store or a relay,
// or is likely to be. Without any version, the first one that can be had is read.
func (r *Relay) expectedLocked() bool {
	if r.Arriving != nil && r.Arriving() {
		return true
	}
	return r.version.Revision != 0 && !r.storeFailed && time.Since(r.toldAt) < headStart
}

// fetch reads a version from another entry host.
func (r *Relay) fetch(ctx context.Context, address string) {
	defer r.endFetch()
	ctx, cancel := progress.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	known, sent := r.Revision(), time.Now()
	answer, err := r.Peers.Configuration(ctx, address, known)
	if err != nil {
		r.metrics.fetched.WithLabelValues("interrupted").Inc()
		r.Log.Warn().Err(err).Str("address", address).Int64("known", int64(known)).Dur("took_ms", time.Since(sent)).
			Msg("An entry host did not tell its configuration.")
		return
	}
	r.metrics.fetched.WithLabelValues("complete").Inc()
	r.metrics.fetchSeconds.Observe(time.Since(sent).Seconds())
	if len(answer.Data) > 0 {
		r.learn(answer.Version, sent.Add(-answer.Age), address)
	}
}

func (r *Relay) endFetch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fetching = false
}
