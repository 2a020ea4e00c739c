// Package poolpb contains the messages between entry hosts about pools.
package poolpb

//go:generate protoc --proto_path=. --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative pool.proto
