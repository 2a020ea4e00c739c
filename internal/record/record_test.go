package record_test

import (
	"encoding/json"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/record"
)

func envelope(kind record.Kind, schema int, spec string) record.Envelope {
	return record.Envelope{Kind: kind, Name: "sample", Schema: schema, Spec: json.RawMessage(spec)}
}

func faultsOf(t *testing.T, err error) map[string]string {
	t.Helper()
	var invalid *record.InvalidError
	must.True(t, errors.As(err, &invalid), must.Sprint(err))
	paths := make(map[string]string)
	for _, fault := range invalid.FieldErrors {
		must.NotEq(t, "", fault.Want)
		paths[fault.Field] = fault.Got
	}
	return paths
}

// Decode must report every fault of a record at once, each with its field path.
func TestDecodeReportsFieldPaths(t *testing.T) {
	cases := map[string]struct {
		envelope record.Envelope
		faults   map[string]string
	}{
		"service": {
			envelope(record.KindService, 1, `{"pathPrefix":"match","port":0,"nonIdempotent":[{"pathPrefix":"/a/"},{"method":"post","pathPrefix":"/b"}]}`),
			map[string]string{"spec.pathPrefix": "match", "spec.port": "0", "spec.nonIdempotent[1].method": "post", "spec.nonIdempotent[1].pathPrefix": "/b"},
		},
		"pool": {
			envelope(record.KindPool, 1, `{"size":-1,"services":["a","B","a"]}`),
			map[string]string{"spec.size": "-1", "spec.services[1]": "B", "spec.services[2]": "a"},
		},
		"budget": {
			envelope(record.KindBudget, 1, `{"service":"","minAvailable":-2,"margin":"row"}`),
			map[string]string{"spec.service": "", "spec.minAvailable": "-2", "spec.margin": "row"},
		},
		"wave": {
			envelope(record.KindWave, 2, `{"pools":[],"windows":[{"from":"25:00","to":"x","days":["Mon","Day"]}]}`),
			map[string]string{"spec.pools": "", "spec.windows[0].from": "25:00", "spec.windows[0].to": "x", "spec.windows[0].days[1]": "Day"},
		},
		"job": {
			envelope(record.KindJob, 1, `{"pool":"p","team":"t","priority":"soon","resources":{"milliCpu":-1,"memoryMb":1}}`),
			map[string]string{"spec.priority": "soon", "spec.resources.milliCpu": "-1"},
		},
		"quota":      {envelope(record.KindQuota, 1, `{"team":"T","resources":{}}`), map[string]string{"spec.team": "T"}},
		"policy":     {envelope(record.KindPolicy, 1, `{"bufferWeight":101}`), map[string]string{"spec.bufferWeight": "101"}},
		"wrong type": {envelope(record.KindPool, 1, `{"size":"ten"}`), map[string]string{"spec.size": "string"}},
		"kind":       {envelope("Pond", 1, `{}`), map[string]string{"kind": "Pond"}},
		"other spelling": {
			envelope(record.KindJob, 1, `{"pool":"p","TEAM":"t","team":"u","resources":{"milliCPU":1}}`),
			map[string]string{"spec.TEAM": "set", "spec.resources.milliCPU": "set"},
		},
		"newer field": {envelope(record.KindPool, 1, `{"size":1,"maxPerRack":2}`), map[string]string{"spec.maxPerRack": "set"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := record.Decode(c.envelope)
			must.Eq(t, c.faults, faultsOf(t, err))
		})
	}
}

func TestDecodeRejectsInvalidNames(t *testing.T) {
	for _, name := range []string{"", "A", "-a", "a-", "a/b", "a b", string(make([]byte, 64))} {
		bad := envelope(record.KindPool, 1, `{"size":1}`)
		bad.Name = name
		_, err := record.Decode(bad)
		must.Eq(t, map[string]string{"name": name}, faultsOf(t, err))
	}
}

func TestDecodeRejectsUnsupportedSchemas(t *testing.T) {
	for _, schema := range []int{0, -1, record.MaxSchema + 1} {
		_, err := record.Decode(envelope(record.KindPool, schema, `{"size":1}`))
		var schemaErr *record.SchemaError
		must.True(t, errors.As(err, &schemaErr))
		must.Eq(t, schema, schemaErr.Schema)
	}
	must.Eq(t, record.MinSchema, record.NewEnvelope("a", &record.Pool{Size: 1}).Schema)
	must.Eq(t, 2, record.NewEnvelope("a", &record.Pool{Size: 1, MaxPerRack: 1}).Schema)
}

func TestParseEnvelopeRejectsInvalidEnvelopes(t *testing.T) {
	for _, text := range []string{``, `{`, `[]`, `{"kind":"Pool","owner":"x"}`, `{"kind":"Pool"} {}`, `{"schema":"1"}`} {
		_, err := record.ParseEnvelope([]byte(text))
		var syntax *record.SyntaxError
		must.True(t, errors.As(err, &syntax), must.Sprint(text))
	}
}

func TestUnknownFieldsAtAnyDepth(t *testing.T) {
	job := envelope(record.KindJob, 1, `{"pool":"p","colour":1,"resources":{"milliCpu":1,"disk":{"gb":1}}}`)
	must.Eq(t, []string{"spec.colour", "spec.resources.disk"}, record.UnknownFields(job))
	service := envelope(record.KindService, 1, `{"nonIdempotent":[{"pathPrefix":"/a/"},{"pathPrefix":"/b/","weight":1}]}`)
	must.Eq(t, []string{"spec.nonIdempotent[1].weight"}, record.UnknownFields(service))
}

// An operator patches a record with an older gladectl than the one that wrote
// it. Fields known only to the newer version, including nested ones and ones in
// list elements, must stay unchanged.
func TestPatchKeepsUnknownFields(t *testing.T) {
	raw := json.RawMessage(`{"pool":"p","team":"t","tasks":3,"colour":{"deep":[1,2]},"resources":{"milliCpu":100,"memoryMb":5,"disk":7}}`)
	spec, err := record.Decode(envelope(record.KindJob, 1, string(raw)))
	must.NoError(t, err)
	job := spec.(*record.Job)
	job.Cancelled = true
	job.Tasks = 0
	job.Resources.MilliCPU = 200
	patched, err := record.Patch(raw, job)
	must.NoError(t, err)
	must.EqJSON(t, `{"pool":"p","team":"t","cancelled":true,"colour":{"deep":[1,2]},"resources":{"milliCpu":200,"memoryMb":5,"disk":7}}`, string(patched))
}

func TestPatchKeepsUnknownFieldsOfListElements(t *testing.T) {
	raw := json.RawMessage(`{"pathPrefix":"/a/","port":1,"nonIdempotent":[{"pathPrefix":"/b/","weight":1},{"pathPrefix":"/c/","weight":2}]}`)
	spec, err := record.Decode(envelope(record.KindService, 1, string(raw)))
	must.NoError(t, err)
	spec.(*record.Service).Port = 2
	patched, err := record.Patch(raw, spec)
	must.NoError(t, err)
	must.EqJSON(t, `{"pathPrefix":"/a/","port":2,"nonIdempotent":[{"pathPrefix":"/b/","weight":1},{"pathPrefix":"/c/","weight":2}]}`, string(patched))
}

func FuzzParseEnvelope(f *testing.F) {
	f.Add([]byte(`{"kind":"Pool","name":"a","schema":1,"spec":{"size":1}}`))
	f.Add([]byte(`{"kind":"Pool","name":"a","schema":1,"spec":null,"writeId":"x"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := record.ParseEnvelope(data)
		if err != nil {
			var syntax *record.SyntaxError
			must.True(t, errors.As(err, &syntax))
			return
		}
		again, err := json.Marshal(parsed)
		must.NoError(t, err)
		reparsed, err := record.ParseEnvelope(again)
		must.NoError(t, err)
		must.Eq(t, parsed.ID(), reparsed.ID())
		must.Eq(t, parsed.Schema, reparsed.Schema)
	})
}

func addSpecs(f *testing.F) {
	f.Add(uint8(0), 1, `{"pathPrefix":"/a/","port":1,"nonIdempotent":[{"method":"POST","pathPrefix":"/b/","w":1}]}`)
	f.Add(uint8(1), 2, `{"size":3,"services":["a"],"maxPerRack":2,"x":{"y":1}}`)
	f.Add(uint8(5), 2, `{"pools":["a"],"windows":[{"from":"01:00","to":"02:00","days":["Mon"],"z":[]}]}`)
	f.Add(uint8(6), 1, `{"pool":"p","team":"t","resources":{"milliCpu":1,"memoryMb":1,"d":null}}`)
}

// FuzzDecode checks that any spec is either accepted or refused with a typed
// error.
func FuzzDecode(f *testing.F) {
	addSpecs(f)
	f.Fuzz(func(t *testing.T, kind uint8, schema int, spec string) {
		e := envelope(record.Kinds[int(kind)%len(record.Kinds)], schema, spec)
		record.UnknownFields(e)
		_, err := record.Decode(e)
		var invalid *record.InvalidError
		var schemaErr *record.SchemaError
		if err != nil {
			must.True(t, errors.As(err, &invalid) || errors.As(err, &schemaErr), must.Sprint(err))
		}
	})
}

// FuzzPatch checks that patching a spec with itself changes no known field and
// loses no unknown field.
func FuzzPatch(f *testing.F) {
	addSpecs(f)
	f.Fuzz(func(t *testing.T, kind uint8, schema int, text string) {
		before := envelope(record.Kinds[int(kind)%len(record.Kinds)], schema, text)
		spec, err := record.Decode(before)
		if err != nil {
			return
		}
		patched, err := record.Patch(before.Spec, spec)
		must.NoError(t, err)
		after := envelope(before.Kind, schema, string(patched))
		again, err := record.Decode(after)
		must.NoError(t, err)
		first, _ := json.Marshal(spec)
		second, _ := json.Marshal(again)
		must.EqJSON(t, string(first), string(second))
		must.Eq(t, record.UnknownFields(before), record.UnknownFields(after))
	})
}
