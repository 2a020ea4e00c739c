package poolstore_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/work"
)

// Guards against tasks that run again after their ends as done: a job whose progress can't
// be decoded is taken for one that has none.
func TestJobWithUndecodableProgressIsNotTakenForANewOne(t *testing.T) {
	s := memstore.New()
	record := &work.JobRecord{ID: "5c0e7a21d94b36f8", Spec: work.Spec{Steps: []work.Step{{Count: 1}}}}
	_, err := s.Commit(t.Context(), store.Txn{Puts: []store.Put{
		{Key: poolstore.JobKey("p", record.ID), Value: work.EncodeRecord(record)},
		{Key: poolstore.ProgressKey("p", record.ID), Value: nil},
	}})
	must.NoError(t, err)
	snapshot, err := poolstore.Load(t.Context(), s, "p")
	must.NoError(t, err)
	must.Len(t, 1, snapshot.DecodeErrors)
	must.SliceEmpty(t, snapshot.Jobs, must.Sprint("loaded as a job without progress"))
}
