// Package dfpsettings reads the settings of a node from flags and environment variables.
//
// Each flag has an environment variable: --link-address is DRAGONFLYPORT_LINK_ADDRESS. A flag overrides its
// variable. The shared secret by which nodes authenticate each other has no flag, since other users of a VM
// can read the flags of a process. It comes from the variable DRAGONFLYPORT_SECRET or from the file that
// --secret-file names.
//
// # Usage
//
//	settings := dfpsettings.Register(flags)
//	// Parse the flags, then:
//	if err := settings.Check(); err != nil { // Lists every error, one per line.
//	}
package dfpsettings

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
)

// VariablePrefix is the prefix of every environment variable that is a setting.
const VariablePrefix = "DRAGONFLYPORT"

// secretVariable is the environment variable that contains the shared secret.
const secretVariable = VariablePrefix + "_SECRET"

// ErrInvalid is wrapped by every error of Check.
var ErrInvalid = errors.New("invalid settings")

// Secret is a string that is never printed: its String, JSON and log forms hide the value.
type Secret string

// String returns a constant instead of the secret.
func (Secret) String() string { return "(hidden)" }

// GoString returns a constant instead of the secret.
func (Secret) GoString() string { return "(hidden)" }

// MarshalText returns a constant instead of the secret.
func (Secret) MarshalText() ([]byte, error) { return []byte("(hidden)"), nil }

// Settings are the settings of one node. They are valid only after Check has returned nil.
type Settings struct {
	// Zone is the name of the VM's availability zone.
	Zone string `json:"zone"`
	// Region is the name of the zone's region.
	Region string `json:"region"`

	// LinkAddress is the IP address and port that accepts links from other nodes.
	LinkAddress string `json:"link_address"`
	// LinkAdvertise is the IP address and port that other nodes connect to; empty means the address that
	// LinkAddress is bound to.
	LinkAdvertise string `json:"link_advertise"`
	// CallerAddress is the IP address and port that serves callers.
	CallerAddress string `json:"caller_address"`
	// EgressAddress is the loopback address and port where this VM's backend server announces itself and
	// makes its nested calls.
	EgressAddress string `json:"egress_address"`
	// OperatorAddress is the IP address and port that serves state dumps and metrics.
	OperatorAddress string `json:"operator_address"`

	// PlatformURL is the base URL of the platform's key-value service.
	PlatformURL string `json:"platform_url"`
	// Seeds are link addresses of nodes to join by while the platform is unavailable.
	Seeds []string `json:"seeds"`

	// Secret is the shared secret by which nodes authenticate each other.
	Secret Secret `json:"secret"`

	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
	// DrainTimeout limits the duration of a graceful shutdown.
	DrainTimeout time.Duration `json:"drain_timeout"`
	// MaxCallers is the limit of open connections from callers.
	MaxCallers int `json:"max_callers"`
	// MaxRequests is the limit of requests in progress that callers sent to this node.
	MaxRequests int `json:"max_requests"`
	// StaleAfter is the time without contact to the platform, or to a node that had contact, after which
	// routes with when_stale=refuse refuse requests.
	StaleAfter time.Duration `json:"stale_after"`

	flags  *flag.FlagSet
	values map[string]*rawValue
	errs   []error
}

// rawValue is a flag.Value that accepts any string. Check validates it, so that all errors are reported
// together.
type rawValue struct{ value string }

func (r *rawValue) String() string { return r.value }

func (r *rawValue) Set(value string) error {
	r.value = value
	return nil
}

// setting describes one flag.
type setting struct {
	name         string
	defaultValue string
	usage        string
	// parse validates a value and stores it. Its error continues the words "must be".
	parse func(s *Settings, value string) error
}

// Register adds the flags of all settings to a flag set.
func Register(fs *flag.FlagSet) *Settings {
	s := &Settings{flags: fs, values: map[string]*rawValue{}}
	for _, d := range settings {
		r := &rawValue{value: d.defaultValue}
		s.values[d.name] = r
		fs.Var(r, d.name, fmt.Sprintf("%s (%s)", d.usage, variableName(d.name)))
	}
	return s
}

// Check reads the environment variables of flags that were not given and validates every setting. The
// returned error wraps ErrInvalid and lists every error, one per line.
func (s *Settings) Check() error {
	s.errs = nil
	if err := ff.Parse(s.flags, nil, ff.WithEnvVarPrefix(VariablePrefix)); err != nil {
		s.errs = append(s.errs, err)
	}
	for _, d := range settings {
		value := s.values[d.name].value
		if err := d.parse(s, value); err != nil {
			s.addError("--%s (%s) is %q: must be %v", d.name, variableName(d.name), value, err)
		}
	}
	s.checkVariables()
	s.checkCombinations()
	s.readSecret()
	if len(s.errs) == 0 {
		return nil
	}
	return fmt.Errorf("%w:\n%w", ErrInvalid, errors.Join(s.errs...))
}

func (s *Settings) addError(format string, args ...any) {
	s.errs = append(s.errs, fmt.Errorf(format, args...))
}

// checkVariables reports environment variables with the prefix that are not settings, because a misspelt one
// would otherwise be ignored.
func (s *Settings) checkVariables() {
	known := map[string]bool{secretVariable: true}
	for _, d := range settings {
		known[variableName(d.name)] = true
	}
	for _, entry := range os.Environ() {
		name, _, _ := strings.Cut(entry, "=")
		if strings.HasPrefix(name, VariablePrefix+"_") && !known[name] {
			s.addError("environment variable %s is not a setting: `dragonflyport help node` lists the settings", name)
		}
	}
}

func variableName(name string) string {
	return VariablePrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}
