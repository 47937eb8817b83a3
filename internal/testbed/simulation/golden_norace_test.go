//go:build !race

package simulation

// digestStep is the step from one golden history that is simulated to the next.
const digestStep = 1
