package dfpsettings_test

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/vm/dfpsettings"
)

const secret = "0123456789abcdef"

func check(t *testing.T, args []string, env map[string]string) (*dfpsettings.Settings, error) {
	t.Helper()
	for name, value := range env {
		t.Setenv(name, value)
	}
	fs := flag.NewFlagSet("node", flag.ContinueOnError)
	s := dfpsettings.Register(fs)
	assert.NilError(t, fs.Parse(args))
	return s, s.Check()
}

var valid = []string{"-zone=ost-1", "-region=ost", "-platform-url=http://10.0.0.9:2379/"}

func TestCheckFlagOverridesVariable(t *testing.T) {
	s, err := check(t, append(valid, "-drain-timeout=7s", "-seeds=10.0.0.1:9000, 10.0.0.2:9000"), map[string]string{
		"DRAGONFLYPORT_SECRET": secret, "DRAGONFLYPORT_DRAIN_TIMEOUT": "9s", "DRAGONFLYPORT_LOG_LEVEL": "debug",
	})
	assert.NilError(t, err)
	assert.Equal(t, s.DrainTimeout, 7*time.Second)
	assert.Equal(t, s.LogLevel, "debug")
	assert.Equal(t, s.PlatformURL, "http://10.0.0.9:2379")
	assert.DeepEqual(t, s.Seeds, []string{"10.0.0.1:9000", "10.0.0.2:9000"})
	dump, err := json.Marshal(s)
	assert.NilError(t, err)
	printed := string(dump) + fmt.Sprintf("%v %+v %#v %s", s.Secret, s.Secret, s.Secret, s.Secret)
	assert.Assert(t, !strings.Contains(printed, secret))
}

func TestCheckErrors(t *testing.T) {
	file := filepath.Join(t.TempDir(), "secret")
	assert.NilError(t, os.WriteFile(file, []byte("short\n"), 0o600))
	for _, tc := range []struct {
		name string
		args []string
		env  map[string]string
		want []string
	}{
		{"several invalid settings", []string{"-zone=Ost 1", "-egress-address=10.0.0.1:9001", "-max-callers=0"},
			map[string]string{"DRAGONFLYPORT_DRAIN_TIMEOUT": "10", "DRAGONFLYPORT_SECRET": secret}, []string{
				`--zone (DRAGONFLYPORT_ZONE) is "Ost 1": must be a name`,
				`--region (DRAGONFLYPORT_REGION) is "": must be a name`,
				`--egress-address (DRAGONFLYPORT_EGRESS_ADDRESS) is "10.0.0.1:9001": must be a loopback`,
				`--platform-url (DRAGONFLYPORT_PLATFORM_URL) is "": must be an http`,
				`--drain-timeout (DRAGONFLYPORT_DRAIN_TIMEOUT) is "10": must be a duration with a unit`,
				`--max-callers (DRAGONFLYPORT_MAX_CALLERS) is "0": must be a whole number from 1 to`,
			}},
		{"no secret", valid, nil, []string{"has 0 bytes: want 16 to 1024"}},
		{"short secret file", append(valid, "-secret-file="+file), nil, []string{"has 5 bytes"}},
		{"variable and file for the secret", append(valid, "-secret-file="+file), map[string]string{"DRAGONFLYPORT_SECRET": secret},
			[]string{"DRAGONFLYPORT_SECRET and --secret-file are both set"}},
		{"misspelt variable", valid, map[string]string{"DRAGONFLYPORT_SECRET": secret, "DRAGONFLYPORT_ZNE": "x"},
			[]string{"environment variable DRAGONFLYPORT_ZNE is not a setting"}},
		{"unspecified link address", append(valid, "-link-address=0.0.0.0:9000"), map[string]string{"DRAGONFLYPORT_SECRET": secret},
			[]string{"--link-advertise (DRAGONFLYPORT_LINK_ADVERTISE) is empty"}},
		{"duplicate address", append(valid, "-caller-address=127.0.0.1:9003"), map[string]string{"DRAGONFLYPORT_SECRET": secret},
			[]string{`--operator-address (DRAGONFLYPORT_OPERATOR_ADDRESS) is "127.0.0.1:9003": --caller-address has the same address`}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := check(t, tc.args, tc.env)
			assert.Assert(t, errors.Is(err, dfpsettings.ErrInvalid))
			lines := strings.Split(err.Error(), "\n")[1:]
			assert.Equal(t, len(lines), len(tc.want), err.Error())
			for i, want := range tc.want {
				assert.Assert(t, strings.Contains(lines[i], want), lines[i])
			}
		})
	}
}
