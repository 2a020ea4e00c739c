// Package carrierpb contains the messages between pool holders and carriers.
package carrierpb

//go:generate protoc --proto_path=. --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative carrier.proto
