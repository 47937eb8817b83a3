// Package loadgen generates the load of a testbed run: an open loop whose arrivals do not wait for answers, with retrying
// and misbehaving clients, and a closed loop that measures the overhead of a dispatcher.
package loadgen
