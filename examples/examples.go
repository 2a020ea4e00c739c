// Package examples contains the sample records of two deployments, for glade-dev and
// as a template for operators' own files.
package examples

import (
	"bytes"
	"embed"
	"encoding/json"

	"auburnglade.example/glade/internal/record"
)

//go:embed klarlund/*.json lindqvist/*.json
var files embed.FS

// Deployments lists the names of the sample deployments.
var Deployments = []string{"klarlund", "lindqvist"}

// Records returns a deployment's records in the order in which to apply them.
func Records(deployment string) ([]record.Envelope, error) {
	return read(deployment + "/records.json")
}

// Wave returns a deployment's sample maintenance wave.
func Wave(deployment string) (record.Envelope, error) {
	waves, err := read(deployment + "/wave.json")
	if err != nil {
		return record.Envelope{}, err
	}
	return waves[0], nil
}

func read(name string) ([]record.Envelope, error) {
	data, err := files.ReadFile(name)
	if err != nil {
		return nil, err
	}
	var envelopes []record.Envelope
	decoder := json.NewDecoder(bytes.NewReader(data))
	for decoder.More() {
		var raw json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			return nil, err
		}
		envelope, err := record.ParseEnvelope(raw)
		if err != nil {
			return nil, err
		}
		envelopes = append(envelopes, envelope)
	}
	return envelopes, nil
}
