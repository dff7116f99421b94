package upstream

import (
	"net"
	"net/netip"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
)

// listenBacklog is the length of the queue of connections not yet accepted.
const listenBacklog = 128

// reservedPort keeps the address of a dead member with a socket that is bound and does
// not listen: connections are refused, and no other process can take the port before
// the member restarts.
type reservedPort struct{ fd int }

func reservePort(address string) (*reservedPort, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().Is4() {
		return nil, errors.Newf("address %s is not IPv4", address)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "open socket")
	}
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(parsed.Port()), Addr: parsed.Addr().As4()})
	}
	if err != nil {
		_ = syscall.Close(fd)
		return nil, errors.Wrapf(err, "reserve %s", address)
	}
	return &reservedPort{fd: fd}, nil
}

// listen turns the reservation into a listener.
func (r *reservedPort) listen() (net.Listener, error) {
	if err := syscall.Listen(r.fd, listenBacklog); err != nil {
		r.release()
		return nil, errors.Wrap(err, "listen on the reserved port")
	}
	file := os.NewFile(uintptr(r.fd), "reserved port")
	defer func() { _ = file.Close() }() // the listener holds a copy
	listener, err := net.FileListener(file)
	return listener, errors.Wrap(err, "listen on the reserved port")
}

func (r *reservedPort) release() { _ = syscall.Close(r.fd) }
