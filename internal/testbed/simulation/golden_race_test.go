//go:build race

package simulation

// digestStep is the distance between the digests that are played.
const digestStep = 5
