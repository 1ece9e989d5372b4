package router

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/memlimit"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/template"
)

// defaultDeadline is the deadline for a route that configures none.
const defaultDeadline = 10 * time.Second

// refusal is an error that the ingress itself answers, before anything ran.
type refusal struct {
	status  int
	reason  reason
	message string
}

func (r *refusal) Error() string { return r.message }

// retryAfter returns the delay after which a retry may succeed, 0 for never.
func (r *refusal) retryAfter() time.Duration {
	if r.status == http.StatusServiceUnavailable {
		return time.Second
	}
	return 0
}

func badRequest(message string) *refusal {
	return &refusal{status: http.StatusBadRequest, reason: reasonBadRequest, message: message}
}

// ingressRequest is a caller's validated request with its service and route.
type ingressRequest struct {
	forward  *pb.Forward
	service  *serviceTable
	route    template.Route
	deadline time.Time
	held     *memlimit.Holder // of the request; may be nil
	optional bool             // goes to another region although a target in this region could run it
}

// parse validates a caller's request against the table. The body is read by readBody,
// after everything else has been validated.
func (t *table) parse(r *http.Request, l Listener, id string, now time.Time) (*ingressRequest, error) {
	if t.configVersion == 0 {
		return nil, &refusal{http.StatusServiceUnavailable, reasonNoConfig, "this host has no configuration yet"}
	}
	name, path, escapedPath, err := splitPath(r)
	if err != nil {
		return nil, err
	}
	client, err := clientOf(r, l)
	if err != nil {
		return nil, err
	}
	match, err := t.config.Resolve(client, name, r.Method, path)
	if err != nil {
		return nil, resolveRefusal(err, client, name, r.Method, path)
	}
	q := &ingressRequest{service: t.services[name], route: *match.Route}
	q.forward = &pb.Forward{
		Id:            id,
		Client:        client,
		Service:       name,
		Method:        r.Method,
		Path:          withQuery(escapedPath, r.URL.RawQuery),
		Headers:       endToEndHeaders(r.Header),
		Idempotent:    match.Route.Idempotent,
		Route:         routeIndex(match),
		ConfigVersion: t.configVersion,
	}
	if err := q.readHeaders(r, now); err != nil {
		return nil, err
	}
	return q, nil
}

// resolveRefusal converts an error of template.View.Resolve into the refusal for the
// caller.
func resolveRefusal(err error, client, service, method, path string) *refusal {
	switch {
	case errors.Is(err, template.ErrNoService):
		return &refusal{http.StatusNotFound, "no-service", "no service " + strconv.Quote(service)}
	case errors.Is(err, template.ErrNoRoute):
		return &refusal{http.StatusNotFound, "no-route", "service " + service + " has no route for " + method + " " + path}
	case errors.Is(err, template.ErrNoClient):
		return &refusal{http.StatusForbidden, "no-client", "no client " + strconv.Quote(client)}
	default:
		return &refusal{http.StatusForbidden, "no-access", "client " + client + " has no access to service " + service}
	}
}

// routeIndex returns the index of the matched route in its template. Learned service
// times are stored by this index.
func routeIndex(m template.Match) uint32 {
	for i := range m.Template.Routes {
		if m.Template.Routes[i] == *m.Route {
			return uint32(i)
		}
	}
	return 0
}

func (q *ingressRequest) readHeaders(r *http.Request, now time.Time) error {
	var err error
	f := q.forward
	if f.Key, err = singleHeader(r.Header, headerKey, maxKeyBytes); err != nil {
		return err
	}
	if f.Key == "" && q.service.template.Keyed {
		return badRequest(headerKey + " is required by service " + f.Service)
	}
	if f.IdempotencyKey, err = singleHeader(r.Header, headerIdempotency, maxIdempotencyKeyBytes); err != nil {
		return err
	}
	first, err := positiveIntHeader(r.Header, headerFirstSent)
	if err != nil {
		return err
	}
	f.FirstSentUnixMs = first
	attempt, err := positiveIntHeader(r.Header, headerAttempt)
	if err != nil {
		return err
	}
	f.FirstAttempt = attempt == 1
	requestedMS, err := positiveIntHeader(r.Header, headerDeadline)
	if err != nil {
		return err
	}
	q.deadline = now.Add(requestTimeout(requestedMS, q.route.DeadlineMS))
	return nil
}

// requestTimeout returns the route's deadline, or the requested one if that is shorter.
func requestTimeout(requestedMS, routeMS int64) time.Duration {
	limit := defaultDeadline
	if routeMS > 0 {
		limit = time.Duration(routeMS) * time.Millisecond
	}
	if requestedMS > 0 && requestedMS < limit.Milliseconds() {
		return time.Duration(requestedMS) * time.Millisecond
	}
	return limit
}
