// Package discovery follows the endpoint list of the platform's discovery service: it fetches the complete list and watches its changes.
// Its random delays spread the requests of many dispatchers and back off after failures. Each list is passed to the engine, which
// keeps the last valid one while discovery is silent.
package discovery
