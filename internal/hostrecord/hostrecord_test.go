package hostrecord_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/hostrecord"
)

// During an upgrade a controller of the old build changes a record written by
// the new build. Fields that the old build does not define must be preserved.
func TestUnknownFieldsArePreserved(t *testing.T) {
	record, err := hostrecord.Parse("k", []byte(`{"host":"h","phase":"serving","firmware":{"wanted":"7.1"}}`))
	must.NoError(t, err)
	record.Phase = hostrecord.Draining
	var stored map[string]any
	must.NoError(t, json.Unmarshal(record.Encode(), &stored))
	must.Eq(t, map[string]any{
		"host": "h", "phase": "draining", "firmware": map[string]any{"wanted": "7.1"},
	}, stored)
}
