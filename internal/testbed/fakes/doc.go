// Package fakes holds the testbed's stand-ins for the platform: a fleet of workers that speak the platform's protocol, and
// discovery with one agent for each dispatcher. They are written from the protocol's description alone and share no code
// with the dispatcher, so that a misreading of the protocol in the dispatcher is not repeated here.
//
// A Worker serves HTTP and passes jobs to its Machine, which models queue, cores, slow start and overload in the time that
// its caller states. Everything that workers and agents observe is recorded in an invariant.Ledger.
package fakes
