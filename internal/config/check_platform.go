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
	keysMemoryDivisor   = 8        // token buckets may take the memory divided by this ...
	openMemoryDivisor   = 2        // ... and open requests the memory divided by this
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
		c.addErrorf("platform.drain_grace", "%v is beyond the platform's %v: nothing may be sent to a draining worker later than that", value, formatTime(settings.DrainGrace))
		return
	}
	settings.DrainGrace = grace
}

func (c *checker) applySlowStartWindow(settings *dispatch.Settings) {
	value := c.file.Platform.SlowStartWindow
	window := routes.ToTime(value)
	if window < settings.SlowStartWindow || value > maxDuration {
		c.addErrorf("platform.warm_within", "%v is less than the platform's %v, or more than %v: a cold worker would be taken for a warm one", value, formatTime(settings.SlowStartWindow), maxDuration)
		return
	}
	settings.SlowStartWindow = window
}

func (c *checker) applyOverloadMultiple(settings *dispatch.Settings) {
	multiple := c.file.Platform.OverloadMultiple
	if multiple < 1 || multiple > settings.OverloadMultiple {
		c.addErrorf("platform.fall_multiple", "%v is not from 1 to the platform's %v: a cold worker would be pushed over", multiple, settings.OverloadMultiple)
		return
	}
	settings.OverloadMultiple = multiple
}

func (c *checker) applySlowStartMinFactor(settings *dispatch.Settings) {
	factor := c.file.Platform.SlowStartMinFactor
	if factor <= 0 || factor > settings.SlowStartMinFactor {
		c.addErrorf("platform.cold_from", "%v is not above 0 and at most the platform's %v: a cold worker would be pushed over", factor, settings.SlowStartMinFactor)
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
		c.addErrorf("total.concurrent", "%d is less than 1: nothing could be taken; leave the key out for no limit", section.MaxConcurrent)
	}
	if connections := c.platform.MaxClientConnections; connections > 0 && section.MaxConcurrent > connections {
		c.addErrorf("total.concurrent", "%d are more than the %d clients' connections that the descriptors leave room for", section.MaxConcurrent, connections)
	}
	if memory := c.platform.MemoryBytes; memory > 0 && int64(section.MaxConcurrent) > memory/openMemoryDivisor/bytesPerOpenRequest {
		c.addErrorf("total.concurrent", "%d open requests take up to %d MB, more than half of the %d MB that there are",
			section.MaxConcurrent, megabytes(int64(section.MaxConcurrent)*bytesPerOpenRequest), megabytes(memory))
	}
	if section.Adaptive && section.MaxConcurrent == 0 {
		c.addErrorf("total.adaptive", "it lowers total.concurrent, which is missing")
	}
	if !c.doc.Has("total.least") {
		return
	}
	aboveMax := section.MaxConcurrent > 0 && section.MinConcurrent > section.MaxConcurrent
	switch {
	case section.MinConcurrent < 1 || aboveMax:
		c.addErrorf("total.least", "%d is not from 1 to total.concurrent", section.MinConcurrent)
	case !section.Adaptive:
		c.addErrorf("total.least", "it bounds the adaptive limit, which is off: set total.adaptive = true")
	}
}

func (c *checker) checkTotalKeys(section *totalSection) {
	if !c.doc.Has("total.keys") {
		return
	}
	size, memory := int64(section.MaxKeys)*bytesPerKey, c.platform.MemoryBytes
	switch {
	case section.MaxKeys < 1:
		c.addErrorf("total.keys", "%d is less than 1", section.MaxKeys)
	case memory > 0 && size > memory/keysMemoryDivisor:
		c.addErrorf("total.keys", "%d keys take about %d MB, more than an eighth of the %d MB that there are", section.MaxKeys, megabytes(size), megabytes(memory))
	}
}

func megabytes(bytes int64) int64 { return bytes >> 20 }
