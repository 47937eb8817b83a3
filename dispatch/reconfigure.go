package dispatch

import "slices"

// changeSettings replaces the settings. Invalid settings are ignored. Open requests keep the class with which
// they arrived: they refer to its state, which is freed with the last of them. Learned state of a class is
// kept if the new settings contain the class.
func (d *Dispatcher) changeSettings(event *Event) {
	if event.Settings == nil || validate(event.Settings) != nil {
		return
	}
	s := *event.Settings
	s.ZoneCount = max(s.ZoneCount, d.settings.ZoneCount)
	s.KindCount = max(s.KindCount, d.settings.KindCount)
	d.classes = d.changedClasses(s.Classes, event.OldClasses)
	d.tenants = d.changedTenants(s.Tenants, event.OldTenants)
	d.totalQuota = 0
	for _, t := range s.Tenants {
		d.totalQuota += t.QuotaRPS
	}
	for len(d.zones) <= s.ZoneCount { // inserted before the last, which is for zones that the settings do not name
		d.zones = slices.Insert(d.zones, len(d.zones)-1, newZoneState())
	}
	for len(d.kinds) <= s.KindCount {
		d.kinds = slices.Insert(d.kinds, len(d.kinds)-1, newKindState())
	}
	d.settings = s
	for _, w := range d.workers {
		if w != nil {
			d.linkWorker(w)
		}
	}
	d.recomputeReady()
	for _, r := range d.requests { // answers requests that may make no further attempt
		if r != nil && r.open {
			d.reevaluate(r)
		}
	}
}

func (d *Dispatcher) changedClasses(classes []Class, oldIndices []int) []classState {
	states := make([]classState, 0, len(classes))
	for i, c := range classes {
		state := newClassState(c)
		if old := oldIndex(oldIndices, i); old >= 0 && old < len(d.classes) {
			state = d.classes[old]
			state.Class = c
		}
		states = append(states, state)
	}
	return states
}

func (d *Dispatcher) changedTenants(tenants []Tenant, oldIndices []int) []tenantState {
	states := make([]tenantState, 0, len(tenants))
	for i, t := range tenants {
		state := tenantState{}
		if old := oldIndex(oldIndices, i); old >= 0 && old < len(d.tenants) {
			state = d.tenants[old]
		}
		state.Tenant = t
		states = append(states, state)
	}
	return states
}

// oldIndex returns the index that a class or tenant had in the old settings, -1 if it is new.
func oldIndex(oldIndices []int, i int) int {
	if i < len(oldIndices) {
		return oldIndices[i]
	}
	return -1
}
