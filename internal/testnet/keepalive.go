package testnet

import (
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// ErrOptions is returned if the options of a connection can't be read.
var ErrOptions = errors.New("read socket options")

// KeepAlive holds the options of a TCP connection that decide when it is given up.
type KeepAlive struct {
	Idle, Interval time.Duration
	Count          int
	// UserTimeout replaces the count of probes if it isn't 0.
	UserTimeout time.Duration
}

// KeepAliveOf returns the options of a connection. The error wraps ErrOptions.
func KeepAliveOf(conn net.Conn) (KeepAlive, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return KeepAlive{}, errors.Wrap(ErrOptions, "not a socket")
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return KeepAlive{}, errors.Join(ErrOptions, err)
	}
	values := map[int]int{unix.TCP_KEEPIDLE: 0, unix.TCP_KEEPINTVL: 0, unix.TCP_KEEPCNT: 0, unix.TCP_USER_TIMEOUT: 0}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		for option := range values {
			value, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			values[option], optionErr = value, errors.Join(optionErr, err)
		}
	})
	if err := errors.Join(err, optionErr); err != nil {
		return KeepAlive{}, errors.Join(ErrOptions, err)
	}
	return KeepAlive{
		Idle: time.Duration(values[unix.TCP_KEEPIDLE]) * time.Second, Interval: time.Duration(values[unix.TCP_KEEPINTVL]) * time.Second,
		Count: values[unix.TCP_KEEPCNT], UserTimeout: time.Duration(values[unix.TCP_USER_TIMEOUT]) * time.Millisecond,
	}, nil
}
