package gossip

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"birchfork/internal/failpoint"
	"birchfork/internal/hotrestart"
	"birchfork/internal/replication"
)

// newerBuildKind is the kind of the entries that the failpoint NewerEntries writes.
const newerBuildKind = "later"

// SetOverride replicates an override that an operator has set at this dispatcher, where it is in effect with the given version. It waits
// for up to persistTimeout until the override is persisted. If that fails, the note tells the operator why. The error wraps
// replication.ErrFull if there are too many overrides.
func (n *Node) SetOverride(worker string, disabled bool, version int64) (note string, err error) {
	n.mu.Lock()
	if n.replica == nil {
		n.mu.Unlock()
		return "", nil // MergeLocalOverrides merges it in the process that owns the replica
	}
	err = n.setOverrideLocked(worker, disabled, version)
	batch, persistErr := n.lastBatch, n.persistErr
	if n.storage == nil && persistErr == nil {
		persistErr = errNoDir
	}
	n.mu.Unlock()
	if err != nil {
		return "", err
	}
	if batch != nil {
		persistErr = n.awaitWritten(batch)
	}
	if persistErr != nil {
		note = fmt.Sprintf("the override does not survive a restart of this member: %v", persistErr)
	}
	return note, nil
}

// setOverrideLocked writes an override to the replica, unless the replica has the same one without a conflict, persists it and starts its
// dissemination.
func (n *Node) setOverrideLocked(worker string, disabled bool, version int64) error {
	n.localVersions[worker] = version
	delete(n.inherited, worker)
	entries := n.replica.Get(replication.KindOverride, worker)
	if replication.IsDisabled(entries) != disabled || replication.InConflict(entries) {
		if err := n.writeOverrideLocked(worker, disabled); err != nil {
			return err
		}
	}
	n.persistLocked()
	n.wake()
	return nil
}

// writeOverrideLocked adds an entry to the replica, which replaces all entries of the worker there.
func (n *Node) writeOverrideLocked(worker string, disabled bool) error {
	entry := replication.Entry{
		Kind:      replication.KindOverride,
		Name:      worker,
		Disabled:  disabled,
		Member:    n.options.Self,
		WrittenAt: time.Now().Add(failpoint.ClockOffset(n.options.Self)).UnixMilli(),
	}
	if _, err := n.replica.Write(entry); err != nil {
		return fmt.Errorf("the override is in effect at this dispatcher only: %w", err)
	}
	n.dirty[replication.Key{Kind: entry.Kind, Name: worker}] = true
	if failpoint.Enabled(failpoint.NewerEntries) {
		return n.writeNewerEntryLocked(worker)
	}
	return nil
}

// writeNewerEntryLocked adds an entry of a kind that is unknown to this build, as a newer build might.
func (n *Node) writeNewerEntryLocked(worker string) error {
	entry := replication.Entry{Kind: newerBuildKind, Name: worker, Member: n.options.Self, Data: []byte(`{"of":"a newer build"}`)}
	if _, err := n.replica.Write(entry); err != nil {
		return err
	}
	n.dirty[replication.Key{Kind: entry.Kind, Name: worker}] = true
	return nil
}

// isDisabledLocked reports whether a worker is disabled by the replica's entries.
func (n *Node) isDisabledLocked(worker string) bool {
	return replication.IsDisabled(n.replica.Get(replication.KindOverride, worker))
}

// MergeLocalOverrides merges all overrides of this dispatcher. It is called repeatedly, so that an override that was set at another of its
// processes is replicated too. The overrides of the first call were set before the replica was opened: the replica's entries win over
// them, and an override without an entry is replicated once this member has caught up.
func (n *Node) MergeLocalOverrides(overrides hotrestart.Overrides) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replica == nil {
		return
	}
	for _, worker := range slices.Sorted(maps.Keys(overrides)) {
		override := overrides[worker]
		if n.localVersions[worker] == override.At {
			continue
		}
		n.localVersions[worker] = override.At
		if n.hasLocalBaseline {
			n.mergeLocalLocked(worker, override)
		} else {
			n.mergeInheritedLocked(worker, override)
		}
	}
	n.hasLocalBaseline = true
	if len(n.inherited) > 0 && n.isCaughtUpLocked() {
		n.writeInheritedLocked()
	}
}

// mergeLocalLocked replicates an override that was set at another process of this dispatcher.
func (n *Node) mergeLocalLocked(worker string, override hotrestart.Override) {
	if n.isDisabledLocked(worker) != override.Disabled {
		_ = n.setOverrideLocked(worker, override.Disabled, override.At) // if the replica is full, it is in effect here only
	}
}

// mergeInheritedLocked merges an override that is older than the session. The replica's entries win. If there is none for the worker, the
// override is left to writeInheritedLocked.
func (n *Node) mergeInheritedLocked(worker string, override hotrestart.Override) {
	entries := n.replica.Get(replication.KindOverride, worker)
	switch {
	case len(entries) == 0 && override.Disabled:
		n.inherited[worker] = true
	case replication.IsDisabled(entries) != override.Disabled:
		n.localVersions[worker] = n.options.ApplyOverride(worker, !override.Disabled)
	}
}

// writeInheritedLocked replicates the inherited overrides of workers for which the replica still has no entry.
func (n *Node) writeInheritedLocked() {
	for _, worker := range slices.Sorted(maps.Keys(n.inherited)) {
		if len(n.replica.Get(replication.KindOverride, worker)) == 0 {
			_ = n.setOverrideLocked(worker, true, n.localVersions[worker]) // if the replica is full, it is in effect here only
		}
	}
	clear(n.inherited)
}

// applyChangesLocked puts entries from another member into effect, persists them and starts their dissemination. Entries of kinds that
// are unknown to this build are persisted and disseminated only.
func (n *Node) applyChangesLocked(changed []replication.Key) {
	for _, key := range changed {
		n.dirty[key] = true
		if key.Kind != replication.KindOverride {
			continue
		}
		delete(n.inherited, key.Name)
		n.localVersions[key.Name] = n.options.ApplyOverride(key.Name, n.isDisabledLocked(key.Name))
	}
	n.persistLocked()
	if len(changed) > 0 {
		n.wake()
	}
}
