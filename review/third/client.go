package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	host  = "ficu95.example"
	key   = "3hh2b9wu3fexd9dnn2ct"
	queue = "/lohu930/"
)

var httpClient = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// route is a queue of the desired state.
type route struct {
	prefix   string
	service  string
	attempts int
	priority int
	advised  bool
}

// desiredState returns a desired state with a tenant and the routes.
func desiredState(version int, routes ...route) []byte {
	var list []map[string]any
	services := map[string]bool{}
	var names []map[string]any
	for i, r := range routes {
		m := map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": host, "path_prefix": r.prefix, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 3000, "priority": r.priority, "service": r.service, "max_attempts": r.attempts, "stretch": 4.0, "public": false,
		}
		if r.advised {
			m["advisor"] = map[string]any{"decision_ms": 12.0, "period_ms": 0.18, "validity_ms": 1500}
		}
		list = append(list, m)
		if !services[r.service] {
			services[r.service] = true
			names = append(names, map[string]any{"name": r.service, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false})
		}
	}
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": names,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{key}, "priority": 1, "weight": 13,
			"upper_limit": map[string]any{"cpu": 0, "memory_request_mb": 0, "gpu": 0}}},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// do sends one request and returns the status, or 0 without an answer.
func do(method, url, hostHeader string, body []byte) (int, string) {
	q, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if hostHeader != "" {
		q.Host = hostHeader
		q.Header.Set("Authorization", "Bearer "+key)
		q.Header.Set("Deadline-Milliseconds", "3000")
	}
	if len(body) > 0 {
		q.Header.Set("Content-Type", "application/json")
	}
	a, err := httpClient.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, err.Error()
	}
	return a.StatusCode, strings.TrimSpace(string(text))
}

// call sends a requester's call to an entry process.
func (c *cell) call(entry *process, method, path string, body []byte) (int, string) {
	status, text := do(method, "http://"+c.address(entry.host, callersPort)+path, host, body)
	c.record.add("%s %s at %s %s -> %d %.200s", method, path, entry.name, shorten(body), status, text)
	return status, text
}

func shorten(body []byte) string {
	if len(body) > 300 {
		return string(body[:300]) + "..."
	}
	return string(body)
}

// configure sends a desired state until it is acknowledged.
func (c *cell) configure(body []byte, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, p := range c.controls() {
			status, text := do(http.MethodPut, "http://"+c.address(p.host, controlPort)+"/v1/configuration", "", body)
			if status == http.StatusOK {
				c.record.add("PUT /v1/configuration at %s -> %d %s", p.name, status, text)
				return true
			}
		}
	}
	c.record.add("PUT /v1/configuration was not acknowledged")
	return false
}

// submit sends a submission until it is answered with one of the statuses.
func (c *cell) submit(entry *process, path string, body []byte, limit time.Duration, want ...int) int {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		status, _ := c.call(entry, http.MethodPost, path, body)
		for _, w := range want {
			if status == w {
				return status
			}
		}
	}
	return 0
}
