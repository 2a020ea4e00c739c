package operatorapi

import (
	"net/http"

	"auburnglade.example/glade/internal/auth"
)

// breakGlassParam is the query parameter that, set to true, requests to skip a
// safety check against operator mistakes. It requires the break-glass role, and
// the audit log records its use.
const breakGlassParam = "breakGlass"

// authorize authenticates the sender and checks that its role permits the
// request. It returns the request with the principal in its context.
func (s *Server) authorize(r *http.Request) (*http.Request, error) {
	principal, err := s.Authenticator.Authenticate(r)
	if err != nil {
		return r, err
	}
	need := requiredRole(r)
	if !principal.Role.Allows(need) {
		s.Log.Warn().Str("operator", principal.Name).Str("role", string(principal.Role)).
			Str("needs", string(need)).Str("path", r.URL.Path).Msg("Request denied: the operator's role doesn't permit it.")
		return r, &auth.ForbiddenError{Principal: principal, Need: need}
	}
	return r.WithContext(auth.WithPrincipal(r.Context(), principal)), nil
}

func requiredRole(r *http.Request) auth.Role {
	switch {
	case isBreakGlass(r):
		return auth.RoleBreakGlass
	case r.Method == http.MethodGet, r.Method == http.MethodHead, r.URL.Path == planPath:
		return auth.RoleRead
	}
	return auth.RoleWrite
}

func isBreakGlass(r *http.Request) bool { return r.URL.Query().Get(breakGlassParam) == "true" }

// authorName returns the name of the authenticated principal.
func authorName(r *http.Request) string { return auth.FromContext(r.Context()).Name }
