package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// WaitReady waits until each process responds to /readyz with status 200.
func WaitReady(processes ...*Process) error {
	for _, p := range processes {
		err := WaitUntil(readyTimeout, func() bool { return statusCode(p.Admin, "/readyz") == http.StatusOK })
		if err != nil {
			return fmt.Errorf("%s is not ready: %w", p.Name, err)
		}
	}
	return nil
}

// WaitUntil polls a condition until it holds, and returns an error if it does not within the limit.
func WaitUntil(limit time.Duration, condition func() bool) error {
	end := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(end) {
			return fmt.Errorf("condition not met within %v", limit)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// GetJSON sends a GET request to a process and decodes the body of the response, whatever its status, as JSON into the value
// that into points to. If into is nil, the body is ignored.
func GetJSON(address, path string, into any) error {
	client := http.Client{Timeout: 5 * time.Second}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if into == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// Control sends a request, given as path and query, to the control server of a stand-in.
func (p *Process) Control(query string) error { return GetJSON(p.Admin, query, nil) }

// statusCode sends a GET request and returns the status code of the response, or 0 on an error.
func statusCode(address, path string) int {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// GetText sends a GET request to a process and returns the body of the response, whatever its status.
func GetText(address, path string) (string, error) {
	client := http.Client{Timeout: 5 * time.Second}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return string(raw), err
}
