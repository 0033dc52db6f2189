package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// WaitReady waits until each process answers its readyz with 200.
func WaitReady(processes ...*Process) error {
	for _, p := range processes {
		err := WaitUntil(readyLimit, func() bool { return status(p.Admin, "/readyz") == http.StatusOK })
		if err != nil {
			return fmt.Errorf("%s is not ready: %w", p.Name, err)
		}
	}
	return nil
}

// WaitUntil waits for a condition.
func WaitUntil(limit time.Duration, condition func() bool) error {
	end := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(end) {
			return fmt.Errorf("not within %v", limit)
		}
		time.Sleep(pollPause)
	}
	return nil
}

// GetJSON reads a page of a process as JSON.
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

// Control turns a switch of a stand-in.
func (p *Process) Control(query string) error { return GetJSON(p.Admin, query, nil) }

func status(address, path string) int {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// GetText reads a page of a process.
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
