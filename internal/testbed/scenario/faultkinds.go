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
	Needs       []string // keys that must be set
	HasDuration bool     // the key "for" must be set
}

// allWorkersNote ends the description of a fault that affects all workers unless the scenario names some.
const allWorkersNote = "all workers unless some are named"

// FaultKinds lists all kinds of faults.
var FaultKinds = []FaultKind{
	{WorkerKill, "the process is killed; after the duration it restarts, warming up, at another address", nil, true},
	{WorkerHang, "running jobs stop and new ones are accepted but not begun; after the duration all continue", nil, true},
	{WorkerSlow, "jobs take <factor> times as long; " + allWorkersNote, []string{"factor"}, true},
	{WorkerErrors, "<share> of the jobs fail at once", []string{"share"}, true},
	{WorkerDrain, "the worker drains, finishes its jobs and stops; after the duration it restarts, warming up", nil, true},
	{Release, "within the duration the workers are drained and restarted, warming up, one after the other", nil, true},
	{MachineSilent, "the machine is silent: connections stay open, new ones are not established; then all are reset", nil, true},
	{LinkPartition, "the same as machine-silent, for some dispatchers only", nil, true},
	{ListLate, "endpoint updates take <factor> times as long", []string{"factor"}, true},
	{ListSilent, "discovery serves nothing and applies no updates", nil, true},
	{ListWrong, "the list contains <count> endpoints where no worker listens", []string{"count"}, true},
	{ListMove, "discovery moves to another address; dispatchers get SIGHUP", nil, false},
	{DispatcherKill, "dispatchers get SIGKILL; after the duration they restart", nil, true},
	{DispatcherTerminate, "dispatchers get SIGTERM and restart once they have ended", nil, false},
	{DispatcherReload, "dispatchers get SIGHUP with an unchanged configuration", nil, false},
	{IdleClients, "<count> idle connections to each dispatcher", []string{"count"}, true},
	{MisbehavingClients, "<count> clients that send malformed requests to each dispatcher", []string{"count"}, true},
	{TrafficJump, "<factor> times the traffic", []string{"factor"}, true},
	{TenantFlood, "<factor> times the traffic of one tenant", []string{"factor", "tenant"}, true},
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
