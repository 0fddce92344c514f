// Package cyclamenhoist contains the directives that generate the Go code of the protocol
// buffers in this repository.
package cyclamenhoist

//go:generate protoc --go_out=. --go_opt=module=github.com/cyclamenhoist/cyclamenhoist pkg/record/recordpb/record.proto
//go:generate protoc --go_out=. --go_opt=module=github.com/cyclamenhoist/cyclamenhoist --go-drpc_out=. --go-drpc_opt=module=github.com/cyclamenhoist/cyclamenhoist internal/peer/peerpb/peer.proto
//go:generate protoc --go_out=. --go_opt=module=github.com/cyclamenhoist/cyclamenhoist --go-drpc_out=. --go-drpc_opt=module=github.com/cyclamenhoist/cyclamenhoist internal/placer/placerpb/placer.proto
