// Package organisation holds the organisations that may hand in jobs: their API
// keys, weights and limits, as the operator has configured them. It does no I/O.
package organisation

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"

	"auburnglade.example/glade/internal/work"
)

// Spec is an organisation as it is configured.
type Spec struct {
	Name string
	// Keys are the API keys that its clients send. There may be none: the clients of
	// an organisation without keys are refused.
	Keys []string
	// Priority orders organisations, 0 first.
	Priority int
	// Weight is its share when there is not enough for all, and the jobs per second
	// that it is entitled to hand in.
	Weight int
	// Limit is what its tasks may use at the same time; zero means no limit, for
	// each resource by itself.
	Limit work.Resources
}

// Organisation is a configured organisation without its keys.
type Organisation struct {
	Name     string
	Priority int
	Weight   int
	Limit    work.Resources
}

// Limited reports whether any resource has a limit.
func (o *Organisation) Limited() bool { return o.Limit != work.Resources{} }

// Field is a field of a Spec.
type Field string

// The fields that may be invalid.
const (
	FieldName   Field = "name"
	FieldKeys   Field = "keys"
	FieldWeight Field = "weight"
	FieldLimit  Field = "limit"
)

// InvalidError reports an invalid field of the organisation at Index.
type InvalidError struct {
	Index int
	Field Field
	Want  string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("organisation %d: %s must be %s", e.Index, e.Field, e.Want)
}

// hashedKey is the SHA-256 of an API key. Keys themselves are not kept, so that
// neither a log line nor a memory dump can contain one.
type hashedKey [sha256.Size]byte

// Directory finds organisations by key and by name. It is immutable.
type Directory struct {
	byKey  map[hashedKey]*Organisation
	byName map[string]*Organisation
}

// NewDirectory returns *InvalidError for the first invalid field: a name or key that is
// empty or belongs to two organisations, a negative weight, or a limit that is negative
// or out of range.
func NewDirectory(specs []Spec) (*Directory, error) {
	d := &Directory{byKey: make(map[hashedKey]*Organisation), byName: make(map[string]*Organisation)}
	for i, spec := range specs {
		if err := d.add(spec); err != nil {
			err.Index = i
			return nil, err
		}
	}
	return d, nil
}

func (d *Directory) add(spec Spec) *InvalidError {
	switch {
	case spec.Name == "" || d.byName[spec.Name] != nil:
		return &InvalidError{Field: FieldName, Want: "a name that no other has"}
	case spec.Weight < 0:
		return &InvalidError{Field: FieldWeight, Want: "zero or more"}
	case spec.Limit.MilliCPU < 0 || spec.Limit.MemMB < 0 || spec.Limit.GPU < 0:
		return &InvalidError{Field: FieldLimit, Want: "zero or more"}
	}
	o := &Organisation{Name: spec.Name, Priority: spec.Priority, Weight: spec.Weight, Limit: spec.Limit}
	d.byName[o.Name] = o
	for _, key := range spec.Keys {
		hashed := hashedKey(sha256.Sum256([]byte(key)))
		if key == "" || d.byKey[hashed] != nil {
			return &InvalidError{Field: FieldKeys, Want: "keys that are not empty and that no other has"}
		}
		d.byKey[hashed] = o
	}
	return nil
}

// ByKey returns the organisation that an API key belongs to.
func (d *Directory) ByKey(key string) (*Organisation, bool) {
	o, ok := d.byKey[sha256.Sum256([]byte(key))]
	return o, ok
}

// ByName returns an organisation by its name.
func (d *Directory) ByName(name string) (*Organisation, bool) {
	o, ok := d.byName[name]
	return o, ok
}

// All returns all organisations by name, none for a nil directory.
func (d *Directory) All() []*Organisation {
	if d == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(d.byName), func(a, b *Organisation) int { return strings.Compare(a.Name, b.Name) })
}

// Len returns the number of organisations, zero for a nil directory.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}

// fingerprintBytes keeps a fingerprint too short to be tried against a list of keys
// and long enough to tell the keys of a site apart.
const fingerprintBytes = 4

// Fingerprint returns a short fingerprint of an API key, for logs.
func Fingerprint(key string) string {
	hashed := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hashed[:fingerprintBytes])
}
