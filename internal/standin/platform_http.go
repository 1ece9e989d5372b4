package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
)

const (
	maxWatchWait  = time.Minute
	maxAdminBytes = 1 << 20
)

// Handler serves the object API, the host list and the stand-in's admin calls.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{name...}", p.serveGet)
	mux.HandleFunc("PUT /v1/objects/{name...}", p.servePut)
	mux.HandleFunc("DELETE /v1/objects/{name...}", p.serveDelete)
	mux.HandleFunc("GET /v1/objects", p.serveList)
	mux.HandleFunc("GET /v1/watch", p.serveWatch)
	mux.HandleFunc("GET /v1/hosts", p.serveHosts)
	mux.HandleFunc("PUT /v1/hosts", p.serveSetHosts)
	mux.HandleFunc("GET /v1/faults", p.serveFaults)
	mux.HandleFunc("POST /v1/faults", p.serveSetFaults)
	mux.HandleFunc("POST /v1/compact", p.serveCompact)
	mux.HandleFunc("GET /v1/stats", p.serveStats)
	return mux
}

type versionResponse struct {
	Version uint64 `json:"version"`
}

type errorResponse struct {
	Error string `json:"error"`
}

func callerName(r *http.Request) string { return r.Header.Get(platform.CallerHeader) }

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	obj, err := p.get(r.Context(), callerName(r), r.PathValue("name"))
	if err != nil {
		writeErrorResponse(w, err, 0)
		return
	}
	writeJSON(w, http.StatusOK, obj)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	expected, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{"version: " + err.Error()})
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, errorResponse{err.Error()})
		return
	}
	version, err := p.put(r.Context(), callerName(r), r.PathValue("name"), expected, value)
	writeVersion(w, version, err)
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	expected, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{"version: " + err.Error()})
		return
	}
	version, err := p.remove(r.Context(), callerName(r), r.PathValue("name"), expected)
	writeVersion(w, version, err)
}

func writeVersion(w http.ResponseWriter, version uint64, err error) {
	if err != nil {
		writeErrorResponse(w, err, version)
		return
	}
	writeJSON(w, http.StatusOK, versionResponse{version})
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	batch, err := p.list(r.Context(), callerName(r), r.URL.Query().Get("prefix"))
	if err != nil {
		writeErrorResponse(w, err, 0)
		return
	}
	writeJSON(w, http.StatusOK, batch)
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	revision, err := strconv.ParseUint(query.Get("revision"), 10, 64)
	waitMS, waitErr := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err = errors.Join(err, waitErr); err != nil || waitMS < 0 {
		writeJSON(w, http.StatusBadRequest, errorResponse{"revision or wait_ms is not a valid number"})
		return
	}
	wait := maxWatchWait
	if waitMS < maxWatchWait.Milliseconds() {
		wait = time.Duration(waitMS) * time.Millisecond
	}
	batch, err := p.watch(r.Context(), callerName(r), query.Get("prefix"), revision, wait)
	if err != nil {
		writeErrorResponse(w, err, 0)
		return
	}
	writeJSON(w, http.StatusOK, batch)
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := p.listHosts(r.Context(), callerName(r))
	if err != nil {
		writeErrorResponse(w, err, 0)
		return
	}
	writeJSON(w, http.StatusOK, platform.HostList{Hosts: hosts})
}

func (p *Platform) serveSetHosts(w http.ResponseWriter, r *http.Request) {
	body, ok := readAdminBody(w, r)
	if !ok {
		return
	}
	change, err := DecodeHostChange(body)
	if err == nil {
		err = p.ChangeHosts(change)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{err.Error()})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Faults())
}

func (p *Platform) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	body, ok := readAdminBody(w, r)
	if !ok {
		return
	}
	faults, err := DecodePlatformFaults(body)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{err.Error()})
		return
	}
	p.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveCompact(w http.ResponseWriter, _ *http.Request) {
	p.Compact()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Stats())
}

func readAdminBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAdminBytes))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{err.Error()})
		return nil, false
	}
	return body, true
}

// writeErrorResponse responds with the status that matches err. A cut call or a
// lost answer closes the connection without a response.
func writeErrorResponse(w http.ResponseWriter, err error, version uint64) {
	switch {
	case errors.Is(err, errCut), errors.Is(err, platform.ErrUncertain):
		panic(http.ErrAbortHandler)
	case errors.Is(err, platform.ErrConflict):
		writeJSON(w, http.StatusConflict, versionResponse{version})
	case errors.Is(err, platform.ErrNotFound):
		writeJSON(w, http.StatusNotFound, errorResponse{err.Error()})
	case errors.Is(err, platform.ErrCompacted):
		writeJSON(w, http.StatusGone, errorResponse{err.Error()})
	case errors.Is(err, platform.ErrRejected):
		writeJSON(w, http.StatusBadRequest, errorResponse{err.Error()})
	case errors.Is(err, errRateLimited):
		writeJSON(w, http.StatusTooManyRequests, errorResponse{err.Error()})
	default:
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{err.Error()})
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
