package config

import (
	"time"

	"birchfork/dispatch"
	"birchfork/internal/admission"
	"birchfork/internal/routes"
)

const (
	// maxDuration limits the durations in a file.
	maxDuration = time.Hour

	defaultMaxKeys       = 10_000
	defaultMinConcurrent = 8

	bytesPerKey         = 200      // approximate size of a rate limit's token bucket
	bytesPerOpenRequest = 24 << 10 // maximum memory of an open request
	keysMemoryDivisor   = 8        // token buckets may take 1/keysMemoryDivisor of the memory
	openMemoryDivisor   = 2        // open requests may take 1/openMemoryDivisor of the memory
)

// applyPlatform narrows the platform's rules, and adds an error for each value that would widen one.
func (c *checker) applyPlatform(settings *dispatch.Settings) {
	if c.doc.Has("platform.drain_grace") {
		c.applyDrainGrace(settings)
	}
	if c.doc.Has("platform.warm_within") {
		c.applySlowStartWindow(settings)
	}
	if c.doc.Has("platform.fall_multiple") {
		c.applyOverloadMultiple(settings)
	}
	if c.doc.Has("platform.cold_from") {
		c.applySlowStartMinFactor(settings)
	}
}

func (c *checker) applyDrainGrace(settings *dispatch.Settings) {
	value := c.file.Platform.DrainGrace
	grace := routes.ToTime(value)
	if grace < 0 || grace > settings.DrainGrace {
		c.addErrorf("platform.drain_grace", "invalid value %v: must be between 0s and the platform's %v, after which nothing may be sent to a draining worker", value, formatTime(settings.DrainGrace))
		return
	}
	settings.DrainGrace = grace
}

func (c *checker) applySlowStartWindow(settings *dispatch.Settings) {
	value := c.file.Platform.SlowStartWindow
	window := routes.ToTime(value)
	if window < settings.SlowStartWindow || value > maxDuration {
		c.addErrorf("platform.warm_within", "invalid value %v: must be between the platform's %v and %v; a shorter one would treat a worker that is warming up as warmed up", value, formatTime(settings.SlowStartWindow), maxDuration)
		return
	}
	settings.SlowStartWindow = window
}

func (c *checker) applyOverloadMultiple(settings *dispatch.Settings) {
	multiple := c.file.Platform.OverloadMultiple
	if multiple < 1 || multiple > settings.OverloadMultiple {
		c.addErrorf("platform.fall_multiple", "invalid value %v: must be between 1 and the platform's %v; a larger one could overload a worker that is warming up", multiple, settings.OverloadMultiple)
		return
	}
	settings.OverloadMultiple = multiple
}

func (c *checker) applySlowStartMinFactor(settings *dispatch.Settings) {
	factor := c.file.Platform.SlowStartMinFactor
	if factor <= 0 || factor > settings.SlowStartMinFactor {
		c.addErrorf("platform.cold_from", "invalid value %v: must be greater than 0 and at most the platform's %v; a larger one could overload a worker that is warming up", factor, settings.SlowStartMinFactor)
		return
	}
	settings.SlowStartMinFactor = factor
}

// applyTotal checks and sets the limits over all routes.
func (c *checker) applyTotal(config *admission.Config) {
	section := &c.file.Total
	config.MaxOpen = section.MaxConcurrent
	config.Adaptive = section.Adaptive
	config.MinOpen = section.MinConcurrent
	if !c.doc.Has("total.least") {
		config.MinOpen = min(defaultMinConcurrent, max(section.MaxConcurrent, 1))
	}
	config.MaxBuckets = section.MaxKeys
	if !c.doc.Has("total.keys") {
		config.MaxBuckets = defaultMaxKeys
	}
	c.checkTotalConcurrency(section)
	c.checkTotalKeys(section)
}

func (c *checker) checkTotalConcurrency(section *totalSection) {
	if c.doc.Has("total.concurrent") && section.MaxConcurrent < 1 {
		c.addErrorf("total.concurrent", "invalid value %d: must be at least 1, or no request could be accepted; omit the key for no limit", section.MaxConcurrent)
	}
	if connections := c.platform.MaxClientConnections; connections > 0 && section.MaxConcurrent > connections {
		c.addErrorf("total.concurrent", "invalid value %d: must be at most %d, the number of client connections that the file descriptor budget allows", section.MaxConcurrent, connections)
	}
	if memory := c.platform.MemoryBytes; memory > 0 && int64(section.MaxConcurrent) > memory/openMemoryDivisor/bytesPerOpenRequest {
		c.addErrorf("total.concurrent", "%d open requests take up to %d MB, more than half of the %d MB of available memory",
			section.MaxConcurrent, megabytes(int64(section.MaxConcurrent)*bytesPerOpenRequest), megabytes(memory))
	}
	if section.Adaptive && section.MaxConcurrent == 0 {
		c.addErrorf("total.adaptive", "requires total.concurrent, the limit that it lowers")
	}
	if !c.doc.Has("total.least") {
		return
	}
	aboveMax := section.MaxConcurrent > 0 && section.MinConcurrent > section.MaxConcurrent
	switch {
	case section.MinConcurrent < 1 || aboveMax:
		c.addErrorf("total.least", "invalid value %d: must be between 1 and total.concurrent", section.MinConcurrent)
	case !section.Adaptive:
		c.addErrorf("total.least", "requires total.adaptive = true: it is the lower bound of the adaptive limit")
	}
}

func (c *checker) checkTotalKeys(section *totalSection) {
	if !c.doc.Has("total.keys") {
		return
	}
	size, memory := int64(section.MaxKeys)*bytesPerKey, c.platform.MemoryBytes
	switch {
	case section.MaxKeys < 1:
		c.addErrorf("total.keys", "invalid value %d: must be at least 1", section.MaxKeys)
	case memory > 0 && size > memory/keysMemoryDivisor:
		c.addErrorf("total.keys", "%d keys take about %d MB, more than an eighth of the %d MB of available memory", section.MaxKeys, megabytes(size), megabytes(memory))
	}
}

func megabytes(bytes int64) int64 { return bytes >> 20 }
