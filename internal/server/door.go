package server

import (
	"fmt"
	"net"

	"birchfork/internal/admin"
	"birchfork/internal/hotrestart"
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
		Out:   func(id string) (string, error) { return n.byHand(id, true) },
		Back:  func(id string) (string, error) { return n.byHand(id, false) },
	}, quietLog(n.log))
	n.log.WithField("operator", n.door.Address().String()).Info("the operators' door is open")
	return nil
}

// ready tells operators whether this process can serve.
func (n *node) ready() error {
	select {
	case <-n.listening:
	default:
		return fmt.Errorf("%w: it does not know the runners yet", admin.ErrNotNow)
	}
	if !n.front.Ready() {
		return fmt.Errorf("%w: it leaves, or does not know the runners yet", admin.ErrNotNow)
	}
	if n.copies != nil && !n.copies.CaughtUp() {
		return fmt.Errorf("%w: it has not heard yet what staff have told the others", admin.ErrNotNow)
	}
	return nil
}

// byHand leaves a runner out, or lets it serve again. The note is for staff.
func (n *node) byHand(id string, out bool) (note string, err error) {
	log := n.log.WithField("runner", id)
	if !n.store.Knows(id) {
		log.Info("the operators named a runner that is not known")
		return "", admin.ErrUnknown
	}
	word, err := n.process.Say(id, out)
	if err != nil { // it binds here from now on, and others hear it as soon as that works
		log.WithError(err).Error("what the operators said of a runner is not kept yet; it is tried again")
	}
	if word.At > 0 {
		n.store.Hand(hands(hotrestart.Words{id: word}))
	}
	if n.copies != nil {
		if note, err = n.copies.Say(id, out, word.At); err != nil {
			log.WithError(err).Error("what the operators said of a runner does not reach the others")
			return "", fmt.Errorf("%w: %w", admin.ErrNotNow, err)
		}
	}
	if out {
		log.Info("the operators have taken a runner out")
	} else {
		log.Info("the operators have put a runner back")
	}
	return note, nil
}
