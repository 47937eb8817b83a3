// Package frontend serves clients: it accepts their connections and keeps their number within its limits, reads and checks their requests, and
// writes the responses. What becomes of a request is decided by the engine; attempts at workers are carried out by upstream.
package frontend
