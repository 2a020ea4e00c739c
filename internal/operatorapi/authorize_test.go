package operatorapi_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/auth"
	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store/memstore"
)

// headerAuthenticator takes the operator's role from a header.
type headerAuthenticator struct{}

func (headerAuthenticator) Authenticate(r *http.Request) (auth.Principal, error) {
	role := auth.Role(r.Header.Get("Role"))
	if role == auth.RoleNone {
		return auth.Principal{}, &auth.UnauthenticatedError{Reason: "test"}
	}
	return auth.Principal{Name: "astrid", Role: role}, nil
}

// Each call requires a role. A request whose role is not sufficient must not
// write to the store.
func TestRolesPerCall(t *testing.T) {
	b := newBackend(t, memstore.New())
	revision := b.put(service("match"), 0)
	b.put(pool("match", 1, "match"), 0)
	b.sync()
	server := operatorapi.New(operatorapi.Config{
		Store: b.store, Feed: b.feed, Confirmer: noneLagging{}, Deletions: b.deletions, Authenticator: headerAuthenticator{}, Log: zerolog.Nop(),
	})
	call := func(role auth.Role, method, path, body string) int {
		request := httptest.NewRequest(method, path, strings.NewReader(body))
		request.Header.Set("Role", string(role))
		request.Header.Set("If-Match", strconv.Quote(strconv.Itoa(int(revision))))
		response := httptest.NewRecorder()
		server.ServeHTTP(response, request)
		return response.Code
	}
	before := b.store.Counts().Writes
	must.Eq(t, http.StatusUnauthorized, call(auth.RoleNone, http.MethodGet, "/v1/records", ""))
	must.Eq(t, http.StatusOK, call(auth.RoleRead, http.MethodGet, "/v1/records", ""))
	must.Eq(t, http.StatusOK, call(auth.RoleRead, http.MethodPost, "/v1/plan", "[]"))
	must.Eq(t, http.StatusForbidden, call(auth.RoleMember, http.MethodGet, "/v1/records", ""))
	must.Eq(t, http.StatusForbidden, call(auth.RoleRead, http.MethodPut, "/v1/records/Pool/a", "{}"))
	must.Eq(t, http.StatusForbidden, call(auth.RoleRead, http.MethodDelete, "/v1/records/Service/match", ""))
	must.Eq(t, http.StatusConflict, call(auth.RoleWrite, http.MethodDelete, "/v1/records/Service/match", ""))
	must.Eq(t, http.StatusForbidden, call(auth.RoleWrite, http.MethodDelete, "/v1/records/Service/match?breakGlass=true", ""))
	must.Eq(t, before, b.store.Counts().Writes)
	must.Eq(t, http.StatusOK, call(auth.RoleBreakGlass, http.MethodDelete, "/v1/records/Service/match?breakGlass=true", ""))
}

// The author of a version must be the authenticated principal, not the author
// in the request body.
func TestAuthorIsTheAuthenticatedPrincipal(t *testing.T) {
	b := newBackend(t, memstore.New())
	forged := pool("a", 1)
	forged.Author = "someone-else"
	b.put(forged, 0)
	got, err := b.client.Get(t.Context(), record.ID{Kind: record.KindPool, Name: "a"})
	must.NoError(t, err)
	must.StrContains(t, string(got.Stored), `"author":"anyone at 127.0.0.1"`)
}
