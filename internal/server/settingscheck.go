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

// checkReporting checks that report.how is known, that report.names has names if and only if workers report, and that reports on probes
// have probes.
func checkReporting(pairs *settings.Pairs) error {
	how := reporting(pairs)
	names := reportNames(pairs)
	probes := pairs.Bool("policy_limits.probes", false)
	switch {
	case !slices.Contains([]string{reportOff, reportInline, reportOnProbe}, how):
		return settingError("report.how", "%q is not one of off, inline, on_probe", how)
	case how == reportOff && len(names) > 0:
		return settingError("report.names", "%s, but report.how is off: name nothing, or say how workers report", strings.Join(names, ","))
	case how != reportOff && len(names) == 0:
		return settingError("report.names", "it names nothing, but report.how is %s: name the values, or set report.how to off", how)
	case how == reportOnProbe && !probes:
		return settingError("report.how",
			"on_probe, but policy_limits.probes is false: nothing would ever be reported; set inline or off, or allow probes")
	}
	return nil
}

// checkReportNames checks that reported values with a deployment-specific meaning are explained. Unknown names are accepted: platforms may
// introduce new ones.
func checkReportNames(pairs *settings.Pairs) error {
	var faults []error
	for _, name := range reportNames(pairs) {
		ownMeaning := name == "x0" || name == "x1"
		if ownMeaning && pairs.Text("extra.report_"+name, "") == "" {
			faults = append(faults, settingError("report.names", "%s is told, but extra.report_%s does not say what it means", name, name))
		}
	}
	return errors.Join(faults...)
}

// checkWeights checks that weight_kind is known, and that live weights have load reports.
func checkWeights(pairs *settings.Pairs) error {
	kind := pairs.Text("weight_kind", weightOff)
	switch {
	case !slices.Contains([]string{weightOff, weightNominal, weightRough, weightLive}, kind):
		return settingError("weight_kind", "%q is not one of off, nominal, rough, live", kind)
	case kind == weightLive && reporting(pairs) == reportOff:
		return settingError("weight_kind",
			"live, but report.how is off: nothing moves the weights; set nominal or rough, or say how workers report")
	}
	return nil
}

// checkPrices checks that nothing has a price that is not permitted by policy_limits.
func checkPrices(pairs *settings.Pairs) error {
	var faults []error
	probePrice := pairs.Float("prices.probe", 0)
	if probePrice > 0 && !pairs.Bool("policy_limits.probes", false) {
		faults = append(faults, settingError("prices.probe",
			"%v, but policy_limits.probes is false: set it to 0, or allow probes", probePrice))
	}
	peerPrice := pairs.Float("prices.peer", 0)
	if peerPrice > 0 && !pairs.Bool("policy_limits.peers", false) {
		faults = append(faults, settingError("prices.peer",
			"%v, but policy_limits.peers is false: set it to 0, or allow notes between dispatchers", peerPrice))
	}
	return errors.Join(faults...)
}

// unsupportedSettings returns, one line each, what the settings permit and the protocol on sockets does not support yet. The dispatcher
// works without it.
func unsupportedSettings(pairs *settings.Pairs) []string {
	var lines []string
	if pairs.Bool("policy_limits.peers", false) {
		lines = append(lines, "policy_limits.peers: notes between dispatchers have no words on sockets yet: none is sent, "+
			"and jobs are placed by what this dispatcher has seen itself")
	}
	switch reporting(pairs) {
	case reportInline:
		lines = append(lines, "report.how: load reports with answers have no words on sockets yet: none is read, "+
			"and rooms are learned from starts and ends")
	case reportOnProbe:
		lines = append(lines, "report.how: load reports to probes are not asked for on sockets yet, "+
			"and rooms are learned from starts and ends")
	}
	return lines
}

// checkUniqueNames rejects classes and customers that share a name: requests could never select one of them.
func checkUniqueNames(pairs *settings.Pairs) error {
	var faults []error
	for _, list := range []string{"classes", "customers"} {
		firstByName := map[string]int{}
		for i := range pairs.Int(list+".count", 0) {
			key := fmt.Sprintf("%s.%d.name", list, i)
			name := pairs.Text(key, "")
			first, exists := firstByName[name]
			if exists && name != "" {
				faults = append(faults, settingError(key, "%q is the name of %s.%d too", name, list, first))
			}
			firstByName[name] = i
		}
	}
	return errors.Join(faults...)
}

// checkRequiredNumbers returns faults, with their keys, for numbers without which nothing could be served. The decision module rejects them
// too, without their keys.
func checkRequiredNumbers(pairs *settings.Pairs) error {
	var faults []error
	if attempts := pairs.Int("policy_limits.attempts_cap", 1); attempts < 1 {
		faults = append(faults, settingError("policy_limits.attempts_cap", "%d is not above 0", attempts))
	}
	for i := range pairs.Int("classes.count", 0) {
		key := fmt.Sprintf("classes.%d.deadline", i)
		if pairs.Text(key, "") == "" {
			faults = append(faults, settingError(key, "it is missing"))
			continue
		}
		if deadline := pairs.Float(key, 0); deadline <= 0 {
			faults = append(faults, settingError(key, "%v is not above 0", deadline))
		}
	}
	return errors.Join(faults...)
}
