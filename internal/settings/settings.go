// Package settings loads the settings of the entry and sidecar processes from
// YAML. Faults are reported with file, line, column and reason:
//
//	s, err := settings.LoadEntry("entry.yaml")
package settings

import (
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/yamltext"
)

// Common holds the settings that entries and sidecars share.
type Common struct {
	// Name of the process, unique in the installation.
	Name string `yaml:"name"`
	// FailureDomain that the process runs in.
	FailureDomain string `yaml:"failure-domain"`
	// PeersAddress is the ip:port that other processes dial.
	PeersAddress string `yaml:"peers-address"`
	// OperatorsAddress is the ip:port of metrics and status; empty for none.
	OperatorsAddress string `yaml:"operators-address"`
	Store            Store  `yaml:"store"`
	// TokenFile holds the token that processes and operators share.
	TokenFile string `yaml:"token-file"`
	Log       Log    `yaml:"log"`
	Traces    Traces `yaml:"traces"`
	Timing    Timing `yaml:"timing"`
}

// Store configures the connection to the store.
type Store struct {
	// Endpoints are the base URLs of the JSON gateway.
	Endpoints []string `yaml:"endpoints"`
	// Prefix of all keys.
	Prefix string `yaml:"prefix"`
	// Timeout of a call.
	Timeout Duration `yaml:"timeout"`
}

// Log configures the log on standard error.
type Log struct {
	// Format is json or console.
	Format string `yaml:"format"`
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
}

// Traces configures the exporter of spans.
type Traces struct {
	// Exporter is none, stdout, file or otlp.
	Exporter string `yaml:"exporter"`
	// Endpoint is the URL of an OTLP collector.
	Endpoint string `yaml:"endpoint"`
	// File is the path to which spans are appended as JSON lines.
	File string `yaml:"file"`
	// SampleRatio is the fraction of traces recorded, 0 to 1, unless the
	// traceparent of the caller decides.
	SampleRatio float64 `yaml:"sample-ratio"`
}

// Timing holds the timeouts of failure detection and recovery.
type Timing struct {
	// SuspectAfter is how long an owner may be without a session before its
	// successor takes over.
	SuspectAfter Duration `yaml:"suspect-after"`
	// FenceGrace is the grace period for which a resubmitted job waits for missing
	// sidecars.
	FenceGrace Duration `yaml:"fence-grace"`
	// Retention is how long a key without expires-at is retained.
	Retention Duration `yaml:"retention"`
	// ClockSkew is added to expires-at to determine when a job is removed.
	ClockSkew Duration `yaml:"clock-skew"`
	// PingAfter is the time without a message after which a session with work in
	// flight is probed, PingTimeout the time allowed for the answer.
	PingAfter   Duration `yaml:"ping-after"`
	PingTimeout Duration `yaml:"ping-timeout"`
	// IdlePing is the time without a message after which an idle session is
	// probed.
	IdlePing Duration `yaml:"idle-ping"`
}

// Entry holds the settings of an entry.
type Entry struct {
	Common `yaml:",inline"`
	// CallersAddress is the ip:port of the callers' HTTP API.
	CallersAddress string `yaml:"callers-address"`
	// SingleDomain states that all sidecars are in one failure domain.
	SingleDomain bool        `yaml:"single-failure-domain"`
	Limits       EntryLimits `yaml:"limits"`
}

// EntryLimits bounds the resources that callers can use in an entry.
type EntryLimits struct {
	// MaxBody bounds the body of a request.
	MaxBody Size `yaml:"max-body"`
	// MaxConnections bounds the callers' connections.
	MaxConnections int `yaml:"max-connections"`
	// MaxWaiting bounds the requests whose answer is pending.
	MaxWaiting int `yaml:"max-waiting"`
	// ReadTimeout bounds the time to read a request.
	ReadTimeout Duration `yaml:"read-timeout"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout Duration `yaml:"drain-timeout"`
}

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	Common `yaml:",inline"`
	// Worker is the name of the machine, unchanged across restarts.
	Worker string `yaml:"worker"`
	// Rack that the machine is in.
	Rack string `yaml:"rack"`
	// AnnounceAddress is the ip:port that receives the announcements of the
	// backend server.
	AnnounceAddress string        `yaml:"announce-address"`
	Limits          SidecarLimits `yaml:"limits"`
}

// SidecarLimits bounds the memory of a sidecar.
type SidecarLimits struct {
	// Memory is the soft memory limit of the Go runtime: above it the garbage
	// collector runs more often. The code of the program and its libraries is
	// not included, about 10 MiB of resident memory.
	Memory Size `yaml:"memory"`
	// MaxResultBytes bounds all results retained for resubmissions.
	MaxResultBytes Size `yaml:"max-result-bytes"`
	// MaxTaskResultBytes bounds the result of one task.
	MaxTaskResultBytes Size `yaml:"max-task-result-bytes"`
	// MaxQueued bounds the tasks accepted beyond the free slots.
	MaxQueued int `yaml:"max-queued"`
}

func defaultCommon() Common {
	return Common{
		Store:  Store{Prefix: "/teaseltide/", Timeout: 2000},
		Log:    Log{Format: "json", Level: "info"},
		Traces: Traces{Exporter: "none", SampleRatio: 0.01},
		Timing: Timing{
			SuspectAfter: 1000, FenceGrace: 3000, Retention: 600_000, ClockSkew: 5000,
			PingAfter: 500, PingTimeout: 1000, IdlePing: 20_000,
		},
	}
}

// DefaultEntry returns the defaults of an entry's settings.
func DefaultEntry() Entry {
	return Entry{
		Common: defaultCommon(),
		Limits: EntryLimits{MaxBody: 8 << 20, MaxConnections: 4096, MaxWaiting: 10_000, ReadTimeout: 10_000, DrainTimeout: 120_000},
	}
}

// DefaultSidecar returns the defaults of a sidecar's settings.
func DefaultSidecar() Sidecar {
	return Sidecar{
		Common: defaultCommon(),
		Limits: SidecarLimits{Memory: 48 << 20, MaxResultBytes: 12 << 20, MaxTaskResultBytes: 1 << 20, MaxQueued: 64},
	}
}

// LoadEntry reads and validates the settings of an entry.
func LoadEntry(file string) (Entry, error) {
	return load(file, ParseEntry)
}

// ParseEntry parses and validates the settings of an entry. file is used in
// errors only.
func ParseEntry(file string, data []byte) (Entry, error) {
	s := DefaultEntry()
	if err := decode(file, data, &s); err != nil {
		return Entry{}, err
	}
	c := newChecker(file, data)
	c.checkCommon(&s.Common)
	c.checkAddress("callers-address", s.CallersAddress, true)
	c.checkPositive("limits.max-body", int64(s.Limits.MaxBody))
	c.checkPositive("limits.max-connections", int64(s.Limits.MaxConnections))
	c.checkPositive("limits.max-waiting", int64(s.Limits.MaxWaiting))
	c.checkPositive("limits.read-timeout", int64(s.Limits.ReadTimeout))
	c.checkPositive("limits.drain-timeout", int64(s.Limits.DrainTimeout))
	return s, c.err()
}

// LoadSidecar reads and validates the settings of a sidecar.
func LoadSidecar(file string) (Sidecar, error) {
	return load(file, ParseSidecar)
}

// ParseSidecar parses and validates the settings of a sidecar. file is used in
// errors only.
func ParseSidecar(file string, data []byte) (Sidecar, error) {
	s := DefaultSidecar()
	if err := decode(file, data, &s); err != nil {
		return Sidecar{}, err
	}
	c := newChecker(file, data)
	c.checkCommon(&s.Common)
	c.checkRequired("worker", s.Worker)
	c.checkAddress("announce-address", s.AnnounceAddress, true)
	c.checkPositive("limits.max-result-bytes", int64(s.Limits.MaxResultBytes))
	c.checkSidecarMemory(&s.Limits)
	c.checkPositive("limits.max-task-result-bytes", int64(s.Limits.MaxTaskResultBytes))
	c.checkPositive("limits.max-queued", int64(s.Limits.MaxQueued))
	return s, c.err()
}

// load reads a file and parses its content.
func load[T any](file string, parse func(file string, data []byte) (T, error)) (T, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		var none T
		return none, &Error{Op: "read", Kind: KindUnreadable, Position: yamltext.Position{File: file}, Err: errors.WithStack(err)}
	}
	return parse(file, data)
}

// decode parses YAML strictly: an unknown key is an error.
func decode(file string, data []byte, into any) error {
	err := yamltext.Decode(file, data, into)
	var unitFault *Error
	if errors.As(err, &unitFault) {
		unitFault.File = file
		return unitFault
	}
	var fault *yamltext.Error
	if errors.As(err, &fault) {
		return &Error{Op: "parse", Kind: KindMalformed, Position: fault.Position, Err: errors.New(fault.Reason)}
	}
	return err
}

// Token reads the token of an installation from its file.
func (c *Common) Token() (string, error) {
	return load(c.TokenFile, func(file string, data []byte) (string, error) {
		token := strings.TrimSpace(string(data))
		if token == "" {
			return "", &Error{Op: "read", Kind: KindInvalid, Position: yamltext.Position{File: file}, Err: errors.New("the token is empty")}
		}
		return token, nil
	})
}
