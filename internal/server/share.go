package server

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/engine"
	"birchfork/internal/frontend"
	"birchfork/internal/hotrestart"
)

// Times of sharing with other processes of this dispatcher.
const (
	shareEvery = 100 * time.Millisecond // a word said to another binds here so much later: the grace of a drain is longer
	keepEvery  = 5                      // rounds, at the least, from one list that is left for others to the next
)

// claim takes a place among the processes of this dispatcher. Where that cannot be done we are alone: nothing is shared,
// and all else is as ever.
func (n *node) claim() {
	if n.config.Admin == "" && n.config.group() == nil {
		return
	}
	p, err := hotrestart.Open(os.Getenv("TMPDIR"), n.config.Name)
	if err != nil {
		n.log.WithError(err).Error("nothing can be shared with other processes of this dispatcher: " +
			"runners that are out by hand come back with an upgrade, and an upgrade counts as a restart")
		return
	}
	n.process = p
}

// known is the list to begin with: what another process left, or the configuration's. The newer one is the better;
// versions tell, where no process beside us has followed the list to this moment.
func (n *node) known() engine.List {
	c := n.config
	raw, err := n.process.List()
	if raw == nil {
		if err != nil {
			n.log.WithError(err).Warn("a list that is left from before is passed over")
		}
		return c.Known
	}
	l, _, err := frontend.DecodeList(raw)
	switch {
	case err != nil:
		n.log.WithError(err).Warn("a list that is left from before is passed over")
		return c.Known
	case len(l.Entries) == 0, n.beside.Load() == 0 && l.Index <= c.Known.Index:
		return c.Known
	}
	l.Whole, l.Stale = true, true
	return l
}

// share exchanges what processes of this dispatcher share, every now and then.
func (n *node) share(ctx context.Context) {
	t := time.NewTicker(shareEvery)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		n.exchange()
		others := n.process.Others()
		n.newer.Store(others.Newer)
		if alive := int32(others.Alive); alive != n.beside.Load() {
			n.log.WithField("beside", alive).Info("other processes of this dispatcher came or went: limits are shared anew")
			n.beside.Store(alive)
			n.shareOut()
		}
		if i%keepEvery == 0 {
			n.keepList()
		}
	}
}

// exchange exchanges the operators' words on runners.
func (n *node) exchange() {
	words, err := n.process.Sync()
	n.trouble(err)
	n.store.Hand(hands(words))
	if n.copies != nil {
		n.copies.Local(words)
	}
}

// bySpread puts in force what staff's words on a runner come to in the group, and tells other processes of this dispatcher.
func (n *node) bySpread(runner string, out bool) int64 {
	word, err := n.process.Say(runner, out)
	n.trouble(err)
	if word.At > 0 {
		n.store.Hand(hands(hotrestart.Words{runner: word}))
	}
	n.log.WithFields(logrus.Fields{"runner": runner, "out": out}).Info("the group has a word on a runner")
	return word.At
}

func hands(words hotrestart.Words) map[string]engine.Hand {
	all := make(map[string]engine.Hand, len(words))
	for name, w := range words {
		all[name] = engine.Hand{Out: w.Out, At: time.UnixMicro(w.At)}
	}
	return all
}

// keepList leaves the newest list for a process that starts.
func (n *node) keepList() {
	if n.store.NewsCount() == n.kept {
		return
	}
	l, news := n.store.List()
	raw, err := frontend.EncodeList(l)
	if err == nil {
		err = n.process.KeepList(raw)
	}
	if n.trouble(err); err == nil {
		n.kept = news
	}
}

// trouble logs what went wrong with sharing, once for each kind.
func (n *node) trouble(err error) {
	if err == nil || err.Error() == n.troubled {
		return
	}
	n.troubled = err.Error()
	n.log.WithError(err).Error("other processes of this dispatcher may not hear of runners that are out by hand; it is tried again")
}

// shareOut takes our part of what the platform leaves this dispatcher.
func (n *node) shareOut() {
	processes := int(n.beside.Load()) + 1
	runners, clients, hard := n.config.share(processes)
	n.pool.SetMost(runners)
	n.front.Clients.SetMost(clients, hard)
	n.front.Bodies.Set(n.config.Limits.memory(bodyShare) / int64(processes))
	if n.process.Number() != 0 {
		debug.SetMemoryLimit(n.config.Limits.memory(memoryShare) / int64(processes))
	}
}
