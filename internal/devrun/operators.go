package devrun

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/record"
)

// connect makes a client that asks one controller after the other until one
// can be reached.
func (r *Deployment) connect() error {
	addresses := make([]string, r.Options.Controllers)
	for i := range addresses {
		addresses[i] = r.loopback(controllerBlock, i, operatorPort).String()
	}
	client, err := r.keys.client(addresses)
	if err != nil {
		return &SetupError{Part: "client", Cause: err}
	}
	r.Client = client
	return nil
}

func (r *Deployment) applyAll(ctx context.Context, records []record.Envelope) error {
	for _, envelope := range records {
		if err := r.Apply(ctx, envelope); err != nil {
			return &SetupError{Part: envelope.ID().String(), Cause: err}
		}
	}
	return nil
}

// Apply puts a new record in force. It tries again while the controller is starting or still behind the
// record just written before.
func (r *Deployment) Apply(ctx context.Context, envelope record.Envelope) error {
	var err error
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		_, err = r.Client.Put(ctx, envelope, 0, false)
		if err == nil || isOurs(err, envelope) {
			return nil
		}
		pause.For(ctx, pollInterval)
	}
	return err
}

// isOurs reports whether a conflict is with an earlier try of the same put.
func isOurs(err error, envelope record.Envelope) bool {
	var answer *operatorapi.ErrorResponse
	if !errors.As(err, &answer) || answer.Current == nil {
		return false
	}
	current, parseErr := record.ParseEnvelope(answer.Current.Stored)
	return parseErr == nil && bytes.Equal(compact(current.Spec), compact(envelope.Spec))
}

func compact(raw json.RawMessage) []byte {
	var out bytes.Buffer
	if json.Compact(&out, raw) != nil {
		return raw
	}
	return out.Bytes()
}
