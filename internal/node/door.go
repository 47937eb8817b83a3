package node

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"birchfork/internal/admin"
	"birchfork/internal/store"
)

// openDoor opens the operators' door, if the configuration has one.
func (n *node) openDoor() error {
	if n.config.Admin == "" {
		return nil
	}
	l, err := net.Listen("tcp", n.config.Admin)
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	n.door = admin.Open(l, n.config.doors(), admin.Service{
		Ready: n.ready,
		Out:   func(id string) error { return n.byHand(id, true) },
		Back:  func(id string) error { return n.byHand(id, false) },
	}, quietLog(n.log))
	n.log.WithField("operator", n.door.Address().String()).Info("the operators' door is open")
	return nil
}

// ready tells operators whether this process can serve.
func (n *node) ready() error {
	if !n.front.Ready() {
		return fmt.Errorf("%w: it leaves, or does not know the runners yet", admin.ErrNotNow)
	}
	return nil
}

// byHand leaves a runner out, or lets it serve again.
func (n *node) byHand(id string, out bool) error {
	log := n.log.WithField("runner", id)
	if !n.store.Knows(id) {
		log.Info("the operators named a runner that is not known")
		return admin.ErrUnknown
	}
	if err := n.say(id, out); err != nil {
		log.WithError(err).Error("what the operators said of a runner could not be kept")
		return errors.Join(admin.ErrNotNow, err)
	}
	if out {
		log.Info("the operators have taken a runner out")
	} else {
		log.Info("the operators have put a runner back")
	}
	return nil
}

// say keeps the operators' word. One call back ends any number of calls out, and one for a runner that is not out says
// nothing new: it would make a warm one count as cold.
func (n *node) say(id string, out bool) error {
	if !out && !slices.Contains(n.store.Out(), id) {
		return nil
	}
	n.store.Hand(map[string]store.Hand{id: {Out: out, At: time.Now()}})
	return nil
}
