// Package wire holds the protobuf messages that the processes of teaseltide
// exchange. The code is generated from wire.proto by `make generate` and
// committed, so that a build needs no generator.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative wire.proto
