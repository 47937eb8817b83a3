package cluster

import (
	"os"
	"path/filepath"
)

// readDisk returns the contents of files on a member's disk by name. It leaves out files that are missing or empty.
func (h *harness) readDisk(member int, names ...string) map[string][]byte {
	files := map[string][]byte{}
	for _, name := range names {
		if raw, err := os.ReadFile(filepath.Join(h.diskDir(member), name)); err == nil && len(raw) > 0 {
			files[name] = raw
		}
	}
	return files
}

// writeDisk writes files to a member's disk. It records a failure, because the fault then was not injected as planned.
func (h *harness) writeDisk(member int, files map[string][]byte) {
	for name, raw := range files {
		if err := os.WriteFile(filepath.Join(h.diskDir(member), name), raw, 0o600); err != nil {
			h.recordStatus(err.Error())
		}
	}
}

// removeDir removes a directory of a member. It records a failure, because the fault then was not injected as planned.
func (h *harness) removeDir(dir string) {
	if err := os.RemoveAll(dir); err != nil {
		h.recordStatus(err.Error())
	}
}
