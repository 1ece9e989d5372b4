package standin

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
)

// Action is an operation that an admin call performs on a target.
type Action string

// Actions on a target.
const (
	ActionStart  Action = "start"  // start the target's process
	ActionCrash  Action = "crash"  // end the target's process at once
	ActionDrain  Action = "drain"  // refuse new requests
	ActionLeave  Action = "leave"  // show the host as leaving in the host list
	ActionReturn Action = "return" // show the host as live in the host list
)

// TargetAction is the body of POST /admin/act.
type TargetAction struct {
	Target string `json:"target"`
	Action Action `json:"action"`
}

// Check returns an error for an empty target or an unknown action.
func (a *TargetAction) Check() error {
	if a.Target == "" {
		return errors.New("target is empty")
	}
	switch a.Action {
	case ActionStart, ActionCrash, ActionDrain, ActionLeave, ActionReturn:
		return nil
	default:
		return errors.Newf("unknown action %q", a.Action)
	}
}

// ErrNoTarget is returned when the process has no target with the given name.
var ErrNoTarget = errors.New("no such target")

// Apply performs one action. Changes of the host list are sent to the platform at
// addr unless addr is empty.
func (f *Fleet) Apply(ctx context.Context, addr string, a TargetAction) error {
	t := f.Target(a.Target)
	if t == nil {
		return errors.Wrap(ErrNoTarget, a.Target)
	}
	switch a.Action {
	case ActionStart:
		return t.Start()
	case ActionCrash:
		t.Crash()
		return nil
	case ActionDrain:
		return t.Drain()
	case ActionLeave:
		f.setHostState(a.Target, platform.HostLeaving)
	case ActionReturn:
		f.setHostState(a.Target, platform.HostLive)
	}
	if addr == "" {
		return nil
	}
	return f.register(ctx, addr)
}

// SetFaults replaces the faults of the named target, or of all targets when name
// is empty.
func (f *Fleet) SetFaults(name string, faults TargetFaults) error {
	if name == "" {
		for _, t := range f.targets {
			t.SetFaults(faults)
		}
		return nil
	}
	t := f.Target(name)
	if t == nil {
		return errors.Wrap(ErrNoTarget, name)
	}
	t.SetFaults(faults)
	return nil
}

// Handler serves the fleet's admin calls. platformAddr is the address of the
// platform that keeps the host list, or empty.
func (f *Fleet) Handler(platformAddr string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", f.serveRuns)
	mux.HandleFunc("GET /admin/targets", f.serveTargets)
	mux.HandleFunc("POST /admin/faults", f.serveFaults)
	mux.HandleFunc("POST /admin/act", func(w http.ResponseWriter, r *http.Request) { f.serveAct(w, r, platformAddr) })
	return mux
}

func (f *Fleet) serveRuns(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	for _, run := range f.Runs() {
		if encoder.Encode(run) != nil {
			return
		}
	}
}

func (f *Fleet) serveTargets(w http.ResponseWriter, _ *http.Request) {
	statuses := make([]TargetStatus, 0, len(f.targets))
	for _, t := range f.targets {
		statuses = append(statuses, t.Status())
	}
	writeJSON(w, http.StatusOK, statuses)
}

func (f *Fleet) serveFaults(w http.ResponseWriter, r *http.Request) {
	body, ok := readAdminBody(w, r)
	if !ok {
		return
	}
	change, err := DecodeTargetFaults(body)
	if err == nil {
		err = f.SetFaults(change.Target, change.Faults)
	}
	writeAdminResult(w, err)
}

func (f *Fleet) serveAct(w http.ResponseWriter, r *http.Request, platformAddr string) {
	body, ok := readAdminBody(w, r)
	if !ok {
		return
	}
	var action TargetAction
	err := decodeStrict(body, &action)
	if err == nil {
		err = f.Apply(r.Context(), platformAddr, action)
	}
	writeAdminResult(w, err)
}

func writeAdminResult(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		w.WriteHeader(http.StatusNoContent)
	case errors.Is(err, ErrNoTarget), errors.Is(err, ErrNoLink):
		writeJSON(w, http.StatusNotFound, errorResponse{err.Error()})
	default:
		writeJSON(w, http.StatusBadRequest, errorResponse{err.Error()})
	}
}
