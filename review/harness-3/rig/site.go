package rig

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"
)

// Host is the host of all routes, and Key the key of the only tenant.
const (
	Host = "shop.example"
	Key  = "key-of-the-tenant"
)

// Route is a route of a configuration.
type Route struct {
	Prefix, Kind, Service string
	Timeout               time.Duration
	Priority, Attempts    int
}

// Config returns a configuration for the operator to write. rate is the tenant's rate, and 0 sets no limit.
func Config(version int, routes []Route, services []string, rate, burst int) []byte {
	return ConfigOf(version, routes, services, rate, burst, Key)
}

// ConfigOf is like Config with the tenant's keys.
func ConfigOf(version int, routes []Route, services []string, rate, burst int, keys ...string) []byte {
	ms := func(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
	var routeRows, serviceRows [][]any
	for _, r := range routes {
		routeRows = append(routeRows, []any{"route " + r.Prefix, Host, r.Prefix, r.Kind, ms(r.Timeout), "1500ms", r.Priority, r.Attempts, false, r.Service})
	}
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s, "/healthz", 940})
	}
	text, err := json.Marshal(map[string]any{
		"version": version,
		"routes": map[string]any{
			"columns": []string{"name", "host", "prefix", "kind", "timeout", "target_latency", "priority", "max_attempts", "public", "service"},
			"rows":    routeRows,
		},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_connections"}, "rows": serviceRows},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"tenants": map[string]any{
			"columns": []string{"name", "api_keys", "priority", "rate_per_s", "burst"},
			"rows":    [][]any{{"tenant", keys, 1, rate, burst}},
		},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// Request returns a client's request to a machine.
func Request(m *Machine, method, path, id string, deadline time.Duration) *http.Request {
	req, err := http.NewRequest(method, "http://"+m.Outbound+path, nil)
	if err != nil {
		panic(err)
	}
	req.Host = Host
	req.Header.Set(Wire("attempt"), id)
	req.Header.Set(Wire("deadline"), fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Token "+Key)
	return req
}

// Until polls a condition; it reports whether the condition held before d had passed.
func Until(d time.Duration, condition func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// Unable ends the script: the case could not run.
func Unable(record *Record, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	record.Printf("UNABLE   %s", text)
	fmt.Println("could not run: " + text)
	os.Exit(2)
}
