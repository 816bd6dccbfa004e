package settings

import (
	"net/netip"
	"net/url"
	"slices"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/yamltext"
)

// checker validates settings and collects the faults with their positions.
type checker struct {
	keys   *yamltext.Keys
	faults Errors
}

func newChecker(file string, data []byte) *checker {
	return &checker{keys: yamltext.ParseKeys(file, data)}
}

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return c.faults
}

// addFault records a fault at the position of a key, such as store.prefix. The
// fault has no line if the file does not contain the key.
func (c *checker) addFault(key, format string, args ...any) {
	c.faults = append(c.faults, &Error{
		Op: "check", Kind: KindInvalid, Position: c.keys.Position(key), Err: errors.Errorf(key+": "+format, args...),
	})
}

func (c *checker) checkCommon(s *Common) {
	c.checkRequired("name", s.Name)
	c.checkRequired("failure-domain", s.FailureDomain)
	c.checkAddress("peers-address", s.PeersAddress, true)
	c.checkAddress("operators-address", s.OperatorsAddress, false)
	c.checkRequired("token-file", s.TokenFile)
	c.checkStore(&s.Store)
	c.checkOneOf("log.format", s.Log.Format, "json", "console")
	c.checkOneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.checkTraces(&s.Traces)
	c.checkPositive("timing.suspect-after", int64(s.Timing.SuspectAfter))
	c.checkPositive("timing.fence-grace", int64(s.Timing.FenceGrace))
	c.checkPositive("timing.retention", int64(s.Timing.Retention))
	c.checkPositive("timing.ping-after", int64(s.Timing.PingAfter))
	c.checkPositive("timing.ping-timeout", int64(s.Timing.PingTimeout))
	c.checkPositive("timing.idle-ping", int64(s.Timing.IdlePing))
}

func (c *checker) checkStore(s *Store) {
	if len(s.Endpoints) == 0 {
		c.addFault("store.endpoints", "at least one URL is required")
	}
	for _, e := range s.Endpoints {
		if u, err := url.Parse(e); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			c.addFault("store.endpoints", "%q is not an http or https URL", e)
		}
	}
	if len(s.Prefix) < 2 || s.Prefix[0] != '/' || s.Prefix[len(s.Prefix)-1] != '/' {
		c.addFault("store.prefix", "%q does not begin and end with a slash", s.Prefix)
	}
	c.checkPositive("store.timeout", int64(s.Timeout))
}

func (c *checker) checkTraces(t *Traces) {
	c.checkOneOf("traces.exporter", t.Exporter, "none", "stdout", "file", "otlp")
	if t.Exporter == "file" {
		c.checkRequired("traces.file", t.File)
	}
	if t.Exporter == "otlp" {
		c.checkRequired("traces.endpoint", t.Endpoint)
	}
	if t.SampleRatio < 0 || t.SampleRatio > 1 {
		c.addFault("traces.sample-ratio", "%g is not between 0 and 1", t.SampleRatio)
	}
}

// minOtherMemory is the memory that a sidecar needs besides its results: 13 MiB of
// a new process, 11 MiB of tables at the design scale and 4 MiB of garbage. With
// less, the garbage collector would run continuously.
const minOtherMemory Size = 28 << 20

func (c *checker) checkSidecarMemory(s *SidecarLimits) {
	if s.Memory-minOtherMemory < s.MaxResultBytes {
		c.addFault("limits.max-result-bytes", "%s must be at least %s below limits.memory, %s", s.MaxResultBytes, minOtherMemory, s.Memory)
	}
}

func (c *checker) checkRequired(key, value string) {
	if value == "" {
		c.addFault(key, "a value is required")
	}
}

func (c *checker) checkPositive(key string, value int64) {
	if value <= 0 {
		c.addFault(key, "must be greater than 0")
	}
}

func (c *checker) checkOneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.addFault(key, "%q is not one of %v", value, allowed)
	}
}

// checkAddress requires an IP address with a port. Host names are rejected, because
// processes connect to each other by IP address.
func (c *checker) checkAddress(key, value string, required bool) {
	if value == "" {
		if required {
			c.addFault(key, "an IP address with a port is required")
		}
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addFault(key, "%q is not an IP address with a port", value)
	}
}
