package fakes

import (
	"fmt"
	"math/rand/v2"
)

// Net is a part of the loopback range. Guards against runs side by side that meet on an address: a dispatcher that has an old list
// calls where another run's worker listens now.
type Net [2]byte

// NewNet draws one, from 127.1 to 127.60.
func NewNet() Net { return Net{byte(rand.IntN(60)), byte(rand.IntN(256))} }

// Host is one of its hosts, below 250 times 256.
func (n Net) Host(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+n[0], n[1]^byte(i/250), 1+i%250)
}

// ours is that of this process's agents.
var ours = NewNet()

// Loopback is a host of this process's own, for whatever else of a run listens.
func Loopback() string { return ours.Host(1) }
