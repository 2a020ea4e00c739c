package operatorapi

import (
	"net/http"

	"auburnglade.example/glade/internal/auth"
)

// breakGlassParam, set to true, asks to pass over a check that is there to
// keep operators from mistakes. It needs the break-glass role, and it is
// recorded as such.
const breakGlassParam = "breakGlass"

// authorize identifies who asks and checks that their role suffices for the
// method. It returns the request with its principal.
func (s *Server) authorize(r *http.Request) (*http.Request, error) {
	principal, err := s.Authenticator.Authenticate(r)
	if err != nil {
		return r, err
	}
	need := needed(r)
	if !principal.Role.Allows(need) {
		s.Log.Warn().Str("operator", principal.Name).Str("role", string(principal.Role)).
			Str("needs", string(need)).Str("path", r.URL.Path).Msg("Request refused.")
		return r, &auth.ForbiddenError{Principal: principal, Need: need}
	}
	return r.WithContext(auth.WithPrincipal(r.Context(), principal)), nil
}

func needed(r *http.Request) auth.Role {
	switch {
	case breaksGlass(r):
		return auth.RoleBreakGlass
	case r.Method == http.MethodGet, r.Method == http.MethodHead, r.URL.Path == planPath:
		return auth.RoleRead
	}
	return auth.RoleWrite
}

func breaksGlass(r *http.Request) bool { return r.URL.Query().Get(breakGlassParam) == "true" }

// author names who asks.
func author(r *http.Request) string { return auth.FromContext(r.Context()).Name }
