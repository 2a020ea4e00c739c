// Package lendpb holds the generated messages and twirp stubs of lend.proto.
package lendpb

//go:generate protoc --proto_path=. --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative lend.proto
