package server

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"birchfork/internal/settings"
)

// Values of report.how: how workers report their load.
const (
	reportOff     = "off"
	reportInline  = "inline"
	reportOnProbe = "on_probe"
)

// Values of weight_kind: the meaning of a listed worker's weight.
const (
	weightOff     = "off"
	weightNominal = "nominal"
	weightRough   = "rough"
	weightLive    = "live"
)

// checkCombinations rejects settings that contradict each other, as when only half of a configuration is moved from one kind of deployment
// to another. The simulator's adapter does not call it, as it has to accept settings that are unusual but valid. Values that cannot be
// parsed are left to pairs.Err.
func checkCombinations(pairs *settings.Pairs) error {
	return errors.Join(
		checkReporting(pairs),
		checkReportNames(pairs),
		checkWeights(pairs),
		checkPrices(pairs),
	)
}

// reporting returns how workers report their load.
func reporting(pairs *settings.Pairs) string { return pairs.Text("report.how", reportOff) }

// reportNames returns the names of the values that workers report.
func reportNames(pairs *settings.Pairs) []string {
	list := pairs.Text("report.names", "")
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

// checkReporting checks that report.how is known, that report.names has names if and only if workers report, and that probes are permitted
// if workers report on probes.
func checkReporting(pairs *settings.Pairs) error {
	how := reporting(pairs)
	names := reportNames(pairs)
	probes := pairs.Bool("policy_limits.probes", false)
	switch {
	case !slices.Contains([]string{reportOff, reportInline, reportOnProbe}, how):
		return settingError("report.how", "invalid value %q: must be off, inline or on_probe", how)
	case how == reportOff && len(names) > 0:
		return settingError("report.names", "invalid value %q: must be empty unless report.how is inline or on_probe", strings.Join(names, ","))
	case how != reportOff && len(names) == 0:
		return settingError("report.names", "must not be empty while report.how is %s: name the reported values, or set report.how to off", how)
	case how == reportOnProbe && !probes:
		return settingError("report.how",
			"invalid value \"on_probe\": must be inline or off while policy_limits.probes is false, as workers would never report")
	}
	return nil
}

// checkReportNames checks that reported values with a deployment-specific meaning are explained. Unknown names are accepted: platforms may
// introduce new ones.
func checkReportNames(pairs *settings.Pairs) error {
	var errs []error
	for _, name := range reportNames(pairs) {
		deploymentSpecific := name == "x0" || name == "x1"
		if deploymentSpecific && pairs.Text("extra.report_"+name, "") == "" {
			errs = append(errs, settingError("report.names", "missing extra.report_%s, which defines the meaning of %s", name, name))
		}
	}
	return errors.Join(errs...)
}

// checkWeights checks that weight_kind is known, and that workers report their load if weights are live.
func checkWeights(pairs *settings.Pairs) error {
	kind := pairs.Text("weight_kind", weightOff)
	switch {
	case !slices.Contains([]string{weightOff, weightNominal, weightRough, weightLive}, kind):
		return settingError("weight_kind", "invalid value %q: must be off, nominal, rough or live", kind)
	case kind == weightLive && reporting(pairs) == reportOff:
		return settingError("weight_kind",
			"invalid value \"live\": must be off, nominal or rough while report.how is off, as nothing would update the weights")
	}
	return nil
}

// checkPrices checks that only what policy_limits permits has a price.
func checkPrices(pairs *settings.Pairs) error {
	var errs []error
	probePrice := pairs.Float("prices.probe", 0)
	if probePrice > 0 && !pairs.Bool("policy_limits.probes", false) {
		errs = append(errs, settingError("prices.probe",
			"invalid value %v: must be 0 unless policy_limits.probes is true", probePrice))
	}
	peerPrice := pairs.Float("prices.peer", 0)
	if peerPrice > 0 && !pairs.Bool("policy_limits.peers", false) {
		errs = append(errs, settingError("prices.peer",
			"invalid value %v: must be 0 unless policy_limits.peers is true", peerPrice))
	}
	return errors.Join(errs...)
}

// unsupportedSettings returns one line for each feature that the settings permit and the protocol on sockets does not support yet. The
// dispatcher works without them.
func unsupportedSettings(pairs *settings.Pairs) []string {
	var lines []string
	if pairs.Bool("policy_limits.peers", false) {
		lines = append(lines, "policy_limits.peers: messages between dispatchers are not supported on sockets yet: none are sent, "+
			"and workers are chosen by what this dispatcher has observed itself")
	}
	switch reporting(pairs) {
	case reportInline:
		lines = append(lines, "report.how: load reports in responses are not supported on sockets yet: none are read, "+
			"and slots are learned from starts and ends of requests")
	case reportOnProbe:
		lines = append(lines, "report.how: load reports on probes are not supported on sockets yet: none are requested, "+
			"and slots are learned from starts and ends of requests")
	}
	return lines
}

// checkUniqueNames rejects two classes, or two customers, with the same name: requests could never select one of them.
func checkUniqueNames(pairs *settings.Pairs) error {
	var errs []error
	for _, list := range []string{"classes", "customers"} {
		firstByName := map[string]int{}
		for i := range pairs.Int(list+".count", 0) {
			key := fmt.Sprintf("%s.%d.name", list, i)
			name := pairs.Text(key, "")
			first, exists := firstByName[name]
			if exists && name != "" {
				errs = append(errs, settingError(key, "duplicate name %q: also the name of %s.%d", name, list, first))
			}
			firstByName[name] = i
		}
	}
	return errors.Join(errs...)
}

// checkRequiredNumbers checks the numbers without which no request could be served. The decision module checks them too, but its errors do
// not name the keys.
func checkRequiredNumbers(pairs *settings.Pairs) error {
	var errs []error
	if attempts := pairs.Int("policy_limits.attempts_cap", 1); attempts < 1 {
		errs = append(errs, settingError("policy_limits.attempts_cap", "invalid value %d: must be at least 1", attempts))
	}
	for i := range pairs.Int("classes.count", 0) {
		key := fmt.Sprintf("classes.%d.deadline", i)
		if pairs.Text(key, "") == "" {
			errs = append(errs, settingError(key, "missing required key"))
			continue
		}
		if deadline := pairs.Float(key, 0); deadline <= 0 {
			errs = append(errs, settingError(key, "invalid value %v: must be greater than 0", deadline))
		}
	}
	return errors.Join(errs...)
}
