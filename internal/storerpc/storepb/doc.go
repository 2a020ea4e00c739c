// Package storepb contains the messages between entry hosts that stand in for calls to
// the store.
package storepb

//go:generate protoc --proto_path=. --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative store.proto
