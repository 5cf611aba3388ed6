package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	jobsHost = "jobs.example"
	jobsKey  = "3hh2b9wu3fexd9dnn2ct"
)

var plainClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// send sends a request and returns the status and the body, or zero and the error.
func send(method, url, host, key, body string, deadline time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if host != "" {
		q.Host = host
	}
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
		q.Header.Set("Deadline-Milliseconds", fmt.Sprint(deadline.Milliseconds()))
	}
	if body != "" {
		q.Header.Set("Content-Type", "application/json")
	}
	a, err := plainClient.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, err.Error()
	}
	return a.StatusCode, strings.TrimSpace(string(b))
}

func get(url string) (int, string) { return send("GET", url, "", "", "", time.Second) }

// call sends a requester's call through an entry process, and records it.
func (c *cell) call(entry int, method, path, body string) (int, string) {
	p := c.entries[entry%len(c.entries)]
	c.record.add("requester: %s %s to %s", method, path, p.name)
	status, answer := send(method, fmt.Sprintf("http://%s:%d%s", p.address, callersPort, path), jobsHost, jobsKey, body, 3*time.Second)
	c.record.add("requester: %s %s answered %d %s", method, path, status, answer)
	return status, answer
}

// quietCall is call without records.
func (c *cell) quietCall(entry int, method, path string) (int, string) {
	p := c.entries[entry%len(c.entries)]
	return send(method, fmt.Sprintf("http://%s:%d%s", p.address, callersPort, path), jobsHost, jobsKey, "", 3*time.Second)
}

// configure sends a desired state to one node after the other until it is accepted.
func (c *cell) configure(document string) error {
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
		for _, p := range c.controls {
			status, _ := send("PUT", fmt.Sprintf("http://%s:%d/v1/configuration", p.address, controlPort), "", "", document, time.Second)
			if status == 200 {
				c.record.add("operator: desired state accepted by %s", p.name)
				return nil
			}
		}
	}
	return errors.New("no desired state was accepted within 20 s")
}

// awaitReady waits until each entry process reports itself ready.
func (c *cell) awaitReady() error {
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, p := range c.entries {
			if status, _ := get(fmt.Sprintf("http://%s:%d/v1/ready", p.address, readyPort)); status == 200 {
				ready++
			}
		}
		if ready == len(c.entries) {
			return nil
		}
	}
	return errors.New("the entry processes are not ready after 20 s")
}
