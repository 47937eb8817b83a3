package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"

	"github.com/sirupsen/logrus"

	"birchfork/internal/engine"
	"birchfork/internal/memory"
)

// randomStream is the second seed value of the delays' random source; other users of a dispatcher's seed use other values.
const randomStream = 2

// errNotCurrent ends a request of a watch whose lists are not used because another watch is current.
var errNotCurrent = errors.New("watch is not the current one")

// Source describes where the endpoint list comes from.
type Source struct {
	Address string
	Pushed  bool   // Address is that of an agent on this machine to which lists are pushed; its responses cost nothing
	HasList bool   // the engine already has a list of this source
	Version uint64 // of that list
	Seed    uint64 // for the random delays; different at each dispatcher

	Memory *memory.Budget // for the lists that are being received; nil: no limit
}

// Watcher follows the endpoint list at one address for an engine. It moves to another address without a gap: the old address is watched
// until the new one has sent its complete list. It owns one goroutine per watch; they end with the context of NewWatcher, and nothing waits
// for them. It is safe for concurrent use.
type Watcher struct {
	Engine *engine.Engine
	Log    logrus.FieldLogger

	ctx    context.Context // of all watches, including those that MoveTo starts
	pushed bool
	memory *memory.Budget

	mu        sync.Mutex
	current   *watch // whose lists go to the engine
	successor *watch // becomes current with its first complete list; nil: none

	randomMu     sync.Mutex
	randomSource *rand.Rand
}

// NewWatcher starts to follow the list of a source; the watcher stops when ctx ends.
func NewWatcher(ctx context.Context, e *engine.Engine, log logrus.FieldLogger, source Source) *Watcher {
	w := &Watcher{
		Engine:       e,
		Log:          log,
		ctx:          ctx,
		pushed:       source.Pushed,
		memory:       source.Memory,
		randomSource: rand.New(rand.NewPCG(source.Seed, randomStream)),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current = w.startWatch(ctx, source.Address, source.HasList, source.Version)
	return w
}

// MoveTo starts to watch another address, which becomes the current one once it has sent its complete list. It returns immediately. An
// address of an earlier call that has not become current is dropped.
func (w *Watcher) MoveTo(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.successor != nil {
		w.successor.cancel()
		w.successor = nil
	}
	if address != w.current.address {
		w.successor = w.startWatch(w.ctx, address, false, 0)
	}
}

// Address returns the address whose lists go to the engine.
func (w *Watcher) Address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current.address
}

func (w *Watcher) startWatch(ctx context.Context, address string, hasList bool, version uint64) *watch {
	ctx, cancel := context.WithCancel(ctx)
	profile := polledTiming
	if w.pushed {
		profile = pushedTiming
	}
	started := &watch{
		timing:  profile,
		address: address,
		watcher: w,
		cancel:  cancel,
		backoff: backoff{timing: profile, random: w.random},
		resume:  hasList,
		hasList: hasList,
		version: version,
	}
	go started.run(ctx)
	return started
}

// random returns a random number from 0 to 1.
func (w *Watcher) random() float64 {
	w.randomMu.Lock()
	defer w.randomMu.Unlock()
	return w.randomSource.Float64()
}

// apply passes a list of a watch to the engine if the watch is the current one or becomes current with this list. A watch does not become
// current with an empty list, since an agent that has received no list yet sends an empty one.
func (w *Watcher) apply(from *watch, list engine.EndpointList) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	takesOver := from == w.successor && list.Snapshot && len(list.Endpoints) > 0
	if takesOver {
		w.current.cancel()
		w.current = from
		w.successor = nil
		w.Engine.Counters.DiscoveryAddressChanges.Add(1)
		w.Log.WithField("discovery", from.address).Info("the list comes from another address now")
	}
	if from != w.current {
		return errNotCurrent
	}
	w.Engine.SetWatching(true)
	w.Engine.UpdateEndpoints(list)
	return nil
}

// watchBroken tells the engine that the list is not watched any more, if the broken watch is the current one.
func (w *Watcher) watchBroken(broken *watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if broken == w.current {
		w.Engine.SetWatching(false)
	}
}
