package server

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"birchfork/internal/settings"
)

// checkCombinations refuses settings that mix one shape of deployment with another: parts of them that cannot hold together, as
// they are left when only half of a configuration is moved. Each fault names its key. The bench's adapter does not ask
// it: it must cope with settings that are odd but legal. What it reads and cannot is named by p.Err.
func checkCombinations(pairs *settings.Pairs) error {
	var faults []error
	addFault := func(key, format string, v ...any) {
		faults = append(faults, fmt.Errorf("setting "+key+": "+format, v...))
	}
	reporting, weights := pairs.Text("report.how", "off"), pairs.Text("weight_kind", "off")
	probes, peers := pairs.Bool("policy_limits.probes", false), pairs.Bool("policy_limits.peers", false)
	var names []string
	if v := pairs.Text("report.names", ""); v != "" {
		names = strings.Split(v, ",")
	}
	switch {
	case !slices.Contains([]string{"off", "inline", "on_probe"}, reporting):
		addFault("report.how", "%q is not one of off, inline, on_probe", reporting)
	case reporting == "off" && len(names) > 0:
		addFault("report.names", "%s, but report.how is off: name nothing, or say how workers report", strings.Join(names, ","))
	case reporting != "off" && len(names) == 0:
		addFault("report.names", "it names nothing, but report.how is %s: name the values, or set report.how to off", reporting)
	case reporting == "on_probe" && !probes:
		addFault("report.how", "on_probe, but policy_limits.probes is false: nothing would ever be reported; set inline or off, or allow probes")
	}
	for _, name := range names { // values that we do not know are passed over: platforms may bring new ones
		if (name == "x0" || name == "x1") && pairs.Text("extra.report_"+name, "") == "" {
			addFault("report.names", "%s is told, but extra.report_%s does not say what it means", name, name)
		}
	}
	switch {
	case !slices.Contains([]string{"off", "nominal", "rough", "live"}, weights):
		addFault("weight_kind", "%q is not one of off, nominal, rough, live", weights)
	case weights == "live" && reporting == "off":
		addFault("weight_kind", "live, but report.how is off: nothing moves the weights; set nominal or rough, or say how workers report")
	}
	if v := pairs.Float("prices.probe", 0); v > 0 && !probes {
		addFault("prices.probe", "%v, but policy_limits.probes is false: set it to 0, or allow probes", v)
	}
	if v := pairs.Float("prices.peer", 0); v > 0 && !peers {
		addFault("prices.peer", "%v, but policy_limits.peers is false: set it to 0, or allow notes between dispatchers", v)
	}
	return errors.Join(faults...)
}

// unsupportedSettings names what the settings allow or promise and sockets have no words for yet. The module does without.
func unsupportedSettings(pairs *settings.Pairs) (lines []string) {
	if pairs.Bool("policy_limits.peers", false) {
		lines = append(lines, "policy_limits.peers: notes between dispatchers have no words on sockets yet: none is sent, "+
			"and jobs are placed by what this dispatcher has seen itself")
	}
	switch pairs.Text("report.how", "off") {
	case "inline":
		lines = append(lines, "report.how: load reports with answers have no words on sockets yet: none is read, "+
			"and rooms are learned from starts and ends")
	case "on_probe":
		lines = append(lines, "report.how: load reports to probes are not asked for on sockets yet, "+
			"and rooms are learned from starts and ends")
	}
	return lines
}

// checkUniqueNames refuses classes and customers that share a name: one of them could never be asked for.
func checkUniqueNames(pairs *settings.Pairs) error {
	var faults []error
	for _, list := range []string{"classes", "customers"} {
		first := map[string]int{}
		for i := range pairs.Int(list+".count", 0) {
			key := fmt.Sprintf("%s.%d.name", list, i)
			name := pairs.Text(key, "")
			if j, ok := first[name]; ok && name != "" {
				faults = append(faults, fmt.Errorf("setting %s: %q is the name of %s.%d too", key, name, list, j))
			}
			first[name] = i
		}
	}
	return errors.Join(faults...)
}

// checkRequiredNumbers names the figures without which nothing could be served, by key. The module refuses them too, in its own words.
func checkRequiredNumbers(pairs *settings.Pairs) error {
	var faults []error
	if n := pairs.Int("policy_limits.attempts_cap", 1); n < 1 {
		faults = append(faults, fmt.Errorf("setting policy_limits.attempts_cap: %d is not above 0", n))
	}
	for i := range pairs.Int("classes.count", 0) {
		key := fmt.Sprintf("classes.%d.deadline", i)
		switch pairs.Text(key, "") {
		case "":
			faults = append(faults, fmt.Errorf("setting %s: it is missing", key))
		default:
			if v := pairs.Float(key, 0); v <= 0 {
				faults = append(faults, fmt.Errorf("setting %s: %v is not above 0", key, v))
			}
		}
	}
	return errors.Join(faults...)
}
