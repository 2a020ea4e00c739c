package organisation

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/work"
)

func TestKeysNameTheirOrganisation(t *testing.T) {
	d, err := NewDirectory([]Spec{
		{Name: "a", Keys: []string{"k1", "k2"}, Weight: 3, Limit: work.Resources{MilliCPU: 4000}},
		{Name: "b", Keys: []string{"k3"}},
		{Name: "c"},
	})
	must.NoError(t, err)
	for key, name := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		o, ok := d.ByKey(key)
		must.True(t, ok)
		must.EqOp(t, name, o.Name)
	}
	for _, key := range []string{"", "k", "K1", "k1 "} {
		_, ok := d.ByKey(key)
		must.False(t, ok)
	}
	a, _ := d.ByName("a")
	must.True(t, a.Limited())
	b, _ := d.ByName("b")
	must.False(t, b.Limited())
}

// Guards against a configuration whose organisations can't be told apart, or whose
// numbers mean nothing.
func TestInvalidOrganisationsAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		specs []Spec
		index int
		field Field
	}{
		"two with one key":  {[]Spec{{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"k"}}}, 1, FieldKeys},
		"one key twice":     {[]Spec{{Name: "a", Keys: []string{"k", "k"}}}, 0, FieldKeys},
		"empty key":         {[]Spec{{Name: "a", Keys: []string{""}}}, 0, FieldKeys},
		"no name":           {[]Spec{{Name: "a"}, {}}, 1, FieldName},
		"two with one name": {[]Spec{{Name: "a"}, {Name: "a"}}, 1, FieldName},
		"negative weight":   {[]Spec{{Name: "a", Weight: -1}}, 0, FieldWeight},
		"negative limit":    {[]Spec{{Name: "a", Limit: work.Resources{GPU: -1}}}, 0, FieldLimit},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := NewDirectory(c.specs)
			var invalid *InvalidError
			must.True(t, errors.As(err, &invalid))
			must.EqOp(t, c.index, invalid.Index)
			must.EqOp(t, c.field, invalid.Field)
		})
	}
}

// Guards against keys in errors and fingerprints.
func TestKeysAreNotShown(t *testing.T) {
	_, err := NewDirectory([]Spec{{Name: "a", Keys: []string{"secret"}}, {Name: "b", Keys: []string{"secret"}}})
	must.StrNotContains(t, err.Error(), "secret")
	must.StrNotContains(t, Fingerprint("secret"), "secret")
	must.NotEqOp(t, Fingerprint("secret"), Fingerprint("secret2"))
}
