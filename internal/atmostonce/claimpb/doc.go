// Package claimpb holds the generated messages and twirp stubs of claims.proto.
package claimpb

//go:generate protoc --proto_path=. --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative claims.proto
