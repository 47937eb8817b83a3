//go:build !race

package simulation

// digestStep is the step between simulated golden histories.
const digestStep = 1
