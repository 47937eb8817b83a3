//go:build race

package histories

// digestStep is the distance between the digests that are played.
const digestStep = 5
