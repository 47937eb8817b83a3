package server

import (
	"fmt"
	"strings"
)

// settingsPrefix begins the keys of the platform's settings.
const settingsPrefix = "settings."

// ConfigError is one fault of the platform's configuration. Errors of Load and Decode are such faults, joined, or tell that the file
// cannot be read or parsed at all.
type ConfigError struct {
	Key    string // path from the file's root, such as "limits.cores" or "settings.classes.0.deadline"
	Reason string
	Err    error // the cause; may be nil
}

// Error names the key and the reason. Operators read these texts in the log and from the command check.
func (e *ConfigError) Error() string {
	if setting, ok := strings.CutPrefix(e.Key, settingsPrefix); ok {
		return "setting " + setting + ": " + e.Reason
	}
	return e.Key + ": " + e.Reason
}

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

// configError returns a fault of a key.
func configError(key, format string, args ...any) *ConfigError {
	return &ConfigError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// settingError returns a fault of a key below the settings.
func settingError(key, format string, args ...any) *ConfigError {
	return configError(settingsPrefix+key, format, args...)
}

// ReloadError tells that a file which was read again is short of something that the configuration in force has.
type ReloadError struct {
	Key    string // path from the file's root
	Reason string
}

// Error names the key and the reason.
func (e *ReloadError) Error() string { return e.Key + ": " + e.Reason }
