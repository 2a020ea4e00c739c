// Package auth authenticates and authorizes requests. Operators authenticate
// with a certificate or a bearer token, members with a certificate of the
// fleet's CA. Keys are read from files and reloaded when the files change.
package auth

import (
	"context"
	"fmt"
	"net"
	"net/http"
)

// Role is the set of operations that a principal may perform. A higher role
// includes the lower ones.
type Role string

// Roles of operators, lowest first, and of members.
const (
	RoleNone       Role = ""
	RoleRead       Role = "read"
	RoleWrite      Role = "write"
	RoleBreakGlass Role = "break-glass"
	// RoleMember is the role of the fleet's own processes. It is not an
	// operator role and permits no call of the operators' API.
	RoleMember Role = "member"
)

var roleRank = map[Role]int{RoleRead: 1, RoleWrite: 2, RoleBreakGlass: 3}

// Allows reports whether the role includes need.
func (r Role) Allows(need Role) bool { return roleRank[r] >= roleRank[need] && roleRank[r] > 0 }

// Principal is the authenticated sender of a request.
type Principal struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
}

// UnauthenticatedError reports that the sender of a request could not be
// authenticated.
type UnauthenticatedError struct{ Reason string }

func (e *UnauthenticatedError) Error() string { return "not authenticated: " + e.Reason }

// ForbiddenError reports that a principal's role is not sufficient.
type ForbiddenError struct {
	Principal Principal
	Need      Role
}

func (e *ForbiddenError) Error() string {
	return fmt.Sprintf("%s has role %q, this needs %q", e.Principal.Name, e.Principal.Role, e.Need)
}

// Authenticator authenticates the sender of a request. It returns
// *UnauthenticatedError if it can't.
type Authenticator interface {
	Authenticate(r *http.Request) (Principal, error)
}

// AllowAll grants the break-glass role to every request. It is for plain HTTP,
// which the settings must enable explicitly.
type AllowAll struct{}

// Authenticate implements Authenticator.
func (AllowAll) Authenticate(r *http.Request) (Principal, error) {
	from, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		from = r.RemoteAddr
	}
	return Principal{Name: "anyone at " + from, Role: RoleBreakGlass}, nil
}

type principalKey struct{}

// WithPrincipal returns a context with the principal.
func WithPrincipal(ctx context.Context, p Principal) context.Context {
	return context.WithValue(ctx, principalKey{}, p)
}

// FromContext returns the principal of a context, or the zero Principal if
// there is none.
func FromContext(ctx context.Context) Principal {
	p, _ := ctx.Value(principalKey{}).(Principal)
	return p
}
