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

// connect creates a client that tries the controllers in turn until one is
// reachable.
func (r *Deployment) connect() error {
	addresses := make([]string, r.Options.Controllers)
	for i := range addresses {
		addresses[i] = r.loopback(controllerBlock, i, operatorPort).String()
	}
	client, err := r.keyStore.client(addresses)
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

// Apply creates a record. It retries while the controller is starting or has not
// yet applied the previous record.
func (r *Deployment) Apply(ctx context.Context, envelope record.Envelope) error {
	var err error
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		_, err = r.Client.Put(ctx, envelope, 0, false)
		if err == nil || isOwnWrite(err, envelope) {
			return nil
		}
		pause.For(ctx, pollInterval)
	}
	return err
}

// isOwnWrite reports whether err is a conflict with an earlier attempt of the same
// write.
func isOwnWrite(err error, envelope record.Envelope) bool {
	var response *operatorapi.ErrorResponse
	if !errors.As(err, &response) || response.Current == nil {
		return false
	}
	current, parseErr := record.ParseEnvelope(response.Current.Stored)
	return parseErr == nil && bytes.Equal(compact(current.Spec), compact(envelope.Spec))
}

func compact(raw json.RawMessage) []byte {
	var out bytes.Buffer
	if json.Compact(&out, raw) != nil {
		return raw
	}
	return out.Bytes()
}
