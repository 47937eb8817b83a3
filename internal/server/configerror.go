package server

import (
	"fmt"

	"birchfork/internal/settings"
)

// ConfigError is one error in the platform's configuration outside of the settings, or one key that a reloaded file lacks. Load and Decode
// join such errors and those of the settings, which are of type settings.Error. Their other errors mean that the file cannot be read or
// parsed at all.
type ConfigError struct {
	Key    string // path from the file's root, such as "limits.cores"
	Reason string
	Err    error // cause; may be nil
}

// Error returns the key and the reason in one line of text. Operators read it in the log and in the output of the check command.
func (e *ConfigError) Error() string { return e.Key + ": " + e.Reason }

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

// configError returns an error for a key.
func configError(key, format string, args ...any) *ConfigError {
	return &ConfigError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// settingError returns an error for a setting. The path begins below the settings.
func settingError(path, format string, args ...any) settings.Error {
	return settings.Error{Path: path, Reason: fmt.Sprintf(format, args...)}
}
