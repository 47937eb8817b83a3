// Package config reads and checks the operator's file: limits that an operator sets in addition to the platform's
// configuration. The file can narrow what the decision module's rules and the platform allow, but not widen it: a file
// that tries to is rejected. All errors of a file are reported together, each with its line and key. The platform's own
// configuration is read by internal/server.
//
// Load reads a file, checks it and returns an OperatorConfig. The checks are in check.go (names), check_platform.go
// (limits over all routes) and check_policy.go (the values of one policy); build_routes.go builds the routes.
package config

import (
	"fmt"
	"io"
	"os"

	"github.com/cespare/xxhash/v2"

	"birchfork/dispatch"
	"birchfork/internal/admission"
	"birchfork/internal/routes"
	"birchfork/internal/tomlfile"
)

// Platform is the part of the platform's configuration with which the operator's file must be consistent.
type Platform struct {
	Name                 string // of this dispatcher
	Settings             dispatch.Settings
	ClassNames           []string // by the classes' ids in Settings
	TenantNames          []string // by the tenants' ids in Settings
	MaxClientConnections int      // client connections from which requests are accepted; 0: unknown
	MemoryBytes          int64    // 0: unknown
}

// OperatorConfig is an operator's file that has passed all checks.
type OperatorConfig struct {
	Path        string
	Routes      *routes.Table
	Admission   admission.Config
	Settings    dispatch.Settings // the platform's, narrowed by the file
	Explanation []ExplainedValue  // the values in force, for Explain
	Group       *Group            // nil: the file has no group
	Digest      string            // of the file's text, in hexadecimal
}

// Load reads and checks an operator's file. The error for an invalid file joins one tomlfile.Error per error in it.
func Load(path string, platform Platform) (*OperatorConfig, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("reading the operator's file: %w", err)
	}
	defer file.Close()
	raw, err := io.ReadAll(io.LimitReader(file, tomlfile.MaxSize+1))
	if err != nil {
		return nil, fmt.Errorf("reading the operator's file: %w", err)
	}
	config, err := Decode(path, raw, platform)
	if err != nil {
		return nil, err
	}
	config.Path = path
	config.Digest = fmt.Sprintf("%016x", xxhash.Sum64(raw))
	return config, nil
}

// Decode checks the text of an operator's file. The path is only used in error messages; Path and Digest of the result
// are empty. The error for an invalid file joins one tomlfile.Error per error in it.
func Decode(path string, raw []byte, platform Platform) (*OperatorConfig, error) {
	var file operatorFile
	doc := tomlfile.Read(path, raw, &file)
	if err := doc.Err(); err != nil {
		return nil, err // further checks would treat values that could not be decoded as missing
	}
	c := &checker{doc: doc, file: &file, platform: platform}
	config := c.build()
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return config, nil
}
