package config

import (
	"errors"
	"fmt"
	"io"
	"reflect"
	"time"

	"birchfork/dispatch"
)

// ExplainedValue is one value in force, and the section that sets it.
type ExplainedValue struct {
	Route, Key, Value, Source string
}

// sourcePlatform is the source of values that no section of the file sets.
const sourcePlatform = "platform"

// Explain writes the values in force for each class and route, with their sources.
func (c *OperatorConfig) Explain(w io.Writer) error {
	lastRoute := ""
	var errs []error
	for _, line := range c.Explanation {
		if line.Route != lastRoute {
			_, err := fmt.Fprintf(w, "%s\n", line.Route)
			errs = append(errs, err)
			lastRoute = line.Route
		}
		_, err := fmt.Fprintf(w, "  %-16s %-44s %s\n", line.Key, line.Value, line.Source)
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// explain returns the values in force for requests of a class on a route.
func (e *effectivePolicy) explain(route string, platform *Platform, class *dispatch.Class) []ExplainedValue {
	values := reflect.ValueOf(&e.Policy).Elem()
	lines := make([]ExplainedValue, 0, len(policyKeys))
	for i, key := range policyKeys {
		line := ExplainedValue{Route: route, Key: key}
		if origin := e.origins[key]; origin.isSet {
			line.Value = fmt.Sprint(values.Field(i).Interface())
			line.Source = origin.layer.source
		} else {
			line.Value = platformValue(key, &platform.Settings, class)
			line.Source = sourcePlatform
		}
		lines = append(lines, line)
	}
	return lines
}

// platformValue describes the value for a class if no section sets a key.
func platformValue(key string, settings *dispatch.Settings, class *dispatch.Class) string {
	switch key {
	case keyTimeout:
		return "the client's own, " + formatTime(class.Deadline) + " at the most"
	case keyAttemptTimeout:
		return "as long as the client waits"
	case keyMaxQueueTime:
		return "as long as the answer can be in time"
	case keyMaxAttempts:
		return fmt.Sprint(settings.MaxAttempts)
	case keyHedging:
		return fmt.Sprint(settings.CanHedge && class.Idempotency == dispatch.Idempotent)
	case keyRetryMode:
		return string(RetryAllowed) + ": " + describeIdempotency(class.Idempotency)
	case keyDedupWindow:
		if class.Idempotency == dispatch.Deduplicated {
			return formatTime(class.DedupWindow)
		}
		return "-"
	case keyHedgeDelay, keyRetryBackoff, keyMaxRetryBackoff, keyBackoffJitter, keyPriority, keyBurst, keyRetryAfter:
		return "0"
	case keyRateScope:
		return string(rateByRoute)
	default:
		return "no limit"
	}
}

func describeIdempotency(idempotency dispatch.Idempotency) string {
	return [...]string{
		"safe to repeat",
		"keyed: repeats are dropped within its group and window",
		"must never run twice",
	}[idempotency]
}

func formatTime(t dispatch.Time) string { return toDuration(t).String() }

func toDuration(t dispatch.Time) time.Duration { return time.Duration(t) * time.Microsecond }
