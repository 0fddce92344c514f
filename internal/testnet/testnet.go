// Package testnet holds what tests of several packages need of the network.
package testnet

import (
	"net"
	"strconv"
	"syscall"

	"github.com/go-faster/errors"
)

// ErrReserve means that no address could be reserved.
var ErrReserve = errors.New("reserve address")

// RefusingAddress reserves a loopback address at which connections are refused,
// until release is called. The port is bound but not listened on, so that no
// other process can take it meanwhile.
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
