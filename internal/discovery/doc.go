// Package discovery follows the endpoint list that the platform's discovery serves: it fetches the complete list, watches its changes, and
// spreads and backs off the requests of a fleet of dispatchers. Each list goes to the engine, which keeps the last valid one while
// discovery is silent.
package discovery
