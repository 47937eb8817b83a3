package peer

import "math/rand/v2"

// Member is a member of the group as listed in the operator's file.
type Member struct {
	Name    string
	Address string // host:port at which it listens for the other members
	Zone    string
	Voter   bool // whether it votes in the group's consensus
}

// Sender identifies the process that has sent a message.
type Sender struct {
	Name        string
	Incarnation string
	ClusterID   string // created by the group's bootstrap; empty: the process has not joined yet
}

// Sample returns up to n of the names, chosen at random without repetition.
func Sample(names []string, n int) []string {
	order := rand.Perm(len(names))
	sample := make([]string, 0, min(n, len(names)))
	for _, i := range order[:min(n, len(names))] {
		sample = append(sample, names[i])
	}
	return sample
}
