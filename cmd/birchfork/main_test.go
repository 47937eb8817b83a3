package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
)

func call(args ...string) (status int, std, err string) {
	var o, e bytes.Buffer
	status = run(args, output{&o, &e})
	return status, o.String(), e.String()
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := t.TempDir() + "/config.json"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const validConfig = `{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
	"settings":{"classes":[{"name":"search","deadline":5,"effect":"free"}]}}`

func TestRun_VersionAndCheck(t *testing.T) {
	if status, std, _ := call("version"); status != 0 || !strings.HasPrefix(std, "birchfork ") {
		t.Errorf("version: %d, %q", status, std)
	}
	if status, std, err := call("check", write(t, validConfig)); status != 0 || !strings.Contains(std, "good: n1") {
		t.Errorf("check: %d, %q, %q", status, std, err)
	}
	status, std, err := call("check", write(t, `{"listen":"x","discovery":"y","settings":{}}`))
	if status != 1 || strings.Count(std, "\n") != 3 || strings.Count(err, "\n") != 1 {
		t.Errorf("check of an invalid configuration: %d, %q, %q", status, std, err)
	}
}

// With --free, an address in use is reported with its key.
func TestCheck_FreeReportsUsedAddresses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	path := write(t, strings.ReplaceAll(validConfig, `"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q`, l.Addr())))
	if status, std, err := call("check", path); status != 0 {
		t.Errorf("without --free: %d, %q, %q", status, std, err)
	}
	if status, std, err := call("check", path, "--free"); status != 1 || !strings.Contains(std, "listen: ") || !strings.Contains(err, "cannot be started now") {
		t.Errorf("with --free and an address in use: %d, %q, %q", status, std, err)
	}
	if status, std, err := call("check", write(t, validConfig), "--free"); status != 0 {
		t.Errorf("all free: %d, %q, %q", status, std, err)
	}
}

const (
	unsupportedConfig = `{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"weight_kind":"live",
		"report":{"how":"inline","names":["x0"]},"extra":{"report_x0":"free_slots"},"policy_limits":{"peers":true},
		"classes":[{"name":"search","deadline":5,"effect":"free"}]}}`
	mixedConfig = `{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"weight_kind":"live",
		"prices":{"peer":0.01},"classes":[{"name":"search","deadline":5,"effect":"free"}]}}`
)

func TestCheck_NamesUnsupportedAndMixedSettings(t *testing.T) {
	status, std, err := call("check", write(t, unsupportedConfig))
	if status != 0 || strings.Count(std, "served without: ") != 2 || !strings.Contains(std, "policy_limits.peers") {
		t.Errorf("check of unsupported settings: %d, %q, %q", status, std, err)
	}
	if _, std, _ := call("check", write(t, validConfig)); strings.Contains(std, "served without") {
		t.Errorf("check of supported settings: %q", std)
	}
	status, std, _ = call("check", write(t, mixedConfig))
	if status != 1 || strings.Count(std, "\n") != 2 || !strings.Contains(std, "weight_kind: ") || !strings.Contains(std, "prices.peer: ") {
		t.Errorf("check of mixed settings: %d, %q", status, std)
	}
}

// An invalid configuration ends serve with a one-line message and status 1.
func TestServe_NamesInvalidConfiguration(t *testing.T) {
	for _, args := range [][]string{
		{"serve", "--config", write(t, "{")},
		{"serve", "--config", write(t, `{"listen":"x","discovery":"y","settings":{}}`)},
		{"serve", "--config", t.TempDir() + "/none"},
		{"serve", "--config", write(t, mixedConfig)},
		{"serve", "--config", write(t, validConfig), "--log-level", "loud"},
		{"nonsense"},
	} {
		if status, std, err := call(args...); status != 1 || std != "" || strings.Count(err, "\n") != 1 {
			t.Errorf("%v: %d, %q, %q", args, status, std, err)
		}
	}
}
