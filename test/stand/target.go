package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"monsoonstep/io/group"
)

// target is a stand-in for a target: it answers bookings after a service time, streams feeds, and counts
// how often it ran each booking.
type target struct {
	name string

	mu sync.Mutex
	// runs counts how often each booking ran, by its ID.
	runs    map[string]int
	running int
	peak    int
	feeds   int
	lastRun time.Time
	// slotTime is the total running time of all bookings that have ended.
	slotTime time.Duration
	// Behaviour and faults, set with /set.
	service   time.Duration
	speed     float64
	failing   bool
	unhealthy bool
	truncate  bool
	hang      bool
}

// runTarget serves /book, GET /feed, GET /healthz and GET /load on its address. On the control address, tests
// read /journal and inject faults with
// /set?service=20ms&speed=2&failing=true&unwell=true&truncate=true&hang=true.
func runTarget(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("target", flag.ContinueOnError)
	address := flags.String("address", "", "address of the target")
	control := flags.String("control", "", "address of the control server")
	name := flags.String("name", "target", "name that is sent in answers")
	speed := flags.Float64("speed", 1, "factor by which service times are divided")
	service := flags.Duration("service", 20*time.Millisecond, "mean service time of a booking")
	if err := flags.Parse(args); err != nil {
		return err
	}
	g, err := group.New(ctx)
	if err != nil {
		return err
	}
	t := &target{name: *name, runs: make(map[string]int), service: *service, speed: *speed}
	mux := http.NewServeMux()
	mux.HandleFunc("/book", t.serveBooking)
	mux.HandleFunc("GET /feed", t.streamFeed)
	mux.HandleFunc("GET /healthz", t.serveHealth)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, map[string]int{"running": 0}) })
	startHTTPServer(g, *address, mux)
	controlMux := http.NewServeMux()
	controlMux.HandleFunc("/set", t.setFaults)
	controlMux.HandleFunc("/journal", t.writeJournal)
	startHTTPServer(g, *control, controlMux)
	<-g.Context().Done()
	_ = g.Wait()
	return nil
}

// setFaults handles /set.
func (t *target) setFaults(_ http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := r.URL.Query()
	for name, field := range map[string]*bool{"failing": &t.failing, "unwell": &t.unhealthy, "truncate": &t.truncate, "hang": &t.hang} {
		if q.Has(name) {
			*field = q.Get(name) == "true"
		}
	}
	if q.Has("speed") {
		t.speed, _ = strconv.ParseFloat(q.Get("speed"), 64)
	}
	if q.Has("service") {
		t.service, _ = time.ParseDuration(q.Get("service"))
	}
}

// Journal is what a target reports at /journal about the bookings that it ran. Runs has the number of runs of each booking by
// its ID, Peak is the highest number of bookings that ran at the same time, Feeds the number of open feeds, LastRun the time
// at which the latest booking was started, and BusyMillis the total running time of all bookings that have ended.
type Journal struct {
	Name       string         `json:"name"`
	Runs       map[string]int `json:"runs"`
	Peak       int            `json:"peak"`
	Feeds      int            `json:"feeds"`
	LastRun    time.Time      `json:"lastRun"`
	BusyMillis int64          `json:"busyMillis"`
}

// writeJournal handles /journal.
func (t *target) writeJournal(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	writeJSON(w, Journal{Name: t.name, Runs: t.runs, Peak: t.peak, Feeds: t.feeds, LastRun: t.lastRun, BusyMillis: t.slotTime.Milliseconds()})
}

// serveHealth handles /healthz.
func (t *target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unhealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveBooking runs a booking: it counts the run, sleeps for the service time, and answers with the booking's ID, the
// size of the body and the target's name. The parameter work is the mean service time in milliseconds, exact is the exact
// one in microseconds.
func (t *target) serveBooking(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.URL.Query().Get("id")
	t.mu.Lock()
	t.runs[id]++
	t.running++
	t.peak = max(t.peak, t.running)
	t.lastRun = time.Now()
	work, speed, failing, truncate, hang := t.service, t.speed, t.failing, t.truncate, t.hang
	t.mu.Unlock()
	started := time.Now()
	defer func() {
		t.mu.Lock()
		t.running--
		t.slotTime += time.Since(started)
		t.mu.Unlock()
	}()
	if failing {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if hang {
		<-r.Context().Done()
		return
	}
	if ms, err := strconv.Atoi(r.URL.Query().Get("work")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	if us, err := strconv.Atoi(r.URL.Query().Get("exact")); err == nil {
		time.Sleep(time.Duration(float64(us)/speed) * time.Microsecond)
	} else {
		time.Sleep(time.Duration(float64(work) / speed * (0.5 + rand.Float64())))
	}
	answer := fmt.Sprintf("%s %d %s\n", id, len(body), t.name)
	if truncate {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)+100))
	}
	_, _ = io.WriteString(w, answer)
}

// streamFeed streams numbered server-sent events until the caller closes the feed.
func (t *target) streamFeed(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.feeds++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.feeds--
		t.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		if _, err := fmt.Fprintf(w, "data: %d\n\n", n); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		}
	}
}
