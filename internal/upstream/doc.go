// Package upstream exchanges requests and responses with workers. It keeps a pool of connections to workers, writes a request on one of
// them, and reads the worker's response line by line until the outcome of the attempt is known. The engine decides which attempts are sent
// to which workers; this package executes the attempts and reports their progress and outcome to the engine.
package upstream
