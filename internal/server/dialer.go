package server

import (
	"context"
	"errors"
	"math"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"birchfork/dispatch"
	"birchfork/internal/upstream"
)

// Idle connections to workers.
const (
	idleTimeoutFraction = 0.5 // of the time after which a worker closes an idle connection, so that this side closes it first
	maxIdleTimeout      = 30 * time.Second
)

// dialer returns a function that opens connections to workers within the settings' connect timeout.
func (c *Config) dialer() upstream.DialFunc {
	dialer := net.Dialer{Timeout: c.connectTimeout(), KeepAlive: -1}
	if c.group() != nil {
		dialer.Control = c.setSocketTimeouts
	}
	return func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
}

// setSocketTimeouts limits how long the kernel keeps data that a silent link has not delivered. Without the limit, a request could
// reach a worker long after the group counts its machine as drained. A connection that is closed, or whose process ends, is reset and its
// unsent data discarded. The connection of a suspended process times out after the longest deadline.
func (c *Config) setSocketTimeouts(_, _ string, raw syscall.RawConn) error {
	timeout := int(c.maxDeadline().Milliseconds())
	var optionErr error
	controlErr := raw.Control(func(fd uintptr) {
		optionErr = errors.Join(
			unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1}),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, timeout),
		)
	})
	return errors.Join(controlErr, optionErr)
}

// idleTimeout returns how long a connection to a worker may be idle before the pool closes it.
func idleTimeout(settings dispatch.Settings) time.Duration {
	if settings.IdleTimeout <= 0 {
		return maxIdleTimeout
	}
	timeout := time.Duration(math.Round(float64(settings.IdleTimeout)*idleTimeoutFraction)) * time.Microsecond
	return min(maxIdleTimeout, timeout)
}
