// Package peerpb holds the generated messages and twirp stubs of peer.proto.
package peerpb

//go:generate protoc --proto_path=. --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative peer.proto
