package dispatch

const (
	classIdempotent = iota
	classDedupEverywhere
	classNonIdempotent
	classDedupZone
)

func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{LatencyObjective: 400 * ms, ObjectiveStretch: 2, Deadline: 5 * Second, PriorityWeight: 1, LateWeight: 0.3, Idempotency: Idempotent, WorkerKind: -1},
			{LatencyObjective: 400 * ms, ObjectiveStretch: 2, Deadline: 5 * Second, PriorityWeight: 1, LateWeight: 0.3, Idempotency: Deduplicated,
				DedupScope: DedupEverywhere, DedupWindow: 3 * Second, WorkerKind: -1},
			{LatencyObjective: 400 * ms, ObjectiveStretch: 2, Deadline: 5 * Second, PriorityWeight: 1, Idempotency: NonIdempotent, WorkerKind: -1},
			{LatencyObjective: 400 * ms, ObjectiveStretch: 2, Deadline: 5 * Second, PriorityWeight: 1, Idempotency: Deduplicated,
				DedupScope: DedupZone, DedupWindow: 3 * Second, WorkerKind: -1},
		},
		OverQuotaWeight: 1, ZoneCount: 2, KindCount: 2, Zone: 0, GroupSize: 1, Tick: ms, MaxAttempts: 4,
		CanCancel: true, CanHedge: true, ReportsStart: true, ProgressInterval: Second, MaxPollInterval: 9 * Second,
		SlowStartMinFactor: 0.1, SlowStartWindow: 20 * Second, OverloadMultiple: 3, OverloadWindow: Second, PriceWaste: 0.2,
	}
}

func hedgingSettings() Settings {
	s := testSettings()
	s.PriceWaste = 0.04
	s.Classes[classNonIdempotent].LateWeight, s.Classes[classIdempotent].LateWeight = 0, 0
	return s
}

// migrationSettings returns settings that allow one attempt in flight at a time, with a price of waste low enough for migration.
func migrationSettings() Settings {
	s := hedgingSettings()
	s.CanHedge, s.MaxAttempts = false, 5
	return s
}

// affinitySettings returns settings with a price for fetches, which enables affinity.
func affinitySettings() Settings {
	s := testSettings()
	s.PriceFetch = 0.1
	return s
}

// loadWeightSettings returns settings under which the listed weights decrease with load and are the only information about it.
func loadWeightSettings() Settings {
	s := testSettings()
	s.WeightsShowLoad = true
	return s
}

func fleet(n int) []Worker {
	w := make([]Worker, 0, n)
	for i := range n {
		w = append(w, Worker{ID: WorkerID(i)})
	}
	return w
}

// taggedFleet returns a fleet whose tags are distributed like hashes.
func taggedFleet(n int) []Worker {
	w := fleet(n)
	for i := range w {
		w[i].Tag = splitmix64(uint64(i)+1) >> 32
	}
	return w
}
