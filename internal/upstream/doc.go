// Package upstream talks to workers: it keeps a pool of connections to them, writes a request on one, and reads the worker's answer line by
// line up to the outcome of the attempt. What is sent where is decided by the engine, whose attempts it carries out and to which it reports
// how they go and end.
package upstream
