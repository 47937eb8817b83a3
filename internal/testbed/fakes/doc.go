// Package fakes provides fakes of the platform: a fleet of workers that speak the platform's protocol, and a discovery service
// with one agent for each dispatcher. They are written from the protocol's specification alone and share no code with the
// dispatcher, so that a misreading of the protocol in the dispatcher is not repeated here.
//
// A Worker serves HTTP and passes jobs to its Machine, which models queue, cores, slow start and overload at the times that
// its caller supplies. Everything that workers and agents observe is recorded in an invariant.Ledger.
package fakes
