// Package testnet provides network addresses and TLS certificates for tests.
package testnet

import (
	"net"
	"strconv"
	"syscall"

	"github.com/go-faster/errors"
)

// ErrReserve is returned if no address can be reserved.
var ErrReserve = errors.New("reserve address")

// RefusingAddress reserves a loopback address that refuses connections until
// release is called. The port is bound but not listened on, so no other process can
// bind it in the meantime. The error wraps ErrReserve.
func RefusingAddress() (address string, release func(), err error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, errors.Join(ErrReserve, err)
	}
	release = func() { _ = syscall.Close(socket) }
	loopback := &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}
	if err := syscall.Bind(socket, loopback); err != nil {
		release()
		return "", nil, errors.Join(ErrReserve, err)
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		release()
		return "", nil, errors.Join(ErrReserve, err)
	}
	port := bound.(*syscall.SockaddrInet4).Port
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), release, nil
}
