//go:build !lean

package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"birchfork/internal/goldentest"
)

// TestGolden_Digest checks the digest of the settings that the members of a group compare, and which keys change it.
func TestGolden_Digest(t *testing.T) {
	var out bytes.Buffer
	for _, name := range []string{"reports", "probes", "least"} {
		raw, err := os.ReadFile(goldenPath("platform-" + name + ".json"))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s %s\n", name, settingsDigest(raw))
		own := bytes.Replace(raw, []byte(`"zone": "b"`), []byte(`"zone": "c"`), 1)
		own = bytes.Replace(own, []byte(`"ordinal": 2`), []byte(`"ordinal": 3`), 1)
		own = bytes.Replace(own, []byte(`"listen"`), []byte(`"other"`), 1)
		fmt.Fprintf(&out, "%s of another member %s\n", name, settingsDigest(own))
		fmt.Fprintf(&out, "%s with another deadline %s\n", name, settingsDigest(bytes.Replace(raw, []byte(`"deadline": `), []byte(`"deadline": 1`), 1)))
	}
	fmt.Fprintf(&out, "no settings %s\nno JSON %q\n", settingsDigest([]byte(`{}`)), settingsDigest([]byte(`{`)))
	goldentest.Check(t, "digests.txt", out.Bytes())
}

// TestGolden_Group checks a group member's description of itself to the others, and the names of its counters.
func TestGolden_Group(t *testing.T) {
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	env := newTestEnv(t)
	close(env.release)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	link := listener.Addr().String()
	listener.Close()
	path, operator := dir+"/config.json", dir+"/operator.toml"
	const group = "[group]\nname = 'g'\nfolder = '%s/group'\n[[group.member]]\nname = 'n1'\nlink = '%s'\nvoter = true\n" +
		"[[group.member]]\nname = 'n2'\nlink = '127.0.0.1:1'\nvoter = true\n" +
		"[[group.member]]\nname = 'n3'\nlink = '127.0.0.1:2'\nvoter = true\n[[route]]\nname = 'all'\nconcurrent = 1\n"
	raw := strings.Replace(configText(env.discovery, env.worker, "5"), `"name":"n1",`, `"name":"n1","operator":"127.0.0.1:0",`, 1)
	writeFile(t, path, raw)
	writeFile(t, operator, fmt.Sprintf(group, dir, link))
	c, err := LoadWithOperator(path, operator, "")
	if err != nil {
		t.Fatal(err)
	}
	srv, err := start(c, discardLog(), nil)
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the dispatcher is a member of the group", func() bool { return srv.coordinator.LogFields() != nil })
	goldentest.Check(t, "counters-group.txt", fieldNames(t, srv, "counters"))

	info := srv.memberInfo()
	if info.SettingsDigest != settingsDigest([]byte(raw)) || info.OperatorDigest != c.Operator.Digest || !info.StartedAt.Equal(srv.startedAt) {
		t.Errorf("%+v", info)
	}
	info.Version, info.SettingsDigest, info.OperatorDigest = "VERSION", "SETTINGS", "OPERATOR"
	info.StartedAt = time.Date(2024, 5, 6, 7, 8, 9, 0, time.UTC)
	encoded, err := json.Marshal(info)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "about.json", encoded)
	if entries, err := os.ReadDir(dir + "/birchfork-n1"); err != nil || len(entries) == 0 {
		t.Error("the shared directory is empty", err)
	}
	mustShutdown(t, srv)
}
