package fakes

import (
	"fmt"
	"math/rand/v2"
)

// Net is a part of the loopback range. Each run has its own, so that runs side by side on one machine never share an
// address: a dispatcher with an outdated list would call where another run's worker listens now.
type Net [2]byte

// NewNet returns a random one, from 127.1 to 127.60.
func NewNet() Net { return Net{byte(rand.IntN(60)), byte(rand.IntN(256))} }

// Host returns the IP address of host i, which is below 250 times 256.
func (n Net) Host(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+n[0], n[1]^byte(i/250), 1+i%250)
}

// processNet is the net of what is no worker: agents, and what Loopback is for.
var processNet = NewNet()

// Loopback returns an address of this process's own, for whatever else of a run listens.
func Loopback() string { return processNet.Host(1) }
