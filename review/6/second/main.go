package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// limit is the longest time that a case may take.
const limit = 118 * time.Second

// host is the host of all routes.
const host = "calls.example"

// errBroken means that a rule was broken.
var errBroken = errors.New("the rule was broken")

// errNotAccepted means that the system did not accept the submission that a case is about.
var errNotAccepted = errors.New("the submission was not accepted")

// errNoLeader means that no control process leads.
var errNoLeader = errors.New("no control process leads")

// cases are the scripted cases. The flag says whether the disruption takes place.
var cases = map[string]func(r *record, trouble bool) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go watch(r)
	switch err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0"); {
	case errors.Is(err, errBroken):
		r.add("result: %s", err)
		os.Exit(1)
	case err != nil:
		r.add("result: the case could not run: %s", err)
		os.Exit(2)
	}
	r.add("result: the rule held")
}

// watch ends the processes and the program on a signal, or when the case takes too long.
func watch(r *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case s := <-signals:
		r.add("result: the case could not run: %s", s)
	case <-time.After(limit):
		r.add("result: the case could not run: it takes longer than %s", limit)
	}
	stopAll()
	os.Exit(2)
}

// route returns a route of a desired state.
func route(name, prefix, service string, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 1000,
		"priority": priority, "service": service, "max_attempts": attempts, "stretch": 4.0, "public": false,
	}
}

// desired returns a desired state of some routes, with two tenants.
func desired(version int, routes ...map[string]any) map[string]any {
	services, seen := []map[string]any{}, map[string]bool{}
	for _, r := range routes {
		if s := r["service"].(string); !seen[s] {
			seen[s] = true
			services = append(services, map[string]any{
				"name": s, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false,
			})
		}
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{
			{"name": "north", "api_keys": []string{"key-north"}, "priority": 1, "weight": 100, "upper_limit": size{}},
			{"name": "south", "api_keys": []string{"key-south"}, "priority": 1, "weight": 100, "upper_limit": size{}},
		},
	}
}

// submission returns a submission of steps.
func submission(steps ...map[string]any) map[string]any {
	return map[string]any{"specification": "work", "steps": steps}
}

// state returns the state in an answer to a GET.
func (a answer) state() string {
	_, rest, _ := strings.Cut(a.body, `"state":"`)
	s, _, _ := strings.Cut(rest, `"`)
	return s
}
