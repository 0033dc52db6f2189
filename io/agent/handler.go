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

// defaultPort is the port of an https URL that names none.
const defaultPort = "443"

// ServeHTTP runs one request of a caller and writes the response, or an error that says whether the request
// ran. It implements http.Handler.
func (a *Agent) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	a.flows.requestStarted(hr.Context())
	defer a.flows.requestEnded(hr.Context())
	a.openRequests.Add(1)
	defer a.openRequests.Add(-1)
	started := time.Now()
	r, err := a.readRequest(hr)
	if err != nil {
		a.writeError(w, notRunResult(err))
		return
	}
	response := &callerResponse{w: w, stream: r.stream}
	var res result
	if r.atMostOnce {
		res = a.atMostOnce.handle(hr.Context(), r, response.sink())
	} else {
		res = a.dispatcher.run(hr.Context(), r, response.sink())
	}
	a.stats.recordRequest(r, res, time.Since(started))
	switch {
	case res.err == nil:
		return
	case res.headSent:
		a.log.Debug("response aborted after its head was sent; resetting the stream", "path", r.path, "err", res.err)
		// The panic makes the HTTP/3 server reset the stream, so that the caller can't mistake a truncated
		// response for a complete one.
		panic(http.ErrAbortHandler)
	default:
		a.log.Debug("request failed; sending an error response", "path", r.path, "err", res.err)
		a.writeError(w, res)
	}
}

// callerResponse writes a response to a caller.
type callerResponse struct {
	w      http.ResponseWriter
	stream bool
}

func (c *callerResponse) sink() sink {
	return sink{head: c.head, chunk: c.chunk}
}

func (c *callerResponse) head(code int, headers http.Header) error {
	for name, values := range headers {
		c.w.Header()[name] = values
	}
	c.w.Header().Set(HeaderOutcome, "answered")
	c.w.WriteHeader(code)
	return c.flush()
}

func (c *callerResponse) chunk(b []byte) error {
	if _, err := c.w.Write(b); err != nil {
		return errs.Wrap(err, errs.OutcomeUnknown, "the response could not be written to the caller")
	}
	return c.flush()
}

// flush sends what was written if the response is a stream, so that its events are not delayed by buffering.
func (c *callerResponse) flush() error {
	if !c.stream {
		return nil
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return errs.Wrap(err, errs.OutcomeUnknown, "the response could not be written to the caller")
	}
	return nil
}

// writeError sends an error response, which says whether the request ran and when the caller may retry it.
func (a *Agent) writeError(w http.ResponseWriter, res result) {
	err := res.callerError()
	kind := errs.KindOf(err)
	response := kind.Response()
	after := res.retryAfter
	if after == 0 {
		after = response.RetryAfter
	}
	if after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	outcome := "unknown"
	if response.NotRun && res.outcome == retry.NotRun {
		outcome = "not-run"
	}
	w.Header().Set(HeaderOutcome, outcome)
	w.Header().Set(HeaderErrorKind, response.Name)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(response.Status)
	_, _ = io.WriteString(w, outcome+": "+errs.Text(err)+"\n")
}

// readRequest reads and validates a request, including its whole body.
func (a *Agent) readRequest(hr *http.Request) (*request, error) {
	entry, ok := a.entry()
	if !ok {
		return nil, errs.New(errs.NoTarget, "service %q is not in the catalogue", a.settings.Service)
	}
	if other, known := a.node.View().Authorities[normaliseAuthority(hr.Host)]; known && other != a.serviceID {
		return nil, errs.New(errs.Misdirected, "%q is the address of another service", hr.Host)
	}
	r := &request{
		service: entry,
		method:  hr.Method,
		path:    hr.URL.RequestURI(),
		headers: endToEndHeaders(hr.Header),
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
		r.key, r.atMostOnce = key, true
		r.firstTry = hr.Header.Get(HeaderTry) == "1"
	}
	return r, nil
}

// normaliseAuthority returns the host and port that a caller named, in lower case and with the default port
// if it named none: "atelier.example:443" for "Atelier.example".
func normaliseAuthority(host string) string {
	host = strings.ToLower(host)
	if _, _, err := net.SplitHostPort(host); err == nil {
		return host
	}
	return net.JoinHostPort(host, defaultPort)
}

// readBody reads the body, which may have at most limit bytes.
func (r *request) readBody(hr *http.Request, limit int) error {
	body, err := io.ReadAll(io.LimitReader(hr.Body, int64(limit)+1))
	if err != nil {
		return errs.Wrap(err, errs.BadInput, "the request body could not be read in full")
	}
	if len(body) > limit {
		return errs.New(errs.TooLarge, "the request body is larger than %d bytes", limit)
	}
	if hr.ContentLength >= 0 && int64(len(body)) != hr.ContentLength {
		return errs.New(errs.BadInput, "the request body has %d bytes, but its content length is %d", len(body), hr.ContentLength)
	}
	r.body = body
	return nil
}

// readClass sets the class that a caller requested. It can lower the request's class below that of the service,
// but not raise it.
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

// readDeadline sets the deadline from the caller's timeout, or from the service's default; a stream has none.
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
