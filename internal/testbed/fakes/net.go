package fakes

import (
	"fmt"
	"math/rand/v2"
)

// Net is a range of loopback addresses. Each run uses its own, so that concurrent runs on one machine do not share addresses:
// a dispatcher with an outdated endpoint list would otherwise call a worker of another run.
type Net [2]byte

// NewNet returns a random range within 127.1.0.0/16 to 127.60.0.0/16.
func NewNet() Net { return Net{byte(rand.IntN(60)), byte(rand.IntN(256))} }

// Host returns the IP address of host i, which must be less than 250*256.
func (n Net) Host(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+n[0], n[1]^byte(i/250), 1+i%250)
}

// processNet is the range for all listeners of this process that are not workers.
var processNet = NewNet()

// Loopback returns a loopback address that is specific to this process, for listeners other than workers and agents.
func Loopback() string { return processNet.Host(1) }
