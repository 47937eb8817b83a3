// Package frontend serves clients: it accepts and limits their connections, reads and validates their requests, and writes the responses.
// The engine decides on each request; package upstream carries out the attempts at workers.
package frontend
