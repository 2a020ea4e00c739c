// Package auth says who asks and what they may do. Operators are known by a
// certificate or a bearer token, members by a certificate of the fleet's CA.
// Keys are read from files and read again when the files change.
package auth

import (
	"context"
	"fmt"
	"net"
	"net/http"
)

// Role is what a principal may do. A higher role may do what lower ones may.
type Role string

// The roles of operators, lowest first, and that of members.
const (
	RoleNone       Role = ""
	RoleRead       Role = "read"
	RoleWrite      Role = "write"
	RoleBreakGlass Role = "break-glass"
	// RoleMember is carried by the fleet's own processes. It is no operator's
	// role: a member's certificate opens nothing on the operators' API.
	RoleMember Role = "member"
)

var rank = map[Role]int{RoleRead: 1, RoleWrite: 2, RoleBreakGlass: 3}

// Allows reports whether the role may do what need asks for.
func (r Role) Allows(need Role) bool { return rank[r] >= rank[need] && rank[r] > 0 }

// Principal is who asks.
type Principal struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
}

// UnauthenticatedError says that nobody known asks.
type UnauthenticatedError struct{ Reason string }

func (e *UnauthenticatedError) Error() string { return "not authenticated: " + e.Reason }

// ForbiddenError says that a principal's role doesn't suffice.
type ForbiddenError struct {
	Principal Principal
	Need      Role
}

func (e *ForbiddenError) Error() string {
	return fmt.Sprintf("%s has role %q, this needs %q", e.Principal.Name, e.Principal.Role, e.Need)
}

// Authenticator tells who sent a request. It returns *UnauthenticatedError when
// nobody known did.
type Authenticator interface {
	Authenticate(r *http.Request) (Principal, error)
}

// AllowAll lets everybody do everything. It is for plain HTTP that the settings
// ask for explicitly.
type AllowAll struct{}

// Authenticate implements Identifier.
func (AllowAll) Authenticate(r *http.Request) (Principal, error) {
	from, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		from = r.RemoteAddr
	}
	return Principal{Name: "anyone at " + from, Role: RoleBreakGlass}, nil
}

type principalKey struct{}

// WithPrincipal returns a context that carries who asks.
func WithPrincipal(ctx context.Context, p Principal) context.Context {
	return context.WithValue(ctx, principalKey{}, p)
}

// FromContext returns who asks; it is nobody when nothing was identified.
func FromContext(ctx context.Context) Principal {
	p, _ := ctx.Value(principalKey{}).(Principal)
	return p
}
