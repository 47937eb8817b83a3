package cluster

import "time"

// The effects of faults that degrade links.
const (
	extraDelay      = 300 * time.Millisecond
	limitedRate     = 2000 // bytes per second
	bytesUntilBreak = 700
)

// memberLinkFault returns the combined active faults of the link from one member to another. The caller holds the lock.
func (h *harness) memberLinkFault(from, to int) (sum linkFault) {
	for _, f := range h.linkFaults {
		f.addTo(&sum, from, to, len(h.addresses))
	}
	return sum
}

// outerLinkFault returns the active fault of a member's link to workers or to discovery; kind is the only kind of fault that affects the
// link. The caller holds the lock.
func (h *harness) outerLinkFault(kind string, member int) (sum linkFault) {
	for _, f := range h.linkFaults {
		sum.block(f.Kind == kind && f.Member == member)
	}
	return sum
}

// addTo adds the fault's effect on the link from one member to another, in a group of the given size.
func (f Fault) addTo(sum *linkFault, from, to, members int) {
	sends, receives := from == f.Member, to == f.Member
	affected := sends || receives
	switch f.Kind {
	case SplitInTwo:
		sum.block(from%2 != to%2)
	case SplitInThree:
		sum.block(from%3 != to%3)
	case RingTopology:
		sum.block((from+1)%members != to && (to+1)%members != from)
	case Partition:
		sum.block(affected)
	case PartitionFromLeader:
		sum.block(affected && (from == f.other || to == f.other))
	case DropInbound:
		sum.blockForward = sum.blockForward || receives
		sum.blockBackward = sum.blockBackward || sends
	case DropOutbound:
		sum.blockForward = sum.blockForward || sends
		sum.blockBackward = sum.blockBackward || receives
	case ResetLinks:
		sum.reset = sum.reset || affected
	case DelayLinks, LimitBandwidth, BreakLinks:
		if affected {
			f.degrade(sum)
		}
	}
}

// degrade adds the effect of a fault that delays, throttles or breaks a link.
func (f Fault) degrade(sum *linkFault) {
	switch f.Kind {
	case DelayLinks:
		sum.delay = extraDelay
	case LimitBandwidth:
		sum.bytesPerSecond = limitedRate
	case BreakLinks:
		sum.resetAfterBytes = bytesUntilBreak
	}
}
