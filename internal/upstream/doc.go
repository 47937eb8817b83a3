// Package upstream implements the exchange with workers: it keeps a pool of connections to them, writes a request on one, and reads the
// worker's response line by line up to the outcome of the attempt. The engine decides what is sent where; this package carries out its
// attempts and reports their progress and end to it.
package upstream
