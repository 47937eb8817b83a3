package scenario

// The kinds of faults.
const (
	WorkerKill          = "worker-kill"
	WorkerHang          = "worker-hang"
	WorkerSlow          = "worker-slow"
	WorkerErrors        = "worker-err"
	WorkerDrain         = "worker-drain"
	Release             = "release"
	MachineSilent       = "machine-silent"
	LinkPartition       = "link-cut"
	ListLate            = "list-late"
	ListSilent          = "list-silent"
	ListWrong           = "list-wrong"
	ListMove            = "list-move"
	DispatcherKill      = "dispatcher-kill"
	DispatcherTerminate = "dispatcher-term"
	DispatcherReload    = "dispatcher-hup"
	IdleClients         = "idle-clients"
	MisbehavingClients  = "rude-clients"
	TrafficJump         = "jump"
	TenantFlood         = "tenant-flood"
)

// FaultKind describes a kind of fault.
type FaultKind struct {
	Kind, About string
	Needs       []string // keys that have to be set
	HasDuration bool     // the key for has to be set
}

// allWorkersNote ends the description of a fault that affects all workers where the scenario does not name some.
const allWorkersNote = "all workers unless some are named"

// FaultKinds lists all kinds of faults.
var FaultKinds = []FaultKind{
	{WorkerKill, "the process dies at once; after the time it comes back cold at another address", nil, true},
	{WorkerHang, "jobs stop and new ones are taken and not begun; then all go on", nil, true},
	{WorkerSlow, "so many times slower; " + allWorkersNote, []string{"factor"}, true},
	{WorkerErrors, "the share of jobs fails at once", []string{"share"}, true},
	{WorkerDrain, "drains, ends what it has, is gone; after the time it comes back cold", nil, true},
	{Release, "within the time all are drained and started again cold, one after the other", nil, true},
	{MachineSilent, "the machine says nothing: connections stay open, new ones do not come up; then all are reset", nil, true},
	{LinkPartition, "the same for some dispatchers only", nil, true},
	{ListLate, "news takes so many times as long", []string{"factor"}, true},
	{ListSilent, "discovery says nothing and learns nothing", nil, true},
	{ListWrong, "the list names so many workers that are not there", []string{"count"}, true},
	{ListMove, "discovery moves to another address; dispatchers get SIGHUP", nil, false},
	{DispatcherKill, "dispatchers are killed outright; after the time they start again", nil, true},
	{DispatcherTerminate, "dispatchers get SIGTERM and start again when they have ended", nil, false},
	{DispatcherReload, "dispatchers get SIGHUP with the configuration as it was", nil, false},
	{IdleClients, "so many connections that say nothing, at each dispatcher", []string{"count"}, true},
	{MisbehavingClients, "so many clients that send what cannot be read, at each dispatcher", []string{"count"}, true},
	{TrafficJump, "so many times the traffic", []string{"factor"}, true},
	{TenantFlood, "so many times the traffic of one tenant", []string{"factor", "tenant"}, true},
}

// findFaultKind returns a kind of fault by its name.
func findFaultKind(kind string) (FaultKind, bool) {
	for _, k := range FaultKinds {
		if k.Kind == kind {
			return k, true
		}
	}
	return FaultKind{}, false
}
