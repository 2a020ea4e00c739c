package hostrecord_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/hostrecord"
)

// During an upgrade a controller of the old build changes a record that one of
// the new build wrote. What the new build noted in a field that the old one
// doesn't know must still be there afterwards.
func TestUnknownFieldsSurviveAChange(t *testing.T) {
	record, err := hostrecord.Parse("k", []byte(`{"host":"h","phase":"serving","firmware":{"wanted":"7.1"}}`))
	must.NoError(t, err)
	record.Phase = hostrecord.Draining
	var stored map[string]any
	must.NoError(t, json.Unmarshal(record.Encode(), &stored))
	must.Eq(t, map[string]any{
		"host": "h", "phase": "draining", "firmware": map[string]any{"wanted": "7.1"},
	}, stored)
}
