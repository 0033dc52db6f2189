package agent

import (
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"monsoonstep/core/coord/dedup"
	"monsoonstep/core/coord/retry"
	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

// defaultPort is the port of https.
const defaultPort = "443"

// ServeHTTP answers one request of a caller.
func (a *Agent) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	a.flows.begin(hr.Context())
	defer a.flows.end(hr.Context())
	a.attempts.Add(1)
	defer a.attempts.Add(-1)
	started := time.Now()
	r, err := a.readRequest(hr)
	if err != nil {
		a.answerError(w, notRun(err))
		return
	}
	out := &callerAnswer{w: w, stream: r.stream}
	var done result
	if r.keyed {
		done = a.keyed.handle(hr.Context(), r, out.sink())
	} else {
		done = a.dispatcher.run(hr.Context(), r, out.sink())
	}
	a.count.request(r, done, time.Since(started))
	switch {
	case done.err == nil:
		return
	case done.began:
		a.log.Debug("an answer was cut", "path", r.path, "err", done.err)
		// The panic makes the HTTP/3 server reset the stream, so that a cut never looks like an end.
		panic(http.ErrAbortHandler)
	default:
		a.log.Debug("a request was not answered", "path", r.path, "err", done.err)
		a.answerError(w, done)
	}
}

// callerAnswer writes an answer to a caller.
type callerAnswer struct {
	w      http.ResponseWriter
	stream bool
}

func (c *callerAnswer) sink() sink {
	return sink{head: c.head, chunk: c.chunk}
}

func (c *callerAnswer) head(code int, headers http.Header) error {
	for name, values := range headers {
		c.w.Header()[name] = values
	}
	c.w.Header().Set(HeaderOutcome, "answered")
	c.w.WriteHeader(code)
	return c.flush()
}

func (c *callerAnswer) chunk(b []byte) error {
	if _, err := c.w.Write(b); err != nil {
		return errs.Wrap(err, errs.OutcomeUnknown, "the caller went away")
	}
	return c.flush()
}

// flush sends what was written, so that a feed's events are not held back.
func (c *callerAnswer) flush() error {
	if !c.stream {
		return nil
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return errs.Wrap(err, errs.OutcomeUnknown, "the caller went away")
	}
	return nil
}

// answerError tells a caller at once that its request was not answered, whether it ran, and when to
// come back.
func (a *Agent) answerError(w http.ResponseWriter, done result) {
	err := done.final()
	kind := errs.KindOf(err)
	answer := kind.Response()
	after := done.retryAfter
	if after == 0 {
		after = answer.RetryAfter
	}
	if after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	outcome := "unknown"
	if answer.NotRun && done.outcome == retry.NotRun {
		outcome = "not-run"
	}
	w.Header().Set(HeaderOutcome, outcome)
	w.Header().Set(HeaderErrorKind, answer.Name)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(answer.Status)
	_, _ = io.WriteString(w, outcome+": "+errs.Text(err)+"\n")
}

// readRequest reads and checks a request with its whole body.
func (a *Agent) readRequest(hr *http.Request) (*request, error) {
	entry, ok := a.entry()
	if !ok {
		return nil, errs.New(errs.NoTarget, "service %q is not in the catalogue", a.settings.Service)
	}
	if other, known := a.node.View().Authorities[authority(hr.Host)]; known && other != a.serviceID {
		return nil, errs.New(errs.Misdirected, "%q is the address of another service", hr.Host)
	}
	r := &request{
		service: entry,
		method:  hr.Method,
		path:    hr.URL.RequestURI(),
		headers: endToEnd(hr.Header),
		class:   entry.Class,
		stream:  hr.Method == http.MethodGet && strings.Contains(hr.Header.Get("Accept"), streamType),
	}
	if err := r.readBody(hr, entry.Limits.BodyBytes); err != nil {
		return nil, err
	}
	if err := r.readClass(hr.Header.Get(HeaderClass)); err != nil {
		return nil, err
	}
	if err := r.readDeadline(hr.Header.Get(HeaderTimeout), entry.Limits); err != nil {
		return nil, err
	}
	if text := hr.Header.Get(HeaderIdempotencyKey); text != "" && !r.stream {
		key, err := dedup.ParseKey(text)
		if err != nil {
			return nil, err
		}
		r.key, r.keyed = key, true
		r.firstTry = hr.Header.Get(HeaderTry) == "1"
	}
	return r, nil
}

// authority returns the host and port that a caller named, for example "atelier.example:443" for
// "Atelier.example".
func authority(host string) string {
	host = strings.ToLower(host)
	if _, _, err := net.SplitHostPort(host); err == nil {
		return host
	}
	return net.JoinHostPort(host, defaultPort)
}

func (r *request) readBody(hr *http.Request, limit int) error {
	body, err := io.ReadAll(io.LimitReader(hr.Body, int64(limit)+1))
	if err != nil {
		return errs.Wrap(err, errs.BadInput, "the request's body was cut")
	}
	if len(body) > limit {
		return errs.New(errs.TooLarge, "the request's body has more than %d bytes", limit)
	}
	if hr.ContentLength >= 0 && int64(len(body)) != hr.ContentLength {
		return errs.New(errs.BadInput, "the request's body has %d of %d bytes", len(body), hr.ContentLength)
	}
	r.body = body
	return nil
}

// readClass lets a caller lower its request's class, not raise it.
func (r *request) readClass(text string) error {
	if text == "" {
		return nil
	}
	class, ok := state.ParseClass(text)
	if !ok {
		return errs.New(errs.BadInput, "%s is %q; it must be normal or important", HeaderClass, text)
	}
	r.class = min(r.class, class)
	return nil
}

func (r *request) readDeadline(text string, limits state.Limits) error {
	if r.stream {
		return nil
	}
	timeout := limits.Deadline
	if text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil || millis <= 0 {
			return errs.New(errs.BadInput, "%s is %q; it must be a number of milliseconds above 0", HeaderTimeout, text)
		}
		timeout = min(limits.MaxDeadline, time.Duration(millis)*time.Millisecond)
	}
	r.deadline = time.Now().Add(timeout)
	return nil
}
